// Package balancer decides at a gateway which request goes to which backend server,
// which waits, and which is refused. It is pure: what happens and the time go in,
// decisions come out.
//
// The load patterns that it answers: bursts (urgent requests first, a bound on each
// backend server), rare adapters (a request waits until the leader has loaded its
// adapter, and does not hold up others), backend servers that fail, are slow or have
// fallen silent (first-hand outcomes count more than announcements).
package balancer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/wire"
)

const (
	// wantAgainAfter is how long the leader has to load an adapter before it is asked
	// again: a load takes about a quarter of a second.
	wantAgainAfter = 400 * time.Millisecond
	// zonePenalty is the load, as a part of a backend server's slots, that another zone
	// counts for: traffic between zones costs money and a few milliseconds.
	zonePenalty = 0.04
	// failurePenalty is the load that a backend server counts for which always fails.
	failurePenalty = 1.0
	// jitter breaks ties between gateways that see the same loads.
	jitter = 0.02
	// tokensPerUnit is the prompt size that counts as much as another running request:
	// reading it takes about as long as a short answer.
	tokensPerUnit = 4096
	// fullReading is the backlog of prompts to read that counts as much as an engine with
	// all slots taken: beyond it first events come late.
	fullReading = 500 * time.Millisecond
	// absentFor is how long an adapter is not asked of an engine that has just said that
	// it is not there, unless the leader says otherwise.
	absentFor = 300 * time.Millisecond
	// fullFor is how long a backend server that has refused for lack of room is left alone.
	fullFor = 100 * time.Millisecond
)

// Balancer holds what one gateway knows. Set the exported fields before use.
type Balancer struct {
	// Zone is the gateway's own availability zone.
	Zone string
	// Off are the mechanisms that an experiment does without.
	Off ablator.Disabled
	// Rand makes choices repeatable; nil draws from the process's own source.
	Rand *rand.Rand

	backends  map[string]*backend
	byService map[string][]*backend
	versions  map[string]uint64
	term      uint64
	queue     []*Waiter
	nextOrder uint64
	// wanted is when the leader was asked last for each adapter, and for how long.
	wanted map[string]asked
	// contended is when the slots of a service were mostly taken.
	contended map[string]time.Time
}

// asked is a request to the leader for an adapter.
type asked struct {
	at time.Time
	// until is when the request gives up for which it was made.
	until time.Time
}

// Waiter is a request that waits for a backend server. Set the exported fields, then
// pass it to Enqueue.
type Waiter struct {
	ID      string
	Service string
	// Adapter is MODEL/NAME, or "" where any backend server of the service will do.
	Adapter string
	// Urgency is the route's priority; 0 goes first.
	Urgency uint32
	// Tokens is the size of the prompt.
	Tokens int
	// Deadline is when it is no use to wait longer.
	Deadline time.Time
	// Avoid are backend servers that have failed this request.
	Avoid []string
	// UsesSlotGrants is set if the backend server's slots are given out elsewhere, so that what is
	// known here of its room does not count.
	UsesSlotGrants bool

	order uint64
	// declined is set once the leader has said that the adapter does not come in time.
	declined bool
	// lacked is set once the adapter was nowhere to be used when the request's turn came.
	lacked bool
}

// WaitedForAdapter reports whether the request has waited for its adapter, and not only for a place.
func (w *Waiter) WaitedForAdapter() bool { return w.lacked }

// Weight returns how much load a request adds to a backend server.
func Weight(tokens int) float64 { return 1 + float64(tokens)/tokensPerUnit }

// Decision is what becomes of a waiter.
type Decision struct {
	Waiter *Waiter
	// Backend is where to send it, or nil if it is refused.
	Backend *wire.Announcement
	// Version is the version that the adapter must have; 0 for any.
	Version uint64
	// Reason says why it is refused, and RetryAfter when to try again.
	Reason     string
	RetryAfter time.Duration
}

// The reasons of refusals.
const (
	ReasonNoBackend = "no backend server of the service is known"
	ReasonTimeout   = "no backend server was free in time"
	ReasonNoAdapter = "the adapter was not loaded in time"
	ReasonDeclined  = "the adapter can't be loaded in time"
	ReasonLimited   = "the backend servers' request limits have no room in time"
)

