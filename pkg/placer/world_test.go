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

// engineFake carries orders out as the users' engines do: orders name the number of
// those accepted before, an unload waits for runs and holds up other orders, and a load
// takes its time.
type engineFake struct {
	c        *qt.C
	slots    int
	accepted uint64
	held     map[string]uint64
	coming   map[string]time.Time
	running  map[string]bool
	dropping string
	known    map[string]bool
	// store is shared by all engines; nil carries any number of loads.
	store *storeFake
}

// storeFake is a weight store that carries so many loads at full speed; beyond that each
// takes longer in proportion.
type storeFake struct{ width, coming int }

// begin returns how long a load takes that begins now.
func (s *storeFake) begin(took time.Duration) time.Duration {
	s.coming++
	return took * time.Duration(max(s.width, s.coming)) / time.Duration(s.width)
}

func newFake(c *qt.C, slots int) *engineFake {
	return &engineFake{
		c: c, slots: slots, held: map[string]uint64{}, coming: map[string]time.Time{},
		running: map[string]bool{}, known: map[string]bool{},
	}
}

const coldLoad = 250 * time.Millisecond

func (e *engineFake) pass(now time.Time) {
	for adapter, at := range e.coming {
		if !now.Before(at) {
			e.held[adapter] = 0
			if e.store != nil && !e.known[adapter] {
				e.store.coming--
			}
			e.known[adapter] = true
			delete(e.coming, adapter)
		}
	}
	if e.dropping != "" && !e.running[e.dropping] {
		delete(e.held, e.dropping)
		e.dropping = ""
	}
}

func (e *engineFake) carryOut(now time.Time, o Order) (Outcome, *EngineState) {
	e.pass(now)
	if o.Kind == Report {
		state := &EngineState{Accepted: e.accepted, Models: []string{"m"}}
		for adapter, version := range e.held {
			state.Adapters = append(state.Adapters, adapter+"@"+strconv.FormatUint(version, 10))
		}
		for adapter := range e.coming {
			// What is on its way counts for the places, and an engine's report has it.
			state.Loading = append(state.Loading, adapter+"@0")
		}
		return Completed, state
	}
	_, coming := e.coming[o.Adapter]
	_, held := e.held[o.Adapter]
	switch {
	case coming && o.Kind != Unload:
		return Accepted, nil
	case held && o.Kind != Unload && e.held[o.Adapter] >= o.Version:
		return Completed, nil
	case o.Kind == Unload && (!held || e.dropping == o.Adapter):
		return map[bool]Outcome{true: Accepted, false: Completed}[e.dropping == o.Adapter], nil
	case o.After != e.accepted || e.dropping != "":
		return Conflict, nil
	}
	e.accepted++
	if o.Kind != Unload {
		took := coldLoad
		if e.known[o.Adapter] {
			took /= 10
		} else if e.store != nil {
			took = e.store.begin(took)
		}
		e.coming[o.Adapter] = now.Add(took)
		e.c.Assert(len(e.held)+len(e.coming) <= e.slots, qt.IsTrue, qt.Commentf("more adapters than places"))
		e.c.Assert(len(e.coming) <= 4, qt.IsTrue, qt.Commentf("more than four on their way"))
		return Accepted, nil
	}
	if e.running[o.Adapter] {
		e.dropping = o.Adapter
		return Accepted, nil
	}
	delete(e.held, o.Adapter)
	return Completed, nil
}

// world is a placer with engines, moved on in steps of 10 ms.
type world struct {
	c      *qt.C
	p      *Placer
	fakes  map[string]*engineFake
	now    time.Time
	random *rand.Rand
	// unanswered is the share of orders whose answers are lost, and late the share of
	// these that are carried out later instead of now.
	unanswered, late float64
	// timeout is the time after which an order counts as unanswered.
	timeout  time.Duration
	pending  []pendingOrder
	timeouts []pendingOrder
	orders   map[OrderKind]int
	// planEvery is the time between two plans; a leader without enough processor time makes
	// fewer of them.
	planEvery time.Duration
	planned   time.Time
	// told is what gateways were told last of each engine.
	told map[string]*wire.Holding
}

type pendingOrder struct {
	order Order
	at    time.Time
}

func newWorld(c *qt.C, engines, slots int) *world {
	w := &world{
		c: c, p: New(DefaultPolicy()), fakes: map[string]*engineFake{}, now: begin(),
		random: rand.New(rand.NewPCG(7, 7)), orders: map[OrderKind]int{}, told: map[string]*wire.Holding{},
	}
	w.p.Begin(1)
	w.p.SetTable(&wire.RoutingTable{Services: []*wire.RoutedService{{
		Name: "s", Engine: &wire.EngineLimits{Slots: 16, AdapterSlots: uint32(slots), Models: []string{"m"}, LoadsPerSecond: 5},
	}}})
	for i := range engines {
		id := fmt.Sprintf("e%d", i)
		w.fakes[id] = newFake(c, slots)
		w.p.SetEngine(&wire.Announcement{Id: id, Service: "s", Address: "a-" + id, Slots: 16})
	}
	return w
}

func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(10 * time.Millisecond) {
		w.pending = slices.DeleteFunc(w.pending, func(late pendingOrder) bool {
			if w.now.Before(late.at) {
				return false
			}
			w.fakes[late.order.Backend].carryOut(w.now, late.order)
			return true
		})
		w.timeouts = slices.DeleteFunc(w.timeouts, func(lost pendingOrder) bool {
			if w.now.Before(lost.at) {
				return false
			}
			w.p.RecordOutcome(w.now, lost.order, Unknown, nil)
			return true
		})
		for _, f := range w.fakes {
			f.pass(w.now)
		}
		if w.now.Sub(w.planned) < w.planEvery {
			continue
		}
		w.planned = w.now
		for _, o := range w.p.Plan(w.now) {
			w.orders[o.Kind]++
			if w.random.Float64() < w.unanswered {
				if w.random.Float64() < w.late {
					w.pending = append(w.pending, pendingOrder{order: o, at: w.now.Add(time.Duration(w.random.IntN(8)) * time.Second)})
				} else {
					w.fakes[o.Backend].carryOut(w.now, o)
				}
				w.timeouts = append(w.timeouts, pendingOrder{order: o, at: w.now.Add(w.timeout)})
				continue
			}
			outcome, state := w.fakes[o.Backend].carryOut(w.now, o)
			w.p.RecordOutcome(w.now, o, outcome, state)
		}
	}
}

// usable counts the engines at which the gateways are told that an adapter is.
func (w *world) usable(adapter string) int {
	for _, h := range w.p.TakeChanged() {
		w.told[h.GetBackend()] = h
	}
	n := 0
	for _, h := range w.told {
		if slices.ContainsFunc(h.GetAdapters(), func(a string) bool { name, _ := splitVersion(a); return name == adapter }) {
			n++
		}
	}
	return n
}
