package balancer

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

var scheduleSeeds = flag.Int("schedule.seeds", 2, "number of random schedules of each kind")

// The rules: from backoffGrace after a rejection until the end that it asked for, a server gets
// at most maxDuringBackoff requests of that gateway; and none that a caller sent later than
// drainTime after the gateway learned that it is leaving.
const (
	backoffGrace     = 500 * time.Millisecond
	maxDuringBackoff = 2
	drainTime        = 2 * time.Second
)

const (
	scheduleEnd     = 30 * time.Second
	scheduleRun     = 50 * time.Millisecond
	schedulePatient = time.Second
	// scheduleDemand is the part of all servers' slots that callers' requests take, on their way
	// there and back too.
	scheduleDemand = 0.4
)

// world is a service with its gateways in virtual time.
type world struct {
	random   *rand.Rand
	now      time.Time
	order    int
	events   eventQueue
	gateways []*scheduleGateway
	servers  []*scheduleServer
	// slots is the number of requests that each server runs at once.
	slots int
	// maxDelay bounds the delay of a link, and maxWait how long a request waits in its gateway
	// between the choice of a server and the send.
	maxDelay, maxWait time.Duration
	sent, served      [scheduleEnd/time.Second + 2]int
	worst, late       int
}

type scheduleGateway struct {
	*Balancer
	frozenUntil time.Time
	// pumping is set while a decision on waiting requests is scheduled.
	pumping bool
}

type scheduleServer struct {
	id          string
	incarnation int
	running     int
	// rejectUntil is until when it rejects all requests, asking for backoff.
	rejectUntil time.Time
	backoff     time.Duration
	leaving     bool
	arrivals    map[int][]scheduleArrival
	rejections  map[int][]scheduleArrival
	toldAt      map[int]time.Time
}

// scheduleArrival is a request's arrival, or a rejection that asked for a backoff.
type scheduleArrival struct {
	at, sentAt time.Time
	backoff    time.Duration
}

func newWorld(seed uint64, gateways, servers, slots int, maxWait time.Duration) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 42)), now: begin(), slots: slots, maxDelay: 100 * time.Millisecond, maxWait: maxWait}
	for i := range servers {
		w.servers = append(w.servers, &scheduleServer{id: fmt.Sprint("s", i)})
	}
	for range gateways {
		g := &scheduleGateway{Balancer: &Balancer{Zone: "z", Rand: w.random}}
		w.gateways = append(w.gateways, g)
	}
	for _, s := range w.servers {
		w.start(s)
	}
	return w
}

// start starts another incarnation of a server and announces it to all gateways.
func (w *world) start(s *scheduleServer) {
	before := s.name()
	s.incarnation++
	s.running, s.leaving, s.rejectUntil = 0, false, time.Time{}
	s.arrivals, s.rejections, s.toldAt = map[int][]scheduleArrival{}, map[int][]scheduleArrival{}, map[int]time.Time{}
	for _, g := range w.gateways {
		if s.incarnation > 1 {
			g.UpdateBackend(w.now, &wire.Announcement{Id: before, Service: "s", Address: s.id, Sequence: 1 << 40, Gone: true, Replaced: true})
		}
		g.UpdateBackend(w.now, &wire.Announcement{Id: s.name(), Service: "s", Address: s.id, Zone: "z", Slots: uint32(w.slots), Sequence: 1})
	}
}

func (s *scheduleServer) name() string { return fmt.Sprintf("%s~%d", s.id, s.incarnation) }

type scheduleEvent struct {
	at    time.Time
	order int
	run   func()
}

type eventQueue []scheduleEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduleEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, scheduleEvent{w.now.Add(d), w.order, run})
}

// on runs something at a gateway, after it has thawed.
func (w *world) on(g *scheduleGateway, run func()) {
	if w.now.Before(g.frozenUntil) {
		w.after(g.frozenUntil.Sub(w.now), func() { w.on(g, run) })
		return
	}
	run()
}

func (w *world) uniform(limit time.Duration) time.Duration {
	return time.Duration(w.random.Float64() * float64(limit))
}

