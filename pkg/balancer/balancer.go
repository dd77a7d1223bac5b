// Package balancer decides at a gateway which request is sent to which backend server, which
// waits, and which is refused. It has no side effects: events and the time are passed in,
// decisions are returned.
//
// It handles bursts (urgent requests first, a bound on each backend server), rarely used
// adapters (a request waits until the leader has loaded its adapter, without blocking other
// requests), and backend servers that fail, are slow or have stopped announcing themselves
// (observed outcomes outweigh announcements).
package balancer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/sharer"
	"bronzelead.example/pkg/wire"
)

const (
	// zonePenalty is the load, as a fraction of a backend server's slots, that is added for
	// another availability zone: traffic between zones costs money and a few milliseconds.
	zonePenalty = 0.04
	// failurePenalty is the load that is added for a backend server that always fails.
	failurePenalty = 1.0
	// jitter breaks ties between gateways that see the same loads.
	jitter = 0.02
	// tokensPerLoadUnit is the prompt size that counts as much as another running request:
	// reading it takes about as long as a short answer.
	tokensPerLoadUnit = 4096
	// fullBacklog is the backlog of unread prompts that counts as much as an engine with all
	// slots taken: beyond it, first events come late.
	fullBacklog = 500 * time.Millisecond
	// absentBackoff is how long an engine that reported an adapter as absent is not used for
	// it, unless the leader states otherwise.
	absentBackoff = 300 * time.Millisecond
	// fullBackoff is how long a backend server is not used after it refused a request for lack
	// of room.
	fullBackoff = 100 * time.Millisecond
)

// Balancer holds the state that one gateway knows. Set the exported fields before use.
type Balancer struct {
	// Zone is the gateway's own availability zone.
	Zone string
	// Disabled is the set of mechanisms that an experiment disables.
	Disabled ablator.Disabled
	// Rand makes choices repeatable; nil uses the process-wide source.
	Rand *rand.Rand

	backends  map[string]*backend
	byService map[string][]*backend
	versions  map[string]uint64
	term      uint64
	queue     []*Waiter
	nextOrder uint64
	// requestedLoads holds the latest load request to the leader for each adapter.
	requestedLoads map[string]requestedLoad
	// pacesByService holds what is known of the paces of each service's backend servers.
	pacesByService map[string]*paces
	// contended is when most slots of a service were last taken.
	contended map[string]time.Time
	// shares holds the recent usage of each service by customers, and weights the weights of
	// the customers with a limit.
	shares  map[string]*sharer.Sharer
	weights map[string]float64
}

// Waiter is a request that waits for a backend server. Set the exported fields, then pass it to
// Enqueue.
type Waiter struct {
	ID      string
	Service string
	// Adapter is MODEL/NAME, or "" if any backend server of the service can serve the request.
	Adapter string
	// Urgency is the route's priority; 0 goes first.
	Urgency uint32
	// Customer is who the request is served for, or "".
	Customer string
	// Tokens is the size of the prompt.
	Tokens int
	// Deadline is when waiting longer is of no use.
	Deadline time.Time
	// Avoid lists the backend servers that have failed this request.
	Avoid []string
	// UsesSlotGrants is set if an owner grants the backend server's slots, so that the free
	// slots counted here are ignored.
	UsesSlotGrants bool

	order uint64
	// excess is how far its customer is above its share, 0 while the service is not contended.
	excess float64
	// declined is set once the leader has reported that the adapter can't be loaded in time.
	declined bool
	// fullSince is since when those that hold the adapter have no room; zero if that was not so.
	fullSince time.Time
	// waitedForAdapter is set once no usable backend server held the adapter when the request
	// was decided on.
	waitedForAdapter bool
}

// WaitedForAdapter reports whether the request has waited for its adapter, and not only for a
// slot.
func (w *Waiter) WaitedForAdapter() bool { return w.waitedForAdapter }

// Weight returns how much load a request adds to a backend server.
func Weight(tokens int) float64 { return 1 + float64(tokens)/tokensPerLoadUnit }

