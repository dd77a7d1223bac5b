// Package lender keeps a customer's limit over all gateways together: the leader lends
// credit, and each gateway spends what it was lent. It is pure: calls and the time go in,
// credit comes out.
//
// In any window is lent no more than rate and burst allow, so that no more is spent than that
// and what gateways had unspent when the window began. What they may send while no leader can
// be asked is kept free for them. A new leader takes from the gateways that call what they
// have spent and were allowed, and for the others what is left as spent. Unspent credit, and
// what is spent beyond it, come out of one fund: what the rule allows beyond rate and burst.
package lender

import (
	"time"

	"bronzelead.example/pkg/windower"
	"bronzelead.example/pkg/wire"
)

const (
	// lentPart is the part of the fund that gateways may have unspent.
	lentPart = 0.6
	// startPart is the part of the fund that a new leader lends at least in its first window,
	// and leastRefill the part of the rate, before it has heard what others have spent: after
	// the loss of all gateways nobody tells.
	startPart   = 0.25
	leastRefill = 0.6
	// overdraftPart is the part of the fund that all gateways together may spend beyond their
	// allowances, so that a request passes which is larger than the allowance of a moment.
	overdraftPart = 0.15
	// wishPart is the part of what may be unspent that is lent for requests to come, and
	// scarcePart the part of a window below which all is for requests that wait.
	wishPart   = 0.5
	scarcePart = 0.05
	// keptPart is the part of what is left in the window that is kept for the gateways: they
	// may spend of it without the leader, and it is theirs again with the next one. The rest
	// goes to whoever asks first, until all have called again.
	keptPart = 0.8
	// Lease is how long a gateway may spend credit after its last call.
	Lease = 2 * time.Second
	// AloneFor is how long a gateway spends its allowance at most.
	AloneFor = 4 * time.Second
	// forgetAfter is when the leader takes the credit of a silent gateway for expired.
	forgetAfter = AloneFor + Lease
	// shortestWait and longestWait bound the retry time of a refused caller.
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
	// Known are the addresses of all gateways that may have sent on anything in the window
	// before the term; empty if nobody can tell.
	Known []string

	began     time.Time
	customers map[string]*customer
	// opened numbers the accounts; it begins with the term, so that no two leaders give the
	// same number.
	opened uint64
	// unheard are those of Known that have not called yet.
	unheard map[string]bool
}

type customer struct {
	limit *wire.CustomerLimit
	// earlier is what a window might hold before the limit was lowered, at lowered.
	earlier float64
	lowered time.Time
	// lent is what was lent and spent beyond that, by the time at which it was.
	lent windower.Window
	// reserved is what is kept for gateways.
	reserved float64
	// vouched is what the gateways that were heard had spent under earlier leaders, and what
	// was kept for them.
	vouched float64
	// unspent is the sum of what gateways were lent and have not said to have spent.
	unspent float64
	// rate is the sum of what gateways are asked for in a second.
	rate float64
	// refused counts the requests that gateways refused in this term.
	refused  uint64
	accounts map[string]*account
	// met are the gateways that had an account in this term.
	met map[string]bool
}

// account is what one gateway has of a customer's limit.
type account struct {
	id          uint64
	lent, spent uint64
	rate        float64
	// kept is what is kept for it, and allowance what it may spend of that in a second.
	kept      float64
	allowance float64
	heard     time.Time
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
	l.unheard = map[string]bool{}
	for _, address := range l.Known {
		l.unheard[address] = true
	}
	l.SetCustomers(now, customers)
}

// SetCustomers takes the limits in force. What was spent goes on to count.
func (l *Lender) SetCustomers(now time.Time, customers []*wire.RoutedCustomer) {
	if l.customers == nil {
		return
	}
	named := map[string]bool{}
	for _, listed := range customers {
		if listed.GetLimit() == nil {
			continue
		}
		named[listed.GetName()] = true
		c := l.customers[listed.GetName()]
		if c == nil {
			c = &customer{accounts: map[string]*account{}, met: map[string]bool{}, lent: windower.Window{Length: l.Rule.Window}}
			l.customers[listed.GetName()] = c
		}
		if earlier := l.mostInWindow(now, c); l.mostOf(listed.GetLimit()) < earlier {
			c.earlier, c.lowered = earlier, now
		}
		c.limit = listed.GetLimit()
	}
	for name := range l.customers {
		if !named[name] {
			delete(l.customers, name)
		}
	}
}

// mostOf returns what a limit allows in a window.
func (l *Lender) mostOf(limit *wire.CustomerLimit) float64 {
	return limit.GetRatePerSecond()*l.Rule.Window.Seconds() + limit.GetBurst()
}

// mostInWindow returns what may be lent in the window that ends now. One that began before the
// limit was lowered may hold its part of what that allowed; otherwise a customer would get
// nothing until what it had been given by then is out of the window.
func (l *Lender) mostInWindow(now time.Time, c *customer) float64 {
	most := l.mostOf(c.limit)
	if passed := now.Sub(c.lowered); !c.lowered.IsZero() && passed < l.Rule.Window && c.earlier > most {
		most += (c.earlier - most) * (1 - passed.Seconds()/l.Rule.Window.Seconds())
	}
	return most
}

// allHeard reports whether all gateways have told this leader what they have spent.
func (l *Lender) allHeard() bool { return len(l.Known) > 0 && len(l.unheard) == 0 }

// room returns what may still be lent in the window that ends now. In the first window of a
// term, what nobody has vouched for counts as spent until all gateways have called.
func (l *Lender) room(now time.Time, c *customer) float64 {
	most := l.mostInWindow(now, c)
	if age := now.Sub(l.began); age < l.Rule.Window && !l.allHeard() {
		least := startPart*l.Rule.fund(c.limit) + leastRefill*c.limit.GetRatePerSecond()*age.Seconds()
		most = min(most, max(c.vouched, least))
	}
	return most - c.lent.Sum(now)
}

