// Package quotaallocator enforces a customer's limit over all gateways together. The leader
// grants quota leases, and each gateway sends requests from its lease. It has no side effects:
// calls and the time go in, leases come out. The routecoordinator calls it on the leader, the
// quotaenforcer on gateways.
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
	// initialShare is the minimum share of the tolerance that a new leader grants during its
	// first window, and minRefill the minimum share of the rate. Until all gateways have
	// reported, their earlier usage is unknown.
	initialShare = 0.25
	minRefill    = 0.6
	// overdraftShare is the share of the tolerance that all gateways together may spend beyond
	// their allowances. A request may be larger than the allowance at one moment.
	overdraftShare = 0.15
	// prefetchShare is the share of the unspent quota that is granted for future requests.
	// Below lowQuotaShare of a window, quota is granted to waiting requests only.
	prefetchShare = 0.5
	lowQuotaShare = 0.05
	// reservedShare is the share of the window's remaining quota that is reserved for the
	// gateways while they can't reach the leader, and with the next leader. The rest is granted
	// to whoever asks first.
	reservedShare = 0.8
	// LeaseTTL is how long a gateway may spend its quota after its last call.
	LeaseTTL = 2 * time.Second
	// MaxOffline is how long a gateway spends its allowance at most without the leader.
	MaxOffline = 4 * time.Second
	// leaseExpiresAfter is when a gateway's lease expires at the leader after its last call.
	leaseExpiresAfter = MaxOffline + LeaseTTL
	// minRetry and maxRetry bound the retry time of a refused caller.
	minRetry = 100 * time.Millisecond
	maxRetry = 2 * time.Second
	// maxReportsPerSecond bounds the usage reports of all gateways together. Each gateway
	// reports between minReportInterval and maxReportInterval after its last call.
	maxReportsPerSecond = 330
	minReportInterval   = 250 * time.Millisecond
	maxReportInterval   = time.Second
)

// Rule bounds what may be spent beyond a customer's limit, over all gateways: in any window no
// more than (rate × Window + burst) × (1 + Overage) + Slack.
type Rule struct {
	Window  time.Duration
	Overage float64
	// Slack is in the unit of the limit.
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
	// KnownGateways are the addresses of all gateways that may have sent requests in the window
	// before the term; empty if they are not known.
	KnownGateways []string

	termStart time.Time
	customers map[string]*customer
	// lastLeaseID is the number of the latest lease. It starts from the term, so that no two
	// leaders use the same number.
	lastLeaseID uint64
	// unreported are the KnownGateways that have not reported their usage yet.
	unreported map[string]bool
}

type customer struct {
	limit *wire.CustomerLimit
	// previousQuota is the window quota before the limit was lowered, at loweredAt.
	previousQuota float64
	loweredAt     time.Time
	// granted is the granted quota and what was spent beyond it, by time.
	granted windowcounter.Window
	// reserved is the sum of the gateways' reserves.
	reserved float64
	// reported is the usage under earlier leaders, and the reserves, of the gateways that have
	// reported.
	reported float64
	// unspent is the granted quota that no gateway has reported as spent.
	unspent float64
	// rate is the sum of the gateways' demand per second.
	rate float64
	// refused counts the requests that gateways refused in this term.
	refused uint64
	leases  map[string]*lease
	// seen are the gateways that had a lease in this term.
	seen map[string]bool
}

// lease is one gateway's part of a customer's limit.
type lease struct {
	id             uint64
	granted, spent uint64
	rate           float64
	// reserve is kept for the gateway, and allowance is what it may spend of that per second
	// without the leader.
	reserve       float64
	allowance     float64
	lastContactAt time.Time
}

func (a *lease) unspent() float64 {
	if a.spent >= a.granted {
		return 0
	}
	return float64(a.granted - a.spent)
}

// Begin starts a term as leader. Earlier grants are not known.
func (q *Allocator) Begin(now time.Time, term uint64, customers []*wire.RoutedCustomer) {
	const termBits = 32
	q.termStart, q.lastLeaseID, q.customers = now, term<<termBits, map[string]*customer{}
	q.unreported = map[string]bool{}
	for _, address := range q.KnownGateways {
		q.unreported[address] = true
	}
	q.SetCustomers(now, customers)
}

