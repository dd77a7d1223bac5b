package slotgranter

import "time"

const (
	// brittleRetention is how long a backend server counts as brittle after a request for which it
	// did.
	brittleRetention = 5 * time.Second
	// limitDuration is how long a limit is kept after the latest rejection.
	limitDuration = 10 * time.Second
	// limitCut is the part of the requests in progress that are granted after a rejection, and
	// cutInterval the time in which further rejections are taken to have the same cause.
	limitCut    = 0.9
	cutInterval = 250 * time.Millisecond
)

// brittleness limits the requests that are granted to a backend server which crashes after a few
// rejections.
type brittleness struct {
	// until is until when it counts as brittle.
	until time.Time
	// limit is how many requests may be granted and not completed, as of its latest rejection; 0 if
	// it has rejected none lately. No slots are granted ahead under a limit: requests that wait in
	// the backend server's queue may have no room there.
	limit      float64
	limitUntil time.Time
	cutAt      time.Time
}

// grow raises the limit by one for as many completed requests as it allows.
func (b *brittleness) grow() {
	if b.limit > 0 {
		b.limit += 1 / b.limit
	}
}

// Reject records that the backend server has rejected a granted request for want of room, and frees
// its slot.
func (g *Granter) Reject(now time.Time, key string) {
	running := len(g.running)
	g.Release(now, key, false)
	b := &g.brittle
	if !now.Before(b.until) {
		return
	}
	b.limitUntil = now.Add(limitDuration)
	if now.Sub(b.cutAt) >= cutInterval {
		b.cutAt = now
		b.limit = max(1, limitCut*float64(min(g.slots, running)))
	}
}

// updateBrittle ends the limit some time after the latest rejection.
func (g *Granter) updateBrittle(now time.Time) {
	if b := &g.brittle; !now.Before(b.until) || !now.Before(b.limitUntil) {
		b.limit = 0
	}
}
