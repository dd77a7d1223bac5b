package quotaallocator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"bronzelead.example/pkg/wire"
)

// world is a leader and gateways that lose it now and then, with all that was sent on.
type world struct {
	c        failer
	random   *rand.Rand
	rule     Rule
	limit    *wire.CustomerLimit
	now      time.Time
	term     uint64
	lender   *Allocator
	gateways []*gateway
	sends    []sent
	waiting  []waiting
	// queued are requests that were let in and wait for a backend server for a delay.
	queued  []queued
	delay   time.Duration
	asked   float64
	refused float64
}

// failer is what a test or a property can do.
type failer interface {
	Fatalf(format string, args ...any)
}

type gateway struct {
	name    string
	account Account
	// cut and frozen are until when no call passes, and nothing happens at all.
	cut, frozen time.Time
	called      time.Time
	started     time.Time
	// term is that of the leader that it has called last.
	term uint64
}

type sent struct {
	at   time.Time
	size float64
}

const step = 10 * time.Millisecond

func newWorld(c failer, seed uint64, gateways int, rule Rule, limit *wire.CustomerLimit) *world {
	w := &world{c: c, random: rand.New(rand.NewPCG(seed, 0)), rule: rule, limit: limit, now: time.Unix(1e9, 0)}
	started := w.now.Add(-time.Minute)
	for i := range gateways {
		w.gateways = append(w.gateways, &gateway{name: fmt.Sprint("g", i), started: started})
	}
	w.lead()
	return w
}

func (w *world) customers() []*wire.RoutedCustomer {
	return []*wire.RoutedCustomer{{Name: "a", Limit: w.limit}}
}

// lead lets another leader begin.
func (w *world) lead() {
	w.term++
	w.lender = &Allocator{Rule: w.rule, GatewayCount: len(w.gateways)}
	for _, g := range w.gateways {
		w.lender.KnownGateways = append(w.lender.KnownGateways, g.name)
	}
	w.lender.Begin(w.now, w.term, w.customers())
}

// call lets a gateway ask the leader, if there is one that it reaches.
func (w *world) call(g *gateway, needed uint64) bool {
	g.called = w.now
	if w.lender == nil || w.now.Before(g.cut) {
		return false
	}
	said := g.account.Report(w.now, "a", needed)
	res := w.lender.Allocate(w.now, &wire.Borrower{
		Gateway: g.name, Address: g.name, RunningMs: uint32(w.now.Sub(g.started).Milliseconds()), Accounts: []*wire.CreditAccount{said},
	})
	g.account.Receive(w.now, w.now, res.GetCredits()[0])
	g.term = w.term
	return true
}

// waiting is a request at a gateway that does not reach the leader.
type waiting struct {
	gateway *gateway
	size    uint64
	until   time.Time
}

type queued struct {
	account *Account
	size    uint64
	due     time.Time
}

// patience is how long a request waits for the leader's word.
const patience = 400 * time.Millisecond

// request lets a request come to a gateway.
func (w *world) request(g *gateway, size uint64) {
	if w.now.Before(g.frozen) {
		return
	}
	w.asked += float64(size)
	g.account.RecordDemand(w.now, size)
	r := waiting{g, size, w.now.Add(patience)}
	if !w.try(r) {
		w.waiting = append(w.waiting, r)
	}
}

// try sends a request on if it may be, and reports whether it waits no longer.
func (w *world) try(r waiting) bool {
	p := &r.gateway.account
	ok := p.Hold(w.now, r.size)
	for range 2 {
		if !ok && p.RetryIn(w.now) == 0 && w.call(r.gateway, r.size) {
			ok = p.Hold(w.now, r.size)
		}
	}
	switch {
	case ok && w.delay > 0:
		w.queued = append(w.queued, queued{p, r.size, w.now.Add(w.delay)})
	case ok:
		w.send(p, r.size)
	case p.RetryIn(w.now) > 0 || !w.now.Before(r.until):
		w.refused += float64(r.size)
	default:
		return false
	}
	return true
}

