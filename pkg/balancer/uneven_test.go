package balancer

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/disseminator"
	"bronzelead.example/pkg/wire"
)

const (
	unevenGateways = 80
	unevenEngines  = 90
	unevenSlots    = 12
	// unevenTick is the step of virtual time, unevenWarmup the time that is not measured.
	unevenTick   = 2 * time.Millisecond
	unevenWarmup = 4 * time.Second
	unevenEnd    = 20 * time.Second
	// unevenTransit is the time of a message between a gateway and the controller. A gateway calls
	// every 150 ms, so that what it knows of the others is 150 to 300 ms old.
	unevenTransit  = 75 * time.Millisecond
	unevenInterval = 150 * time.Millisecond
	// cutFrom and cutUntil bound the time of a cut.
	cutFrom  = 8 * time.Second
	cutUntil = 14 * time.Second
	// eventWork is the time between two events of a stream, in ms at the usual pace.
	eventWork = 38.3
)

// unevenClass is a kind of request: its rate per second, its urgency, and the ms that its prompt and
// its output take at the usual pace.
type unevenClass struct {
	rate           float64
	urgency        uint32
	tokens         int
	prompt, output float64
}

var unevenSeed = flag.Uint64("uneven.seed", 1, "seed of the uneven sites")

var unevenClasses = []unevenClass{{709, 0, 1460, 38, 220}, {55.5, 1, 1460, 38, 440}, {31.6, 2, 9190, 237, 220}}

// unevenSite is a service of engines whose pace differs, behind many gateways, in virtual time.
type unevenSite struct {
	random   *rand.Rand
	now      time.Time
	gateways []*unevenGateway
	engines  []*unevenEngine
	// busyUntil is until when each machine is busy; three engines share one.
	busyUntil []time.Time
	busy      float64
	totals    *disseminator.LoadTotals
	messages  []unevenMessage
	// cut is set if a quarter of the gateways reaches no controller from cutFrom to cutUntil.
	cut     bool
	waiting map[string]*unevenStream
	byClass [][]*unevenStream
}

type unevenGateway struct {
	*Balancer
	index    int
	reported []*wire.Load
}

type unevenMessage struct {
	at  time.Time
	run func()
}

type unevenEngine struct {
	index int
	pace  float64
	// reading are the streams with unread prompts, in order; running the others.
	reading, running, waiting []*unevenStream
	requests, occupied        float64
}

type unevenStream struct {
	gateway        *unevenGateway
	class          int
	prompt, output float64
	untilEvent     float64
	arrived        time.Time
	first, last    time.Time
	end            time.Time
	engine         *unevenEngine
}

func newUnevenSite(seed uint64, slow, busy float64, off ablator.Disabled) *unevenSite {
	s := &unevenSite{
		random: rand.New(rand.NewPCG(seed, 11)), now: begin(), busy: busy, totals: disseminator.NewLoadTotals(),
		waiting: map[string]*unevenStream{}, byClass: make([][]*unevenStream, len(unevenClasses)), busyUntil: make([]time.Time, unevenEngines/3),
	}
	for i := range unevenEngines {
		e := &unevenEngine{index: i, pace: 1}
		if i%4 == 0 {
			e.pace = slow
		}
		s.engines = append(s.engines, e)
	}
	for i := range unevenGateways {
		g := &unevenGateway{Balancer: &Balancer{Zone: "z", Rand: s.random, Disabled: off}, index: i}
		for _, e := range s.engines {
			g.UpdateBackend(s.now, &wire.Announcement{Id: e.id(), Service: "s", Address: e.id(), Zone: "z", Slots: unevenSlots})
		}
		s.gateways = append(s.gateways, g)
	}
	return s
}

func (e *unevenEngine) id() string { return fmt.Sprint("engine", e.index) }

// factor returns how long work takes at an engine now, in parts of the usual time.
func (s *unevenSite) factor(e *unevenEngine) float64 { return e.pace * s.machine(e) }

func (s *unevenSite) machine(e *unevenEngine) float64 {
	if s.now.Before(s.busyUntil[e.index/3]) {
		return s.busy
	}
	return 1
}

func (s *unevenSite) run() {
	for s.now.Before(begin().Add(unevenEnd)) {
		s.now = s.now.Add(unevenTick)
		for i := range s.busyUntil {
			// A machine is busy for 100 to 300 ms, about once in 1.5 s.
			if s.now.After(s.busyUntil[i]) && s.random.Float64() < unevenTick.Seconds()/1.5 {
				s.busyUntil[i] = s.now.Add(time.Duration(100+200*s.random.Float64()) * time.Millisecond)
			}
		}
		for len(s.messages) > 0 && !s.now.Before(s.messages[0].at) {
			m := s.messages[0]
			s.messages = s.messages[1:]
			m.run()
		}
		s.arrive()
		tick := int(s.now.Sub(begin()) / unevenTick)
		for _, g := range s.gateways {
			if (tick+g.index)%int(unevenInterval/unevenTick) == 0 {
				s.sync(g)
			}
			if g.Waiting() > 0 && (tick+g.index)%10 == 0 {
				s.decide(g)
			}
		}
		for _, e := range s.engines {
			s.advance(e)
		}
	}
}

