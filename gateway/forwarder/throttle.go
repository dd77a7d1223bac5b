package forwarder

import (
	"context"
	"time"

	"bronzelead.example/gateway/granter"
	"bronzelead.example/pkg/balancer"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// fieldFaultLogInterval is the minimum time between two log lines on an unreadable field.
const fieldFaultLogInterval = 10 * time.Second

// limitGrant is the state of a request's latest attempt towards its backend server's limit.
type limitGrant struct {
	// decidedBy is the gateway that granted the attempt; empty if it needed no grant.
	decidedBy string
	// denials counts the attempts of the request that were not granted, and denied is the
	// backend server of the latest.
	denials int
	denied  string
}

// throttle waits for a grant, if the chosen backend server has a request limit. It reports
// false if there is none: then another backend server may be better. It runs last before an
// attempt is sent, so that no other wait lies between a grant and its use.
func (f *Forwarder) throttle(ctx context.Context, j *job, backend *wire.Announcement) bool {
	id := backend.GetId()
	j.grant.decidedBy = ""
	if !f.Granter.Limited(id) {
		return true
	}
	began := f.Clock.Now()
	wait := min(grantTimeout, max(0, j.sendBy.Sub(began)))
	if f.hasAlternative(began, j, id) {
		wait = 0
	}
	answer := f.Granter.RequestGrant(ctx, granter.Request{
		Backend: id, Urgency: j.urgency(), ReceivedAt: j.req.ReceivedAt, Deadline: began.Add(wait), Wait: wait,
	})
	now := f.Clock.Now()
	j.waited += now.Sub(began)
	if answer.Granted {
		j.grant.decidedBy = answer.DecidedBy
		return true
	}
	j.grant.denials++
	j.grant.denied = id
	f.Granter.RecordDenied(id)
	f.mu.Lock()
	f.balancer.Pause(id, now.Add(answer.RetryIn))
	f.mu.Unlock()
	return false
}

// limitAttributes returns the log attributes of the request limit that a job has met, if any:
// that of its backend server, or else of the latest that denied it a grant.
func (f *Forwarder) limitAttributes(j *job, backend string) []any {
	status, known := f.Granter.Status(backend)
	if !known && j.grant.denials == 0 {
		return nil
	}
	if !known {
		status, _ = f.Granter.Status(j.grant.denied)
	}
	return []any{
		"RequestLimit", status.Limit.Rate, "LimitNamed", status.Limit.Named,
		"LimitAge", f.Clock.Since(status.Since).Milliseconds(), "LimitSource", status.Source,
		"GrantedBy", j.grant.decidedBy, "Denials", j.grant.denials, "DeniedBackend", j.grant.denied,
	}
}

// hasAlternative reports whether a request can use a backend server other than the chosen one.
func (f *Forwarder) hasAlternative(now time.Time, j *job, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.HasAlternative(now, &balancer.Waiter{Service: j.service, Adapter: j.adapter, Avoid: j.avoid}, id)
}

// observeLimit records the request limit in an answer to the job's last attempt. Only a signed
// answer without a limit lifts one: a rejection may come from another incarnation at the same
// address.
func (f *Forwarder) observeLimit(j *job, status int, answer platform.Response) {
	if answer.LimitFault != "" {
		f.recordFieldFault(j, "request_limits_unreadable", answer.LimitFault, &f.limitFaultLoggedAt)
		return
	}
	rejects := answer.NotRun && status != statusMisdirected
	if answer.Signed || rejects && answer.RequestLimit.Named {
		f.Granter.Observe(j.lastBackend.GetId(), answer.RequestLimit, j.meta.ID, f.Clock.Since(j.sentAt))
	}
}

// recordFieldFault counts a field of an answer that can't be read. What it said before remains in
// force. It logs the fault if the last line on the field, at loggedAt, is old enough.
func (f *Forwarder) recordFieldFault(j *job, metric, fault string, loggedAt *time.Time) {
	f.Meter.Increment(metric, "fault", fault)
	now := f.Clock.Now()
	f.mu.Lock()
	due := now.Sub(*loggedAt) >= fieldFaultLogInterval
	if due {
		*loggedAt = now
	}
	f.mu.Unlock()
	if due {
		f.Log.Warn("could not read a field of an answer", "Backend", j.lastBackend.GetId(), "Metric", metric, "Fault", fault, "RequestID", j.meta.ID)
	}
}

// recordSent counts an attempt towards its backend server's limit.
func (f *Forwarder) recordSent(j *job) {
	f.Granter.RecordSent(j.lastBackend.GetId(), j.attemptKind(), j.grant.decidedBy)
}

// attemptKind returns why the latest attempt was made.
func (j *job) attemptKind() granter.AttemptKind {
	switch {
	case j.lastEventID != "":
		return granter.Resumed
	case j.sends > 1:
		return granter.Repeat
	}
	return granter.First
}