func (w *world) send(p *Account, size uint64) {
	p.Spend(w.now, size)
	w.sends = append(w.sends, sent{w.now, float64(size)})
}

func (w *world) pass() {
	w.now = w.now.Add(step)
	w.queued = slices.DeleteFunc(w.queued, func(q queued) bool {
		if w.now.Before(q.due) && w.delay > 0 {
			return false
		}
		w.send(q.account, q.size)
		return true
	})
	if w.lender != nil {
		w.lender.Tick(w.now)
	}
	w.waiting = slices.DeleteFunc(w.waiting, func(r waiting) bool { return !w.now.Before(r.gateway.frozen) && w.try(r) })
	for _, g := range w.gateways {
		idle := g.account.Idle(w.now) && g.term == w.term
		if !w.now.Before(g.frozen) && w.now.Sub(g.called) >= soonestCall && !idle {
			w.call(g, 0)
		}
	}
}

// check fails if in any window more was sent than the rule allows.
func (w *world) check() {
	allowed := (w.limit.GetRatePerSecond()*w.rule.Window.Seconds()+w.limit.GetBurst())*(1+w.rule.Overage) + w.rule.Slack
	sum, from := 0.0, 0
	for _, s := range w.sends {
		sum += s.size
		for s.at.Sub(w.sends[from].at) > w.rule.Window {
			sum -= w.sends[from].size
			from++
		}
		if sum > allowed {
			w.c.Fatalf("%.0f were sent in the window that ends at %v; %.0f are allowed", sum, s.at.Sub(time.Unix(1e9, 0)), allowed)
		}
	}
}

var testRule = Rule{Window: 8 * time.Second, Overage: 0.1, Slack: 110_000}

func tokens(rate, burst float64) *wire.CustomerLimit {
	return &wire.CustomerLimit{Unit: wire.LimitUnit_LIMIT_UNIT_TOKENS, RatePerSecond: rate, Burst: burst, PlainTokens: 200}
}

// load sends requests for a time, at a rate in units a second, at gateways that pick chooses.
func (w *world) load(d time.Duration, rate float64, pick func() *gateway) {
	due := 0.0
	for end := w.now.Add(d); w.now.Before(end); {
		due += rate * step.Seconds()
		for due > 0 {
			size := uint64(200)
			if w.random.IntN(3) > 0 {
				size = 300 + w.random.Uint64N(800)
			}
			due -= float64(size)
			w.request(pick(), size)
		}
		w.pass()
	}
}

func (w *world) anywhere() *gateway { return w.gateways[w.random.IntN(len(w.gateways))] }

// Below nine tenths of the limit nothing is refused, wherever the requests come to.
func TestNothingIsRefusedBelowTheLimit(t *testing.T) {
	for name, test := range map[string]struct {
		rate  float64
		where func(w *world) func() *gateway
	}{
		"large, everywhere":  {274_000, func(w *world) func() *gateway { return w.anywhere }},
		"small, everywhere":  {29_000, func(w *world) func() *gateway { return w.anywhere }},
		"large, one gateway": {274_000, func(w *world) func() *gateway { return func() *gateway { return w.gateways[3] } }},
		"small, one gateway": {29_000, func(w *world) func() *gateway { return func() *gateway { return w.gateways[3] } }},
		"large, a fifth":     {274_000, func(w *world) func() *gateway { return func() *gateway { return w.gateways[w.random.IntN(16)] } }},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(c, 1, 81, testRule, tokens(test.rate, test.rate))
			w.load(10*time.Second, 0, nil)
			w.load(10*time.Second, 0.9*test.rate, test.where(w))
			c.Check(w.refused, qt.Equals, 0.0)
			w.check()
		})
	}
}

