package routecoordinator

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/wire"
)

// reports lets gateways tell of runs that were lost, each at another one.
func reports(cu *Coordinator, fingerprint string, backends ...string) {
	for i, backend := range backends {
		req := &wire.SyncRequest{Gateway: fmt.Sprint(i), Address: entry(i).GetAddress(), Zone: "z"}
		req.RunReports = []*wire.RunReport{{Fingerprint: fingerprint, Backend: backend, Place: "POST h/x"}}
		cu.hear(cu.Clock.Now(), req)
		advance(cu, time.Second)
	}
}

func advance(cu *Coordinator, d time.Duration) { cu.Clock.(*clockwork.FakeClock).Advance(d) }

// settleVerdicts lets a leader judge, and waits until its verdict is committed.
func settleVerdicts(c *qt.C, cu *Coordinator, k *keeperFake) {
	advance(cu, 2*time.Second)
	cu.tick(cu.Clock.Now())
	cu.apply(<-k.in)
	cu.tick(cu.Clock.Now())
	c.Assert(cu.state.Quarantined(), qt.HasLen, 1)
}

// told is what a gateway that knows a list is told, and whether its call is answered at once.
func told(cu *Coordinator, known uint64) (*wire.SyncResponse, bool) {
	req := &wire.SyncRequest{Gateway: "g", Epoch: cu.epoch, SuspectsRevision: known, WaitMs: 100}
	req.AnnouncementRevision, req.VersionRevision = cu.tracker.Revision(), cu.versions
	return cu.news(cu.Clock.Now(), req), cu.hasUrgentNews(req)
}

// Ends that different gateways have seen make a verdict together, which all are told at once
// and only once.
func TestVerdictsAreTold(t *testing.T) {
	c := qt.New(t)
	cu, k := newCurator()
	lead(cu, k)
	before, urgent := told(cu, 0)
	c.Check(urgent, qt.IsFalse)
	c.Check(before.GetSuspects(), qt.HasLen, 0)
	reports(cu, "f", "a", "b", "c")
	settleVerdicts(c, cu, k)
	after, urgent := told(cu, before.GetSuspectsRevision())
	c.Check(urgent, qt.IsTrue)
	c.Assert(after.GetSuspects(), qt.HasLen, 1)
	c.Check(after.GetSuspects()[0].GetHeld(), qt.IsTrue)
	again, urgent := told(cu, after.GetSuspectsRevision())
	c.Check(urgent, qt.IsFalse)
	c.Check(again.GetSuspects(), qt.HasLen, 0)
}

// The next leader knows what was reported to it while another one led, and what was
// committed; its list is newer than that of the leader before it.
func TestTheNextLeaderGoesOn(t *testing.T) {
	c := qt.New(t)
	cu, k := newCurator()
	k.standing.Leader = "another"
	cu.tick(cu.Clock.Now())
	reports(cu, "f", "a", "b", "c")
	cu.tick(cu.Clock.Now())
	res, _ := told(cu, 0)
	c.Check(res.GetSuspectsRevision(), qt.Equals, uint64(0), qt.Commentf("only a leader tells"))
	lead(cu, k)
	settleVerdicts(c, cu, k)
	first, _ := told(cu, 0)
	c.Check(first.GetSuspects(), qt.HasLen, 1)
	k.standing.Term = 3
	cu.tick(cu.Clock.Now())
	second, _ := told(cu, first.GetSuspectsRevision())
	c.Check(second.GetSuspectsRevision() > first.GetSuspectsRevision(), qt.IsTrue)
	c.Check(second.GetSuspects(), qt.HasLen, 1)
}

// A new version of what it asks for lets one gateway try it; a run that is completed there
// ends the hold.
func TestATrialEndsAHold(t *testing.T) {
	c := qt.New(t)
	cu, k := newCurator()
	lead(cu, k)
	reports(cu, "f", "a", "b", "c")
	settleVerdicts(c, cu, k)
	held := cu.state.Quarantined()[0]
	cu.apply(k.item(&wire.Command{Body: &wire.Command_HoldRequest{HoldRequest: &wire.HeldRequest{
		Fingerprint: "f", Model: "m/a", Place: held.GetPlace(),
	}}}))
	cu.apply(k.item(&wire.Command{Body: &wire.Command_PutAdapterVersion{PutAdapterVersion: &wire.AdapterVersion{
		Model: "m", Adapter: "a", Version: 2,
	}}}))
	advance(cu, time.Second)
	asks(cu, 1, 0)
	cu.news(cu.Clock.Now(), &wire.SyncRequest{})
	cu.tick(cu.Clock.Now())
	res, _ := told(cu, 0)
	c.Assert(res.GetSuspects(), qt.HasLen, 1)
	c.Check(res.GetSuspects()[0].GetTrialAt(), qt.Not(qt.Equals), "")
	cu.hear(cu.Clock.Now(), &wire.SyncRequest{Gateway: "0", RunReports: []*wire.RunReport{{Fingerprint: "f", Backend: "d", Completed: true}}})
	cu.tick(cu.Clock.Now())
	cu.apply(<-k.in)
	c.Check(cu.state.Quarantined(), qt.HasLen, 0)
}
