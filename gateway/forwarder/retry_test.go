package forwarder

import (
	"bytes"
	"io"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/acceptor"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/wire"
)

// One line a second and service says what the decisions on retries rested on.
func TestRetriesAreLogged(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	clock := clockwork.NewFakeClock()
	f := newBudgetForwarder(clock, &out, 1)
	f.countRequest(&job{service: "s", req: &acceptor.Request{ReceivedAt: clock.Now()}})
	j := &job{service: "s"}
	c.Assert(f.mayRetry(j), qt.IsTrue)
	c.Assert(f.mayRetry(&job{service: "s"}), qt.IsFalse)
	clock.Advance(30 * time.Millisecond)
	c.Assert(f.permitSend(j, "b"), qt.IsTrue)
	f.logRetries()
	c.Check(out.String(), qt.Contains, "msg=retries Service=s Allowed=1 Denied=1 Sent=1 LongestDelay=30 WindowRequests=1 WindowRetries=1 "+
		"SlackShare=1 Gateways=1 CountedFor=10030")
	out.Reset()
	f.logRetries()
	c.Check(out.String(), qt.Equals, "")
}

// newBudgetForwarder returns a forwarder that has counted retries for a window, with a share of the slack.
func newBudgetForwarder(clock clockwork.Clock, out io.Writer, slack float64) *Forwarder {
	f := &Forwarder{
		Clock: clock, Log: slog.New(slog.NewTextHandler(out, nil)), Meter: meter.New("gateway", "test", "z"),
		Budget: RetryBudget{Window: 10 * time.Second, Ratio: 0.2, Slack: slack / budgetMargin},
	}
	f.Init()
	f.endFirstWindow()
	f.Apply("controller", &wire.SyncResponse{Leads: true, Gateways: 1})
	f.endGatewayCountDelay()
	return f
}

func TestRetriesThatAreNotSentAreReturned(t *testing.T) {
	c := qt.New(t)
	f := newBudgetForwarder(clockwork.NewFakeClock(), io.Discard, 1)
	j, other := &job{service: "s"}, &job{service: "s"}
	c.Assert(f.mayRetry(j), qt.IsTrue)
	c.Assert(f.mayRetry(other), qt.IsFalse)
	f.withdrawRetry(j)
	c.Assert(f.mayRetry(other), qt.IsTrue)
	c.Assert(f.permitSend(other, "b"), qt.IsTrue)
	f.withdrawRetry(other)
	c.Assert(f.mayRetry(j), qt.IsFalse)
}

// Requests that were sent while a gateway was frozen counted in the window in which they were read:
// 348 arrivals beyond the first where 335 were allowed.
func TestRetryBudgetHoldsAcrossFreezes(t *testing.T) {
	const (
		perSecond        = 50
		window           = 10 * time.Second
		ratio, slack     = 0.2, 10.0
		frozen, unfrozen = 4 * time.Second, 3 * time.Second
	)
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	f := newBudgetForwarder(clock, io.Discard, budgetMargin*slack)
	var sent, retried []time.Time
	read := func(requests int) {
		for range requests {
			j := &job{service: "s", req: &acceptor.Request{ReceivedAt: clock.Now()}}
			f.countRequest(j)
			if f.mayRetry(j) && f.permitSend(j, "b") {
				retried = append(retried, clock.Now())
			}
		}
	}
	for range 4 {
		for until := clock.Now().Add(unfrozen); clock.Now().Before(until); {
			clock.Advance(time.Second / perSecond)
			f.recordTick()
			sent = append(sent, clock.Now())
			read(1)
		}
		wakesAt := clock.Now().Add(frozen)
		for at := clock.Now(); at.Before(wakesAt); at = at.Add(time.Second / perSecond) {
			sent = append(sent, at)
		}
		clock.Advance(frozen)
		read(int(frozen.Seconds()) * perSecond)
	}
	for _, end := range retried {
		n := countBetween(retried, end.Add(-window), end)
		requests := max(countBetween(sent, end.Add(-window), end), countBetween(sent, end.Add(-2*window), end.Add(-window)),
			countBetween(sent, end.Add(-window*3/2), end.Add(-window/2)))
		c.Assert(float64(n) <= ratio*float64(requests)+slack, qt.IsTrue, qt.Commentf("%d retries, %d requests", n, requests))
	}
}

func countBetween(times []time.Time, from, until time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(from) && !at.After(until) {
			n++
		}
	}
	return n
}
