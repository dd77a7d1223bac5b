package balancer

import (
	"slices"
	"strings"
	"time"

	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/sharer"
	"bronzelead.example/pkg/wire"
)

// reservedSlots is the fraction of a service's slots that requests of customers above their
// shares leave free. It covers the slots that become free until other gateways know of them: with
// work of 0.5 to 3 s and loads that are 50 ms old, 2% to 10%.
const reservedSlots = 0.08

// SetCustomers sets the customers of the table in force, whose limits are the weights of their
// shares.
func (b *Balancer) SetCustomers(customers []*wire.RoutedCustomer) {
	b.weights = sharer.WeightsOf(customers)
}

// recordUsage records that a request is sent to a backend server.
func (b *Balancer) recordUsage(now time.Time, w *Waiter) {
	if b.Disabled.Has(ablator.FairShares) {
		return
	}
	s := b.shares[w.Service]
	if s == nil {
		if b.shares == nil {
			b.shares = map[string]*sharer.Sharer{}
		}
		s = &sharer.Sharer{}
		b.shares[w.Service] = s
	}
	s.Record(now, w.Customer, b.weights[w.Customer], Weight(w.Tokens))
}

// Refund takes back the usage of a request that the chosen backend server did not take, and that
// is decided on again or refused.
func (b *Balancer) Refund(now time.Time, w *Waiter) {
	if s := b.shares[w.Service]; s != nil {
		s.Refund(now, w.Customer, Weight(w.Tokens))
	}
}

// orderByShares orders the queue by the current usage of customers.
func (b *Balancer) orderByShares(now time.Time) {
	if b.Disabled.Has(ablator.FairShares) {
		return
	}
	named := slices.ContainsFunc(b.queue, func(w *Waiter) bool { return w.Customer != "" })
	changed := false
	service, contended := "", false
	for i, w := range b.queue {
		if i == 0 || w.Service != service {
			service, contended = w.Service, named && b.Contended(now, w.Service)
		}
		excess := 0.0
		if s := b.shares[w.Service]; s != nil && contended {
			excess = s.Excess(w.Customer)
		}
		changed = changed || excess != w.excess
		w.excess = excess
	}
	if changed {
		slices.SortStableFunc(b.queue, b.compare)
	}
}

// holdsBack reports whether a request of a customer above its share waits although there is
// room, so that requests of other customers at other gateways find room. Without it, a gateway
// whose queue holds nothing else would use each slot as soon as it is free, before the others
// know of it.
func (b *Balancer) holdsBack(now time.Time, w *Waiter) bool {
	if w.excess == 0 || w.UsesSlotGrants {
		return false
	}
	free, slots := 0.0, 0.0
	for _, k := range b.byService[w.Service] {
		if k.accepting() && !k.silent(now) && !k.ejected(now) && !k.backoff.active(now) {
			free += max(0, k.slots()-k.own-k.others)
			slots += k.slots()
		}
	}
	return free < reservedSlots*slots
}

// CountRefusal counts the refusal of a request, if its customer was above its share when it was
// decided on.
func (b *Balancer) CountRefusal(w *Waiter) {
	if s := b.shares[w.Service]; s != nil && w.excess > 0 {
		s.Refuse(w.Customer)
	}
}

// ServiceShares are the customers above their share of one service.
type ServiceShares struct {
	Service   string
	Customers []sharer.Status
}

// TakeAboveShare returns the customers above their shares and the refusals of their requests
// since the last call, by service in alphabetical order.
func (b *Balancer) TakeAboveShare(now time.Time) []ServiceShares {
	var list []ServiceShares
	for service, s := range b.shares {
		if above := s.TakeAboveShare(now); len(above) > 0 {
			list = append(list, ServiceShares{Service: service, Customers: above})
		}
	}
	slices.SortFunc(list, func(a, b ServiceShares) int { return strings.Compare(a.Service, b.Service) })
	return list
}
