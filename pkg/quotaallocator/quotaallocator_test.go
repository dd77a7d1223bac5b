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

// simulation is a leader, gateways that lose contact with it, and all sent requests.
type simulation struct {
	c         failer
	random    *rand.Rand
	rule      Rule
	limit     *wire.CustomerLimit
	now       time.Time
	term      uint64
	allocator *Allocator
	gateways  []*gateway
	sends     []sent
	waiting   []waiting
	// queued are admitted requests that wait for a backend server for a delay.
	queued    []queued
	delay     time.Duration
	requested float64
	refused   float64
}

// failer is implemented by tests and rapid properties.
type failer interface {
	Fatalf(format string, args ...any)
}

type gateway struct {
	name    string
	account Account
	// No call passes until partitionedUntil, and nothing happens at all until frozenUntil.
	partitionedUntil, frozenUntil time.Time
	calledAt                      time.Time
	startedAt                     time.Time
	// term is that of the leader that it has called last.
	term uint64
}

type sent struct {
	at   time.Time
	size float64
}

const step = 10 * time.Millisecond

func newSimulation(c failer, seed uint64, gateways int, rule Rule, limit *wire.CustomerLimit) *simulation {
	w := &simulation{c: c, random: rand.New(rand.NewPCG(seed, 0)), rule: rule, limit: limit, now: time.Unix(1e9, 0)}
	started := w.now.Add(-time.Minute)
	for i := range gateways {
		w.gateways = append(w.gateways, &gateway{name: fmt.Sprint("g", i), startedAt: started})
	}
	w.startLeader()
	return w
}

func (w *simulation) customers() []*wire.RoutedCustomer {
	return []*wire.RoutedCustomer{{Name: "a", Limit: w.limit}}
}

// startLeader starts a new leader.
func (w *simulation) startLeader() {
	w.term++
	w.allocator = &Allocator{Rule: w.rule, GatewayCount: len(w.gateways)}
	for _, g := range w.gateways {
		w.allocator.KnownGateways = append(w.allocator.KnownGateways, g.name)
	}
	w.allocator.Begin(w.now, w.term, w.customers())
}

// call sends a gateway's report to the leader, if there is one that it reaches.
func (w *simulation) call(g *gateway, needed uint64) bool {
	g.calledAt = w.now
	if w.allocator == nil || w.now.Before(g.partitionedUntil) {
		return false
	}
	report := g.account.Report(w.now, "a", needed)
	res := w.allocator.Allocate(w.now, &wire.Borrower{
		Gateway: g.name, Address: g.name, RunningMs: uint32(w.now.Sub(g.startedAt).Milliseconds()), Accounts: []*wire.CreditAccount{report},
	})
	g.account.Receive(w.now, w.now, res.GetCredits()[0])
	g.term = w.term
	return true
}

// waiting is a request at a gateway that waits for quota.
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

// maxWait is how long a request waits for the leader's answer.
const maxWait = 400 * time.Millisecond

// request adds a request at a gateway.
func (w *simulation) request(g *gateway, size uint64) {
	if w.now.Before(g.frozenUntil) {
		return
	}
	w.requested += float64(size)
	g.account.RecordDemand(w.now, size)
	r := waiting{g, size, w.now.Add(maxWait)}
	if !w.trySend(r) {
		w.waiting = append(w.waiting, r)
	}
}

