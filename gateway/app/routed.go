package app

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"bronzelead.example/gateway/acceptor"
	"bronzelead.example/gateway/forwarder"
	"bronzelead.example/gateway/granter"
	"bronzelead.example/gateway/isolator"
	"bronzelead.example/gateway/originfinder"
	"bronzelead.example/gateway/quotaenforcer"
	"bronzelead.example/gateway/regulator"
	"bronzelead.example/gateway/relayer"
	"bronzelead.example/gateway/sender"
	"bronzelead.example/gateway/synchronizer"
	"bronzelead.example/gateway/tunneler"
	"bronzelead.example/pkg/apportioner"
	"bronzelead.example/pkg/configurer"
	"bronzelead.example/pkg/framer"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/originreceiver"
	"bronzelead.example/pkg/repeater"
	"bronzelead.example/pkg/reserver"
	"bronzelead.example/pkg/seedreader"
	"bronzelead.example/pkg/server"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

const (
	// adapterRequestQueue bounds the requests for adapters that wait to be sent.
	adapterRequestQueue = 256
	// callerFilesDivisor sets the part of the file descriptors that callers may use, as a
	// divisor, meshFilesDivisor that of other gateways and controllers, with the tunnels, and healthFilesDivisor that of
	// readiness checks.
	callerFilesDivisor = 2
	meshFilesDivisor   = 4
	healthFilesDivisor = 32
	// tunnelFilesDivisor sets the number of tunnels for other gateways, each with two file
	// descriptors, as a divisor of all descriptors.
	tunnelFilesDivisor = 8
	// requestPercent, callPercent and healthPercent are the percentages of the instance's memory that callers' requests,
	// calls of other instances, and readiness checks may hold together.
	requestPercent = 20
	callPercent    = 10
	healthPercent  = 2
	// resourceReportInterval is the interval at which is reported what callers hold.
	resourceReportInterval = time.Second
	// stopMargin is reserved at the end of a planned stop, before the process is killed: the requests that still run are
	// ended then. exitMargin is the last part of it, in which connections are closed and the process exits.
	stopMargin = 500 * time.Millisecond
	exitMargin = 200 * time.Millisecond
	// lostAfter is the age of the leader's state from which on the settings file is read again. An election takes less.
	lostAfter = 3 * time.Second
)

// Routed is one gateway that serves callers by a table of routes. Set the exported
// fields, then call Run.
type Routed struct {
	// Settings are those that the process started with. The seeds in File are read again on Reload, and while no leader
	// is known.
	Settings *RoutedSettings
	File     string
	Clock    clockwork.Clock
	Log      *slog.Logger
	// Reload triggers reading the file again.
	Reload <-chan struct{}
	// OnStarted is called once the gateway serves; nil is not called.
	OnStarted func()
	// DialContext opens connections to backend servers; nil is a net.Dialer.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)

	seeds        *seedreader.Reader
	stopping     atomic.Bool
	frontend     *acceptor.Acceptor
	forwarder    *forwarder.Forwarder
	synchronizer *synchronizer.Synchronizer
	relayer      *relayer.Relayer
	regulator    *regulator.Regulator
	tunneler     *tunneler.Tunneler
	origins      *originfinder.Finder
	// datagrams carries the reports of the origins of streams between gateways.
	datagrams *originreceiver.Socket
	granter   *granter.Granter
	isolator  *isolator.Isolator
	enforcer  *quotaenforcer.Enforcer
	shedder   *connectionShedder
	// reported is what callers held at the latest report.
	reported        resourceState
	health          *server.Server
	mesh            *server.Server
	meter           *meter.Meter
	adapterRequests chan []*wire.Want
}

