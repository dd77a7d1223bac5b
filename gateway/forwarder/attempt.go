package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"bronzelead.example/gateway/sender"
	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/balancer"
	"bronzelead.example/pkg/framer"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

const (
	statusUnavailable = http.StatusServiceUnavailable
	statusNotFound    = http.StatusNotFound
	statusBadRequest  = http.StatusBadRequest
	statusNoKey       = http.StatusUnauthorized
	statusBadGateway  = http.StatusBadGateway
	statusTimeout     = http.StatusGatewayTimeout
	statusMisdirected = http.StatusMisdirectedRequest
)

// attempt sends a request once and reports whether to retry it.
func (f *Forwarder) attempt(ctx context.Context, j *job) bool {
	j.usesSlotGrants, j.rejected = f.needsSlotGrant(j), false
	if f.allBusy(j) {
		f.countSlotOutcome(slotRefusedLocally)
		f.refuseOverloaded(j, slotRefusedLocally)
		return false
	}
	d, decided := f.choose(ctx, j)
	if !decided {
		f.handleExpiry(ctx, j)
		return false
	}
	if d.Backend == nil {
		j.paused = d.Paused
		f.refuseOrFail(j, d.Reason, d.RetryAfter)
		return false
	}
	if j.usesSlotGrants && !f.acquireSlot(ctx, j, d.Backend) {
		return f.refuseSlot(ctx, j, d.Backend)
	}
	defer f.endSlot(j, false)
	if !f.admitPrompt(ctx, j, d.Backend) {
		return f.chooseAgain(ctx, j, d.Backend)
	}
	defer f.abandonPrompt(j)
	if f.refuseQuarantined(j) {
		// While the request waited, it was found to crash backend servers.
		f.recordUnsent(j, d.Backend.GetId())
		return false
	}
	if !f.revalidateKey(j) || !f.reserveQuota(ctx, j) {
		f.recordUnsent(j, d.Backend.GetId())
		return false
	}
	if !f.throttle(ctx, j, d.Backend) {
		return f.chooseAgain(ctx, j, d.Backend)
	}
	f.spendQuota(j)
	j.sends++
	j.lastBackend, j.sentAt = d.Backend, f.Clock.Now()
	f.recordSent(j)
	in, err := f.Sender.Send(ctx, f.outgoing(j, d))
	if err != nil {
		return f.handleSendError(ctx, j, d.Backend, err)
	}
	return f.handleResponse(ctx, j, d, in)
}

// handleResponse handles the answer to an attempt, and reports whether to retry the request.
func (f *Forwarder) handleResponse(ctx context.Context, j *job, d balancer.Decision, in *sender.Response) bool {
	answer := platform.DecodeResponse(in.Head)
	j.via = in.Via
	found := f.observeEvidence(j, in.Head.Status, answer)
	if found == evidenceContradictory {
		in.Discard()
		j.runs++
		f.recordOutcome(j, d.Backend.GetId(), balancer.Failed)
		return f.handleLostResponse(j, d.Backend, "the answer does not tell whether the request ran")
	}
	f.observeLimit(j, in.Head.Status, answer)
	f.observeConstraints(j, in.Head.Status, answer)
	f.observeLoad(j, in.Head.Status, answer)
	f.observeBrittle(j, in.Head.Status, answer)
	switch {
	case found == evidenceRejected:
		in.Close()
		f.refundQuota(j)
		return f.handleRejection(j, d.Backend, in.Head.Status)
	case !answer.Signed || answer.Encoded:
		in.Close()
		j.runs++
		f.recordOutcome(j, d.Backend.GetId(), balancer.Failed)
		return f.handleLostResponse(j, d.Backend, "the answer is not the backend server's")
	case (in.Head.Status >= http.StatusInternalServerError || found == evidenceUnproved) && f.repeatable(j) && j.runs+1 < f.maxAttempts(j) && f.mayRetry(j):
		in.Close()
		j.runs++
		f.recordOutcome(j, d.Backend.GetId(), balancer.Failed)
		f.Isolator.RecordFailure(j.requestFingerprints, d.Backend.GetId())
		j.avoid = append(j.avoid, d.Backend.GetId())
		f.logEvent(j, d.Backend, "the backend server failed; sent again", in.Head.Status)
		return true
	}
	j.runs++
	if found == evidenceUnproved {
		in.Close()
		f.handleUnproved(j, d.Backend)
		return false
	}
	if j.route.GetRepetition() == wire.Repetition_REPETITION_STREAM && in.Head.Status == http.StatusOK && answer.Events {
		return f.relayStream(ctx, j, d.Backend, in)
	}
	if j.reply.Begun() {
		// The caller would take a failure, or anything else that is not the rest of its stream,
		// for a part of it.
		in.Close()
		f.recordOutcome(j, d.Backend.GetId(), balancer.Failed)
		return f.handleLostResponse(j, d.Backend, "the stream can't go on with this answer, status "+strconv.Itoa(in.Head.Status))
	}
	return f.relayBuffered(ctx, j, d.Backend, in)
}

