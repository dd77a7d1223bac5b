package balancer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/wire"
)

func customer(name string) func(*Waiter) { return func(w *Waiter) { w.Customer = name } }

// contendedBalancer returns a balancer whose backend server has room for one request, and where
// a customer "above" has lately sent most requests.
func contendedBalancer(off ...ablator.Mechanism) *Balancer {
	b := newBalancer("a")
	b.Disabled = ablator.Disable(off...)
	for range 100 {
		b.recordUsage(begin(), waiter("", customer("above")))
	}
	for i := range 10 {
		b.recordUsage(begin(), waiter("", customer(fmt.Sprint("within ", i))))
	}
	b.SetLoads(begin(), []*wire.Load{{Backend: "a", Requests: 3}})
	return b
}

// Requests of a customer above its share go after those of other customers of the same urgency,
// but only while the service is contended, and not if this is switched off.
func TestCustomersAboveTheirShareGoLast(t *testing.T) {
	for name, test := range map[string]struct {
		b       *Balancer
		waiters []*Waiter
		want    string
	}{
		"above its share":          {contendedBalancer(), []*Waiter{waiter("v", customer("above")), waiter("w", customer("within 1"))}, "w"},
		"without a customer":       {contendedBalancer(), []*Waiter{waiter("v", customer("above")), waiter("w")}, "w"},
		"both within their shares": {contendedBalancer(), []*Waiter{waiter("v", customer("within 2")), waiter("w", customer("within 1"))}, "v"},
		"an unknown customer":      {contendedBalancer(), []*Waiter{waiter("v", customer("within 2")), waiter("w", customer("new"))}, "v"},
		"urgent, above its share":  {contendedBalancer(), []*Waiter{waiter("w", customer("within 1"), urgency(1)), waiter("v", customer("above"))}, "v"},
		"without customers":        {contendedBalancer(), []*Waiter{waiter("v"), waiter("w")}, "v"},
		"switched off":             {contendedBalancer(ablator.FairShares), []*Waiter{waiter("v", customer("above")), waiter("w", customer("within 1"))}, "v"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			result := decide(test.b, begin(), test.waiters...)
			for _, w := range test.waiters {
				want := "waits"
				if w.ID == test.want {
					want = "a"
				}
				c.Check(result[w.ID], qt.Equals, want, qt.Commentf("%s", w.ID))
			}
		})
	}
}

// While a service is not contended its requests are decided on in the order of their arrival.
func TestSharesDoNotMatterWithoutContention(t *testing.T) {
	c := qt.New(t)
	b := contendedBalancer()
	b.SetLoads(begin(), nil)
	b.contended = nil
	b.backends["a"].own = 0
	b.Enqueue(waiter("v", customer("above")))
	b.Enqueue(waiter("w", customer("within 1")))
	decisions, _ := b.Next(begin())
	c.Assert(decisions, qt.HasLen, 2)
	c.Check(decisions[0].Waiter.ID, qt.Equals, "v")
}

// A limit weights a customer's share.
func TestLimitsWeightShares(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a")
	limit := func(name string, rate float64) *wire.RoutedCustomer {
		return &wire.RoutedCustomer{Name: name, Limit: &wire.CustomerLimit{Unit: wire.LimitUnit_LIMIT_UNIT_REQUESTS, RatePerSecond: rate}}
	}
	b.SetCustomers([]*wire.RoutedCustomer{limit("large", 100), limit("small", 10)})
	for range 50 {
		b.recordUsage(begin(), waiter("", customer("large")))
		b.recordUsage(begin(), waiter("", customer("small")))
	}
	b.SetLoads(begin(), []*wire.Load{{Backend: "a", Requests: 3}})
	result := decide(b, begin(), waiter("v", customer("small")), waiter("w", customer("large")))
	c.Check(result["w"], qt.Equals, "a")
	c.Check(result["v"], qt.Equals, "waits")
}

