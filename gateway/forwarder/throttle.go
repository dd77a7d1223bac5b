package forwarder

import (
	"context"
	"time"

	"bronzelead.example/gateway/granter"
	"bronzelead.example/pkg/balancer"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// limitFaultEvery is the least time between two log lines on limits that can't be read.
const limitFaultEvery = 10 * time.Second

// grant is how the latest try of a request stands with its backend server's limit.
type grant struct {
	// by is the gateway that granted the try; empty if it needed no grant.
	by string
	// denials counts the tries of the request that were not granted, and denied is the backend
	// server of the latest.
	denials int
	denied  string
}

// throttle waits for a grant, if the backend server that was chosen has a request limit. It
// reports false if there is none: then another backend server may be better. It comes last
// before a try is sent, so that no other wait lies between a grant and its use.
func (f *Forwarder) throttle(ctx context.Context, j *job, backend *wire.Announcement) bool {
	id := backend.GetId()
	j.grant.by = ""
	if !f.Granter.Limited(id) {
		return true
	}
	began := f.Clock.Now()
	wait := min(askFor, max(0, j.sendBy.Sub(began)))
	if f.hasOther(began, j, id) {
		wait = 0
	}
	answer := f.Granter.RequestGrant(ctx, granter.Request{
		Backend: id, Urgency: j.urgency(), ReceivedAt: j.req.ReceivedAt, Deadline: began.Add(wait), Wait: wait,
	})
	now := f.Clock.Now()
	j.waited += now.Sub(began)
	if answer.Granted {
		j.grant.by = answer.DecidedBy
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

// limitAttributes returns what a log line says of the request limit that a job has met, if
// any: that of the backend server it went to, or else the latest that had no grant for it.
func (f *Forwarder) limitAttributes(j *job, backend string) []any {
	standing, known := f.Granter.Status(backend)
	if !known && j.grant.denials == 0 {
		return nil
	}
	if !known {
		standing, _ = f.Granter.Status(j.grant.denied)
	}
	return []any{
		"RequestLimit", standing.Limit.Rate, "LimitNamed", standing.Limit.Named,
		"LimitAge", f.Clock.Since(standing.Since).Milliseconds(), "LimitSource", standing.Source,
		"GrantedBy", j.grant.by, "Denials", j.grant.denials, "DeniedBackend", j.grant.denied,
	}
}

// hasOther reports whether a request can go to another backend server than the one chosen.
func (f *Forwarder) hasOther(now time.Time, j *job, id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.HasAlternative(now, &balancer.Waiter{Service: j.service, Adapter: j.adapter, Avoid: j.avoid}, id)
}

// observeLimit takes the request limit that an answer to the job's last try names. Only a
// signed answer without a limit lifts one: a rejection may come from another start at the
// same address.
func (f *Forwarder) observeLimit(j *job, status int, answer platform.Answer) {
	if answer.LimitFault != "" {
		f.limitFault(j, answer.LimitFault)
		return
	}
	rejects := answer.NotRun && status != statusMisdirected
	if answer.Signed || rejects && answer.RequestLimit.Named {
		f.Granter.Observe(j.last.GetId(), answer.RequestLimit, j.about.ID, f.Clock.Since(j.sentAt))
	}
}

// limitFault counts a limit that can't be read. What was known before stands.
func (f *Forwarder) limitFault(j *job, fault string) {
	f.Meter.Increment("request_limits_unreadable", "fault", fault)
	now := f.Clock.Now()
	f.mu.Lock()
	due := now.Sub(f.limitFaultAt) >= limitFaultEvery
	if due {
		f.limitFaultAt = now
	}
	f.mu.Unlock()
	if due {
		f.Log.Warn("request limit of a backend server can't be read", "Backend", j.last.GetId(), "Fault", fault, "RequestID", j.about.ID)
	}
}

// noteSent counts a try towards its backend server's limit.
func (f *Forwarder) noteSent(j *job) {
	kind := granter.First
	switch {
	case j.resume != "":
		kind = granter.Resumed
	case j.sends > 1:
		kind = granter.Repeat
	}
	f.Granter.RecordSent(j.last.GetId(), kind, j.grant.by)
}
