// Package lender keeps a customer's limit over all gateways together: the leader lends
// credit out of one bucket, and each gateway spends what it was lent. It is pure: calls and
// the time go in, credit comes out.
//
// In any window no more is spent than the bucket gives in it and what gateways had unspent
// at its begin. That, what a new leader gives without knowing what the one before it lent,
// and what gateways may send while no leader can be asked, all come out of one fund: what
// the limit's rule allows beyond rate and burst for lag.
package lender

import (
	"cmp"
	"slices"
	"time"

	"bronzelead.example/pkg/wire"
)

const (
	// lentPart is the part of the fund that gateways may have unspent. Credit of two leaders
	// may be about at once.
	lentPart = 0.35
	// overdraftPart is the part of the fund that all gateways together may spend beyond their
	// allowances, so that a request passes which is larger than the allowance of a moment.
	overdraftPart = 0.15
	// wishPart is the part of what may be unspent that is lent for requests to come, and
	// fullBucket the part of the burst that must be there for it: below, all is for requests
	// that wait.
	wishPart   = 0.5
	fullBucket = 0.5
	// Lease is how long a gateway may spend credit after its last call.
	Lease = 2 * time.Second
	// forgetAfter is when the leader takes the credit of a silent gateway for expired.
	forgetAfter = AloneFor + Lease
	// AloneFor is how long a gateway spends its allowance at most.
	AloneFor = 4 * time.Second
	// leastRefill is the part of the rate that a new leader lends at least before it has
	// heard who spends an allowance: after the loss of all gateways nobody does.
	leastRefill = 0.5
	// shortestWait and longestWait bound when a refused caller is told to come back.
	shortestWait = 100 * time.Millisecond
	longestWait  = 2 * time.Second
	// callsPerSecond bounds the calls of all gateways together that only tell what was spent,
	// where soonestCall and latestCall allow it.
	callsPerSecond = 330
	soonestCall    = 250 * time.Millisecond
	latestCall     = time.Second
)

// Rule says how much may be spent beyond a customer's limit, over all gateways: in any
// window no more than (rate × Window + burst) × (1 + Overage) + Slack.
type Rule struct {
	Window  time.Duration
	Overage float64
	// Slack counts in the unit of the limit.
	Slack float64
}

func (r Rule) fund(l *wire.CustomerLimit) float64 {
	return r.Overage*(l.GetRatePerSecond()*r.Window.Seconds()+l.GetBurst()) + r.Slack
}

// Lender is the leader's side. Set the exported fields, then call Begin.
type Lender struct {
	Rule Rule
	// Gateways is the number of gateways that may serve.
	Gateways int

	began     time.Time
	customers map[string]*customer
	// opened numbers the accounts; it begins with the term, so that no two leaders give the
	// same number.
	opened uint64
}

type customer struct {
	limit *wire.CustomerLimit
	// level is what the bucket holds, as of filled; below 0 after gateways have spent more
	// than they were lent.
	level  float64
	filled time.Time
	// unspent is the sum of what gateways were lent and have not said to have spent.
	unspent float64
	// rate is the sum of what gateways are asked for in a second.
	rate float64
	// presented is the sum of the allowances that the leader before this one gave to the
	// gateways that were heard.
	presented float64
	// missing is what gateways needed since the last look and were not lent.
	missing  float64
	accounts map[string]*account
}

// account is what one gateway has of a customer's limit.
type account struct {
	id          uint64
	lent, spent uint64
	rate        float64
	allowance   float64
	heard       time.Time
	// assumed is what was taken from the bucket for the allowance of a silent gateway.
	assumed float64
}

func (a *account) unspent() float64 {
	if a.spent >= a.lent {
		return 0
	}
	return float64(a.lent - a.spent)
}

// Begin begins a term as leader, with nothing known of what others have lent.
func (l *Lender) Begin(now time.Time, term uint64, customers []*wire.RoutedCustomer) {
	const termBits = 32
	l.began, l.opened, l.customers = now, term<<termBits, map[string]*customer{}
	l.SetCustomers(now, customers)
}