// Run serves until ctx ends, and then stops gracefully.
func (r *Routed) Run(ctx context.Context) error {
	debug.SetMemoryLimit(r.Settings.resources().HeapLimit())
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.build()
	if err := r.listenForDatagrams(background); err != nil {
		return err
	}
	go r.forwarder.Run(background)
	go r.synchronizer.Run(background)
	go r.relayer.Run(background)
	go r.regulator.Run(background)
	go r.granter.Run(background)
	go r.tunneler.Run(background)
	go r.origins.Run(background)
	go r.isolator.Run(background)
	go r.enforcer.Run(background)
	go r.shedder.Run(background)
	go r.sendAdapterRequests(background)
	if err := r.frontend.Start(); err != nil {
		return errors.Wrap(err, "app")
	}
	go repeater.Run(background, r.Clock, resourceReportInterval, func() { r.reportResources(r.frontend) })
	for _, listening := range []*server.Server{r.health, r.mesh} {
		if err := listening.Start(); err != nil {
			return errors.Wrap(err, "app")
		}
	}
	if off := r.Settings.off(); !off.Empty() {
		r.Log.Warn("mechanisms are switched off for an experiment", "Off", off.String())
	}
	r.Log.Info("the gateway serves", "Address", r.frontend.Addr(), "Seeds", r.Settings.Controllers.Seeds)
	if r.OnStarted != nil {
		r.OnStarted()
	}
	for {
		select {
		case <-ctx.Done():
			return r.stop()
		case <-r.Reload:
			r.seeds.Reload()
		}
	}
}

// listenForDatagrams receives datagrams at the address for calls of other gateways until ctx ends.
func (r *Routed) listenForDatagrams(ctx context.Context) error {
	socket, err := originreceiver.Listen(r.Settings.meshAddress())
	if err != nil {
		return errors.Wrap(err, "app")
	}
	r.datagrams = socket
	go socket.Run(ctx, r.origins.Receiver())
	return nil
}

func (r *Routed) sendDatagram(address string, datagram []byte) error {
	return r.datagrams.Send(address, datagram)
}

// controllers returns the controllers as last listed by one of them, and the seeds before that.
func (r *Routed) controllers() []string {
	if list := r.relayer.Controllers(); len(list) > 0 {
		return list
	}
	return r.seeds.Seeds()
}

