package balancer

import (
	"math"
	"time"

	"bronzelead.example/pkg/paceestimator"
	"bronzelead.example/pkg/wire"
)

const (
	// failureWeight is the weight of the latest outcome in the failure rate.
	failureWeight = 0.2
	// ejectThreshold is the failure rate from which a backend server is ejected: it is reached
	// by two failures in a row, or three of four.
	ejectThreshold = 0.35
	// minEjection doubles with each ejection in a row, up to maxEjection. It is about the time
	// of the first steps of a restart.
	minEjection = 700 * time.Millisecond
	maxEjection = 5 * time.Second
	// minInUseDivisor is the divisor for the part of a service's backend servers that stays in
	// use whatever their outcomes.
	minInUseDivisor = 2
	// defaultSlots is used for backend servers that do not announce their slots.
	defaultSlots = 8
)

// backend is the state of one incarnation of a backend server as the gateway knows it.
type backend struct {
	info *wire.Announcement
	// own and others are the loads of this and of the other gateways' requests there.
	own    float64
	others float64
	// requestsByAdapter counts this gateway's requests for each adapter there.
	requestsByAdapter map[string]int
	// adapters are the loaded adapters with their versions.
	adapters    map[string]uint64
	absentUntil map[string]time.Time
	fullUntil   time.Time
	// pausedUntil is when its request limit has room again.
	pausedUntil time.Time
	// backoff is the time in which it accepts no requests of this gateway.
	backoff backoff
	// leavingSince is when an answer announced that it is leaving; zero if none did.
	leavingSince time.Time
	// backlog is how long the engine needed to read its unread prompts as of backlogAt.
	backlog   time.Duration
	backlogAt time.Time
	// eventInterval is about the time between two events of a stream while no prompt is read.
	eventInterval time.Duration
	// gaps are the latest times between events of streams there.
	gaps paceestimator.Window
	// machineLoad is how long work takes on its machine, in percent of the usual time, as of
	// machineLoadAt; 0 if no answer has named it.
	machineLoad   int
	machineLoadAt time.Time
	// machineLoadReported is set if the machine load is that of another gateway's report.
	machineLoadReported bool
	// slowdown is by how much more time a request is expected to take here than at the median of
	// the service, as a part of that time; 0 if it is not known to differ.
	slowdown float64

	// failureRate is the share of failed requests as of failureRateAt. It decays with time, as
	// a backend server that gets no requests could otherwise never show that it has recovered.
	failureRate      float64
	failureRateAt    time.Time
	ejectedUntil     time.Time
	ejectionDuration time.Duration
	lastSuccess      time.Time
}

// accepting reports whether the backend server takes requests by its announcements and answers.
// An announcement that it is ready may be older than the answer which said that it is leaving.
func (k *backend) accepting() bool {
	return !k.info.GetDraining() && !k.info.GetGone() && k.leavingSince.IsZero()
}

// recentSuccessWindow is how long an answer keeps a backend server in use whose announcements
// have stopped.
const recentSuccessWindow = 3 * time.Second

// ejected reports whether the backend server is not used because of its failures.
func (k *backend) ejected(now time.Time) bool {
	// After the ejection one request at a time shows whether it has recovered.
	return now.Before(k.ejectedUntil) || k.ejectionDuration > 0 && k.own > 0
}

// silent reports whether its announcements have stopped and it has not answered recently
// either.
func (k *backend) silent(now time.Time) bool {
	return k.info.GetSilent() && now.Sub(k.lastSuccess) > recentSuccessWindow
}

func (k *backend) slots() float64 {
	if s := k.info.GetSlots(); s > 0 {
		return float64(s)
	}
	return defaultSlots
}

// load returns the requests there as a part of the slots. Those of a slow backend server weigh more,
// by the root of the time that each takes: its prompts are read one after the other, and its streams
// advance together. With the time itself, the faster engines of a site in virtual time got 1.34 times
// the mean work; without it, first events were later.
func (k *backend) load() float64 { return (k.own + k.others) / k.slots() * math.Sqrt(1+k.slowdown) }

func (k *backend) hasRoom() bool { return k.own+k.others < k.slots() }

// Pause stops using a backend server until its request limit has room again.
func (b *Balancer) Pause(id string, until time.Time) {
	if k := b.backends[id]; k != nil {
		k.pausedUntil = until
	}
}

// pauseEnd returns until when it gets no requests because of its request limit or its backoff,
// after which the first request is at nextProbe.
func (k *backend) pauseEnd() time.Time { return later(k.pausedUntil, k.backoff.nextProbe) }