// SetCustomers takes the limits in force. Earlier usage still counts.
func (q *Allocator) SetCustomers(now time.Time, customers []*wire.RoutedCustomer) {
	if q.customers == nil {
		return
	}
	named := map[string]bool{}
	for _, listed := range customers {
		if listed.GetLimit() == nil {
			continue
		}
		named[listed.GetName()] = true
		c := q.customers[listed.GetName()]
		if c == nil {
			c = &customer{leases: map[string]*lease{}, seen: map[string]bool{}, granted: windowcounter.Window{Length: q.Rule.Window}}
			q.customers[listed.GetName()] = c
		}
		if previous := q.windowQuota(now, c); q.fullWindowQuota(listed.GetLimit()) < previous {
			c.previousQuota, c.loweredAt = previous, now
		}
		c.limit = listed.GetLimit()
	}
	for name := range q.customers {
		if !named[name] {
			delete(q.customers, name)
		}
	}
}

// fullWindowQuota returns what a limit allows in a window.
func (q *Allocator) fullWindowQuota(limit *wire.CustomerLimit) float64 {
	return limit.GetRatePerSecond()*q.Rule.Window.Seconds() + limit.GetBurst()
}

// windowQuota returns what may be granted in the window that ends now. After the limit was
// lowered, the earlier quota fades out over a window; otherwise a customer would get nothing
// until what it had been granted by then is out of the window.
func (q *Allocator) windowQuota(now time.Time, c *customer) float64 {
	quota := q.fullWindowQuota(c.limit)
	if passed := now.Sub(c.loweredAt); !c.loweredAt.IsZero() && passed < q.Rule.Window && c.previousQuota > quota {
		quota += (c.previousQuota - quota) * (1 - passed.Seconds()/q.Rule.Window.Seconds())
	}
	return quota
}

// allReported reports whether all gateways have reported their usage to this leader.
func (q *Allocator) allReported() bool { return len(q.KnownGateways) > 0 && len(q.unreported) == 0 }

// room returns what may still be granted in the window that ends now. In the first window of a
// term, unreported quota counts as spent until all gateways have called.
func (q *Allocator) room(now time.Time, c *customer) float64 {
	quota := q.windowQuota(now, c)
	if age := now.Sub(q.termStart); age < q.Rule.Window && !q.allReported() {
		minimum := initialShare*q.Rule.tolerance(c.limit) + minRefill*c.limit.GetRatePerSecond()*age.Seconds()
		quota = min(quota, max(c.reported, minimum))
	}
	return quota - c.granted.Sum(now)
}

// Allocate takes a gateway's usage report and returns its leases.
func (q *Allocator) Allocate(now time.Time, b *wire.Borrower) *wire.BorrowerCredit {
	res := &wire.BorrowerCredit{}
	if time.Duration(b.GetRunningMs())*time.Millisecond >= q.Rule.Window {
		defer delete(q.unreported, b.GetAddress())
	}
	for _, report := range b.GetAccounts() {
		if c := q.customers[report.GetCustomer()]; c != nil {
			res.Credits = append(res.Credits, q.grantLease(now, c, b.GetGateway(), report))
		}
	}
	return res
}

func (q *Allocator) grantLease(now time.Time, c *customer, gateway string, report *wire.CreditAccount) *wire.Credit {
	a := q.lease(now, c, gateway, report)
	a.lastContactAt = now
	c.recordUsage(now, a, report)
	c.setReserve(a, 0)
	room := q.room(now, c)
	granted := q.grantAmount(c, room-c.reserved, report)
	a.granted += uint64(granted)
	c.granted.Add(now, granted)
	c.unspent += granted
	c.setReserve(a, q.reserveFor(c, a, room-granted))
	a.allowance = min(a.reserve/MaxOffline.Seconds(), c.limit.GetRatePerSecond()*c.demandShare(a))
	credit := &wire.Credit{
		Customer: report.GetCustomer(), Account: a.id, Lent: a.granted, Allowance: a.allowance, Kept: a.reserve,
		WindowMs:  uint32(q.Rule.Window.Milliseconds()),
		Overdraft: uint64(overdraftShare * q.Rule.tolerance(c.limit) / float64(max(q.GatewayCount, len(c.leases)))),
	}
	// Quota that is missing only until other gateways have reported their usage is requested
	// again.
	if missing := float64(report.GetNeeded()) - granted; missing > 0 && room-granted-c.reserved < missing {
		credit.RoomInMs = uint32(c.retryAfter(missing).Milliseconds())
	}
	return credit
}