func (f *Forwarder) outgoing(j *job, d balancer.Decision) *sender.Request {
	dispatch := platform.Dispatch{
		Name: d.Backend.GetName(), AdapterVersion: d.Version, Urgency: -1, ResumeAfter: j.lastEventID, Customer: j.customer.GetName(),
	}
	if !j.clientDeadline.IsZero() {
		dispatch.Remaining = j.deadline.Sub(f.Clock.Now())
	}
	if j.adapter != "" && !f.Disabled.Has(ablator.PriorityOrder) {
		dispatch.Urgency = min(int(j.urgency()), lowestUrgency)
	}
	return &sender.Request{
		Backend: d.Backend.GetId(), Address: d.Backend.GetAddress(), RequestID: j.meta.ID,
		Method: j.req.Head.Method, Target: j.req.Head.Target,
		Header: platform.EncodeDispatch(j.req.Head.Header, dispatch), Body: j.req.Body,
		Permitted: func() bool { return f.permitSend(j, d.Backend.GetId()) }, Used: &j.connections,
	}
}

// lowestUrgency is the lowest urgency that an engine supports.
const lowestUrgency = 9

// repeatable reports whether a request may run again after it may have run.
func (f *Forwarder) repeatable(j *job) bool {
	return j.route.GetRepetition() == wire.Repetition_REPETITION_IDEMPOTENT || j.route.GetResumable()
}

func (f *Forwarder) maxAttempts(j *job) int { return max(1, int(j.route.GetMaxAttempts())) }

// handleSendError handles an attempt without an answer.
func (f *Forwarder) handleSendError(ctx context.Context, j *job, backend *wire.Announcement, err error) bool {
	switch sender.KindOf(err) {
	case sender.KindWithdrawn:
		return f.withdraw(ctx, j, backend)
	case sender.KindNotSent:
		f.countEvidence(evidenceNotSent)
		f.refundQuota(j)
	case sender.KindLost, sender.KindMalformed:
	}
	if ctx.Err() != nil {
		f.recordOutcome(j, backend.GetId(), balancer.Abandoned)
		if sender.KindOf(err) != sender.KindNotSent {
			j.runs++
		}
		f.handleExpiry(ctx, j)
		return false
	}
	if sender.KindOf(err) == sender.KindNotSent {
		if f.Tunneler == nil && sender.IsConnectionRefused(err) {
			f.Isolator.RecordExit(backend.GetId())
		}
		f.recordOutcome(j, backend.GetId(), balancer.Unreachable)
		j.avoid = append(j.avoid, backend.GetId())
		f.logEvent(j, backend, "the backend server could not be reached: "+err.Error(), 0)
		if j.sends < maxSends {
			return true
		}
		f.refuseOrFail(j, "no backend server could be reached", retryAfterRejection)
		return false
	}
	j.runs++
	f.recordOutcome(j, backend.GetId(), balancer.Failed)
	return f.handleLostResponse(j, backend, err.Error())
}