func TestRefusalsAboveTheShareAreCounted(t *testing.T) {
	c := qt.New(t)
	b := contendedBalancer()
	b.Enqueue(waiter("v", customer("above")))
	b.Enqueue(waiter("u", customer("above")))
	b.Enqueue(waiter("w", customer("within 1")))
	b.Next(begin())
	decisions, _ := b.Next(begin().Add(time.Second))
	c.Assert(decisions, qt.HasLen, 2)
	for _, d := range decisions {
		c.Check(d.Backend, qt.IsNil)
		b.CountRefusal(d.Waiter)
	}
	list := b.TakeAboveShare(begin().Add(time.Second))
	c.Assert(list, qt.HasLen, 1)
	c.Check(list[0].Service, qt.Equals, "s")
	c.Check(list[0].Customers, qt.HasLen, 1)
	c.Check(list[0].Customers[0].Customer, qt.Equals, "above")
	c.Check(list[0].Customers[0].Refused, qt.Equals, 2)
}

const (
	replayStep     = 5 * time.Millisecond
	replayGateways = 8
	replayEngines  = 8
	replaySlots    = 12
	replayWork     = 500 * time.Millisecond
	replayDeadline = 500 * time.Millisecond
	replayHistory  = 15 * time.Second
	replaySpan     = 10 * time.Second
)

// replayedCustomers sends streams of 16 customers, three of them large, to engines behind
// several gateways, and returns how many of each customer were served that arrived while one
// customer sent several times its usual rate. At lostAt in that span a gateway loses its state.
func replayedCustomers(seed uint64, load float64, flooding int, factor float64, lostAt time.Duration, off ...ablator.Mechanism) []int {
	random := rand.New(rand.NewPCG(seed, 1))
	rates := []float64{0.2, 0.15, 0.1}
	for range 13 {
		rates = append(rates, 0.55/13)
	}
	capacity := replayEngines * replaySlots / replayWork.Seconds()
	newGateway := func() *Balancer {
		b := newBalancer()
		for i := range replayEngines {
			b.UpdateBackend(begin(), &wire.Announcement{Id: fmt.Sprint("e", i), Service: "s", Address: "a", Zone: "z", Slots: replaySlots, Sequence: 1})
		}
		b.Rand, b.Disabled = random, ablator.Disable(off...)
		return b
	}
	var gateways []*Balancer
	for range replayGateways {
		gateways = append(gateways, newGateway())
	}
	arrivals := make([]*rand.Rand, len(rates))
	for i := range rates {
		arrivals[i] = rand.New(rand.NewPCG(seed, uint64(2+i)))
	}
	type stream struct {
		gateway *Balancer
		backend string
	}
	running, ends := map[string]int{}, map[int][]stream{}
	served, counted := make([]int, len(rates)), map[*Waiter]int{}
	for step := range int((replayHistory + replaySpan) / replayStep) {
		at := time.Duration(step) * replayStep
		now := begin().Add(at)
		for _, ended := range ends[step] {
			running[ended.backend]--
			ended.gateway.Done(now, ended.backend, "", 0, Served)
		}
		if lostAt > 0 && at == replayHistory+lostAt {
			gateways[0] = newGateway()
		}
		if step%10 == 0 {
			for _, b := range gateways {
				var others []*wire.Load
				for id, n := range running {
					others = append(others, &wire.Load{Backend: id, Requests: uint32(max(0, n-int(b.backends[id].own)))})
				}
				b.SetLoads(now, others)
			}
		}
		for i, part := range rates {
			// One draw for each possible arrival keeps the arrivals of the other customers equal.
			rate := part * load * capacity * replayStep.Seconds()
			if i == flooding && at >= replayHistory {
				rate *= factor
			}
			n := 0
			for p, u := math.Exp(-rate), arrivals[i].Float64(); u > p && n < 50; n++ {
				u -= p
				p *= rate / float64(n+1)
			}
			for range n {
				w := &Waiter{Service: "s", Customer: fmt.Sprint(i), Deadline: now.Add(replayDeadline)}
				if at >= replayHistory {
					counted[w] = i
				}
				gateways[random.IntN(len(gateways))].Enqueue(w)
			}
		}
		// No gateway is always the first to see a free slot.
		for _, g := range random.Perm(replayGateways) {
			b := gateways[g]
			decisions, _ := b.Next(now)
			for _, d := range decisions {
				if d.Backend == nil {
					continue
				}
				id := d.Backend.GetId()
				if running[id] >= replaySlots {
					b.Done(now, id, "", 0, Full)
					b.Refund(now, d.Waiter)
					b.Enqueue(d.Waiter)
					continue
				}
				running[id]++
				end := step + 1 + int(float64(replayWork)*math.Exp(0.3*random.NormFloat64()-0.045)/float64(replayStep))
				ends[end] = append(ends[end], stream{b, id})
				if i, ok := counted[d.Waiter]; ok {
					served[i]++
				}
			}
		}
	}
	return served
}

