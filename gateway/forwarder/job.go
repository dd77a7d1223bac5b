package forwarder

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"bronzelead.example/gateway/acceptor"
	"bronzelead.example/gateway/sender"
	"bronzelead.example/pkg/balancer"
	"bronzelead.example/pkg/matcher"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

const (
	// promptPartBytes is the memory that a part of a prompt takes, and freePromptParts is how many of them are kept without
	// reserving it.
	promptPartBytes = 64
	freePromptParts = 64
	// retryAfterNoMemory is when to come back after a refusal because memory is short.
	retryAfterNoMemory = time.Second
	reasonNoMemory     = "memory for requests is short"
	reasonStopping     = "this gateway stops"
	// maxModelName limits the name of a model with its adapter, in bytes: gateways and controllers keep it for some time.
	maxModelName   = 512
	reasonLongName = "the name of the model is too long"
	// maxDemandedAdapters bounds the adapters whose demand is kept for the next report.
	maxDemandedAdapters = 1 << 14
)

// job is the state of one request.
type job struct {
	req   *acceptor.Request
	reply *acceptor.Reply
	meta  platform.Request
	route *wire.Route
	// context ends when it does.
	context *requestContext
	// customer is the holder of the request's key by the table checked last; nil if there is
	// none.
	customer *wire.RoutedCustomer
	table    *matcher.Matcher
	service  string
	adapter  string
	// atEngine is set if the service's backend servers hold models.
	atEngine bool
	// firstSentAt is the estimated time at which the caller first sent it, before any retry.
	firstSentAt time.Time
	// deadline is when the client timeout or the route's timeout ends.
	deadline time.Time
	// clientDeadline is when the client timeout ends; zero if the caller did not state one.
	clientDeadline time.Time
	// firstEventDeadline is when a stream's caller disconnects without a first event; zero if
	// never.
	firstEventDeadline time.Time
	avoid              []string
	// sends counts the attempts, and runs those that may have run; lastBackend received the
	// latest one, at sentAt.
	sends       int
	runs        int
	lastBackend *wire.Announcement
	sentAt      time.Time
	// connections carried its attempts.
	connections sender.Connections
	// retryAllowedAt is when the retry budget allowed a retry that is still to be sent; zero for none.
	retryAllowedAt time.Time
	// via is the gateway that the latest answer came through; empty if it came directly.
	via string
	// lastEventID is the last event that the caller has received; empty before the first.
	lastEventID string
	// origin is what is known of the software version that began its stream.
	origin   streamOrigin
	waited   time.Duration
	progress streamProgress
	// sendBy is the time after which sending it is of no use.
	sendBy time.Time
	// prompt is the granted prompt that its engine has to read; nil if it has none.
	prompt *grantedPrompt
	// slot is the granted slot of its backend server; nil if it needed none.
	slot *grantedPrompt
	// fingerprints identify the request over all its attempts, once they were computed.
	fingerprints []string
	// begunAttempt is the latest attempt of which a part of the answer arrived, first at begunAt, and
	// completed is set once the answer was complete. answering is set once it was reported that
	// the attempt goes on answering.
	begunAttempt int
	begunAt      time.Time
	answering    bool
	completed    bool
	// trial is the fingerprint by which it is quarantined, if it runs once nonetheless to test
	// whether that is still justified.
	trial  string
	charge charge
	grant  limitGrant
	// paused is the backend server that would have accepted it first, if it was refused because
	// none did in time.
	paused string
	// usesSlotGrants is set if its backend server's slots are granted. slotRequests counts the
	// backend servers that had no slot for it, and slowSlotRequests those that were too slow.
	usesSlotGrants   bool
	slotRequests     int
	slowSlotRequests int
	// rejected is set if the latest attempt was rejected for want of room.
	rejected bool
	// busy are the backend servers that are known to be too busy for the current attempt.
	busy []string
	// status is the caller's status by the latest log line; 0 for a connection that is closed.
	status int
}

// Handle answers a request.
func (f *Forwarder) Handle(ctx context.Context, req *acceptor.Request, reply *acceptor.Reply) {
	j := &job{req: req, reply: reply, meta: platform.DecodeRequest(req.Head.Header)}
	if n := len(j.meta.PromptParts); n > freePromptParts && !req.Reserve(int64(n)*promptPartBytes) {
		f.refuse(j, statusUnavailable, reasonNoMemory, retryAfterNoMemory)
		return
	}
	if !f.awaitTable(ctx, j) || !f.admit(j) {
		return
	}
	ctx, release := f.newRequestContext(ctx, j)
	defer release()
	defer f.releaseQuota(j)
	if !f.reserveQuota(ctx, j) || f.refuseQuarantined(j) {
		return
	}
	f.estimateFirstSent(j)
	f.countRequest(j)
	defer f.endTrial(j)
	defer f.recordRequestOutcome(j)
	defer f.withdrawRetry(j)
	defer f.endStream(j)
	if !f.findOrigin(ctx, j) {
		return
	}
	for f.attempt(ctx, j) {
	}
}

