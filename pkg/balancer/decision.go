package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/wire"
)

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
	ReasonNoVersion = "no backend server of the software version that began the stream takes requests"
	ReasonTimeout   = "no backend server was free in time"
	ReasonNoAdapter = "the adapter was not loaded in time"
	ReasonDeclined  = "the adapter can't be loaded in time"
	ReasonLimited   = "the backend servers' request limits have no room in time"
	ReasonBackoff   = "the backend servers accept no requests in time"
)

// Next decides on the queued requests, the most urgent first, and returns the adapters that the
// leader is to load.
func (b *Balancer) Next(now time.Time) (decisions []Decision, pendingLoads []*wire.Want) {
	b.expireLoads(now)
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
	if !b.hasBackend(w.Service, w.Pin) {
		return &Decision{Waiter: w, Reason: w.Pin.reasonWithoutBackend(), RetryAfter: retryWithoutBackend}, nil
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
//
// The leader does not say which of several load requests it declines. One for a software version names
// fewer engines, so that while requests pinned to one wait, only these are refused.
func (b *Balancer) Decline(adapter string) {
	pinned := slices.ContainsFunc(b.queue, func(w *Waiter) bool { return w.Adapter == adapter && w.Pin.Set })
	var declined []loadKey
	if !pinned {
		declined = append(declined, loadKey{adapter: adapter})
	}
	for _, w := range b.queue {
		if w.Adapter != adapter || w.Pin.Set != pinned {
			continue
		}
		key := loadKey{adapter, w.Pin}
		w.declined = w.declined || !w.Deadline.After(b.requestedLoads[key].until)
		declined = append(declined, key)
	}
	for _, key := range declined {
		delete(b.requestedLoads, key)
	}
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
