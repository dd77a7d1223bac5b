package slotgranter_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/slotgranter"
)

// The plain service of deployment H, as docs/design/hard-load.md describes it.
const (
	shareSlots     = 6
	shareQueue     = 24
	shareWork      = 60 * ms
	shareObjective = 300 * ms
	shareTimeout   = 1500 * ms
	shareHop       = ms
	// shareServers are the backend servers that are left of 7 while the capacity is exceeded.
	shareServers = 5
	shareSeeds   = 2
	// shareHistory is how long all customers send their usual rates before one sends more, and
	// shareSpan for how long it does.
	shareHistory = 20 * time.Second
	shareSpan    = 8 * time.Second
	// maxFactor is the highest factor of a usual rate.
	maxFactor = 8
	// maxLoss is the part that each other customer may lose of what it was served.
	maxLoss = 0.1
)

// shareReplay simulates backend servers whose slots owners grant to the requests of customers, in
// virtual time. Arrivals of a customer depend on the seed alone, so that two replays can be
// compared by customer.
type shareReplay struct {
	random    *rand.Rand
	now       time.Time
	startedAt time.Time
	events    shareEvents
	order     int
	servers   []*shareServer
	// named is not set if owners do not know customers.
	named   bool
	weights []float64
	// served counts the requests of each customer that were sent from countFrom until countUntil
	// and answered on time.
	served                []int
	countFrom, countUntil time.Time
}

type shareServer struct {
	// owners are the gateways that grant its slots: one, or two while gateways do not agree.
	owners  []*shareOwner
	running int
	queue   []func()
	// load counts the requests sent here as gateways know them, some time ago.
	load, knownLoad int
}

type shareOwner struct {
	granter slotgranter.Granter
	decided map[string]func(granted bool)
}

type shareRequest struct {
	customer int
	first    time.Time
	retried  bool
}

type shareEvent struct {
	at    time.Time
	order int
	run   func()
}

type shareEvents []shareEvent

