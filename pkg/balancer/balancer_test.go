package balancer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

func begin() time.Time { return time.Unix(1000, 0) }

func newBalancer(ids ...string) *Balancer {
	b := &Balancer{Zone: "z"}
	for _, id := range ids {
		b.Announce(begin(), announcement(id))
	}
	return b
}

func announcement(id string) *wire.Announcement {
	return &wire.Announcement{Id: id, Service: "s", Address: id, Zone: "z", Slots: 4, Sequence: 1}
}

func waiter(id string, change ...func(*Waiter)) *Waiter {
	w := &Waiter{ID: id, Service: "s", GiveUp: begin().Add(time.Second)}
	for _, c := range change {
		c(w)
	}
	return w
}

func adapter(name string) func(*Waiter) { return func(w *Waiter) { w.Adapter = name } }
func urgency(u uint32) func(*Waiter)    { return func(w *Waiter) { w.Urgency = u } }
func avoid(ids ...string) func(*Waiter) { return func(w *Waiter) { w.Avoid = ids } }

// decide enqueues waiters and returns what became of each: a backend server, "refused",
// or "waits".
func decide(b *Balancer, now time.Time, waiters ...*Waiter) map[string]string {
	result := map[string]string{}
	for _, w := range waiters {
		b.Enqueue(w)
		result[w.ID] = "waits"
	}
	decisions, _ := b.Next(now)
	for _, d := range decisions {
		if d.Backend != nil {
			result[d.Waiter.ID] = d.Backend.GetId()
			continue
		}
		result[d.Waiter.ID] = "refused"
	}
	return result
}

func TestUrgentRequestsGoFirst(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a")
	var waiters []*Waiter
	for i := range 8 {
		waiters = append(waiters, waiter(fmt.Sprintf("low%d", i), urgency(2)))
	}
	waiters = append(waiters, waiter("high", urgency(0)))
	result := decide(b, begin(), waiters...)
	c.Check(result["high"], qt.Equals, "a")
	c.Check(result["low0"], qt.Equals, "a")
	c.Check(result["low7"], qt.Equals, "waits")
}

func TestRefusals(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(b *Balancer)
		w       *Waiter
		at      time.Duration
		want    string
	}{
		"nobody serves it":                {func(*Balancer) {}, waiter("w", func(w *Waiter) { w.Service = "t" }), 0, "refused"},
		"all are leaving":                 {func(b *Balancer) { drain(b, "a", "b") }, waiter("w"), 0, "refused"},
		"all are full":                    {func(b *Balancer) { fill(b, "a", "b") }, waiter("w"), 0, "waits"},
		"all are full for too long":       {func(b *Balancer) { fill(b, "a", "b") }, waiter("w"), time.Second, "refused"},
		"the adapter is nowhere":          {func(*Balancer) {}, waiter("w", adapter("m/x")), 0, "waits"},
		"the adapter is nowhere for long": {func(*Balancer) {}, waiter("w", adapter("m/x")), time.Second, "refused"},
		"one is left":                     {func(b *Balancer) { drain(b, "a") }, waiter("w"), 0, "b"},
		"one has failed it":               {func(*Balancer) {}, waiter("w", avoid("a")), 0, "b"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newBalancer("a", "b")
			test.prepare(b)
			c.Check(decide(b, begin().Add(test.at), test.w)["w"], qt.Equals, test.want)
		})
	}
}

func drain(b *Balancer, ids ...string) {
	for _, id := range ids {
		a := announcement(id)
		a.Sequence, a.Draining = 2, true
		b.Announce(begin(), a)
	}
}

func fill(b *Balancer, ids ...string) {
	var loads []*wire.Load
	for _, id := range ids {
		loads = append(loads, &wire.Load{Backend: id, Requests: 4})
	}
	b.SetLoads(loads)
}

func hold(b *Balancer, term uint64, id string, adapters ...string) {
	b.SetHolding(term, &wire.Holding{Backend: id, Adapters: adapters})
}

