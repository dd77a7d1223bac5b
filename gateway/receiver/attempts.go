package receiver

import (
	"context"
	"time"

	"bronzelead.example/gateway/scheduler"
	"bronzelead.example/gateway/terminator"
	"bronzelead.example/pkg/router"
)

// attemptResult is the result of one attempt: a final answer, or the certainty that the request
// did not run and may be retried on another backend server.
type attemptResult struct {
	final   bool
	problem *Problem
	// backendFailed blames the backend server; adapterMissing means that it lacks the adapter.
	backendFailed  bool
	adapterMissing bool
	// mayHaveRun is set if the request may have run despite the failure and may run again.
	mayHaveRun bool
}

// runAttempts takes a request through admission, routing and as many attempts as the retry
// budget and the deadline allow. It returns the problem that is still to be answered, or nil.
func (r *Receiver) runAttempts(e *activeRequest, attempt func(context.Context, *router.Candidate, int) attemptResult) *Problem {
	base := e.ctx
	if e.runOnce {
		// Once it holds its key, the request runs on after a disconnect, so that a retry finds the
		// answer instead of an unknown outcome.
		base = context.WithoutCancel(base)
	}
	ctx, release := r.requestContext(base, e.job.Deadline)
	defer release()
	// Without a claim it ends with its caller, who may be told by another gateway that nobody holds the key.
	unclaimed, releaseUnclaimed := r.requestContext(e.ctx, e.job.Deadline)
	defer releaseUnclaimed()
	e.ctx, e.unclaimed = ctx, unclaimed
	if p := r.checkQuarantine(e); p != nil {
		return p
	}
	defer r.endTrial(e)
	r.RetryBudget.Deposit()
	maybeRan := false
	candidate, refusal := r.Scheduler.Acquire(unclaimed, e.job)
	for n := 0; refusal == nil; n++ {
		r.recordAssignment(e, candidate)
		if p := r.checkQuarantine(e); p != nil {
			// The request was found to crash backend servers while it was queued.
			r.Scheduler.Complete(e.job, false)
			return refusalOrUnknown(ctx, maybeRan, p)
		}
		e.sentAt = r.Clock.Now()
		result := attempt(ctx, candidate, n)
		maybeRan = maybeRan || result.mayHaveRun
		if result.final {
			r.Scheduler.Complete(e.job, result.backendFailed)
			return result.problem
		}
		if !r.RetryBudget.Withdraw(unclaimed, n, e.job.Deadline) {
			r.Scheduler.Complete(e.job, result.backendFailed)
			return refusalOrUnknown(ctx, maybeRan, refused(&scheduler.Refusal{Reason: scheduler.NoBackend, RetryAfter: retryAfterFault}))
		}
		candidate, refusal = r.Scheduler.Reassign(unclaimed, e.job, result.backendFailed, result.adapterMissing)
	}
	if refusal.Reason == scheduler.CallerGone && ctx.Terminated() {
		refusal = &scheduler.Refusal{Reason: scheduler.Stopping, RetryAfter: retryAfterFault}
	}
	return refusalOrUnknown(ctx, maybeRan, refused(refusal))
}

// requestContext returns a context that ends at a deadline, and as the process ends.
func (r *Receiver) requestContext(parent context.Context, deadline time.Time) (ctx *terminator.Context, release func()) {
	ctx, cancel := terminator.WithTimeout(parent, time.Until(deadline))
	if r.Ending == nil {
		return ctx, cancel
	}
	stop := context.AfterFunc(r.Ending, ctx.Terminate)
	return ctx, func() {
		stop()
		cancel()
	}
}

// refusalOrUnknown returns the refusal p, or an unknown outcome if an attempt may have run: a
// request is refused only if it certainly did not run.
func refusalOrUnknown(ctx context.Context, maybeRan bool, p *Problem) *Problem {
	if maybeRan {
		return mayHaveRun(ctx)
	}
	return p
}

func (r *Receiver) recordAssignment(e *activeRequest, candidate *router.Candidate) {
	series := r.Meter.SeriesFor(e.terms.Customer(), e.class)
	series.QueueWait.RecordDuration(e.job.QueueWait())
	series.LoadStall.RecordDuration(e.job.LoadStall())
	r.Explainer.Record(e.id, e.terms.Customer(), "goes to %s (%s) after %s in the queue and %s for the adapter; load %d, score %.2f",
		candidate.Backend.GetName(), candidate.Backend.GetZone(), e.job.QueueWait(), e.job.LoadStall(), candidate.Load, candidate.Score)
}
