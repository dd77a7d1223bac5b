package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/wire"
)

// With 12 slots an engine often has 6 requests by chance where the mean is 3.6. Each such engine
// caused a request for a replica, and a quarter of all loads were of further replicas.
func TestChanceIsNoOverload(t *testing.T) {
	c := qt.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	b := &Balancer{Rand: random}
	for i := range 90 {
		id := fmt.Sprint("e", i)
		b.UpdateBackend(begin(), &wire.Announcement{Id: id, Service: "s", Address: id, Slots: 12, Sequence: 1})
		hold(b, 1, id, fmt.Sprint("m/", i, "@0"))
	}
	requested := 0
	for round := range 40 {
		now := begin().Add(time.Duration(round) * time.Second)
		var loads []*wire.Load
		for i := range 90 {
			n := 0
			for range 12 {
				if random.Float64() < 0.3 {
					n++
				}
			}
			loads = append(loads, &wire.Load{Backend: fmt.Sprint("e", i), Requests: uint32(n)})
		}
		b.SetLoads(now, loads)
		for i := range 90 {
			w := waiter("w", adapter(fmt.Sprint("m/", i)))
			w.Deadline = now.Add(time.Second)
			b.Enqueue(w)
		}
		decisions, pendingLoads := b.Next(now)
		requested += len(pendingLoads)
		for _, d := range decisions {
			b.Done(now, d.Backend.GetId(), d.Waiter.Adapter, 0, Served)
		}
	}
	c.Check(requested <= 40, qt.IsTrue, qt.Commentf("%d of %d requests", requested, 40*90))
}

// A replica that only later requests would use is requested as spare: the leader must not take a
// slot for it from an adapter that requests wait for.
func TestReplicaForAnOverloadedEngineIsSpare(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a", "b", "c")
	hold(b, 1, "a", "m/hot@0")
	b.SetLoads(begin(), []*wire.Load{{Backend: "a", Requests: 3}})
	b.Enqueue(waiter("w", adapter("m/hot")))
	_, pendingLoads := b.Next(begin())
	c.Assert(pendingLoads, qt.HasLen, 1)
	c.Check(pendingLoads[0].GetSpare(), qt.IsTrue)
}

// A request whose engine was full for a moment caused a load elsewhere, which took longer than
// the wait. It requests one only once it has waited as long as a load takes and has the time for
// a load left, or if the engine is known to accept no requests for longer than that.
func TestFullEnginesCauseALoadAfterALongWait(t *testing.T) {
	for label, test := range map[string]struct {
		left  time.Duration
		pause time.Duration
		off   bool
		wait  time.Duration
		want  string
	}{
		"at once":                      {2 * time.Second, 0, false, 0, "spare"},
		"at once, without this":        {2 * time.Second, 0, true, 0, "waiting"},
		"after a short wait":           {2 * time.Second, 0, false, loadTime / 2, "nothing"},
		"after the time of a load":     {2 * time.Second, 0, false, loadTime, "waiting"},
		"too late for a load":          {loadTime + 100*time.Millisecond, 0, false, loadTime, "nothing"},
		"the engine pauses for long":   {2 * time.Second, loadTime + time.Millisecond, false, 0, "waiting"},
		"the engine pauses for a time": {2 * time.Second, loadTime / 2, false, 0, "spare"},
	} {
		t.Run(label, func(t *testing.T) {
			c := qt.New(t)
			b := newBalancer("a", "b", "c")
			if test.off {
				b.Disabled = ablator.Disable(ablator.SpareRequests)
			}
			hold(b, 1, "a", "m/x@0")
			fill(b, "a")
			if test.pause > 0 {
				b.Pause("a", begin().Add(test.pause))
			}
			w := waiter("w", adapter("m/x"))
			w.Deadline = begin().Add(test.left)
			b.Enqueue(w)
			_, pendingLoads := b.Next(begin())
			if test.wait > 0 {
				_, pendingLoads = b.Next(begin().Add(test.wait))
			}
			got := "nothing"
			if len(pendingLoads) > 0 {
				got = map[bool]string{true: "spare", false: "waiting"}[pendingLoads[0].GetSpare()]
			}
			c.Check(got, qt.Equals, test.want)
		})
	}
}
