package slotgranter_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"bronzelead.example/pkg/ageestimator"
	"bronzelead.example/pkg/balancer"
	"bronzelead.example/pkg/slotgranter"
	"bronzelead.example/pkg/wire"
)

const (
	ms        = time.Millisecond
	objective = 150 * ms
	timeout   = 640 * ms
	retryTime = 250 * ms
	slots     = 6
	queue     = 24
	// hop is the time of a message between two instances.
	hop      = ms
	meanWork = 30 * ms
	// safeShare is the share of the requests that may run twice, of which failShare fail in a run.
	safeShare, failShare = 0.18, 0.14
	// keptShare is the share of first tries that come over connections that callers keep.
	keptShare = 0.85
	newsEvery = 50 * ms
	// maxAsks is how many owners are asked for a slot by one try.
	maxAsks = 2
	// maxSlow is how many more are asked because others are too slow.
	maxSlow = 2
)

// fleet is a plain service behind many gateways, with their real decisions, in virtual time.
type fleet struct {
	random   *rand.Rand
	now      time.Time
	events   events
	order    int
	gateways []*gateway
	servers  []*server
	// newsAge is how old the loads of other gateways are by which a gateway chooses.
	newsAge time.Duration
	past    []map[string]int
	results map[int]*result
	begun   time.Time
}

// result is what became of the requests that were first sent within one second, by class: those
// that may run once, and those that may run twice.
type result struct{ asked, inTime [2]int }

type gateway struct {
	balancer  *balancer.Balancer
	backdater ageestimator.Estimator
}

type server struct {
	id        string
	dispenser slotgranter.Dispenser
	running   int
	queued    []func()
	slowness  float64
	gone      bool
	grant     map[string]func(bool)
}

// request is what one caller wants, through its tries.
type request struct {
	first    time.Time
	patience time.Duration
	safe     bool
	retries  int
}

// try is one try of a request at one gateway.
type try struct {
	*request
	gateway  *gateway
	received time.Time
	asked    time.Time
	avoid    []string
	asks     int
	slow     int
	runs     int
	key      string
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newFleet(seed uint64, gateways, servers int, newsAge time.Duration) *fleet {
	begun := time.Unix(1e9, 0)
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: begun, begun: begun, newsAge: newsAge, results: map[int]*result{}}
	for i := range servers {
		f.servers = append(f.servers, &server{id: fmt.Sprint("b", i), slowness: 1, grant: map[string]func(bool){}})
	}
	for range gateways {
		g := &gateway{balancer: &balancer.Balancer{Zone: "z", Rand: f.random}}
		for _, s := range f.servers {
			g.balancer.UpdateBackend(begun, &wire.Announcement{Id: s.id, Service: "s", Address: s.id, Zone: "z", Slots: slots, Sequence: 1})
		}
		f.gateways = append(f.gateways, g)
	}
	f.tellLoads()
	return f
}

func (f *fleet) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.events, event{at: f.now.Add(d), order: f.order, run: run})
}

// tellLoads tells each gateway what the others had under way a while ago.
func (f *fleet) tellLoads() {
	sum := map[string]int{}
	for _, g := range f.gateways {
		for _, l := range g.balancer.Loads() {
			sum[l.GetBackend()] += int(l.GetRequests())
		}
	}
	f.past = append(f.past, sum)
	if age := int(f.newsAge / newsEvery); len(f.past) > age {
		old := f.past[len(f.past)-1-age]
		for _, g := range f.gateways {
			own := map[string]int{}
			for _, l := range g.balancer.Loads() {
				own[l.GetBackend()] = int(l.GetRequests())
			}
			var loads []*wire.Load
			for _, s := range f.servers {
				loads = append(loads, &wire.Load{Backend: s.id, Requests: uint32(max(0, old[s.id]-own[s.id]))})
			}
			g.balancer.SetLoads(loads)
		}
	}
	f.after(newsEvery, f.tellLoads)
}

// load lets callers send requests for a time, at a share of what all backend servers that were
// there at first can run.
func (f *fleet) load(d time.Duration, share float64, servers int) {
	perSecond := share * float64(servers*slots) / meanWork.Seconds()
	end := f.now.Add(d)
	var next func()
	next = func() {
		f.arrive()
		if wait := time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)); f.now.Add(wait).Before(end) {
			f.after(wait, next)
		}
	}
	f.after(0, next)
	f.runUntil(end)
}

