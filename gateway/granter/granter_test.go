package granter

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/throttler"
	"bronzelead.example/pkg/wire"
)

// fleet is gateways that reach each other; the first owns all limits, the second is the deputy.
type fleet struct {
	c        *qt.C
	clock    *clockwork.FakeClock
	granters []*Granter
	// down holds addresses that do not answer, and calls counts the calls to the owner.
	down  map[string]bool
	calls atomic.Int32
}

func newFleet(c *qt.C, gateways int) *fleet {
	y := &fleet{c: c, clock: clockwork.NewFakeClock(), down: map[string]bool{}}
	for range gateways {
		g := &Granter{Clock: y.clock, Log: slog.New(slog.DiscardHandler), Meter: meter.New("gateway", "test", "z")}
		server := httptest.NewServer(wire.NewThrottlingServer(&Server{Granter: g}))
		c.Cleanup(server.Close)
		g.Self = strings.TrimPrefix(server.URL, "http://")
		g.Ranked = func(string) (string, string) { return y.granters[0].Self, y.granters[1].Self }
		g.Client = func(address string, _ time.Duration) wire.Throttling { return y.client(address) }
		g.Init()
		y.granters = append(y.granters, g)
	}
	return y
}

// client calls another gateway without a timeout, so that no result depends on real time.
func (y *fleet) client(address string) wire.Throttling {
	if address == y.granters[0].Self {
		y.calls.Add(1)
	}
	if y.down[address] {
		return unreachable{}
	}
	return wire.NewThrottlingProtobufClient("http://"+address, &http.Client{})
}

// unreachable is a gateway that does not answer.
type unreachable struct{}

func (unreachable) Grant(context.Context, *wire.GrantRequest) (*wire.GrantResponse, error) {
	return nil, errors.New("no answer")
}

func (y *fleet) requestGrant(gateway int) Result {
	now := y.clock.Now()
	return y.granters[gateway].RequestGrant(context.Background(), Request{Backend: "b", ReceivedAt: now, Deadline: now.Add(time.Second)})
}

// announce lets all gateways observe a limit in a response.
func (y *fleet) announce(limit throttler.Limit) {
	for _, g := range y.granters {
		g.Observe("b", limit, "r", 0)
	}
}

// countGranted sends requests to all gateways in turn, and returns how many were granted.
func (y *fleet) countGranted(requests int) int {
	n := 0
	for i := range requests {
		if y.requestGrant(i % len(y.granters)).Granted {
			n++
		}
	}
	return n
}

func TestUnlimitedRequestsNeedNoGrant(t *testing.T) {
	c := qt.New(t)
	y := newFleet(c, 3)
	c.Check(y.granters[2].Limited("b"), qt.IsFalse)
	y.announce(throttler.LimitOf(2))
	c.Check(y.granters[2].Limited("b"), qt.IsTrue)
	c.Check(y.granters[2].Limited("other"), qt.IsFalse)
	y.clock.Advance(time.Second)
	y.announce(throttler.Limit{})
	y.clock.Advance(5 * time.Second)
	c.Check(y.granters[2].Limited("b"), qt.IsFalse)
}

// The owner grants no more to all gateways together than the limit allows.
func TestOwnerGrantsForAllGateways(t *testing.T) {
	c := qt.New(t)
	y := newFleet(c, 3)
	y.announce(throttler.LimitOf(2))
	denied := y.requestGrant(2)
	c.Check(denied.Granted, qt.IsFalse)
	sum := 0
	for range 40 {
		y.clock.Advance(500 * time.Millisecond)
		sum += y.countGranted(9)
	}
	c.Check(sum, qt.Equals, 40)
	y.clock.Advance(denied.RetryIn)
	c.Check(y.requestGrant(1).Granted, qt.IsTrue)
	c.Check(y.requestGrant(0), qt.Equals, Result{DecidedBy: y.granters[0].Self, RetryIn: 500 * time.Millisecond})
}

// Without an owner its deputy grants a part of the limit, and the owner is not called for every
// request.
func TestDeputyGrantsWhileOwnerIsUnreachable(t *testing.T) {
	c := qt.New(t)
	y := newFleet(c, 3)
	y.announce(throttler.LimitOf(10))
	y.down[y.granters[0].Self] = true
	y.requestGrant(2)
	before := y.calls.Load()
	y.requestGrant(2)
	c.Check(y.calls.Load(), qt.Equals, before)
	sum := 0
	for range 20 {
		y.clock.Advance(500 * time.Millisecond)
		if answer := y.requestGrant(2); answer.Granted {
			c.Check(answer.DecidedBy, qt.Equals, y.granters[1].Self)
			sum++
		}
	}
	// 20% of 10 per second, for 10 s; a new allocator starts without accumulated grants.
	c.Check(sum, qt.Equals, 20)
	y.down[y.granters[1].Self] = true
	y.clock.Advance(time.Second)
	c.Check(y.requestGrant(2), qt.Equals, Result{RetryIn: unreachableRetry})
	clear(y.down)
	y.clock.Advance(maxBackoff)
	c.Check(y.requestGrant(2).DecidedBy, qt.Equals, y.granters[0].Self)
}

