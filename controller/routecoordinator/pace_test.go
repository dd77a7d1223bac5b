package routecoordinator

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

// Controllers sent a gateway only the other gateways' requests at a backend server, and nothing of
// one at which no other gateway has any. What a gateway reported stays known for a short time after
// the gateway is lost, and never longer.
func TestFiguresPassControllers(t *testing.T) {
	c := qt.New(t)
	co, _ := newCoordinator()
	now := co.Clock.Now()
	one := syncOf("one")
	one.Loads = []*wire.Load{
		{Backend: "e", Requests: 1, EventIntervalUs: 40_000, EventSamples: 20, MachineLoad: 250, MachineLoadAgeMs: 100},
		{Backend: "plain", WaitUs: 5, ServiceUs: 60_000, OwnerAgeMs: 80},
	}
	co.observeGateway(now, one)
	two := syncOf("two")
	two.Loads = []*wire.Load{{Backend: "e", Requests: 1, EventIntervalUs: 80_000, EventSamples: 20, MachineLoad: 100, MachineLoadAgeMs: 300}}
	co.observeGateway(now, two)
	loads := func(gateway string) map[string]*wire.Load {
		m := map[string]*wire.Load{}
		for _, l := range co.loadsWithout(now, co.gateways[gateway]) {
			m[l.GetBackend()] = l
		}
		return m
	}
	e := loads("two")["e"]
	c.Check([]uint32{e.GetRequests(), e.GetEventIntervalUs(), e.GetEventSamples(), e.GetMachineLoad(), e.GetMachineLoadAgeMs()}, qt.DeepEquals,
		[]uint32{1, 40_000, 20, 250, 100})
	c.Check(loads("three")["e"].GetEventIntervalUs(), qt.Equals, uint32(60_000))
	c.Check(loads("two")["plain"].GetServiceUs(), qt.Equals, uint32(60_000))
	c.Check(loads("two")["plain"].GetOwnerAgeMs(), qt.Equals, uint32(80))

	delete(co.gateways, "one")
	co.loads.Remove(one.GetLoads())
	now = now.Add(800 * time.Millisecond)
	c.Check(loads("three")["e"].GetMachineLoadAgeMs(), qt.Equals, uint32(900))
	c.Check(loads("three")["e"].GetEventIntervalUs(), qt.Equals, uint32(80_000))
	now = now.Add(200 * time.Millisecond)
	c.Check(loads("three")["e"].GetMachineLoad(), qt.Equals, uint32(0))
	c.Check(loads("three")["plain"], qt.IsNil)
}

// The leader gave slow engines as many replicas as the others. Any controller learns the paces, so
// that a new leader has them at once; those of engines that have left are dropped.
func TestControllersLearnPaces(t *testing.T) {
	c := qt.New(t)
	co, _ := newCoordinator()
	now := co.Clock.Now()
	one := syncOf("one")
	for i := range 5 {
		id := fmt.Sprint("e", i)
		co.tracker.Observe(now, &wire.Announcement{Id: id, Name: id, Service: "s", Address: id, Sequence: 1})
		l := &wire.Load{Backend: id, Requests: 1, EventIntervalUs: 40_000, EventSamples: 40}
		if i == 0 {
			l.EventIntervalUs = 88_000
		}
		one.Loads = append(one.Loads, l)
	}
	one.Loads = append(one.Loads, &wire.Load{Backend: "unknown", EventIntervalUs: 1, EventSamples: 1 << 31})
	co.applyChanges()
	co.observeGateway(now, one)
	co.learnPaces(now)
	pace := co.pacesOf("s").Pace("e0")
	c.Check(pace > 2 && pace < 2.3, qt.IsTrue, qt.Commentf("%v", pace))
	c.Check(co.pacesOf("s").Pace("e1"), qt.Equals, 1.0)

	co.tracker.Observe(now, &wire.Announcement{Id: "e0", Service: "s", Address: "e0", Sequence: 2, Gone: true})
	co.applyChanges()
	now = now.Add(paceInterval)
	co.learnPaces(now)
	c.Check(co.pacesOf("s").Differs(), qt.IsFalse)
}
