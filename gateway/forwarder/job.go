package forwarder

import (
	"context"
	"math/rand/v2"
	"time"

	"bronzelead.example/gateway/doorkeeper"
	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/balancer"
	"bronzelead.example/pkg/matcher"
	"bronzelead.example/pkg/retrylimiter"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// job is one request on its way.
type job struct {
	req   *doorkeeper.Request
	reply *doorkeeper.Reply
	about platform.Request
	route *wire.Route
	// customer holds the request's key, by the table of the last look; nil if none does.
	customer *wire.RoutedCustomer
	table    *matcher.Matcher
	service  string
	adapter  string
	// askedAt is about when the caller first sent it, before any retry.
	askedAt time.Time
	// until is when the caller's patience or the route's timeout ends.
	until time.Time
	// patience is when the caller itself leaves; zero if it did not say.
	patience time.Time
	// leaves is when the caller of a stream leaves before its first event; zero if never.
	leaves time.Time
	avoid  []string
	// sends counts the tries, and runs those that may have run; last is where the latest
	// went, at sentAt.
	sends  int
	runs   int
	last   *wire.Announcement
	sentAt time.Time
	// resume is the last event that the caller has got; empty before the first.
	resume string
	waited time.Duration
	course course
	// sendBy is when it is no use any more to send it.
	sendBy time.Time
	// prompt is what its engine has to read; nil if it has none.
	prompt *prompt
	// fingerprints name it whichever attempt it is, once that was asked for.
	fingerprints []string
	// begunAt is the try of which a part of the answer has come last, and completed is set
	// once the answer was whole.
	begunAt   int
	completed bool
	// trial is the fingerprint by which it is held back, if it runs once all the same to see
	// whether that is still right.
	trial  string
	charge charge
	grant  grant
	// dispensed is set if its backend server's slots are given out. slotAsks counts those that
	// had none for it, and slowAsks those that were too slow.
	dispensed bool
	slotAsks  int
	slowAsks  int
	// status is what the latest log line says that the caller gets; 0 for a connection that ends.
	status int
}

// Handle answers a request.
func (f *Forwarder) Handle(ctx context.Context, req *doorkeeper.Request, reply *doorkeeper.Reply) {
	j := &job{req: req, reply: reply, about: platform.DecodeRequest(req.Head.Header)}
	if !f.awaitTable(ctx, j) || !f.admit(j) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, j.until.Sub(f.Clock.Now()))
	defer cancel()
	defer f.releaseCharge(j)
	if !f.within(ctx, j) || f.isolated(j) {
		return
	}
	f.backdate(j)
	f.count(j)
	defer f.endTrial(j)
	defer f.tally(j)
	for f.try(ctx, j) {
	}
}

// Close refuses requests from here on; those that were taken go on.
func (f *Forwarder) Close() { f.closed.Store(true) }

// admit finds the route and the time of a request, or refuses it.
func (f *Forwarder) admit(j *job) bool {
	if f.closed.Load() {
		f.refuse(j, statusUnavailable, "this gateway stops", retryElsewhere)
		return false
	}
	f.mu.Lock()
	table := f.table
	f.mu.Unlock()
	if table == nil {
		f.refuse(j, statusUnavailable, "no table is known yet", retryWithoutTable)
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
	j.table, j.customer = table, table.CustomerByKey(j.about.Key)
	if j.customer == nil && table.RequiresKey(j.route) {
		f.refuseKey(j)
		return false
	}
	j.service = matcher.PickService(j.route, rand.Float64())
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
	return true
}

// count counts a request that was let in.
func (f *Forwarder) count(j *job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget(j.service).RecordRequest(f.Clock.Now())
	if j.adapter != "" {
		f.demand[j.adapter]++
	}
}

func isAdapter(model string) bool {
	_, adapter, _ := platform.SplitAdapter(model)
	return adapter != ""
}

// budget returns the budget of a service. The caller holds the lock.
func (f *Forwarder) budget(service string) *retrylimiter.Limiter {
	b := f.budgets[service]
	if b == nil {
		b = &retrylimiter.Limiter{Window: f.Budget.Window, Ratio: f.budgetMargin() * f.Budget.Ratio}
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
	slack := f.budgetMargin() * f.Budget.Slack / float64(gateways)
	return f.budget(service).AllowRetry(f.Clock.Now(), slack)
}

// repeats reports whether a request may be sent again by the budget, and counts it if not.
func (f *Forwarder) repeats(j *job) bool {
	if f.mayRepeat(j.service) {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.addEnding(j, noRepeat)
	return false
}

// budgetMargin is the part of the budget that is used: the gateways count by clocks of
// their own, and a gateway that was added is not known to the others at once.
const budgetMargin = 0.9

func (f *Forwarder) budgetMargin() float64 {
	if f.Off.Has(ablator.BudgetMargin) {
		return 1
	}
	return budgetMargin
}

// assumedGateways is the number of gateways that is assumed before a leader has told it:
// a high one, since the budget is shared by all.
const assumedGateways = 100

// waitObjectives is how many times the objective a stream's first try waits for a backend
// server. What has not come by then is mostly an adapter behind many others; the caller
// learns at once when to retry, and finds it loaded.
const waitObjectives = 2

// fresh reports whether a request is probably a caller's first try: later ones have less
// time left than the route gives, and use all of it.
func (j *job) fresh() bool {
	full := milliseconds(j.route.GetTimeoutMs())
	return j.route.GetRepetition() == wire.Repetition_REPETITION_STREAM && j.about.Patience >= full-full/10
}

// reserve is the part of a request's time until then that is kept for its run.
func reserve(j *job, until time.Time) time.Duration {
	return min(until.Sub(j.req.ReceivedAt)/runReserve, maxRunReserve)
}

// choose waits for a backend server.
func (f *Forwarder) choose(ctx context.Context, j *job) (balancer.Decision, bool) {
	until := j.until
	if !j.leaves.IsZero() && j.leaves.Before(until) {
		until = j.leaves
	}
	j.sendBy = until.Add(-reserve(j, until))
	if first := j.req.ReceivedAt.Add(waitObjectives * milliseconds(j.route.GetObjectiveMs())); j.fresh() && first.Before(until) {
		until = first
	}
	w := &balancer.Waiter{
		ID: j.about.ID, Service: j.service, Adapter: j.adapter, Urgency: j.urgency(),
		Tokens: j.about.PromptTokens, Deadline: until.Add(-reserve(j, until)), Avoid: j.avoid,
		UsesSlotGrants: j.dispensed,
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
		j.course.lacked = j.course.lacked || w.WaitedForAdapter()
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
	ejected := f.balancer.Done(f.Clock.Now(), backend, j.adapter, j.about.PromptTokens, outcome)
	f.mu.Unlock()
	if ejected > 0 {
		f.Log.Info("backend server ejected for its failures", "Backend", backend, "Service", j.service,
			"For", ejected.Milliseconds(), "RequestID", j.about.ID)
	}
	f.pump()
}
