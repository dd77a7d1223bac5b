package routecoordinator

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"bronzelead.example/controller/raftdriver"
	"bronzelead.example/pkg/applier"
	"bronzelead.example/pkg/disseminator"
	"bronzelead.example/pkg/placer"
	"bronzelead.example/pkg/replicator"
	"bronzelead.example/pkg/storer"
	"bronzelead.example/pkg/wire"
)

// errConnection is what a caller sees of a process that has ended.
var errConnection = errors.New("connection reset")

// fleet are controllers with real logs on disk, in the time of a synctest bubble.
type fleet struct {
	c       *qt.C
	ctx     context.Context
	members []*member
	running sync.WaitGroup
	mu      sync.Mutex
	random  *rand.Rand
	// lostRelays is the fraction of announcements that do not reach another controller.
	lostRelays float64
}

// member is a machine of a fleet. The fleet's lock guards its state.
type member struct {
	fleet  *fleet
	id     string
	folder string
	// cut members exchange nothing with anybody, and those on the other side nothing with members that are not.
	cut       bool
	otherSide bool
	process   *process
}

// process is one incarnation of a controller.
type process struct {
	cancel      context.CancelFunc
	ended       chan struct{}
	driver      *raftdriver.Driver
	coordinator *Coordinator
	mesh        *Mesh
}

func newFleet(ctx context.Context, c *qt.C, seed uint64, size int) *fleet {
	f := &fleet{c: c, ctx: ctx, random: rand.New(rand.NewPCG(seed, 1))}
	folder := c.TempDir()
	configuration := &wire.Configuration{}
	for i := range size {
		id := fmt.Sprint("c", i)
		f.members = append(f.members, &member{fleet: f, id: id, folder: filepath.Join(folder, id)})
		configuration.Voters = append(configuration.Voters, &wire.Member{Id: id, Name: id, Address: id})
	}
	state, err := applier.InitialState(nil)
	c.Assert(err, qt.IsNil)
	for _, m := range f.members {
		disk := &storer.Storer{Folder: m.folder}
		_, err := disk.Open()
		c.Assert(err, qt.IsNil)
		c.Assert(disk.SaveSnapshot(&wire.Snapshot{Index: 1, Term: 1, State: state, Configuration: configuration}, nil), qt.IsNil)
		c.Assert(disk.Append(&wire.HardState{Term: 1}, nil), qt.IsNil)
		c.Assert(disk.Close(), qt.IsNil)
		m.start()
	}
	return f
}

func (f *fleet) delay() time.Duration {
	return 200*time.Microsecond + time.Duration(f.draw(5000))*time.Microsecond
}

func (f *fleet) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *fleet) loses() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < f.lostRelays
}

func (f *fleet) find(id string) *member {
	for _, m := range f.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// leader returns a member that leads, or nil.
func (f *fleet) leader() *member {
	for _, m := range f.members {
		if p := m.current(); p != nil && p.driver.Leads() {
			return m
		}
	}
	return nil
}

// reachable returns the member's process if two members can exchange messages.
func (f *fleet) reachable(from, to *member) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from != nil && (from.cut || from.otherSide != to.otherSide) || to.cut {
		return nil
	}
	return to.process
}

func (m *member) current() *process {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return m.process
}

func (m *member) setCut(cut, otherSide bool) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.cut, m.otherSide = cut, otherSide
}

// start runs the controller on what its disk has.
func (m *member) start() {
	f := m.fleet
	disk := &storer.Storer{Folder: m.folder}
	contents, err := disk.Open()
	f.c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(f.ctx)
	commits := make(chan raftdriver.CommittedBatch, 64)
	log := slog.New(slog.DiscardHandler)
	p := &process{cancel: cancel, ended: make(chan struct{})}
	p.driver = &raftdriver.Driver{
		Clock: clockwork.NewRealClock(), Log: log, Storer: disk, Commits: commits, OpenMembership: true, MaxVoters: 5,
		Send: func(_ *wire.Configuration, messages []*wire.Message) { m.send(ctx, messages) },
		Replicator: &replicator.Replicator{
			ID: m.id, Heartbeat: 100 * time.Millisecond, ElectionTimeout: 400 * time.Millisecond, StartupVoteDelay: 125 * time.Millisecond,
			Random: func(n int64) int64 { return int64(f.draw(int(n))) },
		},
	}
	p.driver.Init(contents)
	p.coordinator = &Coordinator{
		Clock: clockwork.NewRealClock(), Log: log, Raft: p.driver, Commits: commits,
		SendOrder: func(placer.Order, uint64, func(placer.Reply)) {}, Controllers: func() []string { return nil },
		Relay:  func(list []*wire.Announcement) { m.relay(ctx, list) },
		Policy: placer.DefaultPolicy(), SilentAfter: 3600 * time.Millisecond, SnapshotEntries: 6, SnapshotBytes: 1 << 20,
	}
	p.coordinator.Init()
	p.mesh = &Mesh{Coordinator: p.coordinator, Client: func(id string) wire.Mesh { return &peerClient{from: m, to: f.find(id)} }}
	p.mesh.Leader = func() string {
		if leader := p.driver.Status().Leader; leader != m.id {
			return leader
		}
		return ""
	}
	f.running.Go(func() { p.coordinator.Run(ctx) })
	f.running.Go(func() {
		err := p.driver.Run(ctx)
		close(p.ended)
		f.c.Check(err, qt.IsNil)
		f.c.Check(disk.Close(), qt.IsNil)
	})
	f.mu.Lock()
	m.process = p
	f.mu.Unlock()
}

