// Package app wires a gateway's stages together and runs them.
package app

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"bronzelead.example/gateway/claimer"
	"bronzelead.example/gateway/dispatcher"
	"bronzelead.example/gateway/explainer"
	"bronzelead.example/gateway/isolator"
	"bronzelead.example/gateway/receiver"
	"bronzelead.example/gateway/registrar"
	"bronzelead.example/gateway/renewer"
	"bronzelead.example/gateway/scheduler"
	"bronzelead.example/pkg/authenticator"
	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/logger"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/reserver"
	"bronzelead.example/pkg/router"
	"bronzelead.example/pkg/server"
)

const (
	idleCheckInterval = 50 * time.Millisecond
	// Closing the session is tried for as long as it would last without.
	closeTimeout = 3 * time.Second
	// Storing the outcomes of requests is tried for this long at a stop.
	storeTimeout = 10 * time.Second
	// endMargin is how long before the end of a stop the requests that still run are ended: their backend servers are
	// asked first whether they have begun.
	endMargin = 3 * time.Second
	// endMarginDivisor limits endMargin to a part of StopWithin.
	endMarginDivisor = 4
	// probeTimeout bounds the probe whether a backend server still listens.
	probeTimeout = time.Second
)

// App is one gateway. Set the exported fields, then call Run.
type App struct {
	Settings *Settings
	Clock    clockwork.Clock
	Log      *slog.Logger

	keys      keys
	registrar *registrar.Registrar
	scheduler *scheduler.Scheduler
	renewer   *renewer.Renewer
	claimer   *claimer.Claimer
	isolator  *isolator.Isolator
	server    *server.Server
	leave     chan struct{}
	stopping  chan struct{}
	// ending ends when the requests that still run at a stop are ended, by endRequests.
	ending      context.Context
	endRequests context.CancelFunc
}

type keys struct {
	cluster   string
	backends  authenticator.Keyring
	operators authenticator.Keyring
}

// NewLog returns a logger with the level of the settings.
func NewLog(s *Settings) *slog.Logger {
	var level slog.Level
	// The settings were checked; the zero level is Info.
	_ = level.UnmarshalText([]byte(s.Log.Level))
	log := logger.New(os.Stderr, level, "gateway", s.Instance.Name, s.Instance.Zone)
	return log
}