// trySend sends a request if it is admitted, and reports whether it is decided.
func (w *simulation) trySend(r waiting) bool {
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

func (w *simulation) send(p *Account, size uint64) {
	p.Spend(w.now, size)
	w.sends = append(w.sends, sent{w.now, float64(size)})
}

func (w *simulation) advance() {
	w.now = w.now.Add(step)
	w.queued = slices.DeleteFunc(w.queued, func(q queued) bool {
		if w.now.Before(q.due) && w.delay > 0 {
			return false
		}
		w.send(q.account, q.size)
		return true
	})
	if w.allocator != nil {
		w.allocator.Tick(w.now)
	}
	w.waiting = slices.DeleteFunc(w.waiting, func(r waiting) bool { return !w.now.Before(r.gateway.frozenUntil) && w.trySend(r) })
	for _, g := range w.gateways {
		idle := g.account.Idle(w.now) && g.term == w.term
		if !w.now.Before(g.frozenUntil) && w.now.Sub(g.calledAt) >= minReportInterval && !idle {
			w.call(g, 0)
		}
	}
}

// check fails if more was sent in any window than the rule allows.
func (w *simulation) check() {
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

// load sends requests for a time, at a rate in units per second, at gateways that pick chooses.
func (w *simulation) load(d time.Duration, rate float64, pick func() *gateway) {
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
		w.advance()
	}
}

func (w *simulation) anyGateway() *gateway { return w.gateways[w.random.IntN(len(w.gateways))] }

// Below 90% of the limit nothing is refused, whichever gateways the requests come to.
func TestNoRefusalsBelowLimit(t *testing.T) {
	for name, test := range map[string]struct {
		rate  float64
		where func(w *simulation) func() *gateway
	}{
		"large, everywhere":  {274_000, func(w *simulation) func() *gateway { return w.anyGateway }},
		"small, everywhere":  {29_000, func(w *simulation) func() *gateway { return w.anyGateway }},
		"large, one gateway": {274_000, func(w *simulation) func() *gateway { return func() *gateway { return w.gateways[3] } }},
		"small, one gateway": {29_000, func(w *simulation) func() *gateway { return func() *gateway { return w.gateways[3] } }},
		"large, a fifth":     {274_000, func(w *simulation) func() *gateway { return func() *gateway { return w.gateways[w.random.IntN(16)] } }},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newSimulation(c, 1, 81, testRule, tokens(test.rate, test.rate))
			w.load(10*time.Second, 0, nil)
			w.load(10*time.Second, 0.9*test.rate, test.where(w))
			c.Check(w.refused, qt.Equals, 0.0)
			w.check()
		})
	}
}

// Under a load of many times the limit, a customer gets no more than the rule allows, and no
// less than the rate.
func TestOverloadGetsFullLimit(t *testing.T) {
	for name, rate := range map[string]float64{"large": 274_000, "small": 29_000} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newSimulation(c, 1, 81, testRule, tokens(rate, rate))
			w.load(10*time.Second, 0.55*rate, w.anyGateway)
			before := len(w.sends)
			w.load(12*time.Second, 4*rate, w.anyGateway)
			w.check()
			got := 0.0
			for _, s := range w.sends[before:] {
				got += s.size
			}
			c.Check(got > 0.95*12*rate, qt.IsTrue, qt.Commentf("%.2f of the rate", got/12/rate))
		})
	}
}

// Without a leader, at least half of a customer's usual load is served.
func TestUsualLoadContinuesWithoutLeader(t *testing.T) {
	for name, rate := range map[string]float64{"large": 274_000, "small": 29_000} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newSimulation(c, 1, 81, testRule, tokens(rate, rate))
			w.load(10*time.Second, 0.55*rate, w.anyGateway)
			refused, requested := w.refused, w.requested
			w.allocator = nil
			w.load(2*time.Second, 0.55*rate, w.anyGateway)
			part := (w.refused - refused) / (w.requested - requested)
			c.Check(part < 0.5, qt.IsTrue, qt.Commentf("%.3f were refused", part))
			w.startLeader()
			w.load(6*time.Second, 0.55*rate, w.anyGateway)
			w.check()
			t.Log(part, (w.refused-refused)/(w.requested-requested))
		})
	}
}

// Once all gateways call a new leader, a customer with most of its window left gets it.
func TestNewLeaderContinuesGranting(t *testing.T) {
	c := qt.New(t)
	const rate = 114_000
	w := newSimulation(c, 1, 81, testRule, tokens(rate, rate))
	w.load(10*time.Second, 0.55*rate, w.anyGateway)
	w.startLeader()
	w.load(time.Second, 0.55*rate, w.anyGateway)
	requested, refused := w.requested, w.refused
	w.load(time.Second, 3*rate, w.anyGateway)
	part := (w.refused - refused) / (w.requested - requested)
	c.Check(part < 0.05, qt.IsTrue, qt.Commentf("%.3f were refused", part))
	w.load(10*time.Second, 3*rate, w.anyGateway)
	w.check()
}

// A new leader with reports of all gateways knows all usage, however little was reserved: a
// burst soon after is admitted up to the limit.
func TestNewLeaderGrantsWholeWindowAfterAllReports(t *testing.T) {
	c := qt.New(t)
	const rate = 176_000
	w := newSimulation(c, 1, 81, testRule, tokens(rate, rate))
	w.load(2500*time.Millisecond, 0.3*rate, w.anyGateway)
	w.startLeader()
	w.load(time.Second, 0.3*rate, w.anyGateway)
	requested, refused := w.requested, w.refused
	w.load(2*time.Second, 3.3*rate, w.anyGateway)
	part := (w.refused - refused) / (w.requested - requested)
	c.Check(part < 0.05, qt.IsTrue, qt.Commentf("%.3f were refused", part))
	w.load(8*time.Second, 3.3*rate, w.anyGateway)
	w.check()
}

