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
	// loadLease is how long the loads of the other gateways count after their last update: longer
	// than an election, during which no leader sends any.
	loadLease = 2 * time.Second
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
	// loadsAt is when the loads of the other gateways were last updated; zero if they have expired.
	loadsAt   time.Time
	nextOrder uint64
	// requestedLoads holds the latest load request to the leader for each adapter and pin.
	requestedLoads map[loadKey]requestedLoad
	// pacesByService holds what is known of the paces of each service's backend servers.
	pacesByService map[string]*paces
	// brittle holds the services whose backend servers are brittle.
	brittle map[string]brittleness
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
	// Pin is the software version that must serve it, if it resumes a stream.
	Pin Pin
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
func (b *Balancer) SetLoads(now time.Time, loads []*wire.Load) {
	b.loadsAt = now
	b.clearLoads()
	for _, l := range loads {
		if known := b.backends[l.GetBackend()]; known != nil {
			known.others = float64(l.GetRequests())
		}
	}
}

// expireLoads forgets the loads of the other gateways if they have not been updated for too long.
func (b *Balancer) expireLoads(now time.Time) {
	if !b.loadsAt.IsZero() && now.Sub(b.loadsAt) >= loadLease {
		b.loadsAt = time.Time{}
		b.clearLoads()
	}
}

func (b *Balancer) clearLoads() {
	for _, known := range b.backends {
		known.others = 0
	}
}

// Loads returns how many requests this gateway has at each backend server, what the backend
// servers have announced to it in their answers, and what it has observed of their pace.
func (b *Balancer) Loads(now time.Time) []*wire.Load {
	var loads []*wire.Load
	for id, known := range b.backends {
		backingOff := known.backoff.active(now)
		toldLeaving := !known.leavingSince.IsZero() && !known.info.GetDraining()
		saysBrittle := b.saysBrittle(now, known)
		if known.own <= 0 && !backingOff && !toldLeaving && !saysBrittle && !known.hasRecentMachineLoad(now) {
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
		if saysBrittle {
			b.addBrittle(now, known, l)
		}
		known.addPace(now, l)
		loads = append(loads, l)
	}
	return loads
}

// HasBackend reports whether a service has a backend server that takes requests.
func (b *Balancer) HasBackend(service string) bool { return b.hasBackend(service, Pin{}) }

func (b *Balancer) hasBackend(service string, pin Pin) bool {
	return slices.ContainsFunc(b.byService[service], func(k *backend) bool { return k.accepting() && pin.allows(k) })
}

// Accepting returns the number of a service's backend servers that take requests.
func (b *Balancer) Accepting(service string) int {
	n := 0
	for _, k := range b.byService[service] {
		if k.accepting() {
			n++
		}
	}
	return n
}

// AllAmong reports whether all backend servers of a service that may get a request are in a list, and
// there are any. Those that are paused or have failed may still serve a request.
func (b *Balancer) AllAmong(service string, pin Pin, ids []string) bool {
	found := false
	for _, k := range b.byService[service] {
		if !k.accepting() || !pin.allows(k) {
			continue
		}
		if !slices.Contains(ids, k.info.GetId()) {
			return false
		}
		found = true
	}
	return found
}

// Backend returns the announcement of a known backend server, or nil.
func (b *Balancer) Backend(id string) *wire.Announcement {
	if k := b.backends[id]; k != nil {
		return k.info
	}
	return nil
}

// AcceptingBackends returns the announcements of a service's backend servers that take requests.
func (b *Balancer) AcceptingBackends(service string) []*wire.Announcement {
	var list []*wire.Announcement
	for _, k := range b.byService[service] {
		if k.accepting() {
			list = append(list, k.info)
		}
	}
	return list
}

// Services returns the services with known backend servers.
func (b *Balancer) Services() []string { return slices.Sorted(maps.Keys(b.byService)) }

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
