package slotgranter_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bronzelead.example/pkg/ageestimator"
	"bronzelead.example/pkg/balancer"
	"bronzelead.example/pkg/slotgranter"
	"bronzelead.example/pkg/waitestimator"
	"bronzelead.example/pkg/wire"
)

const (
	ms    = time.Millisecond
	slots = 6
	queue = 24
	// meanWork, idempotentShare and failShare are those of sharedWorkload.
	meanWork                   = 30 * ms
	idempotentShare, failShare = 0.18, 0.14
	// reusedShare is the share of first attempts over connections that callers keep open.
	reusedShare  = 0.85
	loadInterval = 50 * ms
	// maxGrantRequests is how many owners one attempt requests a slot from.
	maxGrantRequests = 2
	// maxSlow is how many more are tried because others are too slow.
	maxSlow = 2
)

// workload describes the requests and messages of a fleet.
type workload struct {
	objective, timeout, work time.Duration
	// retryTime is the retry time of a refusal.
	retryTime time.Duration
	// clientTimeout is the least time that a caller waits, which varies by clientTimeoutRange.
	clientTimeout, clientTimeoutRange time.Duration
	// idempotentShare is the share of requests that may run twice, of which failShare fail in a
	// run.
	idempotentShare, failShare float64
	// hop is the least latency of a message between two instances, and delay the mean time that
	// a busy gateway takes in addition until it reads one.
	hop, delay time.Duration
	// processing is the time that an owner takes for each message, one after the other.
	processing time.Duration
	// localRefusals lets gateways refuse requests by what they know of the owners' waits.
	localRefusals bool
	// callersAt is the number of gateways that callers use; 0 for all.
	callersAt int
}

// sharedWorkload is a plain service with short objectives behind gateways that are not busy.
func sharedWorkload() workload {
	return workload{
		objective: 150 * ms, timeout: 640 * ms, work: meanWork, retryTime: 250 * ms, clientTimeout: 1275 * ms, clientTimeoutRange: 225 * ms,
		idempotentShare: idempotentShare, failShare: failShare, hop: ms,
	}
}

// fleet simulates a plain service behind many gateways, with their real decisions, in virtual
// time.
type fleet struct {
	workload
	random   *rand.Rand
	now      time.Time
	events   events
	order    int
	gateways []*gateway
	servers  []*server
	// loadAge is the age of the other gateways' loads that a gateway chooses by.
	loadAge time.Duration
	past    []map[string]int
	// pastReports are the owners' reports, one list for each element of past.
	pastReports []map[string]waitestimator.Report
	results     map[int]*result
	startedAt   time.Time
}

// result counts the requests that were first sent within one second, by class: those that may
// run once, and those that may run twice.
type result struct {
	sent, onTime [2]int
	// refusals counts responses with 503, and waited those of them that took more than an eighth
	// of the objective. unserved counts the requests that ended without an answer.
	refusals, waited, unserved int
	// messages counts the messages between gateways.
	messages int
}

type gateway struct {
	id        string
	balancer  *balancer.Balancer
	estimator ageestimator.Estimator
	// lastRuns are the durations of the latest runs by backend server, from send to answer.
	lastRuns map[string]time.Duration
	waits    waitestimator.Estimator
	removed  bool
}

type server struct {
	id       string
	granter  slotgranter.Granter
	running  int
	queued   []func()
	slowness float64
	removed  bool
	grant    map[string]func(bool)
	// completions and requests are the messages that its owner has yet to process.
	completions, requests []func()
	processing            bool
	// busy is the time that its slots were in use, by second, and asked the number of grant
	// requests, by tenth of a second.
	busy  map[int]time.Duration
	asked map[int]int
}

// request is a request of one caller, with all its attempts.
type request struct {
	first         time.Time
	clientTimeout time.Duration
	idempotent    bool
	retries       int
}