// One customer that sends several times its usual rate while the engines' slots are exceeded
// must cost each other customer less than a tenth of what it was served, also if a gateway
// loses its state halfway.
func TestOneCustomerCostsTheOthersLittle(t *testing.T) {
	const seeds = 3
	for name, x := range map[string]struct {
		load     float64
		customer int
		factor   float64
		lostAt   time.Duration
	}{
		"the largest at six times":              {0.8, 0, 6, 0},
		"the largest at 7.5 times":              {0.8, 0, 7.5, 0},
		"a small one at 7.5 times":              {0.85, 5, 7.5, 0},
		"the second, and a gateway loses state": {0.8, 1, 7.5, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			worst := func(off ...ablator.Mechanism) (loss float64, customer, total int) {
				before, after := make([]int, 16), make([]int, 16)
				for seed := range uint64(seeds) {
					for i, n := range replayedCustomers(seed, x.load, x.customer, 1, x.lostAt, off...) {
						before[i] += n
					}
					for i, n := range replayedCustomers(seed, x.load, x.customer, x.factor, x.lostAt, off...) {
						after[i] += n
						total += n
					}
				}
				loss = -1
				for i := range before {
					if l := 1 - float64(after[i])/float64(before[i]); i != x.customer && l > loss {
						loss, customer = l, i
					}
				}
				return loss, customer, total
			}
			off, _, totalOff := worst(ablator.FairShares)
			loss, who, total := worst()
			t.Logf("customer %d loses %.3f, %d served; without shares %.3f, %d", who, loss, total, off, totalOff)
			c.Check(loss < 0.1, qt.IsTrue, qt.Commentf("customer %d loses %.3f", who, loss))
			c.Check(float64(total) > 0.97*float64(totalOff), qt.IsTrue, qt.Commentf("%d served, without shares %d", total, totalOff))
		})
	}
}

// BenchmarkNextDuringFlood decides on a queue of waiting requests of a customer above its share.
func BenchmarkNextDuringFlood(b *testing.B) {
	for name, off := range map[string][]ablator.Mechanism{"with shares": nil, "without": {ablator.FairShares}} {
		b.Run(name, func(b *testing.B) {
			l := newBalancer()
			l.Disabled = ablator.Disable(off...)
			var loads []*wire.Load
			for i := range 60 {
				id := fmt.Sprint("e", i)
				l.UpdateBackend(begin(), &wire.Announcement{Id: id, Service: "s", Address: "a", Zone: "z", Slots: 48, Sequence: 1})
				loads = append(loads, &wire.Load{Backend: id, Requests: 48})
			}
			l.SetLoads(begin(), loads)
			for range 200 {
				l.recordUsage(begin(), waiter("", customer("above")))
			}
			l.recordUsage(begin(), waiter("", customer("within")))
			for range 100 {
				l.Enqueue(waiter("w", customer("above")))
			}
			b.ReportAllocs()
			for b.Loop() {
				l.Next(begin())
			}
		})
	}
}
