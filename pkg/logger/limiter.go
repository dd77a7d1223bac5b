package logger

import (
	"sync"
	"time"
)

// Limiter limits the rate of log lines that any client can cause. Set the exported field before use.
type Limiter struct {
	// Interval is the shortest time between two lines.
	Interval time.Duration

	mu       sync.Mutex
	loggedAt time.Time
	// omitted counts the lines that were not logged since the last one.
	omitted int
}

// Take reports whether to log a line now, and how many were omitted before.
func (l *Limiter) Take(now time.Time) (omitted int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.loggedAt.IsZero() && now.Sub(l.loggedAt) < l.Interval {
		l.omitted++
		return 0, false
	}
	omitted = l.omitted
	l.loggedAt, l.omitted = now, 0
	return omitted, true
}
