package slotgranter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	ms        = time.Millisecond
	objective = 150 * ms
	deadline  = 1500 * ms
	slots     = 6
	// hop is the latency of a message between two gateways, or to a backend server.
	hop = ms
	// loadAge is the age of the loads that gateways choose by.
	loadAge = 150 * ms
)

// simulation is many gateways that share a few backend servers, each of which has an owner
// gateway.
type simulation struct {
	random  *rand.Rand
	now     time.Time
	servers []*server
	events  map[time.Time][]func()
	sent    int
	// onTime, late and refused count requests.
	onTime, late, refused int
}

type server struct {
	granter Granter
	// running counts the requests that it runs, and queue holds those that wait there.
	running int
	queue   []func()
	load    int
	// pastLoads are the loads of the past, one for each step.
	pastLoads []int
	removed   bool
	send      map[string]func()
}

func newSimulation(n int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1e9, 0), events: map[time.Time][]func(){}}
	for range n {
		s.servers = append(s.servers, &server{send: map[string]func(){}})
	}
	return s
}

func (s *simulation) after(d time.Duration, f func()) {
	at := s.now.Add(d)
	s.events[at] = append(s.events[at], f)
}

// pick returns the less loaded of two random servers, by old loads.
func (s *simulation) pick() *server {
	var open []*server
	for _, v := range s.servers {
		if !v.removed {
			open = append(open, v)
		}
	}
	known := func(v *server) int {
		if age := int(loadAge / ms); len(v.pastLoads) > age {
			return v.pastLoads[len(v.pastLoads)-age]
		}
		return 0
	}
	one, two := open[s.random.IntN(len(open))], open[s.random.IntN(len(open))]
	if known(two) < known(one) {
		return two
	}
	return one
}

// request sends a new request to some gateway.
func (s *simulation) request() {
	s.sent++
	s.requestSlot(fmt.Sprint(s.sent), s.now, nil)
}

// requestSlot requests a slot, and once more elsewhere if it is refused.
func (s *simulation) requestSlot(key string, received time.Time, refusedBy *server) {
	v := s.pick()
	for v == refusedBy && len(s.servers) > 1 {
		v = s.pick()
	}
	v.load++
	s.after(hop, func() {
		v.send[key] = func() { s.after(2*hop, func() { s.arrive(v, key, received) }) }
		request := GrantRequest{Key: key, OnTimeUntil: received.Add(objective - hop), Deadline: received.Add(deadline), Slots: slots}
		if !v.granter.Add(s.now, request) {
			v.load--
			if refusedBy != nil {
				s.refused++
				return
			}
			s.after(hop, func() { s.requestSlot(key, received, v) })
		}
	})
}

// arrive delivers a request to its backend server.
func (s *simulation) arrive(v *server, key string, received time.Time) {
	run := func() {
		v.running++
		s.after(20*ms+time.Duration(s.random.Int64N(21))*ms, func() {
			v.running--
			if len(v.queue) > 0 {
				next := v.queue[0]
				v.queue = v.queue[1:]
				next()
			}
			v.load--
			if s.now.Add(hop).Sub(received) <= objective {
				s.onTime++
			} else {
				s.late++
			}
			s.after(2*hop, func() { v.granter.Release(s.now, key, true) })
		})
	}
	if v.running < slots {
		run()
		return
	}
	v.queue = append(v.queue, run)
}

// load sends requests for a time, at a fraction of the capacity of all backend servers.
func (s *simulation) load(d time.Duration, part float64) {
	perStep := part * float64(len(s.servers)*slots) / 30
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(ms) {
		for _, f := range s.events[s.now] {
			f()
		}
		delete(s.events, s.now)
		for due := perStep; due > 0; due-- {
			if s.random.Float64() < due {
				s.request()
			}
		}
		for _, v := range s.servers {
			v.pastLoads = append(v.pastLoads, v.load)
			for _, a := range v.granter.Next(s.now) {
				v.send[a.Key]()
				delete(v.send, a.Key)
			}
		}
	}
}