// kill ends the process. Its disk stays.
func (m *member) kill() {
	m.fleet.mu.Lock()
	p := m.process
	m.process = nil
	m.fleet.mu.Unlock()
	if p != nil {
		p.cancel()
		<-p.ended
	}
}

// send delivers messages of the log.
func (m *member) send(ctx context.Context, messages []*wire.Message) {
	for _, message := range messages {
		to := m.fleet.find(message.GetTo())
		m.fleet.running.Go(func() {
			if pause(ctx, m.fleet.delay()) != nil {
				return
			}
			if p := m.fleet.reachable(m, to); p != nil {
				p.driver.Deliver([]*wire.Message{proto.CloneOf(message)})
			}
		})
	}
}

// relay forwards announcements to the other controllers.
func (m *member) relay(ctx context.Context, list []*wire.Announcement) {
	for _, to := range m.fleet.members {
		if to == m {
			continue
		}
		m.fleet.running.Go(func() {
			if pause(ctx, m.fleet.delay()) != nil || m.fleet.loses() {
				return
			}
			if p := m.fleet.reachable(m, to); p != nil {
				_, _ = exchange(ctx, p, func(ctx context.Context) ([]*wire.Announcement, error) {
					return p.coordinator.ReceiveAnnouncements(ctx, list, true)
				})
			}
		})
	}
}

// pause waits, and returns an error if ctx ends before.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// exchange calls a process and fails if that ends before it has answered.
func exchange[T any](ctx context.Context, p *process, call func(ctx context.Context) (T, error)) (T, error) {
	type answer struct {
		value T
		err   error
	}
	var none T
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, 1)
	go func() {
		value, err := call(ctx)
		answers <- answer{value, err}
	}()
	select {
	case <-p.ended:
		return none, errConnection
	case a := <-answers:
		return a.value, a.err
	}
}

// reach calls a member over the network.
func reach[T any](ctx context.Context, f *fleet, from, to *member, call func(ctx context.Context, p *process) (T, error)) (T, error) {
	var none T
	if err := pause(ctx, f.delay()); err != nil {
		return none, err
	}
	f.mu.Lock()
	down := to.process == nil && !to.cut
	f.mu.Unlock()
	p := f.reachable(from, to)
	switch {
	case down:
		return none, errConnection
	case p == nil:
		<-ctx.Done()
		return none, ctx.Err()
	}
	value, err := exchange(ctx, p, func(ctx context.Context) (T, error) { return call(ctx, p) })
	if err == nil && f.reachable(from, to) != p {
		<-ctx.Done()
		return none, ctx.Err()
	}
	return value, err
}

// peerClient calls another controller.
type peerClient struct {
	wire.Mesh
	from, to *member
}

func (c *peerClient) Put(ctx context.Context, req *wire.PutRequest) (*wire.PutResponse, error) {
	return reach(ctx, c.from.fleet, c.from, c.to, func(ctx context.Context, p *process) (*wire.PutResponse, error) { return p.mesh.Put(ctx, req) })
}

func (c *peerClient) Relay(ctx context.Context, req *wire.RelayRequest) (*wire.RelayResponse, error) {
	return reach(ctx, c.from.fleet, c.from, c.to, func(ctx context.Context, p *process) (*wire.RelayResponse, error) { return p.mesh.Relay(ctx, req) })
}

// fleetGateway polls all controllers and keeps the latest announcement of each backend server.
type fleetGateway struct {
	// mu guards known, table and adapter.
	mu     sync.Mutex
	view   disseminator.Disseminator
	states map[string]*wire.SyncResponse
	known  map[string]*wire.Announcement
	// table and adapter are the highest versions that it has been sent.
	table, adapter uint64
}

func newFleetGateway() *fleetGateway {
	g := &fleetGateway{states: map[string]*wire.SyncResponse{}, known: map[string]*wire.Announcement{}}
	g.view.Self = &wire.GatewayEntry{Address: "g"}
	g.view.Init()
	return g
}

// run polls until ctx ends.
func (g *fleetGateway) run(ctx context.Context, f *fleet) {
	for pause(ctx, 40*time.Millisecond) == nil {
		for _, m := range f.members {
			before := g.states[m.id]
			req := &wire.SyncRequest{Gateway: "g", Epoch: before.GetEpoch(), AnnouncementRevision: before.GetAnnouncementRevision(), VersionRevision: before.GetVersionRevision()}
			callCtx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
			res, err := reach(callCtx, f, nil, m, func(ctx context.Context, p *process) (*wire.SyncResponse, error) {
				return p.mesh.Sync(ctx, req)
			})
			cancel()
			if err != nil {
				continue
			}
			g.states[m.id] = res
			update, _ := g.view.Receive(time.Now(), res)
			g.mu.Lock()
			g.table = max(g.table, res.GetTableVersion())
			for _, v := range res.GetVersions() {
				g.adapter = max(g.adapter, v.GetVersion())
			}
			for _, a := range update.GetAnnouncements() {
				g.known[a.GetId()] = a
			}
			g.mu.Unlock()
		}
	}
}

// uses reports whether the gateway sends requests to a backend server.
func (g *fleetGateway) uses(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.known[id]
	return a != nil && !a.GetDraining() && !a.GetGone()
}

// versions returns the version of the latest table, and the highest one of an adapter, that the gateway has been sent.
func (g *fleetGateway) versions() (table, adapter uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table, g.adapter
}
