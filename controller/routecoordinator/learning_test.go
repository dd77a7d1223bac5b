package routecoordinator

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/placer"
	"bronzelead.example/pkg/wire"
)

// run lets a curator take calls until the test ends.
func run(t *testing.T, cu *Coordinator) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go cu.Run(ctx)
}

// withEngine lets a leader know an engine that holds adapters.
func withEngine(cu *Coordinator, adapters ...string) {
	now := cu.Clock.Now()
	cu.placer.SetTable(&wire.RoutingTable{Services: []*wire.RoutedService{{Name: "s", Engine: &wire.EngineLimits{AdapterSlots: 4, Models: []string{"m"}}}}})
	cu.placer.SetEngine(&wire.Announcement{Id: "e", Service: "s", Slots: 4})
	cu.placer.RecordOutcome(now, cu.placer.Plan(now)[0], placer.Completed, &placer.EngineState{Models: []string{"m"}, Adapters: adapters})
}

// A controller that leads next knows what is asked for, which weights an engine keeps and
// how many, as the leader before it did.
func TestTheNextLeaderGoesOnFromWhatIsLearnt(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	first, k := newCurator()
	lead(first, k)
	withEngine(first, "m/x@0")
	first.knowledge.SetLearnt(&wire.Learnt{ColdLoadUs: 300_000, StoreWidth: 64, Measured: true, KeptCopies: 60})
	next, nextKeeper := newCurator()
	run(t, next)
	res := first.news(first.Clock.Now(), &wire.SyncRequest{Knowledge: true})
	c.Check(res.GetHasLoads(), qt.IsFalse)
	c.Assert(next.ApplyLeaderState(ctx, res), qt.IsNil)
	revision, err := next.LeaderHoldingRevision(ctx)
	c.Assert(err, qt.IsNil)
	c.Check(revision, qt.Equals, first.holdings.Revision())
	c.Assert(next.Call(ctx, func(now time.Time) {
		next.hear(now, &wire.SyncRequest{Gateway: "g", Demand: []*wire.Demand{{Adapter: "m/x", Requests: 100}}})
		lead(next, nextKeeper)
	}), qt.IsNil)
	c.Check(next.knowledge.Learnt().String(), qt.Equals, first.knowledge.Learnt().String())
	c.Check(next.knowledge.HasCachedWeights("e", "m/x"), qt.IsTrue)
	c.Check(next.knowledge.HasCachedWeights("e", "m/y"), qt.IsFalse)
	c.Check(next.knowledge.Rate(next.Clock.Now(), "m/x") > 10, qt.IsTrue)
}

// What is told by nobody who leads, what leaves a gap and what can't be changes nothing.
func TestWhatIsNotLearnt(t *testing.T) {
	for name, res := range map[string]*wire.SyncResponse{
		"not from a leader":     {HoldingRevision: 1<<32 + 1, Holdings: []*wire.Holding{{Backend: "e", Adapters: []string{"m/x@0"}}}},
		"a gap":                 {Leads: true, HoldingRevision: 1<<32 + 9, HoldingsSince: 1<<32 + 5, Holdings: []*wire.Holding{{Backend: "e", Adapters: []string{"m/x@0"}}}},
		"impossible numbers":    {Leads: true, Learnt: &wire.Learnt{ColdLoadUs: 1, StoreWidth: -5, Measured: true, KeptCopies: 1 << 30}},
		"a width without loads": {Leads: true, Learnt: &wire.Learnt{StoreWidth: 7}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			cu, _ := newCurator()
			run(t, cu)
			before := cu.knowledge.Learnt().String()
			c.Assert(cu.ApplyLeaderState(context.Background(), res), qt.IsNil)
			c.Check(cu.knowledge.HasCachedWeights("e", "m/x"), qt.IsFalse)
			c.Check(cu.knowledge.Learnt().String(), qt.Equals, before)
		})
	}
}

// A controller that asks what is learnt is no gateway.
func TestAnAskingControllerIsNoGateway(t *testing.T) {
	c := qt.New(t)
	cu, k := newCurator()
	lead(cu, k)
	cu.hear(cu.Clock.Now(), &wire.SyncRequest{Gateway: "controller", Knowledge: true})
	c.Check(cu.gateways, qt.HasLen, 0)
}
