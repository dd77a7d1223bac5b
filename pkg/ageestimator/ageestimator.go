// Package ageestimator estimates how long ago a caller first sent a request that may be a
// retry. Retries are not marked as such, but have less time left than first attempts have. The
// forwarder observes first attempts by route, and queries the age of other requests. It has no
// side effects.
package ageestimator

import (
	"slices"
	"time"
)

const (
	// capacity is the number of first attempts that are remembered.
	capacity = 32
	// minSamples is the number of first attempts below which nothing is estimated.
	minSamples = 8
	// marginShare is the fraction of a first attempt's time by which a retry has less than all
	// of them. Callers' timeouts differ, and the shortest may not have been observed yet.
	marginShare = 0.02
)

// Estimator remembers the time that callers had left at their latest first attempts. The zero
// value has no observations.
type Estimator struct {
	timesLeft [capacity]time.Duration
	count     int
	next      int
}

// Observe records the time that a caller has left at a first attempt.
func (e *Estimator) Observe(left time.Duration) {
	e.timesLeft[e.next] = left
	e.next = (e.next + 1) % capacity
	e.count = min(e.count+1, capacity)
}

// Age returns about how long ago a caller first sent a request that has the given time left. It
// is 0 unless the request can only be a retry.
func (e *Estimator) Age(left time.Duration) time.Duration {
	if e.count < minSamples {
		return 0
	}
	observed := slices.Clone(e.timesLeft[:e.count])
	shortest := slices.Min(observed)
	if float64(left) >= (1-marginShare)*float64(shortest) {
		return 0
	}
	slices.Sort(observed)
	return observed[len(observed)/2] - left
}
