// Package slotgranter grants the slots of one backend server that many gateways share to their
// requests. It has no side effects: grant requests, completions and the time are passed in,
// grants and refusals are returned.
//
// It handles a load of about the capacity of the backend servers, or a little more. Without it
// each gateway sends all its requests, the queue at the backend server stays full, and nearly
// every request is late though nearly all are served. Here as many requests are in progress as
// there are slots, the others wait in the order in which they can be on time, and those that
// can't are refused at once.
package slotgranter

import (
	"cmp"
	"slices"
	"time"

	"bronzelead.example/pkg/sharer"
)

const (
	// extraSlots are granted beyond the slots: a slot would be idle until the completion of its
	// request is reported.
	extraSlots = 1
	// initialServiceTime is assumed for a request before any has completed.
	initialServiceTime = 20 * time.Millisecond
	// serviceTimeWeight is the weight of the latest request in the mean service time.
	serviceTimeWeight = 0.1
	// probeInterval is the time without a completion after which a request is admitted although
	// the backend server seems too slow for it, and probeWeight is the weight of such a request
	// in the mean service time.
	probeInterval = 500 * time.Millisecond
	probeWeight   = 0.5
	// onTimeMargin times the service time must be left for a request to count as able to be on
	// time: service times vary, and a request that misses its objective has wasted a slot.
	onTimeMargin = 1.3
	// A request without a reported completion counts as running for expiryFactor times the
	// service time, and for minExpiry at least: its gateway may be lost.
	expiryFactor = 10
	minExpiry    = time.Second
	// overloadDuration is how long requests that can't be on time are refused at once after one
	// that could have been was refused: they would wait in vain.
	overloadDuration = 300 * time.Millisecond
	// maxBurst is how long an overload may last until it counts as persistent.
	maxBurst = 200 * time.Millisecond
)

// GrantRequest is a request that is to be sent to the backend server.
type GrantRequest struct {
	// Key identifies the grant request.
	Key string
	// Urgency is the request's priority; 0 goes first.
	Urgency uint32
	// OnTimeUntil is until when its answer would be on time, and Deadline when waiting longer
	// is of no use.
	OnTimeUntil time.Time
	Deadline    time.Time
	// Slots is the number of requests that the backend server runs concurrently.
	Slots int
	// HasAlternative is set if another backend server can be tried next.
	HasAlternative bool
	// Customer is who the request is served for, "" if there is none, and Weight the weight of
	// its share; 0 counts as 1.
	Customer string
	Weight   float64

	order uint64
	// excess is how far its customer is above its share.
	excess float64
}

// Granter holds the state of the requests at one backend server. The zero value is ready for
// use.
type Granter struct {
	slots   int
	running map[string]time.Time
	waiting []GrantRequest
	order   uint64
	// meanServiceTime is about the time that a request takes.
	meanServiceTime time.Duration
	// lastCompletedAt is when a request last completed.
	lastCompletedAt time.Time
	stats           Stats
	// overloadedUntil is until when requests that can't be on time are refused at once.
	overloadedUntil time.Time
	// overloadedSince is when that began.
	overloadedSince time.Time
	// shares holds how many slots each customer was granted lately.
	shares sharer.Sharer
	// displaced are requests that were refused in favor of customers within their shares, and
	// that Evict has not returned yet.
	displaced []GrantRequest
}

// Stats counts the outcomes of grant requests since the last call of TakeStats.
type Stats struct {
	// Granted counts those that got a slot, and Late those of them that could not be on time.
	Granted, Late int
	// Refused counts those that were refused at once, Evicted those that were refused while they
	// waited, as they could no longer be on time or in favor of other customers, and Withdrawn those that were withdrawn while they waited.
	Refused, Evicted, Withdrawn int
	// AboveShare counts those of Refused and Evicted whose customers were above their shares.
	AboveShare int
	// Slow counts those that were redirected because the backend server is too slow.
	Slow int
	// Expired counts requests whose completion was not reported.
	Expired int
	// Waiting and Running are the current numbers of waiting and running requests.
	Waiting, Running int
	// ServiceTime is about the time that a request takes.
	ServiceTime time.Duration
}

// TakeStats returns the statistics and resets them.
func (g *Granter) TakeStats() Stats {
	s := g.stats
	s.Waiting, s.Running, s.ServiceTime = len(g.waiting), len(g.running), g.serviceTime()
	g.stats = Stats{}
	return s
}