// UpdateBackend takes what is known of a backend server. Silent counts only from a
// controller that hears the others, which is for the caller to check.
func (b *Balancer) UpdateBackend(now time.Time, a *wire.Announcement) {
	if b.backends == nil {
		b.backends, b.byService = map[string]*backend{}, map[string][]*backend{}
	}
	known := b.backends[a.GetId()]
	if known == nil {
		if a.GetGone() || a.GetAddress() == "" {
			return
		}
		known = &backend{using: map[string]int{}, holds: map[string]uint64{}, absent: map[string]time.Time{}, since: now}
		b.backends[a.GetId()] = known
		b.byService[a.GetService()] = append(b.byService[a.GetService()], known)
	} else if a.GetSequence() < known.info.GetSequence() {
		return
	}
	known.info = a
	if a.GetGone() {
		b.drop(known)
	}
}

// RemoveBackend takes out a backend server that turned out to be no more.
func (b *Balancer) RemoveBackend(id string) {
	if known := b.backends[id]; known != nil {
		b.drop(known)
	}
}

func (b *Balancer) drop(gone *backend) {
	delete(b.backends, gone.info.GetId())
	service := gone.info.GetService()
	b.byService[service] = slices.DeleteFunc(b.byService[service], func(o *backend) bool { return o == gone })
}

// SetLoadedAdapters takes what the leader of a term says that an engine holds.
func (b *Balancer) SetLoadedAdapters(term uint64, h *wire.Holding) {
	known := b.backends[h.GetBackend()]
	if known == nil || term < b.term {
		return
	}
	b.term = term
	clear(known.holds)
	clear(known.absent)
	for _, qualified := range h.GetAdapters() {
		adapter, version, _ := strings.Cut(qualified, "@")
		// An adapter without a version counts as the first one.
		n, _ := strconv.ParseUint(version, 10, 64)
		known.holds[adapter] = n
	}
}

// SetVersion takes the version that requests for an adapter must be served with.
func (b *Balancer) SetVersion(v *wire.AdapterVersion) {
	if b.versions == nil {
		// After the loss of everything versions are known before any backend server is.
		b.versions = map[string]uint64{}
	}
	adapter := v.GetModel() + "/" + v.GetAdapter()
	b.versions[adapter] = max(b.versions[adapter], v.GetVersion())
}

// SetLoads takes how many requests the other gateways have at each backend server.
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

// Loads returns how many requests this gateway has at each backend server.
func (b *Balancer) Loads() []*wire.Load {
	var loads []*wire.Load
	for id, known := range b.backends {
		if known.own > 0 {
			l := &wire.Load{Backend: id, Requests: uint32(known.own + 0.5)}
			l.Adapters = slices.AppendSeq(l.Adapters, maps.Keys(known.using))
			loads = append(loads, l)
		}
	}
	return loads
}

// Knows reports whether a service has a backend server that takes requests.
func (b *Balancer) Knows(service string) bool {
	return slices.ContainsFunc(b.byService[service], func(k *backend) bool { return k.open() })
}

// ServiceOf returns the service of a backend server that is known, or "".
func (b *Balancer) ServiceOf(id string) string {
	if k := b.backends[id]; k != nil {
		return k.info.GetService()
	}
	return ""
}

// Ready reports whether any backend server takes requests.
func (b *Balancer) Ready() bool {
	for service := range b.byService {
		if b.Knows(service) {
			return true
		}
	}
	return false
}

// Waiting returns the number of requests that wait.
func (b *Balancer) Waiting() int { return len(b.queue) }

// Enqueue lets a request wait for its turn.
func (b *Balancer) Enqueue(w *Waiter) {
	if w.order == 0 {
		b.nextOrder++
		w.order = b.nextOrder
	}
	at, _ := slices.BinarySearchFunc(b.queue, w, b.compare)
	b.queue = slices.Insert(b.queue, at, w)
}

// compare puts urgent requests first, and among equals the one that came first.
func (b *Balancer) compare(one, other *Waiter) int {
	if one.Urgency != other.Urgency && !b.Off.Has(ablator.PriorityOrder) {
		return int(one.Urgency) - int(other.Urgency)
	}
	if one.order < other.order {
		return -1
	}
	return 1
}

// Cancel takes a request out of the queue, whose caller has left.
func (b *Balancer) Cancel(w *Waiter) {
	b.queue = slices.DeleteFunc(b.queue, func(o *Waiter) bool { return o == w })
}

// Next decides on the waiting requests, the most urgent first, and returns the adapters
// that the leader is to load.
func (b *Balancer) Next(now time.Time) (decisions []Decision, wants []*wire.Want) {
	kept := b.queue[:0]
	for _, w := range b.queue {
		d, want := b.decide(now, w)
		if want != nil {
			wants = append(wants, want)
		}
		if d == nil {
			kept = append(kept, w)
			continue
		}
		decisions = append(decisions, *d)
	}
	clear(b.queue[len(kept):])
	b.queue = kept
	return decisions, wants
}

