// Package app wires a controller's stages together and runs them.
package app

import (
	"context"
	"crypto/rand"
	"log/slog"
	mathrand "math/rand/v2"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"bronzelead.example/controller/coordinator"
	"bronzelead.example/controller/orderer"
	"bronzelead.example/controller/raftdriver"
	"bronzelead.example/controller/responder"
	"bronzelead.example/controller/transporter"
	"bronzelead.example/pkg/apportioner"
	"bronzelead.example/pkg/authenticator"
	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/logger"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/planner"
	"bronzelead.example/pkg/replicator"
	"bronzelead.example/pkg/reserver"
	"bronzelead.example/pkg/retrier"
	"bronzelead.example/pkg/server"
	"bronzelead.example/pkg/storer"
	"bronzelead.example/pkg/translator"
	"bronzelead.example/pkg/wire"
)

const (
	commitQueue          = 1024
	stopTimeout          = 5 * time.Second
	transferPollInterval = 20 * time.Millisecond
	// A message between controllers may hold a whole snapshot.
	maxMessage = 1 << 30
	// listenFilesDivisor sets the part of the file descriptors for those that call this instance, as a divisor, and
	// listenPercent the percentage of its memory that their calls may hold together.
	listenFilesDivisor = 2
	listenPercent      = 25
	// A snapshot is resent after ten election timeouts, which bounds the time to send it.
	snapshotTimeout = 6 * time.Second
)

// App is one controller. Set the exported fields, then call Run.
type App struct {
	Settings *Settings
	Clock    clockwork.Clock
	Log      *slog.Logger

	cluster atomic.Pointer[string]
	// contacts are members that sent messages before this instance belonged to a cluster.
	contacts    contacts
	clusterKey  string
	operators   authenticator.Keyring
	storer      *storer.Storer
	driver      *raftdriver.Driver
	coordinator *coordinator.Coordinator
	transporter *transporter.Transporter
	responder   *responder.Responder
	peers       *connector.Client
	server      *server.Server
	meter       *meter.Meter
}

// NewLog returns a logger with the level of the settings.
func NewLog(s *Settings) *slog.Logger {
	var level slog.Level
	// The settings were checked; the zero level is Info.
	_ = level.UnmarshalText([]byte(s.Log.Level))
	log := logger.New(os.Stderr, level, "controller", s.Instance.Name, s.Instance.Zone)
	return log
}

// Run works until ctx ends, then hands over leadership and stops. An error means that the
// controller can't run with its disk or settings.
func (a *App) Run(ctx context.Context) error {
	debug.SetMemoryLimit(a.Settings.Instance.resources().HeapLimit())
	if err := a.readKeys(); err != nil {
		return err
	}
	opened, err := openFolder(a.Settings.Data.Folder, a.Settings.Instance.Name, a.Clock, a.Log)
	if err != nil {
		return err
	}
	contents, id := opened.contents, opened.id
	a.storer = opened.storer
	a.cluster.Store(&opened.cluster)
	background, stop := context.WithCancel(context.Background())
	defer stop()
	a.build(contents, id)
	a.transporter.Start(background)
	failed := make(chan error, 1)
	go a.coordinator.Run(background)
	go func() { failed <- a.driver.Run(background) }()
	joining := &joiner{
		clock: a.Clock, log: a.Log, peers: a.peers, self: a.member(id), driver: a.driver, storer: a.storer,
		cluster: &a.cluster, addresses: func() []string { return slices.Concat(a.Settings.Members.Addresses, a.contacts.list()) },
	}
	go joining.run(background)
	if err := a.server.Start(); err != nil {
		return errors.Wrap(err, "app")
	}
	a.Log.Info("the controller serves", "Address", a.server.Addr(), "Member", id)
	select {
	case err := <-failed:
		return errors.Wrap(err, "app")
	case <-ctx.Done():
	}
	return a.stop()
}

func (a *App) readKeys() error {
	var err error
	if a.clusterKey, err = authenticator.ReadKey(a.Settings.Keys.ClusterFile); err != nil {
		return errors.Wrap(err, "app")
	}
	a.operators, err = authenticator.ReadKeyring(a.Settings.Keys.OperatorFile)
	if err != nil {
		return errors.Wrap(err, "app")
	}
	a.operators[authenticator.DigestOf(a.clusterKey)] = authenticator.ClusterOwner
	return nil
}

// newMemberID returns an id for an instance and a new incarnation of its disk.
func newMemberID(instance string) string { return instance + "/" + rand.Text() }

