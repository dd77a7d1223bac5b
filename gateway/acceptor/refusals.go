package acceptor

import (
	"sync"
	"time"
)

// refusalLogInterval is the shortest time between two log lines on requests that could not be read.
const refusalLogInterval = time.Second

// refusalLog limits the rate of log lines, since any client can cause refusals.
type refusalLog struct {
	mu       sync.Mutex
	loggedAt time.Time
	// omitted counts the refusals since the last line.
	omitted int
}

// take reports whether to log a refusal now, and how many were not logged before.
func (l *refusalLog) take(now time.Time) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.loggedAt) < refusalLogInterval {
		l.omitted++
		return 0, false
	}
	omitted = l.omitted
	l.loggedAt, l.omitted = now, 0
	return omitted, true
}

// recordRefusal logs and counts a request that could not be read.
func (a *Acceptor) recordRefusal(c *conn, status int, reason error) {
	if a.OnRefusal != nil {
		a.OnRefusal(status)
	}
	if omitted, ok := a.refusals.take(a.Clock.Now()); ok {
		a.Log.Info("rejected a request that could not be read", "Caller", c.RemoteAddr().String(), "Status", status,
			"Reason", reason.Error(), "NotLogged", omitted)
	}
}