// Decision is the outcome for a waiter.
type Decision struct {
	Waiter *Waiter
	// Backend is where to send it, or nil if it is refused.
	Backend *wire.Announcement
	// Version is the minimum version of the adapter; 0 for any.
	Version uint64
	// Reason is why it is refused, and RetryAfter when to try again.
	Reason     string
	RetryAfter time.Duration
	// Paused is the backend server that will accept requests first, if it is refused because
	// none of them does in time.
	Paused string
}

// Reasons for refusals.
const (
	ReasonNoBackend = "no backend server of the service is known"
	ReasonTimeout   = "no backend server was free in time"
	ReasonNoAdapter = "the adapter was not loaded in time"
	ReasonDeclined  = "the adapter can't be loaded in time"
	ReasonLimited   = "the backend servers' request limits have no room in time"
	ReasonBackoff   = "the backend servers accept no requests in time"
)

// UpdateBackend applies an announcement of a backend server. The caller must ignore Silent from
// a controller that does not receive the others' messages.
func (b *Balancer) UpdateBackend(_ time.Time, a *wire.Announcement) {
	if b.backends == nil {
		b.backends, b.byService = map[string]*backend{}, map[string][]*backend{}
	}
	known := b.backends[a.GetId()]
	if known == nil {
		if a.GetGone() || a.GetAddress() == "" {
			return
		}
		known = &backend{requestsByAdapter: map[string]int{}, adapters: map[string]uint64{}, absentUntil: map[string]time.Time{}}
		b.backends[a.GetId()] = known
		b.byService[a.GetService()] = append(b.byService[a.GetService()], known)
	} else if a.GetSequence() < known.info.GetSequence() {
		return
	}
	known.info = a
	if a.GetGone() {
		b.remove(known)
	}
}

// RemoveBackend removes a backend server that turned out to have exited.
func (b *Balancer) RemoveBackend(id string) {
	if known := b.backends[id]; known != nil {
		b.remove(known)
	}
}

func (b *Balancer) remove(removed *backend) {
	delete(b.backends, removed.info.GetId())
	b.forgetPace(removed)
	service := removed.info.GetService()
	b.byService[service] = slices.DeleteFunc(b.byService[service], func(o *backend) bool { return o == removed })
}

// SetLoadedAdapters sets the adapters that an engine holds according to the leader of a term.
func (b *Balancer) SetLoadedAdapters(term uint64, h *wire.Holding) {
	known := b.backends[h.GetBackend()]
	if known == nil || term < b.term {
		return
	}
	b.term = term
	clear(known.adapters)
	clear(known.absentUntil)
	for _, qualified := range h.GetAdapters() {
		adapter, version, _ := strings.Cut(qualified, "@")
		// A missing version counts as the first one.
		n, _ := strconv.ParseUint(version, 10, 64)
		known.adapters[adapter] = n
	}
}

// SetVersion sets the version that requests for an adapter must be served with.
func (b *Balancer) SetVersion(v *wire.AdapterVersion) {
	if b.versions == nil {
		// After all state was lost, versions arrive before any backend server is known.
		b.versions = map[string]uint64{}
	}
	adapter := v.GetModel() + "/" + v.GetAdapter()
	b.versions[adapter] = max(b.versions[adapter], v.GetVersion())
}

// SetLoads sets how many requests the other gateways have at each backend server.
func (b *Balancer) SetLoads(loads []*wire.Load) {
	for _, known := range b.backends {
		known.others = 0
	}
	for _, l := range loads {
		if known := b.backends[l.GetBackend()]; known != nil {
			known.others = float64(l.GetRequests())
		}
	}
}

