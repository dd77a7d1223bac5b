package disseminator

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

// fieldsOf returns the fields that are merged by sample count or by age.
func fieldsOf(l *wire.Load) []uint32 {
	return []uint32{
		l.GetRequests(), l.GetEventIntervalUs(), l.GetEventSamples(), l.GetMachineLoad(), l.GetMachineLoadAgeMs(),
		l.GetWaitUs(), l.GetServiceUs(), l.GetOwnerAgeMs(),
	}
}

func byBackend(loads []*wire.Load) map[string][]uint32 {
	m := map[string][]uint32{}
	for _, l := range loads {
		m[l.GetBackend()] = fieldsOf(l)
	}
	return m
}

// Relays dropped what gateways had observed of engines' pace, of machines and of owners. Intervals
// are averaged by samples; of the rest the newest is sent, also of backend servers at which no other
// gateway has requests.
func TestFiguresPassRelays(t *testing.T) {
	c := qt.New(t)
	d := newDisseminator()
	now := begin()
	received := fromLeader(0)
	received.Loads = []*wire.Load{
		{Backend: "e", Requests: 2, EventIntervalUs: 40_000, EventSamples: 30, MachineLoad: 250, MachineLoadAgeMs: 200},
		{Backend: "plain", WaitUs: 5, ServiceUs: 60_000, OwnerAgeMs: 80},
	}
	d.Receive(now, received)
	now = now.Add(100 * time.Millisecond)
	d.ObserveFollower(now, call("a", &wire.Load{Backend: "e", Requests: 1, EventIntervalUs: 80_000, EventSamples: 10, MachineLoad: 100, MachineLoadAgeMs: 50}))
	d.ObserveFollower(now, call("b", &wire.Load{Backend: "f", MachineLoad: 120, MachineLoadAgeMs: 10}))
	own := []*wire.Load{{Backend: "plain", WaitUs: 7, ServiceUs: 61_000, OwnerAgeMs: 20}}
	now = now.Add(50 * time.Millisecond)
	want := map[string][]uint32{
		"e":     {3, 50_000, 40, 100, 100, 0, 0, 0},
		"f":     {0, 0, 0, 120, 60, 0, 0, 0},
		"plain": {0, 0, 0, 0, 0, 7, 61_000, 20},
	}
	c.Check(byBackend(d.Answer(now, call("b"), own).GetLoads()), qt.DeepEquals, want)
	// A follower's own intervals are not sent back to it.
	want["e"] = []uint32{2, 40_000, 30, 100, 100, 0, 0, 0}
	c.Check(byBackend(d.Answer(now, call("a"), own).GetLoads()), qt.DeepEquals, want)
	// Upwards goes only what comes from below.
	c.Check(byBackend(d.Loads(now, own)), qt.DeepEquals, map[string][]uint32{
		"e": {1, 80_000, 10, 100, 100, 0, 0, 0}, "f": want["f"], "plain": want["plain"],
	})
}

// What a lost gateway, or a leader that is not heard, has reported is not passed on for longer than
// it can be of use. Figures that arrive late do not replace newer ones.
func TestFiguresAge(t *testing.T) {
	c := qt.New(t)
	d := newDisseminator()
	now := begin()
	d.Receive(now, fromLeader(0))
	d.ObserveFollower(now, call("a", &wire.Load{Backend: "e", Requests: 1, EventIntervalUs: 80_000, EventSamples: 10, MachineLoad: 250}))
	d.ObserveFollower(now, call("b", &wire.Load{Backend: "e", Requests: 1, MachineLoad: 100, MachineLoadAgeMs: 300}))
	c.Check(byBackend(d.Loads(now, nil)), qt.DeepEquals, map[string][]uint32{"e": {2, 80_000, 10, 250, 0, 0, 0, 0}})
	now = now.Add(FollowerLease + time.Millisecond)
	d.Tick(now)
	c.Check(byBackend(d.Loads(now, nil)), qt.DeepEquals, map[string][]uint32{})
	d.ObserveFollower(now, call("b"))
	c.Check(byBackend(d.Loads(now, nil)), qt.DeepEquals, map[string][]uint32{"e": {0, 0, 0, 250, 701, 0, 0, 0}})
	now = now.Add(figureLease)
	c.Check(byBackend(d.Loads(now, nil)), qt.DeepEquals, map[string][]uint32{})
	c.Check(d.followerLoads.backends, qt.HasLen, 0)
}

// All gateways get the loads of all engines several times per second, over links of 7.5 Mbit/s.
func TestFiguresCostAtMostHalfOfTheLoads(t *testing.T) {
	c := qt.New(t)
	now := begin()
	build := func(figures bool) *LoadTotals {
		s := NewLoadTotals()
		for gateway := range 80 {
			var loads []*wire.Load
			for i := range 4 {
				n := (gateway*4 + i) % 90
				l := load(fmt.Sprintf("engine-%02d~1785412345678", n), 1, fmt.Sprint("model-13b/adapter-", 1000+gateway*4+i))
				if figures {
					l.EventIntervalUs, l.EventSamples = 38_000, 20
					l.MachineLoad, l.MachineLoadAgeMs = 250, 180
				}
				loads = append(loads, l)
			}
			s.Add(now, loads)
		}
		return s
	}
	size := func(loads []*wire.Load) int { return proto.Size(&wire.SyncResponse{Loads: loads}) }
	without, with := build(false), build(true)
	up, upBefore := size(with.With(now, nil)), size(without.With(now, nil))
	down, downBefore := size(with.Without(now, nil)), size(without.Without(now, nil))
	t.Logf("%d bytes up instead of %d, %d down instead of %d", up, upBefore, down, downBefore)
	c.Check(float64(up) <= 1.5*float64(upBefore), qt.IsTrue)
	c.Check(float64(down) <= 1.5*float64(downBefore), qt.IsTrue)
}

// A controller answers 80 gateways every 150 ms, and a relay its followers.
func BenchmarkWithout(b *testing.B) {
	s, now := NewLoadTotals(), begin()
	var own []*wire.Load
	for gateway := range 80 {
		var loads []*wire.Load
		for i := range 4 {
			loads = append(loads, &wire.Load{
				Backend: fmt.Sprint("engine", (gateway*4+i)%90), Requests: 1, EventIntervalUs: 38_000, EventSamples: 20, MachineLoad: 100,
			})
		}
		s.Add(now, loads)
		own = loads
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Without(now, own)
	}
}
