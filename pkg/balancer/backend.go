package balancer

import (
	"math"
	"time"

	"bronzelead.example/pkg/wire"
)

const (
	// failureMemory is the weight of the latest outcome in the share of failures.
	failureMemory = 0.2
	// ejectAbove is the share of failures from which a backend server is left out: at
	// this share two failures in a row, or three of four, have been seen.
	ejectAbove = 0.35
	// firstEjection doubles with each ejection in a row, up to longestEjection. The first
	// is about the time of a restart's first steps.
	firstEjection   = 700 * time.Millisecond
	longestEjection = 5 * time.Second
	// maxEjectedShare is the part, as a divisor, of a service's backend servers that
	// stays in use whatever their outcomes.
	maxEjectedShare = 2
	// assumedSlots is used where a backend server does not say how many it has.
	assumedSlots = 8
)

// backend is what the gateway knows of one start of a backend server.
type backend struct {
	info *wire.Announcement
	// own and others are the loads of this and the other gateways' requests there.
	own    float64
	others float64
	// using counts this gateway's requests for each adapter there.
	using map[string]int
	// holds are the adapters there, with their versions.
	holds     map[string]uint64
	absent    map[string]time.Time
	fullUntil time.Time
	since     time.Time
	// pausedUntil is when its request limit has room again.
	pausedUntil time.Time
	// backlog is how long the engine had to read as of backlogAt.
	backlog   time.Duration
	backlogAt time.Time
	// eventTime is about the time between two events of a stream while nothing is read.
	eventTime time.Duration

	// failures is the share of failed requests as of failedAt; it fades with time, or one
	// that gets no requests could never show that it has recovered.
	failures     float64
	failedAt     time.Time
	ejectedUntil time.Time
	ejection     time.Duration
	lastSuccess  time.Time
}

// open reports whether the backend server itself takes requests.
func (k *backend) open() bool { return !k.info.GetDraining() && !k.info.GetGone() }

// recentSuccess is how long an answer speaks for a backend server whose announcements
// have stopped.
const recentSuccess = 3 * time.Second

// ejected reports whether it is left out for its failures.
func (k *backend) ejected(now time.Time) bool {
	// After the pause one request at a time shows whether it has recovered.
	return now.Before(k.ejectedUntil) || k.ejection > 0 && k.own > 0
}

// silent reports whether nothing is heard from it, and no answer speaks for it.
func (k *backend) silent(now time.Time) bool {
	return k.info.GetSilent() && now.Sub(k.lastSuccess) > recentSuccess
}

func (k *backend) slots() float64 {
	if s := k.info.GetSlots(); s > 0 {
		return float64(s)
	}
	return assumedSlots
}

func (k *backend) load() float64 { return (k.own + k.others) / k.slots() }

func (k *backend) hasRoom() bool { return k.own+k.others < k.slots() }

// Pause leaves a backend server alone whose request limit has no room until a time.
func (b *Balancer) Pause(id string, until time.Time) {
	if k := b.backends[id]; k != nil {
		k.pausedUntil = until
	}
}

func (k *backend) paused(now time.Time) bool { return now.Before(k.pausedUntil) }

// SetBacklog takes about how long an engine still has to read prompts.
func (b *Balancer) SetBacklog(now time.Time, id string, backlog time.Duration) {
	if k := b.backends[id]; k != nil {
		k.backlog, k.backlogAt = backlog, now
	}
}

// reading is what is left of the backlog.
func (k *backend) reading(now time.Time) time.Duration {
	return max(0, k.backlog-now.Sub(k.backlogAt))
}

const (
	// eventQuantile is the part of gaps between events that are shorter than the time of
	// an event alone: the others have prompts read in them.
	eventQuantile = 0.1
	// eventStep is by how much of itself the time is changed by one gap at most.
	eventStep = 0.05
	// leastGap is the gap below which two events have come as one.
	leastGap = 2 * time.Millisecond
)

// ObserveEventGap takes the time between two events of a stream.
func (b *Balancer) ObserveEventGap(id string, gap time.Duration) {
	k := b.backends[id]
	switch {
	case k == nil || gap < leastGap:
	case k.eventTime == 0:
		k.eventTime = gap
	case gap < k.eventTime:
		k.eventTime -= time.Duration(eventStep * (1 - eventQuantile) * float64(k.eventTime))
	default:
		k.eventTime += time.Duration(eventStep * eventQuantile * float64(k.eventTime))
	}
}

// EventInterval returns about the time between two events of a stream at a backend server while
// it reads no prompt; 0 if it is not known.
func (b *Balancer) EventInterval(id string) time.Duration {
	if k := b.backends[id]; k != nil {
		return k.eventTime
	}
	return 0
}

// Outcome is what became of a request that was sent to a backend server.
type Outcome int

// The outcomes.
const (
	// Served means that the whole answer came.
	Served Outcome = iota
	// Failed means that the backend server answered with a failure of its own, or broke
	// off.
	Failed
	// Unreachable means that no connection could be opened.
	Unreachable
	// Full means that it refused for lack of room.
	Full
	// Absent means that it does not hold the adapter, or not in the version.
	Absent
	// Abandoned means that the gateway ended the request, for its caller or its deadline.
	Abandoned
)

// Done takes the end of a request that was sent. It returns for how long the backend server is
// ejected if this failure is what ejects it, or 0.
func (b *Balancer) Done(now time.Time, id, adapter string, tokens int, outcome Outcome) time.Duration {
	k := b.backends[id]
	if k == nil {
		return 0
	}
	before := k.ejectedUntil
	k.own = max(0, k.own-Weight(tokens))
	if k.using[adapter]--; k.using[adapter] <= 0 {
		delete(k.using, adapter)
	}
	switch outcome {
	case Served:
		k.succeeded(now)
	case Failed:
		k.failed(now, failureMemory)
	case Unreachable:
		k.failed(now, 1)
	case Full:
		k.fullUntil = now.Add(fullFor)
	case Absent:
		k.absent[adapter] = now.Add(absentFor)
	case Abandoned:
	}
	if k.ejectedUntil.Equal(before) {
		return 0
	}
	return k.ejection
}

// failureFades is the time in which half of a share of failures is forgotten.
const failureFades = 2 * time.Second

// failing returns the share of failures as it counts now.
func (k *backend) failing(now time.Time) float64 {
	return k.failures * math.Exp2(-float64(now.Sub(k.failedAt))/float64(failureFades))
}

func (k *backend) succeeded(now time.Time) {
	k.lastSuccess = now
	k.failures, k.failedAt = k.failing(now)*(1-failureMemory), now
	if k.failures < ejectAbove/2 {
		k.ejection = 0
	}
}

func (k *backend) failed(now time.Time, weight float64) {
	share := k.failing(now)
	k.failures, k.failedAt = share+(1-share)*weight, now
	if k.failures < ejectAbove || now.Before(k.ejectedUntil) {
		return
	}
	k.ejection = min(max(firstEjection, 2*k.ejection), longestEjection)
	k.ejectedUntil = now.Add(k.ejection)
	// After the pause a single success must be able to bring it back.
	k.failures = ejectAbove / 2
}
