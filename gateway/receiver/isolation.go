package receiver

import (
	"context"
	"net/http"

	"bronzelead.example/gateway/dispatcher"
	"bronzelead.example/gateway/isolator"
	"bronzelead.example/pkg/router"
	"bronzelead.example/pkg/wire"
)

// quarantineFingerprints returns the fingerprints of a request, computed at most once.
func (e *activeRequest) quarantineFingerprints() []string {
	if e.fingerprints == nil {
		req := isolator.Request{
			Method: e.http.Method, Target: e.http.URL.RequestURI(), Body: e.body, Caller: e.terms.Customer(),
		}
		e.fingerprints = req.Fingerprints()
	}
	return e.fingerprints
}

// checkQuarantine returns the problem for a quarantined request, or nil if it may be sent.
func (r *Receiver) checkQuarantine(e *activeRequest) *Problem {
	if e.trial != "" {
		return nil
	}
	decision := r.Isolator.Check(e.quarantineFingerprints)
	e.trial = decision.Trial
	if !decision.Quarantined {
		return nil
	}
	r.Meter.Increment("requests_held_back", "customer", e.terms.Customer())
	return &Problem{
		Status: http.StatusServiceUnavailable, Kind: kindQuarantined, Ran: dispatcher.RanNo, RetryAfter: decision.Remaining,
		Message: "backend servers end when they run this request; it is held back",
	}
}

// endTrial reports the result of a trial run, if the request is one.
func (r *Receiver) endTrial(e *activeRequest) {
	if e.trial != "" {
		r.Isolator.EndTrial(e.trial, !e.sentAt.IsZero() && !e.completed)
	}
}

// recordLoss reports a run without a complete answer; begun means that part of it was received.
func (r *Receiver) recordLoss(e *activeRequest, to *router.Candidate, begun bool) {
	r.Isolator.RecordLoss(e.quarantineFingerprints, &wire.RunReport{
		Service: e.job.Want.Service, Model: e.job.Want.Adapter, Place: e.http.Method + " " + e.http.URL.Path,
		Caller: e.terms.Customer(), Backend: incarnationID(to), Begun: begun,
		RanMs: uint32(r.Clock.Since(e.sentAt).Milliseconds()),
	}, to.Backend.GetAddress())
}

// recordCompletion reports a run with a complete answer.
func (r *Receiver) recordCompletion(e *activeRequest, to *router.Candidate) {
	e.completed = true
	r.Isolator.RecordCompletion(e.quarantineFingerprints, incarnationID(to))
}

func incarnationID(to *router.Candidate) string {
	return isolator.IncarnationID(to.Backend.GetName(), to.Backend.GetIncarnation())
}

// mayRetry reports whether the gateway itself may retry a request that may have run: not if
// more than one backend server has crashed while running it.
func (r *Receiver) mayRetry(ctx context.Context, e *activeRequest) bool {
	return ctx.Err() == nil && e.trial == "" && !r.Isolator.Suspected(e.quarantineFingerprints)
}