func (r *Routed) build() {
	s := r.Settings
	r.seeds = &seedreader.Reader{
		Clock: r.Clock, Log: r.Log, Read: r.readSeeds, Lost: func() bool { return r.leaderAge() > lostAfter },
	}
	r.seeds.Init(s.seedAddresses())
	if r.meter == nil {
		r.meter = meter.New("gateway", s.Instance.Name, s.Instance.Zone)
	}
	r.adapterRequests = make(chan []*wire.Want, adapterRequestQueue)
	r.regulator = &regulator.Regulator{Clock: r.Clock, Log: r.Log, Self: s.meshAddress(), Meter: r.meter}
	r.regulator.Init()
	r.granter = &granter.Granter{Clock: r.Clock, Log: r.Log, Meter: r.meter, Self: s.meshAddress(), Ranked: r.regulator.RankedOwners}
	r.granter.Init()
	r.origins = &originfinder.Finder{
		Clock: r.Clock, Log: r.Log, Meter: r.meter, Self: s.meshAddress(), Send: r.sendDatagram,
		Gateways: func() []*wire.GatewayEntry { return r.relayer.Gateways() }, Controllers: r.controllers,
	}
	r.origins.Init()
	r.isolator = &isolator.Isolator{Clock: r.Clock, Log: r.Log, Self: s.meshAddress(), LeaderAge: r.leaderAge}
	r.enforcer = &quotaenforcer.Enforcer{
		Clock: r.Clock, Log: r.Log, Meter: r.meter, Gateway: s.Instance.Name, Address: s.meshAddress(),
		Upstream: func() string { return r.synchronizer.Leader() }, Term: func() uint64 { return r.synchronizer.Term() },
	}
	r.enforcer.Init()
	r.tunneler = &tunneler.Tunneler{
		Clock: r.Clock, Log: r.Log, Meter: r.meter, Self: s.meshAddress(), Zone: s.Instance.Zone,
		MaxTunnels: s.Instance.MaxFiles / tunnelFilesDivisor, Gateways: func() []*wire.GatewayEntry { return r.relayer.Gateways() },
	}
	r.tunneler.Init()
	r.forwarder = &forwarder.Forwarder{
		Origins: r.origins, Tunneler: r.tunneler, Regulator: r.regulator, Granter: r.granter, Isolator: r.isolator, QuotaEnforcer: r.enforcer,
		Clock: r.Clock, Log: r.Log, Zone: s.Instance.Zone, Meter: r.meter, RequestAdapters: r.requestAdapters, Disabled: s.off(),
		Budget: forwarder.RetryBudget{Window: s.Budget.Window, Ratio: s.Budget.Ratio, Slack: s.Budget.Slack},
		Keys:   forwarder.KeyPolicy{Strict: s.Keys.Strict, StaleAfter: s.Keys.StaleAfter},
		Sender: &sender.Sender{
			Clock: r.Clock, DialTimeout: s.Backends.DialTimeout, MaxIdle: s.Backends.MaxIdle,
			IdleMargin: s.Backends.IdleMargin, UserTimeout: s.Backends.Unacknowledged, IsOwnResponse: isOwnResponse,
			DialContext: r.DialContext,
		},
	}
	r.regulator.OnPeerPauses = r.forwarder.ObservePeerPauses
	r.forwarder.Init()
	self := &wire.GatewayEntry{Address: s.meshAddress(), Zone: s.Instance.Zone}
	r.relayer = &relayer.Relayer{
		Clock: r.Clock, Log: r.Log, Meter: r.meter, Self: self, Apply: r.forwarder.Apply, Loads: r.forwarder.Loads,
		AddDemand: r.forwarder.AddDemand, RequestAdapters: r.requestAdapters, ReceiveRunReports: r.isolator.ReceiveReports,
		Granter: r.granter,
	}
	r.relayer.Init()
	r.forwarder.LeaderAge = r.relayer.LeaderAge
	r.synchronizer = &synchronizer.Synchronizer{
		Clock: r.Clock, Log: r.Log, Gateway: s.Instance.Name, Self: self, Seeds: r.seeds.Seeds,
		Relayer: r.relayer, Demand: r.forwarder.TakeDemand, TableVersion: r.forwarder.TableVersion, RunReports: r.isolator.Reports,
		Granter: r.granter,
	}
	r.shedder = &connectionShedder{Clock: r.Clock, Log: r.Log, Meter: r.meter}
	resources := s.resources()
	connections := resources.Connections(callerFilesDivisor)
	r.frontend = &acceptor.Acceptor{
		Clock: r.Clock, Log: r.Log, Address: s.Instance.Listen, Handle: r.forwarder.Handle,
		CheckHead: r.forwarder.CheckHead,
		Limits:    r.forwarder.Limits, MaxConnections: connections, SocketBuffer: resources.SocketBuffer(connections),
		Memory: &reserver.Pool{Clock: clockwork.NewRealClock(), Capacity: resources.Memory(requestPercent)},
		Admit:  r.shedder.Admit, CallerTimeout: callerTimeout, EncodeRefusal: encodeRefusal,
		OnRefusal: func(status int) { r.meter.Increment("unread_requests", "status", strconv.Itoa(status)) },
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", r.ready)
	mux.Handle("GET /metrics", r.meter.Handler())
	healthConnections, meshConnections := resources.Connections(healthFilesDivisor), resources.Connections(meshFilesDivisor)
	r.health = &server.Server{
		Address: s.Instance.Health, Handler: mux, Log: r.Log,
		Memory:         &reserver.Pool{Clock: clockwork.NewRealClock(), Capacity: resources.Memory(healthPercent)},
		MaxConnections: healthConnections, SocketBuffer: resources.SocketBuffer(healthConnections),
	}
	meshMux := http.NewServeMux()
	meshMux.Handle(wire.MeshPathPrefix, wire.NewMeshServer(r.relayer))
	meshMux.Handle(wire.LimitsPathPrefix, wire.NewLimitsServer(r.enforcer))
	meshMux.Handle(wire.ThrottlingPathPrefix, wire.NewThrottlingServer(&granter.Server{Granter: r.granter}))
	tunnels := &tunneler.Server{Tunneler: r.tunneler}
	meshMux.Handle(tunneler.Path, tunnels)
	meshMux.Handle(wire.TunnelingPathPrefix, wire.NewTunnelingServer(tunnels))
	meshMux.Handle(wire.OriginsPathPrefix, wire.NewOriginsServer(r.origins.Receiver()))
	meshMux.Handle(wire.PacingPathPrefix, wire.NewPacingServer(&regulator.Server{Regulator: r.regulator}))
	r.mesh = &server.Server{
		Address: s.meshAddress(), Handler: meshMux, Log: r.Log,
		Memory:         &reserver.Pool{Clock: clockwork.NewRealClock(), Capacity: resources.Memory(callPercent)},
		MaxConnections: meshConnections, SocketBuffer: apportioner.PeerSocketBytes,
	}
}

// leaderAge returns the age of the leader's state that is known here.
func (r *Routed) leaderAge() time.Duration { return r.relayer.LeaderAge() }

// callerTimeout returns how long a caller waits for the answer to its request, or 0.
func callerTimeout(head *framer.RequestHead) time.Duration {
	return platform.DecodeRequest(head.Header).ClientTimeout
}

// encodeRefusal returns the header of a refusal of a request that could not be read.
func encodeRefusal(head *framer.RequestHead, retryAfter time.Duration) framer.Header {
	id := ""
	if head != nil {
		id = platform.DecodeRequest(head.Header).ID
	}
	return platform.EncodeRefusal(id, retryAfter)
}

func isOwnResponse(head *framer.ResponseHead, requestID string) (bool, time.Duration) {
	response := platform.DecodeResponse(head)
	// A response without an id may be this request's; whether it is valid is checked later.
	return response.RequestID == requestID || response.RequestID == "", response.IdleTimeout
}

// ready answers 200 while the instance can serve requests and is not stopping.
func (r *Routed) ready(w http.ResponseWriter, _ *http.Request) {
	if r.stopping.Load() || !r.forwarder.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// requestAdapters queues requests for adapters. If the queue is full, they are dropped: the
// balancer requests them again.
func (r *Routed) requestAdapters(requests []*wire.Want) {
	select {
	case r.adapterRequests <- requests:
	default:
		r.Log.Warn("requests for adapters were dropped", "Adapters", len(requests))
	}
}

func (r *Routed) sendAdapterRequests(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case requests := <-r.adapterRequests:
			for more := true; more; {
				select {
				case next := <-r.adapterRequests:
					requests = append(requests, next...)
				default:
					more = false
				}
			}
			r.synchronizer.Acquire(ctx, requests)
		}
	}
}