// SetCustomers takes the limits in force. What was spent goes on to count.
func (l *Lender) SetCustomers(now time.Time, customers []*wire.RoutedCustomer) {
	if l.customers == nil {
		return
	}
	named := map[string]bool{}
	for _, listed := range customers {
		limit := listed.GetLimit()
		if limit == nil {
			continue
		}
		named[listed.GetName()] = true
		c := l.customers[listed.GetName()]
		if c == nil {
			c = &customer{filled: now, accounts: map[string]*account{}, limit: limit}
			l.customers[listed.GetName()] = c
		}
		l.fill(now, c)
		c.limit = limit
		c.level = min(c.level, limit.GetBurst())
	}
	for name := range l.customers {
		if !named[name] {
			delete(l.customers, name)
		}
	}
}

// fill lets the bucket fill up to now.
func (l *Lender) fill(now time.Time, c *customer) {
	passed := now.Sub(c.filled).Seconds()
	if passed <= 0 {
		return
	}
	c.filled = now
	c.level = min(c.level+passed*l.refill(now, c), c.limit.GetBurst())
}

// refill returns what the bucket gets in a second. While the allowances of the leader before
// may still be spent, only as much as gateways have given up by calling.
func (l *Lender) refill(now time.Time, c *customer) float64 {
	rate := c.limit.GetRatePerSecond()
	if now.Sub(l.began) >= AloneFor {
		return rate
	}
	return min(rate, max(leastRefill*rate, c.presented))
}

// Borrow takes what a gateway says, and returns its credit.
func (l *Lender) Borrow(now time.Time, b *wire.Borrower) *wire.BorrowerCredit {
	res := &wire.BorrowerCredit{}
	for _, said := range b.GetAccounts() {
		if c := l.customers[said.GetCustomer()]; c != nil {
			l.fill(now, c)
			res.Credits = append(res.Credits, l.lend(now, c, b.GetGateway(), said))
		}
	}
	return res
}

func (l *Lender) lend(now time.Time, c *customer, gateway string, said *wire.CreditAccount) *wire.Credit {
	a := l.account(now, c, gateway, said)
	c.note(a, said)
	a.heard = now
	granted := l.grant(c, said)
	a.lent += uint64(granted)
	c.level -= granted
	c.unspent += granted
	a.allowance = l.allowance(now, c, a)
	credit := &wire.Credit{Customer: said.GetCustomer(), Account: a.id, Lent: a.lent, Allowance: uint64(a.allowance),
		Overdraft: uint64(overdraftPart * l.Rule.fund(c.limit) / float64(max(l.Gateways, len(c.accounts))))}
	if missing := float64(said.GetNeeded()) - granted; missing > 0 {
		c.missing += missing
		credit.RoomInMs = uint32(c.roomIn(missing).Milliseconds())
	}
	return credit
}

// account returns a gateway's account, a new one if it names none that is known.
func (l *Lender) account(now time.Time, c *customer, gateway string, said *wire.CreditAccount) *account {
	a := c.accounts[gateway]
	if a != nil && a.id == said.GetAccount() {
		return a
	}
	if a != nil {
		c.close(gateway, a)
	} else if now.Sub(l.began) < AloneFor {
		c.presented += float64(said.GetAllowance())
	}
	l.opened++
	a = &account{id: l.opened, heard: now}
	c.accounts[gateway] = a
	return a
}

// note takes what a gateway has spent. What it has spent beyond its credit, by its
// allowance, is taken from the bucket, less what was taken for it before.
func (c *customer) note(a *account, said *wire.CreditAccount) {
	c.unspent -= a.unspent()
	beyond := 0.0
	if said.GetAccount() == a.id {
		a.spent = said.GetSpent()
	}
	if said.GetRate() == 0 && said.GetNeeded() == 0 {
		// The gateway has given up what it had and did not spend.
		c.level += a.unspent()
		a.lent = max(a.spent, a.lent-uint64(a.unspent()))
	}
	if a.spent > a.lent {
		beyond = float64(a.spent - a.lent)
		a.lent = a.spent
	}
	c.level = min(c.level+a.assumed-beyond, c.limit.GetBurst())
	a.assumed = 0
	c.unspent += a.unspent()
	c.rate += float64(said.GetRate()) - a.rate
	a.rate = float64(said.GetRate())
}