// At a load of about the capacity nearly all requests are on time, and above it no fewer than
// at capacity.
func TestMostRequestsAreOnTimeAtFullLoad(t *testing.T) {
	const span = 20 * time.Second
	onTime := map[float64]float64{}
	for part, want := range map[float64]float64{0.9: 0.95, 1.0: 0.9, 1.1: 0.8, 1.3: 0.65} {
		s := newSimulation(3)
		s.load(span, part)
		share := float64(s.onTime) / float64(s.sent)
		onTime[part] = float64(s.onTime) / span.Seconds()
		t.Logf("load %.1f: on time %.3f, late %d, refused %d of %d", part, share, s.late, s.refused, s.sent)
		qt.New(t).Check(share >= want, qt.IsTrue, qt.Commentf("load %.1f: %.3f on time", part, share))
	}
	qt.New(t).Check(onTime[1.3] >= onTime[1.0], qt.IsTrue, qt.Commentf("%v", onTime))
}

// Within a second after an overload all requests are on time again.
func TestAllRequestsAreOnTimeAfterAnOverload(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(3)
	s.load(5*time.Second, 1.3)
	s.load(time.Second, 0.7)
	before, sent := s.onTime, s.sent
	s.load(5*time.Second, 0.7)
	c.Check(float64(s.onTime-before)/float64(s.sent-sent) > 0.99, qt.IsTrue)
}

// The removal of a backend server costs no more than its share of the capacity.
func TestBackendServerRemoval(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(4)
	s.load(5*time.Second, 0.6)
	s.servers[0].removed = true
	before, sent := s.onTime, s.sent
	s.load(5*time.Second, 0.6)
	c.Check(float64(s.onTime-before)/float64(s.sent-sent) > 0.98, qt.IsTrue)
}

// Requests that can be on time go first, then urgent ones, then the one with the least time
// left.
func TestOrder(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	g := &Granter{}
	add := func(key string, urgency uint32, onTime time.Duration) {
		c.Assert(g.Add(now, GrantRequest{Key: key, Urgency: urgency, OnTimeUntil: now.Add(onTime), Deadline: now.Add(time.Second), Slots: 1}), qt.IsTrue)
	}
	for _, key := range []string{"x", "y"} {
		add(key, 0, time.Second)
	}
	c.Assert(g.Next(now), qt.HasLen, 2)
	add("late", 0, -ms)
	add("less urgent", 2, 300*ms)
	add("more time", 1, 400*ms)
	add("less time", 1, 300*ms)
	c.Check(g.Next(now), qt.HasLen, 0)
	for _, want := range []string{"less time", "more time", "less urgent", "late"} {
		g.Release(now, "x", false)
		granted := g.Next(now)
		c.Assert(granted, qt.HasLen, 1)
		c.Check(granted[0].Key, qt.Equals, want)
		g.Release(now, want, false)
		g.running["x"] = run{grantedAt: now}
	}
}

// The slot of a request whose completion is never reported is freed after a while.
func TestLostRequestsReleaseTheirSlots(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	g := &Granter{}
	for i := range 2 {
		c.Assert(g.Add(now, GrantRequest{Key: fmt.Sprint(i), OnTimeUntil: now.Add(time.Second), Deadline: now.Add(time.Second), Slots: 1}), qt.IsTrue)
	}
	c.Assert(g.Next(now), qt.HasLen, 2)
	c.Check(g.Idle(), qt.IsFalse)
	now = now.Add(minExpiry + ms)
	c.Assert(g.Add(now, GrantRequest{Key: "next", OnTimeUntil: now.Add(time.Second), Deadline: now.Add(time.Second), Slots: 1}), qt.IsTrue)
	c.Check(g.Next(now), qt.HasLen, 1)
}