// Loads returns how many requests this gateway has at each backend server, what the backend
// servers have announced to it in their answers, and what it has observed of their pace.
func (b *Balancer) Loads(now time.Time) []*wire.Load {
	var loads []*wire.Load
	for id, known := range b.backends {
		backingOff := known.backoff.active(now)
		toldLeaving := !known.leavingSince.IsZero() && !known.info.GetDraining()
		if known.own <= 0 && !backingOff && !toldLeaving && !known.hasRecentMachineLoad(now) {
			continue
		}
		l := &wire.Load{Backend: id, Requests: uint32(known.own + 0.5)}
		l.Adapters = slices.AppendSeq(l.Adapters, maps.Keys(known.requestsByAdapter))
		if backingOff {
			l.BackingOff = 1
		}
		if toldLeaving {
			l.ToldLeaving = 1
		}
		known.addPace(now, l)
		loads = append(loads, l)
	}
	return loads
}

// HasBackend reports whether a service has a backend server that takes requests.
func (b *Balancer) HasBackend(service string) bool {
	return slices.ContainsFunc(b.byService[service], func(k *backend) bool { return k.accepting() })
}

// AllAmong reports whether all backend servers of a service that take requests are in a list, and
// there are any. Those that are paused or have failed may still serve a request.
func (b *Balancer) AllAmong(service string, ids []string) bool {
	found := false
	for _, k := range b.byService[service] {
		if !k.accepting() {
			continue
		}
		if !slices.Contains(ids, k.info.GetId()) {
			return false
		}
		found = true
	}
	return found
}

// ServiceOf returns the service of a known backend server, or "".
func (b *Balancer) ServiceOf(id string) string {
	if k := b.backends[id]; k != nil {
		return k.info.GetService()
	}
	return ""
}

// Ready reports whether any backend server takes requests.
func (b *Balancer) Ready() bool {
	for service := range b.byService {
		if b.HasBackend(service) {
			return true
		}
	}
	return false
}

// Waiting returns the number of queued requests.
func (b *Balancer) Waiting() int { return len(b.queue) }

// Enqueue adds a request to the queue.
func (b *Balancer) Enqueue(w *Waiter) {
	if w.order == 0 {
		b.nextOrder++
		w.order = b.nextOrder
	}
	at, _ := slices.BinarySearchFunc(b.queue, w, b.compare)
	b.queue = slices.Insert(b.queue, at, w)
}

// compare orders by urgency, then by how far customers are above their shares, then by arrival.
func (b *Balancer) compare(one, other *Waiter) int {
	if one.Urgency != other.Urgency && !b.Disabled.Has(ablator.PriorityOrder) {
		return int(one.Urgency) - int(other.Urgency)
	}
	if one.excess < other.excess || one.excess == other.excess && one.order < other.order {
		return -1
	}
	return 1
}

// Cancel removes a request whose caller has disconnected from the queue.
func (b *Balancer) Cancel(w *Waiter) {
	b.queue = slices.DeleteFunc(b.queue, func(o *Waiter) bool { return o == w })
}

// Next decides on the queued requests, the most urgent first, and returns the adapters that the
// leader is to load.
func (b *Balancer) Next(now time.Time) (decisions []Decision, pendingLoads []*wire.Want) {
	b.orderByShares(now)
	remaining := b.queue[:0]
	for _, w := range b.queue {
		d, pendingLoad := b.decide(now, w)
		if pendingLoad != nil {
			pendingLoads = append(pendingLoads, pendingLoad)
		}
		if d == nil {
			remaining = append(remaining, w)
			continue
		}
		decisions = append(decisions, *d)
	}
	clear(b.queue[len(remaining):])
	b.queue = remaining
	return decisions, pendingLoads
}

// decide returns no decision if the request keeps waiting.
func (b *Balancer) decide(now time.Time, w *Waiter) (*Decision, *wire.Want) {
	b.refreshSlowdowns(now, w.Service)
	c := b.candidates(now, w)
	if !b.HasBackend(w.Service) {
		return &Decision{Waiter: w, Reason: ReasonNoBackend, RetryAfter: retryWithoutBackend}, nil
	}
	best, holders := b.choose(now, w, c)
	if best != nil && b.holdsBack(now, w) {
		return b.refuse(now, w, holders, unpaused(now, without(c.preferred, holders))), nil
	}
	if best != nil {
		var extra *wire.Want
		if w.Adapter != "" && b.overloaded(best, c.preferred) {
			extra = b.requestLoad(now, w, unpaused(now, without(c.preferred, holders)), !b.Disabled.Has(ablator.SpareRequests))
		}
		b.recordUsage(now, w)
		best.backoff.sent(now)
		best.own += Weight(w.Tokens)
		best.requestsByAdapter[w.Adapter]++
		return &Decision{Waiter: w, Backend: best.info, Version: b.versions[w.Adapter]}, extra
	}
	return b.waitOrRefuse(now, w, c, holders)
}

