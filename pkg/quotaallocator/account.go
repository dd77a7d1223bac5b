package quotaallocator

import (
	"math"
	"time"

	"bronzelead.example/pkg/windowcounter"
	"bronzelead.example/pkg/wire"
)

const (
	// aloneAfter is the time without the leader's word after which the allowance is spent:
	// longer than a call takes.
	aloneAfter = 400 * time.Millisecond
	// wishFor is the time for which a gateway would like to have credit: a few calls.
	wishFor = 600 * time.Millisecond
	// rateOver is the time over which the rate of what is asked for is taken.
	rateOver = 4 * time.Second
	// trustFor is how long the leader's word that there is no room is believed.
	trustFor = 100 * time.Millisecond
)

// Account is a gateway's side of one customer's limit. The zero value has nothing.
type Account struct {
	account     uint64
	lent, spent uint64
	// held is for requests that were let in and are not sent yet.
	held uint64
	// heard is when the call was made that the leader answered last.
	heard     time.Time
	allowance float64
	kept      float64
	overdraft uint64
	// recent is what was sent on in the window of the limit's rule.
	recent windowcounter.Window
	// alone is when the allowance was drawn last; zero while the leader is heard.
	alone time.Time
	// expired is set once what was lent and not spent has expired.
	expired bool
	// drawn is the part of the allowance that is drawn and smaller than one unit.
	drawn float64
	// rate is what is asked for in a second, as of rated, and size that of a request.
	rate  float64
	rated time.Time
	size  float64
	// refused counts the requests that were refused since the call that was answered last.
	refused uint64
	// retryAt is when the leader expects room, by its word of refusedAt.
	refusedAt time.Time
	retryAt   time.Time
}

// credit returns what may be spent now.
func (p *Account) credit(now time.Time) uint64 {
	p.draw(now)
	if p.lent <= p.spent+p.held {
		return 0
	}
	return p.lent - p.spent - p.held
}

// draw adds the allowance of the time without the leader's word.
func (p *Account) draw(now time.Time) {
	if p.heard.IsZero() || now.Sub(p.heard) < aloneAfter {
		return
	}
	if !p.expired && now.Sub(p.heard) > LeaseTTL {
		p.expired = true
		p.lent = min(p.lent, p.spent+p.held)
	}
	until := p.heard.Add(MaxOffline)
	if now.Before(until) {
		until = now
	}
	if p.alone.IsZero() {
		p.alone = p.heard.Add(aloneAfter)
	}
	if passed := until.Sub(p.alone).Seconds(); passed > 0 {
		p.drawn += passed * p.allowance
		p.alone = until
	}
	whole := math.Floor(p.drawn)
	p.drawn -= whole
	p.lent += uint64(whole)
}

// RecordDemand notes that a request of a size is asked for.
func (p *Account) RecordDemand(now time.Time, size uint64) {
	p.decay(now)
	p.rate += float64(size) / rateOver.Seconds()
	if p.size == 0 {
		p.size = float64(size)
	}
	p.size += (float64(size) - p.size) / sizeOver
}

// sizeOver is the number of requests over which their size is taken.
const sizeOver = 8

func (p *Account) decay(now time.Time) {
	if passed := now.Sub(p.rated).Seconds(); passed > 0 {
		p.rate *= math.Exp(-passed / rateOver.Seconds())
		p.rated = now
	}
}

// Hold takes credit for a request, and reports whether there was enough.
func (p *Account) Hold(now time.Time, size uint64) bool {
	credit := p.credit(now)
	if credit < size && (p.alone.IsZero() || now.Sub(p.heard) > MaxOffline || p.lent+p.overdraft < p.spent+p.held+size) {
		return false
	}
	p.held += size
	return true
}

// Release gives back what was held for a request that has certainly not run.
func (p *Account) Release(size uint64) { p.held -= min(size, p.held) }

