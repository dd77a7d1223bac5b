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

// try sends a request once and reports whether it is to be tried again.
func (f *Forwarder) try(ctx context.Context, j *job) bool {
	j.dispensed = f.dispensed(j)
	d, decided := f.choose(ctx, j)
	if !decided {
		f.expired(ctx, j)
		return false
	}
	if d.Backend == nil {
		f.giveUp(j, d.Reason, d.RetryAfter)
		return false
	}
	if j.dispensed && !f.admitSlot(ctx, j, d.Backend) {
		return f.refuseSlot(ctx, j, d.Backend)
	}
	if !f.admitPrompt(ctx, j, d.Backend) {
		return f.chooseAgain(ctx, j, d.Backend)
	}
	defer f.promptDropped(j)
	if f.isolated(j) {
		// What it waited for has shown meanwhile that it ends backend servers.
		f.done(j, d.Backend.GetId(), balancer.Abandoned)
		return false
	}
	if !f.keyHolds(j) || !f.within(ctx, j) {
		f.done(j, d.Backend.GetId(), balancer.Abandoned)
		return false
	}
	if !f.throttle(ctx, j, d.Backend) {
		return f.chooseAgain(ctx, j, d.Backend)
	}
	f.spend(j)
	j.sends++
	j.last, j.sentAt = d.Backend, f.Clock.Now()
	f.noteSent(j)
	in, err := f.Sender.Send(ctx, f.outgoing(j, d))
	if err != nil {
		return f.failed(ctx, j, d.Backend, err)
	}
	return f.take(ctx, j, d, in)
}

// take handles the answer to a try, and reports whether the request is to be tried again.
func (f *Forwarder) take(ctx context.Context, j *job, d balancer.Decision, in *sender.Response) bool {
	answer := platform.DecodeAnswer(in.Head)
	f.observeLimit(j, in.Head.Status, answer)
	switch {
	case answer.NotRun:
		in.Close()
		f.refund(j)
		return f.rejected(j, d.Backend, in.Head.Status)
	case !answer.Signed || answer.Encoded:
		in.Close()
		j.runs++
		f.done(j, d.Backend.GetId(), balancer.Failed)
		return f.lost(j, d.Backend, "the answer is not the backend server's")
	case in.Head.Status >= http.StatusInternalServerError && f.repeatable(j) && j.runs+1 < f.attempts(j) && f.repeats(j):
		in.Close()
		j.runs++
		f.done(j, d.Backend.GetId(), balancer.Failed)
		f.Isolator.RecordCompletion(j.prints, d.Backend.GetId())
		j.avoid = append(j.avoid, d.Backend.GetId())
		f.event(j, d.Backend, "the backend server failed; sent again", in.Head.Status)
		return true
	}
	j.runs++
	if j.route.GetRepetition() == wire.Repetition_REPETITION_STREAM && in.Head.Status == http.StatusOK && answer.Events {
		return f.relayStream(ctx, j, d.Backend, in)
	}
	if j.reply.Begun() {
		// The caller would take a failure, or anything else that is not the rest of its
		// stream, for a part of it.
		in.Close()
		f.done(j, d.Backend.GetId(), balancer.Failed)
		return f.lost(j, d.Backend, "the stream can't go on with this answer, status "+strconv.Itoa(in.Head.Status))
	}
	return f.relayWhole(ctx, j, d.Backend, in)
}

func (f *Forwarder) outgoing(j *job, d balancer.Decision) *sender.Request {
	dispatch := platform.Dispatch{
		Name: d.Backend.GetName(), AdapterVersion: d.Version, Urgency: -1, Resumes: j.resume, Customer: j.customer.GetName(),
	}
	if !j.patience.IsZero() {
		dispatch.Left = j.until.Sub(f.Clock.Now())
	}
	if j.adapter != "" && !f.Off.Has(ablator.PriorityOrder) {
		dispatch.Urgency = min(int(j.urgency()), leastUrgent)
	}
	return &sender.Request{
		Backend: d.Backend.GetId(), Address: d.Backend.GetAddress(), RequestID: j.about.ID,
		Method: j.req.Head.Method, Target: j.req.Head.Target,
		Header: platform.EncodeDispatch(j.req.Head.Header, dispatch), Body: j.req.Body,
	}
}

