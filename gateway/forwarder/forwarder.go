// Package forwarder takes a caller's request to a backend server and its answer back:
// find the route, wait for a backend server, send, check, relay. What may be sent again
// follows from the route and from what is certain about the last try.
package forwarder

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/doorkeeper"
	"bronzelead.example/gateway/granter"
	"bronzelead.example/gateway/isolator"
	"bronzelead.example/gateway/quotaenforcer"
	"bronzelead.example/gateway/regulator"
	"bronzelead.example/gateway/sender"
	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/ageestimator"
	"bronzelead.example/pkg/balancer"
	"bronzelead.example/pkg/matcher"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/pacer"
	"bronzelead.example/pkg/retrylimiter"
	"bronzelead.example/pkg/throttler"
	"bronzelead.example/pkg/wire"
)

const (
	// pumpEvery is the time between two looks at waiting requests when nothing happens.
	pumpEvery = 20 * time.Millisecond
	// sweepEvery is the time between two closings of idle connections.
	sweepEvery = time.Second
	// retryWithoutTable is the retry time at a gateway that has just started.
	retryWithoutTable = 300 * time.Millisecond
	// retryElsewhere is the retry time at a gateway that stops: at once, since a new
	// connection leads to another one.
	retryElsewhere = 20 * time.Millisecond
	// maxSends bounds how often one request is sent, whatever the route allows: refusals
	// that certainly did not run are no attempts, but must not go on for ever.
	maxSends = 4
	// runReserve is the part, as a divisor, of a request's time that is kept for its run.
	runReserve = 5
	// maxRunReserve bounds that time: the longest runs that were seen at little load.
	maxRunReserve = 400 * time.Millisecond
)

// Budget says how many requests may be sent again.
type Budget struct {
	Window time.Duration
	Ratio  float64
	// Slack is the number of repeats in a window, over all gateways, beside the ratio.
	Slack float64
}

// Forwarder forwards requests. Set the exported fields, call Init, then Run.
type Forwarder struct {
	Clock  clockwork.Clock
	Log    *slog.Logger
	Zone   string
	Sender *sender.Sender
	Meter  *meter.Meter
	Budget Budget
	Keys   Keys
	// Off are the mechanisms that an experiment does without.
	Off ablator.Disabled
	// Regulator paces prompts; nil sends them at once.
	Regulator *regulator.Regulator
	// Isolator knows the requests that end backend servers.
	Isolator *isolator.Isolator
	// Granter keeps backend servers to the request limits that they announce.
	Granter *granter.Granter
	// Borrower keeps customers to their limits; nil lets all pass.
	Borrower *quotaenforcer.Enforcer
	// Acquire asks the leader for adapters. It must not block.
	Acquire func(wants []*wire.Want)
	// NewsAge returns how old the leader's word is that decisions rest on; nil if nobody asks.
	NewsAge func() time.Duration

	closed atomic.Bool
	// startedAt is when the gateway started; tableKnown is closed by its first table, for
	// which parked requests wait.
	startedAt  time.Time
	tableKnown chan struct{}
	parked     atomic.Int32

	mu       sync.Mutex
	balancer *balancer.Balancer
	table    *matcher.Matcher
	budgets  map[string]*retrylimiter.Limiter
	waiting  map[*balancer.Waiter]chan balancer.Decision
	demand   map[string]uint32
	gateways uint32
	// needs tells for each service whether its prompts are paced.
	needs map[string]*pacer.Activation
	// backdaters estimate the age of retries, by route.
	backdaters map[string]*ageestimator.Estimator
	// verdicts counts how the streams went that have ended since they were logged last.
	verdicts map[verdict]int
	// endings counts, by route, how other requests ended since they were logged last.
	endings   map[string]map[ending]int
	talliedAt time.Time
	// limitFaultAt is when a limit that can't be read was logged last.
	limitFaultAt time.Time
}

// Init prepares the forwarder for calls before Run.
func (f *Forwarder) Init() {
	f.startedAt = f.Clock.Now()
	f.tableKnown = make(chan struct{})
	f.balancer = &balancer.Balancer{Zone: f.Zone, Off: f.Off}
	f.budgets = map[string]*retrylimiter.Limiter{}
	f.waiting = map[*balancer.Waiter]chan balancer.Decision{}
	f.demand = map[string]uint32{}
	f.verdicts = map[verdict]int{}
	f.endings = map[string]map[ending]int{}
	f.backdaters = map[string]*ageestimator.Estimator{}
	f.needs = map[string]*pacer.Activation{}
	f.initIsolator()
	f.initGranter()
}