// A load of many times the limit gets the limit: no more than the rule allows, and no less
// than the rate.
func TestALoadBeyondTheLimitGetsTheLimit(t *testing.T) {
	for name, rate := range map[string]float64{"large": 274_000, "small": 29_000} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(c, 1, 81, testRule, tokens(rate, rate))
			w.load(10*time.Second, 0.55*rate, w.anywhere)
			before := len(w.sends)
			w.load(12*time.Second, 4*rate, w.anywhere)
			w.check()
			got := 0.0
			for _, s := range w.sends[before:] {
				got += s.size
			}
			c.Check(got > 0.95*12*rate, qt.IsTrue, qt.Commentf("%.2f of the rate", got/12/rate))
		})
	}
}

// The usual load of a customer goes on while there is no leader.
func TestTheUsualLoadGoesOnWithoutALeader(t *testing.T) {
	for name, rate := range map[string]float64{"large": 274_000, "small": 29_000} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(c, 1, 81, testRule, tokens(rate, rate))
			w.load(10*time.Second, 0.55*rate, w.anywhere)
			refused, asked := w.refused, w.asked
			w.lender = nil
			w.load(2*time.Second, 0.55*rate, w.anywhere)
			part := (w.refused - refused) / (w.asked - asked)
			c.Check(part < 0.5, qt.IsTrue, qt.Commentf("%.3f were refused", part))
			w.lead()
			w.load(6*time.Second, 0.55*rate, w.anywhere)
			w.check()
			t.Log(part, (w.refused-refused)/(w.asked-asked))
		})
	}
}

// A new leader that all gateways call lends on: a customer that has most of its window left
// gets it.
func TestANewLeaderLendsOn(t *testing.T) {
	c := qt.New(t)
	const rate = 114_000
	w := newWorld(c, 1, 81, testRule, tokens(rate, rate))
	w.load(10*time.Second, 0.55*rate, w.anywhere)
	w.lead()
	w.load(time.Second, 0.55*rate, w.anywhere)
	asked, refused := w.asked, w.refused
	w.load(time.Second, 3*rate, w.anywhere)
	part := (w.refused - refused) / (w.asked - asked)
	c.Check(part < 0.05, qt.IsTrue, qt.Commentf("%.3f were refused", part))
	w.load(10*time.Second, 3*rate, w.anywhere)
	w.check()
}

// A new leader that has heard all gateways knows all that was spent, however little was kept
// for them: a burst that comes soon after is let in up to the limit.
func TestANewLeaderThatHasHeardAllLendsTheWholeWindow(t *testing.T) {
	c := qt.New(t)
	const rate = 176_000
	w := newWorld(c, 1, 81, testRule, tokens(rate, rate))
	w.load(2500*time.Millisecond, 0.3*rate, w.anywhere)
	w.lead()
	w.load(time.Second, 0.3*rate, w.anywhere)
	asked, refused := w.asked, w.refused
	w.load(2*time.Second, 3.3*rate, w.anywhere)
	part := (w.refused - refused) / (w.asked - asked)
	c.Check(part < 0.05, qt.IsTrue, qt.Commentf("%.3f were refused", part))
	w.load(8*time.Second, 3.3*rate, w.anywhere)
	w.check()
}

// After the loss of all gateways and leaders the usual load is served.
func TestTheUsualLoadIsServedAfterTheLossOfAll(t *testing.T) {
	for name, rate := range map[string]float64{"large": 274_000, "small": 29_000} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(c, 1, 81, testRule, tokens(rate, rate))
			w.load(10*time.Second, 0.55*rate, w.anywhere)
			w.lender = nil
			for _, g := range w.gateways {
				g.account, g.started = Account{}, w.now
			}
			w.now = w.now.Add(2 * time.Second)
			w.lead()
			asked, refused := w.asked, w.refused
			w.load(4*time.Second, 0.55*rate, w.anywhere)
			part := (w.refused - refused) / (w.asked - asked)
			c.Check(part < 0.05, qt.IsTrue, qt.Commentf("%.3f were refused", part))
			w.check()
		})
	}
}

