package routecoordinator

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

// Gateways that knew from answers that a backend server was leaving did not report it: all
// others sent it requests until its announcement had reached a controller that they hear from.
func TestDeparturesToldToOneGatewayReachAll(t *testing.T) {
	c := qt.New(t)
	co, _ := newCoordinator()
	now := co.Clock.Now()
	announce := func(sequence uint64) {
		co.tracker.Observe(now, &wire.Announcement{Id: "b", Name: "b", Service: "s", Address: "b", Sequence: sequence})
		co.applyChanges()
	}
	announce(1)
	other := syncOf("other")
	other.Epoch = co.epoch
	other.AnnouncementRevision = co.buildResponse(now, other).GetAnnouncementRevision()
	told := syncOf("one")
	told.Loads = []*wire.Load{{Backend: "b", ToldLeaving: 1}, {Backend: "unknown", ToldLeaving: 1}}
	co.observeGateway(now, told)
	c.Check(co.hasUrgentUpdate(other), qt.IsTrue)
	list := co.buildResponse(now, other).GetAnnouncements()
	c.Assert(list, qt.HasLen, 1)
	c.Check(list[0].GetDraining(), qt.IsTrue)

	revision := co.tracker.Revision()
	co.observeGateway(now, told)
	c.Check(co.tracker.Revision(), qt.Equals, revision)
	// An announcement that was sent before the departure arrives after it.
	announce(2)
	c.Check(co.tracker.Get("b").GetDraining(), qt.IsTrue)
}