// After the loss of all gateways and leaders the usual load is served.
func TestUsualLoadIsServedAfterTotalLoss(t *testing.T) {
	for name, rate := range map[string]float64{"large": 274_000, "small": 29_000} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := newSimulation(c, 1, 81, testRule, tokens(rate, rate))
			w.load(10*time.Second, 0.55*rate, w.anyGateway)
			w.allocator = nil
			for _, g := range w.gateways {
				g.account, g.startedAt = Account{}, w.now
			}
			w.now = w.now.Add(2 * time.Second)
			w.startLeader()
			requested, refused := w.requested, w.refused
			w.load(4*time.Second, 0.55*rate, w.anyGateway)
			part := (w.refused - refused) / (w.requested - requested)
			c.Check(part < 0.05, qt.IsTrue, qt.Commentf("%.3f were refused", part))
			w.check()
		})
	}
}

// No window exceeds the rule, whatever fails.
func TestNoWindowExceedsRule(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		rate := rapid.SampledFrom([]float64{29_000, 60_000, 274_000}).Draw(r, "rate")
		gateways := rapid.IntRange(1, 40).Draw(r, "gateways")
		w := newSimulation(r, rapid.Uint64().Draw(r, "seed"), gateways, testRule, tokens(rate, rate))
		randomGateway := func() *gateway { return w.gateways[rapid.IntRange(0, gateways-1).Draw(r, "gateway")] }
		for range rapid.IntRange(5, 30).Draw(r, "steps") {
			span := time.Duration(rapid.IntRange(50, 3000).Draw(r, "ms")) * time.Millisecond
			switch rapid.SampledFrom([]string{"load", "load", "quiet", "slow", "fast", "leader", "cut", "freeze", "restart", "lost"}).Draw(r, "event") {
			case "quiet":
				w.load(10*time.Second, 0.3*rate, w.anyGateway)
			case "slow":
				w.delay = span
			case "fast":
				w.delay = 0
			case "leader":
				w.startLeader()
			case "lost":
				w.allocator = nil
				w.load(min(span, time.Second), 4*rate, w.anyGateway)
				w.startLeader()
			case "cut":
				// At most half of the gateways, for which a new leader reserves half of the
				// rate.
				for range gateways / 2 {
					randomGateway().partitionedUntil = w.now.Add(2 * span)
				}
			case "freeze":
				randomGateway().frozenUntil = w.now.Add(2 * span)
			case "restart":
				g := randomGateway()
				w.queued = slices.DeleteFunc(w.queued, func(q queued) bool { return q.account == &g.account })
				g.account, g.startedAt = Account{}, w.now
			}
			w.load(span, rate*rapid.Float64Range(0.2, 6).Draw(r, "load"), w.anyGateway)
		}
		w.check()
	})
}

// partitionHalf disconnects half of the gateways from the leader for a time.
func (w *simulation) partitionHalf(d time.Duration) {
	for _, g := range w.gateways[:len(w.gateways)/2] {
		g.partitionedUntil = w.now.Add(d)
	}
}

// Worst cases for a customer under overload with an unused burst: in each, one window holds
// sends that another participant does not know of.
func TestWorstCaseWindows(t *testing.T) {
	const rate = 274_000
	for name, disrupt := range map[string]func(w *simulation){
		"admitted requests wait, and are then sent together": func(w *simulation) {
			w.delay = time.Minute
			w.load(3*time.Second, 6*rate, w.anyGateway)
			w.delay = 0
		},
		"half of the gateways are partitioned": func(w *simulation) { w.partitionHalf(8 * time.Second) },
		"half are partitioned and reconnect": func(w *simulation) {
			w.partitionHalf(3900 * time.Millisecond)
			w.load(4*time.Second, 6*rate, w.anyGateway)
		},
		"half are partitioned, and there is a new leader": func(w *simulation) {
			w.load(2*time.Second, 6*rate, w.anyGateway)
			w.partitionHalf(8 * time.Second)
			w.startLeader()
		},
		"no leader, and then a new one": func(w *simulation) {
			w.load(time.Second, 6*rate, w.anyGateway)
			w.allocator = nil
			w.load(2*time.Second, 6*rate, w.anyGateway)
			w.startLeader()
		},
		"half are frozen and resume": func(w *simulation) {
			for _, g := range w.gateways[:len(w.gateways)/2] {
				g.frozenUntil = w.now.Add(3 * time.Second)
			}
		},
		"the limit is set anew": func(w *simulation) {
			for range 4 {
				w.load(time.Second, 6*rate, w.anyGateway)
				w.allocator.SetCustomers(w.now, w.customers())
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(qt.New(t), 1, 81, testRule, tokens(rate, rate))
			w.load(15*time.Second, 0.3*rate, w.anyGateway)
			disrupt(w)
			w.load(10*time.Second, 6*rate, w.anyGateway)
			w.check()
		})
	}
}

