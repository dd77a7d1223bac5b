package quotaenforcer

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"bronzelead.example/pkg/quotaallocator"
	"bronzelead.example/pkg/wire"
)

// fakeLeader grants quota of one customer's limit.
type fakeLeader struct {
	clock       clockwork.Clock
	mu          sync.Mutex
	allocator   quotaallocator.Allocator
	unreachable bool
	calls       int
}

func (l *fakeLeader) Borrow(_ context.Context, req *wire.BorrowRequest) (*wire.BorrowResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.unreachable {
		return nil, errors.New("no answer")
	}
	res := &wire.BorrowResponse{}
	for _, b := range req.GetBorrowers() {
		res.Borrowers = append(res.Borrowers, l.allocator.Allocate(l.clock.Now(), b))
	}
	return res, nil
}

func (l *fakeLeader) ListLimits(context.Context, *wire.ListLimitsRequest) (*wire.ListLimitsResponse, error) {
	return nil, errNotController
}

func (l *fakeLeader) setUnreachable(unreachable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachable = unreachable
}

var limit = &wire.CustomerLimit{Unit: wire.LimitUnit_LIMIT_UNIT_REQUESTS, RatePerSecond: 10, Burst: 20}

// start runs an enforcer with a leader whose term is older than a window.
func start(c *qt.C) (*Enforcer, *fakeLeader, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	leader := &fakeLeader{clock: clock, allocator: quotaallocator.Allocator{Rule: quotaallocator.Rule{Window: 8 * time.Second, Overage: 0.1, Slack: 20}}}
	leader.allocator.Begin(clock.Now().Add(-time.Minute), 1, []*wire.RoutedCustomer{{Name: "a", Limit: limit}})
	e := &Enforcer{
		Clock: clock, Log: slog.New(slog.DiscardHandler), Gateway: "g", Upstream: func() string { return "leader" },
		Client: func(string) wire.Limits { return leader },
	}
	e.Init()
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	go e.Run(ctx)
	return e, leader, clock
}

// admit requests admission, and advances the clock while the request waits.
func admit(ctx context.Context, e *Enforcer, clock *clockwork.FakeClock) Decision {
	done := make(chan Decision, 1)
	go func() { done <- e.Admit(ctx, "a", limit, 1) }()
	for {
		select {
		case v := <-done:
			return v
		case <-time.After(time.Millisecond):
			clock.Advance(checkInterval)
		}
	}
}

// A window has room for 8 s at the rate and for the burst, and no more.
func TestRequestsAreAdmittedUpToLimit(t *testing.T) {
	c := qt.New(t)
	e, _, clock := start(c)
	for i := range 100 {
		v := e.Admit(context.Background(), "a", limit, 1)
		c.Assert(v.Admitted, qt.IsTrue, qt.Commentf("%d: %+v", i, v))
		e.Spend("a", 1)
	}
	v := e.Admit(context.Background(), "a", limit, 1)
	c.Check(v.OverLimit, qt.IsTrue)
	c.Check(v.RetryIn > 0, qt.IsTrue)
	c.Check(e.Status("a").Unspent, qt.Equals, uint64(0))
	clock.Advance(9 * time.Second)
	c.Check(admit(context.Background(), e, clock).Admitted, qt.IsTrue)
}

// The quota of requests that were not sent, or have certainly not run, is available again.
func TestUnusedQuotaIsReturned(t *testing.T) {
	c := qt.New(t)
	e, _, _ := start(c)
	for range 500 {
		c.Assert(e.Admit(context.Background(), "a", limit, 1).Admitted, qt.IsTrue)
		e.Spend("a", 1)
		e.Refund("a", 1)
		e.Release("a", 1)
	}
}

// Without a leader requests wait, and then get no decision.
func TestNoDecisionWithoutLeader(t *testing.T) {
	c := qt.New(t)
	e, leader, clock := start(c)
	leader.setUnreachable(true)
	c.Check(admit(context.Background(), e, clock), qt.DeepEquals, Decision{})
	leader.setUnreachable(false)
	c.Check(admit(context.Background(), e, clock).Admitted, qt.IsTrue)
}

// A gateway that has lost its leader spends its allowance for a while.
func TestAllowanceIsSpentWithoutLeader(t *testing.T) {
	c := qt.New(t)
	e, leader, clock := start(c)
	for range 10 {
		c.Assert(admit(context.Background(), e, clock).Admitted, qt.IsTrue)
		e.Spend("a", 1)
		clock.Advance(200 * time.Millisecond)
	}
	c.Assert(admit(context.Background(), e, clock).Admitted, qt.IsTrue)
	leader.setUnreachable(true)
	admitted := 0
	for began := clock.Now(); clock.Since(began) < 3*time.Second; {
		if admit(context.Background(), e, clock).Admitted {
			e.Spend("a", 1)
			admitted++
		}
	}
	c.Check(admitted > 0, qt.IsTrue)
	c.Check(admitted <= 40, qt.IsTrue, qt.Commentf("%d", admitted))
}

// A request whose caller has disconnected stops waiting and holds nothing.
func TestCanceledRequestHoldsNothing(t *testing.T) {
	c := qt.New(t)
	e, leader, _ := start(c)
	leader.setUnreachable(true)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan Decision)
	go func() { done <- e.Admit(ctx, "a", limit, 1) }()
	cancel()
	c.Check(<-done, qt.DeepEquals, Decision{})
	e.withAccount("a", func(p *account) { c.Check(p.waiters, qt.HasLen, 0) })
}

// A lower limit drops the quota granted under the previous one; a higher one does not.
func TestLimitChange(t *testing.T) {
	for name, test := range map[string]struct {
		limit *wire.CustomerLimit
		kept  bool
	}{
		"lower":  {&wire.CustomerLimit{Unit: limit.GetUnit(), RatePerSecond: 2, Burst: 20}, false},
		"higher": {&wire.CustomerLimit{Unit: limit.GetUnit(), RatePerSecond: 20, Burst: 20}, true},
		"none":   {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e, _, clock := start(c)
			// Prefetched quota comes with the needed quota.
			c.Assert(admit(context.Background(), e, clock).Admitted, qt.IsTrue)
			before := e.Status("a").Unspent
			c.Assert(before > 0, qt.IsTrue)
			e.SetCustomers([]*wire.RoutedCustomer{{Name: "a", Limit: test.limit}})
			c.Check(e.Status("a").Unspent == before, qt.Equals, test.kept)
		})
	}
}

// Calls of gateways that follow this one are forwarded to the leader.
func TestCallsAreForwarded(t *testing.T) {
	c := qt.New(t)
	e, leader, _ := start(c)
	req := &wire.BorrowRequest{Borrowers: []*wire.Borrower{{
		Gateway: "other", Accounts: []*wire.CreditAccount{{Customer: "a", Needed: 3, Rate: 3}},
	}}}
	res, err := e.Borrow(context.Background(), req)
	c.Assert(err, qt.IsNil)
	c.Check(res.GetBorrowers()[0].GetCredits()[0].GetLent(), qt.Equals, uint64(3))
	e.Upstream = func() string { return "" }
	_, err = e.Borrow(context.Background(), req)
	c.Check(err, qt.IsNotNil)
	c.Check(leader.calls, qt.Equals, 1)
}
