package sessiontracker_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/sessiontracker"
)

const lease = 3 * time.Second

func start() time.Time { return time.Unix(1000, 0) }

func newTracker(adopted bool) *sessiontracker.Tracker {
	l := &sessiontracker.Tracker{Lease: lease, MaxRequestDuration: time.Minute}
	l.Open(start(), sessiontracker.Session{ID: 1, Instance: "entry-1"}, adopted)
	return l
}

func TestRenew(t *testing.T) {
	cases := map[string]struct {
		adopted  bool
		id       sessiontracker.SessionID
		sequence uint64
		full     bool
		want     sessiontracker.RenewResult
	}{
		"a session of this leader":                 {id: 1, sequence: 1, want: sessiontracker.Renewed},
		"an unknown session":                       {id: 2, sequence: 1, want: sessiontracker.Ended},
		"a renewal with an old sequence number":    {id: 1, want: sessiontracker.Stale},
		"an adopted session with a partial report": {adopted: true, id: 1, sequence: 1, want: sessiontracker.NeedFull},
		"an adopted session with a full report":    {adopted: true, id: 1, sequence: 1, full: true, want: sessiontracker.Renewed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := newTracker(tc.adopted)
			c.Assert(l.Renew(start(), tc.id, tc.sequence, 0, tc.full), qt.Equals, tc.want)
			c.Assert(l.HoldingsKnown(), qt.Equals, !tc.adopted || tc.full)
		})
	}
}

func TestSessionExpiry(t *testing.T) {
	c := qt.New(t)
	l := newTracker(false)
	c.Assert(l.Expired(start().Add(lease)), qt.HasLen, 0)
	afterLease := start().Add(lease + time.Millisecond)
	c.Assert(l.Expired(afterLease), qt.DeepEquals, []sessiontracker.SessionID{1})
	c.Assert(l.Expired(afterLease), qt.HasLen, 0)
	// From then on it can't be renewed, and if its end is not committed it is returned again.
	c.Assert(l.Renew(afterLease, 1, 1, 0, true), qt.Equals, sessiontracker.Ended)
	afterRetry := afterLease.Add(lease + time.Millisecond)
	c.Assert(l.Expired(afterRetry), qt.DeepEquals, []sessiontracker.SessionID{1})
	l.RecordClosed(afterRetry, 1, false)
	c.Assert(l.Expired(afterRetry.Add(time.Hour)), qt.HasLen, 0)
	// What it held is freed only when none of its requests can run any more.
	c.Assert(l.Freed(afterRetry.Add(time.Minute-time.Millisecond)), qt.HasLen, 0)
	c.Assert(l.Freed(afterRetry.Add(time.Minute)), qt.DeepEquals, []sessiontracker.SessionID{1})
}

func TestSessionsOfEarlierLeaders(t *testing.T) {
	c := qt.New(t)
	l := newTracker(true)
	l.AdoptEnded(start(), 9)
	c.Assert(l.HoldingsKnown(), qt.IsFalse)
	l.Renew(start(), 1, 1, 0, true)
	c.Assert(l.HoldingsKnown(), qt.IsFalse, qt.Commentf("requests of the ended session may still run"))
	c.Assert(l.Freed(start().Add(time.Minute)), qt.DeepEquals, []sessiontracker.SessionID{9})
	c.Assert(l.HoldingsKnown(), qt.IsTrue)
}
