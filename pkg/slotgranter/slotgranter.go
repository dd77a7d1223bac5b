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
	"math"
	"slices"
	"time"

	"bronzelead.example/pkg/sharer"
)

const (
	// extraSlots are granted beyond the slots, and those that cover the message latency: runs
	// differ in length, so that several may end within one latency.
	extraSlots = 1
	// latencyWeight is the weight of the latest observation in the mean message latency, and
	// pathFactor relates the latency that a request sees to the measured one. The latter covers
	// two messages, the grant and the report of the completion. The request and its answer pass
	// between the gateway and the backend server too, which the gateway can't tell from the run;
	// they are taken to be as slow.
	latencyWeight = 0.1
	pathFactor    = 2
	// answerShare is the part of the latency that passes between the grant and the answer: three
	// of four messages.
	answerShare = 0.75
	// coverFactor is how many more slots than those that are idle in the mean latency are granted
	// ahead: messages take longer at times.
	coverFactor = 1.25
	// maxPathShare bounds the part of the time from a grant to its completion that counts as
	// latency: one wrong report must not make a server appear fast.
	maxPathShare = 0.6
	// maxReportAge is how long the duration between grant and completion is kept to be compared
	// with the gateway's report of the same run.
	maxReportAge = 5 * time.Second
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
	// A request also counts as lost after lostFactor times the service time if its backend server
	// has completed lostOvertakes times its slots since: it is responsive, and few runs take as
	// long.
	lostFactor    = 3
	lostOvertakes = 2
	// overloadDuration is how long requests that can't be on time are refused at once after one
	// that could have been was refused: they would wait in vain.
	overloadDuration = 300 * time.Millisecond
	// maxBurst is how long an overload may last until it counts as persistent.
	maxBurst = 200 * time.Millisecond
	// A gateway whose request was refused sends no request like it for a time between
	// minRefusedFor and maxRefusedFor. It becomes longer while more requests are refused than
	// granted, and shorter while less than half as many are: fewer would let a slot be idle at
	// times, more would cost messages and time. It is adapted after slots times adaptedAfter
	// grants and refusals, so that it becomes longer the faster, the more are refused.
	minRefusedFor    = 10 * time.Millisecond
	maxRefusedFor    = 300 * time.Millisecond
	refusedForFactor = 1.5
	adaptedAfter     = 4
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
	// Gateway is the gateway that sends the request, and LastRun is how long the latest request
	// that it completed there took at the backend server, from its sending to the answer; 0 if it
	// was reported before, or is unknown.
	Gateway string
	LastRun time.Duration
	// Customer is who the request is served for, "" if there is none, and Weight the weight of
	// its share; 0 counts as 1.
	Customer string
	Weight   float64
	// Brittle is set if the backend server crashes after a few rejections.
	Brittle bool

	order uint64
	// excess is how far its customer is above its share.
	excess float64
}

// Granter holds the state of the requests at one backend server. The zero value is ready for
// use.
type Granter struct {
	slots   int
	running map[string]run
	waiting []GrantRequest
	order   uint64
	// meanGrantTime is about the time from a grant until its completion is reported, and
	// meanLatency the part of it in which the grant and the report were on their way.
	meanGrantTime time.Duration
	meanLatency   time.Duration
	// completions counts the requests that have run, and latest holds the latest of each gateway
	// until the gateway reports how long it took at the backend server.
	completions uint64
	latest      map[string]completion
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
	// refusedFor is how long gateways don't send requests like one that was refused. It depends on
	// the requests that were granted, and those refused that could be on time, since it changed.
	refusedFor               time.Duration
	lastGranted, lastRefused int
	// brittle is the state of a backend server that crashes after a few rejections.
	brittle brittleness
}

// run is a request that was granted and has not completed.
type run struct {
	grantedAt time.Time
	gateway   string
	customer  string
	// completions is the number of completed requests when it was granted.
	completions uint64
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
	// ServiceTime is about the time that a request takes, and Latency about the time that its
	// messages take in addition.
	ServiceTime, Latency time.Duration
}

// TakeStats returns the statistics and resets them.
func (g *Granter) TakeStats() Stats {
	s := g.stats
	s.Waiting, s.Running, s.ServiceTime, s.Latency = len(g.waiting), len(g.running), g.serviceTime(), g.latency()
	g.stats = Stats{}
	return s
}

// Add queues a request for a slot, and reports whether it did: a request that would be too late
// because of those ahead of it is refused at once.
func (g *Granter) Add(now time.Time, a GrantRequest) bool {
	if a.Brittle {
		g.brittle.until = now.Add(brittleRetention)
	}
	g.updateBrittle(now)
	g.expire(now)
	g.observeRun(now, a)
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

// expectedWait returns about how long a request waits with the given number of requests ahead.
func (g *Granter) expectedWait(ahead int) time.Duration {
	free := g.limit() - len(g.running)
	if ahead < free {
		return 0
	}
	return g.serviceTime() * time.Duration(ahead-free+1) / time.Duration(g.limit())
}

// limit returns how many requests may be granted and not completed. The slots of those whose
// messages are on their way would be idle otherwise.
func (g *Granter) limit() int {
	if limit := g.brittle.limit; limit > 0 {
		return min(g.slots, int(limit))
	}
	latency, service := g.latency(), g.serviceTime()
	return g.slots + extraSlots + int(math.Ceil(coverFactor*float64(g.slots)*float64(latency)/float64(service)))
}

// canBeOnTime reports whether a request sent at the given time would probably be on time.
func (g *Granter) canBeOnTime(sent time.Time, a GrantRequest) bool {
	return !sent.Add(time.Duration(onTimeMargin*float64(g.serviceTime())) + time.Duration(answerShare*float64(g.latency()))).After(a.OnTimeUntil)
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
	r, ok := g.running[key]
	if !ok {
		return
	}
	delete(g.running, key)
	if !ran {
		g.shares.Refund(now, r.customer, 1)
		return
	}
	weight := serviceTimeWeight
	if r.grantedAt.Sub(g.lastCompletedAt) >= probeInterval {
		weight = probeWeight
	}
	took := now.Sub(r.grantedAt)
	g.meanGrantTime = g.grantTime() + time.Duration(weight*float64(took-g.grantTime()))
	g.lastCompletedAt = now
	g.completions++
	g.brittle.grow()
	if r.gateway != "" {
		if g.latest == nil {
			g.latest = map[string]completion{}
		}
		g.latest[r.gateway] = completion{at: now, took: took}
	}
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
		g.running = map[string]run{}
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
		g.running[a.Key] = run{grantedAt: now, gateway: a.Gateway, customer: a.Customer, completions: g.completions}
	}
	g.lastGranted += len(granted)
	g.adaptRefusedFor()
	return granted
}

// expire drops running requests whose completion was not reported in time.
func (g *Granter) expire(now time.Time) {
	for key, r := range g.running {
		age := now.Sub(r.grantedAt)
		overtaken := g.completions-r.completions >= uint64(lostOvertakes*g.slots)
		if age > max(minExpiry, expiryFactor*g.grantTime()) || overtaken && age > lostFactor*g.grantTime() {
			delete(g.running, key)
			g.stats.Expired++
		}
	}
}

// Backlog returns about how long a further request would wait.
func (g *Granter) Backlog() time.Duration { return g.expectedWait(len(g.waiting)) }

// Idle reports whether nothing is running or waiting.
func (g *Granter) Idle() bool { return len(g.running) == 0 && len(g.waiting) == 0 }
