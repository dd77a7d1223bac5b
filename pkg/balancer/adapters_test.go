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
		"held by one":               {func(b *Balancer) { hold(b, 1, "b", "m/x@0") }, "b"},
		"held by nobody any more":   {func(b *Balancer) { hold(b, 1, "b", "m/x@0"); hold(b, 1, "b") }, "waits"},
		"an earlier leader's word":  {func(b *Balancer) { hold(b, 2, "b"); hold(b, 1, "b", "m/x@0") }, "waits"},
		"an old version":            {func(b *Balancer) { hold(b, 1, "b", "m/x@1"); version(b, 2) }, "waits"},
		"the named version":         {func(b *Balancer) { hold(b, 1, "b", "m/x@2"); version(b, 2) }, "b"},
		"just said not to be there": {func(b *Balancer) { hold(b, 1, "b", "m/x@0"); b.Done(begin(), "b", "m/x", 0, Absent) }, "waits"},
		"the other copy, if one fails": {func(b *Balancer) {
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

// A missing adapter is asked for once, and again only when the load should have ended.
func TestMissingAdaptersAreAskedForOnce(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a", "b")
	b.Done(begin(), "a", "", 0, Unreachable)
	b.Enqueue(waiter("v", adapter("m/x")))
	b.Enqueue(waiter("w", adapter("m/x")))
	_, wants := b.Next(begin())
	c.Assert(wants, qt.HasLen, 1)
	c.Check(wants[0].GetAvoid(), qt.DeepEquals, []string{"a"})
	_, wants = b.Next(begin().Add(100 * time.Millisecond))
	c.Check(wants, qt.HasLen, 0)
	_, wants = b.Next(begin().Add(450 * time.Millisecond))
	c.Check(wants, qt.HasLen, 1)
}

// Sixteen rare adapters and one hot one: requests that wait for a load hold up no others.
func TestWaitingForLoadsHoldsUpNobody(t *testing.T) {
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

// A hot adapter at one engine: when that engine is much busier than the others, a copy
// elsewhere is asked for, and not while all are busy.
func TestCrowdedEnginesGetHelp(t *testing.T) {
	for name, test := range map[string]struct {
		others map[string]uint32
		want   int
	}{
		"idle":                  {nil, 0},
		"the holder is crowded": {map[string]uint32{"a": 3}, 1},
		"all are crowded":       {map[string]uint32{"a": 3, "b": 3, "c": 2}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newBalancer("a", "b", "c")
			hold(b, 1, "a", "m/hot@0")
			var loads []*wire.Load
			for id, n := range test.others {
				loads = append(loads, &wire.Load{Backend: id, Requests: n})
			}
			b.SetLoads(loads)
			b.Enqueue(waiter("w", adapter("m/hot")))
			decisions, wants := b.Next(begin())
			c.Assert(decisions, qt.HasLen, 1)
			c.Check(decisions[0].Backend.GetId(), qt.Equals, "a")
			c.Assert(wants, qt.HasLen, test.want)
			if test.want > 0 {
				c.Check(wants[0].GetAvoid(), qt.DeepEquals, []string{"a"})
			}
		})
	}
}

// The only engine with an adapter has lost an answer: the request goes there again rather
// than wait for a load elsewhere; but not if nothing can be reached there, and not while
// another copy is there.
func TestTheOnlyHolderIsTriedAgain(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(b *Balancer)
		want    string
	}{
		"an answer was lost":  {func(b *Balancer) { b.Done(begin(), "a", "m/x", 0, Failed) }, "a"},
		"it is not reached":   {func(b *Balancer) { b.Done(begin(), "a", "m/x", 0, Unreachable) }, "waits"},
		"there is a copy":     {func(b *Balancer) { hold(b, 1, "b", "m/x@0") }, "b"},
		"the copy is full":    {func(b *Balancer) { hold(b, 1, "b", "m/x@0"); fill(b, "b") }, "waits"},
		"it is gone from all": {func(b *Balancer) { hold(b, 1, "a") }, "waits"},
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

// The only engine with an adapter is full, and others have room: a copy is asked for there
// while the request waits. When all are full, a copy would help nobody.
func TestFullHoldersGetHelp(t *testing.T) {
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
			decisions, wants := b.Next(begin())
			c.Check(decisions, qt.HasLen, 0)
			c.Assert(wants, qt.HasLen, test.want)
			if test.want > 0 {
				c.Check(wants[0].GetAvoid(), qt.DeepEquals, []string{"a"})
			}
		})
	}
}

// The leader says that an adapter does not come in time: who waits for it is refused at
// once with a time to come back; others go on waiting, and so does who comes later.
func TestDeclinedAdapters(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(b *Balancer)
		want    map[string]string
	}{
		"it is nowhere":          {func(*Balancer) {}, map[string]string{"w": "refused", "v": "waits"}},
		"it has come after all":  {func(b *Balancer) { hold(b, 1, "a", "m/x@0") }, map[string]string{"w": "a", "v": "waits"}},
		"its engine has no room": {func(b *Balancer) { hold(b, 1, "a", "m/x@0"); fill(b, "a") }, map[string]string{"w": "waits", "v": "waits"}},
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
			_, wants := b.Next(begin())
			c.Check(len(wants) == 1, qt.Equals, test.want["w"] == "refused")
		})
	}
}

// An engine that restarts says that its base model is not there yet: requests for the model
// go elsewhere for a moment, and the engine is still known for what it holds later.
func TestAnEngineWithoutItsModelIsLeftAloneForAMoment(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a", "b")
	b.Done(begin(), "a", "", 0, Absent)
	for i := range 20 {
		c.Check(decide(b, begin(), waiter(fmt.Sprint("w", i)))[fmt.Sprint("w", i)], qt.Not(qt.Equals), "a")
		b.Done(begin(), "b", "", 0, Served)
	}
	hold(b, 1, "a", "m/x@0")
	c.Check(decide(b, begin(), waiter("x", adapter("m/x")))["x"], qt.Equals, "a")
	later := begin().Add(absentFor)
	b.Done(later, "b", "", 0, Unreachable)
	c.Check(decide(b, later, waiter("y"))["y"], qt.Equals, "a")
}

// Two requests wait for an adapter, for which only the first was asked for. It is declined
// for the time of the first: the second one, which has come later and waits for longer, is
// asked for anew and not refused.
func TestWhoWaitsLongerIsNotDeclined(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a", "b")
	b.Enqueue(waiter("first", adapter("m/x")))
	_, wants := b.Next(begin())
	c.Assert(wants, qt.HasLen, 1)
	later := waiter("second", adapter("m/x"))
	later.Deadline = begin().Add(1300 * time.Millisecond)
	b.Enqueue(later)
	_, wants = b.Next(begin().Add(300 * time.Millisecond))
	c.Assert(wants, qt.HasLen, 0)
	b.Decline("m/x")
	decisions, wants := b.Next(begin().Add(350 * time.Millisecond))
	c.Assert(decisions, qt.HasLen, 1)
	c.Check(decisions[0].Waiter.ID, qt.Equals, "first")
	c.Assert(wants, qt.HasLen, 1)
	c.Check(wants[0].GetLeftMs(), qt.Equals, uint32(950))
}
