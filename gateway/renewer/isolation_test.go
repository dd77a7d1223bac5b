package renewer

import (
	"context"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/isolator"
	"bronzelead.example/pkg/wire"
)

func newRenewer() *Renewer {
	clock := clockwork.NewFakeClock()
	i := &isolator.Isolator{
		Clock: clock, Log: slog.New(slog.DiscardHandler),
		ConnectionRefused: func(context.Context, string, string) bool { return false },
	}
	i.Init()
	return &Renewer{Clock: clock, Isolator: i}
}

// loses lets a start end that another one follows, by the leader's word.
func (r *Renewer) loses(c *qt.C) {
	r.noteAnswer(&wire.RenewResponse{Term: r.term, Backends: []*wire.Backend{{Name: "e", Incarnation: "1"}}}, r.reported)
	lost := &wire.RunReport{Backend: isolator.IncarnationID("e", "1")}
	r.Isolator.RecordLoss(func() []string { return []string{"f"} }, lost, "address")
	r.noteAnswer(&wire.RenewResponse{Term: r.term, Backends: []*wire.Backend{{Name: "e", Incarnation: "2"}}}, r.reported)
	reports, _ := r.Isolator.Reports(0)
	c.Assert(reports, qt.HasLen, 1)
}

// A leader is told once of each run that was lost; one that has just begun is told of all.
func TestEachLeaderIsToldOfAllRuns(t *testing.T) {
	c := qt.New(t)
	r := newRenewer()
	r.term = 1
	r.loses(c)
	renew := func(term uint64) int {
		req := &wire.RenewRequest{}
		reported := r.report(req)
		r.noteAnswer(&wire.RenewResponse{Term: term}, reported)
		return len(req.GetRunReports())
	}
	c.Check(renew(1), qt.Equals, 1)
	c.Check(renew(1), qt.Equals, 0)
	c.Check(renew(2), qt.Equals, 0)
	c.Check(renew(2), qt.Equals, 1)
	c.Check(renew(2), qt.Equals, 0)
}

// The leader's word is as old as its last answer.
func TestTheAgeOfTheLeadersWord(t *testing.T) {
	c := qt.New(t)
	r := newRenewer()
	c.Check(r.LeaderAge(), qt.Equals, never)
	r.noteAnswer(&wire.RenewResponse{}, 0)
	r.Clock.(*clockwork.FakeClock).Advance(3 * time.Second)
	c.Check(r.LeaderAge(), qt.Equals, 3*time.Second)
}