// attempt is one attempt of a request at one gateway.
type attempt struct {
	*request
	gateway       *gateway
	received      time.Time
	sentAt        time.Time
	avoid         []string
	grantRequests int
	slow          int
	runs          int
	key           string
	reachedAt     time.Time
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

func newFleet(w workload, seed uint64, gateways, servers int, loadAge time.Duration) *fleet {
	startedAt := time.Unix(1e9, 0)
	f := &fleet{workload: w, random: rand.New(rand.NewPCG(seed, 1)), now: startedAt, startedAt: startedAt, loadAge: loadAge, results: map[int]*result{}}
	for i := range servers {
		f.servers = append(f.servers, &server{id: fmt.Sprint("b", i), slowness: 1, grant: map[string]func(bool){}, busy: map[int]time.Duration{}, asked: map[int]int{}})
	}
	for i := range gateways {
		g := &gateway{id: fmt.Sprint("g", i), balancer: &balancer.Balancer{Zone: "z", Rand: f.random}, lastRuns: map[string]time.Duration{}}
		for _, s := range f.servers {
			g.balancer.UpdateBackend(startedAt, &wire.Announcement{Id: s.id, Service: "s", Address: s.id, Zone: "z", Slots: slots, Sequence: 1})
		}
		f.gateways = append(f.gateways, g)
	}
	f.shareLoads()
	return f
}

func (f *fleet) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.events, event{at: f.now.Add(d), order: f.order, run: run})
}

// message delivers a message between two instances.
func (f *fleet) message(run func()) { f.after(f.latency(), run) }

func (f *fleet) latency() time.Duration {
	if f.delay == 0 {
		return f.hop
	}
	return f.hop + time.Duration(f.random.ExpFloat64()*float64(f.delay))
}

// toOwner delivers a message of a request to the owner of a backend server, which processes
// completions before new requests.
func (f *fleet) toOwner(t *attempt, s *server, completion bool, run func()) {
	f.result(t.request).messages++
	f.message(func() {
		if f.processing == 0 {
			run()
			return
		}
		if completion {
			s.completions = append(s.completions, run)
		} else {
			s.requests = append(s.requests, run)
		}
		f.process(s)
	})
}

func (f *fleet) process(s *server) {
	list := &s.completions
	if len(*list) == 0 {
		list = &s.requests
	}
	if s.processing || len(*list) == 0 {
		return
	}
	next := (*list)[0]
	*list = (*list)[1:]
	s.processing = true
	f.after(f.processing, func() {
		s.processing = false
		next()
		f.process(s)
	})
}

// fromOwner delivers an owner's answer.
func (f *fleet) fromOwner(t *attempt, run func()) {
	f.result(t.request).messages++
	f.message(run)
}

// shareLoads sends each gateway the loads of the others as of a while ago.
func (f *fleet) shareLoads() {
	sum := map[string]int{}
	for _, g := range f.gateways {
		for _, l := range g.balancer.Loads(f.now) {
			sum[l.GetBackend()] += int(l.GetRequests())
		}
	}
	f.past = append(f.past, sum)
	reports := map[string]waitestimator.Report{}
	for _, s := range f.servers {
		reports[s.id] = waitestimator.Report{Wait: s.granter.Backlog(), ServiceTime: s.granter.ServiceTime(), Age: f.loadAge}
	}
	f.pastReports = append(f.pastReports, reports)
	if age := int(f.loadAge / loadInterval); len(f.past) > age {
		old := f.past[len(f.past)-1-age]
		for _, g := range f.gateways {
			own := map[string]int{}
			for _, l := range g.balancer.Loads(f.now) {
				own[l.GetBackend()] = int(l.GetRequests())
			}
			var loads []*wire.Load
			for _, s := range f.servers {
				loads = append(loads, &wire.Load{Backend: s.id, Requests: uint32(max(0, old[s.id]-own[s.id]))})
			}
			g.balancer.SetLoads(f.now, loads)
			for id, r := range f.pastReports[len(f.past)-1-age] {
				g.waits.Report(f.now, id, r)
			}
		}
	}
	f.after(loadInterval, f.shareLoads)
}

// load sends requests for a time, at a share of the capacity of the given number of servers.
func (f *fleet) load(d time.Duration, share float64, servers int) {
	perSecond := share * float64(servers*slots) / f.work.Seconds()
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
	r := &request{first: f.now, clientTimeout: f.clientTimeout + time.Duration(f.random.Int64N(int64(f.clientTimeoutRange))), idempotent: f.random.Float64() < f.idempotentShare}
	f.result(r).sent[r.class()]++
	f.send(r, f.random.Float64() < reusedShare)
}

func (r *request) class() int {
	if r.idempotent {
		return 1
	}
	return 0
}