func (w *world) run() {
	heap.Init(&w.events)
	occupied := w.maxWait/2 + w.maxDelay + scheduleRun
	capacity := float64(len(w.servers)*w.slots) / occupied.Seconds()
	for i := range w.gateways {
		w.arrive(i, time.Duration(float64(len(w.gateways))/(scheduleDemand*capacity)*float64(time.Second)))
	}
	for w.events.Len() > 0 {
		e := heap.Pop(&w.events).(scheduleEvent)
		if e.at.After(begin().Add(scheduleEnd)) {
			break
		}
		w.now = e.at
		e.run()
	}
	for _, s := range w.servers {
		w.check(s)
	}
}

// pumpInterval is the time between two decisions on waiting requests.
const pumpInterval = 20 * time.Millisecond

// pump decides on requests that still wait.
func (w *world) pump(i int) {
	g := w.gateways[i]
	if g.pumping || g.Waiting() == 0 {
		return
	}
	g.pumping = true
	w.after(pumpInterval, func() {
		g.pumping = false
		w.on(g, func() { w.decide(i) })
	})
}

// arrive lets requests arrive at a gateway.
func (w *world) arrive(i int, every time.Duration) {
	sentAt := w.now
	w.sent[int(w.now.Sub(begin())/time.Second)]++
	w.on(w.gateways[i], func() {
		w.gateways[i].Enqueue(&Waiter{ID: sentAt.String(), Service: "s", Deadline: sentAt.Add(schedulePatient)})
		w.decide(i)
	})
	w.after(w.uniform(2*every), func() { w.arrive(i, every) })
}

func (w *world) decide(i int) {
	decisions, _ := w.gateways[i].Next(w.now)
	for _, d := range decisions {
		if d.Backend == nil {
			continue
		}
		w.after(w.uniform(w.maxWait), func() { w.on(w.gateways[i], func() { w.send(i, d) }) })
	}
	w.pump(i)
}

// send sends a request if that is still permitted, as the forwarder does.
func (w *world) send(i int, d Decision) {
	g := w.gateways[i]
	if constraint, _, _ := g.ConstraintOf(w.now, d.Backend.GetId()); constraint == BackingOff {
		g.Done(w.now, d.Backend.GetId(), "", 0, Abandoned)
		g.Enqueue(d.Waiter)
		w.decide(i)
		return
	}
	w.after(w.uniform(w.maxDelay), func() { w.receive(i, d) })
}

func (w *world) receive(i int, d Decision) {
	for _, s := range w.servers {
		if s.id != d.Backend.GetAddress() {
			continue
		}
		if s.name() != d.Backend.GetId() {
			w.answer(i, d, Unreachable, 0, false)
			return
		}
		sentAt := d.Waiter.Deadline.Add(-schedulePatient)
		s.arrivals[i] = append(s.arrivals[i], scheduleArrival{at: w.now, sentAt: sentAt})
		switch {
		case w.now.Before(s.rejectUntil):
			s.rejections[i] = append(s.rejections[i], scheduleArrival{at: w.now, backoff: s.backoff})
			w.answer(i, d, Full, s.backoff, s.leaving)
		case s.running >= w.slots:
			w.answer(i, d, Full, 0, s.leaving)
		default:
			s.running++
			incarnation := s.incarnation
			w.after(scheduleRun, func() {
				if s.incarnation == incarnation {
					s.running--
					w.answer(i, d, Served, 0, s.leaving)
				}
			})
		}
	}
}

// answer delivers an answer to a gateway. Unserved requests are sent again.
func (w *world) answer(i int, d Decision, outcome Outcome, backoff time.Duration, leaving bool) {
	w.after(w.uniform(w.maxDelay), func() {
		w.on(w.gateways[i], func() {
			g, id := w.gateways[i], d.Backend.GetId()
			g.BackOff(w.now, id, backoff)
			if leaving && g.Leave(w.now, id) {
				w.recordTold(i, id)
			}
			if outcome == Served {
				g.Accepted(w.now, id)
				sentAt := d.Waiter.Deadline.Add(-schedulePatient)
				w.served[int(sentAt.Sub(begin())/time.Second)]++
			}
			g.Done(w.now, id, "", 0, outcome)
			if outcome != Served {
				d.Waiter.Avoid = append(d.Waiter.Avoid, id)
				g.Enqueue(d.Waiter)
			}
			w.decide(i)
		})
	})
}

