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

// A limit that one gateway has read is sent to all that have another list, and to none twice.
func TestRequestLimitsAreSentToAllGateways(t *testing.T) {
	c := qt.New(t)
	co, _ := newCoordinator()
	clock := co.Clock.(*clockwork.FakeClock)
	now := clock.Now()
	co.tracker.Observe(now, &wire.Announcement{Id: "b", Name: "b", Service: "s", Address: "b", Sequence: 1})
	co.observeGateway(now, syncOf("one", &wire.RequestLimit{Backend: "b", RequestsPerSecond: 5, AgeMs: 100},
		&wire.RequestLimit{Backend: "nobody", RequestsPerSecond: 5}))
	req := syncOf("other")
	req.Epoch = co.epoch
	c.Check(co.hasUrgentUpdate(req), qt.IsTrue)
	res := co.buildResponse(now, req)
	c.Assert(res.GetRequestLimits(), qt.HasLen, 1)
	c.Check(res.GetRequestLimits()[0].GetAgeMs(), qt.Equals, uint32(100))
	req.RequestLimitsRevision = res.GetRequestLimitsRevision()
	c.Check(co.buildResponse(now, req).GetRequestLimits(), qt.HasLen, 0)
	c.Check(co.limitOf("b"), qt.Equals, throttler.LimitOf(5))
	co.observeGateway(now, syncOf("one", &wire.RequestLimit{Backend: "b", Lifted: true, AgeMs: 50}))
	c.Check(co.buildResponse(now, req).GetRequestLimits()[0].GetLifted(), qt.IsTrue)
	c.Check(co.limitOf("b"), qt.Equals, throttler.Limit{})
	clock.Advance(11 * time.Second)
	co.pruneRequestLimits(clock.Now())
	c.Check(co.requestLimits.Empty(), qt.IsTrue)
}

// Limits are dropped with the backend servers that named them.
func TestRequestLimitsOfDepartedServersArePruned(t *testing.T) {
	c := qt.New(t)
	co, _ := newCoordinator()
	now := co.Clock.Now()
	b := &wire.Announcement{Id: "b", Name: "b", Service: "s", Address: "b", Sequence: 1}
	co.tracker.Observe(now, b)
	co.observeGateway(now, syncOf("one", &wire.RequestLimit{Backend: "b", RequestsPerSecond: 5}))
	before := co.requestLimits.Revision()
	co.tracker.Observe(now, &wire.Announcement{Id: "b", Name: "b", Service: "s", Address: "b", Sequence: 2, Gone: true})
	co.pruneRequestLimits(now)
	c.Check(co.requestLimits.Empty(), qt.IsTrue)
	c.Check(co.requestLimits.Revision() > before, qt.IsTrue)
}
