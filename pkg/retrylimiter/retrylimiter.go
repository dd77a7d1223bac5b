// Package retrylimiter limits how many requests are sent a second time. A failure that affects
// many requests at the same time must not multiply the load on the backend servers that still
// work. It has no side effects.
package retrylimiter

import "time"

// bucketsPerWindow is the number of buckets that a window is counted in.
const bucketsPerWindow = 10

// Limiter limits the retries to one service. Set the exported fields before use.
type Limiter struct {
	// Window is the span over which retries are counted.
	Window time.Duration
	// Ratio is the fraction of the requests that may be retried.
	Ratio float64
	// Since is when the process began to count. Another one may have sent any number of retries in
	// its place before, so that none is allowed until those are out of the window.
	Since time.Time

	counts   [bucketsPerWindow + 1]count
	position int64
	// pending is the number of retries that were allowed and not sent yet.
	pending int
}

type count struct{ requests, retries int }

// RecordRequest counts a request of a caller that was sent at a time, now or before.
func (l *Limiter) RecordRequest(now, sentAt time.Time) {
	l.advance(now)
	if position := l.positionOf(sentAt); l.position-position < int64(len(l.counts)) {
		l.counts[position%int64(len(l.counts))].requests++
	}
}

// AllowRetry reports whether the limit allows a retry. An allowed one is pending until RecordSent or
// Withdraw. Slack is this gateway's share of the retries that are allowed beyond the ratio.
func (l *Limiter) AllowRetry(now time.Time, slack float64) bool {
	if now.Sub(l.Since) < l.Window {
		return false
	}
	requests, retries := l.Usage(now)
	if float64(retries+1) > l.Ratio*float64(requests)+slack {
		return false
	}
	l.pending++
	return true
}

// RecordSent counts a pending retry in the window in which it is sent. It may have waited for long.
func (l *Limiter) RecordSent(now time.Time) {
	l.advance(now)
	l.pending--
	l.current().retries++
}

// Withdraw ends a pending retry that is not sent.
func (l *Limiter) Withdraw() { l.pending-- }

// Usage returns the requests and the retries in the window that ends now, with the pending ones.
func (l *Limiter) Usage(now time.Time) (requests, retries int) {
	l.advance(now)
	retries = l.pending
	for i, c := range l.counts {
		retries += c.retries
		if int64(i) != (l.position+1)%int64(len(l.counts)) {
			// The oldest bucket may lie outside of the window: its retries count, and its
			// requests don't.
			requests += c.requests
		}
	}
	return requests, retries
}

func (l *Limiter) current() *count { return &l.counts[l.position%int64(len(l.counts))] }

// positionOf returns the number of the bucket of a time.
func (l *Limiter) positionOf(t time.Time) int64 {
	return t.UnixNano() / int64(l.Window/bucketsPerWindow)
}

// advance clears the buckets that are older than a window.
func (l *Limiter) advance(now time.Time) {
	position := l.positionOf(now)
	if position-l.position > int64(len(l.counts)) {
		l.counts = [bucketsPerWindow + 1]count{}
		l.position = position
	}
	for l.position < position {
		l.position++
		*l.current() = count{}
	}
}
