package sharer

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bronzelead.example/pkg/wire"
)

func begin() time.Time { return time.Unix(1e9, 0) }

// use records usage of customers at even rates per second, and returns the time after it.
func use(s *Sharer, now time.Time, d time.Duration, rates map[string]float64) time.Time {
	const step = 50 * time.Millisecond
	for end := now.Add(d); now.Before(end); now = now.Add(step) {
		for name, rate := range rates {
			s.Record(now, name, 0, rate*step.Seconds())
		}
	}
	return now
}

func TestExcess(t *testing.T) {
	for name, test := range map[string]struct {
		// before and then are the rates over two minutes and in the second after it.
		before, then map[string]float64
		above        []string
	}{
		"nothing is known":             {nil, nil, nil},
		"a single customer":            {nil, map[string]float64{"a": 100}, nil},
		"even use":                     {nil, map[string]float64{"a": 50, "b": 50}, nil},
		"uneven use, without history":  {nil, map[string]float64{"a": 100, "b": 10}, []string{"a"}},
		"uneven use, as usual":         {map[string]float64{"a": 100, "b": 10}, map[string]float64{"a": 100, "b": 10}, nil},
		"a large customer grows":       {map[string]float64{"a": 40, "b": 10, "c": 10}, map[string]float64{"a": 240, "b": 10, "c": 10}, []string{"a"}},
		"a small customer grows":       {map[string]float64{"a": 40, "b": 10, "c": 10}, map[string]float64{"a": 40, "b": 75, "c": 10}, []string{"b"}},
		"growth within an even share":  {map[string]float64{"a": 40, "b": 5, "c": 10}, map[string]float64{"a": 40, "b": 20, "c": 10}, nil},
		"requests without a customer":  {map[string]float64{"": 10, "b": 30, "c": 30}, map[string]float64{"": 150, "b": 30, "c": 30}, []string{""}},
		"all grow alike":               {map[string]float64{"a": 40, "b": 40}, map[string]float64{"a": 200, "b": 200}, nil},
		"a customer that was not seen": {map[string]float64{"b": 40, "c": 40}, map[string]float64{"a": 40, "b": 40, "c": 40}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var s Sharer
			now := begin()
			if test.before != nil {
				now = use(&s, now, 2*time.Minute, test.before)
			}
			now = use(&s, now, time.Second, test.then)
			var above []string
			for _, status := range s.TakeAboveShare(now) {
				c.Check(status.Excess, qt.Equals, s.Excess(status.Customer))
				above = append(above, status.Customer)
			}
			c.Check(above, qt.DeepEquals, test.above)
		})
	}
}

// The one further above its share goes last, and weights determine which one that is.
func TestExcessIsWeighted(t *testing.T) {
	c := qt.New(t)
	var s Sharer
	s.Record(begin(), "a", 4, 400)
	s.Record(begin(), "b", 1, 300)
	s.Record(begin(), "c", 5, 1)
	c.Check(s.Excess("b") > s.Excess("a"), qt.IsTrue)
	c.Check(s.Excess("a") > 1, qt.IsTrue)
	c.Check(s.Excess("c"), qt.Equals, 0.0)
	s.Record(begin(), "a", 1, 0)
	c.Check(s.Excess("a") > s.Excess("b"), qt.IsTrue, qt.Commentf("a changed weight has no effect"))
}

// A pause must give no credit beyond the decay: after it a customer is above its share as soon
// as one that was never seen.
func TestPauseGivesNoCredit(t *testing.T) {
	untilAbove := func(paused bool) time.Duration {
		var s Sharer
		rates := map[string]float64{"b": 50, "c": 50, "d": 50}
		now := begin()
		if paused {
			now = use(&s, now, 10*time.Second, map[string]float64{"a": 20, "b": 50, "c": 50, "d": 50})
		}
		now = use(&s, now, 5*time.Minute, rates)
		rates["a"] = 400
		start := now
		for s.Excess("a") == 0 && now.Sub(start) < time.Minute {
			now = use(&s, now, 50*time.Millisecond, rates)
		}
		return now.Sub(start)
	}
	c := qt.New(t)
	c.Check(untilAbove(true), qt.Equals, untilAbove(false))
	c.Check(untilAbove(true) <= recent, qt.IsTrue, qt.Commentf("above its share after %v", untilAbove(true)))
}

