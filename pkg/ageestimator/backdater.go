// Package backdater estimates how long ago a caller first sent a request that it may have
// retried. A retry does not say that it is one, but it has less time left than first tries
// have. The forwarder observes first tries by route, and asks for the age of other requests.
// It is pure.
package ageestimator

import (
	"slices"
	"time"
)

const (
	// capacity is the number of first tries that are remembered.
	capacity = 32
	// leastKnown is the number of first tries below which nothing is estimated.
	leastKnown = 8
	// marginShare is the share of a first try's time by which a retry has less than all of
	// them. Callers' times differ, and the shortest may not have been observed yet.
	marginShare = 0.02
)

// Estimator remembers the time that callers had left at their latest first tries. The zero
// value knows none.
type Estimator struct {
	left  [capacity]time.Duration
	known int
	next  int
}

// Observe takes the time that a caller has left at a first try.
func (b *Estimator) Observe(left time.Duration) {
	b.left[b.next] = left
	b.next = (b.next + 1) % capacity
	b.known = min(b.known+1, capacity)
}

// Age returns about how long ago a caller first sent a request for which it has a time left. It
// is 0 unless the request can only be a retry.
func (b *Estimator) Age(left time.Duration) time.Duration {
	if b.known < leastKnown {
		return 0
	}
	observed := slices.Clone(b.left[:b.known])
	shortest := slices.Min(observed)
	if float64(left) >= (1-marginShare)*float64(shortest) {
		return 0
	}
	slices.Sort(observed)
	return observed[len(observed)/2] - left
}