// A lower limit applies after a window. Until then a customer whose demand is slightly above it
// is not starved.
func TestLoweredLimit(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(c, 1, 81, testRule, tokens(274_000, 274_000))
	w.load(10*time.Second, 150_000, w.anyGateway)
	w.limit = tokens(30_000, 30_000)
	w.allocator.SetCustomers(w.now, w.customers())
	for _, g := range w.gateways {
		g.account.Reset()
	}
	requested, refused := w.requested, w.refused
	w.load(testRule.Window, 45_000, w.anyGateway)
	part := (w.refused - refused) / (w.requested - requested)
	c.Check(part < 0.1, qt.IsTrue, qt.Commentf("%.2f were refused", part))
	w.sends = nil
	w.load(12*time.Second, 150_000, w.anyGateway)
	w.check()
}

// A customer without demand returns all of its quota to the leader, and costs no calls.
func TestIdleQuotaIsReturned(t *testing.T) {
	c := qt.New(t)
	w := newSimulation(c, 1, 81, testRule, tokens(29_000, 29_000))
	w.load(10*time.Second, 16_000, w.anyGateway)
	w.load(40*time.Second, 0, nil)
	for _, g := range w.gateways {
		c.Assert(g.account.Idle(w.now), qt.IsTrue)
	}
	c.Check(w.allocator.customers["a"].unspent, qt.Equals, 0.0)
	c.Check(math.Round(w.allocator.room(w.now, w.allocator.customers["a"])-w.allocator.customers["a"].reserved), qt.Equals, 9*29_000.0)
}

func BenchmarkHoldAndSpend(b *testing.B) {
	now := time.Unix(1e9, 0)
	p := &Account{}
	p.Receive(now, now, &wire.Credit{Account: 1, Lent: 1 << 60})
	b.ReportAllocs()
	for b.Loop() {
		p.RecordDemand(now, 700)
		if !p.Hold(now, 700) {
			b.Fatal("no quota left")
		}
		p.Spend(now, 700)
	}
}

// Measures one call of a gateway with 500 customers of which 1,200 gateways have leases.
func BenchmarkAllocate(b *testing.B) {
	now := time.Unix(1e9, 0)
	var customers []*wire.RoutedCustomer
	report := &wire.Borrower{}
	for i := range 500 {
		name := fmt.Sprint("c", i)
		customers = append(customers, &wire.RoutedCustomer{Name: name, Limit: tokens(274_000, 274_000)})
		report.Accounts = append(report.Accounts, &wire.CreditAccount{Customer: name, Rate: 200, Needed: 700})
	}
	l := &Allocator{Rule: testRule, GatewayCount: 1200}
	l.Begin(now, 1, customers)
	for i := range 1200 {
		report.Gateway = fmt.Sprint("g", i)
		l.Allocate(now, report)
	}
	for b.Loop() {
		now = now.Add(time.Millisecond)
		l.Allocate(now, report)
	}
}

// Measures the size of a call for one customer, and of its answer.
func BenchmarkMessageSize(b *testing.B) {
	now := time.Unix(1e9, 0)
	l := &Allocator{Rule: testRule, GatewayCount: 81}
	l.Begin(now.Add(-time.Hour), 1, []*wire.RoutedCustomer{{Name: "customer-17", Limit: tokens(274_000, 274_000)}})
	p := &Account{}
	var report *wire.Borrower
	var res *wire.BorrowerCredit
	for range 400 {
		now = now.Add(25 * time.Millisecond)
		p.RecordDemand(now, 700)
		report = &wire.Borrower{Gateway: "edge-bergen-a-17", Accounts: []*wire.CreditAccount{p.Report(now, "customer-17", 700)}}
		res = l.Allocate(now, report)
		p.Receive(now, now, res.GetCredits()[0])
		if p.Hold(now, 700) {
			p.Spend(now, 700)
		}
	}
	for b.Loop() {
		_ = proto.Size(report)
	}
	b.ReportMetric(float64(proto.Size(report.GetAccounts()[0])), "B/account")
	b.ReportMetric(float64(proto.Size(res.GetCredits()[0])), "B/credit")
}