// leastUrgent is the lowest urgency that an engine knows.
const leastUrgent = 9

// repeatable reports whether a request may run again after it may have run.
func (f *Forwarder) repeatable(j *job) bool {
	return j.route.GetRepetition() == wire.Repetition_REPETITION_IDEMPOTENT || j.route.GetResumable()
}

func (f *Forwarder) attempts(j *job) int { return max(1, int(j.route.GetMaxAttempts())) }

// failed handles a try that got no answer.
func (f *Forwarder) failed(ctx context.Context, j *job, backend *wire.Announcement, err error) bool {
	if sender.KindOf(err) == sender.KindNotSent {
		f.refund(j)
	}
	if ctx.Err() != nil {
		f.done(j, backend.GetId(), balancer.Abandoned)
		if sender.KindOf(err) != sender.KindNotSent {
			j.runs++
		}
		f.expired(ctx, j)
		return false
	}
	if sender.KindOf(err) == sender.KindNotSent {
		if sender.IsConnectionRefused(err) {
			f.Isolator.RecordExit(backend.GetId())
		}
		f.done(j, backend.GetId(), balancer.Unreachable)
		j.avoid = append(j.avoid, backend.GetId())
		f.event(j, backend, "the backend server could not be reached: "+err.Error(), 0)
		if j.sends < maxSends {
			return true
		}
		f.giveUp(j, "no backend server could be reached", retryAfterRejection)
		return false
	}
	j.runs++
	f.done(j, backend.GetId(), balancer.Failed)
	return f.lost(j, backend, err.Error())
}

