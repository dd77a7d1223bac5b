package forwarder

import (
	"maps"
	"time"

	"bronzelead.example/gateway/granter"
	"bronzelead.example/pkg/balancer"
	"bronzelead.example/platform"
)

// backoffFaultLogInterval is the minimum time between two log lines on unreadable backoffs.
const backoffFaultLogInterval = 10 * time.Second

// constrainedSends counts, by kind, the requests that were sent to backend servers which had
// announced that they accept none.
type constrainedSends map[string]map[granter.AttemptKind]int

// observeConstraints records what an answer to the job's last attempt announces about further
// requests to its backend server. An answer of another incarnation at the same address says
// nothing about it.
func (f *Forwarder) observeConstraints(j *job, status int, answer platform.Response) {
	if status == statusMisdirected {
		return
	}
	if answer.BackoffFault != "" {
		f.recordBackoffFault(j, answer.BackoffFault)
	}
	id, now := j.lastBackend.GetId(), f.Clock.Now()
	f.mu.Lock()
	begins := f.balancer.BackOff(now, id, answer.Backoff)
	leaves := (answer.Signed || answer.NotRun) && answer.Leaving && f.balancer.Leave(id)
	f.mu.Unlock()
	if begins {
		f.Meter.Increment("backend_constraints", "kind", "Backoff")
		f.Log.Info("backend server accepts no requests for a time", "Backend", id, "Service", j.service, "For", answer.Backoff.Milliseconds(),
			"AnswerTo", j.meta.ID, "Status", status, "SinceSent", now.Sub(j.sentAt).Milliseconds())
	}
	if leaves {
		f.Meter.Increment("backend_constraints", "kind", "Leaving")
		f.Log.Info("backend server is leaving", "Backend", id, "Service", j.service, "AnswerTo", j.meta.ID,
			"SinceSent", now.Sub(j.sentAt).Milliseconds())
	}
}

// recordBackoffFault counts an unreadable backoff.
func (f *Forwarder) recordBackoffFault(j *job, fault string) {
	f.Meter.Increment("backoffs_unreadable", "fault", fault)
	now := f.Clock.Now()
	f.mu.Lock()
	due := now.Sub(f.backoffFaultLoggedAt) >= backoffFaultLogInterval
	if due {
		f.backoffFaultLoggedAt = now
	}
	f.mu.Unlock()
	if due {
		f.Log.Warn("could not read how long a backend server accepts no requests", "Backend", j.lastBackend.GetId(), "Fault", fault, "RequestID", j.meta.ID)
	}
}

// constraint returns what the job's backend server has announced about further requests.
func (f *Forwarder) constraint(id string) balancer.Constraint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.Constraint(f.Clock.Now(), id)
}

// constraintAttributes returns the log attributes of a backend server's constraint, if any.
func (f *Forwarder) constraintAttributes(id string) []any {
	c := f.constraint(id)
	var list []any
	if c.Backoff > 0 {
		list = append(list, "BackoffLeft", c.Backoff.Milliseconds(), "BackoffAge", c.Since.Milliseconds())
	}
	if c.Leaving {
		list = append(list, "Leaving", true)
	}
	return list
}

// countConstrainedSend counts a request that is sent to a backend server which accepts none.
func (f *Forwarder) countConstrainedSend(id string, kind granter.AttemptKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.balancer.Constraint(f.Clock.Now(), id)
	if c.Backoff == 0 && !c.Leaving {
		return
	}
	f.Meter.Increment("requests_despite_constraints", "kind", string(kind))
	if f.constrainedSends[id] == nil {
		f.constrainedSends[id] = map[granter.AttemptKind]int{}
	}
	f.constrainedSends[id][kind]++
}

// logConstrainedSends logs the requests sent despite constraints since the last log line.
func (f *Forwarder) logConstrainedSends() {
	f.mu.Lock()
	list := maps.Clone(f.constrainedSends)
	clear(f.constrainedSends)
	f.mu.Unlock()
	for id, sent := range list {
		f.Log.Warn("requests to a backend server that accepts none", "Backend", id, "Sent", sent)
	}
}