// readSeeds reads the seeds from the settings file again.
func (r *Routed) readSeeds() ([]string, []configurer.Fault) {
	settings, faults := ReadRouted(r.File)
	return settings.seedAddresses(), faults
}

// stop reports the instance as not ready immediately, continues to serve until the load
// balancer in front uses other instances, and then waits for running requests. Those that
// still run shortly before Grace is over are ended with an answer.
func (r *Routed) stop() error {
	s := r.Settings.Stop
	r.Log.Info("the gateway stops")
	r.stopping.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), s.Grace-exitMargin)
	defer cancel()
	r.forwarder.BeginStop(r.Clock.Now().Add(s.Grace - stopMargin))
	end := r.Clock.AfterFunc(s.Grace-stopMargin, r.end)
	defer end.Stop()
	r.frontend.Quiesce()
	<-r.Clock.After(s.Take)
	r.forwarder.Close()
	r.frontend.Refuse()
	var tunnels sync.WaitGroup
	tunnels.Go(func() { r.tunneler.Stop(ctx) })
	<-r.Clock.After(s.Drain - s.Take)
	err := r.frontend.Stop(ctx)
	tunnels.Wait()
	if err != nil {
		r.Log.Warn("requests were still running at the stop", "Error", err.Error())
	}
	r.Log.Info("the gateway has stopped")
	return nil
}

// end ends the requests that are still arriving or running with an answer.
func (r *Routed) end() {
	r.forwarder.End()
	r.frontend.End()
}