// Borrow takes what a gateway says, and returns its credit.
func (l *Lender) Borrow(now time.Time, b *wire.Borrower) *wire.BorrowerCredit {
	res := &wire.BorrowerCredit{}
	if time.Duration(b.GetRunningMs())*time.Millisecond >= l.Rule.Window {
		defer delete(l.unheard, b.GetAddress())
	}
	for _, said := range b.GetAccounts() {
		if c := l.customers[said.GetCustomer()]; c != nil {
			res.Credits = append(res.Credits, l.lend(now, c, b.GetGateway(), said))
		}
	}
	return res
}

func (l *Lender) lend(now time.Time, c *customer, gateway string, said *wire.CreditAccount) *wire.Credit {
	a := l.account(now, c, gateway, said)
	a.heard = now
	c.note(now, a, said)
	c.keep(a, 0)
	room := l.room(now, c)
	granted := l.grant(c, room-c.reserved, said)
	a.lent += uint64(granted)
	c.lent.Add(now, granted)
	c.unspent += granted
	c.keep(a, l.part(c, a, room-granted))
	a.allowance = min(a.kept/AloneFor.Seconds(), c.limit.GetRatePerSecond()*c.share(a))
	credit := &wire.Credit{
		Customer: said.GetCustomer(), Account: a.id, Lent: a.lent, Allowance: a.allowance, Kept: a.kept,
		WindowMs:  uint32(l.Rule.Window.Milliseconds()),
		Overdraft: uint64(overdraftPart * l.Rule.fund(c.limit) / float64(max(l.Gateways, len(c.accounts)))),
	}
	// What is missing only until others have told what they spent is asked for again.
	if missing := float64(said.GetNeeded()) - granted; missing > 0 && room-granted-c.reserved < missing {
		credit.RoomInMs = uint32(c.retryIn(missing).Milliseconds())
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
		c.close(now, gateway, a)
	}
	if !c.met[gateway] && now.Sub(l.began) < l.Rule.Window {
		c.vouched += said.GetKept()
		for _, amount := range said.GetRecent() {
			c.vouched += float64(amount)
		}
		c.lent.AddParts(now, said.GetRecent())
	}
	c.met[gateway] = true
	l.opened++
	a = &account{id: l.opened, heard: now}
	c.accounts[gateway] = a
	return a
}

// note takes what a gateway has spent.
func (c *customer) note(now time.Time, a *account, said *wire.CreditAccount) {
	c.unspent -= a.unspent()
	if said.GetAccount() == a.id {
		a.spent = said.GetSpent()
	}
	if said.GetRate() == 0 && said.GetNeeded() == 0 {
		// The gateway has given up what it had and did not spend.
		a.lent = a.spent
	}
	if a.spent > a.lent {
		c.lent.Add(now, float64(a.spent-a.lent))
		a.lent = a.spent
	}
	c.unspent += a.unspent()
	c.rate += said.GetRate() - a.rate
	a.rate = said.GetRate()
	c.refused += said.GetRefused()
}

// grant returns what is lent now, in whole units.
func (l *Lender) grant(c *customer, room float64, said *wire.CreditAccount) float64 {
	most := lentPart * l.Rule.fund(c.limit)
	granted := min(float64(said.GetNeeded()), room, most-c.unspent)
	if c.unspent == 0 {
		// One request that is larger than what all may have unspent.
		granted = min(float64(said.GetNeeded()), room)
	}
	granted = max(0, granted)
	spare := min(wishPart*most-c.unspent-granted, room-granted-scarcePart*l.mostOf(c.limit))
	granted += max(0, min(float64(said.GetWished()), spare))
	return float64(uint64(granted))
}

// keep keeps an amount for a gateway, in place of the one before.
func (c *customer) keep(a *account, amount float64) {
	c.reserved += amount - a.kept
	a.kept = amount
}

// share returns a gateway's part of what a customer asks for.
func (c *customer) share(a *account) float64 {
	if c.rate <= 0 {
		return 0
	}
	return min(1, a.rate/c.rate)
}

// part returns what is kept for a gateway of the room that is left.
func (l *Lender) part(c *customer, a *account, room float64) float64 {
	return max(0, min(keptPart*room*c.share(a), keptPart*room-c.reserved))
}

// retryIn returns after which time there will be room for what is missing.
func (c *customer) retryIn(missing float64) time.Duration {
	rate := c.limit.GetRatePerSecond()
	if rate <= 0 {
		return longestWait
	}
	return min(longestWait, max(shortestWait, time.Duration(missing/rate*float64(time.Second))))
}

// AgainIn returns when a gateway is to call again at the latest, so that the calls of many
// gateways don't use the leader up.
func (l *Lender) AgainIn() time.Duration {
	return min(latestCall, max(soonestCall, time.Second*time.Duration(l.Gateways)/callsPerSecond))
}

// Tick lets time pass for gateways that are silent.
func (l *Lender) Tick(now time.Time) {
	for _, c := range l.customers {
		for gateway, a := range c.accounts {
			if now.Sub(a.heard) > forgetAfter {
				c.close(now, gateway, a)
			}
		}
	}
}

// close ends an account. It is taken that its gateway has spent its allowance since it was
// heard.
func (c *customer) close(now time.Time, gateway string, a *account) {
	alone := min(AloneFor, max(0, now.Sub(a.heard)-aloneAfter))
	c.lent.Add(now, a.allowance*alone.Seconds())
	c.keep(a, 0)
	c.unspent -= a.unspent()
	c.rate = max(0, c.rate-a.rate)
	delete(c.accounts, gateway)
}
