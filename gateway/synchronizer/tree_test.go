package synchronizer

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/granter"
	"bronzelead.example/gateway/relayer"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/relayplanner"
	"bronzelead.example/pkg/wire"
)

// fakeMesh is a controller or a relay: it answers immediately, is unresponsive, or reports the
// age of its last contact with a controller.
type fakeMesh struct {
	wire.Mesh
	calls  atomic.Int64
	answer atomic.Pointer[wire.SyncResponse]
	silent atomic.Bool
}

func (m *fakeMesh) Sync(ctx context.Context, _ *wire.SyncRequest) (*wire.SyncResponse, error) {
	m.calls.Add(1)
	if m.silent.Load() {
		<-ctx.Done()
	}
	return m.answer.Load(), nil
}

func (m *fakeMesh) start(t *testing.T, answer *wire.SyncResponse) string {
	m.answer.Store(answer)
	s := httptest.NewServer(wire.NewMeshServer(m))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return strings.TrimPrefix(s.URL, "http://")
}

// system is one gateway that follows the relays of its zone, which has ten gateways.
type system struct {
	*Synchronizer
	controller *fakeMesh
	// relays are in the order in which the gateway calls them.
	relays []*fakeMesh
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
	s := &system{controller: &fakeMesh{}}
	for _, relay := range relayplanner.Assign(list.GetGatewayList(), self).Relays {
		s.relays = append(s.relays, byAddress[relay])
	}
	s.startGateway(t, self, list)
	return s
}

// startGateways starts gateways in zones, and adds them to a list.
func startGateways(t *testing.T, list *wire.SyncResponse, n int, zone func(i int) string) map[string]*fakeMesh {
	byAddress := map[string]*fakeMesh{}
	for i := range n {
		m := &fakeMesh{}
		address := m.start(t, &wire.SyncResponse{Leads: true, Term: 1})
		byAddress[address] = m
		list.GatewayList = append(list.GatewayList, &wire.GatewayEntry{Address: address, Zone: zone(i)})
	}
	return byAddress
}

// startGateway starts the gateway; the controller sends the list.
func (s *system) startGateway(t *testing.T, self *wire.GatewayEntry, list *wire.SyncResponse) {
	controller := s.controller.start(t, list)
	s.Synchronizer = newSynchronizer(self)
	s.Seeds = func() []string { return []string{controller} }
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go s.Run(ctx)
}

// newSynchronizer returns a synchronizer that does not run yet.
func newSynchronizer(self *wire.GatewayEntry) *Synchronizer {
	return newSynchronizerWithMeter(self, meter.New("gateway", "test", "z"))
}

// newSynchronizerWithMeter is newSynchronizer with a meter, whose goroutines never end.
func newSynchronizerWithMeter(self *wire.GatewayEntry, m *meter.Meter) *Synchronizer {
	g := &granter.Granter{Clock: clockwork.NewRealClock()}
	g.Init()
	r := &relayer.Relayer{
		Granter: g,
		Clock:   clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Meter: m, Self: self,
		Apply: func(string, *wire.SyncResponse) {}, Loads: func() []*wire.Load { return nil },
	}
	r.Init()
	return &Synchronizer{
		Granter: g,
		Clock:   r.Clock, Log: r.Log, Gateway: "test", Self: self, Relayer: r, Seeds: func() []string { return nil },
		Demand: func() []*wire.Demand { return nil }, TableVersion: func() uint64 { return 0 },
		RunReports: func(uint64) ([]*wire.RunReport, uint64) { return nil, 0 },
	}
}

// eventually waits until a condition holds; the limit only ends a failing test.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	limit := time.After(30 * time.Second)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-limit:
			t.Fatal("condition never met: " + what)
		case <-tick.C:
		}
	}
}

func (s *system) asksControllers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.direct
}

// calledAgain returns a condition that holds once an instance has been called again.
func calledAgain(m *fakeMesh) func() bool {
	before := m.calls.Load()
	return func() bool { return m.calls.Load() > before+1 }
}