// A request without another backend server waits for the owner's grant.
func TestRequestsWaitForGrant(t *testing.T) {
	const grantAfter = 500 * time.Millisecond
	for name, test := range map[string]struct {
		wait, pass time.Duration
		leaves     bool
		granted    bool
	}{
		"until it is granted":     {time.Second, grantAfter, false, true},
		"until the caller leaves": {grantAfter + time.Millisecond, 0, true, false},
		"not past the deadline":   {grantAfter / 2, 0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			y := newFleet(c, 2)
			y.announce(throttler.LimitOf(2))
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			now := y.clock.Now()
			done := make(chan Result, 1)
			go func() {
				done <- y.granters[0].RequestGrant(ctx, Request{Backend: "b", ReceivedAt: now, Deadline: now.Add(test.wait), Wait: test.wait})
			}()
			if test.leaves || test.pass > 0 {
				// The timers of the next grant and of the wait.
				c.Assert(y.clock.BlockUntilContext(context.Background(), 2), qt.IsNil)
			}
			if test.leaves {
				cancel()
			}
			y.clock.Advance(test.pass)
			answer := <-done
			c.Check(answer.Granted, qt.Equals, test.granted)
			g := y.granters[0]
			g.mu.Lock()
			defer g.mu.Unlock()
			c.Check(g.pools[poolKey{"b", throttler.Owner}].waiting, qt.HasLen, 0)
		})
	}
}

// Gateways that request a grant receive the limit that the owner knows.
func TestGatewaysLearnLimitsFromTheOwner(t *testing.T) {
	c := qt.New(t)
	y := newFleet(c, 3)
	y.granters[2].Observe("b", throttler.LimitOf(2), "r", 0)
	y.clock.Advance(time.Second)
	y.granters[0].Observe("b", throttler.LimitOf(2), "r", 0)
	y.granters[0].Observe("b", throttler.LimitOf(1), "r", 0)
	y.clock.Advance(time.Second)
	y.granters[0].Observe("b", throttler.Limit{}, "r", 0)
	y.requestGrant(2)
	status, _ := y.granters[2].Status("b")
	c.Check(status.Limit.Named, qt.IsFalse)
	c.Check(status.Source, qt.Equals, throttler.News)
	c.Check(y.granters[2].Report(), qt.HasLen, 0)
	list, revision := y.granters[0].Limits()
	c.Check(list, qt.HasLen, 1)
	c.Check(revision, qt.Equals, y.granters[0].Revision())
}

// What gateways sent before they knew of a limit counts at the owner.
func TestEarlierSendsAreReported(t *testing.T) {
	c := qt.New(t)
	y := newFleet(c, 3)
	for range 30 {
		y.granters[2].RecordSent("b", First, "")
	}
	y.granters[0].Observe("b", throttler.LimitOf(4), "r", 0)
	y.granters[2].Observe("b", throttler.LimitOf(4), "r", 0)
	y.granters[2].reportSends("b")
	y.clock.Advance(time.Second)
	c.Check(y.countGranted(9), qt.Equals, 0)
	y.clock.Advance(3200 * time.Millisecond)
	c.Check(y.countGranted(9), qt.Equals, 3)
	y.granters[2].Forget("b")
	c.Check(y.granters[2].Limited("b"), qt.IsFalse)
}

func TestUsageIsCountedWhileLimitIsKnown(t *testing.T) {
	c := qt.New(t)
	y := newFleet(c, 2)
	g := y.granters[1]
	g.RecordSent("b", First, "")
	c.Check(g.takeUsage(), qt.HasLen, 0)
	g.Observe("b", throttler.LimitOf(4), "r", 0)
	g.RecordSent("b", First, "")
	g.RecordSent("b", Repeat, "")
	g.RecordDenied("b")
	c.Check(fmt.Sprint(g.takeUsage()), qt.Equals, "[{b 4 map[First:1 Repeat:1] 1}]")
	c.Check(g.takeUsage(), qt.HasLen, 0)
	y.clock.Advance(5 * time.Second)
	g.sweep()
	c.Check(g.sends, qt.HasLen, 0)
}

// While a limit of zero was in force nothing was sent, and the clean-up dropped the number of
// denied requests before it was logged.
func TestDeniedRequestsAreLogged(t *testing.T) {
	c := qt.New(t)
	y := newFleet(c, 2)
	g := y.granters[0]
	var out bytes.Buffer
	g.Log = slog.New(slog.NewTextHandler(&out, nil))
	g.ReceiveLimits([]*wire.RequestLimit{{Backend: "b"}}, throttler.News)
	g.RecordDenied("b")
	g.sweep()
	g.logUsage()
	c.Check(out.String(), qt.Contains, "Denied=1")
	g.sweep()
	c.Check(g.sends, qt.HasLen, 0)
}
