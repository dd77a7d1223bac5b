// Package sharer keeps how much of one contended resource each customer has used lately, and
// orders customers by it. It has no side effects: usage and the time are passed in.
//
// It handles one customer that suddenly sends several times its usual rate while the capacity
// is exceeded: its requests go after those of the other customers, who keep what they had. It
// sets an order and not a limit, so shares that are not used go to whoever can use them.
package sharer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"bronzelead.example/pkg/wire"
)

const (
	// recent is the time constant with which recent usage decays. It is long against the time
	// between two requests of a small customer at one owner (about 200 ms), and short against a
	// burst that lasts several seconds.
	recent = 2 * time.Second
	// usual is the time constant of the usage that counts as usual.
	usual = 30 * time.Second
	// unobserved is how long usage is assumed to have been 0 before the first recorded one, in
	// the estimate of the usual usage. The estimate of a new owner is 0.7 of the usual usage
	// after 10 s and 0.9 after 30 s. In the first seconds only even shares count, also if a
	// customer sends more than usual then.
	unobserved = 5 * time.Second
	// sweepInterval is the time between two decay steps. Usage within one step counts as
	// simultaneous, which is at most 5% of the recent usage.
	sweepInterval = 100 * time.Millisecond
	// maxCustomers bounds the customers that are kept. At the bound the half with the least
	// recent usage is removed.
	maxCustomers = 512
	// activeUsage is the recent usage from which a customer counts as active, so that a share
	// is reserved for it.
	activeUsage = 0.05
	// minWeight is the least weight: smaller ones are lost in the rounding of the sums, and a
	// customer with a limit of 0 would have no share at all.
	minWeight = 0.01
)

// Sharer keeps the usage of one resource. The zero value is ready for use.
type Sharer struct {
	customers map[string]*customer
	// list holds the same customers; iterating over it is several times as fast as over the map.
	list []*customer
	// total is the recent usage of all customers, and weights the sum of the weights of the
	// active ones.
	total, weights float64
	sweptAt        time.Time
	// usualFactor converts a customer's usual sum to the recent sum that its usual rate causes,
	// and startedAt is when usage was first recorded.
	usualFactor float64
	startedAt   time.Time
	scratch     []float64
}

type customer struct {
	name   string
	weight float64
	// recent and usual are decayed sums of usage.
	recent, usual float64
	active        bool
	refused       int
}

// Status describes a customer above its share.
type Status struct {
	Customer string
	// Excess is the result of Sharer.Excess.
	Excess float64
	// Refused is the number of refused requests.
	Refused int
}

// Record adds usage of a customer; "" stands for all requests without a customer. A weight of 0
// counts as 1.
func (s *Sharer) Record(now time.Time, name string, weight, amount float64) {
	s.sweep(now)
	c := s.customers[name]
	if c == nil {
		c = s.add(name)
	}
	if weight == 0 {
		weight = 1
	}
	weight = max(minWeight, weight)
	if c.active {
		s.weights += weight - c.weight
	}
	c.weight = weight
	c.recent += amount
	c.usual += amount
	s.total += amount
	if !c.active && c.recent >= activeUsage {
		c.active = true
		s.weights += weight
	}
}

// Refund takes back usage that was recorded for a request which used nothing in the end.
func (s *Sharer) Refund(now time.Time, name string, amount float64) {
	s.sweep(now)
	c := s.customers[name]
	if c == nil {
		return
	}
	refunded := min(amount, c.recent)
	c.recent -= refunded
	c.usual = max(0, c.usual-amount)
	s.total -= refunded
}

// Excess returns how far a customer's recent usage is above its share: 0 if it is within its
// share, otherwise a factor above 1. Requests of customers with less excess go first.
//
// The share is the larger of two values: the recent usage of all customers, divided among the
// active ones by weight; and the customer's own usage over the last half minute. Without the
// latter, a large customer would lose to every small one, and a small one that sends several
// times its usual rate could take from a large one until both have the same.
//
// A customer is within its share up to the random variation of its request rate, so that the
// order of requests remains unchanged while each customer sends what it usually does.
func (s *Sharer) Excess(name string) float64 {
	c := s.customers[name]
	if c == nil {
		return 0
	}
	return s.excess(c)
}

