// Package regulator requests a grant from the owner of an engine before a prompt is sent there,
// and grants prompts for the engines that this gateway owns. It does the same for the slots of
// plain services that many gateways contend for. Owners follow from the list of gateways by
// rendezvous hashing. While lists differ, or an owner does not answer, several gateways grant
// for one engine, each a part of its prompts.
package regulator

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

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
	// Brittle is set if the backend server crashes after a few rejections.
	Brittle bool
}

// slotRequest returns the slot request for a request of a plain service.
func (p *Prompt) slotRequest() slotgranter.GrantRequest {
	return slotgranter.GrantRequest{
		Key: p.Key, Urgency: p.Urgency, OnTimeUntil: p.OnTimeUntil, Deadline: p.Deadline, Slots: p.Slots, HasAlternative: p.HasAlternative,
		Gateway: p.Gateway, LastRun: p.LastRun, Customer: p.Customer, Brittle: p.Brittle,
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

// Release reports that an engine does not have to read a prompt any more: its first event has
// been received, or it has failed.
func (r *Regulator) Release(backend, key string, read bool) {
	r.release(&wire.PromptEnd{Backend: backend, Key: key, Read: read})
}

// Reject reports that a backend server has rejected a request for want of room.
func (r *Regulator) Reject(backend, key string) {
	r.release(&wire.PromptEnd{Backend: backend, Key: key, Rejected: true})
}

func (r *Regulator) release(end *wire.PromptEnd) {
	address := r.owner(end.GetBackend())
	if address == r.Self || address == "" {
		r.complete([]*wire.PromptEnd{end})
		return
	}
	r.queueRelease(address, end)
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

func milliseconds[T uint32 | int32](n T) time.Duration { return time.Duration(n) * time.Millisecond }
