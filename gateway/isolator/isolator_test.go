package isolator

import (
	"context"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/wire"
)

// newIsolator returns one whose clock and whose leader's age are the test's.
func newIsolator(age *time.Duration, refuses bool) (*Isolator, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	i := &Isolator{
		Clock: clock, Log: slog.New(slog.DiscardHandler), Self: "here", LeaderAge: func() time.Duration { return *age },
		ConnectionRefused: func(context.Context, string, string) bool { return refuses },
	}
	i.Init()
	return i, clock
}

func prints(list ...string) func() []string { return func() []string { return list } }

func held(fingerprint, trialAt string) *wire.Suspect {
	return &wire.Suspect{Fingerprint: fingerprint, Held: true, TrialAt: trialAt, LeftS: 60}
}

// lose lets a start end under a request, and waits until that is known.
func lose(c *qt.C, i *Isolator, fingerprint, backend string) {
	_, before := i.Reports(0)
	i.RecordLoss(prints(fingerprint), &wire.RunReport{Backend: backend, RanMs: 10}, "address")
	i.RecordExit(backend)
	_, after := i.Reports(0)
	c.Assert(after > before, qt.IsTrue)
}

// What the leader says is done, by whichever fingerprint; one run at a time is a trial, at
// the one gateway that was named, until it fails.
func TestTheLeadersWord(t *testing.T) {
	for name, test := range map[string]struct {
		list    []*wire.Suspect
		happens func(i *Isolator, clock *clockwork.FakeClock)
		want    Decision
	}{
		"nothing is known":          {nil, nil, Decision{}},
		"another is held":           {[]*wire.Suspect{held("g", "")}, nil, Decision{}},
		"it is held":                {[]*wire.Suspect{held("f", "")}, nil, Decision{Quarantined: true, Remaining: time.Minute}},
		"its other name is held":    {[]*wire.Suspect{held("f2", "")}, nil, Decision{Quarantined: true, Remaining: time.Minute}},
		"it is only suspected":      {[]*wire.Suspect{{Fingerprint: "f"}}, nil, Decision{}},
		"its trial is elsewhere":    {[]*wire.Suspect{held("f", "there")}, nil, Decision{Quarantined: true, Remaining: time.Minute}},
		"its trial is here":         {[]*wire.Suspect{held("f", "here")}, nil, Decision{Trial: "f"}},
		"it is under trial already": {[]*wire.Suspect{held("f", "here")}, func(i *Isolator, _ *clockwork.FakeClock) { i.Check(prints("f")) }, Decision{Quarantined: true, Remaining: time.Minute}},
		"its trial was lost": {[]*wire.Suspect{held("f", "here")}, func(i *Isolator, _ *clockwork.FakeClock) {
			i.Check(prints("f"))
			i.EndTrial("f", true)
		}, Decision{Quarantined: true, Remaining: time.Minute}},
		"its trial was lost, and something else has changed": {[]*wire.Suspect{held("f", "here")}, func(i *Isolator, _ *clockwork.FakeClock) {
			i.Check(prints("f"))
			i.EndTrial("f", true)
			i.SetSuspects(8, []*wire.Suspect{held("f", "here"), held("g", "")})
		}, Decision{Quarantined: true, Remaining: time.Minute}},
		"its trial was lost some time ago": {[]*wire.Suspect{held("f", "here")}, func(i *Isolator, clock *clockwork.FakeClock) {
			i.Check(prints("f"))
			i.EndTrial("f", true)
			clock.Advance(trialAgainAfter)
			i.tick()
		}, Decision{Trial: "f"}},
		"its trial was not sent": {[]*wire.Suspect{held("f", "here")}, func(i *Isolator, _ *clockwork.FakeClock) {
			i.Check(prints("f"))
			i.EndTrial("f", false)
		}, Decision{Trial: "f"}},
		"it was released":       {[]*wire.Suspect{held("f", "")}, func(i *Isolator, _ *clockwork.FakeClock) { i.SetSuspects(8, nil) }, Decision{}},
		"an older list is late": {[]*wire.Suspect{held("f", "")}, func(i *Isolator, _ *clockwork.FakeClock) { i.SetSuspects(6, nil) }, Decision{Quarantined: true, Remaining: time.Minute}},
	} {
		t.Run(name, func(t *testing.T) {
			age := time.Duration(0)
			i, clock := newIsolator(&age, false)
			i.SetSuspects(7, test.list)
			if test.happens != nil {
				test.happens(i, clock)
			}
			qt.New(t).Check(i.Check(prints("f", "f2")), qt.Equals, test.want)
		})
	}
}

