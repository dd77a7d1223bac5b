package synchronizer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/twitchtv/twirp"

	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/relayplanner"
	"bronzelead.example/pkg/tabletransmitter"
	"bronzelead.example/pkg/wire"
)

const (
	// gatewayRate and controllerRate are the links of the smallest gateways and of controllers, in bytes
	// per second.
	gatewayRate    = 10e6 / 8
	controllerRate = 1000e6 / 8
	linkLatency    = 500 * time.Microsecond
	// tableBound is the time within which a table has to be in force at each gateway.
	tableBound = 2500 * time.Millisecond
)

// randomTable returns a table whose hosts and prefixes are as short and as random as those of users.
func randomTable(version uint64, routes int) *wire.RoutingTable {
	random := rand.New(rand.NewPCG(1, 2))
	word := func() string {
		return fmt.Sprintf("%c%c%c%c%d", 'a'+random.IntN(26), 'a'+random.IntN(26), 'a'+random.IntN(26), 'a'+random.IntN(26), random.IntN(1000))
	}
	table := &wire.RoutingTable{Version: version, Services: []*wire.RoutedService{{Name: "engines", MaxConnections: 650}, {Name: "plain", MaxConnections: 580}}}
	for range routes {
		table.Routes = append(table.Routes, &wire.Route{
			Name: "r-" + word(), Host: word() + ".example", PathPrefix: "/" + word() + "/" + word() + "/", Repetition: wire.Repetition_REPETITION_STREAM,
			TimeoutMs: 4000, ObjectiveMs: 500, Priority: 1, Shares: []*wire.Share{{Service: "engines", Weight: 100}}, MaxAttempts: 2,
			Prompts: true, PauseObjectiveMs: 400, PatienceMs: 3200,
		})
	}
	return table
}

// fakeController is a controller whose state is set by the test.
type fakeController struct {
	wire.Mesh
	epoch       uint64
	leads       bool
	controllers []string
	gateways    []*wire.GatewayEntry

	mu      sync.Mutex
	table   *wire.RoutingTable
	tables  tabletransmitter.Source
	changed chan struct{}
	// earlier is set for a controller of an earlier release, which sends tables with its updates only.
	earlier bool
}

func (f *fakeController) put(table *wire.RoutingTable) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table = table
	f.tables.Add(table)
	close(f.changed)
	f.changed = make(chan struct{})
}

// Sync implements wire.Mesh.
func (f *fakeController) Sync(ctx context.Context, req *wire.SyncRequest) (*wire.SyncResponse, error) {
	over := time.NewTimer(time.Duration(req.GetWaitMs()) * time.Millisecond)
	defer over.Stop()
	f.mu.Lock()
	table, changed := f.table, f.changed
	f.mu.Unlock()
	if req.GetEpoch() == f.epoch && max(req.GetTableVersion(), req.GetAnnouncedTableVersion()) >= table.GetVersion() {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-over.C:
		case <-changed:
		}
		f.mu.Lock()
		table = f.table
		f.mu.Unlock()
	}
	res := &wire.SyncResponse{
		Epoch: f.epoch, TableVersion: table.GetVersion(), Leads: f.leads, Term: 1, GatewaysRevision: 1, ControllersRevision: 1,
		Gateways: uint32(len(f.gateways)),
	}
	if req.GetGatewaysRevision() != 1 {
		res.GatewayList = f.gateways
	}
	if req.GetControllersRevision() != 1 {
		res.Controllers = f.controllers
	}
	if req.GetWantTable() && table.GetVersion() > req.GetTableVersion() {
		res.Table = table
	}
	return res, nil
}

// FetchTable implements wire.Mesh.
func (f *fakeController) FetchTable(_ context.Context, req *wire.FetchTableRequest) (*wire.FetchTableResponse, error) {
	f.mu.Lock()
	earlier := f.earlier
	f.mu.Unlock()
	if earlier {
		return nil, twirp.NewError(twirp.BadRoute, "no handler for this path")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tables.Add(f.table)
	return f.tables.Answer(req)
}

// fleet is a zone of gateways and five controllers on a simulated network.
type fleet struct {
	network     *network
	controllers []*fakeController
	gateways    []*fleetGateway
	servers     []*http.Server
	// sentAt is when each table was sent.
	sentAt  map[uint64]time.Time
	stop    context.CancelFunc
	stopped sync.WaitGroup
}

// fleetGateway is a gateway whose tables are recorded.
type fleetGateway struct {
	*Synchronizer
	host *host
	mu   sync.Mutex
	// inForceAt holds when each table came into force.
	inForceAt map[uint64]time.Time
	// missed are the tables that came while it was frozen.
	missed  map[uint64]bool
	version uint64
}

func (g *fleetGateway) apply(_ string, update *wire.SyncResponse) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if v := update.GetTable().GetVersion(); v > g.version {
		g.version, g.inForceAt[v] = v, time.Now()
	}
}

