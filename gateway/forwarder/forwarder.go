// Package forwarder sends a caller's request to a backend server and relays the answer: find
// the route, wait for a backend server, send, check, relay. Whether a request may be retried
// follows from its route and from what is certain about the last attempt.
package forwarder

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/acceptor"
	"bronzelead.example/gateway/granter"
	"bronzelead.example/gateway/isolator"
	"bronzelead.example/gateway/originfinder"
	"bronzelead.example/gateway/quotaenforcer"
	"bronzelead.example/gateway/regulator"
	"bronzelead.example/gateway/sender"
	"bronzelead.example/gateway/tunneler"
	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/ageestimator"
	"bronzelead.example/pkg/balancer"
	"bronzelead.example/pkg/matcher"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/pacer"
	"bronzelead.example/pkg/pathtracker"
	"bronzelead.example/pkg/stalldetector"
	"bronzelead.example/pkg/throttler"
	"bronzelead.example/pkg/versiontracker"
	"bronzelead.example/pkg/wire"
)

const (
	// pumpInterval is the time between two checks of waiting requests when nothing happens.
	pumpInterval = 20 * time.Millisecond
	// stallThreshold is how late a check may be before the gateway counts as having stalled.
	stallThreshold = 10 * pumpInterval
	// sweepInterval is the time between two closings of idle connections, and between two log
	// lines on refusals for the same reason.
	sweepInterval = time.Second
	// retryAfterNoTable is the retry time at a gateway that has just started.
	retryAfterNoTable = 300 * time.Millisecond
	// retryAtOtherGateway is the retry time at a gateway that is stopping: at once, since a new
	// connection leads to another gateway.
	retryAtOtherGateway = 20 * time.Millisecond
	// maxSends bounds how often one request is sent, whatever the route allows: rejections that
	// certainly did not run are no attempts, but must not repeat without end.
	maxSends = 4
	// runReserveDivisor gives the part of a request's time that is reserved for its run.
	runReserveDivisor = 5
	// maxRunReserve bounds that time: the longest runs under light load.
	maxRunReserve = 400 * time.Millisecond
)

// Forwarder forwards requests. Set the exported fields, call Init, then Run.
type Forwarder struct {
	Clock  clockwork.Clock
	Log    *slog.Logger
	Zone   string
	Sender *sender.Sender
	Meter  *meter.Meter
	Budget RetryBudget
	Keys   KeyPolicy
	// Disabled are the mechanisms that an experiment disables.
	Disabled ablator.Disabled
	// Regulator paces prompts; nil sends them at once.
	Regulator *regulator.Regulator
	// Isolator quarantines the requests that crash backend servers.
	Isolator *isolator.Isolator
	// Granter enforces the request limits that backend servers announce.
	Granter *granter.Granter
	// QuotaEnforcer enforces customers' limits; nil admits all requests.
	QuotaEnforcer *quotaenforcer.Enforcer
	// Tunneler opens connections to backend servers through other gateways; nil opens none.
	Tunneler *tunneler.Tunneler
	// Origins remembers and finds the software versions that began streams; nil is for a gateway without
	// others.
	Origins *originfinder.Finder
	// RequestAdapters asks the leader for adapters. It must not block.
	RequestAdapters func(wants []*wire.Want)
	// LeaderAge returns the age of the leader's state that decisions rest on; nil means age 0.
	LeaderAge func() time.Duration

	stop stopping
	// startedAt is when the gateway started; tableKnown is closed by its first table, for which
	// parked requests wait.
	startedAt  time.Time
	tableKnown chan struct{}
	parked     atomic.Int32

	mu             sync.Mutex
	balancer       *balancer.Balancer
	table          *matcher.Matcher
	serviceRetries map[string]*serviceRetries
	// retriesSince is since when retries are counted.
	retriesSince time.Time
	// stalls detects when the gateway did not run.
	stalls       stalldetector.Detector
	waiting      map[*balancer.Waiter]chan balancer.Decision
	demand       map[string]uint32
	gatewayCount uint32
	// gatewaysKnownAt is when a leader first reported the number of gateways.
	gatewaysKnownAt time.Time
	// pacingActivations decide for each service whether its prompts are paced.
	pacingActivations map[string]*pacer.Activation
	// ageEstimators estimate the age of retries, by route.
	ageEstimators map[string]*ageestimator.Estimator
	// streamOutcomes counts the outcomes of streams that ended since the last log line.
	streamOutcomes map[streamOutcome]int
	// requestOutcomes counts, by route, the outcomes of other requests since the last log line.
	requestOutcomes  map[string]map[requestOutcome]int
	outcomesLoggedAt time.Time
	// limitFaultLoggedAt is when an unreadable limit was last logged.
	limitFaultLoggedAt time.Time
	// backoffFaultLoggedAt is when an unreadable backoff was last logged.
	backoffFaultLoggedAt time.Time
	// loadFaultLoggedAt is when an unreadable load was last logged.
	loadFaultLoggedAt time.Time
	// brittleFaultLoggedAt is when an unreadable announcement of being brittle was last logged.
	brittleFaultLoggedAt time.Time
	// brittleSince is since when services are brittle.
	brittleSince map[string]time.Time
	// versions tracks the software versions of backend servers.
	versions versiontracker.Tracker
	// runningStreams are the streams that began here and may be taken up, refreshedAt is when their
	// origins were last reported.
	runningStreams map[*job]struct{}
	refreshedAt    time.Time
	// resumptions counts since the last log line.
	resumptions resumptions
	// pacesLoggedAt is when the paces of backend servers were last logged.
	pacesLoggedAt time.Time
	// constrainedSends counts since the last log line.
	constrainedSends constrainedSends
	// overloadRefusals counts since the last log line.
	overloadRefusals map[overloadRefusal]int
	// paths tracks which backend servers connections can be opened to, and partitionedAt is since
	// when services were logged as not reachable.
	paths         pathtracker.Tracker
	partitionedAt map[string]time.Time
	// probing are the services with a series of probes in progress, and quietProbeAt is when
	// backend servers were last probed since nothing was received from any.
	probing      map[string]bool
	quietProbeAt time.Time
}

