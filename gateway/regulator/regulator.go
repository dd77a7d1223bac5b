// Package regulator requests a grant from the owner of an engine before a prompt is sent there,
// and grants prompts for the engines that this gateway owns. It does the same for the slots of
// plain services that many gateways contend for. Owners follow from the list of gateways by
// rendezvous hashing. While lists differ, or an owner does not answer, several gateways grant
// for one engine, each a part of its prompts.
package regulator

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/pacer"
	"bronzelead.example/pkg/slotgranter"
	"bronzelead.example/pkg/waitestimator"
	"bronzelead.example/pkg/wire"
)

const (
	// checkInterval is the time between two checks of engines without any event.
	checkInterval = 20 * time.Millisecond
	// answerMargin is the time that a call may take beyond its wait: some round trips within a
	// region, to a busy instance.
	answerMargin = 80 * time.Millisecond
	// minBackoff is how long a gateway is not called after one failed call; it doubles up to
	// maxBackoff. After a failure of all instances, gateways start to listen within some
	// hundred ms of each other, and while they don't call the same owner, each paces for
	// itself.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxAttempts is how many gateways are called for one prompt at most.
	maxAttempts = 3
	// logSlotsInterval is the time between two log lines on the slots of one backend server.
	logSlotsInterval = 5 * time.Second
	// engineTTL is how long the state of an unused engine is kept: longer than quiet periods,
	// and short against the time in which many incarnations come and go.
	engineTTL = time.Minute
)

// Regulator paces prompts. Set the exported fields, call Init, then Run.
type Regulator struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	// Self is the address of this gateway for the others.
	Self string
	// OnPeerPauses is called when another gateway paces prompts for an engine because of long
	// pauses that it has observed itself.
	OnPeerPauses func(backend, gateway string)
	// Meter counts refused requests of customers above their shares; nil counts none.
	Meter *meter.Meter

	requestCount atomic.Uint64
	mu           sync.Mutex
	peers        map[string]*peer
	// gateways are the addresses of all gateways; lists holds the list of each controller, and
	// leader is the controller whose list is used.
	gateways []string
	lists    map[string][]string
	leader   string
	engines  map[string]*engine
	// weights are the weights of the customers with a limit.
	weights map[string]float64
	// lastRuns are the durations of the latest requests of this gateway at the backend servers of
	// plain services, until they are reported with the next one there.
	lastRuns map[string]lastRun

	// completionsMu guards completions, which were reported and not handled yet. It is held for a
	// moment only, so that a completion never waits for the requests that compete for mu.
	completionsMu sync.Mutex
	completions   []*wire.PromptEnd

	// waitsMu guards waits, what is known of the waits at backend servers of plain services, for
	// the requests of each customer: owners refuse those of one that is above its share first.
	waitsMu sync.Mutex
	waits   map[string]*waitestimator.Estimator
}

// lastRun is how long a request took at a backend server, and when it completed.
type lastRun struct {
	took time.Duration
	at   time.Time
}

// engine is an engine or backend server that this gateway owns, or did.
type engine struct {
	// scheduleGrant schedules a check for when a prompt may be granted without any event.
	scheduleGrant func(at time.Time)
	pacer         pacer.Pacer
	// granter grants the slots of a plain service's backend server.
	granter slotgranter.Granter
	// waiting are the channels on which waiting grant requests receive their decision.
	waiting       map[string]chan bool
	lastRequestAt time.Time
	// nextCheck is the time of the next scheduled check.
	nextCheck time.Time
	// loggedAt is when the statistics of its slots were last logged.
	loggedAt time.Time
}