// A request whose gateway is gone doesn't hold its slot while the backend server completes others.
func TestOvertakenRequestsReleaseTheirSlots(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	g := &Granter{}
	grant := func(key string) []GrantRequest {
		c.Assert(g.Add(now, GrantRequest{Key: key, OnTimeUntil: now.Add(time.Second), Deadline: now.Add(time.Second), Slots: 1}), qt.IsTrue)
		return g.Next(now)
	}
	c.Assert(grant("lost"), qt.HasLen, 1)
	for i := range 2 * lostFactor {
		key := fmt.Sprint("run ", i)
		c.Assert(grant(key), qt.HasLen, 1)
		now = now.Add(initialServiceTime)
		g.Release(now, key, true)
	}
	g.Next(now)
	grant("one")
	c.Check(g.running, qt.HasLen, 1)
	c.Check(g.TakeStats().Expired, qt.Equals, 1)
}

// The time that grants and completions are on their way neither makes the backend server appear
// slower nor leaves its slots idle, and one wrong report doesn't make it appear much faster.
func TestMessageLatencyIsNotServiceTime(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	g := &Granter{}
	// The latency is that of four messages, of which the gateway sees two as a part of the run.
	const work, latency = 60 * ms, 20 * ms
	run := func(i int, lastRun time.Duration) {
		key := fmt.Sprint(i)
		c.Assert(g.Add(now, GrantRequest{Key: key, OnTimeUntil: now.Add(time.Second), Deadline: now.Add(time.Second), Slots: slots, Gateway: "g", LastRun: lastRun}), qt.IsTrue)
		g.Next(now)
		now = now.Add(work + latency)
		g.Release(now, key, true)
	}
	for i := range 100 {
		run(i, work+latency/2)
	}
	c.Check(g.serviceTime() > 55*ms && g.serviceTime() < 65*ms, qt.IsTrue, qt.Commentf("%v", g.serviceTime()))
	c.Check(g.limit() > slots+2 && g.limit() <= slots+5, qt.IsTrue, qt.Commentf("%d granted", g.limit()))
	for i := range 100 {
		run(i, time.Microsecond)
	}
	c.Check(g.serviceTime() >= (work+latency)*3/10, qt.IsTrue, qt.Commentf("%v", g.serviceTime()))
	c.Check(g.limit() <= 3*slots+extraSlots, qt.IsTrue, qt.Commentf("%d granted", g.limit()))
}

// Under overload slots go to requests that can be on time, so that a late one would wait in
// vain.
func TestLateRequestsAreRefusedAtOnceUnderOverload(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	g := &Granter{}
	requests := 0
	add := func(onTime time.Duration) bool {
		requests++
		return g.Add(now, GrantRequest{Key: fmt.Sprint(requests), OnTimeUntil: now.Add(onTime), Deadline: now.Add(deadline), Slots: slots})
	}
	c.Check(add(-ms), qt.IsTrue, qt.Commentf("without overload"))
	for add(objective) {
		g.Next(now)
	}
	c.Check(add(-ms), qt.IsFalse, qt.Commentf("a request that could be on time was just refused"))
	now = now.Add(overloadDuration)
	c.Check(add(-ms), qt.IsTrue, qt.Commentf("the overload is over"))
}

// Urgent requests go first, so that an admitted request can run out of time while it waits.
func TestRequestsThatRunOutOfTimeAreEvictedUnderOverload(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	g := &Granter{}
	request := func(key string, urgency uint32) GrantRequest {
		return GrantRequest{Key: key, Urgency: urgency, OnTimeUntil: now.Add(objective), Deadline: now.Add(deadline), Slots: slots}
	}
	for i := range slots + extraSlots {
		c.Assert(g.Add(now, request(fmt.Sprint("runs ", i), 0)), qt.IsTrue)
	}
	c.Assert(g.Next(now), qt.HasLen, slots+extraSlots)
	c.Assert(g.Add(now, request("less urgent", 2)), qt.IsTrue)
	for i := 0; g.Add(now, request(fmt.Sprint("urgent ", i), 1)); i++ {
		c.Check(g.Evict(now), qt.HasLen, 0)
	}
	now = now.Add(objective - initialServiceTime)
	evicted := g.Evict(now)
	c.Assert(len(evicted) > 0, qt.IsTrue)
	c.Check(evicted[0].Key, qt.Equals, "less urgent")
	c.Check(g.Withdraw("less urgent"), qt.IsFalse)
}