func (f *fleet) result(r *request) *result {
	second := int(r.first.Sub(f.startedAt) / time.Second)
	if f.results[second] == nil {
		f.results[second] = &result{}
	}
	return f.results[second]
}

// send makes one attempt of a caller.
func (f *fleet) send(r *request, reused bool) {
	g := f.gateways[f.random.IntN(len(f.gateways))]
	if f.callersAt > 0 {
		g = f.gateways[f.random.IntN(f.callersAt)]
	}
	for g.removed {
		g = f.gateways[f.random.IntN(len(f.gateways))]
	}
	left := r.clientTimeout - f.now.Sub(r.first)
	f.order++
	t := &attempt{request: r, gateway: g, received: f.now, sentAt: f.now, key: fmt.Sprint(f.order)}
	if reused {
		g.estimator.Observe(left)
	} else {
		t.sentAt = f.now.Add(-g.estimator.Age(left))
	}
	f.choose(t)
}

func (f *fleet) choose(t *attempt) {
	usesSlotGrants := t.gateway.balancer.Contended(f.now, "s")
	avoid := t.avoid
	if usesSlotGrants && f.localRefusals {
		busy := t.gateway.waits.AppendBusy(nil, f.now, f.waitRequest(t))
		avoid = slices.Concat(busy, t.avoid)
		known := &balancer.Waiter{Service: "s", Avoid: avoid, UsesSlotGrants: true}
		if len(busy) > 0 && !t.gateway.balancer.HasAlternative(f.now, known, "") {
			if !t.gateway.waits.TakeProbe(f.now) {
				f.refuse(t)
				return
			}
			avoid = t.avoid
		}
	}
	w := &balancer.Waiter{ID: t.key, Service: "s", Deadline: t.received.Add(f.timeout), Avoid: avoid, UsesSlotGrants: usesSlotGrants}
	t.gateway.balancer.Enqueue(w)
	f.decide(t, w)
}

func (f *fleet) decide(t *attempt, w *balancer.Waiter) {
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
			f.toOwner(t, s, false, func() { f.requestSlot(t, s) })
			return
		}
		f.message(func() { f.reach(t, s) })
		return
	}
	// The request is alone in its gateway's queue, or nearly: it is decided on again after a
	// while, as the pump would do.
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

// requestSlot requests a slot from the owner of a backend server.
func (f *fleet) requestSlot(t *attempt, s *server) {
	key := fmt.Sprint(t.key, "/", len(t.avoid), "/", t.runs)
	grantRequest := slotgranter.GrantRequest{Key: key, OnTimeUntil: t.sentAt.Add(f.objective), Deadline: t.received.Add(f.timeout), Slots: slots, Gateway: t.gateway.id, LastRun: t.gateway.lastRuns[s.id]}
	delete(t.gateway.lastRuns, s.id)
	grantRequest.HasAlternative = t.slow < maxSlow && t.sentAt.Add(f.objective).Sub(f.now) >= f.objective/2 &&
		t.gateway.balancer.HasAlternative(f.now, &balancer.Waiter{Service: "s", Avoid: t.avoid, UsesSlotGrants: true}, s.id)
	s.asked[int(f.now.Sub(f.startedAt)/(100*ms))]++
	if !s.granter.Add(f.now, grantRequest) {
		slow := grantRequest.HasAlternative && s.granter.TooSlow(f.now, grantRequest)
		refusal := waitestimator.Refusal{Owner: s.id, Left: grantRequest.OnTimeUntil.Sub(f.now), For: s.granter.RefusedFor(f.now, grantRequest)}
		f.fromOwner(t, func() {
			if !slow {
				t.gateway.waits.Refused(f.now, s.id, refusal)
			}
			if f.localRefusals && refusal.Sustained() {
				t.grantRequests = maxGrantRequests
			}
			f.noSlot(t, s, slow)
		})
		return
	}
	s.grant[key] = func(granted bool) {
		f.fromOwner(t, func() {
			if t.gateway.removed {
				return
			}
			if !granted {
				f.noSlot(t, s, false)
				return
			}
			t.gateway.waits.Granted(s.id)
			t.key = key
			t.reachedAt = f.now
			f.message(func() { f.reach(t, s) })
		})
	}
	f.after(max(0, t.received.Add(f.timeout).Sub(f.now)), func() {
		if s.granter.Withdraw(key) {
			delete(s.grant, key)
			f.noSlot(t, s, false)
		}
	})
	f.grant(s)
}