// Prompt is a prompt to be sent to an engine, or a request of a plain service.
type Prompt struct {
	Backend string
	// PausesObserved is set if this gateway has observed long pauses itself.
	PausesObserved bool
	// GrantRequest is the request to the engine's pacer; Acquire sets its key.
	pacer.GrantRequest
	// Slots is set for a request of a plain service: the number of requests that its backend
	// server runs concurrently. Deadline is when waiting longer is of no use.
	Slots    int
	Deadline time.Time
	// HasAlternative is set if another backend server can be tried next.
	HasAlternative bool
	// Gateway is the gateway that sends it, and LastRun how long its latest request there took;
	// Acquire sets both.
	Gateway string
	LastRun time.Duration
	// Customer is who the request is served for, or "".
	Customer string
}

// slotRequest returns the slot request for a request of a plain service.
func (p *Prompt) slotRequest() slotgranter.GrantRequest {
	return slotgranter.GrantRequest{
		Key: p.Key, Urgency: p.Urgency, OnTimeUntil: p.OnTimeUntil, Deadline: p.Deadline, Slots: p.Slots, HasAlternative: p.HasAlternative,
		Gateway: p.Gateway, LastRun: p.LastRun, Customer: p.Customer,
	}
}

// Result is the outcome of a grant request.
type Result struct {
	// Granted means that the prompt may be sent.
	Granted bool
	// Key identifies the prompt for Release.
	Key string
	// Backlog is about how long the engine takes to read its unread and the waiting prompts.
	Backlog time.Duration
	// Slow means that the backend server takes too long for an answer on time even without
	// load.
	Slow bool
	// ServiceTime is how long the backend server of a plain service takes for a request; 0 if
	// unknown.
	ServiceTime time.Duration
	// Refusal is set if an owner refused the request because of an overload.
	Refusal waitestimator.Refusal
}

// Init prepares the regulator for calls before Run.
func (r *Regulator) Init() {
	r.peers = map[string]*peer{}
	r.engines = map[string]*engine{}
	r.lists = map[string][]string{}
	r.lastRuns = map[string]lastRun{}
}

// UpdateGateways receives a controller's list of gateways. The leader's is used. Before a
// leader is known the longest is: after a failure of all instances many requests arrive at
// once, and gateways that do not know each other would each send theirs.
func (r *Regulator) UpdateGateways(controller string, res *wire.SyncResponse) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if list := res.GetGatewayList(); len(list) > 0 {
		r.lists[controller] = addressesOf(list)
	}
	if res.GetLeads() {
		r.leader = controller
	}
	list := r.lists[r.leader]
	if list == nil {
		for _, other := range r.lists {
			if len(other) > len(list) {
				list = other
			}
		}
	}
	r.gateways = list
	r.removeUnlistedPeers()
}

func addressesOf(list []*wire.GatewayEntry) []string {
	addresses := make([]string, 0, len(list))
	for _, g := range list {
		addresses = append(addresses, g.GetAddress())
	}
	return addresses
}

// Run checks the engines periodically until ctx ends.
func (r *Regulator) Run(ctx context.Context) {
	ticker := r.Clock.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			r.checkEngines()
		}
	}
}

func (r *Regulator) checkEngines() {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handleCompletions(now)
	for backend, last := range r.lastRuns {
		if now.Sub(last.at) > engineTTL {
			delete(r.lastRuns, backend)
		}
	}
	for backend, e := range r.engines {
		e.grant(now)
		r.logSlots(now, backend, e)
		if e.pacer.Idle() && e.granter.Idle() && now.Sub(e.lastRequestAt) > engineTTL {
			delete(r.engines, backend)
		}
	}
}

// logSlots periodically logs the outcomes of requests for a backend server's slots.
func (r *Regulator) logSlots(now time.Time, backend string, e *engine) {
	if now.Sub(e.loggedAt) < logSlotsInterval {
		return
	}
	e.loggedAt = now
	r.logAboveShare(now, backend, e)
	s := e.granter.TakeStats()
	if s.Granted+s.Late+s.Refused+s.Evicted+s.Withdrawn+s.Slow+s.Expired == 0 {
		return
	}
	r.Log.Info("slots granted", "Backend", backend, "Granted", s.Granted, "GrantedLate", s.Late, "Refused", s.Refused,
		"AboveShare", s.AboveShare, "Slow", s.Slow, "Evicted", s.Evicted, "Withdrawn", s.Withdrawn, "Expired", s.Expired, "Waiting", s.Waiting, "Running", s.Running,
		"ServiceUs", s.ServiceTime.Microseconds(), "LatencyUs", s.Latency.Microseconds())
}

