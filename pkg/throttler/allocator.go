package throttler

import (
	"cmp"
	"slices"
	"time"

	"bronzelead.example/pkg/windowcounter"
)

// Role is the part of a limit that an allocator grants.
type Role int

// The roles.
const (
	// Owner grants a backend server's limit.
	Owner Role = iota
	// Deputy grants a part of the tolerance, to gateways that can't reach the owner.
	Deputy
)

const (
	// deputyShare is the share of a limit that its deputy grants in addition to the owner.
	deputyShare = 0.2
	// burstTime is the time for which unused grants accumulate, in addition to one request, so
	// that gaps between requests do not lower the rate.
	burstTime = 500 * time.Millisecond
	// capTolerance and capSlack bound a window: below what backend servers accept, since the
	// deputy's grants come on top, and a gateway's latest sends are not known yet.
	capTolerance = 1.25
	capSlack     = 3
	// minRetry is the minimum time after which a denied request is retried.
	minRetry = 20 * time.Millisecond
	// maxDeputyRetry bounds that time at the deputy: the owner may answer again by then.
	maxDeputyRetry = 100 * time.Millisecond
	// cappedRetry is that time while earlier sends fill the window.
	cappedRetry = 250 * time.Millisecond
)

// GrantRequest asks for a grant to send one request to the backend server.
type GrantRequest struct {
	// Key identifies the grant request.
	Key string
	// Urgency is the request's priority; 0 is the most urgent.
	Urgency uint32
	// ReceivedAt orders requests of one priority. After Deadline a grant is of no use.
	ReceivedAt time.Time
	Deadline   time.Time
	// CanWait is set if the request may wait for its grant. Otherwise it is decided
	// immediately.
	CanWait bool
}

// Decision is the result of a grant request.
type Decision struct {
	Granted bool
	// Waiting is set if the request waits for GrantDue.
	Waiting bool
	// RetryIn is when it would be granted, if it is neither granted nor waiting.
	RetryIn time.Duration
}

// Allocator grants requests under the request limit of one backend server. Set the exported
// field before use.
type Allocator struct {
	Role Role

	rate RequestRate
	// tokens is how many requests may be granted, as of refilledAt.
	tokens     float64
	refilledAt time.Time
	// granted counts the grants in the window, and reported what gateways sent without one.
	granted  windowcounter.Window
	reported map[string]*windowcounter.Window
	waiting  []GrantRequest
}

// SetRate sets the rate of the limit. A new allocator starts without accumulated grants:
// another one may have granted them just before.
func (a *Allocator) SetRate(now time.Time, rate RequestRate) {
	if a.Role == Deputy {
		rate *= deputyShare
	}
	if a.refilledAt.IsZero() {
		a.refilledAt = now
		a.granted.Length = Window
		a.reported = map[string]*windowcounter.Window{}
	}
	a.refill(now)
	a.rate = rate
	a.tokens = min(a.tokens, a.burst())
}

// burst is the maximum number of accumulated grants.
func (a *Allocator) burst() float64 { return 1 + float64(a.rate)*burstTime.Seconds() }

func (a *Allocator) refill(now time.Time) {
	if passed := now.Sub(a.refilledAt).Seconds(); passed > 0 {
		a.tokens = min(a.tokens+passed*float64(a.rate), a.burst())
		a.refilledAt = now
	}
}

// RecordSends records what a gateway sent in the window without a grant of this allocator.
func (a *Allocator) RecordSends(now time.Time, gateway string, parts []uint64) {
	if len(parts) == 0 {
		delete(a.reported, gateway)
		return
	}
	w := &windowcounter.Window{Length: Window}
	w.AddParts(now, parts)
	a.reported[gateway] = w
}

// isCapped reports whether the window has no room for another request.
func (a *Allocator) isCapped(now time.Time) bool {
	sum := a.granted.Sum(now)
	for gateway, w := range a.reported {
		earlier := w.Sum(now)
		if earlier <= 0 {
			delete(a.reported, gateway)
		}
		sum += earlier
	}
	fullRate := float64(a.rate)
	if a.Role == Deputy {
		fullRate /= deputyShare
	}
	return sum+1 > capTolerance*fullRate*Window.Seconds()+capSlack
}

// Submit decides on a grant request, or queues it.
func (a *Allocator) Submit(now time.Time, req GrantRequest) Decision {
	a.refill(now)
	ahead := 0
	for _, other := range a.waiting {
		if compare(other, req) <= 0 {
			ahead++
		}
	}
	capped := a.isCapped(now)
	if ahead == 0 && a.tokens >= 1 && !capped {
		a.grant(now)
		return Decision{Granted: true}
	}
	wait := max(minRetry, a.timeUntil(float64(ahead)+1))
	if capped {
		wait = max(wait, cappedRetry)
	}
	if !req.CanWait || !now.Add(wait).Before(req.Deadline) {
		if a.Role == Deputy {
			wait = min(wait, maxDeputyRetry)
		}
		return Decision{RetryIn: wait}
	}
	a.waiting = append(a.waiting, req)
	return Decision{Waiting: true, RetryIn: wait}
}

// timeUntil returns the time until a number of requests can be granted.
func (a *Allocator) timeUntil(requests float64) time.Duration {
	missing := requests - a.tokens
	if missing <= 0 || a.rate <= 0 {
		return 0
	}
	return time.Duration(missing / float64(a.rate) * float64(time.Second))
}

func (a *Allocator) grant(now time.Time) {
	a.tokens--
	a.granted.Add(now, 1)
}

// GrantDue returns the keys of waiting requests that are granted now, the most urgent first.
func (a *Allocator) GrantDue(now time.Time) []string {
	a.refill(now)
	a.waiting = slices.DeleteFunc(a.waiting, func(req GrantRequest) bool { return !now.Before(req.Deadline) })
	if len(a.waiting) == 0 {
		return nil
	}
	slices.SortFunc(a.waiting, compare)
	var keys []string
	for len(a.waiting) > 0 && a.tokens >= 1 && !a.isCapped(now) {
		keys = append(keys, a.waiting[0].Key)
		a.waiting = slices.Delete(a.waiting, 0, 1)
		a.grant(now)
	}
	return keys
}

// NextGrantIn returns the time until GrantDue may grant something, and false if nothing waits.
func (a *Allocator) NextGrantIn(now time.Time) (time.Duration, bool) {
	if len(a.waiting) == 0 {
		return 0, false
	}
	a.refill(now)
	return max(minRetry, a.timeUntil(1)), true
}

// Withdraw removes a waiting request, and reports whether it did.
func (a *Allocator) Withdraw(key string) bool {
	before := len(a.waiting)
	a.waiting = slices.DeleteFunc(a.waiting, func(req GrantRequest) bool { return req.Key == key })
	return len(a.waiting) < before
}

// Idle reports whether nothing waits and nothing was granted or reported in the window.
func (a *Allocator) Idle(now time.Time) bool {
	return len(a.waiting) == 0 && a.granted.Sum(now) <= 0 && len(a.reported) == 0
}

// compare orders requests by urgency, then by age.
func compare(one, other GrantRequest) int {
	return cmp.Or(cmp.Compare(one.Urgency, other.Urgency), one.ReceivedAt.Compare(other.ReceivedAt), cmp.Compare(one.Key, other.Key))
}