// waitOrRefuse decides on a request that no backend server can take now. Holders are those that
// could serve it if they had room.
func (b *Balancer) waitOrRefuse(now time.Time, w *Waiter, c candidates, holders []*backend) (*Decision, *wire.Want) {
	w.waitedForAdapter = w.waitedForAdapter || (w.Adapter != "" && len(holders) == 0)
	others := unpaused(now, without(c.preferred, holders))
	if d := b.refuse(now, w, holders, others); d != nil {
		return d, nil
	}
	if w.Adapter == "" {
		return nil, nil
	}
	if len(holders) > 0 && !slices.ContainsFunc(others, (*backend).hasRoom) {
		return nil, nil
	}
	// No engine has it, or those that do are full. Without a replica elsewhere the leader would
	// even take it for idle there and unload it.
	return nil, b.requestLoad(now, w, others, len(holders) > 0 && !b.outlastsLoad(now, w, holders))
}

// refuse returns the refusal of a request that can't be served in time, or nil.
func (b *Balancer) refuse(now time.Time, w *Waiter, holders, others []*backend) *Decision {
	expired := !now.Before(w.Deadline)
	usable := holders
	if w.Adapter != "" && !w.declined {
		usable = append(slices.Clone(holders), others...)
	}
	paused, late := earliestPaused(now, holders), earliestPaused(now, usable)
	switch {
	case w.declined && len(holders) == 0:
		return &Decision{Waiter: w, Reason: ReasonDeclined, RetryAfter: b.spread(retryWhenDeclined)}
	case late != nil && !late.pauseEnd().Before(w.Deadline):
		return late.refusePaused(now, w)
	case paused != nil && expired:
		return paused.refusePaused(now, w)
	case expired && len(holders) == 0 && w.Adapter != "":
		return &Decision{Waiter: w, Reason: ReasonNoAdapter, RetryAfter: retryForAdapter}
	case expired:
		return &Decision{Waiter: w, Reason: ReasonTimeout, RetryAfter: retryWhenFull}
	}
	return nil
}

// Decline applies the leader's decision that an adapter can't be loaded by the deadline of the
// load request. Requests with that deadline or an earlier one are refused at the next decision,
// unless an engine has the adapter. Later requests that wait for longer cause a new load
// request.
func (b *Balancer) Decline(adapter string) {
	last := b.requestedLoads[adapter]
	for _, w := range b.queue {
		if w.Adapter == adapter && !w.Deadline.After(last.until) {
			w.declined = true
		}
	}
	delete(b.requestedLoads, adapter)
}

// spread returns a random time around d, so that callers that were refused together do not
// retry together.
func (b *Balancer) spread(d time.Duration) time.Duration {
	return d/2 + time.Duration(b.float64()*float64(d))
}

func (b *Balancer) float64() float64 {
	if b.Rand == nil {
		return rand.Float64()
	}
	return b.Rand.Float64()
}

func (b *Balancer) intN(n int) int {
	if b.Rand == nil {
		return rand.IntN(n)
	}
	return b.Rand.IntN(n)
}

// Retry times of refused callers.
const (
	// retryWhenDeclined is about the time until lost engines are back: a load of their base
	// model.
	retryWhenDeclined = time.Second
	// retryWithoutBackend is about the time until a restarted backend server announces itself.
	retryWithoutBackend = 500 * time.Millisecond
	// retryWhenFull is about the duration of a short answer.
	retryWhenFull = 300 * time.Millisecond
	// retryForAdapter is about the time of a load from the weight store.
	retryForAdapter = 300 * time.Millisecond
)
