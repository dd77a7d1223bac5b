// Package forwarder takes a caller's request to a backend server and its answer back:
// find the route, wait for a backend server, send, check, relay. What may be sent again
// follows from the route and from what is certain about the last try.
package forwarder

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/doorkeeper"
	"bronzelead.example/gateway/sender"
	"bronzelead.example/pkg/balancer"
	"bronzelead.example/pkg/budgeter"
	"bronzelead.example/pkg/matcher"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

const (
	// pumpEvery is the time between two looks at waiting requests when nothing happens.
	pumpEvery = 20 * time.Millisecond
	// sweepEvery is the time between two closings of idle connections.
	sweepEvery = time.Second
	// comeBackWithoutTable is when to come back to a gateway that has just started.
	comeBackWithoutTable = 300 * time.Millisecond
	// comeBackElsewhere is when to come back to a gateway that stops: at once, since a new
	// connection leads to another one.
	comeBackElsewhere = 20 * time.Millisecond
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
	// Acquire asks the leader for adapters. It must not block.
	Acquire func(wants []*wire.Want)

	closed   atomic.Bool
	mu       sync.Mutex
	balancer *balancer.Balancer
	table    *matcher.Matcher
	budgets  map[string]*budgeter.Budgeter
	waiting  map[*balancer.Waiter]chan balancer.Decision
	demand   map[string]uint32
	gateways uint32
}

// Init prepares the forwarder for calls before Run.
func (f *Forwarder) Init() {
	f.balancer = &balancer.Balancer{Zone: f.Zone}
	f.budgets = map[string]*budgeter.Budgeter{}
	f.waiting = map[*balancer.Waiter]chan balancer.Decision{}
	f.demand = map[string]uint32{}
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
		}
	}
}

// Apply takes news from a controller.
func (f *Forwarder) Apply(controller string, res *wire.SyncResponse) {
	now := f.Clock.Now()
	f.mu.Lock()
	if t := res.GetTable(); t != nil && (f.table == nil || t.GetVersion() > f.table.Table().GetVersion()) {
		f.table = matcher.New(t)
		f.Log.Info("a table is in force", "Version", t.GetVersion(), "Controller", controller, "Routes", len(t.GetRoutes()))
	}
	for _, a := range res.GetAnnouncements() {
		f.balancer.Announce(now, a)
		if a.GetGone() {
			f.Sender.Forget(a.GetId())
		}
	}
	for _, v := range res.GetVersions() {
		f.balancer.SetVersion(v)
	}
	if res.GetLeads() {
		for _, h := range res.GetHoldings() {
			f.balancer.SetHolding(res.GetTerm(), h)
		}
		f.balancer.SetLoads(res.GetLoads())
		// A leader that has just begun has not heard from all; the highest number is safe.
		f.gateways = max(f.gateways, res.GetGateways())
	}
	f.mu.Unlock()
	f.pump()
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

// job is one request on its way.
type job struct {
	req     *doorkeeper.Request
	reply   *doorkeeper.Reply
	about   platform.Request
	route   *wire.Route
	service string
	adapter string
	// until is when the caller's patience or the route's timeout ends.
	until time.Time
	// patience is when the caller itself leaves; zero if it did not say.
	patience time.Time
	// leaves is when the caller of a stream leaves before its first event; zero if never.
	leaves time.Time
	avoid  []string
	// sends counts the tries, and runs those that may have run; last is where the latest
	// went.
	sends int
	runs  int
	last  *wire.Announcement
	// resume is the last event that the caller has got; empty before the first.
	resume string
	waited time.Duration
}

// Handle answers a request.
func (f *Forwarder) Handle(ctx context.Context, req *doorkeeper.Request, reply *doorkeeper.Reply) {
	j := &job{req: req, reply: reply, about: platform.DecodeRequest(req.Head.Header)}
	if !f.admit(j) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, j.until.Sub(f.Clock.Now()))
	defer cancel()
	for f.try(ctx, j) {
	}
}

// Close refuses requests from here on; those that were taken go on.
func (f *Forwarder) Close() { f.closed.Store(true) }

