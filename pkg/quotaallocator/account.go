package quotaallocator

import (
	"math"
	"time"

	"bronzelead.example/pkg/windowcounter"
	"bronzelead.example/pkg/wire"
)

const (
	// offlineAfter is the time without an answer of the leader after which the allowance is
	// spent: longer than a call takes.
	offlineAfter = 400 * time.Millisecond
	// prefetchPeriod is the time for which a gateway prefetches quota: a few calls.
	prefetchPeriod = 600 * time.Millisecond
	// rateTimeConstant is the time over which the rate of the demand is averaged.
	rateTimeConstant = 4 * time.Second
	// refusalTTL is how long a "no room" answer of the leader is valid.
	refusalTTL = 100 * time.Millisecond
)

// Account is a gateway's side of one customer's limit. The zero value has no quota.
type Account struct {
	leaseID        uint64
	granted, spent uint64
	// held is reserved for requests that were admitted and are not sent yet.
	held uint64
	// lastContactAt is the start of the latest call that the leader answered.
	lastContactAt time.Time
	allowance     float64
	reserve       float64
	overdraft     uint64
	// recent is what was sent in the window of the limit's rule.
	recent windowcounter.Window
	// allowanceDrawnAt is when the allowance was drawn last; zero while the leader answers.
	allowanceDrawnAt time.Time
	// expired is set once the granted and unspent quota has expired.
	expired bool
	// allowanceRemainder is the drawn part of the allowance that is smaller than one unit.
	allowanceRemainder float64
	// rate is the demand per second as of rateAt, and size the average size of a request.
	rate   float64
	rateAt time.Time
	size   float64
	// refused counts the requests that were refused since the latest answered call.
	refused uint64
	// retryAt is when the leader expects room, by its answer at refusedAt.
	refusedAt time.Time
	retryAt   time.Time
}

// unspent returns what may be spent now.
func (a *Account) unspent(now time.Time) uint64 {
	a.drawAllowance(now)
	if a.granted <= a.spent+a.held {
		return 0
	}
	return a.granted - a.spent - a.held
}

// drawAllowance adds the allowance for the time without the leader.
func (a *Account) drawAllowance(now time.Time) {
	if a.lastContactAt.IsZero() || now.Sub(a.lastContactAt) < offlineAfter {
		return
	}
	if !a.expired && now.Sub(a.lastContactAt) > LeaseTTL {
		a.expired = true
		a.granted = min(a.granted, a.spent+a.held)
	}
	until := a.lastContactAt.Add(MaxOffline)
	if now.Before(until) {
		until = now
	}
	if a.allowanceDrawnAt.IsZero() {
		a.allowanceDrawnAt = a.lastContactAt.Add(offlineAfter)
	}
	if passed := until.Sub(a.allowanceDrawnAt).Seconds(); passed > 0 {
		a.allowanceRemainder += passed * a.allowance
		a.allowanceDrawnAt = until
	}
	whole := math.Floor(a.allowanceRemainder)
	a.allowanceRemainder -= whole
	a.granted += uint64(whole)
}

// RecordDemand records the size of a new request.
func (a *Account) RecordDemand(now time.Time, size uint64) {
	a.decayRate(now)
	a.rate += float64(size) / rateTimeConstant.Seconds()
	if a.size == 0 {
		a.size = float64(size)
	}
	a.size += (float64(size) - a.size) / sizeSmoothing
}

// sizeSmoothing is the number of requests over which their size is averaged.
const sizeSmoothing = 8

func (a *Account) decayRate(now time.Time) {
	if passed := now.Sub(a.rateAt).Seconds(); passed > 0 {
		a.rate *= math.Exp(-passed / rateTimeConstant.Seconds())
		a.rateAt = now
	}
}

// Hold reserves quota for a request, and reports whether there was enough.
func (a *Account) Hold(now time.Time, size uint64) bool {
	unspent := a.unspent(now)
	if unspent < size && (a.allowanceDrawnAt.IsZero() || now.Sub(a.lastContactAt) > MaxOffline || a.granted+a.overdraft < a.spent+a.held+size) {
		return false
	}
	a.held += size
	return true
}

// Release returns what was held for a request that has certainly not run.
func (a *Account) Release(size uint64) { a.held -= min(size, a.held) }

