package routecoordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/throttler"
	"bronzelead.example/pkg/wire"
)

func syncOf(gateway string, limits ...*wire.RequestLimit) *wire.SyncRequest {
	return &wire.SyncRequest{Gateway: gateway, Address: gateway, RequestLimits: limits}
}

// What one gateway has read is told to all that know another list, and to nobody twice.
func TestRequestLimitsAreToldToAllGateways(t *testing.T) {
	c := qt.New(t)
	cu, _ := newCurator()
	clock := cu.Clock.(*clockwork.FakeClock)
	now := clock.Now()
	cu.tracker.Observe(now, &wire.Announcement{Id: "b", Name: "b", Service: "s", Address: "b", Sequence: 1})
	cu.hear(now, syncOf("one", &wire.RequestLimit{Backend: "b", RequestsPerSecond: 5, AgeMs: 100},
		&wire.RequestLimit{Backend: "nobody", RequestsPerSecond: 5}))
	ask := syncOf("other")
	ask.Epoch = cu.epoch
	c.Check(cu.hasUrgentNews(ask), qt.IsTrue)
	res := cu.news(now, ask)
	c.Assert(res.GetRequestLimits(), qt.HasLen, 1)
	c.Check(res.GetRequestLimits()[0].GetAgeMs(), qt.Equals, uint32(100))
	ask.RequestLimitsRevision = res.GetRequestLimitsRevision()
	c.Check(cu.news(now, ask).GetRequestLimits(), qt.HasLen, 0)
	c.Check(cu.limitOf("b"), qt.Equals, throttler.LimitOf(5))
	cu.hear(now, syncOf("one", &wire.RequestLimit{Backend: "b", Lifted: true, AgeMs: 50}))
	c.Check(cu.news(now, ask).GetRequestLimits()[0].GetLifted(), qt.IsTrue)
	c.Check(cu.limitOf("b"), qt.Equals, throttler.Limit{})
	clock.Advance(11 * time.Second)
	cu.forgetLimits(clock.Now())
	c.Check(cu.requestLimits.Empty(), qt.IsTrue)
}

// Limits go with the backend servers that named them.
func TestRequestLimitsOfServersThatLeftAreForgotten(t *testing.T) {
	c := qt.New(t)
	cu, _ := newCurator()
	now := cu.Clock.Now()
	b := &wire.Announcement{Id: "b", Name: "b", Service: "s", Address: "b", Sequence: 1}
	cu.tracker.Observe(now, b)
	cu.hear(now, syncOf("one", &wire.RequestLimit{Backend: "b", RequestsPerSecond: 5}))
	before := cu.requestLimits.Revision()
	cu.tracker.Observe(now, &wire.Announcement{Id: "b", Name: "b", Service: "s", Address: "b", Sequence: 2, Gone: true})
	cu.forgetLimits(now)
	c.Check(cu.requestLimits.Empty(), qt.IsTrue)
	c.Check(cu.requestLimits.Revision() > before, qt.IsTrue)
}
