package balancer

import (
	"math"
	"slices"
	"time"

	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/wire"
)

// The functions of this file decide which loads of adapters a gateway requests from the leader.
// They handle demand for more adapters than there are adapter slots: a replica for an engine that
// is busy by chance would take the slot of an adapter that requests wait for.

const (
	// loadRequestInterval is how long the leader has to load an adapter before the load is
	// requested again: a load takes about a quarter of a second.
	loadRequestInterval = 400 * time.Millisecond
	// loadTime is about how long a load takes, including the time until gateways know of it. A
	// request that has waited as long for a full engine is likely to wait as long again.
	loadTime = 300 * time.Millisecond
	// An engine is too busy to be the only one with an adapter if its load is above
	// overloadedLoad, as a fraction of its slots, and above overloadedRatio times the mean of
	// its peers.
	overloadedLoad  = 0.3
	overloadedRatio = 1.6
	// chanceDeviations is how many standard deviations above the mean its requests must be in
	// addition. With 12 slots and a mean of 3.6 requests, 6 occur by chance.
	chanceDeviations = 2
)

// loadKey identifies the requests to the leader to load an adapter: a load for all requests helps none
// that is pinned to another software version.
type loadKey struct {
	adapter string
	pin     Pin
}

// requestedLoad is a request to the leader to load an adapter.
type requestedLoad struct {
	at time.Time
	// until is the deadline of the request that it was made for.
	until time.Time
	spare bool
}

// requestLoad requests a load of the adapter, unless one was requested recently. A spare replica
// would only help later requests, so that one requested recently does not count for a request
// that waits.
func (b *Balancer) requestLoad(now time.Time, w *Waiter, candidates []*backend, spare bool) *wire.Want {
	key := loadKey{w.Adapter, w.Pin}
	last, known := b.requestedLoads[key]
	if known && now.Sub(last.at) < loadRequestInterval && (spare || !last.spare) {
		return nil
	}
	if b.requestedLoads == nil {
		b.requestedLoads = map[loadKey]requestedLoad{}
	}
	b.requestedLoads[key] = requestedLoad{at: now, until: w.Deadline, spare: spare}
	pending := &wire.Want{Adapter: w.Adapter, LeftMs: uint32(max(1, w.Deadline.Sub(now).Milliseconds())), Spare: spare}
	for _, k := range b.byService[w.Service] {
		if !slices.Contains(candidates, k) {
			pending.Avoid = append(pending.Avoid, k.info.GetId())
		}
	}
	return pending
}

// outlastsLoad reports whether waiting for those that hold the adapter takes longer than a load
// elsewhere, and whether the request has the time for such a load.
func (b *Balancer) outlastsLoad(now time.Time, w *Waiter, holders []*backend) bool {
	if b.Disabled.Has(ablator.SpareRequests) {
		return true
	}
	if w.fullSince.IsZero() {
		w.fullSince = now
	}
	if w.Deadline.Sub(now) < loadTime {
		return false
	}
	paused := earliestPaused(now, holders)
	return now.Sub(w.fullSince) >= loadTime || paused != nil && paused.pauseEnd().Sub(now) > loadTime
}

// overloaded reports whether the chosen holder of an adapter is much busier than the engines on
// average, and more than by chance. If all are busy, another replica would not help.
func (b *Balancer) overloaded(best *backend, peers []*backend) bool {
	sum := 0.0
	for _, k := range peers {
		sum += k.load()
	}
	mean := sum / float64(max(1, len(peers)))
	if best.load() <= overloadedLoad || best.load() <= overloadedRatio*mean {
		return false
	}
	expected := mean * best.slots()
	return b.Disabled.Has(ablator.SpareRequests) || best.load()*best.slots() >= expected+chanceDeviations*math.Sqrt(expected)
}