// lease returns a gateway's lease, a new one if the report names none that is known.
func (q *Allocator) lease(now time.Time, c *customer, gateway string, report *wire.CreditAccount) *lease {
	a := c.leases[gateway]
	if a != nil && a.id == report.GetAccount() {
		return a
	}
	if a != nil {
		c.closeLease(now, gateway, a)
	}
	if !c.seen[gateway] && now.Sub(q.termStart) < q.Rule.Window {
		c.reported += report.GetKept()
		for _, amount := range report.GetRecent() {
			c.reported += float64(amount)
		}
		c.granted.AddParts(now, report.GetRecent())
	}
	c.seen[gateway] = true
	q.lastLeaseID++
	a = &lease{id: q.lastLeaseID, lastContactAt: now}
	c.leases[gateway] = a
	return a
}

// recordUsage records what a gateway has spent.
func (c *customer) recordUsage(now time.Time, a *lease, report *wire.CreditAccount) {
	c.unspent -= a.unspent()
	if report.GetAccount() == a.id {
		a.spent = report.GetSpent()
	}
	if report.GetRate() == 0 && report.GetNeeded() == 0 {
		// The gateway has returned its unspent quota.
		a.granted = a.spent
	}
	if a.spent > a.granted {
		c.granted.Add(now, float64(a.spent-a.granted))
		a.granted = a.spent
	}
	c.unspent += a.unspent()
	c.rate += report.GetRate() - a.rate
	a.rate = report.GetRate()
	c.refused += report.GetRefused()
}

// grantAmount returns what is granted now, in whole units.
func (q *Allocator) grantAmount(c *customer, room float64, report *wire.CreditAccount) float64 {
	maxUnspent := unspentShare * q.Rule.tolerance(c.limit)
	granted := min(float64(report.GetNeeded()), room, maxUnspent-c.unspent)
	if c.unspent == 0 {
		// One request may be larger than the bound on unspent quota.
		granted = min(float64(report.GetNeeded()), room)
	}
	granted = max(0, granted)
	spare := min(prefetchShare*maxUnspent-c.unspent-granted, room-granted-lowQuotaShare*q.fullWindowQuota(c.limit))
	granted += max(0, min(float64(report.GetWished()), spare))
	return float64(uint64(granted))
}

// setReserve replaces a gateway's reserve.
func (c *customer) setReserve(a *lease, amount float64) {
	c.reserved += amount - a.reserve
	a.reserve = amount
}

// demandShare returns a gateway's share of a customer's demand.
func (c *customer) demandShare(a *lease) float64 {
	if c.rate <= 0 {
		return 0
	}
	return min(1, a.rate/c.rate)
}

// reserveFor returns a gateway's reserve out of the remaining room.
func (q *Allocator) reserveFor(c *customer, a *lease, room float64) float64 {
	return max(0, min(reservedShare*room*c.demandShare(a), reservedShare*room-c.reserved))
}

// retryAfter returns the time until there will be room for the missing quota.
func (c *customer) retryAfter(missing float64) time.Duration {
	rate := c.limit.GetRatePerSecond()
	if rate <= 0 {
		return maxRetry
	}
	return min(maxRetry, max(minRetry, time.Duration(missing/rate*float64(time.Second))))
}

// ReportInterval returns the time after which a gateway is to call again at the latest, so that
// the calls of many gateways don't overload the leader.
func (q *Allocator) ReportInterval() time.Duration {
	return min(maxReportInterval, max(minReportInterval, time.Second*time.Duration(q.GatewayCount)/maxReportsPerSecond))
}

// Tick closes the leases of gateways that no longer call.
func (q *Allocator) Tick(now time.Time) {
	for _, c := range q.customers {
		for gateway, a := range c.leases {
			if now.Sub(a.lastContactAt) > leaseExpiresAfter {
				c.closeLease(now, gateway, a)
			}
		}
	}
}

// closeLease ends a lease. It assumes that the gateway has spent its allowance since its last
// contact.
func (c *customer) closeLease(now time.Time, gateway string, a *lease) {
	offline := min(MaxOffline, max(0, now.Sub(a.lastContactAt)-offlineAfter))
	c.granted.Add(now, a.allowance*offline.Seconds())
	c.setReserve(a, 0)
	c.unspent -= a.unspent()
	c.rate = max(0, c.rate-a.rate)
	delete(c.leases, gateway)
}