// Acquire waits until the prompt may be sent, or for a time at most.
func (r *Regulator) Acquire(ctx context.Context, p *Prompt, wait time.Duration) Result {
	// Callers choose request ids, which need not be unique.
	p.Key = r.Self + "/" + strconv.FormatUint(r.requestCount.Add(1), 10)
	p.Gateway = r.Self
	if p.Slots > 0 {
		p.LastRun = r.takeLastRun(p.Backend)
	}
	for range maxAttempts {
		address := r.owner(p.Backend)
		if address == r.Self || address == "" || ctx.Err() != nil {
			break
		}
		if result, ok := r.acquireFromPeer(ctx, address, p, wait); ok {
			r.learn(p, result)
			return result
		}
	}
	if ctx.Err() != nil {
		// Its caller has left. A grant of this gateway, which may not be the owner, would say nothing.
		return Result{}
	}
	result := r.acquireLocally(ctx, p, wait)
	r.learn(p, result)
	return result
}

// RecordRun records how long a request of a plain service took at its backend server, from its
// sending to the answer. Owners tell by it how much of the time until the completion is reported
// is due to messages.
func (r *Regulator) RecordRun(backend string, took time.Duration) {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastRuns[backend] = lastRun{took: took, at: now}
}

func (r *Regulator) takeLastRun(backend string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	took := r.lastRuns[backend].took
	delete(r.lastRuns, backend)
	return took
}

// Release reports that an engine does not have to read a prompt any more: its first event has
// been received, or it has failed.
func (r *Regulator) Release(backend, key string, read bool) {
	address := r.owner(backend)
	if address == r.Self || address == "" {
		r.complete([]*wire.PromptEnd{{Backend: backend, Key: key, Read: read}})
		return
	}
	r.queueRelease(address, &wire.PromptEnd{Backend: backend, Key: key, Read: read})
}

// Waiting returns the number of prompts that wait for the engines that this gateway owns.
func (r *Regulator) Waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.engines {
		n += len(e.waiting)
	}
	return n
}

// acquireLocally is Acquire at the owner.
func (r *Regulator) acquireLocally(ctx context.Context, p *Prompt, wait time.Duration) Result {
	decided := make(chan bool, 1)
	r.mu.Lock()
	e := r.engine(p.Backend)
	e.lastRequestAt = r.Clock.Now()
	r.handleCompletions(e.lastRequestAt)
	if !e.add(e.lastRequestAt, p, r.weights[p.Customer]) {
		defer r.mu.Unlock()
		return r.refused(e, p)
	}
	e.waiting[p.Key] = decided
	e.grant(e.lastRequestAt)
	backlog := e.backlog(p)
	r.mu.Unlock()
	select {
	case granted := <-decided:
		return r.decided(e, p, granted, backlog)
	default:
	}
	timer := r.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case granted := <-decided:
		return r.decided(e, p, granted, backlog)
	case <-ctx.Done():
	case <-timer.Chan():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !e.pacer.Withdraw(p.Key) && !e.granter.Withdraw(p.Key) {
		// It was decided meanwhile, or a duplicate call has replaced it.
		select {
		case granted := <-decided:
			return Result{Granted: granted, Key: p.Key, Backlog: backlog}
		default:
			return Result{Granted: true, Key: p.Key, Backlog: backlog}
		}
	}
	delete(e.waiting, p.Key)
	return Result{Backlog: e.backlog(p)}
}