func (e shareEvents) Len() int { return len(e) }
func (e shareEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e shareEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *shareEvents) Push(x any)   { *e = append(*e, x.(shareEvent)) }
func (e *shareEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newShareOwner() *shareOwner { return &shareOwner{decided: map[string]func(bool){}} }

func (r *shareReplay) after(d time.Duration, run func()) {
	r.order++
	heap.Push(&r.events, shareEvent{at: r.now.Add(d), order: r.order, run: run})
}

func (r *shareReplay) runUntil(end time.Time) {
	for len(r.events) > 0 && r.events[0].at.Before(end) {
		e := heap.Pop(&r.events).(shareEvent)
		r.now = e.at
		e.run()
	}
	r.now = end
}

// arrivals lets a customer send requests at a rate that may change with time.
func (r *shareReplay) arrivals(customer int, random *rand.Rand, maxRate float64, rate func(since time.Duration) float64) {
	// Candidates at the highest rate are thinned out, so that a higher rate adds requests to
	// those of a lower one.
	candidateRate := maxRate
	var next func()
	next = func() {
		if random.Float64()*candidateRate < rate(r.now.Sub(r.startedAt)) {
			r.send(&shareRequest{customer: customer, first: r.now})
		}
		r.after(time.Duration(random.ExpFloat64()/candidateRate*float64(time.Second)), next)
	}
	r.after(0, next)
}

func (r *shareReplay) counts(q *shareRequest) bool {
	return !q.first.Before(r.countFrom) && q.first.Before(r.countUntil)
}

func (r *shareReplay) send(q *shareRequest) {
	first := r.pick(nil)
	r.requestSlot(q, first, func() {
		r.requestSlot(q, r.pick(first), func() { r.retry(q) })
	})
}

// pick returns the less loaded of two random servers.
func (r *shareReplay) pick(avoid *shareServer) *shareServer {
	open := slices.DeleteFunc(slices.Clone(r.servers), func(s *shareServer) bool { return s == avoid && len(r.servers) > 1 })
	one, two := open[r.random.IntN(len(open))], open[r.random.IntN(len(open))]
	if two.knownLoad < one.knownLoad {
		return two
	}
	return one
}

func (r *shareReplay) retry(q *shareRequest) {
	if q.retried {
		return
	}
	q.retried = true
	r.after(125*ms+time.Duration(r.random.Int64N(int64(250*ms))), func() { r.send(q) })
}

// requestSlot requests a slot from an owner of a server.
func (r *shareReplay) requestSlot(q *shareRequest, s *shareServer, refused func()) {
	r.order++
	key := fmt.Sprint(r.order)
	owner := s.owners[r.random.IntN(len(s.owners))]
	s.load++
	refuse := func() {
		s.load--
		r.after(shareHop, refused)
	}
	r.after(shareHop, func() {
		a := slotgranter.GrantRequest{Key: key, OnTimeUntil: q.first.Add(shareObjective), Deadline: q.first.Add(shareTimeout), Slots: shareSlots}
		if r.named {
			a.Customer = fmt.Sprint(q.customer)
			if r.weights != nil {
				a.Weight = r.weights[q.customer]
			}
		}
		if !slices.Contains(s.owners, owner) || !owner.granter.Add(r.now, a) {
			refuse()
			return
		}
		owner.decided[key] = func(granted bool) {
			if !granted {
				refuse()
				return
			}
			r.after(2*shareHop, func() { r.reach(q, s, owner, key, refused) })
		}
		r.grant(owner)
	})
	r.after(q.first.Add(shareTimeout).Sub(r.now), func() {
		if owner.granter.Withdraw(key) {
			delete(owner.decided, key)
			refuse()
		}
	})
}

func (r *shareReplay) grant(o *shareOwner) {
	notify := func(list []slotgranter.GrantRequest, granted bool) {
		for _, a := range list {
			decided := o.decided[a.Key]
			delete(o.decided, a.Key)
			decided(granted)
		}
	}
	notify(o.granter.Evict(r.now), false)
	notify(o.granter.Next(r.now), true)
}

// reach delivers a request to a server.
func (r *shareReplay) reach(q *shareRequest, s *shareServer, owner *shareOwner, key string, refused func()) {
	run := func() {
		s.running++
		work := float64(shareWork) * math.Exp(0.3*r.random.NormFloat64()-0.045)
		r.after(time.Duration(work), func() {
			s.running--
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
			r.after(shareHop, func() {
				s.load--
				if r.counts(q) && r.now.Sub(q.first) <= shareObjective {
					r.served[q.customer]++
				}
			})
			r.after(2*shareHop, func() {
				owner.granter.Release(r.now, key, true)
				r.grant(owner)
			})
		})
	}
	switch {
	case s.running < shareSlots:
		run()
	case len(s.queue) < shareQueue:
		s.queue = append(s.queue, run)
	default:
		s.load--
		r.after(shareHop, func() {
			owner.granter.Release(r.now, key, false)
			refused()
		})
	}
}

// tick shares loads and checks the owners without any event.
func (r *shareReplay) tick() {
	for _, s := range r.servers {
		s.knownLoad = s.load
		for _, o := range s.owners {
			r.grant(o)
		}
	}
	r.after(20*ms, r.tick)
}

// replaceOwners replaces all owners. What waits there has to ask the new ones.
func (r *shareReplay) replaceOwners(n int) {
	for _, s := range r.servers {
		old := s.owners
		s.owners = nil
		for range n {
			s.owners = append(s.owners, newShareOwner())
		}
		for _, o := range old {
			waiting := o.decided
			o.decided = map[string]func(bool){}
			o.granter = slotgranter.Granter{}
			for _, key := range sortedKeys(waiting) {
				waiting[key](false)
			}
		}
	}
}

func sortedKeys(m map[string]func(bool)) []string {
	var keys []string
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// shareScenario is a load of customers.
type shareScenario struct {
	// usual are the usual rates of the customers, as fractions of the capacity.
	usual []float64
	// at returns by which factor a customer's rate differs from its usual one at a time since
	// the begin of the measured span; nil for customers that never change.
	factor func(customer int, at time.Duration) float64
	// change happens at changeAt in the measured span.
	change   func(r *shareReplay)
	changeAt time.Duration
	// from is when the measurement begins in the span.
	from    time.Duration
	owners  int
	weights []float64
	unnamed bool
}

// simulate returns how many requests of each customer were served on time.
func (x shareScenario) simulate() []int {
	served := make([]int, len(x.usual))
	capacity := shareServers * shareSlots / shareWork.Seconds()
	for seed := range uint64(shareSeeds) {
		start := time.Unix(1e9, 0)
		r := &shareReplay{
			random: rand.New(rand.NewPCG(seed, 1)), now: start, startedAt: start, named: !x.unnamed, weights: x.weights,
			served: served, countFrom: start.Add(shareHistory + x.from), countUntil: start.Add(shareHistory + shareSpan),
		}
		for range shareServers {
			r.servers = append(r.servers, &shareServer{})
		}
		r.replaceOwners(max(1, x.owners))
		for customer, rate := range x.usual {
			r.arrivals(customer, rand.New(rand.NewPCG(seed, uint64(2+customer))), maxFactor*rate*capacity, func(since time.Duration) float64 {
				if x.factor == nil {
					return rate * capacity
				}
				return rate * capacity * x.factor(customer, since-shareHistory)
			})
		}
		r.tick()
		if x.change != nil {
			r.after(shareHistory+x.changeAt, func() { x.change(r) })
		}
		r.runUntil(start.Add(shareHistory + shareSpan))
		r.countUntil = r.now
		// Arrivals go on, so that the last requests compete as the others did.
		r.runUntil(r.now.Add(shareTimeout))
	}
	return served
}

// losses returns the greatest part that a customer other than one loses compared with a load
// without changed rates, and the part of the capacity that is used.
func (x shareScenario) losses(except int) (loss float64, customer int, used float64) {
	usual := x
	usual.factor = nil
	before := usual.simulate()
	after := x.simulate()
	loss, customer = math.Inf(-1), -1
	total := 0
	for i := range before {
		total += after[i]
		if i == except || before[i] == 0 {
			continue
		}
		if l := 1 - float64(after[i])/float64(before[i]); l > loss {
			loss, customer = l, i
		}
	}
	possible := (shareSpan - x.from).Seconds() * shareSeeds * shareServers * shareSlots / shareWork.Seconds()
	return loss, customer, float64(total) / possible
}

// sixteen returns the usual rates of 16 customers, three of them large.
func sixteen(load float64) []float64 {
	rates := []float64{0.2 * load, 0.15 * load, 0.1 * load}
	for range 13 {
		rates = append(rates, 0.55/13*load)
	}
	return rates
}

// flood lets one customer send more than usual during the measured span.
func flood(customer int, by float64) func(int, time.Duration) float64 {
	return func(c int, at time.Duration) float64 {
		if c == customer && at >= 0 {
			return by
		}
		return 1
	}
}

func (x shareScenario) check(t *testing.T, flooding int, minUsed float64) {
	t.Helper()
	c := qt.New(t)
	loss, customer, used := x.losses(flooding)
	t.Logf("customer %d loses %.3f; %.3f of the capacity used", customer, loss, used)
	c.Check(loss < maxLoss, qt.IsTrue, qt.Commentf("customer %d loses %.3f", customer, loss))
	c.Check(used >= minUsed, qt.IsTrue, qt.Commentf("%.3f of the capacity used", used))
}

// Without customers' names the flood costs the others more than is allowed, so that the load of
// these tests is one that shares are needed for.
func TestFloodCostsTheOthersMuchWithoutShares(t *testing.T) {
	t.Parallel()
	loss, _, _ := shareScenario{usual: sixteen(0.8), factor: flood(0, 7.5), unnamed: true}.losses(0)
	qt.New(t).Check(loss > 3*maxLoss, qt.IsTrue, qt.Commentf("%.3f", loss))
}

// A customer that sends several times its usual rate must not take slots from the others, and
// the slots that they leave are used.
func TestOneCustomerCostsTheOthersLittle(t *testing.T) {
	for name, x := range map[string]struct {
		load     float64
		customer int
		by       float64
	}{
		"the largest at six times":             {0.8, 0, 6},
		"the largest at 7.5 times":             {0.8, 0, 7.5},
		"the largest at 7.5 times, high load":  {0.95, 0, 7.5},
		"the second at 7.5 times":              {0.8, 1, 7.5},
		"a small one at six times, high load":  {0.95, 5, 6},
		"a small one at 7.5 times, high load":  {0.95, 5, 7.5},
		"the largest at six times, with slack": {0.56, 0, 6},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			shareScenario{usual: sixteen(x.load), factor: flood(x.customer, x.by)}.check(t, x.customer, 0.8)
		})
	}
}