func TestAdapters(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(b *Balancer)
		want    string
	}{
		"held by one":               {func(b *Balancer) { hold(b, 1, "b", "m/x@0") }, "b"},
		"held by nobody any more":   {func(b *Balancer) { hold(b, 1, "b", "m/x@0"); hold(b, 1, "b") }, "waits"},
		"an earlier leader's word":  {func(b *Balancer) { hold(b, 2, "b"); hold(b, 1, "b", "m/x@0") }, "waits"},
		"an old version":            {func(b *Balancer) { hold(b, 1, "b", "m/x@1"); version(b, 2) }, "waits"},
		"the named version":         {func(b *Balancer) { hold(b, 1, "b", "m/x@2"); version(b, 2) }, "b"},
		"just said not to be there": {func(b *Balancer) { hold(b, 1, "b", "m/x@0"); b.Done(begin(), "b", "m/x", 0, Absent) }, "waits"},
		"the other copy, if one fails": {func(b *Balancer) {
			hold(b, 1, "a", "m/x@0")
			hold(b, 1, "b", "m/x@0")
			b.Done(begin(), "a", "", 0, Unreachable)
		}, "b"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newBalancer("a", "b")
			test.prepare(b)
			c.Check(decide(b, begin(), waiter("w", adapter("m/x")))["w"], qt.Equals, test.want)
		})
	}
}

func version(b *Balancer, n uint64) {
	b.SetVersion(&wire.AdapterVersion{Model: "m", Adapter: "x", Version: n})
}

// A missing adapter is asked for once, and again only when the load should have ended.
func TestMissingAdaptersAreAskedForOnce(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a", "b")
	b.Done(begin(), "a", "", 0, Unreachable)
	b.Enqueue(waiter("v", adapter("m/x")))
	b.Enqueue(waiter("w", adapter("m/x")))
	_, wants := b.Next(begin())
	c.Assert(wants, qt.HasLen, 1)
	c.Check(wants[0].GetAvoid(), qt.DeepEquals, []string{"a"})
	_, wants = b.Next(begin().Add(100 * time.Millisecond))
	c.Check(wants, qt.HasLen, 0)
	_, wants = b.Next(begin().Add(450 * time.Millisecond))
	c.Check(wants, qt.HasLen, 1)
}

// A backend server that fails part of its requests while it looks healthy gets fewer,
// and gets them back once it has recovered.
func TestFailingBackendsAreLeftOutForAWhile(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a", "b", "c", "d")
	now := begin()
	share := func(fails func(id string, n int) bool) float64 {
		bad, total := 0, 0
		for n := range 400 {
			now = now.Add(20 * time.Millisecond)
			id := decide(b, now, waiter("w", func(w *Waiter) { w.GiveUp = now.Add(time.Second) }))["w"]
			outcome := Served
			if fails(id, n) {
				outcome = Failed
			}
			b.Done(now, id, "", 0, outcome)
			total++
			if id == "a" {
				bad++
			}
		}
		return float64(bad) / float64(total)
	}
	grey := share(func(id string, n int) bool { return id == "a" && n%5 < 2 })
	c.Check(grey < 0.15, qt.IsTrue, qt.Commentf("%v of the requests", grey))
	share(func(string, int) bool { return false })
	healed := share(func(string, int) bool { return false })
	c.Check(healed > 0.15, qt.IsTrue, qt.Commentf("%v of the requests", healed))
}

// When all fail, none is left out: the fault may be nearer than they are.
func TestNotAllAreLeftOut(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a", "b")
	b.Done(begin(), "a", "", 0, Unreachable)
	b.Done(begin(), "b", "", 0, Unreachable)
	c.Check(decide(b, begin(), waiter("w"))["w"], qt.Not(qt.Equals), "waits")
}

// Silent ones are used only as long as answers come from them.
func TestSilentBackends(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a", "b")
	silent := announcement("a")
	silent.Silent, silent.Sequence = true, 1
	b.Announce(begin(), silent)
	for range 5 {
		id := decide(b, begin(), waiter("w"))["w"]
		c.Check(id, qt.Equals, "b")
		b.Done(begin(), id, "", 0, Served)
	}
}

