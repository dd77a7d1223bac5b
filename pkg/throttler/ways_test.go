package throttler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/quotaallocator"
	"bronzelead.example/pkg/wire"
)

// equalParts lets each gateway send an equal part of the limit.
type equalParts struct{ limit RequestRate }

func (e equalParts) requestGrant(w *simulation, g *gatewayModel) (granted bool, by string, retryIn time.Duration) {
	a := g.owned[Owner]
	if a == nil {
		a = &Allocator{}
		g.owned[Owner] = a
	}
	a.SetRate(w.now, e.limit/RequestRate(len(w.gateways)))
	v := a.Submit(w.now, GrantRequest{ReceivedAt: w.now, Deadline: w.now.Add(time.Second)})
	return v.Granted, g.address, v.RetryIn
}

func (equalParts) tick(*simulation) {}

// leaseGrants lets a leader lease out the limit, as it does with customers' limits.
type leaseGrants struct {
	allocator *quotaallocator.Allocator
	accounts  map[string]*quotaallocator.Account
	calls     map[string]time.Time
}

func newLeaseGrants(now time.Time, limit RequestRate) *leaseGrants {
	l := &leaseGrants{
		allocator: &quotaallocator.Allocator{Rule: quotaallocator.Rule{Window: Window, Overage: tolerance - 1, Slack: slack}},
		accounts:  map[string]*quotaallocator.Account{}, calls: map[string]time.Time{},
	}
	l.allocator.Begin(now.Add(-time.Hour), 1, []*wire.RoutedCustomer{
		{Name: backendID, Limit: &wire.CustomerLimit{Unit: wire.LimitUnit_LIMIT_UNIT_REQUESTS, RatePerSecond: float64(limit)}},
	})
	return l
}

func (l *leaseGrants) requestGrant(w *simulation, g *gatewayModel) (granted bool, by string, retryIn time.Duration) {
	p := l.accounts[g.address]
	if p == nil {
		p = &quotaallocator.Account{}
		l.accounts[g.address] = p
	}
	p.RecordDemand(w.now, 1)
	if !p.Hold(w.now, 1) {
		l.call(w, g.address, p, 1)
		if !p.Hold(w.now, 1) {
			return false, "", max(minRetry, p.RetryIn(w.now))
		}
	}
	p.Spend(w.now, 1)
	return true, "leader", 0
}

func (l *leaseGrants) call(w *simulation, gateway string, p *quotaallocator.Account, needed uint64) {
	l.allocator.GatewayCount = len(w.gateways)
	l.calls[gateway] = w.now
	res := l.allocator.Allocate(w.now, &wire.Borrower{
		Gateway: gateway, Address: gateway, RunningMs: uint32(time.Hour.Milliseconds()),
		Accounts: []*wire.CreditAccount{p.Report(w.now, backendID, needed)},
	})
	p.Receive(w.now, w.now, res.GetCredits()[0])
}

// tick lets gateways call that are due.
func (l *leaseGrants) tick(w *simulation) {
	l.allocator.Tick(w.now)
	for gateway, p := range l.accounts {
		if !p.Idle(w.now) && w.now.Sub(l.calls[gateway]) >= l.allocator.ReportInterval() {
			l.call(w, gateway, p, 0)
		}
	}
}

// On the same schedules the owner's grants use no less of the limit than two other strategies,
// with any number of gateways.
func TestOwnerGrantsUseMoreThanOtherStrategies(t *testing.T) {
	const limit, demand, seeds = 6, 15, 10
	for _, gateways := range []int{9, 81, 300} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			c := qt.New(t)
			used, worst := map[string]float64{}, map[string]int{}
			for seed := range uint64(seeds) {
				for name, create := range map[string]func(now time.Time) strategy{
					"equal parts": func(time.Time) strategy { return equalParts{limit} },
					"leases":      func(now time.Time) strategy { return newLeaseGrants(now, limit) },
					"owner":       func(time.Time) strategy { return ownerGrants{} },
				} {
					w := newSimulation(seed, gateways, nil)
					w.strategy = create(w.now)
					w.limit = LimitOf(limit)
					w.run(10*time.Second, demand)
					from := w.now
					w.run(20*time.Second, demand)
					used[name] += float64(w.sentBetween(from, w.now)) / (limit * 20) / seeds
					worst[name] = max(worst[name], w.worst(from, w.now))
				}
			}
			c.Logf("parts of the limit used: %v; most in a window, %d allowed: %v", used, allowed(limit), worst)
			c.Check(worst["owner"] <= allowed(limit), qt.IsTrue)
			c.Check(used["owner"] >= minUsed, qt.IsTrue)
			c.Check(used["owner"] >= used["equal parts"]-0.02, qt.IsTrue)
			c.Check(used["owner"] >= used["leases"]-0.02, qt.IsTrue)
		})
	}
}
