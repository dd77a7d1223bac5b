package slotgranter

import "time"

const (
	// brittleRetention is how long a backend server counts as brittle after a request for which it
	// did.
	brittleRetention = 5 * time.Second
	// exactDuration is how long no slots are granted ahead after a brittle backend server has
	// rejected a request.
	exactDuration = 10 * time.Second
)

// Reject records that the backend server has rejected a granted request for want of room, and frees
// its slot. A brittle one is granted no more requests than it has slots from then on: those that wait
// for messages in its queue have no room.
func (g *Granter) Reject(now time.Time, key string) {
	g.Release(now, key, false)
	if now.Before(g.brittleUntil) {
		g.exactUntil = now.Add(exactDuration)
	}
	g.updateExact(now)
}

// updateExact decides whether slots are granted ahead.
func (g *Granter) updateExact(now time.Time) {
	g.exact = now.Before(g.brittleUntil) && now.Before(g.exactUntil)
}
