package receiver

import (
	"context"
	"net/http"

	"bronzelead.example/gateway/dispatcher"
	"bronzelead.example/gateway/isolator"
	"bronzelead.example/pkg/router"
	"bronzelead.example/pkg/wire"
)

// prints returns the fingerprints of a request, which are worked out at most once.
func (e *entry) prints() []string {
	if e.fingerprints == nil {
		asked := isolator.Request{
			Method: e.http.Method, Target: e.http.URL.RequestURI(), Body: e.body, Caller: e.terms.Customer(),
		}
		e.fingerprints = asked.Fingerprints()
	}
	return e.fingerprints
}

// heldBack returns what is answered to a request that ends backend servers, or nil if it may
// be sent.
func (r *Receiver) heldBack(e *entry) *Problem {
	if e.trial != "" {
		return nil
	}
	verdict := r.Isolator.Check(e.prints)
	e.trial = verdict.Trial
	if !verdict.Quarantined {
		return nil
	}
	r.Meter.Increment("requests_held_back", "customer", e.terms.Customer())
	return &Problem{
		Status: http.StatusServiceUnavailable, Kind: kindHeldBack, Ran: dispatcher.RanNo, RetryAfter: verdict.Remaining,
		Message: "backend servers end when they run this request; it is held back",
	}
}

// endTrial ends the trial of a request, if it was one.
func (r *Receiver) endTrial(e *entry) {
	if e.trial != "" {
		r.Isolator.EndTrial(e.trial, !e.sentAt.IsZero() && !e.completed)
	}
}

// lostRun tells of a run that ended without a whole answer; begun says that a part had come.
func (r *Receiver) lostRun(e *entry, to *router.Candidate, begun bool) {
	r.Isolator.RecordLoss(e.prints, &wire.RunReport{
		Service: e.job.Want.Service, Model: e.job.Want.Adapter, Place: e.http.Method + " " + e.http.URL.Path,
		Caller: e.terms.Customer(), Backend: startOf(to), Begun: begun,
		RanMs: uint32(r.Clock.Since(e.sentAt).Milliseconds()),
	}, to.Backend.GetAddress())
}

// completedRun tells of a run that was answered whole.
func (r *Receiver) completedRun(e *entry, to *router.Candidate) {
	e.completed = true
	r.Isolator.RecordCompletion(e.prints, startOf(to))
}

func startOf(to *router.Candidate) string {
	return isolator.IncarnationID(to.Backend.GetName(), to.Backend.GetIncarnation())
}

// mayRunAgain reports whether the gateway may repeat by itself what may have run: not if more
// than one backend server has ended under it.
func (r *Receiver) mayRunAgain(ctx context.Context, e *entry) bool {
	return ctx.Err() == nil && e.trial == "" && !r.Isolator.Suspected(e.prints)
}
