package waitestimator

import "time"

const (
	// defaultRetryAfter is the retry time if nothing is known of the backend servers, and
	// sustainedRetryAfter the least one while an overload persists.
	defaultRetryAfter   = 250 * time.Millisecond
	sustainedRetryAfter = 300 * time.Millisecond
	// minRetryAfter is the least retry time: an earlier retry meets the same waits.
	minRetryAfter = 20 * time.Millisecond
	// retryJitter is the share by which retry times differ at random, so that requests refused
	// together don't return together.
	retryJitter = 0.25
	// Callers follow retry times up to a third of their remaining time.
	followedDivisor = 3
	// usefulServiceTimes times the service time must be left for a retry that is answered before
	// its caller leaves.
	usefulServiceTimes = 2
)

// RetryAfter returns when a request shall return that some backend servers are too busy for, whose
// caller leaves after the given time. random is between 0 and 1. It is the wait, and not before the
// request is late: one that returns earlier goes before those that arrived later, so that one of
// these is refused in its place and callers get more refusals for the same answers. One that returns
// just before takes a slot and is late nonetheless.
func (e *Estimator) RetryAfter(now time.Time, backends []string, r Request, remaining time.Duration, random float64) time.Duration {
	wait, service := time.Duration(-1), time.Duration(0)
	for _, backend := range backends {
		k := e.backends[backend]
		if k == nil || !k.reported(now) && !now.Before(k.refusedUntil) {
			continue
		}
		if free := k.freeIn(now); wait < 0 || free < wait {
			wait, service = free, k.report.ServiceTime
		}
	}
	if wait < 0 {
		wait = defaultRetryAfter
	}
	wait = max(wait, minRetryAfter, r.Left)
	latest := min(remaining/followedDivisor, remaining-usefulServiceTimes*service)
	if latest := float64(latest); latest < (1+retryJitter)*float64(wait) {
		return max(minRetryAfter, time.Duration((1-retryJitter+random*retryJitter)*latest))
	}
	return time.Duration((1 + random*retryJitter) * float64(wait))
}

// freeIn returns after which time a backend server may have a slot.
func (k *knowledge) freeIn(now time.Time) time.Duration {
	free := time.Duration(0)
	if k.reported(now) {
		free = max(0, k.report.Wait-now.Sub(k.reportedAt))
	}
	if left := k.refusedUntil.Sub(now); left > 0 {
		free = max(free, left)
		if k.refusal.Sustained() {
			free = max(free, sustainedRetryAfter)
		}
	}
	return free
}
