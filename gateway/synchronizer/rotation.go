package synchronizer

import (
	"time"

	"bronzelead.example/pkg/wire"
)

// rotation decides which relay is called next. It is pure.
type rotation struct {
	// index is the position of the relay in the list, before the modulo.
	index int
	// firstCall is set before the first call to a relay.
	firstCall bool
	// since is when the relay was selected.
	since time.Time
	// failures counts the consecutive calls that gave no current state.
	failures int
}

// isStale reports whether the state in a response is too old: its sender, or the one that it
// relays, has lost contact with the controllers.
func isStale(res *wire.SyncResponse) bool {
	return time.Duration(res.GetContactAgeMs())*time.Millisecond > maxRelayAge
}

// observe takes the response to a call, or nil. It reports whether all relays were called in
// vain, so that there should be a pause.
func (r *rotation) observe(now time.Time, res *wire.SyncResponse, relays int) bool {
	leaderAge := time.Duration(res.GetLeaderAgeMs()) * time.Millisecond
	switch {
	case res == nil || isStale(res):
		r.failures++
		r.change(now, r.index+1)
		return r.failures >= relays
	case leaderAge > rotationInterval && now.Sub(r.since) > rotationInterval:
		r.change(now, r.index+1)
	case r.index != 0 && now.Sub(r.since) > failbackDelay:
		r.change(now, 0)
	default:
		r.firstCall = false
	}
	r.failures = 0
	return false
}

func (r *rotation) change(now time.Time, index int) {
	r.index, r.firstCall, r.since = index, true, now
}
