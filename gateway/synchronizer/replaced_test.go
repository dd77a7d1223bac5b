package synchronizer

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

// replaceAllControllers replaces all controllers, also the seeds, one after the other, and waits until the gateways have
// forgotten the earlier ones.
func (f *fleet) replaceAllControllers() {
	ctx, cancel := context.WithCancel(context.Background())
	f.onClose = cancel
	for i := range 5 {
		f.replaceController(ctx, fmt.Sprintf("10.1.1.%d:7000", i+1))
		<-time.After(9 * time.Second)
	}
	<-time.After(2 * controllerExpiry)
}

// Gateways polled no controller any more once those that had listed the others first were replaced.
func TestGatewaysFollowReplacedControllers(t *testing.T) {
	for name, gateways := range map[string]int{"all poll controllers": 5, "some poll relays": 22} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, gateways, func(_ *qt.C, f *fleet) {
				f.replaceAllControllers()
				f.put(randomTable(2, 60))
			})
		})
	}
}

// Gateways forgot all controllers but the seeds while none answered, and polled only the seeds for good, also where
// these had been replaced.
func TestGatewaysFindReplacedControllersAfterAnOutage(t *testing.T) {
	for name, cutOff := range map[string]func(f *fleet) []*host{
		"of all controllers": func(f *fleet) (hosts []*host) {
			for _, c := range f.controllers {
				hosts = append(hosts, c.host)
			}
			return hosts
		},
		"of one gateway":   func(f *fleet) []*host { return []*host{f.gateways[0].host} },
		"of four gateways": func(f *fleet) []*host { return gatewayHosts(f.gateways[:4]) },
		"of all gateways":  func(f *fleet) []*host { return gatewayHosts(f.gateways) },
		"after a controller that does not return has listed only replaced ones": func(f *fleet) (hosts []*host) {
			outdated := f.controllers[4]
			outdated.mu.Lock()
			outdated.controllers, outdated.revision = []string{"10.1.0.4:7000", "10.1.0.5:7000"}, outdated.revision+1
			outdated.mu.Unlock()
			<-time.After(3 * time.Second)
			outdated.host.freeze(true)
			for _, c := range f.controllers[:4] {
				hosts = append(hosts, c.host)
			}
			return hosts
		},
	} {
		t.Run(name, func(t *testing.T) {
			runFleet(t, 5, func(_ *qt.C, f *fleet) {
				f.replaceAllControllers()
				hosts := cutOff(f)
				freezeAll(hosts, true)
				<-time.After(controllerExpiry + 10*time.Second)
				freezeAll(hosts, false)
				<-time.After(5 * time.Second)
				f.put(randomTable(2, 60))
			})
		})
	}
}

// Gateways that had polled relays began with the seeds when all relays of their zone were lost, and reached no controller
// where the seeds had been replaced.
func TestFollowersOfLostRelaysFindReplacedControllers(t *testing.T) {
	runFleet(t, 22, func(_ *qt.C, f *fleet) {
		f.replaceAllControllers()
		for _, relay := range []*fleetGateway{f.relay(0), f.relay(1)} {
			relay.host.freeze(true)
			relay.missed[2] = true
		}
		<-time.After(5 * time.Second)
		f.put(randomTable(2, 60))
	})
}

// What gateways kept for each controller that they had ever polled grew with each replacement: the state of its updates,
// and the demand that it had not received.
func TestNothingIsKeptOfReplacedControllers(t *testing.T) {
	runFleet(t, 5, func(c *qt.C, f *fleet) {
		demand := []*wire.Demand{{Adapter: "m/a1", Requests: 1}}
		for _, g := range f.gateways {
			g.mu.Lock()
			g.demand = demand
			g.mu.Unlock()
		}
		f.replaceAllControllers()
		for _, g := range f.gateways {
			g.Synchronizer.mu.Lock()
			for _, address := range []string{"10.1.0.4:7000", "10.1.0.5:7000"} {
				c.Check(g.sources[address], qt.IsNil)
				c.Check(g.pendingDemand[address], qt.HasLen, 0)
			}
			g.Synchronizer.mu.Unlock()
		}
		f.put(randomTable(2, 60))
	})
}

// A gateway that heard of no controller at all logged nothing, and served by an old table unnoticed.
func TestLostContactIsLogged(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	s := newSynchronizer(&wire.GatewayEntry{Address: "10.0.0.1:80", Zone: "z"})
	s.Log = slog.New(slog.NewTextHandler(&out, nil))
	for _, age := range []time.Duration{0, time.Second, contactTimeout + 1, time.Minute, time.Second, 0} {
		s.recordContact(age)
	}
	c.Check(strings.Count(out.String(), "no controller answers"), qt.Equals, 1)
	c.Check(strings.Count(out.String(), "controllers answer again"), qt.Equals, 1)
}

func gatewayHosts(gateways []*fleetGateway) (hosts []*host) {
	for _, g := range gateways {
		hosts = append(hosts, g.host)
	}
	return hosts
}

func freezeAll(hosts []*host, frozen bool) {
	for _, h := range hosts {
		h.freeze(frozen)
	}
}
