package app

import (
	"context"
	"log/slog"
	mathrand "math/rand/v2"
	"net/http"
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
	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/placer"
	"bronzelead.example/pkg/quotaallocator"
	"bronzelead.example/pkg/replicator"
	"bronzelead.example/pkg/server"
	"bronzelead.example/pkg/storer"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

const (
	// silentAnnouncements is the number of announcements that may be missing before a
	// backend server counts as silent.
	silentAnnouncements = 3
	// idleAnnouncements is the number of announcements for which a backend server's connection is
	// kept without one. One that goes on to another controller leaves its connection behind:
	// thousands of these use up a controller's file descriptors, and nobody reaches it any more.
	idleAnnouncements = 3
	// snapshotBytes bounds the log between two snapshots: a disk holds 128 MB, and a
	// snapshot is written beside the log that it replaces.
	snapshotBytes = 16 << 20
	// relayRing bounds the announcements that wait for a controller that does not answer.
	relayRing = 256
)

// Routed is one controller that keeps a table of routes. Set the exported fields, then
// call Run.
type Routed struct {
	Settings *RoutedSettings
	Clock    clockwork.Clock
	Log      *slog.Logger

	cluster atomic.Pointer[string]
	// met are members that this instance heard of before it belonged to a cluster.
	met         acquaintances
	id          string
	storer      *storer.Storer
	keeper      *raftdriver.Driver
	curator     *routecoordinator.Coordinator
	transporter *transporter.Transporter
	mesh        *routecoordinator.Mesh
	peers       *connector.Client
	relays      *relays
	servers     []*server.Server
	meter       *meter.Meter
}

// Run works until ctx ends, and then hands leadership over before it stops.
func (r *Routed) Run(ctx context.Context) error {
	s := r.Settings
	if err := r.found(); err != nil {
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
	go r.curator.Run(background)
	go func() { failed <- r.keeper.Run(background) }()
	for _, listening := range r.servers {
		if err := listening.Start(); err != nil {
			return errors.Wrap(err, "app")
		}
	}
	go r.joiner().run(background)
	go (&standby{clock: r.Clock, log: r.Log, name: s.Instance.Name, curator: r.curator, leader: r.leader}).run(background)
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

// found writes the first snapshot of a new cluster, if this is its first start and the
// instance is a seed. All seeds write the same one, so that any majority of them can
// begin.
func (r *Routed) found() error {
	s := r.Settings
	seeds := s.seedAddresses()
	if !s.Members.Bootstrap || !slices.Contains(seeds, s.meshAddress(s.Instance.IP)) {
		return nil
	}
	disk := &storer.Storer{Folder: s.Data.Folder}
	contents, err := disk.Open()
	if err != nil {
		// A damaged folder is no new one; it is set aside when it is opened to be used.
		r.Log.Warn("the data folder can't be read, so nothing is founded", "Error", err.Error())
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
		snapshot.Configuration.Voters = append(snapshot.Configuration.Voters, founder(address))
	}
	if err := disk.SaveSnapshot(snapshot, nil); err != nil {
		return errors.Wrap(err, "app")
	}
	if err := disk.Append(&wire.HardState{Term: 1}, nil); err != nil {
		return errors.Wrap(err, "app")
	}
	// The identity comes last: without it the folder counts as empty.
	self := founder(s.meshAddress(s.Instance.IP))
	return errors.Wrap(disk.SetIdentity(self.GetId(), strings.Join(seeds, ",")), "app")
}

// founder returns the member that a seed is at the first start.
func founder(address string) *wire.Member {
	host, _, _ := strings.Cut(address, ":")
	return &wire.Member{Id: host + "/Founder", Name: host, Address: address}
}

func (r *Routed) build(ctx context.Context, contents *storer.Contents) {
	s := r.Settings
	r.meter = meter.New("controller", s.Instance.Name, s.Instance.Zone)
	items := make(chan raftdriver.CommittedBatch, itemRing)
	transport := connector.NewTransport(nil)
	r.peers = &connector.Client{Timeout: s.Timing.PeerTimeout, Transport: transport}
	bulk := &connector.Client{Timeout: snapshotTimeout, Transport: connector.NewTransport(nil)}
	self := &wire.Member{Id: r.id, Name: s.Instance.IP, Address: s.meshAddress(s.Instance.IP), Zone: s.Instance.Zone}
	r.transporter = &transporter.Transporter{Log: r.Log, Client: r.peers, Bulk: bulk, Cluster: r.clusterID, Self: self}
	r.transporter.Start(ctx)
	r.keeper = &raftdriver.Driver{
		Clock: r.Clock, Log: r.Log, Storer: r.storer, Send: r.transporter.Send, Commits: items,
		OpenMembership: true, MaxVoters: s.Members.MaxVoters, SilentAfter: s.Timing.SilentMember,
		Replicator: &replicator.Replicator{
			ID: r.id, Heartbeat: s.Timing.Heartbeat, ElectionTimeout: s.Timing.ElectionTimeout, StartupVoteDelay: r.startQuiet(), Random: mathrand.Int64N,
		},
	}
	r.keeper.Init(contents)
	r.relays = &relays{log: r.Log, client: r.peers, self: self.GetAddress(), rings: map[string]chan []*wire.Announcement{}, ctx: ctx}
	r.curator = &routecoordinator.Coordinator{
		Clock: r.Clock, Log: r.Log, Raft: r.keeper, Committed: items, SendOrder: r.orders().carry,
		Relay: func(list []*wire.Announcement) { r.relays.send(r.addresses(), list) }, Controllers: r.addresses,
		Limits: quotaallocator.Rule{Window: s.Limits.Window, Overage: s.Limits.Overage, Slack: s.Limits.Slack},
		Policy: r.policy(), SilentAfter: silentAnnouncements * s.Timing.Announcements, HandoverDelay: s.handOver(),
		SnapshotEntries: uint64(s.Data.SnapshotEvery), SnapshotBytes: snapshotBytes,
	}
	r.curator.CountHeld = func(change string) { r.meter.Increment("held_requests", "change", change) }
	r.curator.Init()
	r.mesh = &routecoordinator.Mesh{Coordinator: r.curator, Leader: r.leader, Client: func(address string) wire.Mesh {
		return wire.NewMeshProtobufClient("http://"+address, &connector.Client{Timeout: operatorTimeout, Transport: transport})
	}}
	r.servers = []*server.Server{
		{Address: s.meshAddress(s.Instance.IP), Handler: r.meshHandler(), Log: r.Log},
		{
			Address: s.Instance.Control, Handler: r.control().Handler(), Log: r.Log,
			Idle: idleAnnouncements * s.Timing.Announcements,
		},
	}
}

const (
	// startQuiet is short, since nothing dangerous rests on a leader's lease here: orders
	// are fenced by its term, or a new leader waits, and reads go through the log. It lets a
	// leader that is there be heard first, some heartbeats being lost.
	startQuiet = 50 * time.Millisecond
	// operatorTimeout is just under the second after which the operator goes on to
	// another instance.
	operatorTimeout = 950 * time.Millisecond
)

// startQuiet returns how long after its start a member gives no vote; 0 is the time of an
// election.
func (r *Routed) startQuiet() time.Duration {
	if r.Settings.off().Has(ablator.EarlyElections) {
		return 0
	}
	return startQuiet
}

func (r *Routed) policy() placer.Policy {
	policy, s := placer.DefaultPolicy(), r.Settings.Placement
	policy.ReservedSlots, policy.ColdLoad, policy.WarmLoad, policy.FillPerReplica = s.Reserve, s.ColdLoad, s.WarmLoad, s.FillPerCopy
	policy.Off = r.Settings.off()
	return policy
}

func (r *Routed) orders() *orderCarrier {
	client := &connector.Client{Timeout: r.Settings.Timing.OrderTimeout, Transport: connector.NewTransport(nil)}
	return &orderCarrier{
		log: r.Log, holder: r.Settings.Instance.Name, leads: r.keeper.Leads,
		orders: &platform.Orders{Do: client.Do, Timeout: r.Settings.Timing.OrderTimeout},
	}
}

func (r *Routed) meshHandler() http.Handler {
	forward := &connector.Client{Timeout: r.Settings.Timing.PeerTimeout, Transport: connector.NewTransport(nil), Forwarded: true}
	peer := &responder.Peer{
		Keeper: r.keeper, Cluster: r.clusterID, Leader: r.leader, Heard: r.transporter.Heard, Invited: r.met.meet,
		Client: func(address string) wire.Peer { return wire.NewPeerProtobufClient("http://"+address, forward) },
	}
	mux := http.NewServeMux()
	mux.Handle(wire.PeerPathPrefix, responder.MarkForwarded(wire.NewPeerServer(peer)))
	mux.Handle(wire.MeshPathPrefix, wire.NewMeshServer(r.mesh))
	mux.Handle(wire.LimitsPathPrefix, wire.NewLimitsServer(r.curator))
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
			r.Log.Info("a table was sent", "Version", table.GetVersion(), "Outcome", outcome)
			var invalid *routecoordinator.InvalidTableError
			if errors.As(err, &invalid) {
				return &platform.InvalidError{Reason: invalid.Error()}
			}
			return err
		},
		ReadTable:  r.mesh.Document,
		PutVersion: r.mesh.PutVersion,
		Announce:   r.mesh.ReceiveAnnouncement,
		Unreadable: (&complainer{clock: r.Clock, log: r.Log}).unreadable,
	}
}

func (r *Routed) clusterID() string { return *r.cluster.Load() }

// leader returns the leader's address, or "".
func (r *Routed) leader() string {
	standing := r.keeper.Standing()
	for _, m := range standing.Configuration.GetVoters() {
		if m.GetId() == standing.Leader && m.GetId() != r.id {
			return m.GetAddress()
		}
	}
	return ""
}

// addresses returns where all controllers are reached that are known.
func (r *Routed) addresses() []string {
	list := r.Settings.seedAddresses()
	config := r.keeper.Standing().Configuration
	if len(config.GetVoters()) > 0 {
		list = nil
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
		clock: r.Clock, log: r.Log, peers: r.peers, keeper: r.keeper, storer: r.storer, cluster: &r.cluster,
		self: r.transporter.Self,
		addresses: func() []string {
			return slices.Concat(r.addresses(), r.Settings.seedAddresses(), r.met.list())
		},
	}
}

func (r *Routed) stop() error {
	r.Log.Info("the controller stops")
	ctx, cancel := context.WithTimeout(context.Background(), stopWithin)
	defer cancel()
	handOver(ctx, r.Clock, r.keeper)
	for _, listening := range r.servers {
		if err := listening.Stop(ctx); err != nil {
			r.Log.Warn("calls were still being answered", "Error", err.Error())
		}
	}
	r.Log.Info("the controller has stopped")
	return nil
}
