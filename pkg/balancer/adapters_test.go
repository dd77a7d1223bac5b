package balancer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

func hold(b *Balancer, term uint64, id string, adapters ...string) {
	b.SetLoadedAdapters(term, &wire.Holding{Backend: id, Adapters: adapters})
}

func TestAdapters(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(b *Balancer)
		want    string
	}{
		"held by one":                {func(b *Balancer) { hold(b, 1, "b", "m/x@0") }, "b"},
		"held by no engine any more": {func(b *Balancer) { hold(b, 1, "b", "m/x@0"); hold(b, 1, "b") }, "waits"},
		"an earlier leader's state":  {func(b *Balancer) { hold(b, 2, "b"); hold(b, 1, "b", "m/x@0") }, "waits"},
		"an old version":             {func(b *Balancer) { hold(b, 1, "b", "m/x@1"); version(b, 2) }, "waits"},
		"the named version":          {func(b *Balancer) { hold(b, 1, "b", "m/x@2"); version(b, 2) }, "b"},
		"just reported as absent":    {func(b *Balancer) { hold(b, 1, "b", "m/x@0"); b.Done(begin(), "b", "m/x", 0, Absent) }, "waits"},
		"the other replica, if one fails": {func(b *Balancer) {
			hold(b, 1, "a", "m/x@0")
			hold(b, 1, "b", "m/x@0")
			b.Done(begin(), "a", "", 0, Unreachable)
		}, "b"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newBalancer("a", "b")
			test.prepare(b)
			c.Check(decide(b, begin(), waiter("w", adapter("m/x")))["w"], qt.Equals, test.want)
		})
	}
}

func version(b *Balancer, n uint64) {
	b.SetVersion(&wire.AdapterVersion{Model: "m", Adapter: "x", Version: n})
}

// A missing adapter is requested once, and again only when the load should have finished.
func TestMissingAdaptersAreRequestedOnce(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a", "b")
	b.Done(begin(), "a", "", 0, Unreachable)
	b.Enqueue(waiter("v", adapter("m/x")))
	b.Enqueue(waiter("w", adapter("m/x")))
	_, pendingLoads := b.Next(begin())
	c.Assert(pendingLoads, qt.HasLen, 1)
	c.Check(pendingLoads[0].GetAvoid(), qt.DeepEquals, []string{"a"})
	_, pendingLoads = b.Next(begin().Add(100 * time.Millisecond))
	c.Check(pendingLoads, qt.HasLen, 0)
	_, pendingLoads = b.Next(begin().Add(450 * time.Millisecond))
	c.Check(pendingLoads, qt.HasLen, 1)
}

// Requests that wait for the loads of sixteen rarely used adapters do not block requests for a
// hot one.
func TestWaitingForLoadsDoesNotBlockOtherRequests(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a")
	hold(b, 1, "a", "m/hot@0")
	var waiters []*Waiter
	for i := range 16 {
		waiters = append(waiters, waiter(fmt.Sprint(i), adapter(fmt.Sprintf("m/rare%d", i))))
	}
	waiters = append(waiters, waiter("hot", adapter("m/hot"), urgency(5)))
	c.Check(decide(b, begin(), waiters...)["hot"], qt.Equals, "a")
	c.Check(b.Waiting(), qt.Equals, 16)
}

// If the only engine with a hot adapter is much busier than the others, a replica is requested
// elsewhere, but not if all are busy.
func TestOverloadedEnginesGetAReplica(t *testing.T) {
	for name, test := range map[string]struct {
		others map[string]uint32
		want   int
	}{
		"idle":                     {nil, 0},
		"the holder is overloaded": {map[string]uint32{"a": 3}, 1},
		"all are overloaded":       {map[string]uint32{"a": 3, "b": 3, "c": 2}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newBalancer("a", "b", "c")
			hold(b, 1, "a", "m/hot@0")
			var loads []*wire.Load
			for id, n := range test.others {
				loads = append(loads, &wire.Load{Backend: id, Requests: n})
			}
			b.SetLoads(begin(), loads)
			b.Enqueue(waiter("w", adapter("m/hot")))
			decisions, pendingLoads := b.Next(begin())
			c.Assert(decisions, qt.HasLen, 1)
			c.Check(decisions[0].Backend.GetId(), qt.Equals, "a")
			c.Assert(pendingLoads, qt.HasLen, test.want)
			if test.want > 0 {
				c.Check(pendingLoads[0].GetAvoid(), qt.DeepEquals, []string{"a"})
			}
		})
	}
}

// The only engine with an adapter has lost an answer: the request is sent there again instead
// of waiting for a load elsewhere, but not if the engine is unreachable, and not while there is
// another replica.
func TestTheOnlyHolderIsRetried(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(b *Balancer)
		want    string
	}{
		"an answer was lost":  {func(b *Balancer) { b.Done(begin(), "a", "m/x", 0, Failed) }, "a"},
		"it is unreachable":   {func(b *Balancer) { b.Done(begin(), "a", "m/x", 0, Unreachable) }, "waits"},
		"there is a replica":  {func(b *Balancer) { hold(b, 1, "b", "m/x@0") }, "b"},
		"the replica is full": {func(b *Balancer) { hold(b, 1, "b", "m/x@0"); fill(b, "b") }, "waits"},
		"no engine has it":    {func(b *Balancer) { hold(b, 1, "a") }, "waits"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newBalancer("a", "b", "c")
			hold(b, 1, "a", "m/x@0")
			test.prepare(b)
			c.Check(decide(b, begin(), waiter("w", adapter("m/x"), avoid("a")))["w"], qt.Equals, test.want)
		})
	}
}

