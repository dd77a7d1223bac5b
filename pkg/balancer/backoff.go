package balancer

import "time"

// BackOff records that a backend server has asked this gateway to send it no requests for a
// time. It reports whether a backoff begins, rather than one that is in force going on.
func (b *Balancer) BackOff(now time.Time, id string, d time.Duration) bool {
	k := b.backends[id]
	if k == nil || d <= 0 {
		return false
	}
	begins := !k.backingOff(now)
	if begins {
		k.backoffSince = now
	}
	if end := now.Add(d); end.After(k.backoffUntil) {
		k.backoffUntil = end
	}
	return begins
}

func (k *backend) backingOff(now time.Time) bool { return now.Before(k.backoffUntil) }

// Leave records that a backend server has announced in an answer that it is leaving. It reports
// whether this was not known before.
func (b *Balancer) Leave(id string) bool {
	k := b.backends[id]
	if k == nil || k.leaving {
		return false
	}
	k.leaving = true
	return true
}

// Constraint is what a backend server has announced in its answers about further requests.
type Constraint struct {
	// Backoff is how long it still accepts no requests, and Since how long it has done so; 0 if
	// it accepts requests.
	Backoff time.Duration
	Since   time.Duration
	// Leaving is set if it is leaving.
	Leaving bool
}

// Constraint returns what a backend server has announced about further requests.
func (b *Balancer) Constraint(now time.Time, id string) Constraint {
	k := b.backends[id]
	if k == nil {
		return Constraint{}
	}
	c := Constraint{Leaving: k.leaving}
	if k.backingOff(now) {
		c.Backoff, c.Since = k.backoffUntil.Sub(now), now.Sub(k.backoffSince)
	}
	return c
}