// A gateway that hears no leader goes by what it has seen itself, and by the leader's word
// again as soon as there is one.
func TestAGatewayAloneHoldsBackItself(t *testing.T) {
	c := qt.New(t)
	age := time.Duration(0)
	i, clock := newIsolator(&age, false)
	for _, backend := range []string{"a", "b", "c"} {
		lose(c, i, "f", backend)
		clock.Advance(time.Second)
	}
	i.tick()
	c.Check(i.Check(prints("f")).Quarantined, qt.IsFalse)
	age = time.Hour
	i.tick()
	c.Check(i.Check(prints("f")).Quarantined, qt.IsTrue)
	c.Check(i.Check(prints("g")).Quarantined, qt.IsFalse)
	age = 0
	c.Check(i.Check(prints("f")).Quarantined, qt.IsFalse)
}

// While nothing has ended no request is looked at, and so again once all of it is old.
func TestNothingIsAskedWhileNothingEnded(t *testing.T) {
	c := qt.New(t)
	age := time.Duration(0)
	i, clock := newIsolator(&age, false)
	asked := 0
	ask := func() []string { asked++; return []string{"f"} }
	look := func() {
		i.Check(ask)
		i.Suspected(ask)
		i.RecordCompletion(ask, "a")
	}
	look()
	c.Check(asked, qt.Equals, 0)
	lose(c, i, "f", "a")
	look()
	c.Check(asked, qt.Equals, 3)
	clock.Advance(time.Hour)
	i.tick()
	look()
	c.Check(asked, qt.Equals, 3)
}

// After a lost run the address is asked once, for all that were lost there; only if nothing
// listens any more the process has ended.
func TestAnEndIsConfirmed(t *testing.T) {
	for name, refuses := range map[string]bool{"nothing listens": true, "it still listens": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			age := time.Duration(0)
			i, _ := newIsolator(&age, refuses)
			asked := make(chan struct{}, 3)
			release := make(chan struct{})
			i.ConnectionRefused = func(context.Context, string, string) bool {
				asked <- struct{}{}
				<-release
				return refuses
			}
			for _, fingerprint := range []string{"f", "g"} {
				i.RecordLoss(prints(fingerprint), &wire.RunReport{Backend: "b"}, "address")
			}
			<-asked
			i.probing["b"] = true
			done := make(chan struct{})
			go func() { i.probe("b", "address"); close(done) }()
			close(release)
			<-done
			reports, _ := i.Reports(0)
			c.Check(len(reports) == 2, qt.Equals, refuses)
		})
	}
}

// What a backend server says of itself, and who follows at its address, decides whether a
// lost run counts.
func TestAnnouncements(t *testing.T) {
	for name, test := range map[string]struct {
		said    *wire.Announcement
		reports int
	}{
		"another start has its address": {&wire.Announcement{Id: "b", Gone: true}, 1},
		"it leaves":                     {&wire.Announcement{Id: "b", Draining: true}, 0},
		"it has left":                   {&wire.Announcement{Id: "b", Draining: true, Gone: true}, 0},
		"it goes on":                    {&wire.Announcement{Id: "b"}, 0},
		"another one is gone":           {&wire.Announcement{Id: "c", Gone: true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			age := time.Duration(0)
			i, _ := newIsolator(&age, false)
			i.RecordLoss(prints("f"), &wire.RunReport{Backend: "b"}, "address")
			i.ObserveAnnouncement(test.said)
			reports, _ := i.Reports(0)
			qt.New(t).Check(reports, qt.HasLen, test.reports)
		})
	}
}
