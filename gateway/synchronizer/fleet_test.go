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
	host     *host
	epoch    uint64
	gateways []*wire.GatewayEntry

	mu sync.Mutex
	// controllers are all that are known, and revision changes with them.
	controllers []string
	revision    uint64
	leads       bool
	term        uint64
	// announcements are the backend servers that it knows.
	announcements []*wire.Announcement
	table         *wire.RoutingTable
	tables        tabletransmitter.Source
	changed       chan struct{}
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
	table, changed, controllers, revision, leads, term := f.table, f.changed, f.controllers, f.revision, f.leads, f.term
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
		Epoch: f.epoch, TableVersion: table.GetVersion(), Leads: leads, Term: term, GatewaysRevision: 1, ControllersRevision: revision,
		Gateways: uint32(len(f.gateways)),
	}
	if req.GetGatewaysRevision() != 1 {
		res.GatewayList = f.gateways
	}
	if req.GetControllersRevision() != revision {
		res.Controllers = controllers
	}
	if req.GetEpoch() != f.epoch {
		res.Announcements = f.announcements
	}
	res.AnnouncementRevision = 1
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
	// epochs counts the controllers that there were.
	epochs uint64
	// sentAt is when each table was sent.
	sentAt map[uint64]time.Time
	// onClose is called at the end; nil is not.
	onClose context.CancelFunc
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
	// backends are those that it knows of.
	backends map[string]bool
	// missed are the tables that came while it was frozen.
	missed map[uint64]bool
	// demand is reported with each call.
	demand  []*wire.Demand
	version uint64
}

func (g *fleetGateway) apply(_ string, update *wire.SyncResponse) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range update.GetAnnouncements() {
		g.backends[a.GetId()] = true
	}
	if v := update.GetTable().GetVersion(); v > g.version {
		g.version, g.inForceAt[v] = v, time.Now()
	}
}

func (g *fleetGateway) takeDemand() []*wire.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.demand
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
func startFleet(meters []*meter.Meter, table *wire.RoutingTable, announcements ...*wire.Announcement) *fleet {
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
	for _, address := range controllers {
		f.addController(ctx, address, list, table)
	}
	for _, c := range f.controllers {
		c.announcements = announcements
	}
	f.listControllers()
	for i, entry := range list {
		g := &fleetGateway{Synchronizer: newSynchronizerWithMeter(entry, meters[i]), host: f.network.add(ctx, entry.GetAddress(), gatewayRate), inForceAt: map[uint64]time.Time{}, missed: map[uint64]bool{}, backends: map[string]bool{}}
		g.Gateway, g.Dial, g.Seeds = entry.GetAddress(), g.host.Dial, func() []string { return controllers[:3] }
		g.TableVersion, g.Relayer.Apply, g.Demand = g.tableVersion, g.apply, g.takeDemand
		f.gateways = append(f.gateways, g)
		f.serve(g.host, g.Relayer)
		f.stopped.Go(func() { g.Relayer.Run(ctx) })
		f.stopped.Go(func() { g.Run(ctx) })
	}
	return f
}

// addController adds a controller, which the others do not list yet.
func (f *fleet) addController(ctx context.Context, address string, list []*wire.GatewayEntry, table *wire.RoutingTable) {
	f.epochs++
	c := &fakeController{host: f.network.add(ctx, address, controllerRate), epoch: f.epochs, gateways: list, table: table, changed: make(chan struct{})}
	f.controllers = append(f.controllers, c)
	f.serve(c.host, c)
}

// replaceController replaces the oldest controller by one at another address.
func (f *fleet) replaceController(ctx context.Context, address string) {
	oldest := f.controllers[0]
	oldest.host.freeze(true)
	f.controllers = f.controllers[1:]
	f.addController(ctx, address, oldest.gateways, oldest.table)
	f.listControllers()
}

// listControllers lets all controllers list each other. The oldest leads.
func (f *fleet) listControllers() {
	var addresses []string
	for _, c := range f.controllers {
		addresses = append(addresses, c.host.address)
	}
	for i, c := range f.controllers {
		c.mu.Lock()
		c.controllers, c.revision, c.leads, c.term = addresses, f.epochs, i == 0, f.epochs
		c.mu.Unlock()
	}
}

func (f *fleet) serve(h *host, mesh wire.Mesh) {
	server := &http.Server{Handler: wire.NewMeshServer(mesh), ReadHeaderTimeout: time.Minute}
	f.servers = append(f.servers, server)
	f.stopped.Go(func() { _ = server.Serve(h) })
}

func (f *fleet) close() {
	f.stop()
	if f.onClose != nil {
		f.onClose()
	}
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
		<-time.After(5 * time.Second)
		story(c, f)
		<-time.After(5 * time.Second)
		f.checkInForce(c)
	})
}
