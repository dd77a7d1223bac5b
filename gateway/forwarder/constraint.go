package forwarder

import (
	"context"
	"maps"
	"time"

	"bronzelead.example/gateway/granter"
	"bronzelead.example/pkg/balancer"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// constrainedSends counts, by kind, the requests that were sent to backend servers which had
// announced that they accept none.
type constrainedSends map[string]map[granter.AttemptKind]int

// observeConstraints records what an answer to the job's last attempt announces about further
// requests to its backend server. Only answers that are certainly that incarnation's count.
func (f *Forwarder) observeConstraints(j *job, status int, answer platform.Response) {
	if status == statusMisdirected || !answer.Signed && !answer.NotRun {
		return
	}
	if answer.BackoffFault != "" {
		f.recordFieldFault(j, "backoffs_unreadable", answer.BackoffFault, &f.backoffFaultLoggedAt)
	}
	f.countConstrainedSend(j)
	f.observeBackoff(j, status, answer)
	f.observeLeaving(j, answer)
}

func (f *Forwarder) observeBackoff(j *job, status int, answer platform.Response) {
	id, now := j.lastBackend.GetId(), f.Clock.Now()
	f.mu.Lock()
	begins := f.balancer.BackOff(now, id, answer.Backoff)
	ended := time.Duration(0)
	if !answer.NotRun && answer.Backoff == 0 {
		ended = f.balancer.Accepted(now, id)
	}
	f.mu.Unlock()
	if begins && f.Tunneler != nil {
		f.Tunneler.ShareBackOff(id, answer.Backoff, j.via, "")
	}
	if begins {
		f.Meter.Increment("backend_constraints", "kind", string(balancer.BackingOff))
		f.Log.Info("backend server accepts no requests for a time", "Backend", id, "Service", j.service, "For", answer.Backoff.Milliseconds(),
			"AnswerTo", j.meta.ID, "Status", status, "SinceSent", now.Sub(j.sentAt).Milliseconds())
	}
	if ended > 0 {
		f.Log.Info("backend server accepts requests again", "Backend", id, "Service", j.service, "After", ended.Milliseconds(),
			"AnswerTo", j.meta.ID)
		f.deliverDecisions()
	}
}

func (f *Forwarder) observeLeaving(j *job, answer platform.Response) {
	if !answer.Leaving {
		return
	}
	id, now := j.lastBackend.GetId(), f.Clock.Now()
	f.mu.Lock()
	begins := f.balancer.Leave(now, id)
	f.mu.Unlock()
	if begins {
		f.Meter.Increment("backend_constraints", "kind", string(balancer.Leaving))
		f.Log.Info("backend server is leaving", "Backend", id, "Service", j.service, "AnswerTo", j.meta.ID,
			"SinceSent", now.Sub(j.sentAt).Milliseconds())
	}
}

// permitSend reports whether a job may still be sent to the backend server that was chosen for
// it. It is the last step before the request is written: an answer may have arrived since.
func (f *Forwarder) permitSend(j *job, id string) bool {
	if j.trial == "" && f.Isolator.Restricted(j.requestFingerprints) {
		f.Meter.Increment("requests_withdrawn", "constraint", "Quarantine")
		return false
	}
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if constraint, _, _ := f.balancer.ConstraintOf(now, id); constraint == balancer.BackingOff {
		f.Meter.Increment("requests_withdrawn", "constraint", string(constraint))
		return false
	}
	if j.req.CallerLeft() {
		f.Meter.Increment("requests_withdrawn", "constraint", "CallerLeft")
		return false
	}
	if !f.permitDuringStop(j) {
		f.Meter.Increment("requests_withdrawn", "constraint", "Stopping")
		return false
	}
	j.sentAt = now
	f.recordRetrySent(now, j)
	return true
}

// withdraw handles an attempt that was not permitted, and reports whether to make another.
func (f *Forwarder) withdraw(ctx context.Context, j *job, backend *wire.Announcement) bool {
	f.refundQuota(j)
	j.sends--
	if j.req.CallerLeft() {
		f.recordUnsent(j, backend.GetId())
		f.abandon(j)
		return false
	}
	return f.chooseAgain(ctx, j, backend)
}

// constraintAttributes returns the log attributes of a backend server's constraint, if any.
func (f *Forwarder) constraintAttributes(id string) []any {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	constraint, since, left := f.balancer.ConstraintOf(now, id)
	if constraint == balancer.Unconstrained {
		return nil
	}
	return []any{"Constraint", constraint, "ConstraintAge", now.Sub(since).Milliseconds(), "ConstraintLeft", left.Milliseconds()}
}

// countConstrainedSend counts a job that was sent although its backend server accepted none.
func (f *Forwarder) countConstrainedSend(j *job) {
	id := j.lastBackend.GetId()
	f.mu.Lock()
	defer f.mu.Unlock()
	constraint, since, _ := f.balancer.ConstraintOf(f.Clock.Now(), id)
	if constraint == balancer.Unconstrained || !j.sentAt.After(since) {
		return
	}
	f.Meter.Increment("requests_despite_constraints", "constraint", string(constraint))
	if f.constrainedSends[id] == nil {
		f.constrainedSends[id] = map[granter.AttemptKind]int{}
	}
	f.constrainedSends[id][j.attemptKind()]++
}

// logConstrainedSends logs the requests sent despite constraints since the last log line, and
// counts the backend servers that accept none.
func (f *Forwarder) logConstrainedSends() {
	f.mu.Lock()
	backingOff := f.balancer.BackingOff(f.Clock.Now())
	list := maps.Clone(f.constrainedSends)
	clear(f.constrainedSends)
	f.mu.Unlock()
	f.Meter.SetGauge("backends_backing_off", float64(backingOff))
	for id, sent := range list {
		f.Log.Warn("requests to a backend server that accepts none", "Backend", id, "Sent", sent)
	}
}