// Spend turns what was held for a request into spent quota.
func (a *Account) Spend(now time.Time, size uint64) {
	a.Release(size)
	a.spent += size
	a.recent.Add(now, float64(size))
}

// Refund reverses Spend for a request that has certainly not run, and holds its quota for
// another attempt.
func (a *Account) Refund(now time.Time, size uint64) {
	a.spent -= min(size, a.spent)
	a.held += size
	a.recent.Add(now, -float64(size))
}

// RetryIn returns the time until there will be room if the leader has just answered that there
// is none, else 0.
func (a *Account) RetryIn(now time.Time) time.Duration {
	if now.Sub(a.refusedAt) >= refusalTTL {
		return 0
	}
	return max(a.retryAt.Sub(now), minRetry)
}

// Idle reports whether there is nothing to report to the leader.
func (a *Account) Idle(now time.Time) bool {
	a.decayRate(now)
	return !a.inDemand() && a.held == 0 && a.granted <= a.spent && a.allowance == 0 && a.recent.Sum(now) <= 0
}

// minRate is the demand, in requests per second, below which a customer counts as unused at
// this gateway.
const minRate = 0.02

// inDemand reports whether requests of the customer come here. The rate must be as of now.
func (a *Account) inDemand() bool { return a.rate > minRate*a.size }

// RecordRefusal counts a refused request.
func (a *Account) RecordRefusal() { a.refused++ }

// Report returns the report to the leader; needed is what waiting requests need. Without demand
// the unspent quota is returned.
func (a *Account) Report(now time.Time, customer string, needed uint64) *wire.CreditAccount {
	a.decayRate(now)
	unspent := a.unspent(now)
	report := &wire.CreditAccount{
		Customer: customer, Account: a.leaseID, Spent: a.spent, Kept: a.reserve,
		Refused: a.refused, Recent: a.recent.Parts(now),
	}
	if !a.inDemand() && needed == 0 && a.held == 0 {
		a.granted = a.spent
		return report
	}
	report.Rate = max(a.rate, minRate)
	if needed > unspent {
		report.Needed = needed - unspent
	}
	prefetch := uint64(a.rate*prefetchPeriod.Seconds()+a.size) + needed
	report.Wished = prefetch - min(prefetch, unspent+report.GetNeeded())
	return report
}

// Receive takes the leader's answer to a report that was made at calledAt.
func (a *Account) Receive(now, calledAt time.Time, c *wire.Credit) {
	if c.GetAccount() != a.leaseID {
		// Another leader, or this one has dropped the lease. What was spent beyond the granted
		// quota counts for the new lease, and so does what is held.
		a.leaseID = c.GetAccount()
		a.spent -= min(a.spent, a.granted)
	}
	a.granted = c.GetLent()
	a.refused = 0
	a.lastContactAt, a.allowanceDrawnAt, a.allowanceRemainder, a.expired = calledAt, time.Time{}, 0, false
	if length := time.Duration(c.GetWindowMs()) * time.Millisecond; length != a.recent.Length {
		a.recent = windowcounter.Window{Length: length}
	}
	a.allowance, a.overdraft, a.reserve = c.GetAllowance(), c.GetOverdraft(), c.GetKept()
	if c.GetRoomInMs() > 0 {
		a.refusedAt = now
		a.retryAt = now.Add(time.Duration(c.GetRoomInMs()) * time.Millisecond)
	}
}

// Reset drops the lease, as after a change of the limit: quota granted under another limit may
// be more than the new one allows.
func (a *Account) Reset() {
	*a = Account{held: a.held, rate: a.rate, rateAt: a.rateAt, size: a.size, recent: a.recent}
}

// Status is the state behind a decision, for logs.
type Status struct {
	// Unspent is what could be spent, Held what is held for admitted requests, and Allowance
	// what may be spent per second without the leader.
	Unspent, Held, Allowance uint64
	// Age is the time since the latest answered call to the leader.
	Age time.Duration
}

// Status returns the current state.
func (a *Account) Status(now time.Time) Status {
	return Status{Unspent: a.unspent(now), Held: a.held, Allowance: uint64(a.allowance), Age: now.Sub(a.lastContactAt)}
}
