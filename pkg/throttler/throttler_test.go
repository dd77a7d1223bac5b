package throttler

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestUsageIsCountedWhileALimitIsAnnounced(t *testing.T) {
	c := qt.New(t)
	var k Throttler
	k.Sent("b", First)
	c.Check(k.Observe("b", 5), qt.Equals, RequestRate(0))
	k.Sent("b", First)
	k.Sent("b", Repeat)
	c.Check(k.Observe("b", 6), qt.Equals, RequestRate(5))
	c.Check(k.TakeUsage(), qt.DeepEquals, []Usage{{Backend: "b", Limit: 6, Sent: map[Kind]int{First: 1, Repeat: 1}}})
	c.Check(k.TakeUsage(), qt.HasLen, 0)
	c.Check(k.Observe("b", 0), qt.Equals, RequestRate(6))
	k.Sent("b", First)
	c.Check(k.TakeUsage(), qt.HasLen, 0)
}
