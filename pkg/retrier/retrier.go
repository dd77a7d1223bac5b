// Package retrier says when something that failed is tried again.
package retrier

import "time"

// Backoff is a wait that doubles with each failure in a row, up to a bound.
type Backoff struct {
	// Initial is the wait after one failure, and Most the longest.
	Initial time.Duration
	Max     time.Duration
}

// maxDoublings keeps the shift within the range of time.Duration.
const maxDoublings = 16

// Delay returns the time until the next try after some failures in a row. Spread is a
// random number from 0 to 1: up to half of the wait is left away, so that what has failed
// together is not tried again together.
func (b Backoff) Delay(failures int, spread float64) time.Duration {
	if failures <= 0 {
		return 0
	}
	wait := min(b.Initial<<min(failures-1, maxDoublings), b.Max)
	return wait - time.Duration(spread*float64(wait)/2)
}
