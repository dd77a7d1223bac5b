// Package lender enforces a customer's limit over all gateways together. The leader grants
// quota leases, and each gateway sends requests from its lease. It is pure: calls and the time
// go in, leases come out. The curator calls it on the leader, the borrower on gateways.
//
// In any window the leader grants no more than rate and burst allow. Quota that was granted
// before the window and is still unspent comes out of the rule's tolerance.
package quotaallocator

import (
	"time"

	"bronzelead.example/pkg/windowcounter"
	"bronzelead.example/pkg/wire"
)

const (
	// unspentShare is the share of the tolerance that gateways may hold unspent.
	unspentShare = 0.6
	// startShare is the minimum share of the tolerance that a new leader grants during its first
	// window, and leastRefill the minimum share of the rate. Until all gateways have reported,
	// their earlier usage is unknown.
	startShare  = 0.25
	leastRefill = 0.6
	// overdraftShare is the share of the tolerance that all gateways together may spend beyond
	// their allowances. A request may be larger than the allowance at one moment.
	overdraftShare = 0.15
	// prefetchShare is the share of the unspent quota that is granted for future requests. Below
	// scarceShare of a window, quota is granted to waiting requests only.
	prefetchShare = 0.5
	scarceShare   = 0.05
	// keptShare is the share of the window's remaining quota that is reserved for the gateways
	// while they can't reach the leader, and with the next leader. The rest is granted to
	// whoever asks first.
	keptShare = 0.8
	// LeaseTTL is how long a gateway may spend its quota after its last call.
	LeaseTTL = 2 * time.Second
	// MaxOffline is how long a gateway spends its allowance at most without the leader.
	MaxOffline = 4 * time.Second
	// forgetAfter is when the lease of a gateway expires at the leader after its last call.
	forgetAfter = MaxOffline + LeaseTTL
	// shortestWait and longestWait bound the retry time of a refused caller.
	shortestWait = 100 * time.Millisecond
	longestWait  = 2 * time.Second
	// callsPerSecond bounds the usage reports of all gateways together. Each gateway reports
	// between soonestCall and latestCall after its last call.
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

func (r Rule) tolerance(l *wire.CustomerLimit) float64 {
	return r.Overage*(l.GetRatePerSecond()*r.Window.Seconds()+l.GetBurst()) + r.Slack
}

// Allocator is the leader's side. Set the exported fields, then call Begin.
type Allocator struct {
	Rule Rule
	// GatewayCount is the number of gateways that may serve.
	GatewayCount int
	// KnownGateways are the addresses of all gateways that may have sent requests in the window before
	// the term; empty if they are not known.
	KnownGateways []string

	began     time.Time
	customers map[string]*customer
	// opened numbers the leases. It begins with the term, so that no two leaders use the same
	// number.
	opened uint64
	// unreported are those of Known that have not reported their usage yet.
	unreported map[string]bool
}

type customer struct {
	limit *wire.CustomerLimit
	// earlier is what a window might hold before the limit was lowered, at lowered.
	earlier float64
	lowered time.Time
	// lent is what was lent and spent beyond that, by the time at which it was.
	lent windowcounter.Window
	// reserved is what is kept for gateways.
	reserved float64
	// reported is the usage under earlier leaders, and the reserves, of the gateways that have
	// reported.
	reported float64
	// unspent is the granted quota that no gateway has reported as spent.
	unspent float64
	// rate is the sum of what gateways are asked for in a second.
	rate float64
	// refused counts the requests that gateways refused in this term.
	refused uint64
	leases  map[string]*lease
	// seen are the gateways that had a lease in this term.
	seen map[string]bool
}

// lease is what one gateway has of a customer's limit.
type lease struct {
	id          uint64
	lent, spent uint64
	rate        float64
	// kept is its reserve, and allowance what it may spend of that per second without the leader.
	kept      float64
	allowance float64
	heard     time.Time
}

func (a *lease) unspent() float64 {
	if a.spent >= a.lent {
		return 0
	}
	return float64(a.lent - a.spent)
}

// Begin begins a term as leader. Earlier grants are not known.
func (l *Allocator) Begin(now time.Time, term uint64, customers []*wire.RoutedCustomer) {
	const termBits = 32
	l.began, l.opened, l.customers = now, term<<termBits, map[string]*customer{}
	l.unreported = map[string]bool{}
	for _, address := range l.KnownGateways {
		l.unreported[address] = true
	}
	l.SetCustomers(now, customers)
}

// SetCustomers takes the limits in force. What was spent goes on to count.
func (l *Allocator) SetCustomers(now time.Time, customers []*wire.RoutedCustomer) {
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
			c = &customer{leases: map[string]*lease{}, seen: map[string]bool{}, lent: windowcounter.Window{Length: l.Rule.Window}}
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
func (l *Allocator) mostOf(limit *wire.CustomerLimit) float64 {
	return limit.GetRatePerSecond()*l.Rule.Window.Seconds() + limit.GetBurst()
}

// mostInWindow returns what may be lent in the window that ends now. One that began before the
// limit was lowered may hold its part of what that allowed; otherwise a customer would get
// nothing until what it had been given by then is out of the window.
func (l *Allocator) mostInWindow(now time.Time, c *customer) float64 {
	most := l.mostOf(c.limit)
	if passed := now.Sub(c.lowered); !c.lowered.IsZero() && passed < l.Rule.Window && c.earlier > most {
		most += (c.earlier - most) * (1 - passed.Seconds()/l.Rule.Window.Seconds())
	}
	return most
}

// allReported reports whether all gateways have told this leader what they have spent.
func (l *Allocator) allReported() bool { return len(l.KnownGateways) > 0 && len(l.unreported) == 0 }

// room returns what may still be lent in the window that ends now. In the first window of a
// term, what nobody has reported for counts as spent until all gateways have called.
func (l *Allocator) room(now time.Time, c *customer) float64 {
	most := l.mostInWindow(now, c)
	if age := now.Sub(l.began); age < l.Rule.Window && !l.allReported() {
		least := startShare*l.Rule.tolerance(c.limit) + leastRefill*c.limit.GetRatePerSecond()*age.Seconds()
		most = min(most, max(c.reported, least))
	}
	return most - c.lent.Sum(now)
}

// Allocate takes what a gateway says, and returns its credit.
func (l *Allocator) Allocate(now time.Time, b *wire.Borrower) *wire.BorrowerCredit {
	res := &wire.BorrowerCredit{}
	if time.Duration(b.GetRunningMs())*time.Millisecond >= l.Rule.Window {
		defer delete(l.unreported, b.GetAddress())
	}
	for _, said := range b.GetAccounts() {
		if c := l.customers[said.GetCustomer()]; c != nil {
			res.Credits = append(res.Credits, l.lend(now, c, b.GetGateway(), said))
		}
	}
	return res
}

func (l *Allocator) lend(now time.Time, c *customer, gateway string, said *wire.CreditAccount) *wire.Credit {
	a := l.lease(now, c, gateway, said)
	a.heard = now
	c.note(now, a, said)
	c.keep(a, 0)
	room := l.room(now, c)
	granted := l.grant(c, room-c.reserved, said)
	a.lent += uint64(granted)
	c.lent.Add(now, granted)
	c.unspent += granted
	c.keep(a, l.part(c, a, room-granted))
	a.allowance = min(a.kept/MaxOffline.Seconds(), c.limit.GetRatePerSecond()*c.share(a))
	credit := &wire.Credit{
		Customer: said.GetCustomer(), Account: a.id, Lent: a.lent, Allowance: a.allowance, Kept: a.kept,
		WindowMs:  uint32(l.Rule.Window.Milliseconds()),
		Overdraft: uint64(overdraftShare * l.Rule.tolerance(c.limit) / float64(max(l.GatewayCount, len(c.leases)))),
	}
	// What is missing only until others have told what they spent is asked for again.
	if missing := float64(said.GetNeeded()) - granted; missing > 0 && room-granted-c.reserved < missing {
		credit.RoomInMs = uint32(c.retryIn(missing).Milliseconds())
	}
	return credit
}

// lease returns a gateway's lease, a new one if it names none that is known.
func (l *Allocator) lease(now time.Time, c *customer, gateway string, said *wire.CreditAccount) *lease {
	a := c.leases[gateway]
	if a != nil && a.id == said.GetAccount() {
		return a
	}
	if a != nil {
		c.close(now, gateway, a)
	}
	if !c.seen[gateway] && now.Sub(l.began) < l.Rule.Window {
		c.reported += said.GetKept()
		for _, amount := range said.GetRecent() {
			c.reported += float64(amount)
		}
		c.lent.AddParts(now, said.GetRecent())
	}
	c.seen[gateway] = true
	l.opened++
	a = &lease{id: l.opened, heard: now}
	c.leases[gateway] = a
	return a
}

// note takes what a gateway has spent.
func (c *customer) note(now time.Time, a *lease, said *wire.CreditAccount) {
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
func (l *Allocator) grant(c *customer, room float64, said *wire.CreditAccount) float64 {
	most := unspentShare * l.Rule.tolerance(c.limit)
	granted := min(float64(said.GetNeeded()), room, most-c.unspent)
	if c.unspent == 0 {
		// One request that is larger than what all may have unspent.
		granted = min(float64(said.GetNeeded()), room)
	}
	granted = max(0, granted)
	spare := min(prefetchShare*most-c.unspent-granted, room-granted-scarceShare*l.mostOf(c.limit))
	granted += max(0, min(float64(said.GetWished()), spare))
	return float64(uint64(granted))
}

// keep keeps an amount for a gateway, in place of the one before.
func (c *customer) keep(a *lease, amount float64) {
	c.reserved += amount - a.kept
	a.kept = amount
}

// share returns a gateway's part of what a customer asks for.
func (c *customer) share(a *lease) float64 {
	if c.rate <= 0 {
		return 0
	}
	return min(1, a.rate/c.rate)
}

// part returns what is kept for a gateway of the room that is left.
func (l *Allocator) part(c *customer, a *lease, room float64) float64 {
	return max(0, min(keptShare*room*c.share(a), keptShare*room-c.reserved))
}

// retryIn returns after which time there will be room for what is missing.
func (c *customer) retryIn(missing float64) time.Duration {
	rate := c.limit.GetRatePerSecond()
	if rate <= 0 {
		return longestWait
	}
	return min(longestWait, max(shortestWait, time.Duration(missing/rate*float64(time.Second))))
}

// ReportInterval returns when a gateway is to call again at the latest, so that the calls of many
// gateways don't use the leader up.
func (l *Allocator) ReportInterval() time.Duration {
	return min(latestCall, max(soonestCall, time.Second*time.Duration(l.GatewayCount)/callsPerSecond))
}

// Tick lets time pass for gateways that are silent.
func (l *Allocator) Tick(now time.Time) {
	for _, c := range l.customers {
		for gateway, a := range c.leases {
			if now.Sub(a.heard) > forgetAfter {
				c.close(now, gateway, a)
			}
		}
	}
}

// close ends an account. It is taken that its gateway has spent its allowance since it was
// heard.
func (c *customer) close(now time.Time, gateway string, a *lease) {
	alone := min(MaxOffline, max(0, now.Sub(a.heard)-aloneAfter))
	c.lent.Add(now, a.allowance*alone.Seconds())
	c.keep(a, 0)
	c.unspent -= a.unspent()
	c.rate = max(0, c.rate-a.rate)
	delete(c.leases, gateway)
}