// Init prepares the forwarder for calls before Run.
func (f *Forwarder) Init() {
	f.startedAt = f.Clock.Now()
	f.retriesSince = f.startedAt
	f.tableKnown = make(chan struct{})
	f.balancer = &balancer.Balancer{Zone: f.Zone, Disabled: f.Disabled}
	f.stalls = stalldetector.Detector{Threshold: stallThreshold}
	f.stalls.Tick(f.startedAt)
	f.serviceRetries = map[string]*serviceRetries{}
	f.waiting = map[*balancer.Waiter]chan balancer.Decision{}
	f.demand = map[string]uint32{}
	f.streamOutcomes = map[streamOutcome]int{}
	f.requestOutcomes = map[string]map[requestOutcome]int{}
	f.ageEstimators = map[string]*ageestimator.Estimator{}
	f.pacingActivations = map[string]*pacer.Activation{}
	f.constrainedSends = constrainedSends{}
	f.resumptions = resumptions{}
	f.runningStreams = map[*job]struct{}{}
	f.initOrigins()
	f.overloadRefusals = map[overloadRefusal]int{}
	f.brittleSince = map[string]time.Time{}
	f.initPaths()
	f.initIsolator()
	f.initGranter()
}

// initGranter creates a granter without other gateways if none is set.
func (f *Forwarder) initGranter() {
	if f.Granter == nil {
		f.Granter = &granter.Granter{Clock: f.Clock, Log: f.Log, Meter: f.Meter}
		f.Granter.Init()
	}
}

// Run serves waiting requests as time passes, until ctx ends.
func (f *Forwarder) Run(ctx context.Context) {
	pump := f.Clock.NewTicker(pumpInterval)
	defer pump.Stop()
	sweep := f.Clock.NewTicker(sweepInterval)
	defer sweep.Stop()
	probe := f.Clock.NewTicker(probeInterval)
	defer probe.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-pump.Chan():
			f.recordTick()
			f.deliverDecisions()
		case <-probe.Chan():
			f.probePaths(ctx)
		case <-sweep.Chan():
			f.Sender.CloseExpired()
			f.logOutcomes()
			f.logRetries()
			f.logConstrainedSends()
			f.logOverloadRefusals()
			f.logAboveShare()
			f.logPaths()
			f.logBrittle()
			f.logResumptions()
			f.refreshOrigins()
			f.measurePaces()
		}
	}
}

// Apply applies a state update of a controller, with complete holdings.
func (f *Forwarder) Apply(controller string, res *wire.SyncResponse) {
	now := f.Clock.Now()
	f.mu.Lock()
	if t := res.GetTable(); t != nil && (f.table == nil || t.GetVersion() > f.table.Table().GetVersion()) {
		if f.table == nil {
			close(f.tableKnown)
		}
		f.table = matcher.New(t)
		f.pruneAgeEstimators(t)
		if f.QuotaEnforcer != nil {
			f.QuotaEnforcer.SetCustomers(t.GetCustomers())
		}
		f.setSharingCustomers(t.GetCustomers())
		f.Log.Info("a table is in force", "Version", t.GetVersion(), "Controller", controller, "Routes", len(t.GetRoutes()))
	}
	mixed := f.applyAnnouncements(now, res.GetAnnouncements())
	for _, v := range res.GetVersions() {
		f.balancer.SetVersion(v)
	}
	for _, h := range res.GetHoldings() {
		f.balancer.SetLoadedAdapters(res.GetTerm(), h)
	}
	for _, adapter := range res.GetDeclined() {
		f.balancer.Decline(adapter)
	}
	if res.GetHasLoads() {
		f.balancer.SetLoads(now, res.GetLoads())
		f.balancer.ObserveLoads(now, res.GetLoads())
	}
	if res.GetLeads() {
		f.applyLeaderState(now, res)
	}
	if f.Regulator != nil {
		f.Regulator.UpdateGateways(controller, res)
		f.Regulator.ReceiveLoads(res.GetLoads())
	}
	f.mu.Unlock()
	if len(mixed) > 0 {
		// The caller holds the lock of the list of gateways.
		go f.reportRunning(mixed)
	}
	f.Granter.ReceiveLimits(res.GetRequestLimits(), throttler.News)
	f.deliverDecisions()
}

