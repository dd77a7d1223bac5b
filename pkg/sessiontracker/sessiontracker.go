// Package leaser keeps the leader's side of the gateways' sessions: which are
// alive, which have reported to this leader, and from when on nothing that was
// done under a session can still run.
//
// A gateway counts its lease from when it sent a renewal, the leader from when it
// received it, both on monotonic clocks, so the gateway's end comes first. The
// package is pure and not safe for concurrent use.
package sessiontracker

import (
	"cmp"
	"slices"
	"time"

	"bronzelead.example/pkg/limiter"
)

// SessionID names a gateway's session.
type SessionID = limiter.SessionID

// Session is the leader's knowledge of one session.
type Session struct {
	ID       SessionID
	Instance string
	Zone     string
	Address  string
	// RenewedAt is when the leader last received a renewal.
	RenewedAt time.Time
	// Sequence is the number of that renewal.
	Sequence uint64
	// Revision is the last change of contracts that the gateway has applied.
	Revision uint64
	// Reported tells whether this leader knows all that the session holds.
	Reported bool
	// closing is when the end of the session was last proposed.
	closing time.Time
}

// Tracker holds the sessions. Set the exported fields before use.
type Tracker struct {
	// Lease is how long a session lives after its last renewal.
	Lease time.Duration
	// MaxRequestDuration is how long a request may run after its dispatch.
	MaxRequestDuration time.Duration

	sessions map[SessionID]*Session
	ended    map[SessionID]endedSession
}

// endedSession is a session that is over but under which requests may still run.
type endedSession struct {
	until time.Time
	// known tells whether this leader knows what the session held.
	known bool
}

// RenewResult is what a renewal led to.
type RenewResult int

// The verdicts on a renewal.
const (
	// Renewed means that the session lives on.
	Renewed RenewResult = iota
	// Ended means that the session is over; the gateway must open a new one.
	Ended
	// Stale means that a later renewal of the session was seen before.
	Stale
	// NeedFull means that the gateway must report all that it holds.
	NeedFull
)

// Open adds a session with its ID and origin set. With adopted set it was opened
// under an earlier leader, and what it holds is unknown.
func (l *Tracker) Open(now time.Time, s Session, adopted bool) {
	l.init()
	if l.sessions[s.ID] != nil {
		return
	}
	s.RenewedAt, s.Reported = now, !adopted
	l.sessions[s.ID] = &s
}

// AdoptEnded notes a session that ended under an earlier leader, without handing
// back what it held.
func (l *Tracker) AdoptEnded(now time.Time, id SessionID) {
	l.init()
	l.ended[id] = endedSession{until: now.Add(l.MaxRequestDuration)}
}

func (l *Tracker) init() {
	if l.sessions == nil {
		l.sessions = map[SessionID]*Session{}
		l.ended = map[SessionID]endedSession{}
	}
}

// Renew takes a renewal. Only a full one is accepted from a session that has not
// reported yet.
func (l *Tracker) Renew(now time.Time, id SessionID, sequence, revision uint64, full bool) RenewResult {
	s := l.sessions[id]
	switch {
	case s == nil || !s.closing.IsZero():
		return Ended
	case sequence <= s.Sequence:
		return Stale
	}
	s.Sequence = sequence
	s.RenewedAt = now
	s.Revision = max(s.Revision, revision)
	if !s.Reported && !full {
		return NeedFull
	}
	s.Reported = true
	return Renewed
}

// Expired returns sessions whose lease has run out and whose end the caller has to
// put into the log. One whose end has not come there within a lease is returned
// again: the proposal may have been lost.
func (l *Tracker) Expired(now time.Time) []SessionID {
	var expired []SessionID
	for id, s := range l.sessions {
		if now.Sub(s.RenewedAt) > l.Lease && now.Sub(s.closing) > l.Lease {
			s.closing = now
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	return expired
}

// RecordClosed notes that a session's end is in the log. A graceful end has handed
// everything back and frees it at once.
func (l *Tracker) RecordClosed(now time.Time, id SessionID, graceful bool) {
	s := l.sessions[id]
	if s == nil {
		return
	}
	delete(l.sessions, id)
	until := now
	if !graceful {
		until = now.Add(l.MaxRequestDuration)
	}
	l.ended[id] = endedSession{until: until, known: s.Reported || graceful}
}

// Freed returns ended sessions under which nothing can run any more, once each.
func (l *Tracker) Freed(now time.Time) []SessionID {
	var freed []SessionID
	for id, e := range l.ended {
		if !now.Before(e.until) {
			freed = append(freed, id)
			delete(l.ended, id)
		}
	}
	slices.Sort(freed)
	return freed
}

// HoldingsKnown reports whether this leader knows what every session holds that may have
// a request running. Before that nothing may be evicted.
func (l *Tracker) HoldingsKnown() bool {
	for _, s := range l.sessions {
		if !s.Reported {
			return false
		}
	}
	for _, e := range l.ended {
		if !e.known {
			return false
		}
	}
	return true
}

// Lagging returns the live sessions that have not applied a revision.
func (l *Tracker) Lagging(revision uint64) []*Session {
	var lagging []*Session
	for _, s := range l.All() {
		if s.Revision < revision {
			lagging = append(lagging, s)
		}
	}
	return lagging
}

// Get returns a live session, or nil.
func (l *Tracker) Get(id SessionID) *Session { return l.sessions[id] }

// All returns the live sessions by id.
func (l *Tracker) All() []*Session {
	all := make([]*Session, 0, len(l.sessions))
	for _, s := range l.sessions {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *Session) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
