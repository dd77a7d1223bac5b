// Package regulator asks the owner of an engine for a grant before it lets a prompt be sent
// there, and grants prompts for the engines that this gateway owns. It does the same for the
// slots of plain services that many gateways contend for. Owners follow from the list of gateways
// by rendezvous hashing. While lists differ, or an owner does not answer, several gateways grant
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
	"bronzelead.example/pkg/pacer"
	"bronzelead.example/pkg/slotgranter"
	"bronzelead.example/pkg/wire"
)

const (
	// lookEvery is the time between two looks at engines when nothing happens.
	lookEvery = 20 * time.Millisecond
	// answerMargin is the time that a call may take beyond its wait: some round trips within
	// a region, at an instance that is busy.
	answerMargin = 80 * time.Millisecond
	// firstAlone is how long a gateway is not asked that has not answered once; it doubles up
	// to longestAlone. After the loss of everything gateways listen within some hundred ms of
	// each other, and while they don't ask the same one, each paces for itself.
	firstAlone   = 100 * time.Millisecond
	longestAlone = 2 * time.Second
	// maxAsked is how many gateways are asked for one prompt at most.
	maxAsked = 3
	// logSlotsEvery is the time between two log lines on the slots of one backend server.
	logSlotsEvery = 5 * time.Second
	// keepFor is how long an engine's pace is remembered of which nobody asks: longer than
	// quiet spells, and short against the time in which many starts come and go.
	keepFor = time.Minute
)

// Regulator paces prompts. Set the exported fields, call Init, then Run.
type Regulator struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	// Self is where the other gateways reach this one.
	Self string
	// OnPeerPauses notes that another gateway paces prompts for an engine for long pauses that it has
	// seen itself.
	OnPeerPauses func(backend, gateway string)

	asks  atomic.Uint64
	mu    sync.Mutex
	peers map[string]*peer
	// gateways are the addresses of all gateways; lists are what each controller says that
	// they are, and leader is the one that counts.
	gateways []string
	lists    map[string][]string
	leader   string
	engines  map[string]*engine
}

// engine is one that this gateway owns, or did.
type engine struct {
	// grantLater has it looked at when a prompt may be granted though nothing happens.
	grantLater func(at time.Time)
	pacer      pacer.Pacer
	// dispenser gives out the slots of a plain service's backend server.
	dispenser slotgranter.Granter
	// waiting are the channels on which the asks that wait hear whether they are granted.
	waiting map[string]chan bool
	askedAt time.Time
	// lookAt is when it is looked at next, whatever happens.
	lookAt time.Time
	// loggedAt is when the statistics of its slots were logged last.
	loggedAt time.Time
}

// Prompt is what is to be sent to an engine.
type Prompt struct {
	Backend string
	// PausesObserved is set if this gateway has seen long pauses itself.
	PausesObserved bool
	// Ask is what its engine's pacer is asked; its key is set by Ask.
	pacer.GrantRequest
	// Slots is set for a request of a plain service: the number that its backend server runs
	// at once. GiveUp is when it is no use to wait longer.
	Slots    int
	Deadline time.Time
	// HasAlternative is set if another backend server can be asked next.
	HasAlternative bool
}

// slot returns what the dispenser is asked for a request of a plain service.
func (p *Prompt) slot() slotgranter.GrantRequest {
	return slotgranter.GrantRequest{Key: p.Key, Urgency: p.Urgency, OnTimeUntil: p.OnTimeUntil, Deadline: p.Deadline, Slots: p.Slots, HasAlternative: p.HasAlternative}
}

// Result is what became of an ask.
type Result struct {
	// Granted means that the prompt may be sent.
	Granted bool
	// Key names the prompt for End.
	Key string
	// Backlog is about how long the engine takes to read what it has and what waits.
	Backlog time.Duration
	// Slow means that the backend server takes too long for an answer in time, whatever it has
	// to do.
	Slow bool
}

// Init prepares the regulator for calls before Run.
func (r *Regulator) Init() {
	r.peers = map[string]*peer{}
	r.engines = map[string]*engine{}
	r.lists = map[string][]string{}
}

// UpdateGateways takes a controller's list of gateways. The leader's counts. Before a leader is known
// the longest does: after the loss of everything many requests come at once, and gateways
// that did not know each other then would each send theirs.
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
	r.forgetPeers()
}

func addressesOf(list []*wire.GatewayEntry) []string {
	addresses := make([]string, 0, len(list))
	for _, g := range list {
		addresses = append(addresses, g.GetAddress())
	}
	return addresses
}