// If the only engine with an adapter is full and others have room, a replica is requested there
// while the request waits. When all are full, a replica would not help.
func TestFullEnginesGetAReplica(t *testing.T) {
	for name, test := range map[string]struct {
		full []string
		want int
	}{
		"others have room": {[]string{"a"}, 1},
		"all are full":     {[]string{"a", "b", "c"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newBalancer("a", "b", "c")
			hold(b, 1, "a", "m/x@0")
			fill(b, test.full...)
			b.Enqueue(waiter("w", adapter("m/x")))
			decisions, pendingLoads := b.Next(begin())
			c.Check(decisions, qt.HasLen, 0)
			c.Assert(pendingLoads, qt.HasLen, test.want)
			if test.want > 0 {
				c.Check(pendingLoads[0].GetAvoid(), qt.DeepEquals, []string{"a"})
			}
		})
	}
}

// When the leader declines an adapter, the requests that wait for it are refused at once with a
// retry time; other requests and later ones keep waiting.
func TestDeclinedAdapters(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(b *Balancer)
		want    map[string]string
	}{
		"no engine has it":        {func(*Balancer) {}, map[string]string{"w": "refused", "v": "waits"}},
		"it was loaded after all": {func(b *Balancer) { hold(b, 1, "a", "m/x@0") }, map[string]string{"w": "a", "v": "waits"}},
		"its engine has no room":  {func(b *Balancer) { hold(b, 1, "a", "m/x@0"); fill(b, "a") }, map[string]string{"w": "waits", "v": "waits"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newBalancer("a", "b")
			c.Check(decide(b, begin(), waiter("w", adapter("m/x")), waiter("v", adapter("m/y"))), qt.DeepEquals, map[string]string{"w": "waits", "v": "waits"})
			b.Decline("m/x")
			test.prepare(b)
			got := map[string]string{"w": "waits", "v": "waits"}
			decisions, _ := b.Next(begin())
			for _, d := range decisions {
				got[d.Waiter.ID] = "refused"
				if d.Backend != nil {
					got[d.Waiter.ID] = d.Backend.GetId()
					continue
				}
				c.Check(d.Reason, qt.Equals, ReasonDeclined)
				c.Check(d.RetryAfter >= retryWhenDeclined/2 && d.RetryAfter <= 3*retryWhenDeclined/2, qt.IsTrue)
			}
			c.Check(got, qt.DeepEquals, test.want)
			b.Enqueue(waiter("late", adapter("m/x")))
			_, pendingLoads := b.Next(begin())
			c.Check(len(pendingLoads) == 1, qt.Equals, test.want["w"] == "refused")
		})
	}
}

// A restarting engine reports that its base model is absent: requests for the model avoid it
// briefly, and it can still be used for adapters that it holds later.
func TestEngineWithoutItsModelIsAvoidedBriefly(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a", "b")
	b.Done(begin(), "a", "", 0, Absent)
	for i := range 20 {
		c.Check(decide(b, begin(), waiter(fmt.Sprint("w", i)))[fmt.Sprint("w", i)], qt.Not(qt.Equals), "a")
		b.Done(begin(), "b", "", 0, Served)
	}
	hold(b, 1, "a", "m/x@0")
	c.Check(decide(b, begin(), waiter("x", adapter("m/x")))["x"], qt.Equals, "a")
	later := begin().Add(absentBackoff)
	b.Done(later, "b", "", 0, Unreachable)
	c.Check(decide(b, later, waiter("y"))["y"], qt.Equals, "a")
}

// Two requests wait for an adapter, and the load was requested for the first only. It is
// declined for the deadline of the first: the second, with a later deadline, causes a new load
// request and is not refused.
func TestRequestsWithLaterDeadlinesAreNotDeclined(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a", "b")
	b.Enqueue(waiter("first", adapter("m/x")))
	_, pendingLoads := b.Next(begin())
	c.Assert(pendingLoads, qt.HasLen, 1)
	later := waiter("second", adapter("m/x"))
	later.Deadline = begin().Add(1300 * time.Millisecond)
	b.Enqueue(later)
	_, pendingLoads = b.Next(begin().Add(300 * time.Millisecond))
	c.Assert(pendingLoads, qt.HasLen, 0)
	b.Decline("m/x")
	decisions, pendingLoads := b.Next(begin().Add(350 * time.Millisecond))
	c.Assert(decisions, qt.HasLen, 1)
	c.Check(decisions[0].Waiter.ID, qt.Equals, "first")
	c.Assert(pendingLoads, qt.HasLen, 1)
	c.Check(pendingLoads[0].GetLeftMs(), qt.Equals, uint32(950))
}
