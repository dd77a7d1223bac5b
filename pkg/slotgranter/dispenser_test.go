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
	// hop is the time of a message between two gateways, or to a backend server.
	hop = ms
	// newsAge is how old the loads are by which gateways choose.
	newsAge = 150 * ms
)

// service is many gateways that share a few backend servers, each of which has a gateway in
// charge of it.
type service struct {
	random  *rand.Rand
	now     time.Time
	servers []*server
	events  map[time.Time][]func()
	asked   int
	// inTime, late and refused count requests, and done is when each in time was done.
	inTime, late, refused int
}

type server struct {
	dispenser Dispenser
	// running are the requests that it runs, and queue those that wait there.
	running int
	queue   []func()
	load    int
	// told are the loads of the past, a step each.
	told []int
	gone bool
	send map[string]func()
}

func newService(n int) *service {
	s := &service{random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1e9, 0), events: map[time.Time][]func(){}}
	for range n {
		s.servers = append(s.servers, &server{send: map[string]func(){}})
	}
	return s
}

func (s *service) after(d time.Duration, f func()) {
	at := s.now.Add(d)
	s.events[at] = append(s.events[at], f)
}

// pick returns the less loaded of two servers, by old news.
func (s *service) pick() *server {
	var open []*server
	for _, v := range s.servers {
		if !v.gone {
			open = append(open, v)
		}
	}
	known := func(v *server) int {
		if age := int(newsAge / ms); len(v.told) > age {
			return v.told[len(v.told)-age]
		}
		return 0
	}
	one, two := open[s.random.IntN(len(open))], open[s.random.IntN(len(open))]
	if known(two) < known(one) {
		return two
	}
	return one
}

// request lets a request come to some gateway.
func (s *service) request() {
	s.asked++
	s.ask(fmt.Sprint(s.asked), s.now, nil)
}

// ask asks for a slot, and once more elsewhere if it is refused.
func (s *service) ask(key string, received time.Time, refusedBy *server) {
	v := s.pick()
	for v == refusedBy && len(s.servers) > 1 {
		v = s.pick()
	}
	v.load++
	s.after(hop, func() {
		v.send[key] = func() { s.after(2*hop, func() { s.arrive(v, key, received) }) }
		ask := Ask{Key: key, InTimeUntil: received.Add(objective - hop), GiveUp: received.Add(deadline), Slots: slots}
		if !v.dispenser.Add(s.now, ask) {
			v.load--
			if refusedBy != nil {
				s.refused++
				return
			}
			s.after(hop, func() { s.ask(key, received, v) })
		}
	})
}

// arrive lets a request come to its backend server.
func (s *service) arrive(v *server, key string, received time.Time) {
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
				s.inTime++
			} else {
				s.late++
			}
			s.after(2*hop, func() { v.dispenser.End(s.now, key, true) })
		})
	}
	if v.running < slots {
		run()
		return
	}
	v.queue = append(v.queue, run)
}

// load lets requests come for a time, at a part of what all backend servers can do.
func (s *service) load(d time.Duration, part float64) {
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
			v.told = append(v.told, v.load)
			for _, a := range v.dispenser.Next(s.now) {
				v.send[a.Key]()
				delete(v.send, a.Key)
			}
		}
	}
}

// A load of about what the backend servers can do: nearly all requests are in time, and at a
// load beyond it no fewer than at one of just that.
func TestMostAreInTimeAtFullLoad(t *testing.T) {
	const span = 20 * time.Second
	inTime := map[float64]float64{}
	for part, want := range map[float64]float64{0.9: 0.95, 1.0: 0.9, 1.1: 0.8, 1.3: 0.65} {
		s := newService(3)
		s.load(span, part)
		share := float64(s.inTime) / float64(s.asked)
		inTime[part] = float64(s.inTime) / span.Seconds()
		t.Logf("load %.1f: in time %.3f, late %d, refused %d of %d", part, share, s.late, s.refused, s.asked)
		qt.New(t).Check(share >= want, qt.IsTrue, qt.Commentf("load %.1f: %.3f in time", part, share))
	}
	qt.New(t).Check(inTime[1.3] >= inTime[1.0], qt.IsTrue, qt.Commentf("%v", inTime))
}

// Once a load beyond what can be done has passed, all are in time again within a second.
func TestAllAreInTimeAfterTheLoad(t *testing.T) {
	c := qt.New(t)
	s := newService(3)
	s.load(5*time.Second, 1.3)
	s.load(time.Second, 0.7)
	before, asked := s.inTime, s.asked
	s.load(5*time.Second, 0.7)
	c.Check(float64(s.inTime-before)/float64(s.asked-asked) > 0.99, qt.IsTrue)
}

// A backend server that leaves takes no more than its part away.
func TestABackendServerLeaves(t *testing.T) {
	c := qt.New(t)
	s := newService(4)
	s.load(5*time.Second, 0.6)
	s.servers[0].gone = true
	before, asked := s.inTime, s.asked
	s.load(5*time.Second, 0.6)
	c.Check(float64(s.inTime-before)/float64(s.asked-asked) > 0.98, qt.IsTrue)
}