// Add queues a request for a slot, and reports whether it did: a request that would be too late
// because of those ahead of it is refused at once.
func (g *Granter) Add(now time.Time, a GrantRequest) bool {
	g.expire(now)
	if a.HasAlternative && g.TooSlow(now, a) {
		g.stats.Slow++
		return false
	}
	g.slots = max(1, a.Slots)
	g.order++
	a.order = g.order
	g.updateExcess()
	a.excess = g.shares.Excess(a.Customer)
	if !g.mayWait(now, a, g.expectedWait(g.ahead(now, a))) {
		g.stats.Refused++
		g.countAboveShare(a)
		return false
	}
	g.waiting = append(g.waiting, a)
	g.displace(now, a)
	return true
}

// ahead returns how many waiting requests go before a request.
func (g *Granter) ahead(now time.Time, a GrantRequest) int {
	n := 0
	for _, other := range g.waiting {
		if g.before(now, other, a) {
			n++
		}
	}
	return n
}

// updateExcess updates the excess of the waiting requests.
func (g *Granter) updateExcess() {
	for i := range g.waiting {
		g.waiting[i].excess = g.shares.Excess(g.waiting[i].Customer)
	}
}

// displace refuses the waiting requests of customers above their shares that would be too late
// because an added request goes before them. They would otherwise be refused only once they
// can't be on time.
func (g *Granter) displace(now time.Time, added GrantRequest) {
	for {
		last := -1
		for i, a := range g.waiting {
			if a.excess > 0 && g.canBeOnTime(now, a) && (last < 0 || g.before(now, g.waiting[last], a)) {
				last = i
			}
		}
		if last < 0 || !g.before(now, added, g.waiting[last]) {
			return
		}
		a := g.waiting[last]
		if g.mayWait(now, a, g.expectedWait(g.ahead(now, a))) {
			return
		}
		g.waiting = slices.Delete(g.waiting, last, last+1)
		g.displaced = append(g.displaced, a)
		g.stats.Evicted++
		g.countAboveShare(a)
	}
}

// countAboveShare counts a refused request if its customer is above its share.
func (g *Granter) countAboveShare(a GrantRequest) {
	if a.excess > 0 {
		g.stats.AboveShare++
		g.shares.Refuse(a.Customer)
	}
}

// TakeAboveShare returns the customers above their shares, and the numbers of their refused
// requests since the last call.
func (g *Granter) TakeAboveShare(now time.Time) []sharer.Status { return g.shares.TakeAboveShare(now) }

// TooSlow reports whether an answer would be late even without any wait. It is false when a
// probe is due, whatever the service time: only a completion shows that the backend server is
// fast again.
func (g *Granter) TooSlow(now time.Time, a GrantRequest) bool {
	return !g.canBeOnTime(now, a) && !g.probeDue(now)
}

// probeDue reports whether no request has completed for a while, and none is running or
// waiting.
func (g *Granter) probeDue(now time.Time) bool {
	return len(g.running) == 0 && len(g.waiting) == 0 && now.Sub(g.lastCompletedAt) >= probeInterval
}

// mayWait reports whether a request may wait, for about the given time.
func (g *Granter) mayWait(now time.Time, a GrantRequest, wait time.Duration) bool {
	if !g.canBeOnTime(now, a) {
		return !now.Before(g.overloadedUntil) && now.Add(wait).Before(a.Deadline)
	}
	if g.canBeOnTime(now.Add(wait), a) && (wait <= g.serviceTime() || !g.overloadPersists(now)) {
		return true
	}
	if !now.Before(g.overloadedUntil) {
		g.overloadedSince = now
	}
	g.overloadedUntil = now.Add(overloadDuration)
	return false
}

// overloadPersists reports whether requests that could be on time have been refused for longer
// than a burst lasts. A long queue then serves no more of them, and each of them later.
func (g *Granter) overloadPersists(now time.Time) bool {
	return now.Before(g.overloadedUntil) && now.Sub(g.overloadedSince) > maxBurst
}

// expectedWait returns about how long a request waits with the given number of requests ahead.
func (g *Granter) expectedWait(ahead int) time.Duration {
	free := g.limit() - len(g.running)
	if ahead < free {
		return 0
	}
	return g.serviceTime() * time.Duration(ahead-free+1) / time.Duration(g.limit())
}

