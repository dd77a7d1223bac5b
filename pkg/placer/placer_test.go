package placer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

func begin() time.Time { return time.Unix(1000, 0) }

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

func (e *engineFake) carryOut(now time.Time, o Order) (Outcome, *State) {
	e.pass(now)
	if o.Kind == Report {
		state := &State{Accepted: e.accepted, Models: []string{"m"}}
		for adapter, version := range e.held {
			state.Adapters = append(state.Adapters, adapter+"@"+strconv.FormatUint(version, 10))
		}
		return Holds, state
	}
	_, coming := e.coming[o.Adapter]
	_, held := e.held[o.Adapter]
	switch {
	case coming && o.Kind != Unload:
		return Accepted, nil
	case held && o.Kind != Unload && e.held[o.Adapter] >= o.Version:
		return Holds, nil
	case o.Kind == Unload && (!held || e.dropping == o.Adapter):
		return map[bool]Outcome{true: Accepted, false: Holds}[e.dropping == o.Adapter], nil
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
	return Holds, nil
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
	orders   map[Kind]int
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
		random: rand.New(rand.NewPCG(7, 7)), orders: map[Kind]int{}, told: map[string]*wire.Holding{},
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
			w.p.Done(w.now, lost.order, Unknown, nil)
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
			w.p.Done(w.now, o, outcome, state)
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

func name(i int) string { return fmt.Sprintf("m/a%d", i) }

func TestWantedAdaptersAreLoadedSoon(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 3, 8)
	w.pass(100 * time.Millisecond)
	w.p.Want(w.now, name(1), nil, time.Time{})
	w.pass(coldLoad + 60*time.Millisecond)
	c.Assert(w.usable(name(1)), qt.Equals, 1)
}

// Rare adapters at once, more than there are places: all are loaded in the end, none
// beyond the places, and each again quickly where it was before.
func TestRareAdaptersAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 3, 8)
	w.pass(100 * time.Millisecond)
	seen := map[string]bool{}
	for round := range 60 {
		for i := range 60 {
			if !seen[name(i)] {
				w.p.Demand(w.now, name(i), 1)
				w.p.Want(w.now, name(i), nil, time.Time{})
			}
		}
		w.pass(100 * time.Millisecond)
		for i := range 60 {
			seen[name(i)] = seen[name(i)] || w.usable(name(i)) > 0
		}
		if len(seen) == 60 && round > 0 && !slices.Contains([]bool{seen[name(0)]}, false) && allTrue(seen) {
			break
		}
	}
	c.Assert(allTrue(seen), qt.IsTrue)
}

func allTrue(set map[string]bool) bool {
	for _, ok := range set {
		if !ok {
			return false
		}
	}
	return true
}

// A hot adapter gets copies in proportion to its requests, a rare one does not.
func TestHotAdaptersGetCopies(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 6, 8)
	w.pass(100 * time.Millisecond)
	w.p.Want(w.now, name(1), nil, time.Time{})
	w.p.Want(w.now, name(2), nil, time.Time{})
	for range 50 {
		w.p.Demand(w.now, name(1), 6)
		w.pass(100 * time.Millisecond)
	}
	c.Check(w.usable(name(1)) >= 3, qt.IsTrue, qt.Commentf("%d copies", w.usable(name(1))))
	c.Check(w.usable(name(2)) <= 1, qt.IsTrue)
}

// An adapter that requests use is not unloaded, whatever waits for its place.
func TestUsedAdaptersStay(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 1, 4)
	w.pass(100 * time.Millisecond)
	w.p.Want(w.now, name(0), nil, time.Time{})
	w.pass(400 * time.Millisecond)
	c.Assert(w.usable(name(0)), qt.Equals, 1)
	w.fakes["e0"].running[name(0)] = true
	w.p.SetUse(map[string]*Use{"e0": {Requests: 1, Adapters: map[string]bool{name(0): true}}})
	for i := 1; i < 30; i++ {
		w.p.Want(w.now, name(i), nil, time.Time{})
		w.pass(200 * time.Millisecond)
		c.Assert(w.usable(name(0)), qt.Equals, 1)
	}
}

// Orders get no answer, and some are carried out seconds later, after newer ones: no
// engine ever gets more adapters than it has places (the fake checks), and the adapters
// that are wanted still come.
func TestOrdersWithoutAnswers(t *testing.T) {
	for _, share := range []float64{0.1, 0.35} {
		t.Run(fmt.Sprint(share), func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(c, 3, 6)
			w.unanswered, w.late = share, 0.5
			came := 0
			for i := range 120 {
				w.p.Demand(w.now, name(i%40), 1)
				w.p.Want(w.now, name(i%40), nil, time.Time{})
				w.pass(150 * time.Millisecond)
				if w.usable(name(i%40)) > 0 {
					came++
				}
				if i >= 3 && w.usable(name((i-3)%40)) > 0 {
					came++
				}
			}
			c.Check(came > 60, qt.IsTrue, qt.Commentf("%d", came))
		})
	}
}