// Run lets time pass until ctx ends.
func (r *Regulator) Run(ctx context.Context) {
	ticker := r.Clock.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			r.look()
		}
	}
}

func (r *Regulator) look() {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for backend, e := range r.engines {
		e.grant(now)
		r.logSlots(now, backend, e)
		if e.pacer.Idle() && e.dispenser.Idle() && now.Sub(e.askedAt) > keepFor {
			delete(r.engines, backend)
		}
	}
}

// logSlots logs now and then what became of the asks for a backend server's slots.
func (r *Regulator) logSlots(now time.Time, backend string, e *engine) {
	if now.Sub(e.loggedAt) < logSlotsEvery {
		return
	}
	e.loggedAt = now
	s := e.dispenser.TakeStats()
	if s.Granted+s.Refused+s.Slow+s.Withdrawn == 0 {
		return
	}
	r.Log.Info("slots granted", "Backend", backend, "Granted", s.Granted, "GrantedLate", s.Late, "Refused", s.Refused,
		"Slow", s.Slow, "Evicted", s.Evicted, "Withdrawn", s.Withdrawn, "Expired", s.Expired, "Waiting", s.Waiting, "Running", s.Running,
		"ServiceUs", s.ServiceTime.Microseconds())
}

// Acquire waits until the prompt may be sent, or for a time at most.
func (r *Regulator) Acquire(ctx context.Context, p *Prompt, wait time.Duration) Result {
	// Ids of requests are the callers' to choose, and would not tell two of them apart.
	p.Key = r.Self + "/" + strconv.FormatUint(r.asks.Add(1), 10)
	for range maxAsked {
		address := r.owner(p.Backend)
		if address == r.Self || address == "" || ctx.Err() != nil {
			break
		}
		if answer, ok := r.askPeer(ctx, address, p, wait); ok {
			return answer
		}
	}
	return r.wait(ctx, p, wait)
}

// Release notes that an engine has a prompt to read no longer: its first event has come, or it
// has failed.
func (r *Regulator) Release(backend, key string, read bool) {
	address := r.owner(backend)
	if address == r.Self || address == "" {
		r.end(backend, key, read)
		return
	}
	r.tellPeer(address, &wire.PromptEnd{Backend: backend, Key: key, Read: read})
}

// Waiting returns the number of prompts that wait for the engines that this gateway is in
// charge of.
func (r *Regulator) Waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.engines {
		n += len(e.waiting)
	}
	return n
}