// In a persistent overload a long queue serves no more requests, and each of them later.
func TestTheQueueIsShortWhileAnOverloadPersists(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	g := &Granter{}
	requests := 0
	fill := func() (waiting int) {
		for requests++; g.Add(now, GrantRequest{Key: fmt.Sprint(requests), OnTimeUntil: now.Add(objective), Deadline: now.Add(deadline), Slots: slots}); requests++ {
			g.Next(now)
		}
		return len(g.waiting)
	}
	burst := fill()
	now = now.Add(maxBurst + ms)
	g.waiting = nil
	c.Check(fill() <= burst/2, qt.IsTrue, qt.Commentf("%d waited at first, %d then", burst, len(g.waiting)))
	now = now.Add(overloadDuration)
	g.waiting = nil
	c.Check(fill(), qt.Equals, burst, qt.Commentf("the overload is over"))
}

// A backend server that is too slow for an answer on time leaves requests to others, and gets a
// probe now and then that shows when it is fast again.
func TestSlowBackendServersAreProbed(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	g := &Granter{}
	requests := 0
	add := func(hasAlternative bool) bool {
		requests++
		return g.Add(now, GrantRequest{Key: fmt.Sprint(requests), OnTimeUntil: now.Add(objective), Deadline: now.Add(deadline), Slots: slots, HasAlternative: hasAlternative})
	}
	run := func(took time.Duration) {
		c.Assert(add(false), qt.IsTrue)
		for _, a := range g.Next(now) {
			now = now.Add(took)
			g.Release(now, a.Key, true)
		}
	}
	for range 50 {
		run(200 * ms)
	}
	c.Check(add(true), qt.IsFalse)
	now = now.Add(probeInterval)
	c.Assert(add(true), qt.IsTrue, qt.Commentf("a probe"))
	c.Check(add(true), qt.IsFalse, qt.Commentf("one at a time"))
	probe := g.Next(now)
	now = now.Add(30 * ms)
	g.Release(now, probe[0].Key, true)
	c.Check(add(true), qt.IsTrue, qt.Commentf("one fast run shows it"))
}

// While an overload persists, a request that returns and can be on time must not be refused because
// of the wait for which later ones are, and must be served before them.
func TestReturningRequestsGoBeforeLaterOnes(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	g := &Granter{}
	requests := 0
	add := func(key string, left time.Duration) bool {
		return g.Add(now, GrantRequest{Key: key, OnTimeUntil: now.Add(left), Deadline: now.Add(deadline), Slots: slots})
	}
	fill := func() {
		for requests++; add(fmt.Sprint(requests), objective); requests++ {
			g.Next(now)
		}
	}
	fill()
	now = now.Add(maxBurst + ms)
	g.waiting = nil
	fill()
	c.Assert(g.overloadPersists(now), qt.IsTrue)
	c.Check(add("new", objective), qt.IsFalse)
	c.Check(add("returns", objective-60*ms), qt.IsTrue)
	for key := range g.running {
		g.Release(now, key, false)
	}
	granted := g.Next(now)
	c.Assert(len(granted) > 0, qt.IsTrue)
	c.Check(granted[0].Key, qt.Equals, "returns")
}

// The time for which gateways hold requests back in an overload must not be that of the next one,
// which may be short.
func TestHoldingBackBeginsAnew(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	g := &Granter{}
	requests := 0
	request := func() GrantRequest {
		requests++
		return GrantRequest{Key: fmt.Sprint(requests), OnTimeUntil: now.Add(objective), Deadline: now.Add(deadline), Slots: slots}
	}
	overload := func(refusals int) time.Duration {
		for refusals > 0 {
			a := request()
			if !g.Add(now, a) {
				refusals--
				if refusals == 0 {
					return g.RefusedFor(now, a)
				}
			}
			g.Next(now)
		}
		return 0
	}
	c.Check(overload(1), qt.Equals, minRefusedFor)
	c.Check(overload(500), qt.Equals, maxRefusedFor)
	now = now.Add(time.Minute)
	g.waiting = nil
	c.Check(overload(1), qt.Equals, minRefusedFor)
}