// Sixteen rare adapters and one hot one: requests that wait for a load hold up no others.
func TestWaitingForLoadsHoldsUpNobody(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a")
	hold(b, 1, "a", "m/hot@0")
	var waiters []*Waiter
	for i := range 16 {
		waiters = append(waiters, waiter(fmt.Sprint(i), adapter(fmt.Sprintf("m/rare%d", i))))
	}
	waiters = append(waiters, waiter("hot", adapter("m/hot"), urgency(5)))
	c.Check(decide(b, begin(), waiters...)["hot"], qt.Equals, "a")
	c.Check(b.Waiting(), qt.Equals, 16)
}

// A hot adapter at one engine: when that engine is much busier than the others, a copy
// elsewhere is asked for, and not while all are busy.
func TestCrowdedEnginesGetHelp(t *testing.T) {
	for name, test := range map[string]struct {
		others map[string]uint32
		want   int
	}{
		"idle":                  {nil, 0},
		"the holder is crowded": {map[string]uint32{"a": 3}, 1},
		"all are crowded":       {map[string]uint32{"a": 3, "b": 3, "c": 2}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newBalancer("a", "b", "c")
			hold(b, 1, "a", "m/hot@0")
			var loads []*wire.Load
			for id, n := range test.others {
				loads = append(loads, &wire.Load{Backend: id, Requests: n})
			}
			b.SetLoads(loads)
			b.Enqueue(waiter("w", adapter("m/hot")))
			decisions, wants := b.Next(begin())
			c.Assert(decisions, qt.HasLen, 1)
			c.Check(decisions[0].Backend.GetId(), qt.Equals, "a")
			c.Assert(wants, qt.HasLen, test.want)
			if test.want > 0 {
				c.Check(wants[0].GetAvoid(), qt.DeepEquals, []string{"a"})
			}
		})
	}
}

// Two of three servers fail all that they get, and the third has room for everything:
// almost nothing is sent to the two, though they are more than half of the service.
func TestSoundBackendsWithRoomComeFirst(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a", "b", "c")
	now := begin()
	failed := 0
	var running []time.Time
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		for len(running) > 0 && !now.Before(running[0]) {
			running = running[1:]
			b.Done(now, "c", "", 0, Served)
		}
		id := decide(b, now, waiter("w", func(w *Waiter) { w.GiveUp = now.Add(time.Second) }))["w"]
		if id == "c" {
			running = append(running, now.Add(25*time.Millisecond))
			continue
		}
		failed++
		b.Done(now, id, "", 0, Failed)
	}
	c.Check(failed < 15, qt.IsTrue, qt.Commentf("%d of 200", failed))
}

// While the sound ones are full and few, the others are used: the fault may be nearer.
func TestSuspectsHelpWhenTheSoundAreFull(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a", "b", "c")
	b.Done(begin(), "a", "", 0, Unreachable)
	b.Done(begin(), "b", "", 0, Unreachable)
	result := map[string]int{}
	for i := range 8 {
		name := fmt.Sprint(i)
		result[decide(b, begin(), waiter(name))[name]]++
	}
	c.Check(result["c"], qt.Equals, 4)
	c.Check(result["waits"], qt.Equals, 0)
}

// The only engine with an adapter has lost an answer: the request goes there again rather
// than wait for a load elsewhere; but not if nothing can be reached there, and not while
// another copy is there.
func TestTheOnlyHolderIsTriedAgain(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(b *Balancer)
		want    string
	}{
		"an answer was lost":  {func(b *Balancer) { b.Done(begin(), "a", "m/x", 0, Failed) }, "a"},
		"it is not reached":   {func(b *Balancer) { b.Done(begin(), "a", "m/x", 0, Unreachable) }, "waits"},
		"there is a copy":     {func(b *Balancer) { hold(b, 1, "b", "m/x@0") }, "b"},
		"the copy is full":    {func(b *Balancer) { hold(b, 1, "b", "m/x@0"); fill(b, "b") }, "waits"},
		"it is gone from all": {func(b *Balancer) { hold(b, 1, "a") }, "waits"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newBalancer("a", "b", "c")
			hold(b, 1, "a", "m/x@0")
			test.prepare(b)
			c.Check(decide(b, begin(), waiter("w", adapter("m/x"), avoid("a")))["w"], qt.Equals, test.want)
		})
	}
}