// decided returns the result of a request that was granted or evicted.
func (r *Regulator) decided(e *engine, p *Prompt, granted bool, backlog time.Duration) Result {
	if granted || p.Slots == 0 {
		return Result{Granted: granted, Key: p.Key, Backlog: backlog}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overloaded(e, p)
}

// refused returns the result of a request that was refused at once. The caller holds the lock.
func (r *Regulator) refused(e *engine, p *Prompt) Result {
	if p.HasAlternative && e.granter.TooSlow(r.Clock.Now(), p.slotRequest()) {
		return Result{Backlog: e.backlog(p), ServiceTime: e.granter.ServiceTime(), Slow: true}
	}
	return r.overloaded(e, p)
}

// overloaded returns the result of a request that was refused or evicted because of the others. The
// caller holds the lock.
func (r *Regulator) overloaded(e *engine, p *Prompt) Result {
	now := r.Clock.Now()
	return Result{
		Backlog: e.backlog(p), ServiceTime: e.granter.ServiceTime(),
		Refusal: p.refusal(now, r.Self, e.granter.RefusedFor(now, p.slotRequest())),
	}
}

// add queues a request of a customer with a weight, and reports whether it did.
func (e *engine) add(now time.Time, p *Prompt, weight float64) bool {
	if p.Slots > 0 {
		a := p.slotRequest()
		a.Weight = weight
		return e.granter.Add(now, a)
	}
	e.pacer.Add(p.GrantRequest)
	return true
}

func (e *engine) backlog(p *Prompt) time.Duration {
	if p.Slots > 0 {
		return e.granter.Backlog()
	}
	return e.pacer.Backlog()
}

// complete handles completed requests, before the requests that compete for the lock.
func (r *Regulator) complete(list []*wire.PromptEnd) {
	r.completionsMu.Lock()
	r.completions = append(r.completions, list...)
	r.completionsMu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handleCompletions(r.Clock.Now())
}

// handleCompletions handles all reported completions. The caller holds the lock.
func (r *Regulator) handleCompletions(now time.Time) {
	r.completionsMu.Lock()
	list := r.completions
	r.completions = nil
	r.completionsMu.Unlock()
	for _, p := range list {
		e := r.engines[p.GetBackend()]
		if e == nil {
			continue
		}
		e.granter.Release(now, p.GetKey(), p.GetRead())
		if p.GetRead() {
			e.pacer.MarkRead(now, p.GetKey())
		} else {
			e.pacer.Drop(p.GetKey())
		}
		e.grant(now)
	}
}

// engine returns the state of an engine. The caller holds the lock.
func (r *Regulator) engine(backend string) *engine {
	e := r.engines[backend]
	if e == nil {
		e = &engine{waiting: map[string]chan bool{}}
		e.scheduleGrant = func(at time.Time) { r.scheduleGrant(e, at) }
		r.engines[backend] = e
	}
	return e
}

// scheduleGrant checks an engine at a time. The caller holds the lock.
func (r *Regulator) scheduleGrant(e *engine, at time.Time) {
	if e.nextCheck.Equal(at) {
		return
	}
	e.nextCheck = at
	r.Clock.AfterFunc(at.Sub(r.Clock.Now()), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		e.grant(r.Clock.Now())
	})
}

func (e *engine) grant(now time.Time) {
	defer func() {
		if at := e.pacer.NextCheck(); !at.IsZero() {
			e.scheduleGrant(at)
		}
	}()
	for _, a := range e.pacer.Next(now) {
		e.notify(a.Key, true)
	}
	for _, a := range e.granter.Evict(now) {
		e.notify(a.Key, false)
	}
	for _, a := range e.granter.Next(now) {
		e.notify(a.Key, true)
	}
}

// notify sends a request its decision.
func (e *engine) notify(key string, granted bool) {
	// Duplicate calls of a peer share one key and one waiter.
	if decided, ok := e.waiting[key]; ok {
		decided <- granted
		delete(e.waiting, key)
	}
}

// Server serves wire.Pacing for the other gateways.
type Server struct {
	Regulator *Regulator
}

