package synchronizer

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/granter"
	"bronzelead.example/gateway/relayer"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/relayplanner"
	"bronzelead.example/pkg/wire"
)

// meshFake is a controller or a relay: it answers at once, falls silent or tells how long
// ago it heard a controller.
type meshFake struct {
	wire.Mesh
	asked  atomic.Int64
	answer atomic.Pointer[wire.SyncResponse]
	silent atomic.Bool
}

func (m *meshFake) Sync(ctx context.Context, _ *wire.SyncRequest) (*wire.SyncResponse, error) {
	m.asked.Add(1)
	if m.silent.Load() {
		<-ctx.Done()
	}
	return m.answer.Load(), nil
}

func (m *meshFake) start(t *testing.T, answer *wire.SyncResponse) string {
	m.answer.Store(answer)
	s := httptest.NewServer(wire.NewMeshServer(m))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return strings.TrimPrefix(s.URL, "http://")
}

// system is one gateway that follows relays of its zone, which has ten gateways.
type system struct {
	*Synchronizer
	controller *meshFake
	// relays are in the order in which the gateway asks them.
	relays []*meshFake
}

func newSystem(t *testing.T) *system {
	list := &wire.SyncResponse{Leads: true, Term: 1, GatewaysRevision: 1}
	byAddress := startGateways(t, list, 10, func(int) string { return "z" })
	self := &wire.GatewayEntry{}
	for _, self = range list.GetGatewayList() {
		if !relayplanner.Assign(list.GetGatewayList(), self).Direct {
			break
		}
	}
	s := &system{controller: &meshFake{}}
	for _, relay := range relayplanner.Assign(list.GetGatewayList(), self).Relays {
		s.relays = append(s.relays, byAddress[relay])
	}
	s.follow(t, self, list)
	return s
}

// startGateways starts gateways in zones, and adds them to a list.
func startGateways(t *testing.T, list *wire.SyncResponse, n int, zone func(i int) string) map[string]*meshFake {
	byAddress := map[string]*meshFake{}
	for i := range n {
		m := &meshFake{}
		address := m.start(t, &wire.SyncResponse{Leads: true, Term: 1})
		byAddress[address] = m
		list.GatewayList = append(list.GatewayList, &wire.GatewayEntry{Address: address, Zone: zone(i)})
	}
	return byAddress
}

// follow starts the gateway; the controller tells the list.
func (s *system) follow(t *testing.T, self *wire.GatewayEntry, list *wire.SyncResponse) {
	controller := s.controller.start(t, list)
	g := &granter.Granter{Clock: clockwork.NewRealClock()}
	g.Init()
	r := &relayer.Relayer{
		Granter: g,
		Clock:   clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Meter: meter.New("gateway", "test", "z"), Self: self,
		Apply: func(string, *wire.SyncResponse) {}, Loads: func() []*wire.Load { return nil },
	}
	r.Init()
	s.Synchronizer = &Synchronizer{
		Granter: g,
		Clock:   r.Clock, Log: r.Log, Gateway: "test", Self: self, Relayer: r, Seeds: func() []string { return []string{controller} },
		Demand: func() []*wire.Demand { return nil }, TableVersion: func() uint64 { return 0 },
		RunReports: func(uint64) ([]*wire.RunReport, uint64) { return nil, 0 },
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.Run(ctx)
}

// eventually waits until something holds; the limit is only there to end a test that fails.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	limit := time.After(30 * time.Second)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-limit:
			t.Fatal("never seen: " + what)
		case <-tick.C:
		}
	}
}

func (s *system) asksControllers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.direct
}

// asked reports whether an instance is asked again from here on.
func asked(m *meshFake) func() bool {
	before := m.asked.Load()
	return func() bool { return m.asked.Load() > before+1 }
}

// A gateway of a large zone follows a relay and leaves the controllers alone; when its relay
// falls silent, another one; when all do, the controllers; and the relays again when they
// are back.
func TestAFollowerLosesItsRelays(t *testing.T) {
	s := newSystem(t)
	eventually(t, "the relay is asked", asked(s.relays[0]))
	eventually(t, "the controllers are left alone", func() bool { return !s.asksControllers() })
	s.relays[0].silent.Store(true)
	eventually(t, "the other relay is asked", asked(s.relays[1]))
	s.relays[1].silent.Store(true)
	eventually(t, "the controllers are asked", s.asksControllers)
	eventually(t, "they answer", asked(s.controller))
	s.relays[0].silent.Store(false)
	eventually(t, "the controllers are left alone again", func() bool { return !s.asksControllers() })
}

// A relay that itself hears no controller is no relay.
func TestARelayThatIsCutOff(t *testing.T) {
	s := newSystem(t)
	eventually(t, "the relay is asked", asked(s.relays[0]))
	s.relays[0].answer.Store(&wire.SyncResponse{ContactAgeMs: 900})
	eventually(t, "the other relay is asked", asked(s.relays[1]))
	s.relays[1].answer.Store(&wire.SyncResponse{ContactAgeMs: 900})
	eventually(t, "the controllers are asked", s.asksControllers)
}

// A gateway of a small zone asks the controllers itself. When none answers it asks a gateway
// of another zone, and leaves it alone once a controller answers again.
func TestAGatewayThatIsCutOffAsksOthers(t *testing.T) {
	list := &wire.SyncResponse{Leads: true, Term: 1, GatewaysRevision: 1}
	byAddress := startGateways(t, list, 2, func(i int) string { return []string{"z", "other"}[i] })
	other := byAddress[list.GetGatewayList()[1].GetAddress()]
	s := &system{controller: &meshFake{}}
	s.follow(t, list.GetGatewayList()[0], list)
	eventually(t, "the controller is asked", asked(s.controller))
	s.controller.silent.Store(true)
	eventually(t, "the gateway of the other zone is asked", asked(other))
	if !s.asksControllers() {
		t.Fatal("the controllers are no longer asked")
	}
	s.controller.silent.Store(false)
	eventually(t, "the other gateway is left alone", func() bool { return len(s.relayList()) == 0 })
}