// Whatever happens to leaders and gateways, no window has more than the rule allows.
func TestNoWindowHasMoreThanTheRuleAllows(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rate := rapid.SampledFrom([]float64{29_000, 60_000, 274_000}).Draw(r, "rate")
		gateways := rapid.IntRange(1, 40).Draw(r, "gateways")
		w := newWorld(r, rapid.Uint64().Draw(r, "seed"), gateways, testRule, tokens(rate, rate))
		some := func() *gateway { return w.gateways[rapid.IntRange(0, gateways-1).Draw(r, "gateway")] }
		for range rapid.IntRange(5, 30).Draw(r, "steps") {
			span := time.Duration(rapid.IntRange(50, 3000).Draw(r, "ms")) * time.Millisecond
			switch rapid.SampledFrom([]string{"load", "load", "quiet", "slow", "fast", "leader", "cut", "freeze", "restart", "lost"}).Draw(r, "event") {
			case "quiet":
				w.load(10*time.Second, 0.3*rate, w.anywhere)
			case "slow":
				w.delay = span
			case "fast":
				w.delay = 0
			case "leader":
				w.lead()
			case "lost":
				w.lender = nil
				w.load(min(span, time.Second), 4*rate, w.anywhere)
				w.lead()
			case "cut":
				// At most half of the gateways, for which a new leader keeps half of the rate.
				for range gateways / 2 {
					some().cut = w.now.Add(2 * span)
				}
			case "freeze":
				some().frozen = w.now.Add(2 * span)
			case "restart":
				g := some()
				w.queued = slices.DeleteFunc(w.queued, func(q queued) bool { return q.account == &g.account })
				g.account, g.started = Account{}, w.now
			}
			w.load(span, rate*rapid.Float64Range(0.2, 6).Draw(r, "load"), w.anywhere)
		}
		w.check()
	})
}

// cutHalf cuts half of the gateways off for a time.
func (w *world) cutHalf(d time.Duration) {
	for _, g := range w.gateways[:len(w.gateways)/2] {
		g.cut = w.now.Add(d)
	}
}

// The worst that may happen to a customer's limit, while its callers ask for many times of it
// and its burst was there: each adds to one window what somebody else does not know of.
func TestTheWorstWindows(t *testing.T) {
	const rate = 274_000
	for name, happens := range map[string]func(w *world){
		"requests that were let in wait, and are then sent together": func(w *world) {
			w.delay = time.Minute
			w.load(3*time.Second, 6*rate, w.anywhere)
			w.delay = 0
		},
		"half of the gateways are cut off": func(w *world) { w.cutHalf(8 * time.Second) },
		"half are cut off and come back": func(w *world) {
			w.cutHalf(3900 * time.Millisecond)
			w.load(4*time.Second, 6*rate, w.anywhere)
		},
		"half are cut off, and there is a new leader": func(w *world) {
			w.load(2*time.Second, 6*rate, w.anywhere)
			w.cutHalf(8 * time.Second)
			w.lead()
		},
		"no leader, and then a new one": func(w *world) {
			w.load(time.Second, 6*rate, w.anywhere)
			w.lender = nil
			w.load(2*time.Second, 6*rate, w.anywhere)
			w.lead()
		},
		"half are frozen and wake": func(w *world) {
			for _, g := range w.gateways[:len(w.gateways)/2] {
				g.frozen = w.now.Add(3 * time.Second)
			}
		},
		"the limit is set anew": func(w *world) {
			for range 4 {
				w.load(time.Second, 6*rate, w.anywhere)
				w.lender.SetCustomers(w.now, w.customers())
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(qt.New(t), 1, 81, testRule, tokens(rate, rate))
			w.load(15*time.Second, 0.3*rate, w.anywhere)
			happens(w)
			w.load(10*time.Second, 6*rate, w.anywhere)
			w.check()
		})
	}
}

