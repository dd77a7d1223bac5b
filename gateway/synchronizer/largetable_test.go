package synchronizer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/relayplanner"
)

// Gateways behind narrow links received each version of a large table whole, from several sources at once, in
// calls that ended before the table had arrived, and had an old one after seconds.
func TestLargeTablesAreInForceInTime(t *testing.T) {
	for name, test := range map[string]struct{ gateways, routes int }{
		"22 gateways, 1,450 routes": {22, 1450},
		"22 gateways, 2,850 routes": {22, 2850},
		"75 gateways, 2,850 routes": {75, 2850},
		"5 gateways, 2,850 routes":  {5, 2850},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, test.gateways, func(_ *qt.C, f *fleet) {
				for i, routes := range []int{test.routes, test.routes, test.routes - 1} {
					f.put(randomTable(uint64(i+2), routes))
					<-time.After(200 * time.Millisecond)
				}
			})
		})
	}
}

// Versions in quick succession cost what they change, and do not keep each other from arriving.
func TestTablesInQuickSuccessionAreInForceInTime(t *testing.T) {
	runFleet(t, 22, func(c *qt.C, f *fleet) {
		f.put(randomTable(2, 1449))
		<-time.After(3 * time.Second)
		before := f.carried()
		for version := range uint64(60) {
			f.put(randomTable(3+version, 1450+int(version)))
			<-time.After(50 * time.Millisecond)
		}
		// 60 changes of one route each, with what else is sent in this time, to ten gateways.
		busiest := 0
		for address, bytes := range f.carried() {
			busiest = max(busiest, bytes-before[address])
		}
		c.Check(busiest < 1<<20, qt.IsTrue, qt.Commentf("the busiest gateway sent %d bytes", busiest))
	})
}

// carried returns how many bytes each gateway has sent.
func (f *fleet) carried() map[string]int {
	bytes := map[string]int{}
	for _, g := range f.gateways {
		g.host.egress.mu.Lock()
		bytes[g.host.address] = g.host.egress.carried
		g.host.egress.mu.Unlock()
	}
	return bytes
}

// A relay that falls silent while it sends a table delays its followers only.
func TestTablesArriveWhileRelaysFreeze(t *testing.T) {
	runFleet(t, 22, func(_ *qt.C, f *fleet) {
		for i := range 3 {
			version := uint64(i + 2)
			f.put(randomTable(version, 1450*(i+1)))
			<-time.After(time.Duration(i) * 40 * time.Millisecond)
			frozen := f.relay(i)
			frozen.host.freeze(true)
			<-time.After(3 * time.Second)
			frozen.host.freeze(false)
			// What it has missed meanwhile is not late.
			frozen.missed[version] = true
			<-time.After(3 * time.Second)
		}
	})
}

// relay returns one of the relays.
func (f *fleet) relay(i int) *fleetGateway {
	var relays []*fleetGateway
	for _, g := range f.gateways {
		if relayplanner.Assign(g.Relayer.Gateways(), g.Self).Direct {
			relays = append(relays, g)
		}
	}
	return relays[i%len(relays)]
}

// Controllers of an earlier release send tables with their updates only.
func TestTablesOfEarlierReleasesArrive(t *testing.T) {
	runFleet(t, 22, func(_ *qt.C, f *fleet) {
		for _, c := range f.controllers {
			c.mu.Lock()
			c.earlier = true
			c.mu.Unlock()
		}
		f.put(randomTable(2, 100))
		<-time.After(time.Second)
		f.put(randomTable(3, 200))
	})
}
