package synchronizer

import (
	"time"

	"bronzelead.example/pkg/wire"
)

// rotation decides which relay is asked next. It is pure.
type rotation struct {
	// turn is the place of the relay in the list.
	turn int
	// fresh is set before the first call to a relay.
	fresh bool
	// asked is when the relay was asked first.
	asked time.Time
	// failures counts the calls in a row that gave no news.
	failures int
}

// isStale reports whether an answer tells of a time too long ago: who gave it has lost the
// controllers, or hears only of somebody who has.
func isStale(res *wire.SyncResponse) bool {
	return time.Duration(res.GetContactAgeMs())*time.Millisecond > staleNews
}

// next takes the end of a call, with nil where there was no answer. It reports whether all
// relays were asked in vain, so that there should be a pause.
func (r *rotation) next(now time.Time, res *wire.SyncResponse, relays int) bool {
	leaderAge := time.Duration(res.GetLeaderAgeMs()) * time.Millisecond
	switch {
	case res == nil || isStale(res):
		r.failures++
		r.change(now, r.turn+1)
		return r.failures >= relays
	case leaderAge > rotateEvery && now.Sub(r.asked) > rotateEvery:
		r.change(now, r.turn+1)
	case r.turn != 0 && now.Sub(r.asked) > homeAfter:
		r.change(now, 0)
	default:
		r.fresh = false
	}
	r.failures = 0
	return false
}

func (r *rotation) change(now time.Time, turn int) {
	r.turn, r.fresh, r.asked = turn, true, now
}