// Excess ends within the decay time after a customer has stopped.
func TestExcessDecays(t *testing.T) {
	c := qt.New(t)
	var s Sharer
	rates := map[string]float64{"a": 50, "b": 50}
	now := use(&s, begin(), time.Minute, rates)
	rates["a"] = 300
	now = use(&s, now, 5*time.Second, rates)
	c.Check(s.Excess("a") > 0, qt.IsTrue)
	rates["a"] = 50
	use(&s, now, 2*recent, rates)
	c.Check(s.Excess("a"), qt.Equals, 0.0)
}

// Random arrivals at usual rates must not change the order of requests often: customers near
// their share would be served late by chance.
func TestUsualVariationIsNoExcess(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	rates := []float64{80, 60, 40}
	for range 13 {
		rates = append(rates, 16)
	}
	sum := 0.0
	for _, rate := range rates {
		sum += rate
	}
	var s Sharer
	now, above, checked := begin(), 0, 0
	for end := now.Add(3 * time.Minute); now.Before(end); now = now.Add(time.Duration(random.ExpFloat64() / sum * float64(time.Second))) {
		at, i := random.Float64()*sum, 0
		for at >= rates[i] {
			at -= rates[i]
			i++
		}
		name := strconv.Itoa(i)
		s.Record(now, name, 0, 1)
		if now.Sub(begin()) > time.Minute {
			checked++
			if s.Excess(name) > 0 {
				above++
			}
		}
	}
	c.Check(float64(above) < 0.15*float64(checked), qt.IsTrue, qt.Commentf("%d of %d requests above the share", above, checked))
}

// Customers that come and go must not use more and more memory, and the one with the most usage
// must not be the one that is removed.
func TestMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	var s Sharer
	now := begin()
	for i := range 10 * maxCustomers {
		now = now.Add(10 * time.Microsecond)
		s.Record(now, fmt.Sprint("small", i), 0, 1)
		s.Record(now, "large", 0, 1)
		c.Assert(len(s.customers) <= maxCustomers, qt.IsTrue)
	}
	c.Check(s.Excess("large") > 1, qt.IsTrue)
	s.Record(now.Add(10*time.Minute), "other", 0, 1)
	c.Check(s.customers, qt.HasLen, 1)
}

// A refund takes back usage, and never more than there is.
func TestRefund(t *testing.T) {
	c := qt.New(t)
	var s Sharer
	s.Record(begin(), "a", 0, 100)
	s.Record(begin(), "b", 0, 10)
	c.Check(s.Excess("a") > 0, qt.IsTrue)
	s.Refund(begin(), "a", 90)
	c.Check(s.Excess("a"), qt.Equals, 0.0)
	s.Refund(begin(), "a", 90)
	s.Refund(begin(), "unknown", 90)
	c.Check(s.total, qt.Equals, 10.0)
	c.Check(s.customers["a"].usual, qt.Equals, 0.0)
}

// An owner that has seen the usual rates for some seconds must not put large customers far behind
// small ones, and after a minute not at all.
func TestUsualUsageIsKnownSoon(t *testing.T) {
	c := qt.New(t)
	var s Sharer
	rates := map[string]float64{"large": 100, "b": 20, "c": 20, "d": 20}
	now := use(&s, begin(), time.Second, rates)
	c.Check(s.Excess("large") > 1.5, qt.IsTrue)
	now = use(&s, now, 15*time.Second, rates)
	c.Check(s.Excess("large") < 1.2, qt.IsTrue, qt.Commentf("%.2f", s.Excess("large")))
	use(&s, now, 45*time.Second, rates)
	c.Check(s.Excess("large"), qt.Equals, 0.0)
}

func TestRefusalsAreCounted(t *testing.T) {
	c := qt.New(t)
	var s Sharer
	s.Record(begin(), "a", 0, 100)
	s.Record(begin(), "b", 0, 1)
	for _, name := range []string{"a", "a", "b", "unknown"} {
		s.Refuse(name)
	}
	list := s.TakeAboveShare(begin())
	c.Assert(list, qt.HasLen, 1)
	c.Check(list[0].Customer, qt.Equals, "a")
	c.Check(list[0].Refused, qt.Equals, 2)
	c.Check(s.TakeAboveShare(begin())[0].Refused, qt.Equals, 0)
}

