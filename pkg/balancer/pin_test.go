package balancer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// announceVersion announces a backend server of a software version.
func announceVersion(b *Balancer, id, version string) {
	a := announcement(id)
	a.SoftwareVersion = version
	b.UpdateBackend(begin(), a)
}

func pinned(version string) func(*Waiter) { return func(w *Waiter) { w.Pin = PinTo(version) } }

// A request that resumes a stream gets a backend server of the software version that began it, or
// none.
func TestPinnedRequests(t *testing.T) {
	for name, test := range map[string]struct {
		prepare func(b *Balancer)
		want    string
	}{
		"one of its version": {func(*Balancer) {}, "b"},
		"which has failed it": {func(b *Balancer) {
			for range 20 {
				b.Done(begin(), "b", "", 0, Unreachable)
			}
		}, "b"},
		"which is full":    {func(b *Balancer) { fill(b, "b") }, "waits"},
		"which is leaving": {func(b *Balancer) { b.Leave(begin(), "b") }, "refused"},
		"which is gone":    {func(b *Balancer) { b.RemoveBackend("b") }, "refused"},
		"which restarted with another version": {func(b *Balancer) {
			b.RemoveBackend("b")
			announceVersion(b, "b-2", "v1")
		}, "refused"},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			// Other versions would be chosen by chance.
			for range 20 {
				b := &Balancer{}
				announceVersion(b, "a", "v1")
				announceVersion(b, "b", "v2")
				announceVersion(b, "c", "")
				test.prepare(b)
				c.Check(decide(b, begin(), waiter("w", pinned("v2")))["w"], qt.Equals, test.want)
			}
		})
	}
}

// A load that was requested for other requests helps none that is pinned, and one that the leader
// declines for a pinned request is not declined for the others.
func TestLoadsForPinnedRequests(t *testing.T) {
	c := qt.New(t)
	b := &Balancer{}
	announceVersion(b, "a", "v1")
	announceVersion(b, "b", "v2")
	hold(b, 1, "a", "m/x@0")
	fill(b, "a")
	b.Enqueue(waiter("w", adapter("m/x")))
	b.Enqueue(waiter("p", adapter("m/x"), pinned("v2")))
	_, loads := b.Next(begin())
	c.Assert(loads, qt.HasLen, 2)
	c.Check(loads[1].GetAvoid(), qt.DeepEquals, []string{"a"})
	_, loads = b.Next(begin().Add(100 * time.Millisecond))
	c.Check(loads, qt.HasLen, 0)
	b.Decline("m/x")
	decisions, _ := b.Next(begin().Add(110 * time.Millisecond))
	c.Assert(decisions, qt.HasLen, 1)
	c.Check(decisions[0].Waiter.ID, qt.Equals, "p")
	c.Check(decisions[0].Reason, qt.Equals, ReasonDeclined)
}
