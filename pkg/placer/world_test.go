package placer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

// fakeEngine carries out orders as real engines do: orders name the number of those accepted
// before, an unload waits for running requests and blocks other orders, and a load takes time.
type fakeEngine struct {
	c         *qt.C
	slots     int
	accepted  uint64
	held      map[string]uint64
	loading   map[string]time.Time
	running   map[string]bool
	unloading string
	cached    map[string]bool
	// copies bounds the weight copies that it keeps, the least recently loaded of which goes
	// first; 0 keeps all. copyOrder lists them.
	copies    int
	copyOrder []string
	// slowdown multiplies the time of its loads, but not what they take from the store; 0 is 1.
	slowdown int
	// store is shared by all engines; nil carries any number of loads.
	store *fakeStore
	// fromStore are the loads in progress that come from the store.
	fromStore map[string]bool
}

// fakeStore is a weight store that carries so many loads at full speed; beyond that each takes
// longer in proportion.
type fakeStore struct{ concurrency, loading int }

// startLoad returns how long a load takes that begins now.
func (s *fakeStore) startLoad(took time.Duration) time.Duration {
	s.loading++
	return took * time.Duration(max(s.concurrency, s.loading)) / time.Duration(s.concurrency)
}

func newFakeEngine(c *qt.C, slots int) *fakeEngine {
	return &fakeEngine{
		c: c, slots: slots, held: map[string]uint64{}, loading: map[string]time.Time{},
		running: map[string]bool{}, cached: map[string]bool{}, fromStore: map[string]bool{},
	}
}

const coldLoad = 250 * time.Millisecond

func (e *fakeEngine) advance(now time.Time) {
	for adapter, at := range e.loading {
		if !now.Before(at) {
			e.held[adapter] = 0
			if e.fromStore[adapter] {
				e.store.loading--
				delete(e.fromStore, adapter)
			}
			e.keepCopy(adapter)
			delete(e.loading, adapter)
		}
	}
	if e.unloading != "" && !e.running[e.unloading] {
		delete(e.held, e.unloading)
		e.unloading = ""
	}
}

// keepCopy keeps a copy of an adapter's weights, in place of the oldest one.
func (e *fakeEngine) keepCopy(adapter string) {
	e.cached[adapter] = true
	e.copyOrder = append(slices.DeleteFunc(e.copyOrder, func(a string) bool { return a == adapter }), adapter)
	if e.copies > 0 && len(e.copyOrder) > e.copies {
		delete(e.cached, e.copyOrder[0])
		e.copyOrder = e.copyOrder[1:]
	}
}

func (e *fakeEngine) execute(now time.Time, o Order) (Outcome, *EngineState) {
	e.advance(now)
	if o.Kind == Report {
		state := &EngineState{Accepted: e.accepted, Models: []string{"m"}}
		for adapter, version := range e.held {
			state.Adapters = append(state.Adapters, adapter+"@"+strconv.FormatUint(version, 10))
		}
		for adapter := range e.loading {
			// Loads in progress take slots, and an engine's report has them.
			state.Loading = append(state.Loading, adapter+"@0")
		}
		return Completed, state
	}
	_, loading := e.loading[o.Adapter]
	_, held := e.held[o.Adapter]
	switch {
	case loading && o.Kind != Unload:
		return Accepted, nil
	case held && o.Kind != Unload && e.held[o.Adapter] >= o.Version:
		return Completed, nil
	case o.Kind == Unload && (!held || e.unloading == o.Adapter):
		return map[bool]Outcome{true: Accepted, false: Completed}[e.unloading == o.Adapter], nil
	case o.After != e.accepted || e.unloading != "":
		return Conflict, nil
	}
	e.accepted++
	if o.Kind != Unload {
		took := coldLoad
		if e.cached[o.Adapter] {
			took /= 10
		} else if e.store != nil {
			took = e.store.startLoad(took)
			e.fromStore[o.Adapter] = true
		}
		took *= time.Duration(max(1, e.slowdown))
		e.loading[o.Adapter] = now.Add(took)
		e.c.Assert(len(e.held)+len(e.loading) <= e.slots, qt.IsTrue, qt.Commentf("more adapters than slots"))
		e.c.Assert(len(e.loading) <= 4, qt.IsTrue, qt.Commentf("more than four concurrent loads"))
		return Accepted, nil
	}
	if e.running[o.Adapter] {
		e.unloading = o.Adapter
		return Accepted, nil
	}
	delete(e.held, o.Adapter)
	return Completed, nil
}

