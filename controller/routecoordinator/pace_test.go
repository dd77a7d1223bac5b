package routecoordinator

import (
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
