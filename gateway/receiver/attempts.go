package receiver

import (
	"context"

	"bronzelead.example/gateway/scheduler"
	"bronzelead.example/pkg/router"
)

// step is what an attempt led to: a final answer, or the certainty that the request
// did not run and may be tried elsewhere.
type step struct {
	final   bool
	problem *Problem
	// failed blames the backend server; missing says that it lacks the adapter.
	failed  bool
	missing bool
	// unsure is set if the request may have run all the same, and may run again.
	unsure bool
}

// carry takes a request through admission, routing and as many attempts as it needs
// and may have. It returns the problem that is left to be answered, or nil.
func (r *Receiver) carry(e *entry, attempt func(context.Context, *router.Candidate, int) step) *Problem {
	base := e.ctx
	if e.once {
		// The retry of a caller that went away finds the answer instead of a doubt.
		base = context.WithoutCancel(base)
	}
	ctx, cancel := context.WithDeadline(base, e.job.Deadline)
	defer cancel()
	e.ctx = ctx
	if p := r.heldBack(e); p != nil {
		return p
	}
	defer r.endTrial(e)
	r.Retries.Earn()
	unsure := false
	candidate, refusal := r.Scheduler.Acquire(ctx, e.job)
	for n := 0; refusal == nil; n++ {
		r.noteAssigned(e, candidate)
		if p := r.heldBack(e); p != nil {
			// What it waited for has shown meanwhile that it ends backend servers.
			r.Scheduler.Complete(e.job, false)
			return unlessRun(ctx, unsure, p)
		}
		e.sentAt = r.Clock.Now()
		s := attempt(ctx, candidate, n)
		unsure = unsure || s.unsure
		if s.final {
			r.Scheduler.Complete(e.job, s.failed)
			return s.problem
		}
		if !r.Retries.Spend(ctx, n, e.job.Deadline) {
			r.Scheduler.Complete(e.job, s.failed)
			return unlessRun(ctx, unsure, refused(&scheduler.Refusal{Reason: scheduler.NoBackend, RetryAfter: retryAfterFault}))
		}
		candidate, refusal = r.Scheduler.Reassign(ctx, e.job, s.failed, s.missing)
	}
	return unlessRun(ctx, unsure, refused(refusal))
}

// unlessRun returns a refusal, or that the request may have run if a try of it may: only what
// certainly did not run is refused as such.
func unlessRun(ctx context.Context, unsure bool, p *Problem) *Problem {
	if unsure {
		return mayHaveRun(ctx)
	}
	return p
}

func (r *Receiver) noteAssigned(e *entry, candidate *router.Candidate) {
	series := r.Meter.SeriesFor(e.terms.Customer(), e.class)
	series.QueueWait.RecordDuration(e.job.QueueWait())
	series.LoadStall.RecordDuration(e.job.LoadStall())
	r.Explainer.Note(e.id, e.terms.Customer(), "goes to %s (%s) after %s in the queue and %s for the adapter; load %d, score %.2f",
		candidate.Backend.GetName(), candidate.Backend.GetZone(), e.job.QueueWait(), e.job.LoadStall(), candidate.Load, candidate.Score)
}
