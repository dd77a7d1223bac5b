// Package budgeter bounds how many requests are sent a second time. A failure that
// many requests meet at once must not multiply the load on the backend servers that
// still work. It is pure.
package retrylimiter

import "time"

// parts is the number of parts that a window is counted in.
const parts = 10

// Limiter bounds the repeats to one service. Set the exported fields before use.
type Limiter struct {
	// Window is the span over which repeats are counted.
	Window time.Duration
	// Ratio is the part of the requests that may be sent again.
	Ratio float64

	counts [parts + 1]count
	at     int64
}

type count struct{ requests, repeats int }

// RecordRequest counts a request that came from a caller.
func (b *Limiter) RecordRequest(now time.Time) {
	b.advance(now)
	b.current().requests++
}

// AllowRetry counts a repeat and reports true if the budget has room for it. Slack is this
// gateway's share of the repeats that are allowed beside the ratio.
func (b *Limiter) AllowRetry(now time.Time, slack float64) bool {
	b.advance(now)
	sum := count{}
	for i, c := range b.counts {
		sum.repeats += c.repeats
		if int64(i) != (b.at+1)%int64(len(b.counts)) {
			// The oldest part may lie outside of the window: its repeats count, and its
			// requests don't.
			sum.requests += c.requests
		}
	}
	if float64(sum.repeats+1) > b.Ratio*float64(sum.requests)+slack {
		return false
	}
	b.current().repeats++
	return true
}

func (b *Limiter) current() *count { return &b.counts[b.at%int64(len(b.counts))] }

// advance clears the parts that lie a window back.
func (b *Limiter) advance(now time.Time) {
	at := now.UnixNano() / int64(b.Window/parts)
	if at-b.at > int64(len(b.counts)) {
		b.counts = [parts + 1]count{}
		b.at = at
	}
	for b.at < at {
		b.at++
		*b.current() = count{}
	}
}
