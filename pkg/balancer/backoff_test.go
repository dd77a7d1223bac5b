package balancer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

// The latest end of all answers counts, whatever comes between them.
func TestLaterAnswersDoNotShortenABackoff(t *testing.T) {
	type rejection struct{ at, backoff time.Duration }
	second := time.Second
	for name, test := range map[string]struct {
		rejections []rejection
		// during happens after the first second.
		during func(b *Balancer, now time.Time)
		end    time.Duration
	}{
		"one":                          {[]rejection{{0, 3 * second}}, nil, 3 * second},
		"a longer one after it":        {[]rejection{{0, 3 * second}, {second, 4 * second}}, nil, 5 * second},
		"a shorter one after it":       {[]rejection{{0, 5 * second}, {second, second}}, nil, 5 * second},
		"a rejection without a time":   {[]rejection{{0, 3 * second}, {second, 0}}, nil, 3 * second},
		"an answer to an earlier send": {[]rejection{{0, 3 * second}}, func(b *Balancer, now time.Time) { b.Accepted(now, "a") }, 3 * second},
		"a request is served":          {[]rejection{{0, 3 * second}}, func(b *Balancer, now time.Time) { b.Done(now, "a", "", 0, Served) }, 3 * second},
		"a request limit with less": {[]rejection{{0, 3 * second}}, func(b *Balancer, now time.Time) {
			b.Pause("a", now.Add(time.Millisecond))
		}, 3 * second},
		"an announcement": {[]rejection{{0, 3 * second}}, func(b *Balancer, now time.Time) {
			later := announcement("a")
			later.Sequence++
			b.UpdateBackend(now, later)
		}, 3 * second},
		"it is ejected as well": {[]rejection{{0, 3 * second}}, func(b *Balancer, now time.Time) { b.Done(now, "a", "", 0, Unreachable) }, 3 * second},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newBalancer("a")
			for _, r := range test.rejections {
				b.BackOff(begin().Add(r.at), "a", r.backoff)
			}
			if test.during != nil {
				test.during(b, begin().Add(time.Second))
			}
			last := begin().Add(test.end - time.Millisecond)
			constraint, _, left := b.ConstraintOf(last, "a")
			c.Check(constraint, qt.Equals, BackingOff)
			c.Check(left, qt.Equals, time.Millisecond)
			waiting := waiter("w", func(w *Waiter) { w.Deadline = begin().Add(time.Hour) })
			c.Check(decide(b, last, waiting)["w"], qt.Equals, "waits")
			end := begin().Add(test.end + maxReturnDelay)
			constraint, _, _ = b.ConstraintOf(end, "a")
			c.Check(constraint, qt.Equals, Unconstrained)
			decisions, _ := b.Next(end)
			c.Check(decisions, qt.HasLen, 1)
		})
	}
}

// After a backoff one request at a time shows whether more are accepted, so that the requests
// which wait for its end do not arrive together.
func TestBackendIsProbedAfterBackoff(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a")
	b.BackOff(begin(), "a", time.Second)
	now := begin().Add(time.Second + maxReturnDelay)
	waiting := func(id string) *Waiter { return waiter(id, func(w *Waiter) { w.Deadline = now.Add(time.Hour) }) }
	first := decide(b, now, waiting("1"), waiting("2"), waiting("3"))
	c.Check(first, qt.DeepEquals, map[string]string{"1": "a", "2": "waits", "3": "waits"})
	decisions, _ := b.Next(now.Add(probeInterval - 1))
	c.Check(decisions, qt.HasLen, 0)
	now = now.Add(probeInterval)
	decisions, _ = b.Next(now)
	c.Check(decisions, qt.HasLen, 1)
	c.Check(b.Accepted(now, "a"), qt.Equals, now.Sub(begin()))
	c.Check(decide(b, now, waiting("4"))["4"], qt.Equals, "a")
	c.Check(b.Accepted(now, "a"), qt.Equals, time.Duration(0))
}