// retryAt returns when a caller may retry whose request would only be served here.
func (k *backend) retryAt(now time.Time) time.Time {
	if end := later(k.pausedUntil, k.backoff.until); end.After(now) {
		return end
	}
	return k.backoff.nextProbe
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (k *backend) paused(now time.Time) bool { return now.Before(k.pauseEnd()) }

// refusePaused refuses a request that only this or other paused backend servers can serve.
func (k *backend) refusePaused(now time.Time, w *Waiter) *Decision {
	reason := ReasonLimited
	if k.backoff.probing {
		reason = ReasonBackoff
	}
	return &Decision{Waiter: w, Reason: reason, RetryAfter: k.retryAt(now).Sub(now), Paused: k.info.GetId()}
}

// SetBacklog sets about how long an engine still needs to read its prompts.
func (b *Balancer) SetBacklog(now time.Time, id string, backlog time.Duration) {
	if k := b.backends[id]; k != nil {
		k.backlog, k.backlogAt = backlog, now
	}
}

// remainingBacklog returns what is left of the backlog.
func (k *backend) remainingBacklog(now time.Time) time.Duration {
	return max(0, k.backlog-now.Sub(k.backlogAt))
}

const (
	// gapQuantile is the fraction of gaps between events that are shorter than the event
	// interval: the others include the time to read prompts.
	gapQuantile = 0.1
	// maxGapStep bounds the relative change of the event interval by a single gap.
	maxGapStep = 0.05
	// minGap is the gap below which two events count as one.
	minGap = 2 * time.Millisecond
)

// ObserveEventGap records the time between two events of a stream.
func (b *Balancer) ObserveEventGap(id string, gap time.Duration) {
	k := b.backends[id]
	switch {
	case k == nil || gap < minGap:
	case k.eventInterval == 0:
		k.eventInterval = gap
	case gap < k.eventInterval:
		k.eventInterval -= time.Duration(maxGapStep * (1 - gapQuantile) * float64(k.eventInterval))
	default:
		k.eventInterval += time.Duration(maxGapStep * gapQuantile * float64(k.eventInterval))
	}
}

// EventInterval returns about the time between two events of a stream while the backend server
// reads no prompt; 0 if it is not known.
func (b *Balancer) EventInterval(id string) time.Duration {
	if k := b.backends[id]; k != nil {
		return k.eventInterval
	}
	return 0
}

// Outcome is the result of a request that was sent to a backend server.
type Outcome int

// Outcomes.
const (
	// Served means that the whole answer was received.
	Served Outcome = iota
	// Failed means that the backend server answered with a failure of its own, or aborted the
	// answer.
	Failed
	// Unreachable means that no connection could be opened.
	Unreachable
	// Full means that it refused for lack of room.
	Full
	// Absent means that it does not hold the adapter, or not in the version.
	Absent
	// Abandoned means that the gateway ended the request because of its caller or its deadline.
	Abandoned
)

// Done records the outcome of a request that was sent. If this failure ejects the backend
// server, it returns for how long; otherwise 0.
func (b *Balancer) Done(now time.Time, id, adapter string, tokens int, outcome Outcome) time.Duration {
	k := b.backends[id]
	if k == nil {
		return 0
	}
	before := k.ejectedUntil
	k.own = max(0, k.own-Weight(tokens))
	if k.requestsByAdapter[adapter]--; k.requestsByAdapter[adapter] <= 0 {
		delete(k.requestsByAdapter, adapter)
	}
	switch outcome {
	case Served:
		k.recordSuccess(now)
	case Failed:
		k.recordFailure(now, failureWeight)
	case Unreachable:
		k.recordFailure(now, 1)
	case Full:
		k.fullUntil = now.Add(fullBackoff)
	case Absent:
		k.absentUntil[adapter] = now.Add(absentBackoff)
	case Abandoned:
	}
	if k.ejectedUntil.Equal(before) {
		return 0
	}
	return k.ejectionDuration
}

// failureHalfLife is the time in which a failure rate decays by half.
const failureHalfLife = 2 * time.Second

// currentFailureRate returns the decayed failure rate.
func (k *backend) currentFailureRate(now time.Time) float64 {
	return k.failureRate * math.Exp2(-float64(now.Sub(k.failureRateAt))/float64(failureHalfLife))
}

// Reinstate ends the ejection of a backend server whose failures were those of the path to it.
func (b *Balancer) Reinstate(id string) {
	if k := b.backends[id]; k != nil {
		k.failureRate, k.ejectedUntil, k.ejectionDuration = 0, time.Time{}, 0
	}
}

func (k *backend) recordSuccess(now time.Time) {
	k.lastSuccess = now
	k.failureRate, k.failureRateAt = k.currentFailureRate(now)*(1-failureWeight), now
	if k.failureRate < ejectThreshold/2 {
		k.ejectionDuration = 0
	}
}

func (k *backend) recordFailure(now time.Time, weight float64) {
	rate := k.currentFailureRate(now)
	k.failureRate, k.failureRateAt = rate+(1-rate)*weight, now
	if k.failureRate < ejectThreshold || now.Before(k.ejectedUntil) {
		return
	}
	k.ejectionDuration = min(max(minEjection, 2*k.ejectionDuration), maxEjection)
	k.ejectedUntil = now.Add(k.ejectionDuration)
	// After the ejection a single success must be able to end it.
	k.failureRate = ejectThreshold / 2
}