func (a *App) build(contents *storer.Contents, id string) {
	s := a.Settings
	a.meter = meter.New("controller", s.Instance.Name, s.Instance.Zone)
	commits := make(chan raftdriver.CommittedBatch, commitQueue)
	a.peers = &connector.Client{
		Timeout: s.Timing.PeerTimeout, Key: a.clusterKey, Transport: connector.NewTransport(nil),
	}
	forward := &connector.Client{
		Timeout: s.Timing.PeerTimeout, Key: a.clusterKey, Transport: connector.NewTransport(nil), Forwarded: true,
	}
	a.transporter = &transporter.Transporter{Log: a.Log, Client: a.peers, SnapshotClient: a.snapshotClient(), Cluster: a.clusterID, Self: a.member(id)}
	a.coordinator = &coordinator.Coordinator{
		Clock: a.Clock, Log: a.Log, Commits: commits, Policy: a.policy(), Lease: s.Timing.SessionLease,
		MaxRequestDuration: s.Timing.LongestRequest, SnapshotEntries: uint64(s.Data.SnapshotEvery),
		ObserveBatchFill: a.meter.RecordBatchFill, ObserveInForce: func(d time.Duration) { a.meter.RecordDuration("in_force", d) },
	}
	a.driver = &raftdriver.Driver{
		Clock: a.Clock, Log: a.Log, Storer: a.storer, Send: a.transporter.Send, Commits: commits,
		Admission: a.coordinator.Admission,
		Replicator: &replicator.Replicator{
			ID: id, Heartbeat: s.Timing.Heartbeat, ElectionTimeout: s.Timing.ElectionTimeout, Random: mathrand.Int64N,
		},
	}
	a.driver.Init(contents)
	a.coordinator.Raft = a.driver
	a.coordinator.CountQuarantine = func(change string) { a.meter.Increment("held_requests", "change", change) }
	a.coordinator.SendOrder = a.orderer().SendOrder
	a.coordinator.Init()
	a.responder = &responder.Responder{
		Log: a.Log, Raft: a.driver, Coordinator: a.coordinator, Peer: forward, LeaseNs: int64(s.Timing.SessionLease),
	}
	resources := s.Instance.resources()
	connections := resources.Connections(listenFilesDivisor)
	a.server = &server.Server{
		Address: s.Instance.Listen, Handler: a.handler(forward), Log: a.Log, MaxBodyBytes: maxMessage,
		Memory:         &reserver.Pool{Clock: a.Clock, Capacity: resources.Memory(listenPercent)},
		MaxConnections: connections, SocketBuffer: apportioner.PeerSocketBytes,
	}
}

// snapshotClient returns the client that sends snapshots.
func (a *App) snapshotClient() *connector.Client {
	return &connector.Client{Timeout: snapshotTimeout, Key: a.clusterKey, Transport: connector.NewTransport(nil)}
}

func (a *App) policy() planner.Policy {
	e := a.Settings.Engines
	return planner.Policy{
		LoadsPerSecond: e.LoadsPerSecond, MaxConcurrentLoads: e.LoadsAtOnce, StallWeight: e.StallWeight,
		BatchWeight: e.BatchWeight, StarveAfter: e.StarveAfter, MinResidence: e.MinResidence,
		BackendLease: e.BackendLease, OrderTimeout: e.LongestOrder, FailureBackoff: retrier.Backoff{Initial: e.BackOff, Max: e.MaxBackOff},
	}
}

func (a *App) orderer() *orderer.Orderer {
	client := &connector.Client{Timeout: a.Settings.Engines.LongestOrder, Transport: connector.NewTransport(nil)}
	return &orderer.Orderer{
		Log: a.Log, OrderTimeout: a.Settings.Engines.LongestOrder, Leads: a.driver.Leads,
		Orders: &translator.OrderClient{Client: client, WeightsURL: a.Settings.Engines.WeightsURL},
	}
}

func (a *App) handler(forward *connector.Client) http.Handler {
	cluster := authenticator.Keyring{authenticator.DigestOf(a.clusterKey): authenticator.ClusterOwner}
	peer := &responder.Peer{
		Raft: a.driver, Cluster: a.clusterID, Leader: a.responder.LeaderAddress, RecordPeer: a.transporter.RecordPeer, RecordContact: a.contacts.add,
		Client: func(address string) wire.Peer { return wire.NewPeerProtobufClient("http://"+address, forward) },
	}
	mux := http.NewServeMux()
	mux.Handle(wire.PeerPathPrefix, authenticator.Require(cluster, responder.MarkForwarded(wire.NewPeerServer(peer))))
	mux.Handle(wire.ControlPathPrefix, authenticator.Require(cluster, responder.MarkForwarded(wire.NewControlServer(a.responder))))
	mux.Handle(wire.OperatorPathPrefix, authenticator.Require(a.operators, responder.MarkForwarded(wire.NewOperatorServer(a.responder))))
	mux.HandleFunc("GET /healthz", a.health)
	mux.HandleFunc("GET /readyz", a.ready)
	mux.Handle("GET /metrics", a.meter.Handler())
	return mux
}

func (a *App) health(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }

// ready reports whether the instance knows a leader.
func (a *App) ready(w http.ResponseWriter, _ *http.Request) {
	if a.driver.Status().Leader == "" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(a.driver.Status().Role.String() + "\n"))
}

func (a *App) clusterID() string { return *a.cluster.Load() }

func (a *App) member(id string) *wire.Member {
	s := a.Settings
	return &wire.Member{Id: id, Name: s.Instance.Name, Address: s.address(), Zone: s.Instance.Zone}
}

// stop hands over leadership first, so that callers need not wait for an election.
func (a *App) stop() error {
	a.Log.Info("the controller stops")
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	transferLeadership(ctx, a.Clock, a.driver)
	err := a.server.Stop(ctx)
	a.Log.Info("the controller has stopped")
	return errors.Wrap(err, "app")
}

// transferLeadership hands leadership over to another controller, if this one leads.
func transferLeadership(ctx context.Context, clock clockwork.Clock, driver *raftdriver.Driver) {
	if !driver.Leads() {
		return
	}
	driver.Transfer()
	for driver.Status().Role == replicator.Leader && ctx.Err() == nil {
		<-clock.After(transferPollInterval)
	}
}