// A new version takes the place of the old one at each engine that holds the adapter.
func TestNewVersions(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 2, 4)
	w.pass(100 * time.Millisecond)
	w.p.Want(w.now, name(1), nil, time.Time{})
	w.pass(400 * time.Millisecond)
	c.Assert(w.usable(name(1)), qt.Equals, 1)
	w.p.SetVersion(&wire.AdapterVersion{Model: "m", Adapter: "a1", Version: 5})
	w.pass(20 * time.Millisecond)
	c.Check(w.usable(name(1)), qt.Equals, 0)
}

// An engine that restarts empty gets its base model first, no faster than the store
// allows.
func TestRestartedEnginesGetTheirModel(t *testing.T) {
	c := qt.New(t)
	p := New(DefaultPolicy())
	p.SetTable(&wire.RoutingTable{Services: []*wire.RoutedService{{
		Name: "s", Engine: &wire.EngineLimits{Slots: 16, AdapterSlots: 4, Models: []string{"m"}, LoadsPerSecond: 2},
	}}})
	for i := range 4 {
		p.SetEngine(&wire.Announcement{Id: fmt.Sprint(i), Service: "s", Address: fmt.Sprint(i), Slots: 16})
	}
	loads := []time.Duration{}
	for now := begin(); now.Before(begin().Add(3 * time.Second)); now = now.Add(10 * time.Millisecond) {
		p.Want(now, "m/a1", nil, time.Time{})
		for _, o := range p.Plan(now) {
			switch o.Kind {
			case Report:
				p.Done(now, o, Holds, &State{})
			case LoadModel:
				if !slices.Contains(loads, now.Sub(begin())) && p.engines[o.Backend].modelAt.IsZero() {
					loads = append(loads, now.Sub(begin()))
				}
				p.Done(now, o, Accepted, nil)
			default:
				c.Fatalf("order %v to an engine without its model", o)
			}
		}
	}
	c.Assert(loads, qt.HasLen, 4)
	for i := 1; i < len(loads); i++ {
		c.Check(loads[i]-loads[i-1] >= 500*time.Millisecond, qt.IsTrue)
	}
}

// A leader that has just begun does not give up what it finds for the first rare adapter
// that is asked for, while there are others to give up.
func TestNewLeadersKeepWhatTheyFind(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 1, 6)
	for i := range 5 {
		w.fakes["e0"].held[name(i)] = 0
	}
	w.pass(100 * time.Millisecond)
	for i := range 4 {
		w.p.Demand(w.now, name(100+i), 1)
		w.p.Want(w.now, name(100+i), nil, time.Time{})
		w.pass(900 * time.Millisecond)
	}
	kept := 0
	for i := range 5 {
		kept += w.usable(name(i))
	}
	c.Check(kept >= 4, qt.IsTrue, qt.Commentf("%d of 5 kept", kept))
}

// A third of all answers of engines are lost, so that the end of many loads is seen late.
// The weight store carries as much as before, and that is what is to be learnt.
func TestLostAnswersDoNotLookLikeASlowStore(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 30, 8)
	w.pass(100 * time.Millisecond)
	w.unanswered, w.timeout = 0.35, 60*time.Millisecond
	next := 0
	for range 40 {
		for range 30 {
			w.p.Demand(w.now, name(next), 1)
			w.p.Want(w.now, name(next), nil, time.Time{})
			next++
		}
		w.pass(100 * time.Millisecond)
	}
	c.Check(w.p.Summary().MaxComing >= 75, qt.IsTrue, qt.Commentf("%d at once", w.p.Summary().MaxComing))
}

// Demand moves to an adapter that nobody asked for before: a hundred requests a second.
// Its copies come about as fast as loads allow, not as fast as popularity is forgotten.
func TestRisingAdaptersGetCopiesAtOnce(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 12, 8)
	w.pass(200 * time.Millisecond)
	w.p.Want(w.now, name(0), nil, time.Time{})
	for range 10 {
		w.p.Demand(w.now, name(0), 10)
		w.pass(100 * time.Millisecond)
	}
	c.Check(w.usable(name(0)) >= 5, qt.IsTrue, qt.Commentf("%d copies", w.usable(name(0))))
}

// A handful of requests that happen to come together make no copies.
func TestChanceMakesNoCopies(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 12, 8)
	w.pass(200 * time.Millisecond)
	w.p.Want(w.now, name(0), nil, time.Time{})
	for range 10 {
		w.p.Demand(w.now, name(0), 4)
		w.pass(time.Second)
	}
	c.Check(w.usable(name(0)), qt.Equals, 1)
}