// decide returns nil when the request goes on waiting.
func (b *Balancer) decide(now time.Time, w *Waiter) (*Decision, *wire.Want) {
	c := b.candidates(now, w)
	if !b.Knows(w.Service) {
		return &Decision{Waiter: w, Reason: ReasonNoBackend, RetryAfter: retryWithoutBackend}, nil
	}
	best, holders := b.choose(now, w, c)
	if best != nil {
		var more *wire.Want
		if w.Adapter != "" && b.crowded(best, c.preferred) {
			more = b.want(now, w, unpaused(now, without(c.preferred, holders)))
		}
		best.own += Weight(w.Tokens)
		best.using[w.Adapter]++
		return &Decision{Waiter: w, Backend: best.info, Version: b.versions[w.Adapter]}, more
	}
	return b.hold(now, w, c, holders)
}

// hold decides on a request that no backend server can take now. Holders are those that
// could if they had room.
func (b *Balancer) hold(now time.Time, w *Waiter, c candidates, holders []*backend) (*Decision, *wire.Want) {
	w.lacked = w.lacked || (w.Adapter != "" && len(holders) == 0)
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
	// It is nowhere, or where it is there is no room. Without a copy elsewhere the leader
	// would even take it for idle there and give it up.
	return nil, b.want(now, w, others)
}

// refuse returns the refusal of a request that waits in vain, or nil.
func (b *Balancer) refuse(now time.Time, w *Waiter, holders, others []*backend) *Decision {
	if w.declined && len(holders) == 0 {
		return &Decision{Waiter: w, Reason: ReasonDeclined, RetryAfter: b.spread(retryWhenDeclined)}
	}
	over := !now.Before(w.Deadline)
	at, limited := roomAgain(now, holders)
	elsewhere := w.Adapter != "" && len(others) > 0
	switch {
	case limited && (over || !elsewhere && !at.Before(w.Deadline)):
		return &Decision{Waiter: w, Reason: ReasonLimited, RetryAfter: at.Sub(now)}
	case over && len(holders) == 0 && w.Adapter != "":
		return &Decision{Waiter: w, Reason: ReasonNoAdapter, RetryAfter: retryForAdapter}
	case over:
		return &Decision{Waiter: w, Reason: ReasonTimeout, RetryAfter: retryWhenFull}
	}
	return nil
}

// Decline takes the leader's word that an adapter can't be loaded before the requests give
// up for which it was asked. They are refused at the next decision, unless an engine has it.
// Those that have come since, and wait for longer, ask anew.
func (b *Balancer) Decline(adapter string) {
	last := b.wanted[adapter]
	for _, w := range b.queue {
		if w.Adapter == adapter && !w.Deadline.After(last.until) {
			w.declined = true
		}
	}
	delete(b.wanted, adapter)
}

// spread returns a time around d, so that callers who were refused together do not come
// back together.
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
	// retryWhenDeclined is about the time in which engines that were lost are back: a load
	// of their base model.
	retryWhenDeclined = time.Second
	// retryWithoutBackend is about the time in which a restarted one announces itself.
	retryWithoutBackend = 500 * time.Millisecond
	// retryWhenFull is about the time of one short answer.
	retryWhenFull = 300 * time.Millisecond
	// retryForAdapter is about the time of a load from the weight store.
	retryForAdapter = 300 * time.Millisecond
)

// want asks for an adapter, unless it was asked for lately.
func (b *Balancer) want(now time.Time, w *Waiter, candidates []*backend) *wire.Want {
	if now.Sub(b.wanted[w.Adapter].at) < wantAgainAfter {
		return nil
	}
	if b.wanted == nil {
		b.wanted = map[string]asked{}
	}
	b.wanted[w.Adapter] = asked{at: now, until: w.Deadline}
	want := &wire.Want{Adapter: w.Adapter, LeftMs: uint32(max(1, w.Deadline.Sub(now).Milliseconds()))}
	for _, k := range b.byService[w.Service] {
		if !slices.Contains(candidates, k) {
			want.Avoid = append(want.Avoid, k.info.GetId())
		}
	}
	return want
}

const (
	// crowdedLoad is the part of its slots, and crowdedRatio the load against the mean of
	// its peers, from which an engine is too busy to serve an adapter alone.
	crowdedLoad  = 0.3
	crowdedRatio = 1.6
)
