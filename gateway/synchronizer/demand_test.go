package synchronizer

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

// Each controller is told of each request once, whenever it is asked.
func TestEachControllerIsToldOnce(t *testing.T) {
	c := qt.New(t)
	u := untoldDemand{}
	both := []string{"a", "b"}
	u.add([]*wire.Demand{{Adapter: "m/x", Requests: 2}}, both)
	c.Check(u.take("a")[0].GetRequests(), qt.Equals, uint32(2))
	c.Check(u.take("a"), qt.HasLen, 0)
	u.add([]*wire.Demand{{Adapter: "m/x", Requests: 3}}, both)
	c.Check(u.take("b")[0].GetRequests(), qt.Equals, uint32(5))
	c.Check(u.take("a")[0].GetRequests(), qt.Equals, uint32(3))
}

// One that does not answer for long costs a bounded part of memory.
func TestUntoldDemandIsBounded(t *testing.T) {
	c := qt.New(t)
	u := untoldDemand{}
	for i := range 2 * maxUntold {
		u.add([]*wire.Demand{{Adapter: fmt.Sprint("m/", i), Requests: 1}}, []string{"a"})
	}
	c.Check(u.take("a"), qt.HasLen, maxUntold)
}
