// Package shedder decides which new connections an overloaded instance closes before it reads a request
// from them, so that their callers try another instance at once. An instance is overloaded if its work
// waits for the processor. The package has no side effects.
package shedder

import (
	"math"
	"time"
)

const (
	// maxDelay is the delay of work above which fewer connections are accepted. A request passes several
	// such waits.
	maxDelay = 60 * time.Millisecond
	// decreaseTime is the time in which the accepted share falls to 1/e while work is late, and
	// increaseTime the time in which all connections are accepted again while it is not.
	decreaseTime = 300 * time.Millisecond
	increaseTime = 4 * time.Second
	// maxElapsed bounds the time that counts between two observations.
	maxElapsed = 500 * time.Millisecond
	// minShare is the share that is always accepted: it shows when the overload ends.
	minShare = 0.05
)

// Shedder holds the share of new connections that are accepted. The zero value accepts all.
type Shedder struct {
	observedAt time.Time
	// late is set if the latest delay was too long.
	late bool
	// shed is the share of connections that are closed, and due the part of the next one that is.
	shed, due float64
}

// Observe takes the delay of work since the last call. One long delay is a stall that has passed, such as a
// freeze of the instance; several in succession are an overload.
func (s *Shedder) Observe(now time.Time, delay time.Duration) {
	elapsed, wasLate := min(now.Sub(s.observedAt), maxElapsed), s.late
	if s.observedAt.IsZero() {
		elapsed = 0
	}
	s.observedAt, s.late = now, delay > maxDelay
	switch {
	case s.late && wasLate:
		s.shed = min(1-(1-s.shed)*math.Exp(-elapsed.Seconds()/decreaseTime.Seconds()), 1-minShare)
	case !s.late:
		s.shed = max(s.shed-elapsed.Seconds()/increaseTime.Seconds(), 0)
	}
}

// Accept reports whether to serve a new connection; otherwise it is closed unread.
func (s *Shedder) Accept() bool {
	s.due += s.shed
	if s.due < 1 {
		return true
	}
	s.due--
	return false
}

// Shed returns the share of new connections that are closed.
func (s *Shedder) Shed() float64 { return s.shed }