// Requests wait for the end of a backoff only if it comes in time; otherwise their callers are
// given the retry time at once. No path leads to a backend server that accepts no requests.
func TestRequestsDuringBackoffs(t *testing.T) {
	const short, long = 500 * time.Millisecond, 5 * time.Second
	for name, test := range map[string]struct {
		backoffs map[string]time.Duration
		prepare  func(b *Balancer)
		w        *Waiter
		want     string
		reason   string
		loads    int
	}{
		"another serves it":                 {map[string]time.Duration{"a": long}, nil, waiter("w"), "b", "", 0},
		"all, for long":                     {map[string]time.Duration{"a": long, "b": long}, nil, waiter("w"), "refused", ReasonBackoff, 0},
		"all, one not for long":             {map[string]time.Duration{"a": long, "b": short}, nil, waiter("w"), "waits", "", 0},
		"a slot is granted":                 {map[string]time.Duration{"a": long, "b": long}, nil, waiter("w", func(w *Waiter) { w.UsesSlotGrants = true }), "refused", ReasonBackoff, 0},
		"the only holder":                   {map[string]time.Duration{"a": long}, nil, waiter("w", adapter("m/x")), "waits", "", 1},
		"the only holder, which had failed": {map[string]time.Duration{"a": long}, nil, waiter("w", adapter("m/x"), avoid("a")), "waits", "", 1},
		"the only holder, no load in time": {map[string]time.Duration{"a": long}, func(b *Balancer) {
			b.Enqueue(waiter("v", adapter("m/x")))
			b.Next(begin())
			b.Cancel(b.queue[0])
		}, waiter("w", adapter("m/x"), func(w *Waiter) { w.declined = true }), "refused", ReasonBackoff, 0},
		"all engines":                  {map[string]time.Duration{"a": long, "b": long}, nil, waiter("w", adapter("m/x")), "refused", ReasonBackoff, 0},
		"all engines, and none has it": {map[string]time.Duration{"a": long, "b": long}, nil, waiter("w", adapter("m/y")), "refused", ReasonBackoff, 0},
		"the other is suspected": {map[string]time.Duration{"a": long}, func(b *Balancer) {
			b.Done(begin(), "b", "", 0, Unreachable)
		}, waiter("w"), "b", "", 0},
		"it is suspected too": {map[string]time.Duration{"a": long}, func(b *Balancer) {
			b.Done(begin(), "a", "", 0, Unreachable)
			fill(b, "b")
		}, waiter("w"), "waits", "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newBalancer("a", "b")
			hold(b, 1, "a", "m/x@1")
			for id, d := range test.backoffs {
				b.BackOff(begin(), id, d)
			}
			if test.prepare != nil {
				test.prepare(b)
			}
			b.Enqueue(test.w)
			decisions, loads := b.Next(begin())
			got, reason := "waits", ""
			if len(decisions) > 0 {
				got, reason = decisions[0].Backend.GetId(), decisions[0].Reason
				if decisions[0].Backend == nil {
					got = "refused"
					c.Check(decisions[0].RetryAfter, qt.Equals, long)
					c.Check(test.backoffs[decisions[0].Paused], qt.Equals, long)
				}
			}
			c.Check(got, qt.Equals, test.want)
			c.Check(reason, qt.Equals, test.reason)
			c.Check(loads, qt.HasLen, test.loads)
		})
	}
}

// Slots of backend servers that accept no requests are not free.
func TestSlotsDuringBackoffAreNotFree(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a", "b")
	b.SetLoads(begin(), []*wire.Load{{Backend: "a", Requests: 4}})
	c.Check(b.Contended(begin(), "s"), qt.IsFalse)
	b.BackOff(begin(), "b", time.Second)
	c.Check(b.Contended(begin(), "s"), qt.IsTrue)
}

// A backend server that has said in an answer that it is leaving gets no new requests, whatever
// is announced for it. Another incarnation at its address does.
func TestLeavingBackendsGetNoRequests(t *testing.T) {
	announce := func(b *Balancer, change func(a *wire.Announcement)) {
		a := announcement("a")
		a.Sequence = 9
		change(a)
		b.UpdateBackend(begin(), a)
	}
	for name, test := range map[string]struct {
		after func(b *Balancer)
		w     *Waiter
		want  string
		loads int
	}{
		"another serves it":     {nil, waiter("w"), "b", 0},
		"it is announced ready": {func(b *Balancer) { announce(b, func(*wire.Announcement) {}) }, waiter("w"), "b", 0},
		"it is announced anew": {func(b *Balancer) {
			announce(b, func(a *wire.Announcement) { a.Silent = true })
			announce(b, func(*wire.Announcement) {})
		}, waiter("w"), "b", 0},
		"the other has failed": {func(b *Balancer) { b.Done(begin(), "b", "", 0, Unreachable) }, waiter("w"), "b", 0},
		"the only holder":      {nil, waiter("w", adapter("m/x")), "waits", 1},
		"the other is full":    {func(b *Balancer) { fill(b, "b") }, waiter("w"), "waits", 0},
		"another incarnation": {func(b *Balancer) {
			fill(b, "b")
			announce(b, func(a *wire.Announcement) { a.Gone, a.Replaced = true, true })
			announce(b, func(a *wire.Announcement) { a.Id, a.Sequence = "a~2", 1 })
		}, waiter("w"), "a~2", 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newBalancer("a", "b")
			hold(b, 1, "a", "m/x@1")
			c.Check(b.Leave(begin(), "a"), qt.IsTrue)
			c.Check(b.Leave(begin(), "a"), qt.IsFalse)
			if test.after != nil {
				test.after(b)
			}
			b.Enqueue(test.w)
			decisions, loads := b.Next(begin())
			got := "waits"
			if len(decisions) > 0 {
				got = decisions[0].Backend.GetId()
			}
			c.Check(got, qt.Equals, test.want)
			c.Check(loads, qt.HasLen, test.loads)
		})
	}
}

func BenchmarkConstraintOf(b *testing.B) {
	balancer := newBalancer("a", "b", "c")
	now := begin()
	b.ReportAllocs()
	for b.Loop() {
		balancer.ConstraintOf(now, "b")
	}
}

// BenchmarkNext decides on a request for a service without any backoff.
func BenchmarkNext(b *testing.B) {
	balancer := newBalancer("a", "b", "c", "d", "e", "f", "g", "h", "i")
	now := begin()
	b.ReportAllocs()
	for b.Loop() {
		w := waiter("w")
		balancer.Enqueue(w)
		decisions, _ := balancer.Next(now)
		balancer.Done(now, decisions[0].Backend.GetId(), "", 0, Served)
	}
}
