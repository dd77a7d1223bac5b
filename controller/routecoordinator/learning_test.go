package routecoordinator

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/placer"
	"bronzelead.example/pkg/wire"
)

// run lets a coordinator take calls until the test ends.
func run(t *testing.T, co *Coordinator) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go co.Run(ctx)
}

// withEngine adds an engine that holds adapters to a leader.
func withEngine(co *Coordinator, adapters ...string) {
	now := co.Clock.Now()
	co.placer.SetTable(&wire.RoutingTable{Services: []*wire.RoutedService{{Name: "s", Engine: &wire.EngineLimits{AdapterSlots: 4, Models: []string{"m"}}}}})
	co.placer.SetEngine(&wire.Announcement{Id: "e", Service: "s", Slots: 4})
	co.placer.RecordOutcome(now, co.placer.Plan(now)[0], placer.Completed, &placer.EngineState{Models: []string{"m"}, Adapters: adapters})
}

// The next leader knows the demand, which weights an engine keeps and how many, as its
// predecessor did.
func TestNextLeaderKeepsLearntState(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	first, k := newCoordinator()
	lead(first, k)
	withEngine(first, "m/x@0")
	first.knowledge.SetLearnt(&wire.Learnt{ColdLoadUs: 300_000, StoreWidth: 64, Measured: true, KeptCopies: 60})
	next, nextRaft := newCoordinator()
	run(t, next)
	res := first.buildResponse(first.Clock.Now(), &wire.SyncRequest{Knowledge: true})
	c.Check(res.GetHasLoads(), qt.IsFalse)
	c.Assert(next.ApplyLeaderState(ctx, res), qt.IsNil)
	revision, err := next.LeaderHoldingRevision(ctx)
	c.Assert(err, qt.IsNil)
	c.Check(revision, qt.Equals, first.holdings.Revision())
	c.Assert(next.Call(ctx, func(now time.Time) {
		next.observeGateway(now, &wire.SyncRequest{Gateway: "g", Demand: []*wire.Demand{{Adapter: "m/x", Requests: 100}}})
		lead(next, nextRaft)
	}), qt.IsNil)
	c.Check(next.knowledge.Learnt().String(), qt.Equals, first.knowledge.Learnt().String())
	c.Check(next.knowledge.HasCachedWeights("e", "m/x"), qt.IsTrue)
	c.Check(next.knowledge.HasCachedWeights("e", "m/y"), qt.IsFalse)
	c.Check(next.knowledge.Rate(next.Clock.Now(), "m/x") > 10, qt.IsTrue)
}

// State that does not come from a leader, has a gap before it or holds impossible values
// changes nothing.
func TestInvalidLeaderStateIsIgnored(t *testing.T) {
	for name, res := range map[string]*wire.SyncResponse{
		"not from a leader":     {HoldingRevision: 1<<32 + 1, Holdings: []*wire.Holding{{Backend: "e", Adapters: []string{"m/x@0"}}}},
		"a gap":                 {Leads: true, HoldingRevision: 1<<32 + 9, HoldingsSince: 1<<32 + 5, Holdings: []*wire.Holding{{Backend: "e", Adapters: []string{"m/x@0"}}}},
		"impossible values":     {Leads: true, Learnt: &wire.Learnt{ColdLoadUs: 1, StoreWidth: -5, Measured: true, KeptCopies: 1 << 30}},
		"a width without loads": {Leads: true, Learnt: &wire.Learnt{StoreWidth: 7}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			co, _ := newCoordinator()
			run(t, co)
			before := co.knowledge.Learnt().String()
			c.Assert(co.ApplyLeaderState(context.Background(), res), qt.IsNil)
			c.Check(co.knowledge.HasCachedWeights("e", "m/x"), qt.IsFalse)
			c.Check(co.knowledge.Learnt().String(), qt.Equals, before)
		})
	}
}

// A controller that requests the learnt state is not counted as a gateway.
func TestControllerIsNotCountedAsGateway(t *testing.T) {
	c := qt.New(t)
	co, k := newCoordinator()
	lead(co, k)
	co.observeGateway(co.Clock.Now(), &wire.SyncRequest{Gateway: "controller", Knowledge: true})
	c.Check(co.gateways, qt.HasLen, 0)
}