func (g *fleetGateway) tableVersion() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.version
}

// lateness returns how long after a time a table or a later one was in force.
func (g *fleetGateway) lateness(version uint64, since time.Time) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	least, found := time.Duration(0), false
	for v, at := range g.inForceAt {
		if v >= version && (!found || at.Sub(since) < least) {
			least, found = at.Sub(since), true
		}
	}
	return least, found
}

// startFleet starts a fleet inside of a synctest bubble. The meters run outside.
func startFleet(meters []*meter.Meter, table *wire.RoutingTable) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{network: newNetwork(linkLatency), stop: cancel, sentAt: map[uint64]time.Time{}}
	var controllers []string
	var list []*wire.GatewayEntry
	for i := range 5 {
		controllers = append(controllers, fmt.Sprintf("10.1.0.%d:7000", i+1))
	}
	for i := range meters {
		list = append(list, &wire.GatewayEntry{Address: fmt.Sprintf("10.0.0.%d:7000", i+1), Zone: "z"})
	}
	for i, address := range controllers {
		c := &fakeController{epoch: uint64(i + 1), leads: i == 0, controllers: controllers, gateways: list, table: table, changed: make(chan struct{})}
		f.controllers = append(f.controllers, c)
		f.serve(f.network.add(ctx, address, controllerRate), c)
	}
	for i, entry := range list {
		g := &fleetGateway{Synchronizer: newSynchronizerWithMeter(entry, meters[i]), host: f.network.add(ctx, entry.GetAddress(), gatewayRate), inForceAt: map[uint64]time.Time{}, missed: map[uint64]bool{}}
		g.Gateway, g.Dial, g.Seeds = entry.GetAddress(), g.host.Dial, func() []string { return controllers[:3] }
		g.TableVersion, g.Relayer.Apply = g.tableVersion, g.apply
		f.gateways = append(f.gateways, g)
		f.serve(g.host, g.Relayer)
		f.stopped.Go(func() { g.Relayer.Run(ctx) })
		f.stopped.Go(func() { g.Run(ctx) })
	}
	return f
}

func (f *fleet) serve(h *host, mesh wire.Mesh) {
	server := &http.Server{Handler: wire.NewMeshServer(mesh), ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, server)
	f.stopped.Go(func() { _ = server.Serve(h) })
}

func (f *fleet) close() {
	f.stop()
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.stopped.Wait()
	f.network.running.Wait()
}

func (f *fleet) put(table *wire.RoutingTable) {
	f.sentAt[table.GetVersion()] = time.Now()
	for _, c := range f.controllers {
		c.put(table)
	}
}

// checkInForce checks that each table, or a later one, was in force in time at each gateway.
func (f *fleet) checkInForce(c *qt.C) {
	latest := time.Duration(0)
	for version, since := range f.sentAt {
		for _, g := range f.gateways {
			if g.missed[version] {
				continue
			}
			late, found := g.lateness(version, since)
			c.Check(found, qt.IsTrue)
			c.Check(late <= tableBound, qt.IsTrue, qt.Commentf("version %d at %s after %s", version, g.host.address, late))
			latest = max(latest, late)
		}
	}
	c.Logf("in force everywhere after %s", latest)
}

// runFleet runs a story in a fleet that has settled with a table of 49 routes, and checks that its tables are in time.
func runFleet(t *testing.T, gateways int, story func(c *qt.C, f *fleet)) {
	var meters []*meter.Meter
	for range gateways {
		meters = append(meters, meter.New("gateway", "test", "z"))
	}
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := startFleet(meters, randomTable(1, 49))
		defer f.close()
		time.Sleep(5 * time.Second)
		story(c, f)
		time.Sleep(5 * time.Second)
		f.checkInForce(c)
	})
}

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
					time.Sleep(200 * time.Millisecond)
				}
			})
		})
	}
}

// Versions in quick succession cost what they change, and do not keep each other from arriving.
func TestTablesInQuickSuccessionAreInForceInTime(t *testing.T) {
	runFleet(t, 22, func(c *qt.C, f *fleet) {
		f.put(randomTable(2, 1449))
		time.Sleep(3 * time.Second)
		before := f.carried()
		for version := range uint64(60) {
			f.put(randomTable(3+version, 1450+int(version)))
			time.Sleep(50 * time.Millisecond)
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
			time.Sleep(time.Duration(i) * 40 * time.Millisecond)
			frozen := f.relay(i)
			frozen.host.freeze(true)
			time.Sleep(3 * time.Second)
			frozen.host.freeze(false)
			// What it has missed meanwhile is not late.
			frozen.missed[version] = true
			time.Sleep(3 * time.Second)
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
		time.Sleep(time.Second)
		f.put(randomTable(3, 200))
	})
}
