package placer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/throttler"
	"bronzelead.example/pkg/wire"
)

func begin() time.Time { return time.Unix(1000, 0) }

func name(i int) string { return fmt.Sprintf("m/a%d", i) }

func TestWantedAdaptersAreLoadedSoon(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 3, 8)
	w.pass(100 * time.Millisecond)
	w.p.RequestLoad(w.now, name(1), nil, time.Time{})
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
				w.p.RecordRequests(w.now, name(i), 1)
				w.p.RequestLoad(w.now, name(i), nil, time.Time{})
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
	w.p.RequestLoad(w.now, name(1), nil, time.Time{})
	w.p.RequestLoad(w.now, name(2), nil, time.Time{})
	for range 50 {
		w.p.RecordRequests(w.now, name(1), 6)
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
	w.p.RequestLoad(w.now, name(0), nil, time.Time{})
	w.pass(400 * time.Millisecond)
	c.Assert(w.usable(name(0)), qt.Equals, 1)
	w.fakes["e0"].running[name(0)] = true
	w.p.SetUsage(map[string]*Usage{"e0": {Requests: 1, Adapters: map[string]bool{name(0): true}}})
	for i := 1; i < 30; i++ {
		w.p.RequestLoad(w.now, name(i), nil, time.Time{})
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
				w.p.RecordRequests(w.now, name(i%40), 1)
				w.p.RequestLoad(w.now, name(i%40), nil, time.Time{})
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
	w.p.RequestLoad(w.now, name(1), nil, time.Time{})
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
		p.RequestLoad(now, "m/a1", nil, time.Time{})
		for _, o := range p.Plan(now) {
			switch o.Kind {
			case Report:
				p.RecordOutcome(now, o, Completed, &EngineState{})
			case LoadModel:
				if !slices.Contains(loads, now.Sub(begin())) && p.engines[o.Backend].modelAt.IsZero() {
					loads = append(loads, now.Sub(begin()))
				}
				p.RecordOutcome(now, o, Accepted, nil)
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
		w.p.RecordRequests(w.now, name(100+i), 1)
		w.p.RequestLoad(w.now, name(100+i), nil, time.Time{})
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
			w.p.RecordRequests(w.now, name(next), 1)
			w.p.RequestLoad(w.now, name(next), nil, time.Time{})
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
	w.p.RequestLoad(w.now, name(0), nil, time.Time{})
	for range 10 {
		w.p.RecordRequests(w.now, name(0), 10)
		w.pass(100 * time.Millisecond)
	}
	c.Check(w.usable(name(0)) >= 5, qt.IsTrue, qt.Commentf("%d copies", w.usable(name(0))))
}

// A handful of requests that happen to come together make no copies.
func TestChanceMakesNoCopies(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 12, 8)
	w.pass(200 * time.Millisecond)
	w.p.RequestLoad(w.now, name(0), nil, time.Time{})
	for range 10 {
		w.p.RecordRequests(w.now, name(0), 4)
		w.pass(time.Second)
	}
	c.Check(w.usable(name(0)), qt.Equals, 1)
}

// An engine that limits its request rate takes adapters as far as the limit allows; the others
// take the rest.
func TestALimitedEngineTakesWhatItsLimitAllows(t *testing.T) {
	for title, test := range map[string]struct {
		limit throttler.Limit
		held  bool
	}{
		"no limit":        {throttler.Limit{}, true},
		"a limit of much": {throttler.LimitOf(100), true},
		"a limit of few":  {throttler.LimitOf(0.01), false},
		"a limit of zero": {throttler.LimitOf(0), false},
	} {
		t.Run(title, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(c, 2, 8)
			w.pass(100 * time.Millisecond)
			w.p.SetLimit("e1", test.limit)
			for i := range 6 {
				w.p.RecordRequests(w.now, name(i), 1)
				w.p.RequestLoad(w.now, name(i), nil, time.Time{})
			}
			w.pass(time.Second)
			c.Check(len(w.fakes["e1"].held) > 0, qt.Equals, test.held)
			for i := range 6 {
				c.Check(w.usable(name(i)), qt.Equals, 1)
			}
		})
	}
}

// An order of an earlier leader may be carried out between an order without an answer and its
// repetition. The engine holds something else then than the new leader believes, and must not be
// given more than it has places for.
func TestLateOrdersOfAnEarlierLeaderDoNotOverfillAnEngine(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 1, 6)
	for i := range 5 {
		w.fakes["e0"].held[name(i)] = 0
	}
	w.timeout = 60 * time.Millisecond
	w.pass(100 * time.Millisecond)
	w.unanswered, w.late = 1, 1
	w.p.RecordRequests(w.now, name(100), 1)
	w.p.RequestLoad(w.now, name(100), nil, time.Time{})
	for w.orders[Load] == 0 {
		w.pass(10 * time.Millisecond)
	}
	w.unanswered, w.pending = 0, nil
	earlier, _ := w.fakes["e0"].carryOut(w.now, Order{Kind: Load, Backend: "e0", Adapter: name(200)})
	c.Assert(earlier, qt.Equals, Accepted)
	came := false
	for range 8 {
		// Gateways ask again while requests wait.
		w.p.RecordRequests(w.now, name(100), 1)
		w.p.RequestLoad(w.now, name(100), nil, time.Time{})
		w.pass(400 * time.Millisecond)
		came = came || w.usable(name(100)) > 0
	}
	c.Check(came, qt.IsTrue, qt.Commentf("it is loaded in the end"))
}