func (s *Sharer) excess(c *customer) float64 {
	share := c.usual * s.usualFactor
	if s.weights > 0 {
		share = max(share, s.total*c.weight/s.weights)
	}
	// The standard deviation of the decayed sum of random arrivals is the square root of half
	// their mean.
	if excess := c.recent / (share + math.Sqrt(share) + 1); excess > 1 {
		return excess
	}
	return 0
}

// Refuse counts a refused request of a customer, if the customer is above its share.
func (s *Sharer) Refuse(name string) {
	if c := s.customers[name]; c != nil && s.excess(c) > 0 {
		c.refused++
	}
}

// TakeAboveShare returns the customers that are above their share, or were refused requests
// because of it since the last call, the one with the highest excess first, and resets the
// counts of refusals.
func (s *Sharer) TakeAboveShare(now time.Time) []Status {
	s.sweep(now)
	var list []Status
	for _, c := range s.list {
		if excess := s.excess(c); excess > 0 || c.refused > 0 {
			list = append(list, Status{Customer: c.name, Excess: excess, Refused: c.refused})
			c.refused = 0
		}
	}
	slices.SortFunc(list, func(a, b Status) int {
		return cmp.Or(cmp.Compare(b.Excess, a.Excess), cmp.Compare(b.Refused, a.Refused), cmp.Compare(a.Customer, b.Customer))
	})
	return list
}

// add returns a new customer without usage.
func (s *Sharer) add(name string) *customer {
	if s.customers == nil {
		s.customers = map[string]*customer{}
	}
	if len(s.customers) >= maxCustomers {
		s.removeSmallest()
	}
	c := &customer{name: name}
	s.customers[name] = c
	s.list = append(s.list, c)
	return c
}

// sweep applies the decay since the last sweep, and removes customers whose usage no longer
// matters.
func (s *Sharer) sweep(now time.Time) {
	elapsed := now.Sub(s.sweptAt)
	if elapsed < sweepInterval {
		return
	}
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	s.sweptAt = now
	observed := 1 - math.Exp(-(now.Sub(s.startedAt)+unobserved).Seconds()/usual.Seconds())
	s.usualFactor = recent.Seconds() / usual.Seconds() / observed
	recentDecay := math.Exp(-elapsed.Seconds() / recent.Seconds())
	usualDecay := math.Exp(-elapsed.Seconds() / usual.Seconds())
	s.remove(func(c *customer) bool {
		c.recent *= recentDecay
		c.usual *= usualDecay
		return c.recent < activeUsage && c.usual < 1 && c.refused == 0
	})
}

// remove removes customers and computes the sums over all others anew, so that rounding errors
// do not add up.
func (s *Sharer) remove(condition func(c *customer) bool) {
	s.total, s.weights = 0, 0
	s.list = slices.DeleteFunc(s.list, func(c *customer) bool {
		if condition(c) {
			delete(s.customers, c.name)
			return true
		}
		s.total += c.recent
		if c.active = c.recent >= activeUsage; c.active {
			s.weights += c.weight
		}
		return false
	})
}

// removeSmallest removes the half of the customers with the least recent usage.
func (s *Sharer) removeSmallest() {
	s.scratch = s.scratch[:0]
	for _, c := range s.list {
		s.scratch = append(s.scratch, c.recent)
	}
	slices.Sort(s.scratch)
	bound, toRemove := s.scratch[len(s.scratch)/2], len(s.scratch)/2
	s.remove(func(c *customer) bool {
		if toRemove == 0 || c.recent > bound {
			return false
		}
		toRemove--
		return true
	})
}

// WeightsOf returns the weights of the customers with a limit: the limit relative to the mean
// of all limits of its unit, as requests and tokens can't be compared.
func WeightsOf(customers []*wire.RoutedCustomer) map[string]float64 {
	sums, counts := map[wire.LimitUnit]float64{}, map[wire.LimitUnit]float64{}
	for _, c := range customers {
		if l := c.GetLimit(); l != nil {
			sums[l.GetUnit()] += l.GetRatePerSecond()
			counts[l.GetUnit()]++
		}
	}
	weights := map[string]float64{}
	for _, c := range customers {
		l := c.GetLimit()
		if l == nil || sums[l.GetUnit()] <= 0 {
			continue
		}
		weights[c.GetName()] = max(minWeight, l.GetRatePerSecond()*counts[l.GetUnit()]/sums[l.GetUnit()])
	}
	return weights
}