// admit finds the route and the time of a request, or refuses it.
func (f *Forwarder) admit(j *job) bool {
	if f.closed.Load() {
		f.refuse(j, statusUnavailable, "this gateway stops", comeBackElsewhere)
		return false
	}
	f.mu.Lock()
	table := f.table
	f.mu.Unlock()
	if table == nil {
		f.refuse(j, statusUnavailable, "no table is known yet", comeBackWithoutTable)
		return false
	}
	j.route = table.Match(j.req.Head.Header.Get("Host"), j.req.Head.Target)
	if j.route == nil {
		f.refuse(j, statusNotFound, "no route matches", 0)
		return false
	}
	if j.about.ID == "" {
		f.refuse(j, statusBadRequest, "the request has no id", 0)
		return false
	}
	j.service = matcher.Pick(j.route, rand.Float64())
	if s := table.Service(j.service); s.GetEngine() != nil && isAdapter(j.about.Model) {
		j.adapter = j.about.Model
	}
	j.until = j.req.ReceivedAt.Add(milliseconds(j.route.GetTimeoutMs()))
	if j.about.Patience > 0 {
		j.patience = j.req.ReceivedAt.Add(j.about.Patience)
		if j.patience.Before(j.until) {
			j.until = j.patience
		}
	}
	if patience := milliseconds(j.route.GetPatienceMs()); patience > 0 {
		j.leaves = j.req.ReceivedAt.Add(patience)
	}
	j.resume = j.about.Resumes
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget(j.service).Request(f.Clock.Now())
	if j.adapter != "" {
		f.demand[j.adapter]++
	}
	return true
}

func isAdapter(model string) bool {
	_, adapter, _ := platform.SplitAdapter(model)
	return adapter != ""
}

// budget returns the budget of a service. The caller holds the lock.
func (f *Forwarder) budget(service string) *budgeter.Budgeter {
	b := f.budgets[service]
	if b == nil {
		b = &budgeter.Budgeter{Window: f.Budget.Window, Ratio: budgetMargin * f.Budget.Ratio}
		f.budgets[service] = b
	}
	return b
}

// mayRepeat takes a repeat from the budget, of which each gateway has a share.
func (f *Forwarder) mayRepeat(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	gateways := f.gateways
	if gateways == 0 {
		gateways = assumedGateways
	}
	slack := budgetMargin * f.Budget.Slack / float64(gateways)
	return f.budget(service).Allow(f.Clock.Now(), slack)
}

// budgetMargin is the part of the budget that is used: the gateways count by clocks of
// their own, and a gateway that was added is not known to the others at once.
const budgetMargin = 0.9

// assumedGateways is the number of gateways that is assumed before a leader has told it:
// a high one, since the budget is shared by all.
const assumedGateways = 100

// waitObjectives is how many times the objective a stream's first try waits for a backend
// server. What has not come by then is mostly an adapter behind many others; the caller
// learns at once when to come back, and finds it loaded.
const waitObjectives = 2

// fresh reports whether a request is probably a caller's first try: later ones have less
// time left than the route gives, and use all of it.
func (j *job) fresh() bool {
	full := milliseconds(j.route.GetTimeoutMs())
	return j.route.GetRepetition() == wire.Repetition_REPETITION_STREAM && j.about.Patience >= full-full/10
}

// choose waits for a backend server.
func (f *Forwarder) choose(ctx context.Context, j *job) (balancer.Decision, bool) {
	until := j.until
	if !j.leaves.IsZero() && j.leaves.Before(until) {
		until = j.leaves
	}
	if first := j.req.ReceivedAt.Add(waitObjectives * milliseconds(j.route.GetObjectiveMs())); j.fresh() && first.Before(until) {
		until = first
	}
	reserve := min(until.Sub(j.req.ReceivedAt)/runReserve, maxRunReserve)
	w := &balancer.Waiter{
		ID: j.about.ID, Service: j.service, Adapter: j.adapter, Urgency: j.route.GetPriority(),
		Tokens: j.about.PromptTokens, GiveUp: until.Add(-reserve), Avoid: j.avoid,
	}
	decided := make(chan balancer.Decision, 1)
	began := f.Clock.Now()
	f.mu.Lock()
	f.balancer.Enqueue(w)
	f.waiting[w] = decided
	f.mu.Unlock()
	f.pump()
	select {
	case d := <-decided:
		j.waited += f.Clock.Since(began)
		return d, true
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case d := <-decided:
		if d.Backend != nil {
			f.balancer.Done(f.Clock.Now(), d.Backend.GetId(), j.adapter, j.about.PromptTokens, balancer.Abandoned)
		}
	default:
		f.balancer.Cancel(w)
		delete(f.waiting, w)
	}
	return balancer.Decision{}, false
}

func (f *Forwarder) done(j *job, backend string, outcome balancer.Outcome) {
	f.mu.Lock()
	f.balancer.Done(f.Clock.Now(), backend, j.adapter, j.about.PromptTokens, outcome)
	f.mu.Unlock()
	f.pump()
}