// Shares that are not used go to those who can use them: an order must not act as a limit.
func TestUnusedSharesAreUsed(t *testing.T) {
	t.Run("by a customer beside the others", func(t *testing.T) {
		t.Parallel()
		shareScenario{usual: sixteen(0.4), factor: flood(0, 8)}.check(t, 0, 0.9)
	})
	t.Run("by a customer alone", func(t *testing.T) {
		t.Parallel()
		x := shareScenario{usual: sixteen(0.8), factor: func(c int, at time.Duration) float64 {
			switch {
			case at < 0:
				return 1
			case c == 0:
				return 8
			}
			return 0
		}}
		served := x.simulate()
		possible := shareSpan.Seconds() * shareSeeds * shareServers * shareSlots / shareWork.Seconds()
		used := float64(served[0]) / possible
		qt.New(t).Check(used > 0.9, qt.IsTrue, qt.Commentf("%.3f of the capacity used", used))
	})
}

// Customers with so little usage each that a single request exceeds an even share keep what they
// had too.
func TestManySmallCustomersLoseLittle(t *testing.T) {
	t.Parallel()
	usual := []float64{0.1}
	for range 300 {
		usual = append(usual, 0.8/300)
	}
	x := shareScenario{usual: usual}
	before := x.simulate()
	x.factor = flood(0, 7.5)
	after := x.simulate()
	sum := func(list []int) (n int) {
		for _, v := range list[1:] {
			n += v
		}
		return n
	}
	loss := 1 - float64(sum(after))/float64(sum(before))
	t.Logf("they lose %.3f, the large customer was served %d and %d", loss, before[0], after[0])
	qt.New(t).Check(loss < maxLoss, qt.IsTrue, qt.Commentf("they lose %.3f", loss))
}