// Run serves until ctx ends, then stops gracefully: it becomes unready, finishes running
// requests, and closes the session.
func (a *App) Run(ctx context.Context) error {
	debug.SetMemoryLimit(a.Settings.Instance.resources().HeapLimit())
	if err := a.readKeys(); err != nil {
		return err
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	a.build()
	defer a.endRequests()
	go a.scheduler.Run(background)
	go a.claimer.Run(background)
	go a.isolator.Run(background)
	renewerDone := make(chan struct{})
	go func() {
		a.renewer.Run(background)
		close(renewerDone)
	}()
	if err := a.server.Start(); err != nil {
		return errors.Wrap(err, "app")
	}
	a.Log.Info("the gateway serves", "Address", a.server.Addr())
	<-ctx.Done()
	return a.stop(renewerDone)
}

func (a *App) readKeys() error {
	var err error
	if a.keys.cluster, err = authenticator.ReadKey(a.Settings.Keys.ClusterFile); err != nil {
		return errors.Wrap(err, "app")
	}
	if a.keys.backends, err = authenticator.ReadKeyring(a.Settings.Keys.BackendFile); err != nil {
		return errors.Wrap(err, "app")
	}
	a.keys.operators, err = authenticator.ReadKeyring(a.Settings.Keys.OperatorFile)
	return errors.Wrap(err, "app")
}

func (a *App) build() {
	s := a.Settings
	a.ending, a.endRequests = context.WithCancel(context.Background())
	a.leave, a.stopping = make(chan struct{}), make(chan struct{})
	a.registrar = &registrar.Registrar{}
	controllers := &connector.Controllers{Addresses: s.Controllers.Addresses}
	client := &connector.Client{
		Timeout: s.Controllers.Timeout, Key: a.keys.cluster, Transport: connector.NewTransport(nil),
	}
	a.scheduler = &scheduler.Scheduler{
		Clock: a.Clock, Log: a.Log, Registrar: a.registrar,
		Router: &router.Router{Zone: s.Instance.Zone, Policy: router.Policy{
			BatchWeight: s.Policy.BatchWeight, StallWeight: s.Policy.StallWeight,
			PrefixWeight: s.Policy.PrefixWeight, ZoneWeight: s.Policy.ZoneWeight,
			SuspectPeriod: s.Policy.SuspectFor, MaxLeaseIdle: s.Policy.IdleLease,
		}},
		RequestRenewal: func() { a.renewer.RequestRenewal() },
	}
	a.scheduler.Init()
	address := s.Instance.Address
	if address == "" {
		address = s.Instance.Listen
	}
	a.isolator = &isolator.Isolator{Clock: a.Clock, Log: a.Log, Self: address, ConnectionRefused: connectionRefused}
	a.isolator.Init()
	a.renewer = &renewer.Renewer{
		Clock: a.Clock, Log: a.Log, Scheduler: a.scheduler, Isolator: a.isolator, Controllers: controllers, Client: client,
		Instance: s.Instance.Name, Zone: s.Instance.Zone, Address: address,
		Interval: s.Controllers.RenewEvery, Leave: a.leave,
	}
	a.renewer.Init()
	a.isolator.LeaderAge = a.renewer.LeaderAge
	a.claimer = &claimer.Claimer{Clock: a.Clock, Log: a.Log, Client: client, Controllers: &connector.Controllers{
		Addresses: s.Controllers.Addresses,
	}}
	a.claimer.Init()
	resources := s.Instance.resources()
	connections := resources.Connections(callerFilesDivisor)
	a.server = &server.Server{
		Address: s.Instance.Listen, Handler: a.handler(), Log: a.Log,
		Memory:         &reserver.Pool{Clock: a.Clock, Capacity: resources.Memory(requestPercent)},
		MaxConnections: connections, SocketBuffer: resources.SocketBuffer(connections),
	}
}

// connectionRefused reports whether nothing listens any more at the address of a backend server.
func connectionRefused(ctx context.Context, _, address string) bool {
	dialer := &net.Dialer{Timeout: probeTimeout}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (a *App) handler() http.Handler {
	s := a.Settings
	r := &receiver.Receiver{
		Clock: a.Clock, Log: a.Log, Instance: s.Instance.Name,
		Registrar: a.registrar, Scheduler: a.scheduler, Claimer: a.claimer, Isolator: a.isolator,
		Dispatcher: a.dispatcher(), Explainer: &explainer.Explainer{Clock: a.Clock},
		Meter:       meter.New("gateway", s.Instance.Name, s.Instance.Zone),
		RetryBudget: &receiver.RetryBudget{Clock: a.Clock, RetryRatio: s.Requests.RetryShare, Burst: s.Requests.RetryBurst},
		Session:     a.scheduler.SessionID, BackendKeys: a.keys.backends, OperatorKeys: a.keys.operators,
		Ready: a.ready, Ending: a.ending, MaxBody: s.Requests.MaxBody, MaxStoredAnswer: s.Requests.KeepAnswer,
	}
	return r.Handler()
}

func (a *App) dispatcher() *dispatcher.Dispatcher {
	fresh := connector.NewTransport(nil)
	fresh.DisableKeepAlives = true
	freshWork := connector.NewTransport(a.scheduler.CheckSession)
	freshWork.DisableKeepAlives = true
	return &dispatcher.Dispatcher{
		Clock: a.Clock, SessionTransport: connector.NewTransport(a.scheduler.CheckSession), UnpooledTransport: fresh, UnpooledSessionTransport: freshWork,
		SilenceTimeout: a.Settings.Requests.SilenceAfter,
	}
}

// ready reports whether the load balancer should send callers here.
func (a *App) ready() bool {
	select {
	case <-a.stopping:
		return false
	default:
		return a.scheduler.HasLiveSession()
	}
}

func (a *App) stop(renewerDone <-chan struct{}) error {
	a.Log.Info("the gateway stops: it is unready and finishes running requests")
	close(a.stopping)
	a.server.Quiesce()
	<-a.Clock.After(a.Settings.Requests.StopDelay)
	// Callers that keep their connections would otherwise delay the stop by another round of
	// their longest requests.
	a.scheduler.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), a.Settings.Requests.StopWithin)
	defer cancel()
	within := a.Settings.Requests.StopWithin
	end := a.Clock.AfterFunc(within-min(endMargin, within/endMarginDivisor), a.endRequests)
	defer end.Stop()
	err := a.server.Stop(ctx)
	for !a.scheduler.Idle() && ctx.Err() == nil {
		<-a.Clock.After(idleCheckInterval)
	}
	storing, stopStoring := context.WithTimeout(ctx, storeTimeout)
	defer stopStoring()
	a.claimer.Drain(storing)
	close(a.leave)
	select {
	case <-renewerDone:
	case <-a.Clock.After(closeTimeout):
		// No controller can be reached. The session expires with its lease.
		a.Log.Warn("the session was not closed")
	}
	a.Log.Info("the gateway has stopped")
	return errors.Wrap(err, "app")
}
