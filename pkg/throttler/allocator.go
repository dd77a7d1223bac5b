package throttler

import (
	"cmp"
	"slices"
	"time"

	"bronzelead.example/pkg/windowcounter"
)

// Role is what an allocator shares out.
type Role int

// The roles.
const (
	// Owner shares out a backend server's limit.
	Owner Role = iota
	// Deputy shares out a part of the tolerance, to gateways that do not reach the owner.
	Deputy
)

const (
	// deputyShare is the part of a limit that its deputy shares out in addition to the owner.
	deputyShare = 0.2
	// burstTime is the time for which unused grants are kept, beside one request, so that
	// gaps between requests do not lower the rate.
	burstTime = 500 * time.Millisecond
	// capTolerance and capSlack bound a window: below what backend servers accept, since
	// what the deputy grants comes on top, and a gateway's latest sends are not known yet.
	capTolerance = 1.25
	capSlack     = 3
	// shortestRetry is the least time after which a request that was denied is tried again.
	shortestRetry = 20 * time.Millisecond
	// deputyRetry bounds that time at the deputy: the owner may answer again by then.
	deputyRetry = 100 * time.Millisecond
	// cappedRetry is that time while earlier sends fill the window.
	cappedRetry = 250 * time.Millisecond
)

// GrantRequest is a request that is to be sent to the backend server.
type GrantRequest struct {
	// Key tells asks apart.
	Key string
	// Urgency is the request's priority; 0 goes first.
	Urgency uint32
	// ReceivedAt orders requests of one priority, and GiveUp is when it is no use to wait.
	ReceivedAt time.Time
	Deadline   time.Time
	// CanWait is set if the request waits for its grant. Otherwise it is decided at once.
	CanWait bool
}

// Decision is what becomes of an ask.
type Decision struct {
	Granted bool
	// Waiting is set if the ask waits for Next.
	Waiting bool
	// RetryIn is when it would be granted, if it is neither granted nor waiting.
	RetryIn time.Duration
}

// Allocator shares out the request limit of one backend server. Set the exported field
// before use.
type Allocator struct {
	Role Role

	rate RequestRate
	// level is how many requests may be granted, as of filledAt.
	level    float64
	filledAt time.Time
	// granted are the grants in the window, and reported is what gateways sent without one.
	granted  windowcounter.Window
	reported map[string]*windowcounter.Window
	waiting  []GrantRequest
}

// SetRate takes the rate of the limit. A new allocator begins without stored grants: another
// one may have granted them just before.
func (a *Allocator) SetRate(now time.Time, rate RequestRate) {
	if a.Role == Deputy {
		rate *= deputyShare
	}
	if a.filledAt.IsZero() {
		a.filledAt = now
		a.granted.Length = Window
		a.reported = map[string]*windowcounter.Window{}
	}
	a.fill(now)
	a.rate = rate
	a.level = min(a.level, a.burst())
}

// burst is how many grants are stored at most.
func (a *Allocator) burst() float64 { return 1 + float64(a.rate)*burstTime.Seconds() }

func (a *Allocator) fill(now time.Time) {
	if passed := now.Sub(a.filledAt).Seconds(); passed > 0 {
		a.level = min(a.level+passed*float64(a.rate), a.burst())
		a.filledAt = now
	}
}

// RecordSends takes what a gateway sent in the window without a grant of this allocator.
func (a *Allocator) RecordSends(now time.Time, gateway string, parts []uint64) {
	if len(parts) == 0 {
		delete(a.reported, gateway)
		return
	}
	w := &windowcounter.Window{Length: Window}
	w.AddParts(now, parts)
	a.reported[gateway] = w
}

// isCapped reports whether the window has no room for a further request.
func (a *Allocator) isCapped(now time.Time) bool {
	sum := a.granted.Sum(now)
	for gateway, w := range a.reported {
		earlier := w.Sum(now)
		if earlier <= 0 {
			delete(a.reported, gateway)
		}
		sum += earlier
	}
	full := float64(a.rate)
	if a.Role == Deputy {
		full /= deputyShare
	}
	return sum+1 > capTolerance*full*Window.Seconds()+capSlack
}

// Submit decides on an ask, or lets it wait.
func (a *Allocator) Submit(now time.Time, ask GrantRequest) Decision {
	a.fill(now)
	ahead := 0
	for _, other := range a.waiting {
		if compare(other, ask) <= 0 {
			ahead++
		}
	}
	capped := a.isCapped(now)
	if ahead == 0 && a.level >= 1 && !capped {
		a.grant(now)
		return Decision{Granted: true}
	}
	wait := max(shortestRetry, a.timeUntil(float64(ahead)+1))
	if capped {
		wait = max(wait, cappedRetry)
	}
	if !ask.CanWait || !now.Add(wait).Before(ask.Deadline) {
		if a.Role == Deputy {
			wait = min(wait, deputyRetry)
		}
		return Decision{RetryIn: wait}
	}
	a.waiting = append(a.waiting, ask)
	return Decision{Waiting: true, RetryIn: wait}
}

// timeUntil returns the time until some requests could have been granted.
func (a *Allocator) timeUntil(requests float64) time.Duration {
	missing := requests - a.level
	if missing <= 0 || a.rate <= 0 {
		return 0
	}
	return time.Duration(missing / float64(a.rate) * float64(time.Second))
}

func (a *Allocator) grant(now time.Time) {
	a.level--
	a.granted.Add(now, 1)
}

// GrantDue returns the keys of waiting asks that are granted now, the most urgent first.
func (a *Allocator) GrantDue(now time.Time) []string {
	a.fill(now)
	a.waiting = slices.DeleteFunc(a.waiting, func(ask GrantRequest) bool { return !now.Before(ask.Deadline) })
	if len(a.waiting) == 0 {
		return nil
	}
	slices.SortFunc(a.waiting, compare)
	var keys []string
	for len(a.waiting) > 0 && a.level >= 1 && !a.isCapped(now) {
		keys = append(keys, a.waiting[0].Key)
		a.waiting = slices.Delete(a.waiting, 0, 1)
		a.grant(now)
	}
	return keys
}

// NextGrantIn returns when Next may grant something, and false if nothing waits.
func (a *Allocator) NextGrantIn(now time.Time) (time.Duration, bool) {
	if len(a.waiting) == 0 {
		return 0, false
	}
	a.fill(now)
	return max(shortestRetry, a.timeUntil(1)), true
}

// Withdraw takes back an ask that waits, and reports whether it did.
func (a *Allocator) Withdraw(key string) bool {
	before := len(a.waiting)
	a.waiting = slices.DeleteFunc(a.waiting, func(ask GrantRequest) bool { return ask.Key == key })
	return len(a.waiting) < before
}

// Idle reports whether nothing waits and nothing was granted or reported in the window.
func (a *Allocator) Idle(now time.Time) bool {
	return len(a.waiting) == 0 && a.granted.Sum(now) <= 0 && len(a.reported) == 0
}

// compare puts urgent requests first, and among equals the one that came first.
func compare(one, other GrantRequest) int {
	return cmp.Or(cmp.Compare(one.Urgency, other.Urgency), one.ReceivedAt.Compare(other.ReceivedAt), cmp.Compare(one.Key, other.Key))
}