// Requests that can be in time go first, then urgent ones, then the one with the least time.
func TestOrder(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	d := &Dispenser{}
	add := func(key string, urgency uint32, inTime time.Duration) {
		c.Assert(d.Add(now, Ask{Key: key, Urgency: urgency, InTimeUntil: now.Add(inTime), GiveUp: now.Add(time.Second), Slots: 1}), qt.IsTrue)
	}
	for _, key := range []string{"x", "y"} {
		add(key, 0, time.Second)
	}
	c.Assert(d.Next(now), qt.HasLen, 2)
	add("late", 0, -ms)
	add("less urgent", 2, 300*ms)
	add("more time", 1, 400*ms)
	add("less time", 1, 300*ms)
	c.Check(d.Next(now), qt.HasLen, 0)
	for _, want := range []string{"less time", "more time", "less urgent", "late"} {
		d.End(now, "x", false)
		granted := d.Next(now)
		c.Assert(granted, qt.HasLen, 1)
		c.Check(granted[0].Key, qt.Equals, want)
		d.End(now, want, false)
		d.running["x"] = now
	}
}

// A request of whose end no word comes gives its slot back.
func TestLostRequestsGiveTheirSlotsBack(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	d := &Dispenser{}
	for i := range 2 {
		c.Assert(d.Add(now, Ask{Key: fmt.Sprint(i), InTimeUntil: now.Add(time.Second), GiveUp: now.Add(time.Second), Slots: 1}), qt.IsTrue)
	}
	c.Assert(d.Next(now), qt.HasLen, 2)
	c.Check(d.Idle(), qt.IsFalse)
	now = now.Add(forgetAfter + ms)
	c.Assert(d.Add(now, Ask{Key: "next", InTimeUntil: now.Add(time.Second), GiveUp: now.Add(time.Second), Slots: 1}), qt.IsTrue)
	c.Check(d.Next(now), qt.HasLen, 1)
}

// Under overload slots go to those that can be in time, so that a late request would wait in vain.
func TestLateRequestsAreRefusedAtOnceUnderOverload(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	d := &Dispenser{}
	asked := 0
	add := func(inTime time.Duration) bool {
		asked++
		return d.Add(now, Ask{Key: fmt.Sprint(asked), InTimeUntil: now.Add(inTime), GiveUp: now.Add(deadline), Slots: slots})
	}
	c.Check(add(-ms), qt.IsTrue, qt.Commentf("without overload"))
	for add(objective) {
		d.Next(now)
	}
	c.Check(add(-ms), qt.IsFalse, qt.Commentf("a request that could be in time was just refused"))
	now = now.Add(overloadMemory)
	c.Check(add(-ms), qt.IsTrue, qt.Commentf("the overload is over"))
}

// Urgent requests go first, so that one that was let in can run out of time while it waits.
func TestRequestsThatRunOutOfTimeAreEvictedUnderOverload(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	d := &Dispenser{}
	ask := func(key string, urgency uint32) Ask {
		return Ask{Key: key, Urgency: urgency, InTimeUntil: now.Add(objective), GiveUp: now.Add(deadline), Slots: slots}
	}
	for i := range slots + extraSlots {
		c.Assert(d.Add(now, ask(fmt.Sprint("runs ", i), 0)), qt.IsTrue)
	}
	c.Assert(d.Next(now), qt.HasLen, slots+extraSlots)
	c.Assert(d.Add(now, ask("less urgent", 2)), qt.IsTrue)
	for i := 0; d.Add(now, ask(fmt.Sprint("urgent ", i), 1)); i++ {
		c.Check(d.Evict(now), qt.HasLen, 0)
	}
	now = now.Add(objective - firstService)
	evicted := d.Evict(now)
	c.Assert(len(evicted) > 0, qt.IsTrue)
	c.Check(evicted[0].Key, qt.Equals, "less urgent")
	c.Check(d.Withdraw("less urgent"), qt.IsFalse)
}

// In an overload that lasts, a long queue serves no more requests, and each of them later.
func TestTheQueueIsShortWhileAnOverloadPersists(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	d := &Dispenser{}
	asked := 0
	fill := func() (waiting int) {
		for asked++; d.Add(now, Ask{Key: fmt.Sprint(asked), InTimeUntil: now.Add(objective), GiveUp: now.Add(deadline), Slots: slots}); asked++ {
			d.Next(now)
		}
		return len(d.waiting)
	}
	burst := fill()
	now = now.Add(burstTime + ms)
	d.waiting = nil
	c.Check(fill() <= burst/2, qt.IsTrue, qt.Commentf("%d waited at first, %d then", burst, len(d.waiting)))
	now = now.Add(overloadMemory)
	d.waiting = nil
	c.Check(fill(), qt.Equals, burst, qt.Commentf("the overload is over"))
}

// A backend server that takes too long for an answer in time leaves requests to others, and gets
// one now and then that shows when it is fast again.
func TestSlowBackendServersAreProbed(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1e9, 0)
	d := &Dispenser{}
	asked := 0
	add := func(elsewhere bool) bool {
		asked++
		return d.Add(now, Ask{Key: fmt.Sprint(asked), InTimeUntil: now.Add(objective), GiveUp: now.Add(deadline), Slots: slots, Elsewhere: elsewhere})
	}
	run := func(took time.Duration) {
		c.Assert(add(false), qt.IsTrue)
		for _, a := range d.Next(now) {
			now = now.Add(took)
			d.End(now, a.Key, true)
		}
	}
	for range 50 {
		run(200 * ms)
	}
	c.Check(add(true), qt.IsFalse)
	now = now.Add(probeEvery)
	c.Assert(add(true), qt.IsTrue, qt.Commentf("a probe"))
	c.Check(add(true), qt.IsFalse, qt.Commentf("one at a time"))
	probe := d.Next(now)
	now = now.Add(30 * ms)
	d.End(now, probe[0].Key, true)
	c.Check(add(true), qt.IsTrue, qt.Commentf("one fast run shows it"))
}
