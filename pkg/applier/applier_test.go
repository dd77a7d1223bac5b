package applier_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"bronzelead.example/pkg/applier"
	"bronzelead.example/pkg/wire"
)

// log applies commands one after the other.
type log struct {
	state *applier.StateMachine
	index uint64
	now   time.Time
}

func newLog() *log { return &log{state: applier.New(), now: time.Unix(1000, 0)} }

func (l *log) apply(cmd *wire.Command) applier.Result {
	l.index++
	cmd.AtNs = l.now.UnixNano()
	data, err := proto.Marshal(cmd)
	if err != nil {
		panic(err)
	}
	return l.state.Apply(&wire.Entry{Index: l.index, Term: 1, Data: data})
}

func (l *log) open() uint64 {
	cmd := &wire.OpenSession{Instance: "entry", Nonce: fmt.Sprint(l.index)}
	return l.apply(&wire.Command{Body: &wire.Command_OpenSession{OpenSession: cmd}}).Session.GetId()
}

func (l *log) closeSession(id uint64) {
	l.apply(&wire.Command{Body: &wire.Command_CloseSession{CloseSession: &wire.CloseSession{Session: id}}})
}

func (l *log) claim(session uint64, key, request string) *wire.ClaimResponse {
	return l.apply(&wire.Command{Body: &wire.Command_Claim{Claim: &wire.ClaimCommand{
		Customer: "v", Key: key, Session: session, RequestId: request, Attempt: request,
		Fingerprint: []byte("same"), KeepNs: int64(time.Hour),
	}}}).Claim
}

func (l *log) finish(key, request, body string) *wire.Outcome {
	return l.apply(&wire.Command{Body: &wire.Command_Finish{Finish: &wire.FinishCommand{
		Customer: "v", Key: key, RequestId: request, Outcome: &wire.Outcome{Status: 200, Body: []byte(body)},
	}}}).Outcome
}

func (l *log) release(key, request string) {
	l.apply(&wire.Command{Body: &wire.Command_Release{Release: &wire.ReleaseCommand{
		Customer: "v", Key: key, RequestId: request,
	}}})
}

// restart restores the state from a snapshot of itself.
func (l *log) restart(c *qt.C) {
	data, err := l.state.Snapshot()
	c.Assert(err, qt.IsNil)
	l.state, err = applier.Restore(data)
	c.Assert(err, qt.IsNil)
}

func TestClaims(t *testing.T) {
	cases := map[string]func(c *qt.C, l *log){
		"the first is granted, a second is not": func(c *qt.C, l *log) {
			s := l.open()
			c.Assert(l.claim(s, "k", "r1").GetGranted(), qt.IsTrue)
			c.Assert(l.claim(s, "k", "r2").GetGranted(), qt.IsFalse)
		},
		"the owner's repeat is granted again": func(c *qt.C, l *log) {
			s := l.open()
			l.claim(s, "k", "r1")
			c.Assert(l.claim(s, "k", "r1").GetGranted(), qt.IsTrue)
		},
		"the first outcome is final": func(c *qt.C, l *log) {
			s := l.open()
			l.claim(s, "k", "r1")
			l.finish("k", "r1", "one")
			c.Assert(string(l.finish("k", "r1", "two").GetBody()), qt.Equals, "one")
			c.Assert(string(l.claim(s, "k", "r2").GetClaim().GetOutcome().GetBody()), qt.Equals, "one")
			c.Assert(l.claim(s, "k", "r1").GetGranted(), qt.IsFalse)
		},
		"a released key may be claimed, a finished one not": func(c *qt.C, l *log) {
			s := l.open()
			l.claim(s, "k", "r1")
			l.release("k", "r2")
			c.Assert(l.claim(s, "k", "r3").GetGranted(), qt.IsFalse)
			l.release("k", "r1")
			c.Assert(l.claim(s, "k", "r3").GetGranted(), qt.IsTrue)
			l.finish("k", "r3", "ran")
			l.release("k", "r3")
			c.Assert(l.claim(s, "k", "r4").GetGranted(), qt.IsFalse)
		},
		"a closed session orphans its claims and is granted none": func(c *qt.C, l *log) {
			s, other := l.open(), l.open()
			l.claim(s, "k", "r1")
			l.closeSession(s)
			found := l.claim(other, "k", "r2")
			c.Assert(found.GetGranted(), qt.IsFalse)
			c.Assert(found.GetClaim().GetOrphaned(), qt.IsTrue)
			c.Assert(l.claim(s, "k", "r1").GetGranted(), qt.IsFalse)
			c.Assert(l.claim(s, "k2", "r1").GetGranted(), qt.IsFalse)
		},
		"a claim expires after its time, not before": func(c *qt.C, l *log) {
			s := l.open()
			l.claim(s, "k", "r1")
			l.now = l.now.Add(time.Hour - time.Second)
			c.Assert(l.claim(s, "k", "r2").GetGranted(), qt.IsFalse)
			l.now = l.now.Add(2 * time.Second)
			c.Assert(l.claim(s, "k", "r3").GetGranted(), qt.IsTrue)
		},
		"a clock that is set back expires nothing and restores nothing": func(c *qt.C, l *log) {
			s := l.open()
			l.claim(s, "k", "r1")
			l.now = l.now.Add(-10 * time.Hour)
			c.Assert(l.claim(s, "k", "r2").GetGranted(), qt.IsFalse)
			// A claim made meanwhile is not forgotten when the clock is right again.
			l.claim(s, "k2", "r3")
			l.now = l.now.Add(10 * time.Hour)
			c.Assert(l.claim(s, "k2", "r4").GetGranted(), qt.IsFalse)
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) { run(qt.New(t), newLog()) })
	}
}

func TestSnapshotChangesNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := qt.New(t)
		plain, restarted := newLog(), newLog()
		for range 60 {
			key := fmt.Sprint("k", rapid.IntRange(0, 3).Draw(rt, "key"))
			request := fmt.Sprint("r", rapid.IntRange(0, 5).Draw(rt, "request"))
			session := uint64(rapid.IntRange(1, 20).Draw(rt, "session"))
			event := rapid.IntRange(0, 5).Draw(rt, "event")
			answers := [2]string{}
			for i, l := range []*log{plain, restarted} {
				answers[i] = applyEvent(l, event, key, request, session)
			}
			c.Assert(answers[0], qt.Equals, answers[1])
			if rapid.IntRange(0, 4).Draw(rt, "restart") == 0 {
				restarted.restart(c)
			}
		}
	})
}

func applyEvent(l *log, event int, key, request string, session uint64) string {
	switch event {
	case 0:
		return fmt.Sprint(l.open())
	case 1:
		l.closeSession(session)
	case 2:
		return string(l.finish(key, request, request).GetBody())
	case 3:
		l.release(key, request)
	case 4:
		l.now = l.now.Add(20 * time.Minute)
	default:
		res := l.claim(session, key, request)
		return fmt.Sprint(res.GetGranted(), res.GetClaim().GetOrphaned(), res.GetClaim().GetState())
	}
	return ""
}

func (l *log) change(id string, base uint64, queue uint32) *wire.ApplyResponse {
	return l.apply(&wire.Command{Body: &wire.Command_ApplyContract{ApplyContract: &wire.ApplyContract{
		ChangeId: id, BaseVersion: base, Contract: &wire.Contract{Customer: "v", QueueLength: queue},
	}}}).Apply
}

func TestContracts(t *testing.T) {
	c := qt.New(t)
	l := newLog()
	first := l.change("a", 0, 1)
	c.Assert(first.GetContract().GetVersion(), qt.Equals, uint64(1))
	c.Assert(l.change("b", 0, 2).GetConflict(), qt.IsTrue)
	c.Assert(l.change("c", 1, 3).GetContract().GetVersion(), qt.Equals, uint64(2))
	for range 2 {
		// A resent change gets its first outcome, also after a restart.
		again := l.change("a", 0, 1)
		c.Assert(again.GetRevision(), qt.Equals, first.GetRevision())
		c.Assert(again.GetContract().GetVersion(), qt.Equals, uint64(1))
		c.Assert(l.change("b", 0, 2).GetConflict(), qt.IsTrue)
		c.Assert(l.change("a", 0, 9).GetReused(), qt.IsTrue)
		c.Assert(l.state.Contract("v").GetQueueLength(), qt.Equals, uint32(3))
		l.restart(c)
	}
	c.Assert(l.state.ChangedSince(first.GetRevision()), qt.HasLen, 1)
	c.Assert(l.state.History("v"), qt.HasLen, 2)
}

func TestReleaseCommittedBeforeClaim(t *testing.T) {
	c := qt.New(t)
	l := newLog()
	s := l.open()
	// A gateway gave up on a claim and released it; the claim is committed afterwards.
	l.release("k", "r1")
	l.restart(c)
	c.Assert(l.claim(s, "k", "r1").GetGranted(), qt.IsFalse)
	// Nobody owns the key, so the caller's next attempt may run.
	c.Assert(l.claim(s, "k", "r2").GetGranted(), qt.IsTrue)
}

// The clock of a leader was set forward: the claim of a running request expired, so that a repeat was granted the key, and
// answers were forgotten, so that a repeat ran again.
func TestClockStepDoesNotExpireClaims(t *testing.T) {
	const step, keep = 24 * 365 * time.Hour, time.Hour
	c := qt.New(t)
	l := newLog()
	s := l.open()
	l.claim(s, "k", "r1")
	l.now = l.now.Add(step)
	c.Check(l.claim(s, "k", "r2").GetGranted(), qt.IsFalse)
	l.restart(c)
	c.Check(l.claim(s, "k", "r2").GetGranted(), qt.IsFalse)
	c.Check(string(l.finish("k", "r1", "ran").GetBody()), qt.Equals, "ran")
	c.Check(string(l.claim(s, "k", "r2").GetClaim().GetOutcome().GetBody()), qt.Equals, "ran")

	l.claim(s, "finished", "r3")
	l.finish("finished", "r3", "ran")
	l.now = l.now.Add(step)
	c.Check(string(l.claim(s, "finished", "r4").GetClaim().GetOutcome().GetBody()), qt.Equals, "ran")
	// A claim is kept once more only, however often the clock steps.
	l.now = l.now.Add(keep + time.Second)
	c.Check(l.claim(s, "finished", "r5").GetGranted(), qt.IsTrue)
}