// Spend turns what was held for a request into what was sent on.
func (p *Account) Spend(now time.Time, size uint64) {
	p.Release(size)
	p.spent += size
	p.recent.Add(now, float64(size))
}

// Refund takes back that a request was sent on, which has certainly not run, and holds its
// credit for another try.
func (p *Account) Refund(now time.Time, size uint64) {
	p.spent -= min(size, p.spent)
	p.held += size
	p.recent.Add(now, -float64(size))
}

// RetryIn returns after which time there will be room, if the leader has just said that
// there is none, or 0.
func (p *Account) RetryIn(now time.Time) time.Duration {
	if now.Sub(p.refusedAt) >= trustFor {
		return 0
	}
	return max(p.retryAt.Sub(now), shortestWait)
}

// Idle reports whether the leader need not be told anything.
func (p *Account) Idle(now time.Time) bool {
	p.decay(now)
	return !p.wanted() && p.held == 0 && p.lent <= p.spent && p.allowance == 0 && p.recent.Sum(now) <= 0
}

// leastRate is the rate below which a customer counts as one that nobody asks for here, in
// requests a second.
const leastRate = 0.02

// wanted reports whether the customer is asked for here. The rate must be as of now.
func (p *Account) wanted() bool { return p.rate > leastRate*p.size }

// RecordRefusal notes that a request was refused.
func (p *Account) RecordRefusal() { p.refused++ }

// Report returns what the leader is told; needed is what waiting requests need. Where
// nothing is asked for any more the credit is given up.
func (p *Account) Report(now time.Time, customer string, needed uint64) *wire.CreditAccount {
	p.decay(now)
	credit := p.credit(now)
	said := &wire.CreditAccount{
		Customer: customer, Account: p.account, Spent: p.spent, Kept: p.kept,
		Refused: p.refused, Recent: p.recent.Parts(now),
	}
	if !p.wanted() && needed == 0 && p.held == 0 {
		p.lent = p.spent
		return said
	}
	said.Rate = max(p.rate, leastRate)
	if needed > credit {
		said.Needed = needed - credit
	}
	wished := uint64(p.rate*wishFor.Seconds()+p.size) + needed
	said.Wished = wished - min(wished, credit+said.GetNeeded())
	return said
}

// Receive takes the leader's word on a report that was made at a time.
func (p *Account) Receive(now, asked time.Time, c *wire.Credit) {
	if c.GetAccount() != p.account {
		// Another leader, or this one has forgotten the account. What was spent beyond the
		// credit counts for the new one, as what is held does.
		p.account = c.GetAccount()
		p.spent -= min(p.spent, p.lent)
	}
	p.lent = c.GetLent()
	p.refused = 0
	p.heard, p.alone, p.drawn, p.expired = asked, time.Time{}, 0, false
	if length := time.Duration(c.GetWindowMs()) * time.Millisecond; length != p.recent.Length {
		p.recent = windowcounter.Window{Length: length}
	}
	p.allowance, p.overdraft, p.kept = c.GetAllowance(), c.GetOverdraft(), c.GetKept()
	if c.GetRoomInMs() > 0 {
		p.refusedAt = now
		p.retryAt = now.Add(time.Duration(c.GetRoomInMs()) * time.Millisecond)
	}
}

// Reset forgets the account, as when the limit has changed: credit by another limit may be
// more than the new one allows.
func (p *Account) Reset() {
	*p = Account{held: p.held, rate: p.rate, rated: p.rated, size: p.size, recent: p.recent}
}

// Status is what decided on a request, for logs.
type Status struct {
	// Unspent is what could be spent, Held what is held for requests that were let in, and
	// Allowance what may be spent in a second without the leader.
	Unspent, Held, Allowance uint64
	// Age is how old the leader's word is.
	Age time.Duration
}

// Status returns what decides now.
func (p *Account) Status(now time.Time) Status {
	return Status{Unspent: p.credit(now), Held: p.held, Allowance: uint64(p.allowance), Age: now.Sub(p.heard)}
}