func (g *Granter) limit() int { return g.slots + extraSlots }

func (g *Granter) serviceTime() time.Duration {
	if g.meanServiceTime == 0 {
		return initialServiceTime
	}
	return g.meanServiceTime
}

// canBeOnTime reports whether a request sent at the given time would probably be on time.
func (g *Granter) canBeOnTime(sent time.Time, a GrantRequest) bool {
	return !sent.Add(time.Duration(onTimeMargin * float64(g.serviceTime()))).After(a.OnTimeUntil)
}

// before reports whether a request goes before another: first those that can be on time, then
// by urgency, then the one whose customer is less far above its share, then the one with the
// least time left.
func (g *Granter) before(now time.Time, a, other GrantRequest) bool {
	return g.compare(now, a, other) < 0
}

func (g *Granter) compare(now time.Time, a, other GrantRequest) int {
	if onTime, otherOnTime := g.canBeOnTime(now, a), g.canBeOnTime(now, other); onTime != otherOnTime {
		if onTime {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Urgency, other.Urgency), cmp.Compare(a.excess, other.excess), a.OnTimeUntil.Compare(other.OnTimeUntil), cmp.Compare(a.order, other.order))
}

// Withdraw removes a waiting grant request, and reports whether it was waiting.
func (g *Granter) Withdraw(key string) bool {
	before := len(g.waiting)
	g.waiting = slices.DeleteFunc(g.waiting, func(a GrantRequest) bool { return a.Key == key })
	if len(g.waiting) == before {
		return false
	}
	g.stats.Withdrawn++
	return true
}

// Release frees the slot of a request; ran is set if the backend server has answered it.
func (g *Granter) Release(now time.Time, key string, ran bool) {
	grantedAt, ok := g.running[key]
	if !ok {
		return
	}
	delete(g.running, key)
	if !ran {
		return
	}
	weight := serviceTimeWeight
	if grantedAt.Sub(g.lastCompletedAt) >= probeInterval {
		weight = probeWeight
	}
	g.meanServiceTime = g.serviceTime() + time.Duration(weight*float64(now.Sub(grantedAt)-g.serviceTime()))
	g.lastCompletedAt = now
}

// Evict removes and returns the waiting grant requests that can no longer be on time, while
// others that could be are refused, and those that were refused in favor of other customers.
func (g *Granter) Evict(now time.Time) []GrantRequest {
	evicted := g.displaced
	g.displaced = nil
	if !now.Before(g.overloadedUntil) {
		return evicted
	}
	g.waiting = slices.DeleteFunc(g.waiting, func(a GrantRequest) bool {
		late := !g.canBeOnTime(now, a)
		if late {
			evicted = append(evicted, a)
			g.stats.Evicted++
			g.countAboveShare(a)
		}
		return late
	})
	return evicted
}

// Next returns the requests that may be sent now.
func (g *Granter) Next(now time.Time) []GrantRequest {
	g.expire(now)
	if len(g.waiting) == 0 || len(g.running) >= g.limit() {
		return nil
	}
	if g.running == nil {
		g.running = map[string]time.Time{}
	}
	var granted []GrantRequest
	for range min(len(g.waiting), g.limit()-len(g.running)) {
		// Each grant changes how far its customer is above its share.
		g.updateExcess()
		slices.SortFunc(g.waiting, func(a, b GrantRequest) int { return g.compare(now, a, b) })
		a := g.waiting[0]
		g.waiting = slices.Delete(g.waiting, 0, 1)
		granted = append(granted, a)
		g.shares.Record(now, a.Customer, a.Weight, 1)
		g.stats.Granted++
		if !g.canBeOnTime(now, a) {
			g.stats.Late++
		}
		g.running[a.Key] = now
	}
	return granted
}

// expire drops running requests whose completion was not reported in time.
func (g *Granter) expire(now time.Time) {
	for key, at := range g.running {
		if now.Sub(at) > max(minExpiry, expiryFactor*g.serviceTime()) {
			delete(g.running, key)
			g.stats.Expired++
		}
	}
}

// Backlog returns about how long a further request would wait.
func (g *Granter) Backlog() time.Duration { return g.expectedWait(len(g.waiting)) }

// Idle reports whether nothing is running or waiting.
func (g *Granter) Idle() bool { return len(g.running) == 0 && len(g.waiting) == 0 }
