package planner_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bronzelead.example/pkg/planner"
	"bronzelead.example/pkg/retrier"
	"bronzelead.example/pkg/wire"
)

func policy() planner.Policy {
	return planner.Policy{
		LoadsPerSecond: 10, MaxConcurrentLoads: 3, StallWeight: 1, BatchWeight: 0.1,
		StarveAfter: 500 * time.Millisecond, MinResidence: time.Second, BackendLease: 3 * time.Second,
		OrderTimeout: 5 * time.Second, FailureBackoff: retrier.Backoff{Initial: 500 * time.Millisecond, Max: 10 * time.Second},
	}
}

// harness drives a planner with engines and one gateway for each session.
type harness struct {
	now      time.Time
	planner  *planner.Planner
	loaded   map[string]map[string]bool
	orders   []planner.Order
	leases   map[planner.SessionID]map[uint64]*wire.LeaseGrant
	inUse    map[uint64]int
	slots    int
	fencing  bool
	restarts map[string]int
}

func newHarness(engines, slots int) *harness {
	b := &harness{
		now: time.Unix(1000, 0), planner: &planner.Planner{Policy: policy()}, loaded: map[string]map[string]bool{},
		leases: map[planner.SessionID]map[uint64]*wire.LeaseGrant{}, inUse: map[uint64]int{},
		slots: slots, fencing: true, restarts: map[string]int{},
	}
	b.planner.Start(b.now, 1)
	b.planner.SetSynced(true)
	for i := range engines {
		b.loaded[fmt.Sprintf("engine-%d", i)] = map[string]bool{}
	}
	b.announce()
	return b
}

func (b *harness) announce() {
	for name, loaded := range b.loaded {
		info := &wire.Backend{
			Name: name, Incarnation: fmt.Sprint(b.restarts[name]), Kind: wire.BackendKind_BACKEND_KIND_ENGINE,
			BaseModel: "base", Slots: uint32(b.slots), Batch: 8, ChecksFencing: b.fencing,
		}
		for adapter := range loaded {
			info.Loaded = append(info.Loaded, adapter)
		}
		b.planner.UpdateEngine(b.now, info, false)
	}
}

// requestAdapter reports demand of a session and takes its leases.
func (b *harness) requestAdapter(id planner.SessionID, adapter string, waiting uint32) {
	b.planner.RecordDemand(b.now, id, &wire.AdapterDemand{Adapter: adapter, BaseModel: "base", Waiting: waiting, Started: waiting})
	if b.leases[id] == nil {
		b.leases[id] = map[uint64]*wire.LeaseGrant{}
	}
	for _, g := range b.planner.GrantLeases(b.now, id, adapter) {
		b.leases[id][g.GetId()] = g
	}
}

// releaseRecalled releases recalled leases that no request uses.
func (b *harness) releaseRecalled(id planner.SessionID) {
	for _, lease := range b.planner.Recalls(id) {
		if b.inUse[lease] == 0 {
			b.planner.Release(id, planner.LeaseID(lease))
			delete(b.leases[id], lease)
		}
	}
}

// step advances the time, carries out orders, and returns the adapters that were unloaded while
// a request used them.
func (b *harness) step(d time.Duration, fail bool) []string {
	b.now = b.now.Add(d)
	var unloadedInUse []string
	for _, o := range b.orders {
		current := fmt.Sprint(b.restarts[o.Backend]) == o.Incarnation
		if o.Kind == planner.Unload && current {
			unloadedInUse = append(unloadedInUse, b.users(o)...)
			delete(b.loaded[o.Backend], o.Adapter)
		}
		if o.Kind == planner.Load && current && !fail {
			b.loaded[o.Backend][o.Adapter] = true
		}
		b.planner.RecordOutcome(b.now, o.ID, outcomeOf(current && !fail))
	}
	b.orders = b.planner.Plan(b.now)
	return unloadedInUse
}

func outcomeOf(ok bool) planner.Outcome {
	if ok {
		return planner.Completed
	}
	return planner.Refused
}

func (b *harness) users(o planner.Order) []string {
	var users []string
	for _, leases := range b.leases {
		for id, g := range leases {
			same := g.GetBackend() == o.Backend && g.GetAdapter() == o.Adapter && g.GetIncarnation() == o.Incarnation
			if same && b.inUse[id] > 0 {
				users = append(users, o.Adapter)
			}
		}
	}
	return users
}

func TestAdaptersInUseAreNotUnloaded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newHarness(3, 2)
		for range 150 {
			id := planner.SessionID(rapid.IntRange(1, 3).Draw(rt, "session"))
			adapter := fmt.Sprintf("a%d", rapid.IntRange(0, 11).Draw(rt, "adapter"))
			switch rapid.IntRange(0, 6).Draw(rt, "event") {
			case 0, 1:
				b.requestAdapter(id, adapter, rapid.Uint32Range(0, 5).Draw(rt, "waiting"))
			case 2:
				b.startRequest(rt, id)
			case 3:
				b.inUse = map[uint64]int{}
			case 4:
				b.releaseRecalled(id)
			case 5:
				name := fmt.Sprintf("engine-%d", rapid.IntRange(0, 2).Draw(rt, "engine"))
				b.restarts[name]++
				b.loaded[name] = map[string]bool{}
			}
			b.announce()
			if unloadedInUse := b.step(300*time.Millisecond, rapid.IntRange(0, 9).Draw(rt, "fails") == 0); len(unloadedInUse) > 0 {
				rt.Fatalf("adapters unloaded while in use: %v", unloadedInUse)
			}
			for name, loaded := range b.loaded {
				if len(loaded) > b.slots {
					rt.Fatalf("%s holds %d adapters in %d slots", name, len(loaded), b.slots)
				}
			}
		}
	})
}