// initGranter makes a granter without other gateways if none is set.
func (f *Forwarder) initGranter() {
	if f.Granter == nil {
		f.Granter = &granter.Granter{Clock: f.Clock, Log: f.Log, Meter: f.Meter}
		f.Granter.Init()
	}
}

// Run lets time pass for waiting requests until ctx ends.
func (f *Forwarder) Run(ctx context.Context) {
	pump := f.Clock.NewTicker(pumpEvery)
	defer pump.Stop()
	sweep := f.Clock.NewTicker(sweepEvery)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-pump.Chan():
			f.pump()
		case <-sweep.Chan():
			f.Sender.Sweep()
			f.logTallies()
		}
	}
}

// Apply takes news of a controller, with whole holdings.
func (f *Forwarder) Apply(controller string, res *wire.SyncResponse) {
	now := f.Clock.Now()
	f.mu.Lock()
	if t := res.GetTable(); t != nil && (f.table == nil || t.GetVersion() > f.table.Table().GetVersion()) {
		if f.table == nil {
			close(f.tableKnown)
		}
		f.table = matcher.New(t)
		f.forgetRoutes(t)
		if f.Borrower != nil {
			f.Borrower.SetCustomers(t.GetCustomers())
		}
		f.Log.Info("a table is in force", "Version", t.GetVersion(), "Controller", controller, "Routes", len(t.GetRoutes()))
	}
	f.announced(now, res.GetAnnouncements())
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
		f.balancer.SetLoads(res.GetLoads())
	}
	if res.GetLeads() {
		// A leader that has just begun has not heard from all; the highest number is safe.
		f.gateways = max(f.gateways, res.GetGateways())
	}
	if res.GetLeads() && res.GetSuspectsRevision() != 0 {
		f.Isolator.SetSuspects(res.GetSuspectsRevision(), res.GetSuspects())
	}
	if f.Regulator != nil {
		f.Regulator.UpdateGateways(controller, res)
	}
	f.mu.Unlock()
	f.Granter.ReceiveLimits(res.GetRequestLimits(), throttler.News)
	f.pump()
}

// announced takes what is new of backend servers. The caller holds the lock.
func (f *Forwarder) announced(now time.Time, list []*wire.Announcement) {
	for _, a := range list {
		f.balancer.UpdateBackend(now, a)
		f.Isolator.ObserveAnnouncement(a)
		switch {
		case a.GetReplaced():
			f.Sender.Abandon(a.GetId())
			f.Granter.Forget(a.GetId())
		case a.GetGone():
			f.Sender.Forget(a.GetId())
			f.Granter.Forget(a.GetId())
		}
	}
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

// Limits returns the table's bounds on what callers send.
func (f *Forwarder) Limits() doorkeeper.Limits {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.table == nil {
		return doorkeeper.Limits{}
	}
	l := f.table.Table().GetLimits()
	return doorkeeper.Limits{
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

// Loads returns the requests under way at each backend server.
func (f *Forwarder) Loads() []*wire.Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.Loads()
}

// Demand returns and clears the requests for each adapter since the last call.
func (f *Forwarder) Demand() []*wire.Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*wire.Demand, 0, len(f.demand))
	for adapter, n := range f.demand {
		list = append(list, &wire.Demand{Adapter: adapter, Requests: n})
	}
	clear(f.demand)
	return list
}

// AddDemand takes the requests that other gateways have taken, to be told with this one's.
func (f *Forwarder) AddDemand(list []*wire.Demand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, d := range list {
		f.demand[d.GetAdapter()] += d.GetRequests()
	}
}

// pump hands out decisions on waiting requests.
func (f *Forwarder) pump() {
	f.mu.Lock()
	var wants []*wire.Want
	if f.balancer.Waiting() > 0 {
		var decisions []balancer.Decision
		decisions, wants = f.balancer.Next(f.Clock.Now())
		for _, d := range decisions {
			f.waiting[d.Waiter] <- d
			delete(f.waiting, d.Waiter)
		}
	}
	f.mu.Unlock()
	if len(wants) > 0 {
		f.Acquire(wants)
	}
}
