// Package sessiontracker tracks the gateways' sessions on the leader: which are alive, which
// have reported to this leader, and from when on no request that ran under a session can still
// run.
//
// A gateway counts its lease from when it sent a renewal, the leader from when it received it,
// both on monotonic clocks, so the lease ends first at the gateway. The package has no side
// effects and is not safe for concurrent use.
package sessiontracker

import (
	"cmp"
	"slices"
	"time"

	"bronzelead.example/pkg/limiter"
)

// SessionID identifies a gateway's session.
type SessionID = limiter.SessionID

// Session is the leader's record of one session.
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
	// Reported is set when this leader knows everything that the session holds.
	Reported bool
	// closeProposedAt is when the end of the session was last proposed.
	closeProposedAt time.Time
}

// Tracker holds the sessions. Set the exported fields before use.
type Tracker struct {
	// Lease is how long a session is valid after its last renewal.
	Lease time.Duration
	// MaxRequestDuration is how long a request may run after its dispatch.
	MaxRequestDuration time.Duration

	sessions map[SessionID]*Session
	ended    map[SessionID]endedSession
}

// endedSession is a session that has ended but whose requests may still run.
type endedSession struct {
	releasedAt time.Time
	// holdingsKnown is set when this leader knows what the session held.
	holdingsKnown bool
}

// RenewResult is the result of a renewal.
type RenewResult int

// The results of a renewal.
const (
	// Renewed means that the session was extended.
	Renewed RenewResult = iota
	// Ended means that the session has ended; the gateway must open a new one.
	Ended
	// Stale means that this or a later renewal of the session was received before.
	Stale
	// NeedFull means that the gateway must report all that it holds.
	NeedFull
)

// Open adds a session with its ID and origin set. An adopted session was opened under an
// earlier leader, and what it holds is unknown.
func (t *Tracker) Open(now time.Time, s Session, adopted bool) {
	t.init()
	if t.sessions[s.ID] != nil {
		return
	}
	s.RenewedAt, s.Reported = now, !adopted
	t.sessions[s.ID] = &s
}

// AdoptEnded records a session that ended under an earlier leader without returning what it
// held.
func (t *Tracker) AdoptEnded(now time.Time, id SessionID) {
	t.init()
	t.ended[id] = endedSession{releasedAt: now.Add(t.MaxRequestDuration)}
}

func (t *Tracker) init() {
	if t.sessions == nil {
		t.sessions = map[SessionID]*Session{}
		t.ended = map[SessionID]endedSession{}
	}
}

// Renew processes a renewal. A session that has not reported to this leader yet needs a full
// one.
func (t *Tracker) Renew(now time.Time, id SessionID, sequence, revision uint64, full bool) RenewResult {
	s := t.sessions[id]
	switch {
	case s == nil || !s.closeProposedAt.IsZero():
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

// Expired returns sessions whose lease has expired and whose end the caller has to propose. One
// that is not closed within another lease is returned again: the proposal may have been lost.
func (t *Tracker) Expired(now time.Time) []SessionID {
	var expired []SessionID
	for id, s := range t.sessions {
		if now.Sub(s.RenewedAt) > t.Lease && now.Sub(s.closeProposedAt) > t.Lease {
			s.closeProposedAt = now
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	return expired
}

// RecordClosed records that a session's end is committed. A graceful end has returned
// everything and frees it at once.
func (t *Tracker) RecordClosed(now time.Time, id SessionID, graceful bool) {
	s := t.sessions[id]
	if s == nil {
		return
	}
	delete(t.sessions, id)
	until := now
	if !graceful {
		until = now.Add(t.MaxRequestDuration)
	}
	t.ended[id] = endedSession{releasedAt: until, holdingsKnown: s.Reported || graceful}
}

// Freed returns ended sessions whose requests can't run any more, once each.
func (t *Tracker) Freed(now time.Time) []SessionID {
	var freed []SessionID
	for id, e := range t.ended {
		if !now.Before(e.releasedAt) {
			freed = append(freed, id)
			delete(t.ended, id)
		}
	}
	slices.Sort(freed)
	return freed
}

// HoldingsKnown reports whether this leader knows what every session holds that may have a
// request running. Before that nothing may be evicted.
func (t *Tracker) HoldingsKnown() bool {
	for _, s := range t.sessions {
		if !s.Reported {
			return false
		}
	}
	for _, e := range t.ended {
		if !e.holdingsKnown {
			return false
		}
	}
	return true
}

// Lagging returns the live sessions that have not applied a revision.
func (t *Tracker) Lagging(revision uint64) []*Session {
	var lagging []*Session
	for _, s := range t.All() {
		if s.Revision < revision {
			lagging = append(lagging, s)
		}
	}
	return lagging
}

// Get returns a live session, or nil.
func (t *Tracker) Get(id SessionID) *Session { return t.sessions[id] }

// All returns the live sessions by id.
func (t *Tracker) All() []*Session {
	all := make([]*Session, 0, len(t.sessions))
	for _, s := range t.sessions {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *Session) int { return cmp.Compare(a.ID, b.ID) })
	return all
}
