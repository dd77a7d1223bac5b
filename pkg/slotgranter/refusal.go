package slotgranter

import "time"

// TooSlow reports whether an answer would be late even without any wait. It is false when a
// probe is due, whatever the service time: only a completion shows that the backend server is
// fast again.
func (g *Granter) TooSlow(now time.Time, a GrantRequest) bool {
	return !g.canBeOnTime(now, a) && !g.probeDue(now)
}

// probeDue reports whether no request has completed for a while, and none is running or
// waiting.
func (g *Granter) probeDue(now time.Time) bool {
	return len(g.running) == 0 && len(g.waiting) == 0 && now.Sub(g.lastCompletedAt) >= probeInterval
}

// mayWait reports whether a request may wait, for about the given time.
func (g *Granter) mayWait(now time.Time, a GrantRequest, wait time.Duration) bool {
	if !g.canBeOnTime(now, a) {
		return !now.Before(g.overloadedUntil) && now.Add(wait).Before(a.Deadline)
	}
	if g.canBeOnTime(now.Add(wait), a) && (wait <= g.serviceTime() || !g.overloadPersists(now)) {
		return true
	}
	if !now.Before(g.overloadedUntil) {
		g.overloadedSince = now
		g.refusedFor, g.lastGranted, g.lastRefused = 0, 0, 0
	}
	// While gateways hold back requests, none arrives that could be refused.
	g.overloadedUntil = now.Add(overloadDuration + g.refusedFor)
	g.lastRefused++
	g.adaptRefusedFor()
	return false
}

// RefusedFor returns how long requests that are no more urgent than one that was refused just now,
// and have no more time left, would be refused too. It is 0 outside of an overload.
func (g *Granter) RefusedFor(now time.Time, a GrantRequest) time.Duration {
	left := max(0, g.overloadedUntil.Sub(now))
	if !g.canBeOnTime(now, a) {
		return left
	}
	return min(left, max(minRefusedFor, g.refusedFor))
}

// adaptRefusedFor adapts refusedFor to the requests that arrive despite it.
func (g *Granter) adaptRefusedFor() {
	if g.lastGranted+g.lastRefused < adaptedAfter*g.slots {
		return
	}
	switch {
	case g.lastRefused > g.lastGranted:
		g.refusedFor = min(maxRefusedFor, time.Duration(refusedForFactor*float64(max(minRefusedFor, g.refusedFor))))
	case 2*g.lastRefused < g.lastGranted:
		g.refusedFor = max(minRefusedFor, time.Duration(float64(g.refusedFor)/refusedForFactor))
	}
	g.lastGranted, g.lastRefused = 0, 0
}

// overloadPersists reports whether requests that could be on time have been refused for longer
// than a burst lasts. A long queue then serves no more of them, and each of them later.
func (g *Granter) overloadPersists(now time.Time) bool {
	return now.Before(g.overloadedUntil) && now.Sub(g.overloadedSince) > maxBurst
}