// grant returns what is lent now, in whole units.
func (l *Lender) grant(c *customer, said *wire.CreditAccount) float64 {
	room := lentPart * l.Rule.fund(c.limit)
	granted := min(float64(said.GetNeeded()), c.level, room-c.unspent)
	if c.unspent == 0 {
		// One request that is larger than what all may have unspent.
		granted = min(float64(said.GetNeeded()), c.level)
	}
	granted = max(0, granted)
	spare := min(wishPart*room-c.unspent-granted, c.level-granted-fullBucket*c.limit.GetBurst())
	granted += max(0, min(float64(said.GetWished()), spare))
	return float64(uint64(granted))
}

// allowance returns a gateway's part of what the bucket gets, in proportion to what it is
// asked for. What others may still have of the leader before is left out.
func (l *Lender) allowance(now time.Time, c *customer, a *account) float64 {
	if c.rate <= 0 {
		return 0
	}
	return l.refill(now, c) * min(1, a.rate/c.rate)
}

// roomIn returns after which time the bucket will have what is missing.
func (c *customer) roomIn(missing float64) time.Duration {
	rate := c.limit.GetRatePerSecond()
	if rate <= 0 {
		return longestWait
	}
	seconds := (missing + max(0, -c.level)) / rate
	return min(longestWait, max(shortestWait, time.Duration(seconds*float64(time.Second))))
}

// AgainIn returns when a gateway is to call again at the latest, so that the calls of many
// gateways don't use the leader up.
func (l *Lender) AgainIn() time.Duration {
	return min(latestCall, max(soonestCall, time.Second*time.Duration(l.Gateways)/callsPerSecond))
}

// Tick lets time pass for gateways that are silent: it is taken that they spend their
// allowance, until they say what they did.
func (l *Lender) Tick(now time.Time) {
	for _, c := range l.customers {
		l.fill(now, c)
		for gateway, a := range c.accounts {
			silent := now.Sub(a.heard)
			if silent > aloneAfter {
				c.assume(a, min(silent, AloneFor)-aloneAfter)
			}
			if silent > forgetAfter {
				c.close(gateway, a)
			}
		}
	}
}

// assume takes what a gateway may have sent on by its allowance from the bucket, which has
// been alone for a time.
func (c *customer) assume(a *account, alone time.Duration) {
	assumed := a.allowance * alone.Seconds()
	c.level -= assumed - a.assumed
	a.assumed = assumed
}

func (c *customer) close(gateway string, a *account) {
	c.unspent -= a.unspent()
	c.rate = max(0, c.rate-a.rate)
	delete(c.accounts, gateway)
}

// CustomerStanding is how a customer's limit stands at the leader, in the unit of the limit.
type CustomerStanding struct {
	Customer string
	// Limit is what may be sent on in a second, and Asked what is asked for.
	Limit, Asked float64
	// Level is what the bucket holds, and Unspent what gateways have of it.
	Level, Unspent float64
	// Gateways is the number of gateways that have credit.
	Gateways int
	// Missing is the part of what gateways needed since the last look that was not lent.
	Missing float64
}

// Standings returns how the limits stand, by the names of their customers.
func (l *Lender) Standings() []CustomerStanding {
	var list []CustomerStanding
	for name, c := range l.customers {
		list = append(list, CustomerStanding{
			Customer: name, Limit: c.limit.GetRatePerSecond(), Asked: c.rate, Level: c.level, Unspent: c.unspent,
			Gateways: len(c.accounts), Missing: c.missing,
		})
		c.missing = 0
	}
	slices.SortFunc(list, func(a, b CustomerStanding) int { return cmp.Compare(a.Customer, b.Customer) })
	return list
}