// simulation is a placer with fake engines, advanced in steps of 10 ms.
type simulation struct {
	c       *qt.C
	p       *Placer
	engines map[string]*fakeEngine
	now     time.Time
	random  *rand.Rand
	// lostShare is the share of orders whose answers are lost, and delayedShare the share of
	// these that are carried out later instead of at once.
	lostShare, delayedShare float64
	// timeout is the time after which an order counts as unanswered.
	timeout  time.Duration
	delayed  []pendingOrder
	timeouts []pendingOrder
	orders   map[OrderKind]int
	// planInterval is the time between two plans; a leader short of processor time makes fewer
	// of them.
	planInterval time.Duration
	lastPlan     time.Time
	// reported is what was last reported to gateways of each engine.
	reported map[string]*wire.Holding
}

type pendingOrder struct {
	order Order
	at    time.Time
}

func newSimulation(c *qt.C, engines, slots int) *simulation {
	w := &simulation{
		c: c, p: New(DefaultPolicy()), engines: map[string]*fakeEngine{}, now: startTime(),
		random: rand.New(rand.NewPCG(7, 7)), orders: map[OrderKind]int{}, reported: map[string]*wire.Holding{},
	}
	w.p.Begin(1)
	w.p.SetTable(&wire.RoutingTable{Services: []*wire.RoutedService{{
		Name: "s", Engine: &wire.EngineLimits{Slots: 16, AdapterSlots: uint32(slots), Models: []string{"m"}, LoadsPerSecond: 5},
	}}})
	for i := range engines {
		id := fmt.Sprintf("e%d", i)
		w.engines[id] = newFakeEngine(c, slots)
		w.p.SetEngine(&wire.Announcement{Id: id, Service: "s", Address: "a-" + id, Slots: 16})
	}
	return w
}

func (w *simulation) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(10 * time.Millisecond) {
		w.delayed = slices.DeleteFunc(w.delayed, func(late pendingOrder) bool {
			if w.now.Before(late.at) {
				return false
			}
			w.engines[late.order.Backend].execute(w.now, late.order)
			return true
		})
		w.timeouts = slices.DeleteFunc(w.timeouts, func(lost pendingOrder) bool {
			if w.now.Before(lost.at) {
				return false
			}
			w.p.RecordOutcome(w.now, lost.order, Unknown, nil)
			return true
		})
		for _, f := range w.engines {
			f.advance(w.now)
		}
		if w.now.Sub(w.lastPlan) < w.planInterval {
			continue
		}
		w.lastPlan = w.now
		for _, o := range w.p.Plan(w.now) {
			w.orders[o.Kind]++
			if w.random.Float64() < w.lostShare {
				if w.random.Float64() < w.delayedShare {
					w.delayed = append(w.delayed, pendingOrder{order: o, at: w.now.Add(time.Duration(w.random.IntN(8)) * time.Second)})
				} else {
					w.engines[o.Backend].execute(w.now, o)
				}
				w.timeouts = append(w.timeouts, pendingOrder{order: o, at: w.now.Add(w.timeout)})
				continue
			}
			outcome, state := w.engines[o.Backend].execute(w.now, o)
			w.p.RecordOutcome(w.now, o, outcome, state)
		}
	}
}

// readyCount counts the engines at which an adapter is reported as ready to the gateways.
func (w *simulation) readyCount(adapter string) int {
	for _, h := range w.p.TakeChanged() {
		w.reported[h.GetBackend()] = h
	}
	n := 0
	for _, h := range w.reported {
		if slices.ContainsFunc(h.GetAdapters(), func(a string) bool { name, _ := splitVersion(a); return name == adapter }) {
			n++
		}
	}
	return n
}
