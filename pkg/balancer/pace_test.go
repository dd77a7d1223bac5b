package balancer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

// What a gateway had observed of the pace of backend servers stayed with it: one that sends an
// engine a request in 9 s can't learn the engine's pace alone.
func TestPaceIsReportedWithLoads(t *testing.T) {
	c := qt.New(t)
	b := &Balancer{Zone: "z"}
	now := begin()
	for _, id := range []string{"a", "b", "c", "d"} {
		b.UpdateBackend(now, &wire.Announcement{Id: id, Service: "s", Address: id, Zone: "z", Slots: 12})
	}
	b.backends["a"].own = 1
	for range 3 {
		b.ObserveEventPace(now, "a", 40*time.Millisecond)
	}
	b.ObserveEventPace(now, "b", 40*time.Millisecond)
	b.ObserveMachineLoad(now, "a", 250)
	b.ObserveMachineLoad(now, "c", 100)
	b.ObserveMachineLoad(now.Add(-machineReportAge), "d", 250)
	now = now.Add(30 * time.Millisecond)
	reported := map[string]*wire.Load{}
	for _, l := range b.Loads(now) {
		reported[l.GetBackend()] = l
	}
	// "b" has no request, and "d" named its figure too long ago: neither costs any bytes.
	c.Assert(reported, qt.HasLen, 2)
	a := reported["a"]
	c.Check([]uint32{a.GetRequests(), a.GetEventIntervalUs(), a.GetEventSamples(), a.GetMachineLoad(), a.GetMachineLoadAgeMs()}, qt.DeepEquals,
		[]uint32{1, 40_000, 3, 250, 30})
	c.Check([]uint32{reported["c"].GetMachineLoad(), reported["c"].GetMachineLoadAgeMs()}, qt.DeepEquals, []uint32{100, 30})

	// Another incarnation starts without what is known of this one.
	b.UpdateBackend(now, &wire.Announcement{Id: "a", Service: "s", Address: "a", Sequence: 9, Gone: true, Replaced: true})
	b.UpdateBackend(now, &wire.Announcement{Id: "a~2", Service: "s", Address: "a", Zone: "z", Slots: 12})
	b.backends["a~2"].own = 1
	for _, l := range b.Loads(now) {
		if l.GetBackend() == "a~2" {
			c.Check(l.GetEventSamples()+l.GetMachineLoad(), qt.Equals, uint32(0))
		}
	}
}

// A report that comes back to its gateway looks younger than it is, and steered requests away from a
// server that the gateway knew to be free again.
func TestOwnMachineLoadsOutweighReports(t *testing.T) {
	c := qt.New(t)
	b := &Balancer{Zone: "z"}
	b.UpdateBackend(begin(), &wire.Announcement{Id: "b", Service: "s", Address: "b", Zone: "z", Slots: 8})
	b.ObserveMachineLoad(begin(), "b", 300)
	b.ObserveMachineLoad(begin().Add(100*time.Millisecond), "b", 100)
	now := begin().Add(400 * time.Millisecond)
	b.ObserveLoads(now, []*wire.Load{{Backend: "b", MachineLoad: 300, MachineLoadAgeMs: 150}})
	percent, age := b.MachineLoad(now, "b")
	c.Check(percent, qt.Equals, 100)
	c.Check(age, qt.Equals, 300*time.Millisecond)
}

// While no controller is reached, a gateway keeps using the paces that it knows, and what it
// measures itself, and forgets both when they are too old to be true.
func TestPacesOutliveControllersForAShortTime(t *testing.T) {
	c := qt.New(t)
	b := newBalancer("a", "b", "c", "d")
	now := begin()
	var loads []*wire.Load
	for _, id := range []string{"a", "b", "c", "d"} {
		l := &wire.Load{Backend: id, EventIntervalUs: 40_000, EventSamples: 40}
		if id == "a" {
			l.EventIntervalUs, l.MachineLoad = 88_000, 250
		}
		loads = append(loads, l)
	}
	b.ObserveLoads(now, loads)
	for _, test := range []struct {
		after time.Duration
		slow  bool
		busy  int
	}{
		{0, true, 1}, {machineHalfLife, true, 1}, {time.Second, true, 0}, {15 * time.Second, true, 0}, {20 * time.Second, false, 0},
	} {
		at := now.Add(test.after)
		b.refreshSlowdowns(at, "s")
		slow, busy := 0, 0
		for _, s := range b.PaceSummaries(at) {
			slow, busy = slow+s.Slower, busy+s.BusyMachines
		}
		c.Check(slow == 1, qt.Equals, test.slow, qt.Commentf("after %v", test.after))
		c.Check(busy, qt.Equals, test.busy, qt.Commentf("after %v", test.after))
		c.Check(b.backends["a"].slowdown > 0, qt.Equals, test.slow)
		c.Check(b.backends["b"].slowdown, qt.Equals, 0.0)
	}
}