// applyLeaderState applies what only the leader knows. The caller holds the lock.
func (f *Forwarder) applyLeaderState(now time.Time, res *wire.SyncResponse) {
	for _, v := range res.GetEarlierVersions() {
		f.versions.RecordUse(now, v.GetService(), v.GetVersion())
	}
	f.versions.ObserveLeader(now, res.GetTerm(), milliseconds(res.GetObservedMs()))
	// A new leader has not received reports from all gateways yet; the highest number is safe.
	if f.gatewayCount == 0 {
		f.gatewaysKnownAt = now
	}
	f.gatewayCount = max(f.gatewayCount, res.GetGateways())
	if res.GetSuspectsRevision() != 0 {
		f.Isolator.SetSuspects(res.GetSuspectsRevision(), res.GetSuspects())
	}
}

// applyAnnouncements applies changes of backend servers, and returns the services that have several
// software versions from now on. The caller holds the lock.
func (f *Forwarder) applyAnnouncements(now time.Time, list []*wire.Announcement) (mixed []string) {
	for _, a := range list {
		before := f.versions.Mixed(now, a.GetService())
		f.versions.Observe(now, a)
		if !before && f.versions.Mixed(now, a.GetService()) {
			mixed = append(mixed, a.GetService())
		}
		if f.balancer.Backend(a.GetId()) == nil {
			f.paths.RecordAnnounced(now, a.GetService(), a.GetId())
		}
		f.balancer.UpdateBackend(now, a)
		f.Isolator.ObserveAnnouncement(a)
		if a.GetReplaced() || a.GetGone() {
			f.paths.Forget(a.GetService(), a.GetId())
		}
		switch {
		case a.GetReplaced():
			f.Sender.CloseAll(a.GetId())
			f.Granter.Forget(a.GetId())
		case a.GetGone():
			f.Sender.CloseIdle(a.GetId())
			f.Granter.Forget(a.GetId())
		}
	}
	return mixed
}

// TableVersion returns the version of the table in force, 0 before the first.
func (f *Forwarder) TableVersion() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table == nil {
		return 0
	}
	return f.table.Table().GetVersion()
}

// Limits returns the table's limits on what callers send.
func (f *Forwarder) Limits() acceptor.Limits {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table == nil {
		return acceptor.Limits{}
	}
	l := f.table.Table().GetLimits()
	return acceptor.Limits{
		HeaderBytes: int(l.GetHeaderBytes()), BodyBytes: int(l.GetBodyBytes()),
		HeaderTimeout: milliseconds(l.GetHeaderTimeoutMs()), IdleTimeout: milliseconds(l.GetIdleTimeoutMs()),
	}
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// Ready reports whether requests can be served.
func (f *Forwarder) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table != nil && f.balancer.Ready()
}

// Loads returns the number of requests in progress at each backend server, what the backend
// servers have announced in their answers, which of them it reaches through other gateways only, and
// the waits at those that it owns.
func (f *Forwarder) Loads() []*wire.Load {
	f.mu.Lock()
	loads := f.addDetoured(f.balancer.Loads(f.Clock.Now()))
	f.mu.Unlock()
	if f.Regulator == nil {
		return loads
	}
	return f.Regulator.AddWaits(loads)
}

// TakeDemand returns and clears the number of requests for each adapter since the last call.
func (f *Forwarder) TakeDemand() []*wire.Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*wire.Demand, 0, len(f.demand))
	for adapter, n := range f.demand {
		list = append(list, &wire.Demand{Adapter: adapter, Requests: n})
	}
	clear(f.demand)
	return list
}

// AddDemand adds the demand of other gateways, to be reported with this gateway's own.
func (f *Forwarder) AddDemand(list []*wire.Demand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range list {
		f.addDemand(d.GetAdapter(), d.GetRequests())
	}
}

// addDemand counts requests for an adapter, unless there are very many adapters. The caller holds the lock.
func (f *Forwarder) addDemand(adapter string, requests uint32) {
	if _, known := f.demand[adapter]; known || len(f.demand) < maxDemandedAdapters {
		f.demand[adapter] += requests
	}
}

// deliverDecisions delivers decisions to waiting requests.
func (f *Forwarder) deliverDecisions() {
	f.mu.Lock()
	var wants []*wire.Want
	if f.balancer.Waiting() > 0 {
		var decisions []balancer.Decision
		decisions, wants = f.balancer.Next(f.Clock.Now())
		for _, d := range decisions {
			if d.Backend == nil {
				f.balancer.CountRefusal(d.Waiter)
			}
			f.waiting[d.Waiter] <- d
			delete(f.waiting, d.Waiter)
		}
	}
	f.mu.Unlock()
	if len(wants) > 0 {
		f.RequestAdapters(wants)
	}
}