func TestWeightsOf(t *testing.T) {
	limit := func(name string, unit wire.LimitUnit, rate float64) *wire.RoutedCustomer {
		return &wire.RoutedCustomer{Name: name, Limit: &wire.CustomerLimit{Unit: unit, RatePerSecond: rate}}
	}
	requests, tokens := wire.LimitUnit_LIMIT_UNIT_REQUESTS, wire.LimitUnit_LIMIT_UNIT_TOKENS
	for name, test := range map[string]struct {
		customers []*wire.RoutedCustomer
		want      map[string]float64
	}{
		"none":                     {nil, map[string]float64{}},
		"no limit":                 {[]*wire.RoutedCustomer{{Name: "a"}}, map[string]float64{}},
		"in proportion":            {[]*wire.RoutedCustomer{limit("a", requests, 30), limit("b", requests, 10)}, map[string]float64{"a": 1.5, "b": 0.5}},
		"units are not compared":   {[]*wire.RoutedCustomer{limit("a", requests, 30), limit("b", tokens, 1e6)}, map[string]float64{"a": 1, "b": 1}},
		"a limit of zero":          {[]*wire.RoutedCustomer{limit("a", requests, 30), limit("b", requests, 0)}, map[string]float64{"a": 2, "b": minWeight}},
		"only limits of zero":      {[]*wire.RoutedCustomer{limit("a", requests, 0)}, map[string]float64{}},
		"with and without a limit": {[]*wire.RoutedCustomer{limit("a", requests, 30), {Name: "b"}}, map[string]float64{"a": 1}},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Check(WeightsOf(test.customers), qt.DeepEquals, test.want)
		})
	}
}

// Whatever is recorded, the sums match the customers, and not all customers can be above their
// share.
func TestSumsStayConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Sharer
		now := begin()
		for range rapid.IntRange(1, 200).Draw(t, "records") {
			now = now.Add(time.Duration(rapid.IntRange(-100, 5000).Draw(t, "ms")) * time.Millisecond)
			s.Record(now, strconv.Itoa(rapid.IntRange(0, 20).Draw(t, "customer")), rapid.Float64Range(0, 10).Draw(t, "weight"), rapid.Float64Range(0, 50).Draw(t, "amount"))
			total, weights, within := 0.0, 0.0, 0
			if len(s.list) != len(s.customers) {
				t.Fatalf("%d customers in the list, %d in the map", len(s.list), len(s.customers))
			}
			for _, c := range s.customers {
				total += c.recent
				if c.active {
					weights += c.weight
				}
				if s.excess(c) == 0 {
					within++
				}
			}
			if diff := total - s.total; diff > 1e-6 || diff < -1e-6 {
				t.Fatalf("total %v, customers have %v", s.total, total)
			}
			if diff := weights - s.weights; diff > 1e-6 || diff < -1e-6 {
				t.Fatalf("weights %v, active customers have %v", s.weights, weights)
			}
			if within == 0 {
				t.Fatalf("all customers are above their share")
			}
		}
	})
}

func BenchmarkRecordAndExcess(b *testing.B) {
	for _, n := range []int{16, maxCustomers} {
		b.Run(fmt.Sprint(n, " customers"), func(b *testing.B) {
			names := make([]string, n)
			for i := range names {
				names[i] = fmt.Sprint("customer-", i)
			}
			var s Sharer
			now, i := begin(), 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(2 * time.Millisecond)
				s.Record(now, names[i%n], 0, 1)
				s.Excess(names[i%n])
				i++
			}
		})
	}
}

// BenchmarkNewCustomers measures the worst case: each request is from another customer.
func BenchmarkNewCustomers(b *testing.B) {
	names := make([]string, 8*maxCustomers)
	for i := range names {
		names[i] = fmt.Sprint("customer-", i)
	}
	var s Sharer
	now, i := begin(), 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(2 * time.Millisecond)
		s.Record(now, names[i%len(names)], 0, 1)
		i++
	}
}