// handleLostResponse handles a request that may have run and got no complete answer.
func (f *Forwarder) handleLostResponse(j *job, backend *wire.Announcement, reason string) bool {
	j.avoid = append(j.avoid, backend.GetId())
	f.reportLostRun(j, backend)
	if f.repeatable(j) && j.runs < f.maxAttempts(j) && !f.mayCrashMore(j) && f.mayRetry(j) {
		f.logEvent(j, backend, "the answer was lost; sent again: "+reason, 0)
		return true
	}
	f.logEvent(j, backend, "the answer was lost: "+reason, statusBadGateway)
	if j.reply.Begun() {
		j.reply.Abort()
		return false
	}
	f.fail(j, statusBadGateway)
	return false
}

// retryAfterRejection is the retry time after backend servers have rejected a request: about
// the time of one short answer.
const retryAfterRejection = 300 * time.Millisecond

// handleRejection handles an answer which states that the request did not run.
func (f *Forwarder) handleRejection(j *job, backend *wire.Announcement, status int) bool {
	outcome := balancer.Full
	if status == statusMisdirected {
		outcome = balancer.Absent
	}
	j.rejected = outcome == balancer.Full
	if j.rejected {
		f.backOffBrittle(j, backend)
	}
	f.recordOutcome(j, backend.GetId(), outcome)
	isEngine := f.isEngine(j.service)
	if status == statusMisdirected && !isEngine {
		// Another incarnation has this address now.
		f.removeBackend(backend)
	}
	f.logEvent(j, backend, "the backend server did not run the request", status)
	if outcome == balancer.Full || isEngine && j.adapter == "" {
		j.avoid = append(j.avoid, backend.GetId())
	}
	if j.sends < maxSends && f.mayRetry(j) {
		return true
	}
	if j.reply.Begun() {
		j.reply.Abort()
		return false
	}
	f.refuseOrFail(j, "backend servers refused", retryAfterRejection)
	return false
}

// handleUnproved ends a request that a backend server has failed with a status which callers take for a promise.
func (f *Forwarder) handleUnproved(j *job, backend *wire.Announcement) {
	f.recordOutcome(j, backend.GetId(), balancer.Failed)
	f.Isolator.RecordFailure(j.requestFingerprints, backend.GetId())
	j.completed = true
	f.refuseOrFail(j, "the backend server failed", 0)
}

// isEngine reports whether a service's backend servers hold models. An engine that has
// restarted answers, until its model is loaded, like another incarnation. Removing it would
// leave it unused for good, since it is announced only when something about it changes.
func (f *Forwarder) isEngine(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Service(service).GetEngine() != nil
}

func (f *Forwarder) removeBackend(backend *wire.Announcement) {
	f.Log.Info("removed a backend server", "Backend", backend.GetId(), "Address", backend.GetAddress(),
		"Reason", "another start answers at its address")
	f.mu.Lock()
	f.balancer.RemoveBackend(backend.GetId())
	f.paths.Forget(backend.GetService(), backend.GetId())
	f.mu.Unlock()
	f.Sender.CloseIdle(backend.GetId())
}

// handleExpiry ends a request whose caller has disconnected or whose deadline has passed.
func (f *Forwarder) handleExpiry(ctx context.Context, j *job) {
	if ctx.Err() == context.Canceled {
		f.abandon(j)
		return
	}
	switch {
	case j.reply.Begun():
		f.logEvent(j, nil, "the time is over in the middle of the answer", 0)
		j.reply.Abort()
	case j.runs > 0:
		f.logEvent(j, nil, "the time is over", statusTimeout)
		f.fail(j, statusTimeout)
	default:
		f.refuseOrFail(j, balancer.ReasonTimeout, retryAfterRejection)
	}
}

// abandon ends a request whose caller has disconnected.
func (f *Forwarder) abandon(j *job) {
	f.logEvent(j, nil, "the caller has left", 0)
	j.reply.Abort()
}

// refuseOrFail ends a request that can't be served. It aborts a reply that has begun, fails the
// request if an attempt of it may have run, and otherwise refuses it.
func (f *Forwarder) refuseOrFail(j *job, reason string, retryAfter time.Duration) {
	switch {
	case j.reply.Begun():
		f.logEvent(j, nil, reason, 0)
		j.reply.Abort()
	case j.runs > 0:
		f.logEvent(j, nil, reason, statusBadGateway)
		f.fail(j, statusBadGateway)
	default:
		f.refuse(j, statusUnavailable, reason, retryAfter)
	}
}

