package routecoordinator

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/wire"
)

// reports lets gateways report lost runs, each run by another gateway.
func reports(co *Coordinator, fingerprint string, backends ...string) {
	for i, backend := range backends {
		req := &wire.SyncRequest{Gateway: fmt.Sprint(i), Address: entry(i).GetAddress(), Zone: "z"}
		req.RunReports = []*wire.RunReport{{Fingerprint: fingerprint, Backend: backend, Place: "POST h/x"}}
		co.observeGateway(co.Clock.Now(), req)
		advance(co, time.Second)
	}
}

func advance(co *Coordinator, d time.Duration) { co.Clock.(*clockwork.FakeClock).Advance(d) }

// commitDecision lets a leader evaluate, and waits until its decision is committed.
func commitDecision(c *qt.C, co *Coordinator, k *fakeRaft) {
	advance(co, 2*time.Second)
	co.tick(co.Clock.Now())
	co.apply(<-k.in)
	co.tick(co.Clock.Now())
	c.Assert(co.state.Quarantined(), qt.HasLen, 1)
}

// respond returns the response to a gateway with a list of suspects, and whether it is urgent.
func respond(co *Coordinator, known uint64) (*wire.SyncResponse, bool) {
	req := &wire.SyncRequest{Gateway: "g", Epoch: co.epoch, SuspectsRevision: known, WaitMs: 100}
	req.AnnouncementRevision, req.VersionRevision = co.tracker.Revision(), co.versions
	return co.buildResponse(co.Clock.Now(), req), co.hasUrgentUpdate(req)
}

// Crashes reported by different gateways lead to one decision, which is sent to all immediately
// and only once.
func TestDecisionsAreSent(t *testing.T) {
	c := qt.New(t)
	co, k := newCoordinator()
	lead(co, k)
	before, urgent := respond(co, 0)
	c.Check(urgent, qt.IsFalse)
	c.Check(before.GetSuspects(), qt.HasLen, 0)
	reports(co, "f", "a", "b", "c")
	commitDecision(c, co, k)
	after, urgent := respond(co, before.GetSuspectsRevision())
	c.Check(urgent, qt.IsTrue)
	c.Assert(after.GetSuspects(), qt.HasLen, 1)
	c.Check(after.GetSuspects()[0].GetHeld(), qt.IsTrue)
	again, urgent := respond(co, after.GetSuspectsRevision())
	c.Check(urgent, qt.IsFalse)
	c.Check(again.GetSuspects(), qt.HasLen, 0)
}

// The next leader has the reports that it received while another one led, and the committed
// decisions; its list is newer than that of its predecessor.
func TestNextLeaderKeepsReports(t *testing.T) {
	c := qt.New(t)
	co, k := newCoordinator()
	k.status.Leader = "another"
	co.tick(co.Clock.Now())
	reports(co, "f", "a", "b", "c")
	co.tick(co.Clock.Now())
	res, _ := respond(co, 0)
	c.Check(res.GetSuspectsRevision(), qt.Equals, uint64(0), qt.Commentf("only a leader sends suspects"))
	lead(co, k)
	commitDecision(c, co, k)
	first, _ := respond(co, 0)
	c.Check(first.GetSuspects(), qt.HasLen, 1)
	k.status.Term = 3
	co.tick(co.Clock.Now())
	second, _ := respond(co, first.GetSuspectsRevision())
	c.Check(second.GetSuspectsRevision() > first.GetSuspectsRevision(), qt.IsTrue)
	c.Check(second.GetSuspects(), qt.HasLen, 1)
}

// A new adapter version lets one gateway try the quarantined request; a completed run there
// releases it.
func TestTrialReleasesRequest(t *testing.T) {
	c := qt.New(t)
	co, k := newCoordinator()
	lead(co, k)
	reports(co, "f", "a", "b", "c")
	commitDecision(c, co, k)
	held := co.state.Quarantined()[0]
	co.apply(k.item(&wire.Command{Body: &wire.Command_HoldRequest{HoldRequest: &wire.HeldRequest{
		Fingerprint: "f", Model: "m/a", Place: held.GetPlace(),
	}}}))
	co.apply(k.item(&wire.Command{Body: &wire.Command_PutAdapterVersion{PutAdapterVersion: &wire.AdapterVersion{
		Model: "m", Adapter: "a", Version: 2,
	}}}))
	advance(co, time.Second)
	callAsRelay(co, 1, 0)
	co.buildResponse(co.Clock.Now(), &wire.SyncRequest{})
	co.tick(co.Clock.Now())
	res, _ := respond(co, 0)
	c.Assert(res.GetSuspects(), qt.HasLen, 1)
	c.Check(res.GetSuspects()[0].GetTrialAt(), qt.Not(qt.Equals), "")
	co.observeGateway(co.Clock.Now(), &wire.SyncRequest{Gateway: "0", RunReports: []*wire.RunReport{{Fingerprint: "f", Backend: "d", Completed: true}}})
	co.tick(co.Clock.Now())
	co.apply(<-k.in)
	c.Check(co.state.Quarantined(), qt.HasLen, 0)
}