func (f *fleet) runUntil(end time.Time) {
	for len(f.events) > 0 && f.events[0].at.Before(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

func (f *fleet) arrive() {
	r := &request{first: f.now, patience: 1275*ms + time.Duration(f.random.Int64N(int64(225*ms))), safe: f.random.Float64() < safeShare}
	f.result(r).asked[r.class()]++
	f.send(r, f.random.Float64() < keptShare)
}

func (r *request) class() int {
	if r.safe {
		return 1
	}
	return 0
}

func (f *fleet) result(r *request) *result {
	second := int(r.first.Sub(f.begun) / time.Second)
	if f.results[second] == nil {
		f.results[second] = &result{}
	}
	return f.results[second]
}

// send is one try of a caller.
func (f *fleet) send(r *request, reused bool) {
	g := f.gateways[f.random.IntN(len(f.gateways))]
	left := r.patience - f.now.Sub(r.first)
	f.order++
	t := &try{request: r, gateway: g, received: f.now, asked: f.now, key: fmt.Sprint(f.order)}
	if reused {
		g.backdater.Observe(left)
	} else {
		t.asked = f.now.Add(-g.backdater.Age(left))
	}
	f.choose(t)
}

func (f *fleet) choose(t *try) {
	dispensed := t.gateway.balancer.Contended(f.now, "s")
	w := &balancer.Waiter{ID: t.key, Service: "s", Deadline: t.received.Add(timeout), Avoid: t.avoid, UsesSlotGrants: dispensed}
	t.gateway.balancer.Enqueue(w)
	f.decide(t, w)
}

func (f *fleet) decide(t *try, w *balancer.Waiter) {
	decisions, _ := t.gateway.balancer.Next(f.now)
	for _, d := range decisions {
		if d.Waiter != w {
			continue
		}
		if d.Backend == nil {
			f.refuse(t)
			return
		}
		s := f.server(d.Backend.GetId())
		if w.UsesSlotGrants {
			f.after(hop, func() { f.ask(t, s) })
			return
		}
		f.after(hop, func() { f.reach(t, s) })
		return
	}
	// Alone in the queue of its gateway, or nearly: it is looked at again as by the pump.
	t.gateway.balancer.Cancel(w)
	f.after(20*ms, func() {
		t.gateway.balancer.Enqueue(w)
		f.decide(t, w)
	})
}

func (f *fleet) server(id string) *server {
	for _, s := range f.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// ask asks the owner of a backend server for a slot.
func (f *fleet) ask(t *try, s *server) {
	key := fmt.Sprint(t.key, "/", len(t.avoid), "/", t.runs)
	ask := slotgranter.Ask{Key: key, InTimeUntil: t.asked.Add(objective), GiveUp: t.received.Add(timeout), Slots: slots}
	ask.Elsewhere = t.slow < maxSlow && f.now.Before(t.asked.Add(objective)) &&
		t.gateway.balancer.HasAlternative(f.now, &balancer.Waiter{Service: "s", Avoid: t.avoid, UsesSlotGrants: true}, s.id)
	if !s.dispenser.Add(f.now, ask) {
		slow := ask.Elsewhere && s.dispenser.TooSlow(f.now, ask)
		f.after(hop, func() { f.noSlot(t, s, slow) })
		return
	}
	s.grant[key] = func(granted bool) {
		f.after(hop, func() {
			if !granted {
				f.noSlot(t, s, false)
				return
			}
			t.key = key
			f.after(hop, func() { f.reach(t, s) })
		})
	}
	f.after(max(0, t.received.Add(timeout).Sub(f.now)), func() {
		if s.dispenser.Withdraw(key) {
			delete(s.grant, key)
			f.noSlot(t, s, false)
		}
	})
	f.grant(s)
}

func (f *fleet) grant(s *server) {
	tell := func(asks []slotgranter.Ask, granted bool) {
		for _, a := range asks {
			told := s.grant[a.Key]
			delete(s.grant, a.Key)
			told(granted)
		}
	}
	tell(s.dispenser.Evict(f.now), false)
	tell(s.dispenser.Next(f.now), true)
}

func (f *fleet) noSlot(t *try, s *server, slow bool) {
	t.gateway.balancer.Done(f.now, s.id, "", 0, balancer.Abandoned)
	t.avoid = append(t.avoid, s.id)
	if slow {
		t.slow++
	} else {
		t.asks++
	}
	if t.asks < maxAsks {
		f.choose(t)
		return
	}
	f.refuse(t)
}

// reach lets a try come to a backend server.
func (f *fleet) reach(t *try, s *server) {
	switch {
	case s.gone:
		f.after(hop, func() { f.end(t, s, balancer.Unreachable, false) })
	case s.running < slots:
		f.run(t, s)
	case len(s.queued) < queue:
		s.queued = append(s.queued, func() { f.run(t, s) })
	default:
		f.after(hop, func() { f.end(t, s, balancer.Full, false) })
	}
}

func (f *fleet) run(t *try, s *server) {
	s.running++
	t.runs++
	work := float64(meanWork) * s.slowness * math.Exp(0.5*f.random.NormFloat64()-0.125)
	if f.random.Float64() < 0.01 {
		work *= 5
	}
	fails := t.safe && f.random.Float64() < failShare
	f.after(time.Duration(work), func() {
		s.running--
		if len(s.queued) > 0 {
			next := s.queued[0]
			s.queued = s.queued[1:]
			next()
		}
		outcome := balancer.Served
		if fails {
			outcome = balancer.Failed
		}
		f.after(hop, func() { f.end(t, s, outcome, true) })
	})
}

func (f *fleet) end(t *try, s *server, outcome balancer.Outcome, ran bool) {
	t.gateway.balancer.Done(f.now, s.id, "", 0, outcome)
	key := t.key
	f.after(hop, func() {
		s.dispenser.End(f.now, key, ran)
		f.grant(s)
	})
	switch {
	case outcome == balancer.Served:
		if f.now.Sub(t.first) <= objective {
			f.result(t.request).inTime[t.class()]++
		}
	case outcome == balancer.Failed && t.runs >= 2:
		f.retry(t.request)
	default:
		t.avoid = append(t.avoid, s.id)
		f.choose(t)
	}
}

func (f *fleet) refuse(t *try) { f.retry(t.request) }

// retry lets a caller send its request once more.
func (f *fleet) retry(r *request) {
	if r.retries++; r.retries > 1 {
		return
	}
	f.after(retryTime, func() { f.send(r, false) })
}
