package balancer

import "time"

const (
	// returnSpread is the part of a backoff by which the first request after it is delayed at
	// random, up to maxReturnDelay: gateways whose backoffs end together do not return together.
	returnSpread   = 0.1
	maxReturnDelay = 300 * time.Millisecond
	// probeInterval is the time between two requests to a backend server whose backoff is over,
	// until one of them is accepted.
	probeInterval = 500 * time.Millisecond
)

// backoff is the time in which a backend server accepts no requests of this gateway, by its own
// answers.
type backoff struct {
	since, until time.Time
	// probing is set until a request is accepted after the backoff; the next one may be sent at
	// nextProbe.
	probing   bool
	nextProbe time.Time
}

func (o *backoff) active(now time.Time) bool { return now.Before(o.until) }

// sent records that a request is sent.
func (o *backoff) sent(now time.Time) {
	if o.probing {
		o.nextProbe = now.Add(probeInterval)
	}
}

// BackOff records that a backend server has asked this gateway to send it no requests for a
// time. It reports whether a backoff begins. Another answer may extend a backoff and never
// shortens it.
func (b *Balancer) BackOff(now time.Time, id string, d time.Duration) bool {
	k := b.backends[id]
	if k == nil || d <= 0 {
		return false
	}
	begins := !k.backoff.active(now)
	if begins && !k.backoff.probing {
		k.backoff.since = now
	}
	k.backoff.probing = true
	if end := now.Add(d); end.After(k.backoff.until) {
		spread := min(time.Duration(returnSpread*float64(d)), maxReturnDelay)
		k.backoff.until, k.backoff.nextProbe = end, end.Add(time.Duration(b.float64()*float64(spread)))
	}
	return begins
}

// IsBackingOff reports whether a backend server accepts no requests of this gateway.
func (b *Balancer) IsBackingOff(now time.Time, id string) bool {
	k := b.backends[id]
	return k != nil && k.backoff.active(now)
}

// Accepted records that a backend server has not rejected a request. After a backoff it returns
// for how long the backend server has accepted none; otherwise 0. An answer during a backoff is
// to an earlier request and does not end it.
func (b *Balancer) Accepted(now time.Time, id string) time.Duration {
	k := b.backends[id]
	if k == nil || !k.backoff.probing || k.backoff.active(now) {
		return 0
	}
	lasted := now.Sub(k.backoff.since)
	k.backoff = backoff{}
	return lasted
}

// BackingOff returns the number of backend servers that accept no requests of this gateway.
func (b *Balancer) BackingOff(now time.Time) int {
	n := 0
	for _, k := range b.backends {
		if k.backoff.active(now) {
			n++
		}
	}
	return n
}