func (f *Forwarder) refuse(j *job, status int, reason string, retryAfter time.Duration) {
	f.logEvent(j, nil, reason, status)
	j.reply.Send(status, platform.EncodeRefusal(j.meta.ID, retryAfter), []byte(reason+"\n"))
}

func (f *Forwarder) fail(j *job, status int) {
	j.reply.Send(status, platform.EncodeRefusal(j.meta.ID, 0), []byte(http.StatusText(status)+"\n"))
}

const (
	// maxBufferedBody bounds the answers that are read completely before they are relayed, so
	// that an interrupted one can be retried or reported as a failure.
	maxBufferedBody = 256 << 10
	readSize        = 8 << 10
	// freeBufferedBody is the part of an answer that is buffered without reserving memory, and bufferGrowth by how much a
	// buffer that grows exceeds its content.
	freeBufferedBody = 8 << 10
	bufferGrowth     = 2
)

// relayBuffered relays an answer that is not a stream.
func (f *Forwarder) relayBuffered(ctx context.Context, j *job, backend *wire.Announcement, in *sender.Response) bool {
	header := platform.EncodeResponse(in.Head.Header)
	body, err := io.ReadAll(io.LimitReader(in.Body, freeBufferedBody))
	if err == nil && !in.Body.Complete() && j.req.Reserve(bufferGrowth*maxBufferedBody) {
		var rest []byte
		rest, err = io.ReadAll(io.LimitReader(in.Body, maxBufferedBody-freeBufferedBody))
		body = append(body, rest...)
	}
	if err == nil && !in.Body.Complete() {
		return f.relayUnbuffered(j, backend, in, header, body)
	}
	in.Close()
	if err != nil {
		if ctx.Err() != nil {
			f.recordOutcome(j, backend.GetId(), balancer.Abandoned)
			f.handleExpiry(ctx, j)
			return false
		}
		f.recordOutcome(j, backend.GetId(), balancer.Failed)
		return f.handleLostResponse(j, backend, err.Error())
	}
	outcome := balancer.Served
	if in.Head.Status >= http.StatusInternalServerError {
		outcome = balancer.Failed
	}
	f.recordOutcome(j, backend.GetId(), outcome)
	f.recordSlotRun(j)
	f.endSlot(j, true)
	f.endPrompt(j, true)
	f.reportCompletedRun(j, backend, in)
	if in.Body.Framing == framer.FramingNone {
		j.reply.SendHead(in.Head.Status, withLength(header, in.Head.Header))
	} else {
		j.reply.Send(in.Head.Status, header, body)
	}
	f.logServed(j, backend, in.Head.Status)
	return false
}

// withLength keeps the length announced by an answer without a body, as to HEAD.
func withLength(header, original framer.Header) framer.Header {
	if length := original.Get("Content-Length"); length != "" {
		return append(header, framer.Field{Name: "Content-Length", Value: length})
	}
	return header
}

// relayUnbuffered relays an answer that is too long to be buffered.
func (f *Forwarder) relayUnbuffered(j *job, backend *wire.Announcement, in *sender.Response, header framer.Header, begun []byte) bool {
	defer in.Close()
	err := j.reply.Begin(in.Head.Status, header)
	if err == nil {
		err = j.reply.Write(begun)
	}
	buf := make([]byte, readSize)
	for err == nil {
		n, readErr := in.Body.Read(buf)
		err = j.reply.Write(buf[:n])
		if readErr == io.EOF && err == nil {
			f.recordOutcome(j, backend.GetId(), balancer.Served)
			f.reportCompletedRun(j, backend, in)
			j.reply.End()
			f.logServed(j, backend, in.Head.Status)
			return false
		}
		if readErr != nil {
			err = readErr
			f.reportLostRun(j, backend)
		}
	}
	f.recordOutcome(j, backend.GetId(), balancer.Abandoned)
	f.logEvent(j, backend, "a long answer broke off: "+err.Error(), 0)
	j.reply.Abort()
	return false
}
