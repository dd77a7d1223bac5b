package balancer

import "time"

// Leave records that a backend server has announced in an answer that it is leaving. It reports
// whether this was not known before.
func (b *Balancer) Leave(now time.Time, id string) bool {
	k := b.backends[id]
	if k == nil || !k.leavingSince.IsZero() {
		return false
	}
	k.leavingSince = now
	return true
}

// Constraint is why a backend server gets no further requests, by its own answers.
type Constraint string

// The constraints, as logged.
const (
	Unconstrained Constraint = ""
	BackingOff    Constraint = "Backoff"
	Leaving       Constraint = "Leaving"
)

// ConstraintOf returns the strictest constraint of a backend server, since when it is in force, and
// how long it remains; 0 if it has no end. One that is leaving still serves the requests that were
// chosen for it before; one in a backoff does not.
func (b *Balancer) ConstraintOf(now time.Time, id string) (constraint Constraint, since time.Time, left time.Duration) {
	k := b.backends[id]
	switch {
	case k == nil:
	case k.backoff.active(now):
		return BackingOff, k.backoff.since, k.backoff.until.Sub(now)
	case !k.leavingSince.IsZero():
		return Leaving, k.leavingSince, 0
	}
	return Unconstrained, time.Time{}, 0
}
