package app

import (
	"context"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"bronzelead.example/gateway/doorkeeper"
	"bronzelead.example/gateway/forwarder"
	"bronzelead.example/gateway/granter"
	"bronzelead.example/gateway/isolator"
	"bronzelead.example/gateway/quotaenforcer"
	"bronzelead.example/gateway/regulator"
	"bronzelead.example/gateway/relayer"
	"bronzelead.example/gateway/sender"
	"bronzelead.example/gateway/synchronizer"
	"bronzelead.example/pkg/framer"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/server"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

const (
	// wantRing bounds the requests for adapters that wait to be sent.
	wantRing = 256
	// callerShare is the part, as a divisor, of the file descriptors that callers may use.
	callerShare = 2
	// memoryShare is the part of the instance's memory, in percent, from which the
	// collector works harder. Stacks and bytes in sockets come on top.
	memoryShare = 60
	// stopMargin is kept at the end of a planned stop, before the process is killed.
	stopMargin = 500 * time.Millisecond
)

// Routed is one gateway that serves callers by a table of routes. Set the exported
// fields, then call Run.
type Routed struct {
	// Settings are those that the process started with; File is read again on Reload.
	Settings *RoutedSettings
	File     string
	Clock    clockwork.Clock
	Log      *slog.Logger
	// Reload asks to read the file again.
	Reload <-chan struct{}

	seeds     atomic.Pointer[[]string]
	stopping  atomic.Bool
	door      *doorkeeper.Doorkeeper
	forwarder *forwarder.Forwarder
	follower  *synchronizer.Synchronizer
	relayer   *relayer.Relayer
	regulator *regulator.Regulator
	granter   *granter.Granter
	isolator  *isolator.Isolator
	borrower  *quotaenforcer.Enforcer
	health    *server.Server
	mesh      *server.Server
	meter     *meter.Meter
	wants     chan []*wire.Want
}

// Run serves until ctx ends, and then stops gracefully.
func (r *Routed) Run(ctx context.Context) error {
	debug.SetMemoryLimit(int64(r.Settings.Instance.MemoryMB) * memoryShare / 100 << 20)
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.build()
	go r.forwarder.Run(background)
	go r.follower.Run(background)
	go r.relayer.Run(background)
	go r.regulator.Run(background)
	go r.granter.Run(background)
	go r.isolator.Run(background)
	go r.borrower.Run(background)
	go r.acquire(background)
	if err := r.door.Start(); err != nil {
		return errors.Wrap(err, "app")
	}
	for _, listening := range []*server.Server{r.health, r.mesh} {
		if err := listening.Start(); err != nil {
			return errors.Wrap(err, "app")
		}
	}
	if off := r.Settings.off(); !off.Empty() {
		r.Log.Warn("mechanisms are switched off for an experiment", "Off", off.String())
	}
	r.Log.Info("the gateway serves", "Address", r.door.Addr(), "Seeds", r.Settings.Controllers.Seeds)
	for {
		select {
		case <-ctx.Done():
			return r.stop()
		case <-r.Reload:
			r.reload()
		}
	}
}

func (r *Routed) build() {
	s := r.Settings
	seeds := s.seedAddresses()
	r.seeds.Store(&seeds)
	r.meter = meter.New("gateway", s.Instance.Name, s.Instance.Zone)
	r.wants = make(chan []*wire.Want, wantRing)
	r.regulator = &regulator.Regulator{Clock: r.Clock, Log: r.Log, Self: s.meshAddress()}
	r.regulator.Init()
	r.granter = &granter.Granter{Clock: r.Clock, Log: r.Log, Meter: r.meter, Self: s.meshAddress(), Ranked: r.regulator.RankedOwners}
	r.granter.Init()
	r.isolator = &isolator.Isolator{Clock: r.Clock, Log: r.Log, Self: s.meshAddress(), LeaderAge: r.wordAge}
	r.borrower = &quotaenforcer.Enforcer{
		Clock: r.Clock, Log: r.Log, Meter: r.meter, Gateway: s.Instance.Name, Address: s.meshAddress(),
		Upstream: func() string { return r.follower.Leader() }, Term: func() uint64 { return r.follower.Term() },
	}
	r.borrower.Init()
	r.forwarder = &forwarder.Forwarder{
		Regulator: r.regulator, Granter: r.granter, Isolator: r.isolator, QuotaEnforcer: r.borrower,
		Clock: r.Clock, Log: r.Log, Zone: s.Instance.Zone, Meter: r.meter, RequestAdapters: r.want, Off: s.off(),
		Budget: forwarder.RetryBudget{Window: s.Budget.Window, Ratio: s.Budget.Ratio, Slack: s.Budget.Slack},
		Keys:   forwarder.KeyPolicy{Strict: s.Keys.Strict, StaleAfter: s.Keys.StaleAfter},
		Sender: &sender.Sender{
			Clock: r.Clock, DialTimeout: s.Backends.DialTimeout, MaxIdle: s.Backends.MaxIdle,
			IdleMargin: s.Backends.IdleMargin, UserTimeout: s.Backends.Unacknowledged, IsOwnResponse: ownAnswer,
		},
	}
	r.regulator.OnPeerPauses = r.forwarder.ObservePeerPauses
	r.forwarder.Init()
	self := &wire.GatewayEntry{Address: s.meshAddress(), Zone: s.Instance.Zone}
	r.relayer = &relayer.Relayer{
		Clock: r.Clock, Log: r.Log, Meter: r.meter, Self: self, Apply: r.forwarder.Apply, Loads: r.forwarder.Loads,
		AddDemand: r.forwarder.AddDemand, RequestAdapters: r.want, ReceiveRunReports: r.isolator.ReceiveReports,
		Granter: r.granter,
	}
	r.relayer.Init()
	r.forwarder.LeaderAge = r.relayer.LeaderAge
	r.follower = &synchronizer.Synchronizer{
		Clock: r.Clock, Log: r.Log, Gateway: s.Instance.Name, Self: self, Seeds: func() []string { return *r.seeds.Load() },
		Relayer: r.relayer, Demand: r.forwarder.TakeDemand, TableVersion: r.forwarder.TableVersion, RunReports: r.isolator.Reports,
		Granter: r.granter,
	}
	r.door = &doorkeeper.Doorkeeper{
		Clock: r.Clock, Log: r.Log, Address: s.Instance.Listen, Handle: r.forwarder.Handle,
		Screen: r.forwarder.Screen,
		Limits: r.forwarder.Limits, MaxConnections: s.Instance.MaxFiles / callerShare,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", r.ready)
	mux.Handle("GET /metrics", r.meter.Handler())
	r.health = &server.Server{Address: s.Instance.Health, Handler: mux, Log: r.Log}
	calls := http.NewServeMux()
	calls.Handle(wire.MeshPathPrefix, wire.NewMeshServer(r.relayer))
	calls.Handle(wire.LimitsPathPrefix, wire.NewLimitsServer(r.borrower))
	calls.Handle(wire.ThrottlingPathPrefix, wire.NewThrottlingServer(&granter.Server{Granter: r.granter}))
	calls.Handle(wire.PacingPathPrefix, wire.NewPacingServer(&regulator.Server{Regulator: r.regulator}))
	r.mesh = &server.Server{Address: s.meshAddress(), Handler: calls, Log: r.Log}
}

// wordAge returns how old the leader's word is that is known here.
func (r *Routed) wordAge() time.Duration { return r.relayer.LeaderAge() }

func ownAnswer(head *framer.ResponseHead, requestID string) (bool, time.Duration) {
	answer := platform.DecodeAnswer(head)
	// An answer without an id may be this request's; whether it is valid is checked later.
	return answer.RequestID == requestID || answer.RequestID == "", answer.IdleTimeout
}

// ready answers 200 while the instance can serve requests and is not stopping.
func (r *Routed) ready(w http.ResponseWriter, _ *http.Request) {
	if r.stopping.Load() || !r.forwarder.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// want passes a request for adapters on. When too many wait, it is dropped: the
// balancer asks again.
func (r *Routed) want(wants []*wire.Want) {
	select {
	case r.wants <- wants:
	default:
		r.Log.Warn("requests for adapters were dropped", "Adapters", len(wants))
	}
}

func (r *Routed) acquire(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case wants := <-r.wants:
			for more := true; more; {
				select {
				case next := <-r.wants:
					wants = append(wants, next...)
				default:
					more = false
				}
			}
			r.follower.Acquire(ctx, wants)
		}
	}
}

// reload takes over what may change while the process runs: the seeds.
func (r *Routed) reload() {
	settings, faults := ReadRouted(r.File)
	if len(faults) > 0 {
		for _, fault := range faults {
			r.Log.Error("the settings are not taken over", "Fault", fault.String())
		}
		return
	}
	seeds := settings.seedAddresses()
	r.seeds.Store(&seeds)
	r.Log.Info("the settings were read again", "Seeds", settings.Controllers.Seeds)
}

// stop says at once that the instance is not ready, goes on serving until the balancer
// in front has looked elsewhere, and ends what runs.
func (r *Routed) stop() error {
	s := r.Settings.Stop
	r.Log.Info("the gateway stops")
	r.stopping.Store(true)
	r.door.Quiesce()
	<-r.Clock.After(s.Take)
	r.forwarder.Close()
	<-r.Clock.After(s.Drain - s.Take)
	ctx, cancel := context.WithTimeout(context.Background(), s.Grace-s.Drain-stopMargin)
	defer cancel()
	err := r.door.Stop(ctx)
	if err != nil {
		r.Log.Warn("requests were still being answered", "Error", err.Error())
	}
	r.Log.Info("the gateway has stopped")
	return nil
}
