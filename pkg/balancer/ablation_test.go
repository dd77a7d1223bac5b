package balancer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/wire"
)

// Each mechanism changes the decision of a case when it is switched off.
func TestMechanismsCanBeSwitchedOff(t *testing.T) {
	for name, test := range map[ablator.Mechanism]struct {
		prepare func(b *Balancer)
		waiters []*Waiter
		on, off string
	}{
		ablator.Ejection: {func(b *Balancer) {
			for range 3 {
				b.Done(begin(), "a", "m/x", 0, Failed)
			}
			hold(b, 1, "a", "m/x@0")
		}, []*Waiter{waiter("w", adapter("m/x"))}, "waits", "a"},
		ablator.FullHolder: {func(b *Balancer) {
			hold(b, 1, "a", "m/x@0")
			hold(b, 1, "b", "m/x@0")
			fill(b, "b")
		}, []*Waiter{waiter("w", adapter("m/x"), avoid("a"))}, "waits", "a"},
		ablator.PriorityOrder: {func(b *Balancer) {
			hold(b, 1, "a", "m/x@0")
			b.SetLoads(begin(), []*wire.Load{{Backend: "a", Requests: 3}})
		}, []*Waiter{waiter("v", adapter("m/x"), urgency(5)), waiter("w", adapter("m/x"), urgency(0))}, "a", "waits"},
	} {
		t.Run(string(name), func(t *testing.T) {
			c := qt.New(t)
			for _, isOff := range []bool{false, true} {
				b, want := newBalancer("a", "b", "c", "d"), test.on
				if isOff {
					b.Disabled, want = ablator.Disable(name), test.off
				}
				test.prepare(b)
				waiters := make([]*Waiter, 0, len(test.waiters))
				for _, w := range test.waiters {
					waiters = append(waiters, &Waiter{ID: w.ID, Service: w.Service, Adapter: w.Adapter, Urgency: w.Urgency, Deadline: w.Deadline, Avoid: w.Avoid})
				}
				c.Check(decide(b, begin(), waiters...)["w"], qt.Equals, want, qt.Commentf("off: %v", isOff))
			}
		})
	}
}

// With two choices, backend servers that are not the least loaded get requests too; without
// them none does, and the zone matters only with its penalty.
func TestChoicesCanBeSwitchedOff(t *testing.T) {
	for name, test := range map[string]struct {
		off  []ablator.Mechanism
		want map[string]bool
	}{
		"two choices spread":                {nil, map[string]bool{"a": true, "b": true}},
		"the least loaded gets all":         {[]ablator.Mechanism{ablator.TwoChoices}, map[string]bool{"a": true}},
		"the other zone's is no worse then": {[]ablator.Mechanism{ablator.TwoChoices, ablator.ZonePenalty}, map[string]bool{"a": true, "c": true}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got := map[string]bool{}
			for i := range 100 {
				b := newBalancer("a", "b", "d")
				b.UpdateBackend(begin(), &wire.Announcement{Id: "c", Service: "s", Address: "c", Zone: "elsewhere", Slots: 4, Sequence: 1})
				b.Disabled = ablator.Disable(test.off...)
				b.SetLoads(begin(), []*wire.Load{{Backend: "b", Requests: 1}, {Backend: "d", Requests: 3}})
				got[decide(b, begin().Add(time.Duration(i)), waiter("w"))["w"]] = true
			}
			delete(got, map[bool]string{true: "c", false: ""}[len(test.off) == 0])
			c.Check(got, qt.DeepEquals, test.want)
		})
	}
}