// A customer that comes back after a pause must get no credit for the pause.
func TestPauseBeforeAFloodCostsTheOthersLittle(t *testing.T) {
	for name, customer := range map[string]int{"the largest": 0, "a small one": 5} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			shareScenario{usual: sixteen(0.9), factor: func(c int, at time.Duration) float64 {
				switch {
				case c != customer || at < -10*time.Second:
					return 1
				case at < 0:
					return 0
				}
				return 7.5
			}}.check(t, customer, 0.8)
		})
	}
}

// A new owner knows nothing of the customers' usage. Shares must be even again within the decay
// time, and the replacement must not cost the others more than a flood may.
func TestReplacedOwnerDividesEvenlyAgain(t *testing.T) {
	replace := func(r *shareReplay) { r.replaceOwners(1) }
	for name, from := range map[string]time.Duration{"whole span": 0, "after the decay time": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			shareScenario{usual: sixteen(0.8), factor: flood(0, 7.5), change: replace, changeAt: 3 * time.Second, from: from}.check(t, 0, 0.8)
		})
	}
}

// While gateways do not agree on the owner, two grant the slots of each server, each by what it
// has granted itself. The others must not lose more than they do to two owners without a flood.
func TestTwoOwnersDivideEvenly(t *testing.T) {
	for name, x := range map[string]shareScenario{
		"all the time": {owners: 2},
		"halfway":      {change: func(r *shareReplay) { r.replaceOwners(2) }, changeAt: 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x.usual, x.factor = sixteen(0.8), flood(0, 7.5)
			x.check(t, 0, 0)
		})
	}
}

// Weights protect large customers of an owner that has not seen their usual rates.
func TestWeightsReplaceHistory(t *testing.T) {
	t.Parallel()
	x := shareScenario{usual: sixteen(0.9), factor: func(c int, _ time.Duration) float64 {
		if c == 5 {
			return 7.5
		}
		return 1
	}}
	for _, rate := range x.usual {
		x.weights = append(x.weights, 16*rate)
	}
	x.check(t, 5, 0.8)
}

// The usage of a long flood must not count as usual to the cost of the others: here it began
// when little was known of what is usual.
func TestLongFloodCostsTheOthersLittle(t *testing.T) {
	t.Parallel()
	shareScenario{usual: sixteen(0.8), factor: func(c int, at time.Duration) float64 {
		if c == 0 && at >= -shareHistory+6*time.Second {
			return 7.5
		}
		return 1
	}}.check(t, 0, 0.8)
}

// While customers send what they usually do, about as many requests must be on time as without
// customers' names, for each customer: random variation must not reorder requests to their cost.
func TestUsualLoadIsServedAsBefore(t *testing.T) {
	for _, load := range []float64{0.8, 0.95, 1.2} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			x := shareScenario{usual: sixteen(load)}
			with := x.simulate()
			x.unnamed = true
			without := x.simulate()
			sumWith, sumWithout := 0, 0
			for i := range with {
				sumWith, sumWithout = sumWith+with[i], sumWithout+without[i]
			}
			t.Logf("%d and %d without names", sumWith, sumWithout)
			c.Check(float64(sumWith) > 0.98*float64(sumWithout), qt.IsTrue, qt.Commentf("%d served, without names %d", sumWith, sumWithout))
		})
	}
}
