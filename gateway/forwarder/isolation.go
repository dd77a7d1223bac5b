package forwarder

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bronzelead.example/gateway/acceptor"
	"bronzelead.example/gateway/isolator"
	"bronzelead.example/gateway/sender"
	"bronzelead.example/pkg/framer"
	"bronzelead.example/pkg/quarantiner"
	"bronzelead.example/pkg/wire"
)

// reasonQuarantined is sent to a caller whose request crashes the backend servers that run it.
const reasonQuarantined = "backend servers end when they run this request; it is held back"

// maxRequestTarget bounds the request target that is reported to operators.
const maxRequestTarget = 200

// requestFingerprints returns the fingerprints of the request. They are computed at most once,
// and only on demand.
func (j *job) requestFingerprints() []string {
	if j.fingerprints == nil {
		request := isolator.Request{
			Method: j.req.Head.Method, Host: j.req.Head.Header.Get("Host"), Target: j.req.Head.Target,
			Selectors: j.selectors(), Body: j.req.Body, Caller: callerOf(j.req),
			Parts: j.partFingerprints(),
		}
		j.fingerprints = request.Fingerprints()
	}
	return j.fingerprints
}

// partFingerprints returns the fingerprints of the parts of the prompt that other requests may share.
func (j *job) partFingerprints() []string {
	ids := make([]string, len(j.meta.PromptParts))
	for i, part := range j.meta.PromptParts {
		ids[i] = part.ID
	}
	return quarantiner.PartFingerprints(ids)
}

// selectors returns the model, sizes and parts of the prompt: where they stand in the header, requests
// with different prompts may have equal bodies.
func (j *job) selectors() []string {
	m := &j.meta
	if m.Model == "" && !m.HasSize && len(m.PromptParts) == 0 {
		return nil
	}
	list := []string{m.Model, strconv.Itoa(m.PromptTokens), strconv.Itoa(m.OutputTokens)}
	for _, part := range m.PromptParts {
		list = append(list, part.ID)
	}
	return list
}

// callerOf returns a caller's address without the port, which differs for each connection.
func callerOf(req *acceptor.Request) string {
	caller, _, err := net.SplitHostPort(req.Caller)
	if err != nil {
		return req.Caller
	}
	return caller
}

// requestTarget returns the method, host and path of a request, without its query.
func (j *job) requestTarget() string {
	path, _, _ := strings.Cut(j.req.Head.Target, "?")
	target := j.req.Head.Method + " " + j.req.Head.Header.Get("Host") + path
	return target[:min(len(target), maxRequestTarget)]
}

// refuseQuarantined refuses a request that crashes backend servers, and reports whether it did.
func (f *Forwarder) refuseQuarantined(j *job) bool {
	if j.trial != "" {
		return false
	}
	decision := f.Isolator.Check(j.requestFingerprints)
	j.trial = decision.Trial
	if !decision.Quarantined {
		return false
	}
	f.Meter.Increment("requests_held_back", "service", j.service)
	f.refuseOrFail(j, reasonQuarantined, decision.Remaining)
	return true
}

// endTrial ends the trial run of a request, if it was one.
func (f *Forwarder) endTrial(j *job) {
	if j.trial != "" {
		f.Isolator.EndTrial(j.trial, j.sends > 0 && !j.completed)
	}
}

// reportLostRun reports a run that ended without a complete answer.
func (f *Forwarder) reportLostRun(j *job, backend *wire.Announcement) {
	f.Isolator.RecordLoss(j.requestFingerprints, &wire.RunReport{
		Service: j.service, Model: j.meta.Model, Place: j.requestTarget(), Caller: callerOf(j.req),
		Backend: backend.GetId(), Begun: j.begunAttempt == j.sends && j.sends > 0, RanMs: uint32(f.Clock.Since(j.sentAt).Milliseconds()),
	}, backend.GetAddress())
}

// reportCompletedRun reports a run that was answered completely. An answer that ends with its connection is no
// evidence: a process that exits closes its connections.
func (f *Forwarder) reportCompletedRun(j *job, backend *wire.Announcement, in *sender.Response) {
	j.completed = true
	if in.Body.Framing == framer.FramingClose {
		return
	}
	if in.Head.Status >= http.StatusMultipleChoices {
		f.Isolator.RecordFailure(j.requestFingerprints, backend.GetId())
		return
	}
	f.Isolator.RecordAnswering(j.partFingerprints(), backend.GetId())
	f.Isolator.RecordCompletion(j.requestFingerprints, backend.GetId())
}

// soundAnswerTime is how long after its first event an answer shows that no part of the prompt crashes
// what begins to answer.
const soundAnswerTime = 500 * time.Millisecond

// observeAnswering records that a part of the answer to the latest attempt was relayed.
func (f *Forwarder) observeAnswering(j *job) {
	now := f.Clock.Now()
	if j.begunAttempt != j.sends {
		j.begunAttempt, j.begunAt, j.answering = j.sends, now, false
	}
	if !j.answering && now.Sub(j.begunAt) >= soundAnswerTime {
		j.answering = true
		f.Isolator.RecordAnswering(j.partFingerprints(), j.lastBackend.GetId())
	}
}

// mayCrashMore reports whether the gateway should not retry a request itself, since more than
// one backend server has crashed while running it. Its caller may retry it, and is served if
// the request was not the cause.
func (f *Forwarder) mayCrashMore(j *job) bool {
	return j.trial != "" || f.Isolator.Suspected(j.requestFingerprints)
}

// probeTimeout bounds the check whether anything listens at an address.
const probeTimeout = time.Second

// processExited reports whether nothing listens any more at the address of an incarnation. A
// connection that is refused may be the fault of the path, if another gateway reaches it.
func (f *Forwarder) processExited(ctx context.Context, backend, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if !sender.IsConnectionRefused(f.Sender.Probe(ctx, backend, address)) {
		return false
	}
	return f.Tunneler == nil || f.Tunneler.Check(ctx, backend, address) != wire.Reach_REACH_CONNECTED
}

// initIsolator prepares the isolator, and creates one if there is none.
func (f *Forwarder) initIsolator() {
	if f.Isolator == nil {
		f.Isolator = &isolator.Isolator{Clock: f.Clock, Log: f.Log}
	}
	f.Isolator.ConnectionRefused = f.processExited
	f.Isolator.Init()
}