func (f *fleet) grant(s *server) {
	notify := func(requests []slotgranter.GrantRequest, granted bool) {
		for _, a := range requests {
			callback := s.grant[a.Key]
			delete(s.grant, a.Key)
			callback(granted)
		}
	}
	notify(s.granter.Evict(f.now), false)
	notify(s.granter.Next(f.now), true)
}

func (f *fleet) noSlot(t *attempt, s *server, slow bool) {
	t.gateway.balancer.Done(f.now, s.id, "", 0, balancer.Abandoned)
	t.avoid = append(t.avoid, s.id)
	if slow {
		t.slow++
	} else {
		t.grantRequests++
	}
	if t.grantRequests < maxGrantRequests {
		f.choose(t)
		return
	}
	f.refuse(t)
}

// reach delivers an attempt to a backend server.
func (f *fleet) reach(t *attempt, s *server) {
	switch {
	case s.removed:
		f.message(func() { f.complete(t, s, balancer.Unreachable, false) })
	case s.running < slots:
		f.run(t, s)
	case len(s.queued) < queue:
		s.queued = append(s.queued, func() { f.run(t, s) })
	default:
		f.message(func() { f.complete(t, s, balancer.Full, false) })
	}
}

func (f *fleet) run(t *attempt, s *server) {
	s.running++
	t.runs++
	work := float64(f.work) * s.slowness * math.Exp(0.5*f.random.NormFloat64()-0.125)
	if f.random.Float64() < 0.01 {
		work *= 5
	}
	f.recordBusy(s, time.Duration(work))
	fails := t.idempotent && f.random.Float64() < f.failShare
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
		f.message(func() { f.complete(t, s, outcome, true) })
	})
}

// recordBusy records that a slot is in use from now on for a time.
func (f *fleet) recordBusy(s *server, work time.Duration) {
	for from, end := f.now, f.now.Add(work); from.Before(end); {
		second := int(from.Sub(f.startedAt) / time.Second)
		until := f.startedAt.Add(time.Duration(second+1) * time.Second)
		if end.Before(until) {
			until = end
		}
		s.busy[second] += until.Sub(from)
		from = until
	}
}

func (f *fleet) complete(t *attempt, s *server, outcome balancer.Outcome, ran bool) {
	if t.gateway.removed {
		return
	}
	t.gateway.balancer.Done(f.now, s.id, "", 0, outcome)
	if ran && outcome == balancer.Served {
		t.gateway.lastRuns[s.id] = f.now.Sub(t.reachedAt)
	}
	key := t.key
	f.toOwner(t, s, true, func() {
		s.granter.Release(f.now, key, ran)
		f.grant(s)
	})
	switch {
	case outcome == balancer.Served:
		if f.now.Sub(t.first) <= f.objective {
			f.result(t.request).onTime[t.class()]++
		}
	case outcome == balancer.Failed && t.runs >= 2:
		f.retry(t)
	default:
		t.avoid = append(t.avoid, s.id)
		f.choose(t)
	}
}

func (f *fleet) refuse(t *attempt) {
	r := f.result(t.request)
	r.refusals++
	if f.now.Sub(t.received) > f.objective/8 {
		r.waited++
	}
	f.retry(t)
}

// retry lets a caller send its request once more.
func (f *fleet) retry(t *attempt) {
	r := t.request
	if r.retries++; r.retries > 1 {
		f.result(r).unserved++
		return
	}
	f.after(f.retryAfter(t), func() { f.send(r, false) })
}

// retryAfter returns the retry time of a refusal.
func (f *fleet) retryAfter(t *attempt) time.Duration {
	if !f.localRefusals {
		return f.retryTime
	}
	r := f.waitRequest(t)
	backends := t.gateway.waits.AppendBusy(slices.Clone(t.avoid), f.now, r)
	return t.gateway.waits.RetryAfter(f.now, backends, r, t.clientTimeout-f.now.Sub(t.first), f.random.Float64())
}

// waitRequest returns an attempt as its gateway knows it.
func (f *fleet) waitRequest(t *attempt) waitestimator.Request {
	return waitestimator.Request{Left: t.sentAt.Add(f.objective).Sub(f.now), Returned: t.sentAt.Before(t.received)}
}
