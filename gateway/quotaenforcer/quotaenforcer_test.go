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

// leaderFake lends of one customer's limit.
type leaderFake struct {
	clock  clockwork.Clock
	mu     sync.Mutex
	lender quotaallocator.Allocator
	lost   bool
	calls  int
}

func (l *leaderFake) Borrow(_ context.Context, req *wire.BorrowRequest) (*wire.BorrowResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	if l.lost {
		return nil, errors.New("no answer")
	}
	res := &wire.BorrowResponse{}
	for _, b := range req.GetBorrowers() {
		res.Borrowers = append(res.Borrowers, l.lender.Allocate(l.clock.Now(), b))
	}
	return res, nil
}

func (l *leaderFake) ListLimits(context.Context, *wire.ListLimitsRequest) (*wire.ListLimitsResponse, error) {
	return nil, errNotHere
}

func (l *leaderFake) lose(lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = lost
}

var limit = &wire.CustomerLimit{Unit: wire.LimitUnit_LIMIT_UNIT_REQUESTS, RatePerSecond: 10, Burst: 20}

// start runs a borrower with a leader that has led for longer than a window.
func start(c *qt.C) (*Enforcer, *leaderFake, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	leader := &leaderFake{clock: clock, lender: quotaallocator.Allocator{Rule: quotaallocator.Rule{Window: 8 * time.Second, Overage: 0.1, Slack: 20}}}
	leader.lender.Begin(clock.Now().Add(-time.Minute), 1, []*wire.RoutedCustomer{{Name: "a", Limit: limit}})
	b := &Enforcer{
		Clock: clock, Log: slog.New(slog.DiscardHandler), Gateway: "g", Upstream: func() string { return "leader" },
		Client: func(string) wire.Limits { return leader },
	}
	b.Init()
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	go b.Run(ctx)
	return b, leader, clock
}

// admit asks for one request, and lets time pass while it waits.
func admit(ctx context.Context, b *Enforcer, clock *clockwork.FakeClock) Decision {
	done := make(chan Decision, 1)
	go func() { done <- b.Admit(ctx, "a", limit, 1) }()
	for {
		select {
		case v := <-done:
			return v
		case <-time.After(time.Millisecond):
			clock.Advance(lookEvery)
		}
	}
}

// A window has room for 8 s at the rate and for the burst, and no more.
func TestRequestsAreAdmittedUpToTheLimit(t *testing.T) {
	c := qt.New(t)
	b, _, clock := start(c)
	for i := range 100 {
		v := b.Admit(context.Background(), "a", limit, 1)
		c.Assert(v.Admitted, qt.IsTrue, qt.Commentf("%d: %+v", i, v))
		b.Spend("a", 1)
	}
	v := b.Admit(context.Background(), "a", limit, 1)
	c.Check(v.OverLimit, qt.IsTrue)
	c.Check(v.RetryIn > 0, qt.IsTrue)
	c.Check(b.Status("a").Unspent, qt.Equals, uint64(0))
	clock.Advance(9 * time.Second)
	c.Check(admit(context.Background(), b, clock).Admitted, qt.IsTrue)
}

// What was not sent, or has certainly not run, is there for others.
func TestCreditIsGivenBack(t *testing.T) {
	c := qt.New(t)
	b, _, _ := start(c)
	for range 500 {
		c.Assert(b.Admit(context.Background(), "a", limit, 1).Admitted, qt.IsTrue)
		b.Spend("a", 1)
		b.Refund("a", 1)
		b.Release("a", 1)
	}
}

// Without a leader requests wait, and hear that nobody can tell.
func TestNobodyCanTellWithoutALeader(t *testing.T) {
	c := qt.New(t)
	b, leader, clock := start(c)
	leader.lose(true)
	c.Check(admit(context.Background(), b, clock), qt.DeepEquals, Decision{})
	leader.lose(false)
	c.Check(admit(context.Background(), b, clock).Admitted, qt.IsTrue)
}

// A gateway that has lost its leader spends its allowance for a while.
func TestTheAllowanceIsSpentWithoutALeader(t *testing.T) {
	c := qt.New(t)
	b, leader, clock := start(c)
	for range 10 {
		c.Assert(admit(context.Background(), b, clock).Admitted, qt.IsTrue)
		b.Spend("a", 1)
		clock.Advance(200 * time.Millisecond)
	}
	c.Assert(admit(context.Background(), b, clock).Admitted, qt.IsTrue)
	leader.lose(true)
	admitted := 0
	for began := clock.Now(); clock.Since(began) < 3*time.Second; {
		if admit(context.Background(), b, clock).Admitted {
			b.Spend("a", 1)
			admitted++
		}
	}
	c.Check(admitted > 0, qt.IsTrue)
	c.Check(admitted <= 40, qt.IsTrue, qt.Commentf("%d", admitted))
}

// A request whose caller has left waits no longer, and holds nothing.
func TestCallersThatLeave(t *testing.T) {
	c := qt.New(t)
	b, leader, _ := start(c)
	leader.lose(true)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan Decision)
	go func() { done <- b.Admit(ctx, "a", limit, 1) }()
	cancel()
	c.Check(<-done, qt.DeepEquals, Decision{})
	b.with("a", func(p *account) { c.Check(p.waiters, qt.HasLen, 0) })
}

// A lower limit ends the credit by the one before; a higher one does not.
func TestLimitsThatChange(t *testing.T) {
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
			b, _, clock := start(c)
			// What is wished for comes with what is needed.
			c.Assert(admit(context.Background(), b, clock).Admitted, qt.IsTrue)
			before := b.Status("a").Unspent
			c.Assert(before > 0, qt.IsTrue)
			b.SetCustomers([]*wire.RoutedCustomer{{Name: "a", Limit: test.limit}})
			c.Check(b.Status("a").Unspent == before, qt.Equals, test.kept)
		})
	}
}

// Calls of gateways that follow this one go to the leader.
func TestCallsArePassedOn(t *testing.T) {
	c := qt.New(t)
	b, leader, _ := start(c)
	req := &wire.BorrowRequest{Borrowers: []*wire.Borrower{{
		Gateway: "other", Accounts: []*wire.CreditAccount{{Customer: "a", Needed: 3, Rate: 3}},
	}}}
	res, err := b.Borrow(context.Background(), req)
	c.Assert(err, qt.IsNil)
	c.Check(res.GetBorrowers()[0].GetCredits()[0].GetLent(), qt.Equals, uint64(3))
	b.Upstream = func() string { return "" }
	_, err = b.Borrow(context.Background(), req)
	c.Check(err, qt.IsNotNil)
	c.Check(leader.calls, qt.Equals, 1)
}