// lost handles a request that may have run and got no whole answer.
func (f *Forwarder) lost(j *job, backend *wire.Announcement, reason string) bool {
	j.avoid = append(j.avoid, backend.GetId())
	f.lostRun(j, backend)
	if f.repeatable(j) && j.runs < f.attempts(j) && !f.mayEndMore(j) && f.repeats(j) {
		f.event(j, backend, "the answer was lost; sent again: "+reason, 0)
		return true
	}
	f.event(j, backend, "the answer was lost: "+reason, statusBadGateway)
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

// rejected handles an answer which vouches that the request did not run.
func (f *Forwarder) rejected(j *job, backend *wire.Announcement, status int) bool {
	outcome := balancer.Full
	if status == statusMisdirected {
		outcome = balancer.Absent
	}
	f.done(j, backend.GetId(), outcome)
	isEngine := f.isEngine(j.service)
	if status == statusMisdirected && !isEngine {
		// Another start has this address now.
		f.left(backend)
	}
	f.event(j, backend, "the backend server did not run the request", status)
	if outcome == balancer.Full || isEngine && j.adapter == "" {
		j.avoid = append(j.avoid, backend.GetId())
	}
	if j.sends < maxSends && f.repeats(j) {
		return true
	}
	if j.reply.Begun() {
		j.reply.Abort()
		return false
	}
	f.giveUp(j, "backend servers refused", retryAfterRejection)
	return false
}

// isEngine reports whether a service's backend servers hold models. One that has restarted
// answers, until its model is there, as another start would; to forget it would leave it
// unused for good, since it is announced only when something about it changes.
func (f *Forwarder) isEngine(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Service(service).GetEngine() != nil
}

func (f *Forwarder) left(backend *wire.Announcement) {
	f.Log.Info("a backend server is forgotten", "Backend", backend.GetId(), "Address", backend.GetAddress(),
		"Reason", "another start answers at its address")
	f.mu.Lock()
	f.balancer.RemoveBackend(backend.GetId())
	f.mu.Unlock()
	f.Sender.CloseIdle(backend.GetId())
}

// expired ends a request whose caller has left or whose time is over.
func (f *Forwarder) expired(ctx context.Context, j *job) {
	if ctx.Err() == context.Canceled {
		f.event(j, nil, "the caller has left", 0)
		j.reply.Abort()
		return
	}
	switch {
	case j.reply.Begun():
		f.event(j, nil, "the time is over in the middle of the answer", 0)
		j.reply.Abort()
	case j.runs > 0:
		f.event(j, nil, "the time is over", statusTimeout)
		f.fail(j, statusTimeout)
	default:
		f.giveUp(j, balancer.ReasonTimeout, retryAfterRejection)
	}
}

// giveUp refuses a request. If no try of it may have run, the refusal says so.
func (f *Forwarder) giveUp(j *job, reason string, retryAfter time.Duration) {
	switch {
	case j.reply.Begun():
		f.event(j, nil, reason, 0)
		j.reply.Abort()
	case j.runs > 0:
		f.event(j, nil, reason, statusBadGateway)
		f.fail(j, statusBadGateway)
	default:
		f.refuse(j, statusUnavailable, reason, retryAfter)
	}
}

func (f *Forwarder) refuse(j *job, status int, reason string, retryAfter time.Duration) {
	f.event(j, nil, reason, status)
	j.reply.Send(status, platform.EncodeRefusal(j.about.ID, retryAfter), []byte(reason+"\n"))
}

func (f *Forwarder) fail(j *job, status int) {
	j.reply.Send(status, platform.EncodeRefusal(j.about.ID, 0), []byte(http.StatusText(status)+"\n"))
}

const (
	// maxWhole bounds the answers that are read to their end before they are passed on, so
	// that one which breaks off can be asked for again or reported as a failure.
	maxWhole = 256 << 10
	readSize = 8 << 10
)

// relayWhole passes on an answer that is not a stream.
func (f *Forwarder) relayWhole(ctx context.Context, j *job, backend *wire.Announcement, in *sender.Response) bool {
	header := platform.EncodeAnswer(in.Head.Header)
	body, err := io.ReadAll(io.LimitReader(in.Body, maxWhole))
	if err == nil && !in.Body.Ended() {
		return f.relayLong(j, backend, in, header, body)
	}
	in.Close()
	if err != nil {
		if ctx.Err() != nil {
			f.done(j, backend.GetId(), balancer.Abandoned)
			f.expired(ctx, j)
			return false
		}
		f.done(j, backend.GetId(), balancer.Failed)
		return f.lost(j, backend, err.Error())
	}
	outcome := balancer.Served
	if in.Head.Status >= http.StatusInternalServerError {
		outcome = balancer.Failed
	}
	f.done(j, backend.GetId(), outcome)
	f.endPrompt(j, true)
	f.completedRun(j, backend)
	if in.Body.Framing == framer.FramingNone {
		j.reply.SendHead(in.Head.Status, withLength(header, in.Head.Header))
	} else {
		j.reply.Send(in.Head.Status, header, body)
	}
	f.served(j, backend, in.Head.Status)
	return false
}

// withLength keeps the length that an answer without a body announces, as to HEAD.
func withLength(header, original framer.Header) framer.Header {
	if length := original.Get("Content-Length"); length != "" {
		return append(header, framer.Field{Name: "Content-Length", Value: length})
	}
	return header
}

// relayLong passes on an answer that is too long to be kept.
func (f *Forwarder) relayLong(j *job, backend *wire.Announcement, in *sender.Response, header framer.Header, begun []byte) bool {
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
			f.done(j, backend.GetId(), balancer.Served)
			f.completedRun(j, backend)
			j.reply.End()
			f.served(j, backend, in.Head.Status)
			return false
		}
		if readErr != nil {
			err = readErr
			f.lostRun(j, backend)
		}
	}
	f.done(j, backend.GetId(), balancer.Abandoned)
	f.event(j, backend, "a long answer broke off: "+err.Error(), 0)
	j.reply.Abort()
	return false
}
