// Package retrier computes when a failed operation is tried again.
package retrier

import "time"

// Backoff is a delay that doubles with each failure in a row, up to a maximum.
type Backoff struct {
	// Initial is the delay after one failure, and Max the longest.
	Initial time.Duration
	Max     time.Duration
}

// maxDoublings keeps the shift within the range of time.Duration.
const maxDoublings = 16

// Delay returns the time until the next attempt after a number of failures in a row. Spread is
// a random number from 0 to 1 that shortens the delay by up to half, so that operations that
// failed together are not retried together.
func (b Backoff) Delay(failures int, spread float64) time.Duration {
	if failures <= 0 {
		return 0
	}
	wait := min(b.Initial<<min(failures-1, maxDoublings), b.Max)
	return wait - time.Duration(spread*float64(wait)/2)
}
