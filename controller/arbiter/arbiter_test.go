package arbiter

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/applier"
	"bronzelead.example/pkg/quarantiner"
	"bronzelead.example/pkg/wire"
)

// court is an arbiter whose log commits each change at once.
type court struct {
	*Arbiter
	state *applier.StateMachine
	index uint64
	now   time.Time
	// counted are the changes that were counted.
	counted map[string]int
}

func newCourt() *court {
	t := &court{Arbiter: &Arbiter{}, state: applier.New(), now: time.Unix(1000, 0), counted: map[string]int{}}
	t.Log = slog.New(slog.DiscardHandler)
	t.State = func() *applier.StateMachine { return t.state }
	t.Propose = t.commit
	t.Gateways = func() []string { return []string{"a:1", "b:1", "c:1"} }
	t.Count = func(change string) { t.counted[change]++ }
	t.Init()
	return t
}

func (t *court) commit(cmd *wire.Command) {
	t.index++
	cmd.AtNs = t.now.UnixNano()
	data, err := proto.Marshal(cmd)
	if err != nil {
		panic(err)
	}
	t.state.Apply(&wire.Entry{Index: t.index, Term: 1, Data: data})
	t.SyncState(t.now)
}

// ends lets enough starts end under a request, one after the other, and the leader judge.
func (t *court) ends(fingerprint string) {
	for i := range quarantiner.QuarantineThreshold {
		t.now = t.now.Add(time.Second)
		t.ReceiveReports(t.now, []*wire.RunReport{{Fingerprint: fingerprint, Backend: fmt.Sprint(fingerprint, i), Model: "m/a", Place: "POST h/x"}})
	}
	t.lead(1)
}

func (t *court) lead(term uint64) {
	t.now = t.now.Add(2 * time.Second)
	t.Tick(t.now)
	t.LeaderTick(t.now, term)
	t.now = t.now.Add(2 * time.Second)
	t.LeaderTick(t.now, term)
}

// Who knows an older list is told the whole of the latest, at once; who knows it is not, and
// nobody is told the list of a term that is over.
func TestListsAreNumbered(t *testing.T) {
	c := qt.New(t)
	court := newCourt()
	court.lead(1)
	_, none := court.SuspectsFor(1, 0)
	c.Check(court.HasUpdate(1, 0), qt.IsFalse)
	court.ends("f")
	c.Check(court.HasUpdate(1, none), qt.IsTrue)
	list, revision := court.SuspectsFor(1, none)
	c.Assert(list, qt.HasLen, 1)
	c.Check(revision > none, qt.IsTrue)
	c.Check(court.HasUpdate(1, revision), qt.IsFalse)
	list, _ = court.SuspectsFor(1, revision)
	c.Check(list, qt.HasLen, 0)
	_, old := court.SuspectsFor(2, revision)
	c.Check(old, qt.Equals, uint64(0))
	court.Invalidate()
	court.lead(2)
	list, later := court.SuspectsFor(2, revision)
	c.Check(list, qt.HasLen, 1)
	c.Check(later > revision, qt.IsTrue)
	c.Check(court.counted["Held"], qt.Equals, 1)
}

// All that is asked for at one place is tried at one gateway, whichever leads and by whichever
// fingerprint it is held; without a gateway there is no trial.
func TestATrialIsAtOneGateway(t *testing.T) {
	c := qt.New(t)
	court := newCourt()
	court.ends("f")
	court.ends("g")
	court.commit(&wire.Command{Body: &wire.Command_PutAdapterVersion{PutAdapterVersion: &wire.AdapterVersion{
		Model: "m", Adapter: "a", Version: 2,
	}}})
	court.lead(1)
	list, _ := court.SuspectsFor(1, 0)
	c.Assert(list, qt.HasLen, 2)
	c.Check(list[0].GetTrialAt(), qt.Not(qt.Equals), "")
	c.Check(list[1].GetTrialAt(), qt.Equals, list[0].GetTrialAt())
	court.Gateways = func() []string { return nil }
	court.lead(1)
	list, _ = court.SuspectsFor(1, 0)
	c.Check(list[0].GetTrialAt(), qt.Equals, "")
}

// What gives way to others is counted.
func TestWhatMakesRoomIsCounted(t *testing.T) {
	c := qt.New(t)
	court := newCourt()
	for i := range applier.MaxQuarantined + 3 {
		court.commit(&wire.Command{Body: &wire.Command_HoldRequest{HoldRequest: &wire.HeldRequest{Fingerprint: fmt.Sprint(i)}}})
	}
	c.Check(court.counted["MadeRoom"], qt.Equals, 3)
}