// admit determines the route and the deadline of a request, or refuses it.
func (f *Forwarder) admit(j *job) bool {
	if f.stop.closed.Load() {
		f.refuse(j, statusUnavailable, reasonStopping, retryAtOtherGateway)
		return false
	}
	f.mu.Lock()
	table := f.table
	f.mu.Unlock()
	if table == nil {
		f.refuse(j, statusUnavailable, "no table is known yet", retryAfterNoTable)
		return false
	}
	j.route = table.Match(j.req.Head.Header.Get("Host"), j.req.Head.Target)
	if j.route == nil {
		f.refuse(j, statusNotFound, "no route matches", 0)
		return false
	}
	if j.meta.ID == "" {
		f.refuse(j, statusBadRequest, "the request has no id", 0)
		return false
	}
	j.table, j.customer = table, table.CustomerByKey(j.meta.Key)
	if j.customer == nil && table.RequiresKey(j.route) {
		f.refuseKey(j)
		return false
	}
	if len(j.meta.Model) > maxModelName {
		f.refuse(j, statusBadRequest, reasonLongName, 0)
		return false
	}
	f.setService(j, matcher.PickService(j.route, rand.Float64()))
	j.deadline = j.req.ReceivedAt.Add(milliseconds(j.route.GetTimeoutMs()))
	if j.meta.ClientTimeout > 0 {
		j.clientDeadline = j.req.ReceivedAt.Add(j.meta.ClientTimeout)
		if j.clientDeadline.Before(j.deadline) {
			j.deadline = j.clientDeadline
		}
	}
	if !f.endsInTime(j) {
		f.refuse(j, statusUnavailable, reasonStopping, retryAtOtherGateway)
		return false
	}
	if firstEventTimeout := milliseconds(j.route.GetPatienceMs()); firstEventTimeout > 0 {
		j.firstEventDeadline = j.req.ReceivedAt.Add(firstEventTimeout)
	}
	j.lastEventID = j.meta.ResumeAfter
	return true
}

// setService sets the service that serves a request.
func (f *Forwarder) setService(j *job, service string) {
	j.service, j.adapter = service, ""
	j.atEngine = j.table.Service(service).GetEngine() != nil
	if j.atEngine && isAdapter(j.meta.Model) {
		j.adapter = j.meta.Model
	}
}

// countRequest counts an admitted request.
func (f *Forwarder) countRequest(j *job) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.retries(j.service).limiter.RecordRequest(f.Clock.Now(), f.stalls.SentSince(j.req.ReceivedAt))
	if j.adapter != "" {
		f.addDemand(j.adapter, 1)
	}
}

func isAdapter(model string) bool {
	_, adapter, _ := platform.SplitAdapter(model)
	return adapter != ""
}

// firstAttemptObjectives is how many times the objective a stream's first attempt waits for a
// backend server. A request that waits longer mostly needs an adapter behind many others; the
// caller learns early when to retry, and then finds the adapter loaded.
const firstAttemptObjectives = 2

// isFirstAttempt reports whether a request is probably a caller's first attempt: later ones
// have less time left than the route gives, and use all of it.
func (j *job) isFirstAttempt() bool {
	full := milliseconds(j.route.GetTimeoutMs())
	return j.route.GetRepetition() == wire.Repetition_REPETITION_STREAM && j.meta.ClientTimeout >= full-full/10
}

// runReserve returns the part of a request's time up to the deadline that is reserved for its
// run.
func runReserve(j *job, until time.Time) time.Duration {
	return min(until.Sub(j.req.ReceivedAt)/runReserveDivisor, maxRunReserve)
}

// choose waits for a backend server.
func (f *Forwarder) choose(ctx context.Context, j *job) (balancer.Decision, bool) {
	until := j.deadline
	if !j.firstEventDeadline.IsZero() && j.firstEventDeadline.Before(until) {
		until = j.firstEventDeadline
	}
	j.sendBy = until.Add(-runReserve(j, until))
	if first := j.req.ReceivedAt.Add(firstAttemptObjectives * milliseconds(j.route.GetObjectiveMs())); j.isFirstAttempt() && first.Before(until) {
		until = first
	}
	w := &balancer.Waiter{
		ID: j.meta.ID, Service: j.service, Adapter: j.adapter, Urgency: j.urgency(), Customer: f.sharingCustomer(j),
		Tokens: j.meta.PromptTokens, Deadline: until.Add(-runReserve(j, until)), Avoid: slices.Concat(j.busy, j.avoid),
		Pin: j.pin(), UsesSlotGrants: j.usesSlotGrants,
	}
	decided := make(chan balancer.Decision, 1)
	began := f.Clock.Now()
	f.mu.Lock()
	f.balancer.Enqueue(w)
	f.waiting[w] = decided
	f.mu.Unlock()
	f.deliverDecisions()
	select {
	case d := <-decided:
		j.waited += f.Clock.Since(began)
		j.progress.adapterMissing = j.progress.adapterMissing || w.WaitedForAdapter()
		return d, true
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case d := <-decided:
		if d.Backend != nil {
			f.balancer.Done(f.Clock.Now(), d.Backend.GetId(), j.adapter, j.meta.PromptTokens, balancer.Abandoned)
			f.refundShare(j)
		}
	default:
		f.balancer.Cancel(w)
		delete(f.waiting, w)
	}
	return balancer.Decision{}, false
}

func (f *Forwarder) recordOutcome(j *job, backend string, outcome balancer.Outcome) {
	f.mu.Lock()
	ejected := f.balancer.Done(f.Clock.Now(), backend, j.adapter, j.meta.PromptTokens, outcome)
	if outcome == balancer.Full || outcome == balancer.Unreachable || outcome == balancer.Absent {
		f.refundShare(j)
	}
	f.mu.Unlock()
	if outcome == balancer.Full || outcome == balancer.Unreachable || outcome == balancer.Absent {
		f.recordNotRun(j)
	}
	if ejected > 0 {
		f.Log.Info("ejected a failing backend server", "Backend", backend, "Service", j.service,
			"For", ejected.Milliseconds(), "RequestID", j.meta.ID)
	}
	f.deliverDecisions()
}