// startRequest starts a request under a lease that was not recalled.
func (b *harness) startRequest(rt *rapid.T, id planner.SessionID) {
	recalled := map[uint64]bool{}
	for _, lease := range b.planner.Recalls(id) {
		recalled[lease] = true
	}
	var usable []uint64
	for lease := range b.leases[id] {
		if !recalled[lease] {
			usable = append(usable, lease)
		}
	}
	if len(usable) > 0 {
		b.inUse[usable[rapid.IntRange(0, len(usable)-1).Draw(rt, "lease")]]++
	}
}

func TestFailingAdapterDoesNotStarveOthers(t *testing.T) {
	c := qt.New(t)
	b := newHarness(3, 4)
	loads := map[string]int{}
	for range 100 {
		b.requestAdapter(1, "broken", 50)
		b.requestAdapter(1, "fine", 1)
		b.announce()
		b.now = b.now.Add(100 * time.Millisecond)
		for _, o := range b.planner.Plan(b.now) {
			loads[o.Adapter]++
			ok := o.Adapter == "fine"
			if ok {
				b.loaded[o.Backend][o.Adapter] = true
			}
			b.planner.RecordOutcome(b.now, o.ID, outcomeOf(ok))
		}
	}
	c.Assert(loads["fine"], qt.Equals, 1)
	c.Assert(loads["broken"] < 8, qt.IsTrue, qt.Commentf("%d loads of an adapter that can't be loaded", loads["broken"]))
}

// An engine still announces itself, but no order reaches it. It gets few orders, longer apart
// each time, and an adapter that waits for a slot is loaded where orders arrive.
func TestUnreachableEnginesGetFewOrders(t *testing.T) {
	c := qt.New(t)
	b := newHarness(2, 1)
	b.loaded["engine-0"]["old-0"] = true
	b.loaded["engine-1"]["old-1"] = true
	b.announce()
	b.now = b.now.Add(2 * time.Second)
	lost := 0
	for range 600 {
		b.requestAdapter(1, "new", 5)
		b.announce()
		b.now = b.now.Add(20 * time.Millisecond)
		for _, o := range b.planner.Plan(b.now) {
			if o.Backend == "engine-0" {
				lost++
				b.planner.RecordOutcome(b.now, o.ID, planner.Unanswered)
				continue
			}
			if o.Kind == planner.Unload {
				delete(b.loaded[o.Backend], o.Adapter)
			} else {
				b.loaded[o.Backend][o.Adapter] = true
			}
			b.planner.RecordOutcome(b.now, o.ID, planner.Completed)
		}
		b.releaseRecalled(1)
	}
	c.Check(b.loaded["engine-1"]["new"], qt.IsTrue)
	c.Check(lost <= 12, qt.IsTrue, qt.Commentf("%d orders in 12 s to an unreachable engine", lost))
}

func TestLoadsRespectTheWeightStoreLimits(t *testing.T) {
	c := qt.New(t)
	b := newHarness(10, 10)
	for i := range 100 {
		b.requestAdapter(1, fmt.Sprintf("a%d", i), 1)
	}
	total := 0
	for range 20 {
		b.announce()
		c.Assert(len(b.orders) <= 3, qt.IsTrue, qt.Commentf("%d concurrent loads", len(b.orders)))
		total += len(b.orders)
		c.Assert(b.step(100*time.Millisecond, false), qt.HasLen, 0)
	}
	c.Assert(total <= 2*10+3, qt.IsTrue, qt.Commentf("%d loads in 2s at 10 a second", total))
}

func TestNewLeaderRestrictsOrders(t *testing.T) {
	cases := map[string]struct {
		synced, fencing bool
		after           time.Duration
		orders          int
	}{
		"no recall before all sessions have reported":    {fencing: true, after: time.Second},
		"a recall afterwards":                            {synced: true, fencing: true, after: time.Second, orders: 1},
		"no order at first to an engine without fencing": {synced: true, after: time.Second},
		"an order once no old one can arrive any more":   {synced: true, after: 6 * time.Second, orders: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newHarness(1, 1)
			b.fencing = tc.fencing
			b.loaded["engine-0"]["old"] = true
			b.planner.Start(b.now, 2)
			b.planner.SetSynced(tc.synced)
			b.announce()
			b.now = b.now.Add(tc.after)
			b.announce()
			b.requestAdapter(1, "new", 5)
			b.planner.Plan(b.now)
			b.now = b.now.Add(600 * time.Millisecond)
			b.announce()
			orders := b.planner.Plan(b.now)
			orders = append(orders, b.planner.Plan(b.now)...)
			c.Assert(orders, qt.HasLen, tc.orders)
		})
	}
}