// A gateway of a large zone polls a relay and not the controllers; when its relay is silent,
// another one; when all are, the controllers; and the relays again once they answer.
func TestRelayFailover(t *testing.T) {
	s := newSystem(t)
	eventually(t, "the relay is called", calledAgain(s.relays[0]))
	eventually(t, "polling the controllers stops", func() bool { return !s.asksControllers() })
	s.relays[0].silent.Store(true)
	eventually(t, "the other relay is called", calledAgain(s.relays[1]))
	s.relays[1].silent.Store(true)
	eventually(t, "the controllers are polled", s.asksControllers)
	eventually(t, "they answer", calledAgain(s.controller))
	s.relays[0].silent.Store(false)
	eventually(t, "polling the controllers stops again", func() bool { return !s.asksControllers() })
}

// A relay without contact to a controller is not used.
func TestPartitionedRelay(t *testing.T) {
	s := newSystem(t)
	eventually(t, "the relay is called", calledAgain(s.relays[0]))
	s.relays[0].answer.Store(&wire.SyncResponse{ContactAgeMs: 900})
	eventually(t, "the other relay is called", calledAgain(s.relays[1]))
	s.relays[1].answer.Store(&wire.SyncResponse{ContactAgeMs: 900})
	eventually(t, "the controllers are polled", s.asksControllers)
}

// A gateway of a small zone polls the controllers itself. When none answers it polls a gateway
// of another zone until a controller answers again.
func TestPartitionedGatewayUsesOtherGateways(t *testing.T) {
	list := &wire.SyncResponse{Leads: true, Term: 1, GatewaysRevision: 1}
	byAddress := startGateways(t, list, 2, func(i int) string { return []string{"z", "other"}[i] })
	other := byAddress[list.GetGatewayList()[1].GetAddress()]
	s := &system{controller: &fakeMesh{}}
	s.startGateway(t, list.GetGatewayList()[0], list)
	eventually(t, "the controller is called", calledAgain(s.controller))
	s.controller.silent.Store(true)
	eventually(t, "the gateway of the other zone is called", calledAgain(other))
	if !s.asksControllers() {
		t.Fatal("the controllers are no longer polled")
	}
	s.controller.silent.Store(false)
	eventually(t, "polling the other gateway stops", func() bool { return len(s.relayList()) == 0 })
}

// Two sources sent different lists of gateways while the list changed. Neither sent its own again
// after the other's had replaced it, and the gateway kept the old one and its wrong update path.
func TestReplacedListOfGatewaysIsRequestedAgain(t *testing.T) {
	c := qt.New(t)
	s := newSynchronizer(&wire.GatewayEntry{Address: "10.0.0.1:80", Zone: "z"})
	s.sources, s.pendingDemand = map[string]*syncState{}, demandBuffer{}
	list := []*wire.GatewayEntry{s.Self, {Address: "10.0.0.2:80", Zone: "z"}}
	requested := func(source string) uint64 {
		req, _ := s.prepare(source)
		return req.GetGatewaysRevision()
	}
	s.receive("leader", &wire.SyncResponse{Leads: true, Term: 1, GatewaysRevision: 1, GatewayList: list})
	c.Check(requested("leader"), qt.Equals, uint64(1))
	s.receive("relay", &wire.SyncResponse{Leads: true, Term: 1, GatewaysRevision: 2, GatewayList: list[:1]})
	c.Check(requested("leader"), qt.Equals, uint64(2))
	s.receive("leader", &wire.SyncResponse{Leads: true, Term: 1, GatewaysRevision: 1, GatewayList: list})
	c.Check(requested("leader"), qt.Equals, uint64(1))
	c.Check(s.Relayer.Gateways(), qt.HasLen, 2)

	// The list of a controller that does not lead is not used, and not requested again.
	s.receive("other", &wire.SyncResponse{GatewaysRevision: 3, GatewayList: list[:1]})
	c.Check(requested("other"), qt.Equals, uint64(3))
	// Once it leads it is.
	s.receive("other", &wire.SyncResponse{Leads: true, Term: 2, GatewaysRevision: 3})
	c.Check(requested("other"), qt.Equals, uint64(1))
}
