package synchronizer

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

// Each controller receives all demand once, however often it is called.
func TestDemandIsSentOnce(t *testing.T) {
	c := qt.New(t)
	u := demandBuffer{}
	both := []string{"a", "b"}
	u.add([]*wire.Demand{{Adapter: "m/x", Requests: 2}}, both)
	c.Check(u.take("a")[0].GetRequests(), qt.Equals, uint32(2))
	c.Check(u.take("a"), qt.HasLen, 0)
	u.add([]*wire.Demand{{Adapter: "m/x", Requests: 3}}, both)
	c.Check(u.take("b")[0].GetRequests(), qt.Equals, uint32(5))
	c.Check(u.take("a")[0].GetRequests(), qt.Equals, uint32(3))
}

// The buffer of an unresponsive instance stays bounded.
func TestPendingDemandIsBounded(t *testing.T) {
	c := qt.New(t)
	u := demandBuffer{}
	for i := range 2 * maxPendingAdapters {
		u.add([]*wire.Demand{{Adapter: fmt.Sprint("m/", i), Requests: 1}}, []string{"a"})
	}
	c.Check(u.take("a"), qt.HasLen, maxPendingAdapters)
}