func (s *unevenSite) send(run func()) {
	s.messages = append(s.messages, unevenMessage{s.now.Add(unevenTransit), run})
}

// sync reports a gateway's loads to the controller, which answers with those of the others.
func (s *unevenSite) sync(g *unevenGateway) {
	if since := s.now.Sub(begin()); s.cut && g.index%4 == 0 && since >= cutFrom && since < cutUntil {
		if since >= cutFrom+disseminator.FollowerLease {
			s.totals.Remove(g.reported)
			g.reported = nil
		}
		return
	}
	loads := g.Loads(s.now)
	s.send(func() {
		s.totals.Remove(g.reported)
		g.reported = loads
		s.totals.Add(s.now, loads)
		others := s.totals.Without(s.now, loads)
		s.send(func() {
			g.SetLoads(s.now, others)
			g.ObserveLoads(s.now, others)
			s.decide(g)
		})
	})
}

func (s *unevenSite) arrive() {
	for class, c := range unevenClasses {
		if s.random.Float64() >= c.rate*unevenTick.Seconds() {
			continue
		}
		g := s.gateways[s.random.IntN(len(s.gateways))]
		st := &unevenStream{
			gateway: g, class: class, prompt: c.prompt, output: c.output * (0.5 + s.random.Float64()), untilEvent: eventWork, arrived: s.now,
		}
		id := fmt.Sprintf("%d/%d", class, len(s.byClass[class]))
		s.byClass[class] = append(s.byClass[class], st)
		s.waiting[id] = st
		g.Enqueue(&Waiter{ID: id, Service: "s", Urgency: c.urgency, Tokens: c.tokens, Deadline: s.now.Add(5 * time.Second)})
		s.decide(g)
	}
}

func (s *unevenSite) decide(g *unevenGateway) {
	decisions, _ := g.Next(s.now)
	for _, d := range decisions {
		st := s.waiting[d.Waiter.ID]
		delete(s.waiting, d.Waiter.ID)
		if d.Backend == nil {
			continue
		}
		var index int
		_, _ = fmt.Sscanf(d.Backend.GetId(), "engine%d", &index)
		st.engine = s.engines[index]
		st.engine.waiting = append(st.engine.waiting, st)
		if s.measured() {
			st.engine.requests++
		}
	}
}

func (s *unevenSite) measured() bool { return s.now.Sub(begin()) > unevenWarmup }

