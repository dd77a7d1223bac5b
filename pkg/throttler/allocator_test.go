package throttler

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Waiting requests are granted by priority, then by age. A request that would be granted past
// its deadline is refused immediately.
func TestGrantsFollowPriority(t *testing.T) {
	c := qt.New(t)
	var a Allocator
	a.SetRate(at(0), 10)
	request := func(key string, urgency uint32, received, deadline int) GrantRequest {
		return GrantRequest{Key: key, Urgency: urgency, ReceivedAt: at(received), Deadline: at(deadline), CanWait: true}
	}
	c.Check(a.Submit(at(0), request("late", 1, 5, 2000)).Waiting, qt.IsTrue)
	c.Check(a.Submit(at(0), request("early", 1, 0, 2000)).Waiting, qt.IsTrue)
	c.Check(a.Submit(at(0), request("urgent", 0, 9, 2000)).Waiting, qt.IsTrue)
	c.Check(a.Submit(at(0), request("gone", 0, 9, 2000)).Waiting, qt.IsTrue)
	c.Check(a.Withdraw("gone"), qt.IsTrue)
	c.Check(a.Submit(at(0), request("hopeless", 2, 0, 250)), qt.Equals, Decision{RetryIn: 400 * time.Millisecond})
	c.Check(a.Submit(at(0), GrantRequest{Key: "at once", ReceivedAt: at(9)}).RetryIn > 0, qt.IsTrue)
	wait, ok := a.NextGrantIn(at(0))
	c.Check(ok, qt.IsTrue)
	c.Check(wait, qt.Equals, 100*time.Millisecond)
	c.Check(a.GrantDue(at(99)), qt.HasLen, 0)
	var order []string
	for ms := 100; ms <= 300; ms += 100 {
		order = append(order, a.GrantDue(at(ms))...)
	}
	c.Check(order, qt.DeepEquals, []string{"urgent", "early", "late"})
	_, ok = a.NextGrantIn(at(300))
	c.Check(ok, qt.IsFalse)
}

// What gateways sent before they knew of the limit fills the window, once per gateway.
func TestEarlierSendsFillWindow(t *testing.T) {
	c := qt.New(t)
	var a Allocator
	a.SetRate(at(0), 10)
	var before Sends
	for range 60 {
		before.Add(at(0), "")
	}
	for range 3 {
		a.RecordSends(at(0), "gateway", before.Excluding(at(0), "owner"))
	}
	v := a.Submit(at(1000), GrantRequest{Key: "k", ReceivedAt: at(1000), Deadline: at(9000)})
	c.Check(v, qt.Equals, Decision{RetryIn: cappedRetry})
	c.Check(a.Submit(at(4500), GrantRequest{Key: "k", ReceivedAt: at(4500), Deadline: at(9000)}).Granted, qt.IsTrue)
	c.Check(a.Idle(at(4500)), qt.IsFalse)
	c.Check(a.Idle(at(9000)), qt.IsTrue)
}

// A gateway reports to a granter only what it sent without a grant of that granter.
func TestSendsExcludeOwnGrants(t *testing.T) {
	c := qt.New(t)
	var s Sends
	sum := func(granter string) (n uint64) {
		for _, part := range s.Excluding(at(100), granter) {
			n += part
		}
		return n
	}
	for _, granter := range []string{"", "owner", "deputy", "owner", "third", "fourth", "fifth", "owner"} {
		s.Add(at(0), granter)
	}
	c.Check(sum("owner"), qt.Equals, uint64(5))
	c.Check(sum("fifth"), qt.Equals, uint64(7))
	c.Check(sum("nobody"), qt.Equals, uint64(8))
	c.Check(s.Sum(at(100)), qt.Equals, 8.0)
	c.Check(s.Sum(at(4200)), qt.Equals, 0.0)
}

func BenchmarkRateWithoutLimits(b *testing.B) {
	var registry Registry
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		registry.Rate(now, "b")
	}
}

func BenchmarkSends(b *testing.B) {
	var s Sends
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		s.Add(now, "")
	}
}