func (w *world) recordTold(i int, id string) {
	for _, s := range w.servers {
		if s.name() == id {
			s.toldAt[i] = w.now
		}
	}
}

// check checks both rules for a server's incarnation.
func (w *world) check(s *scheduleServer) {
	for i, rejections := range s.rejections {
		for _, r := range rejections {
			n := 0
			for _, a := range s.arrivals[i] {
				if a.at.After(r.at.Add(backoffGrace)) && a.at.Before(r.at.Add(r.backoff)) {
					n++
				}
			}
			w.worst = max(w.worst, n)
		}
	}
	for i, toldAt := range s.toldAt {
		for _, a := range s.arrivals[i] {
			if a.sentAt.After(toldAt.Add(drainTime)) {
				w.late++
			}
		}
	}
}

// reject lets a server reject all requests for a time.
func (w *world) reject(s *scheduleServer, at, lasts, backoff time.Duration) {
	w.after(at, func() { s.rejectUntil, s.backoff = w.now.Add(lasts), backoff })
}

// leave lets a server leave. An incarnation starts at its address later.
func (w *world) leave(s *scheduleServer, at, restart time.Duration) {
	w.after(at, func() {
		s.leaving = true
		w.after(restart, func() {
			w.check(s)
			w.start(s)
		})
	})
}

// servedShare returns the part of the requests sent in some seconds that were served.
func (w *world) servedShare(from, until int) float64 {
	sent, served := 0, 0
	for second := from; second < until; second++ {
		sent += w.sent[second]
		served += w.served[second]
	}
	return float64(served) / float64(sent)
}

// In random schedules no server gets requests during a backoff or after its departure, the
// others serve what they can meanwhile, and all serve again afterwards.
func TestBackoffsAndDeparturesAreRespected(t *testing.T) {
	for name, test := range map[string]struct {
		gateways, servers, slots int
		maxWait                  time.Duration
		freezes                  bool
	}{
		"one gateway":                    {1, 3, 4, 100 * time.Millisecond, false},
		"nine gateways":                  {9, 6, 4, 100 * time.Millisecond, false},
		"requests wait in their gateway": {1, 3, 64, 1500 * time.Millisecond, false},
		"nine gateways that freeze":      {9, 6, 4, 100 * time.Millisecond, true},
		"three hundred gateways":         {300, 90, 4, 100 * time.Millisecond, false},
		"more gateways than their slots": {81, 6, 4, 100 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range *scheduleSeeds {
				c := qt.New(t)
				w := newWorld(uint64(seed), test.gateways, test.servers, test.slots, test.maxWait)
				w.schedule(test.freezes)
				w.run()
				comment := qt.Commentf("seed %d: at most %d requests of a gateway in a backoff, %d after a departure, served %.3f in all, %.3f at the end",
					seed, w.worst, w.late, w.servedShare(0, 27), w.servedShare(24, 28))
				c.Check(w.worst <= maxDuringBackoff, qt.IsTrue, comment)
				c.Check(w.late, qt.Equals, 0, comment)
				c.Check(w.servedShare(5, 21) >= 0.9, qt.IsTrue, comment)
				c.Check(w.servedShare(24, 28) >= 0.95, qt.IsTrue, comment)
			}
		})
	}
}

// schedule draws rejections of up to a third of the servers at a time, overlapping with
// departures, and freezes of gateways, between seconds 5 and 20.
func (w *world) schedule(freezes bool) {
	for round := range 5 {
		at := time.Duration(5+3*round) * time.Second
		for n := range max(1, len(w.servers)/3) {
			s := w.servers[(round*7+n)%len(w.servers)]
			begins := at + w.uniform(time.Second)
			if w.random.IntN(4) == 0 {
				w.leave(s, begins, drainTime+w.uniform(time.Second))
				continue
			}
			w.reject(s, begins, w.uniform(3*time.Second), 100*time.Millisecond+w.uniform(3*time.Second))
		}
		if freezes {
			g := w.gateways[w.random.IntN(len(w.gateways))]
			w.after(at, func() { g.frozenUntil = w.now.Add(w.uniform(2 * time.Second)) })
		}
	}
}