// A lower limit binds after a window, and until then a customer that asks for a little more
// than it is not left without.
func TestALowerLimit(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 1, 81, testRule, tokens(274_000, 274_000))
	w.load(10*time.Second, 150_000, w.anywhere)
	w.limit = tokens(30_000, 30_000)
	w.lender.SetCustomers(w.now, w.customers())
	for _, g := range w.gateways {
		g.account.Reset()
	}
	asked, refused := w.asked, w.refused
	w.load(testRule.Window, 45_000, w.anywhere)
	part := (w.refused - refused) / (w.asked - asked)
	c.Check(part < 0.1, qt.IsTrue, qt.Commentf("%.2f were refused", part))
	w.sends = nil
	w.load(12*time.Second, 150_000, w.anywhere)
	w.check()
}

// A customer that nobody asks for any more has all of its credit at the leader again, and
// costs no calls.
func TestIdleCreditIsGivenBack(t *testing.T) {
	c := qt.New(t)
	w := newWorld(c, 1, 81, testRule, tokens(29_000, 29_000))
	w.load(10*time.Second, 16_000, w.anywhere)
	w.load(40*time.Second, 0, nil)
	for _, g := range w.gateways {
		c.Assert(g.account.Idle(w.now), qt.IsTrue)
	}
	c.Check(w.lender.customers["a"].unspent, qt.Equals, 0.0)
	c.Check(math.Round(w.lender.room(w.now, w.lender.customers["a"])-w.lender.customers["a"].reserved), qt.Equals, 9*29_000.0)
}

func BenchmarkHoldAndSpend(b *testing.B) {
	now := time.Unix(1e9, 0)
	p := &Account{}
	p.Receive(now, now, &wire.Credit{Account: 1, Lent: 1 << 60})
	b.ReportAllocs()
	for b.Loop() {
		p.RecordDemand(now, 700)
		if !p.Hold(now, 700) {
			b.Fatal("there is no credit")
		}
		p.Spend(now, 700)
	}
}

// One call of a gateway with 500 customers that 1,200 gateways have accounts of.
func BenchmarkBorrow(b *testing.B) {
	now := time.Unix(1e9, 0)
	var customers []*wire.RoutedCustomer
	said := &wire.Borrower{}
	for i := range 500 {
		name := fmt.Sprint("c", i)
		customers = append(customers, &wire.RoutedCustomer{Name: name, Limit: tokens(274_000, 274_000)})
		said.Accounts = append(said.Accounts, &wire.CreditAccount{Customer: name, Rate: 200, Needed: 700})
	}
	l := &Allocator{Rule: testRule, GatewayCount: 1200}
	l.Begin(now, 1, customers)
	for i := range 1200 {
		said.Gateway = fmt.Sprint("g", i)
		l.Allocate(now, said)
	}
	for b.Loop() {
		now = now.Add(time.Millisecond)
		l.Allocate(now, said)
	}
}

// The bytes of a call for one customer, and of its answer.
func BenchmarkBytes(b *testing.B) {
	now := time.Unix(1e9, 0)
	l := &Allocator{Rule: testRule, GatewayCount: 81}
	l.Begin(now.Add(-time.Hour), 1, []*wire.RoutedCustomer{{Name: "customer-17", Limit: tokens(274_000, 274_000)}})
	p := &Account{}
	var said *wire.Borrower
	var res *wire.BorrowerCredit
	for range 400 {
		now = now.Add(25 * time.Millisecond)
		p.RecordDemand(now, 700)
		said = &wire.Borrower{Gateway: "edge-bergen-a-17", Accounts: []*wire.CreditAccount{p.Report(now, "customer-17", 700)}}
		res = l.Allocate(now, said)
		p.Receive(now, now, res.GetCredits()[0])
		if p.Hold(now, 700) {
			p.Spend(now, 700)
		}
	}
	for b.Loop() {
		_ = proto.Size(said)
	}
	b.ReportMetric(float64(proto.Size(said.GetAccounts()[0])), "B/account")
	b.ReportMetric(float64(proto.Size(res.GetCredits()[0])), "B/credit")
}