// wait is Ask at the owner.
func (r *Regulator) wait(ctx context.Context, p *Prompt, wait time.Duration) Result {
	decided := make(chan bool, 1)
	r.mu.Lock()
	e := r.engine(p.Backend)
	e.askedAt = r.Clock.Now()
	if !e.add(e.askedAt, p) {
		defer r.mu.Unlock()
		return Result{Backlog: e.backlog(p), Slow: p.HasAlternative && e.dispenser.TooSlow(e.askedAt, p.slot())}
	}
	e.waiting[p.Key] = decided
	e.grant(e.askedAt)
	backlog := e.backlog(p)
	r.mu.Unlock()
	select {
	case granted := <-decided:
		return Result{Granted: granted, Key: p.Key, Backlog: backlog}
	default:
	}
	timer := r.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case granted := <-decided:
		return Result{Granted: granted, Key: p.Key, Backlog: backlog}
	case <-ctx.Done():
	case <-timer.Chan():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !e.pacer.Withdraw(p.Key) && !e.dispenser.Withdraw(p.Key) {
		// It was decided meanwhile, or a call that came twice has taken its place.
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

// add lets a request wait, and reports whether it does.
func (e *engine) add(now time.Time, p *Prompt) bool {
	if p.Slots > 0 {
		return e.dispenser.Add(now, p.slot())
	}
	e.pacer.Add(p.GrantRequest)
	return true
}

func (e *engine) backlog(p *Prompt) time.Duration {
	if p.Slots > 0 {
		return e.dispenser.Backlog()
	}
	return e.pacer.Backlog()
}

func (r *Regulator) end(backend, key string, read bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.engines[backend]
	if e == nil {
		return
	}
	now := r.Clock.Now()
	e.dispenser.Release(now, key, read)
	if read {
		e.pacer.MarkRead(now, key)
	} else {
		e.pacer.Drop(key)
	}
	e.grant(now)
}

// engine returns what is known of an engine. The caller holds the lock.
func (r *Regulator) engine(backend string) *engine {
	e := r.engines[backend]
	if e == nil {
		e = &engine{waiting: map[string]chan bool{}}
		e.grantLater = func(at time.Time) { r.grantLater(e, at) }
		r.engines[backend] = e
	}
	return e
}

// grantLater looks at an engine at a time. The caller holds the lock.
func (r *Regulator) grantLater(e *engine, at time.Time) {
	if e.lookAt.Equal(at) {
		return
	}
	e.lookAt = at
	r.Clock.AfterFunc(at.Sub(r.Clock.Now()), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		e.grant(r.Clock.Now())
	})
}

func (e *engine) grant(now time.Time) {
	defer func() {
		if at := e.pacer.NextCheck(); !at.IsZero() {
			e.grantLater(at)
		}
	}()
	for _, a := range e.pacer.Next(now) {
		e.tell(a.Key, true)
	}
	for _, a := range e.dispenser.Evict(now) {
		e.tell(a.Key, false)
	}
	for _, a := range e.dispenser.Next(now) {
		e.tell(a.Key, true)
	}
}

// tell lets a request know whether it may be sent.
func (e *engine) tell(key string, granted bool) {
	// A peer's call that comes twice has one key and one waiter.
	if decided, ok := e.waiting[key]; ok {
		decided <- granted
		delete(e.waiting, key)
	}
}

// Server serves wire.Pacing for the other gateways.
type Server struct {
	Regulator *Regulator
}

// Admit answers as soon as the prompt may be sent.
func (s *Server) Admit(ctx context.Context, req *wire.AdmitRequest) (*wire.AdmitResponse, error) {
	r := s.Regulator
	now := r.Clock.Now()
	if req.GetSeen() && r.OnPeerPauses != nil {
		r.OnPeerPauses(req.GetBackend(), req.GetGateway())
	}
	answer := r.wait(ctx, &Prompt{Backend: req.GetBackend(), Slots: int(req.GetSlots()), Deadline: now.Add(milliseconds(req.GetGiveUpMs())), HasAlternative: req.GetElsewhere(), GrantRequest: pacer.GrantRequest{
		Key: req.GetKey(), Tokens: int(req.GetTokens()), Urgency: req.GetUrgency(),
		ReceivedAt: now.Add(-milliseconds(req.GetAgeMs())), OnTimeUntil: now.Add(milliseconds(req.GetInTimeForMs())),
		MaxPause: milliseconds(req.GetPauseMs()), EventInterval: time.Duration(req.GetEventUs()) * time.Microsecond,
	}}, milliseconds(req.GetWaitMs()))
	return &wire.AdmitResponse{Granted: answer.Granted, BacklogMs: uint32(answer.Backlog.Milliseconds()), Slow: answer.Slow}, nil
}

// End notes prompts that were read or given up.
func (s *Server) End(_ context.Context, req *wire.EndRequest) (*wire.EndResponse, error) {
	for _, p := range req.GetPrompts() {
		s.Regulator.end(p.GetBackend(), p.GetKey(), p.GetRead())
	}
	return &wire.EndResponse{}, nil
}

func milliseconds[T uint32 | int32](n T) time.Duration { return time.Duration(n) * time.Millisecond }

// askPeer asks another gateway. It reports false if that one does not answer.
func (r *Regulator) askPeer(ctx context.Context, address string, p *Prompt, wait time.Duration) (Result, bool) {
	now := r.Clock.Now()
	client := &connector.Client{Timeout: wait + answerMargin, Transport: r.peer(address).transport}
	res, err := wire.NewPacingProtobufClient("http://"+address, client).Admit(ctx, &wire.AdmitRequest{
		Backend: p.Backend, Key: p.Key, Tokens: uint32(p.Tokens), Urgency: p.Urgency,
		AgeMs: uint32(now.Sub(p.ReceivedAt).Milliseconds()), InTimeForMs: int32(p.OnTimeUntil.Sub(now).Milliseconds()),
		PauseMs: uint32(p.MaxPause.Milliseconds()), WaitMs: uint32(wait.Milliseconds()),
		EventUs: uint32(p.EventInterval.Microseconds()), Gateway: r.Self, Seen: p.PausesObserved,
		Slots: uint32(p.Slots), GiveUpMs: uint32(max(0, p.Deadline.Sub(now).Milliseconds())), Elsewhere: p.HasAlternative,
	})
	if err != nil {
		r.unanswered(ctx, address, err)
		return Result{}, false
	}
	r.answered(address)
	return Result{Granted: res.GetGranted(), Key: p.Key, Backlog: milliseconds(res.GetBacklogMs()), Slow: res.GetSlow()}, true
}