// The only engine with an adapter is full, and others have room: a copy is asked for there
// while the request waits. When all are full, a copy would help nobody.
func TestFullHoldersGetHelp(t *testing.T) {
	for name, test := range map[string]struct {
		full []string
		want int
	}{
		"others have room": {[]string{"a"}, 1},
		"all are full":     {[]string{"a", "b", "c"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newBalancer("a", "b", "c")
			hold(b, 1, "a", "m/x@0")
			fill(b, test.full...)
			b.Enqueue(waiter("w", adapter("m/x")))
			decisions, wants := b.Next(begin())
			c.Check(decisions, qt.HasLen, 0)
			c.Assert(wants, qt.HasLen, test.want)
			if test.want > 0 {
				c.Check(wants[0].GetAvoid(), qt.DeepEquals, []string{"a"})
			}
		})
	}
}

// Forty gateways hear of each other's requests only every 150 ms. They must not all send
// to the backend server that was the least loaded when they heard.
func TestGatewaysDoNotMeetAtOneBackend(t *testing.T) {
	c := qt.New(t)
	const (
		gateways = 40
		step     = 5 * time.Millisecond
		news     = 150 * time.Millisecond
		lasts    = 200 * time.Millisecond
	)
	ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	var all []*Balancer
	for range gateways {
		b := &Balancer{Zone: "z"}
		for _, id := range ids {
			a := announcement(id)
			a.Slots = 64
			b.Announce(begin(), a)
		}
		all = append(all, b)
	}
	type run struct {
		by int
		id string
		at time.Time
	}
	var running []run
	now, peak := begin(), 0
	for n := range 400 {
		now = now.Add(step)
		for len(running) > 0 && !now.Before(running[0].at.Add(lasts)) {
			all[running[0].by].Done(now, running[0].id, "", 0, Served)
			running = running[1:]
		}
		if n%int(news/step) == 0 {
			tellLoads(all)
		}
		by := n * 7 % gateways
		id := decide(all[by], now, waiter("w", func(w *Waiter) { w.GiveUp = now.Add(time.Second) }))["w"]
		running = append(running, run{by, id, now})
		there := 0
		for _, r := range running {
			if r.id == id {
				there++
			}
		}
		peak = max(peak, there)
	}
	// Five on average: a request every 5 ms that lasts 200 ms, at eight servers.
	c.Check(peak <= 15, qt.IsTrue, qt.Commentf("%d requests at one backend server", peak))
}

// tellLoads tells each gateway what the others have.
func tellLoads(all []*Balancer) {
	for i, b := range all {
		sums := map[string]uint32{}
		for j, other := range all {
			for _, l := range other.Loads() {
				if j != i {
					sums[l.GetBackend()] += l.GetRequests()
				}
			}
		}
		var loads []*wire.Load
		for id, n := range sums {
			loads = append(loads, &wire.Load{Backend: id, Requests: n})
		}
		b.SetLoads(loads)
	}
}

// After all instances were without power, controllers know versions before any backend
// server has announced itself, and gateways hear of them first.
func TestNewsInAnyOrder(t *testing.T) {
	for name, news := range map[string]func(*Balancer){
		"a version": func(b *Balancer) {
			b.SetVersion(&wire.AdapterVersion{Model: "m", Adapter: "a", Version: 2})
		},
		"a holding": func(b *Balancer) { b.SetHolding(1, &wire.Holding{Backend: "b"}) },
		"loads":     func(b *Balancer) { b.SetLoads([]*wire.Load{{Backend: "b", Requests: 1}}) },
		"a backlog": func(b *Balancer) { b.SetBacklog(time.Unix(1000, 0), "b", time.Second) },
		"a departure": func(b *Balancer) {
			b.Announce(time.Unix(1000, 0), &wire.Announcement{Id: "b", Gone: true})
		},
		"a request": func(b *Balancer) {
			b.Enqueue(&Waiter{Service: "s", Adapter: "m/a"})
			b.Next(time.Unix(1000, 0))
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := &Balancer{Zone: "z"}
			news(b)
			qt.New(t).Check(b.Ready(), qt.IsFalse)
		})
	}
}
