package app

import (
	"context"
	"log/slog"
	mathrand "math/rand/v2"
	"net/http"
	"runtime/debug"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"bronzelead.example/controller/raftdriver"
	"bronzelead.example/controller/responder"
	"bronzelead.example/controller/routecoordinator"
	"bronzelead.example/controller/transporter"
	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/applier"
	"bronzelead.example/pkg/apportioner"
	"bronzelead.example/pkg/configurer"
	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/originreceiver"
	"bronzelead.example/pkg/placer"
	"bronzelead.example/pkg/quotaallocator"
	"bronzelead.example/pkg/replicator"
	"bronzelead.example/pkg/reserver"
	"bronzelead.example/pkg/seedreader"
	"bronzelead.example/pkg/server"
	"bronzelead.example/pkg/storer"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

const (
	// silentAnnouncements is the number of announcements that may be missing before a
	// backend server counts as silent.
	silentAnnouncements = 3
	// idleAnnouncements is the number of announcement intervals for which an idle connection of
	// a backend server is kept. One that switches to another controller leaves its connection
	// behind: thousands of these use up a controller's file descriptors and make it unreachable.
	idleAnnouncements = 3
	// snapshotBytes bounds the log between two snapshots: a disk holds 128 MB, and a
	// snapshot is written beside the log that it replaces.
	snapshotBytes = 16 << 20
	// controlFilesDivisor and meshFilesDivisor set the parts of the file descriptors for operators and backend servers, and
	// for other instances, as divisors.
	controlFilesDivisor = 2
	meshFilesDivisor    = 4
	// controlPercent and callPercent are the percentages of the instance's memory that their calls may hold together.
	controlPercent = 15
	callPercent    = 15
	// reportPercent is the percentage that reports of engines may hold together while they arrive.
	reportPercent = 5
	// relayQueue bounds the announcements that wait for a controller that does not answer.
	relayQueue = 256
	// maxOrigins bounds the origins of streams that are remembered, about 23 MB.
	maxOrigins = 1 << 17
)

// Routed is one controller that keeps a table of routes. Set the exported fields, then
// call Run.
type Routed struct {
	Settings *RoutedSettings
	// File is the settings file; its seeds are read again while no leader is known.
	File  string
	Clock clockwork.Clock
	Log   *slog.Logger

	seeds   *seedreader.Reader
	cluster atomic.Pointer[string]
	// contacts are members that sent messages before this instance belonged to a cluster.
	contacts    contacts
	id          string
	storer      *storer.Storer
	driver      *raftdriver.Driver
	coordinator *routecoordinator.Coordinator
	transporter *transporter.Transporter
	mesh        *routecoordinator.Mesh
	peers       *connector.Client
	relay       *announcementRelay
	servers     []*server.Server
	meter       *meter.Meter
	// origins remembers where streams began, for gateways that were all lost at once.
	origins *originreceiver.Receiver
}

// Run works until ctx ends, then hands over leadership and stops.
func (r *Routed) Run(ctx context.Context) error {
	s := r.Settings
	debug.SetMemoryLimit(s.Instance.resources().HeapLimit())
	if err := r.bootstrap(); err != nil {
		return err
	}
	opened, err := openFolder(s.Data.Folder, s.Instance.IP, r.Clock, r.Log)
	if err != nil {
		return err
	}
	r.storer, r.id = opened.storer, opened.id
	r.cluster.Store(&opened.cluster)
	background, stop := context.WithCancel(context.Background())
	defer stop()
	r.build(background, opened.contents)
	failed := make(chan error, 1)
	go r.coordinator.Run(background)
	go func() { failed <- r.driver.Run(background) }()
	r.receiveOrigins(background)
	for _, listening := range r.servers {
		if err := listening.Start(); err != nil {
			return errors.Wrap(err, "app")
		}
	}
	go r.joiner().run(background)
	go (&standby{clock: r.Clock, log: r.Log, name: s.Instance.Name, coordinator: r.coordinator, leader: r.leader}).run(background)
	if off := r.Settings.off(); !off.Empty() {
		r.Log.Warn("mechanisms are switched off for an experiment", "Off", off.String())
	}
	r.Log.Info("the controller serves", "Member", r.id, "Seeds", s.Members.Seeds, "Bootstrap", s.Members.Bootstrap)
	select {
	case err := <-failed:
		return errors.Wrap(err, "app")
	case <-ctx.Done():
	}
	return r.stop()
}

// receiveOrigins receives the origins of streams until ctx ends. Without them a controller does all its other work.
func (r *Routed) receiveOrigins(ctx context.Context) {
	go r.origins.Run(ctx)
	socket, err := originreceiver.Listen(r.Settings.meshAddress(r.Settings.Instance.IP))
	if err != nil {
		r.Log.Error("the origins of streams can't be received", "Error", err.Error())
		return
	}
	go socket.Run(ctx, r.origins)
}

// bootstrap writes the first snapshot of a new cluster, if this is the first start and the
// instance is a seed. All seeds write the same one, so that any majority of them can form the
// cluster.
func (r *Routed) bootstrap() error {
	s := r.Settings
	seeds := s.seedAddresses()
	if !s.Members.Bootstrap || !slices.Contains(seeds, s.meshAddress(s.Instance.IP)) {
		return nil
	}
	disk := &storer.Storer{Folder: s.Data.Folder}
	contents, err := disk.Open()
	if err != nil {
		// A damaged folder is not a new one; its files are moved aside when it is opened for
		// use.
		r.Log.Warn("the data folder can't be read, so no cluster is bootstrapped", "Error", err.Error())
		return nil
	}
	defer func() { _ = disk.Close() }()
	id, _, err := disk.Identity()
	if err != nil || id != "" || contents.Snapshot != nil {
		return nil
	}
	state, err := applier.InitialState(nil)
	if err != nil {
		return errors.Wrap(err, "app")
	}
	slices.Sort(seeds)
	snapshot := &wire.Snapshot{Index: 1, Term: 1, State: state, Configuration: &wire.Configuration{}}
	for _, address := range seeds {
		snapshot.Configuration.Voters = append(snapshot.Configuration.Voters, seedMember(address))
	}
	if err := disk.SaveSnapshot(snapshot, nil); err != nil {
		return errors.Wrap(err, "app")
	}
	if err := disk.Append(&wire.HardState{Term: 1}, nil); err != nil {
		return errors.Wrap(err, "app")
	}
	// The identity is written last: without it the folder counts as empty.
	self := seedMember(s.meshAddress(s.Instance.IP))
	return errors.Wrap(disk.SetIdentity(self.GetId(), strings.Join(seeds, ",")), "app")
}

// seedMember returns the member that a seed is at the first start.
func seedMember(address string) *wire.Member {
	host, _, _ := strings.Cut(address, ":")
	return &wire.Member{Id: host + "/Founder", Name: host, Address: address}
}

func (r *Routed) build(ctx context.Context, contents *storer.Contents) {
	s := r.Settings
	r.meter = meter.New("controller", s.Instance.Name, s.Instance.Zone)
	r.origins = &originreceiver.Receiver{Clock: r.Clock, Log: r.Log, Meter: r.meter, Max: maxOrigins}
	r.origins.Init()
	commits := make(chan raftdriver.CommittedBatch, commitQueue)
	transport := connector.NewTransport(nil)
	r.peers = &connector.Client{Timeout: s.Timing.PeerTimeout, Transport: transport}
	snapshotClient := &connector.Client{Timeout: snapshotTimeout, Transport: connector.NewTransport(nil)}
	self := &wire.Member{Id: r.id, Name: s.Instance.IP, Address: s.meshAddress(s.Instance.IP), Zone: s.Instance.Zone}
	r.transporter = &transporter.Transporter{Log: r.Log, Client: r.peers, SnapshotClient: snapshotClient, Cluster: r.clusterID, Self: self}
	r.transporter.Start(ctx)
	r.driver = &raftdriver.Driver{
		Clock: r.Clock, Log: r.Log, Storer: r.storer, Send: r.transporter.Send, Commits: commits,
		OpenMembership: true, MaxVoters: s.Members.MaxVoters, SilentAfter: s.Timing.SilentMember,
		Replicator: &replicator.Replicator{
			ID: r.id, Heartbeat: s.Timing.Heartbeat, ElectionTimeout: s.Timing.ElectionTimeout, StartupVoteDelay: r.startupVoteDelay(), Random: mathrand.Int64N,
		},
	}
	r.driver.Init(contents)
	r.seeds = &seedreader.Reader{
		Clock: r.Clock, Log: r.Log, Lost: func() bool { return r.driver.Status().Leader == "" }, Read: r.readSeeds,
	}
	r.seeds.Init(s.seedAddresses())
	r.relay = &announcementRelay{
		log: r.Log, client: r.peers, self: self.GetAddress(), queues: map[string]chan []*wire.Announcement{}, ctx: ctx,
		receive: func(list []*wire.Announcement) {
			if _, err := r.coordinator.ReceiveAnnouncements(ctx, list, true); err != nil {
				r.Log.Debug("later announcements were not taken", "Error", err.Error())
			}
		},
	}
	r.coordinator = &routecoordinator.Coordinator{
		Clock: r.Clock, Log: r.Log, Raft: r.driver, Commits: commits, SendOrder: r.orders().send,
		Relay: func(list []*wire.Announcement) { r.relay.send(r.addresses(), list) }, Controllers: r.addresses,
		Limits: quotaallocator.Rule{Window: s.Limits.Window, Overage: s.Limits.Overage, Slack: s.Limits.Slack},
		Policy: r.policy(), SilentAfter: silentAnnouncements * s.Timing.Announcements, HandoverDelay: s.handoverDelay(),
		SnapshotEntries: uint64(s.Data.SnapshotEvery), SnapshotBytes: snapshotBytes,
	}
	r.coordinator.CountHeld = func(change string) { r.meter.Increment("held_requests", "change", change) }
	r.coordinator.CountSpares = func(decision string) { r.meter.Increment("spare_replicas", "decision", decision) }
	r.coordinator.Init()
	r.mesh = &routecoordinator.Mesh{Coordinator: r.coordinator, Leader: r.leader, Client: func(address string) wire.Mesh {
		return wire.NewMeshProtobufClient("http://"+address, &connector.Client{Timeout: operatorTimeout, Transport: transport})
	}}
	resources := s.Instance.resources()
	meshConnections, controlConnections := resources.Connections(meshFilesDivisor), resources.Connections(controlFilesDivisor)
	r.servers = []*server.Server{
		{
			Address: s.meshAddress(s.Instance.IP), Handler: r.meshHandler(), Log: r.Log,
			Memory:         &reserver.Pool{Clock: clockwork.NewRealClock(), Capacity: resources.Memory(callPercent)},
			MaxConnections: meshConnections, SocketBuffer: apportioner.PeerSocketBytes,
		},
		{
			Address: s.Instance.Control, Handler: r.control().Handler(), Log: r.Log,
			IdleTimeout:    idleAnnouncements * s.Timing.Announcements,
			Memory:         &reserver.Pool{Clock: clockwork.NewRealClock(), Capacity: resources.Memory(controlPercent)},
			MaxConnections: controlConnections, SocketBuffer: resources.SocketBuffer(controlConnections),
		},
	}
}

const (
	// voteDelayDivisor divides the heartbeat into what the startup vote delay exceeds it by: a
	// message of an existing leader arrives first, also if it is up to 25 ms late. The delay is
	// short, since safety does not depend on a leader's lease here: orders are fenced by its
	// term, or a new leader waits, and reads go through the log.
	voteDelayDivisor = 4
	// operatorTimeout is just under the second after which the operator tries another instance.
	operatorTimeout = 950 * time.Millisecond
)

// startupVoteDelay returns how long after its start a member grants no vote; 0 stands for the
// election timeout.
func (r *Routed) startupVoteDelay() time.Duration {
	if r.Settings.off().Has(ablator.EarlyElections) {
		return 0
	}
	if d := r.Settings.Timing.VoteDelay; d > 0 {
		return d
	}
	return r.Settings.Timing.Heartbeat + r.Settings.Timing.Heartbeat/voteDelayDivisor
}

func (r *Routed) policy() placer.Policy {
	policy, s := placer.DefaultPolicy(), r.Settings.Placement
	policy.ReservedSlots, policy.ColdLoad, policy.WarmLoad, policy.FillPerReplica = s.Reserve, s.ColdLoad, s.WarmLoad, s.FillPerCopy
	policy.Disabled = r.Settings.off()
	return policy
}

func (r *Routed) orders() *orderSender {
	client := &connector.Client{Timeout: r.Settings.Timing.OrderTimeout, Transport: connector.NewTransport(nil)}
	return &orderSender{
		log: r.Log, holder: r.Settings.Instance.Name, leads: r.driver.Leads,
		orders: &platform.OrderClient{
			Do: client.Do, Timeout: r.Settings.Timing.OrderTimeout,
			Memory: &reserver.Pool{Clock: clockwork.NewRealClock(), Capacity: r.Settings.Instance.resources().Memory(reportPercent)},
		},
	}
}

func (r *Routed) meshHandler() http.Handler {
	forward := &connector.Client{Timeout: r.Settings.Timing.PeerTimeout, Transport: connector.NewTransport(nil), Forwarded: true}
	peer := &responder.Peer{
		Raft: r.driver, Cluster: r.clusterID, Leader: r.leader, RecordPeer: r.transporter.RecordPeer, RecordContact: r.contacts.add,
		Client: func(address string) wire.Peer { return wire.NewPeerProtobufClient("http://"+address, forward) },
	}
	mux := http.NewServeMux()
	mux.Handle(wire.PeerPathPrefix, responder.MarkForwarded(wire.NewPeerServer(peer)))
	mux.Handle(wire.MeshPathPrefix, wire.NewMeshServer(r.mesh))
	mux.Handle(wire.LimitsPathPrefix, wire.NewLimitsServer(r.coordinator))
	mux.Handle(wire.OriginsPathPrefix, wire.NewOriginsServer(r.origins))
	mux.Handle("GET /metrics", r.meter.Handler())
	return mux
}

func (r *Routed) control() *platform.Control {
	return &platform.Control{
		PutTable: func(ctx context.Context, table *wire.RoutingTable, document []byte) error {
			err := r.mesh.PutTable(ctx, table, document)
			outcome := "Acknowledged"
			if err != nil {
				outcome = err.Error()
			}
			r.Log.Info("a table was received", "Version", table.GetVersion(), "Outcome", outcome)
			var invalid *routecoordinator.InvalidTableError
			if errors.As(err, &invalid) {
				return &platform.InvalidError{Reason: invalid.Error()}
			}
			return err
		},
		ReadTable:           r.mesh.Document,
		PutVersion:          r.mesh.PutVersion,
		ReceiveAnnouncement: r.mesh.ReceiveAnnouncement,
		OnUnreadable:        (&warner{clock: r.Clock, log: r.Log}).unreadable,
	}
}

func (r *Routed) clusterID() string { return *r.cluster.Load() }

// leader returns the leader's address, or "".
func (r *Routed) leader() string {
	status := r.driver.Status()
	for _, m := range status.Configuration.GetVoters() {
		if m.GetId() == status.Leader && m.GetId() != r.id {
			return m.GetAddress()
		}
	}
	return ""
}

// readSeeds reads the seeds from the settings file again.
func (r *Routed) readSeeds() ([]string, []configurer.Fault) {
	settings, faults := ReadRouted(r.File)
	return settings.seedAddresses(), faults
}

// addresses returns the addresses of all known controllers.
func (r *Routed) addresses() []string {
	config := r.driver.Status().Configuration
	var list []string
	if len(config.GetVoters()) == 0 {
		list = slices.Clone(r.seeds.Seeds())
	}
	for _, m := range slices.Concat(config.GetVoters(), config.GetLearners()) {
		if !slices.Contains(list, m.GetAddress()) {
			list = append(list, m.GetAddress())
		}
	}
	return list
}

func (r *Routed) joiner() *joiner {
	return &joiner{
		clock: r.Clock, log: r.Log, peers: r.peers, driver: r.driver, storer: r.storer, cluster: &r.cluster,
		self: r.transporter.Self,
		addresses: func() []string {
			return slices.Concat(r.addresses(), r.seeds.Seeds(), r.contacts.list())
		},
	}
}

func (r *Routed) stop() error {
	r.Log.Info("the controller stops")
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	transferLeadership(ctx, r.Clock, r.driver)
	for _, listening := range r.servers {
		if err := listening.Stop(ctx); err != nil {
			r.Log.Warn("calls were still in progress at the stop", "Error", err.Error())
		}
	}
	r.Log.Info("the controller has stopped")
	return nil
}