// Admit returns as soon as the prompt may be sent.
func (s *Server) Admit(ctx context.Context, req *wire.AdmitRequest) (*wire.AdmitResponse, error) {
	r := s.Regulator
	now := r.Clock.Now()
	if req.GetSeen() && r.OnPeerPauses != nil {
		r.OnPeerPauses(req.GetBackend(), req.GetGateway())
	}
	p := &Prompt{Backend: req.GetBackend(), Slots: int(req.GetSlots()), Deadline: now.Add(milliseconds(req.GetGiveUpMs())), HasAlternative: req.GetElsewhere(), Customer: req.GetCustomer(), Gateway: req.GetGateway(), GrantRequest: pacer.GrantRequest{
		Key: req.GetKey(), Tokens: int(req.GetTokens()), Urgency: req.GetUrgency(),
		ReceivedAt: now.Add(-milliseconds(req.GetAgeMs())), OnTimeUntil: now.Add(milliseconds(req.GetInTimeForMs())),
		MaxPause: milliseconds(req.GetPauseMs()), EventInterval: time.Duration(req.GetEventUs()) * time.Microsecond,
	}}
	if p.Slots > 0 {
		// A plain service has no events; the field holds the duration of the latest run.
		p.LastRun, p.EventInterval = p.EventInterval, 0
	}
	result := r.acquireLocally(ctx, p, milliseconds(req.GetWaitMs()))
	return &wire.AdmitResponse{
		Granted: result.Granted, BacklogMs: uint32(result.Backlog.Milliseconds()), Slow: result.Slow,
		ServiceUs: uint32(result.ServiceTime.Microseconds()), RefusedForMs: uint32(result.Refusal.For.Milliseconds()),
	}, nil
}

// End releases prompts that were read or abandoned.
func (s *Server) End(_ context.Context, req *wire.EndRequest) (*wire.EndResponse, error) {
	s.Regulator.complete(req.GetPrompts())
	return &wire.EndResponse{}, nil
}

func milliseconds[T uint32 | int32](n T) time.Duration { return time.Duration(n) * time.Millisecond }

// acquireFromPeer requests a grant from another gateway. It returns false if the call failed.
func (r *Regulator) acquireFromPeer(ctx context.Context, address string, p *Prompt, wait time.Duration) (Result, bool) {
	now := r.Clock.Now()
	eventTime := p.EventInterval
	if p.Slots > 0 {
		eventTime = p.LastRun
	}
	client := &connector.Client{Timeout: wait + answerMargin, Transport: r.peer(address).transport}
	res, err := wire.NewPacingProtobufClient("http://"+address, client).Admit(ctx, &wire.AdmitRequest{
		Backend: p.Backend, Key: p.Key, Tokens: uint32(p.Tokens), Urgency: p.Urgency,
		AgeMs: uint32(now.Sub(p.ReceivedAt).Milliseconds()), InTimeForMs: int32(p.OnTimeUntil.Sub(now).Milliseconds()),
		PauseMs: uint32(p.MaxPause.Milliseconds()), WaitMs: uint32(wait.Milliseconds()),
		EventUs: uint32(eventTime.Microseconds()), Gateway: r.Self, Seen: p.PausesObserved,
		Slots: uint32(p.Slots), GiveUpMs: uint32(max(0, p.Deadline.Sub(now).Milliseconds())), Elsewhere: p.HasAlternative,
		Customer: p.Customer,
	})
	if err != nil {
		r.recordFailure(ctx, address, err)
		return Result{}, false
	}
	r.recordSuccess(address)
	return Result{
		Granted: res.GetGranted(), Key: p.Key, Backlog: milliseconds(res.GetBacklogMs()), Slow: res.GetSlow(),
		ServiceTime: time.Duration(res.GetServiceUs()) * time.Microsecond,
		// The refusal is as of now: the request may have waited for it.
		Refusal: p.refusal(r.Clock.Now(), address, milliseconds(res.GetRefusedForMs())),
	}, true
}