// advance lets an engine work for a tick. Streams pause while a prompt is read.
func (s *unevenSite) advance(e *unevenEngine) {
	for len(e.waiting) > 0 && len(e.reading)+len(e.running) < unevenSlots {
		e.reading = append(e.reading, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if s.measured() {
		e.occupied += float64(len(e.reading) + len(e.running) + len(e.waiting))
	}
	work := float64(unevenTick/time.Millisecond) / s.factor(e)
	if len(e.reading) > 0 {
		if e.reading[0].prompt -= work; e.reading[0].prompt <= 0 {
			e.running = append(e.running, e.reading[0])
			e.reading = e.reading[1:]
		}
		return
	}
	e.running = slices.DeleteFunc(e.running, func(st *unevenStream) bool { return s.decode(e, st, work) })
}

// decode lets a stream advance and reports whether it has ended.
func (s *unevenSite) decode(e *unevenEngine, st *unevenStream, work float64) bool {
	st.output -= work
	st.untilEvent -= work
	if st.untilEvent > 0 && st.output > 0 {
		return false
	}
	st.untilEvent += eventWork
	at := s.now.Add(time.Duration(3 * s.random.Float64() * float64(time.Millisecond)))
	g := st.gateway
	if st.first.IsZero() {
		st.first = s.now
		g.ObserveMachineLoad(s.now, e.id(), int(100*s.machine(e)))
	} else if st.output > 0 {
		g.ObserveEventPace(s.now, e.id(), at.Sub(st.last))
	}
	st.last = at
	if st.output > 0 {
		return false
	}
	st.end = s.now
	g.Done(s.now, e.id(), "", unevenClasses[st.class].tokens, Served)
	return true
}

// unevenResult is what a site has shown.
type unevenResult struct {
	// busiest is the work of the busiest engine over the mean, by the requests that it got weighed
	// with its pace, and occupied the same by the requests there over the time.
	busiest, occupied float64
	// first and end are the 95th percentiles of the time to the first event and to the end, of all
	// requests, and urgentEnd that of the urgent ones.
	first, end, urgentEnd time.Duration
	// slowShare is the share of each class that went to engines slower than the median.
	slowShare []float64
}

func (s *unevenSite) result() unevenResult {
	var r unevenResult
	sum, occupied := 0.0, 0.0
	for _, e := range s.engines {
		sum += e.requests * e.pace
		occupied += e.occupied
	}
	for _, e := range s.engines {
		r.busiest = max(r.busiest, e.requests*e.pace*unevenEngines/sum)
		r.occupied = max(r.occupied, e.occupied*unevenEngines/occupied)
	}
	var firsts, ends, urgent []time.Duration
	for class, list := range s.byClass {
		slow, n := 0.0, 0.0
		for _, st := range list {
			if st.arrived.Sub(begin()) < unevenWarmup || st.arrived.Sub(begin()) > unevenEnd-2*time.Second {
				continue
			}
			first, end := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
			if !st.first.IsZero() {
				first = st.first.Sub(st.arrived)
			}
			if !st.end.IsZero() {
				end = st.end.Sub(st.arrived)
			}
			firsts, ends = append(firsts, first), append(ends, end)
			if class == 0 {
				urgent = append(urgent, end)
			}
			n++
			if st.engine != nil && st.engine.pace > 1 {
				slow++
			}
		}
		r.slowShare = append(r.slowShare, slow/n)
	}
	r.first, r.end, r.urgentEnd = p95(firsts), p95(ends), p95(urgent)
	return r
}

func p95(list []time.Duration) time.Duration {
	slices.Sort(list)
	return list[len(list)*95/100].Round(time.Millisecond)
}

// A quarter of the engines took 2.2 times as long and was given as many requests as the others,
// until these were seen to have accumulated there; requests went to machines that were busy. All
// gateways read the same signals, and must not run to the same engine either.
func TestUnevenServersGetTheWorkThatTheyCanDo(t *testing.T) {
	for name, test := range map[string]struct{ pace, busy float64 }{
		"slow quarter, busy machines": {2.2, 2.5},
		"fast quarter, busy machines": {1 / 2.2, 2.5},
		"busy machines":               {1, 2.5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			results := map[bool]unevenResult{}
			for _, on := range []bool{false, true} {
				off := ablator.Disable(ablator.UnevenServers)
				if on {
					off = ablator.Disable()
				}
				s := newUnevenSite(*unevenSeed, test.pace, test.busy, off)
				s.run()
				results[on] = s.result()
				t.Logf("on %v: %+v", on, results[on])
			}
			with, without := results[true], results[false]
			c.Check(with.busiest < 1.3, qt.IsTrue)
			if test.pace == 1 {
				// Figures of 150 to 300 ms ago say little of machines that are busy for as long. They
				// must not do harm; the spread over seeds is about 5%.
				c.Check(float64(with.first) < 1.05*float64(without.first), qt.IsTrue)
				c.Check(float64(with.end) < 1.05*float64(without.end), qt.IsTrue)
				return
			}
			c.Check(with.first < without.first, qt.IsTrue)
			c.Check(with.end < without.end, qt.IsTrue)
			if test.pace > 1 {
				c.Check(with.slowShare[1] > with.slowShare[0], qt.IsTrue)
			}
		})
	}
}

// A quarter of the gateways reaches no controller for six seconds, and its loads are dropped there. All
// gateways keep using the paces that they know, so that slow engines get no more work than they can do.
func TestUnevenServersDuringACut(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	results := map[bool]unevenResult{}
	for _, on := range []bool{false, true} {
		off := ablator.Disable(ablator.UnevenServers)
		if on {
			off = ablator.Disable()
		}
		s := newUnevenSite(*unevenSeed, 2.2, 1, off)
		s.cut = true
		s.run()
		results[on] = s.result()
		t.Logf("on %v: %+v", on, results[on])
	}
	c.Check(results[true].busiest < 1.3, qt.IsTrue)
	c.Check(results[true].first < results[false].first, qt.IsTrue)
	c.Check(results[true].end < results[false].end, qt.IsTrue)
}

// Prompts between events, late gateways and chance make the intervals of equal engines differ. None
// of them is mistaken for a slow one, so that each request goes where it went before.
func TestEqualEnginesAreNotMistaken(t *testing.T) {
	c := qt.New(t)
	run := func(off ablator.Disabled) *unevenSite {
		s := newUnevenSite(*unevenSeed, 1, 1, off)
		s.run()
		return s
	}
	with, without := run(ablator.Disable()), run(ablator.Disable(ablator.UnevenServers))
	known := 0
	for _, g := range with.gateways {
		summary := g.paces("s").estimator.Summary()
		known += summary.Known
		c.Check(summary.Slower+summary.Faster, qt.Equals, 0)
	}
	c.Check(known > unevenGateways*unevenEngines*9/10, qt.IsTrue, qt.Commentf("%d intervals are known", known))
	for i, e := range with.engines {
		c.Check(e.requests, qt.Equals, without.engines[i].requests)
	}
	c.Check(fmt.Sprint(with.result()), qt.Equals, fmt.Sprint(without.result()))
}

// Without signals, with old ones, with those of an incarnation that was replaced, or where nothing
// differs by more than measurements do, all choices are exactly those of a gateway without this part.
func TestChoicesAreAsBeforeWhereNothingDiffers(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e", "f"}
	report := func(b *Balancer, now time.Time, interval func(i int) uint32, machine uint32) {
		var loads []*wire.Load
		for i, id := range ids {
			loads = append(loads, &wire.Load{Backend: id, EventIntervalUs: interval(i), EventSamples: 40, MachineLoad: machine, MachineLoadAgeMs: 10})
		}
		b.ObserveLoads(now, loads)
	}
	uneven := func(i int) uint32 { return 40_000 * uint32(1+i%2) }
	for name, test := range map[string]struct {
		off     ablator.Disabled
		observe func(b *Balancer, now time.Time)
		differ  bool
	}{
		"no signals": {observe: func(*Balancer, time.Time) {}},
		"nearly equal": {observe: func(b *Balancer, now time.Time) {
			report(b, now, func(i int) uint32 { return 40_000 + uint32(i)*1000 }, 115)
		}},
		"old":           {observe: func(b *Balancer, now time.Time) { report(b, now.Add(-time.Minute), uneven, 250) }},
		"switched off":  {off: ablator.Disable(ablator.UnevenServers), observe: func(b *Balancer, now time.Time) { report(b, now, uneven, 250) }},
		"differ":        {observe: func(b *Balancer, now time.Time) { report(b, now, uneven, 100) }, differ: true},
		"machines busy": {observe: func(b *Balancer, now time.Time) { report(b, now, func(int) uint32 { return 40_000 }, 250) }, differ: true},
		"another incarnation": {observe: func(b *Balancer, now time.Time) {
			for _, id := range ids {
				b.UpdateBackend(now, &wire.Announcement{Id: id + "~0", Service: "s", Address: id, Slots: 12})
				b.ObserveLoads(now, []*wire.Load{{Backend: id + "~0", EventIntervalUs: 400_000, EventSamples: 40, MachineLoad: 250}})
				b.ObserveMachineLoad(now, id+"~0", 250)
				b.UpdateBackend(now, &wire.Announcement{Id: id + "~0", Sequence: 1, Gone: true, Replaced: true})
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			choices := func(off ablator.Disabled, observe func(b *Balancer, now time.Time)) (list []string) {
				b := &Balancer{Zone: "z", Rand: rand.New(rand.NewPCG(1, 1)), Disabled: off}
				now := begin()
				for i, id := range ids {
					b.UpdateBackend(now, &wire.Announcement{Id: id, Service: "s", Address: id, Zone: []string{"z", "y"}[i%2], Slots: 12})
				}
				for i := range 200 {
					now = now.Add(30 * time.Millisecond)
					observe(b, now)
					id := decide(b, now, waiter("w", func(w *Waiter) { w.Deadline, w.Tokens, w.Urgency = now.Add(time.Second), i%5*1000, uint32(i%3) }))["w"]
					if list = append(list, id); i >= 20 {
						b.Done(now, list[i-20], "", (i-20)%5*1000, Served)
					}
				}
				return list
			}
			without := choices(ablator.Disable(ablator.UnevenServers), func(*Balancer, time.Time) {})
			c.Check(slices.Equal(choices(test.off, test.observe), without), qt.Equals, !test.differ)
		})
	}
}

// A quarter of the servers is slow, as far as is known from others' reports.
func BenchmarkNextUneven(b *testing.B) {
	balancer, now := &Balancer{Zone: "z"}, begin()
	var loads []*wire.Load
	for i := range unevenEngines {
		id := fmt.Sprint("e", i)
		balancer.UpdateBackend(now, &wire.Announcement{Id: id, Service: "s", Address: id, Zone: "z", Slots: unevenSlots})
		interval := uint32(40_000)
		if i%4 == 0 {
			interval *= 2
		}
		loads = append(loads, &wire.Load{Backend: id, Requests: 3, EventIntervalUs: interval, EventSamples: 40, MachineLoad: 150})
	}
	balancer.SetLoads(now, loads)
	balancer.ObserveLoads(now, loads)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		balancer.Enqueue(&Waiter{Service: "s", Deadline: now.Add(time.Second)})
		decisions, _ := balancer.Next(now)
		balancer.Done(now, decisions[0].Backend.GetId(), "", 0, Served)
	}
}
