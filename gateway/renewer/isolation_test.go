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

// loseRun records a lost run of an incarnation that, by the leader's state, has been replaced.
func (r *Renewer) loseRun(c *qt.C) {
	r.applyResponse(&wire.RenewResponse{Term: r.term, Backends: []*wire.Backend{{Name: "e", Incarnation: "1"}}}, r.lastReport)
	lost := &wire.RunReport{Backend: isolator.IncarnationID("e", "1")}
	r.Isolator.RecordLoss(func() []string { return []string{"f"} }, lost, "address")
	r.applyResponse(&wire.RenewResponse{Term: r.term, Backends: []*wire.Backend{{Name: "e", Incarnation: "2"}}}, r.lastReport)
	reports, _ := r.Isolator.Reports(0)
	c.Assert(reports, qt.HasLen, 1)
}

// A leader receives each report of a lost run once; a new leader receives all of them.
func TestEachLeaderReceivesAllReports(t *testing.T) {
	c := qt.New(t)
	r := newRenewer()
	r.term = 1
	r.loseRun(c)
	renew := func(term uint64) int {
		req := &wire.RenewRequest{}
		reported := r.addReports(req)
		r.applyResponse(&wire.RenewResponse{Term: term}, reported)
		return len(req.GetRunReports())
	}
	c.Check(renew(1), qt.Equals, 1)
	c.Check(renew(1), qt.Equals, 0)
	c.Check(renew(2), qt.Equals, 0)
	c.Check(renew(2), qt.Equals, 1)
	c.Check(renew(2), qt.Equals, 0)
}

// The leader's state is as old as its last answer.
func TestLeaderAge(t *testing.T) {
	c := qt.New(t)
	r := newRenewer()
	c.Check(r.LeaderAge(), qt.Equals, neverContactedAge)
	r.applyResponse(&wire.RenewResponse{}, 0)
	r.Clock.(*clockwork.FakeClock).Advance(3 * time.Second)
	c.Check(r.LeaderAge(), qt.Equals, 3*time.Second)
}
