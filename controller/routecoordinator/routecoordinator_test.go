package routecoordinator

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"bronzelead.example/controller/keeper"
	"bronzelead.example/pkg/placer"
	"bronzelead.example/pkg/recorder"
	"bronzelead.example/pkg/wire"
)

// keeperFake is a log that applies each command at once.
type keeperFake struct {
	standing keeper.Standing
	index    uint64
	in       chan keeper.Item
	mu       sync.Mutex
}

func (k *keeperFake) Standing() *keeper.Standing { return &k.standing }
func (k *keeperFake) Leads() bool                { return k.standing.Role != 0 }
func (k *keeperFake) Compact(uint64, []byte)     {}

func (k *keeperFake) Propose(_ context.Context, cmd *wire.Command) (recorder.Result, error) {
	k.in <- k.item(cmd)
	return recorder.Result{}, nil
}

// item is a committed command.
func (k *keeperFake) item(cmd *wire.Command) keeper.Item {
	return keeper.Item{Applied: []keeper.Applied{k.entry(cmd)}}
}

func (k *keeperFake) entry(cmd *wire.Command) keeper.Applied {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.index++
	data, err := proto.Marshal(cmd)
	if err != nil {
		panic(err)
	}
	return keeper.Applied{Entry: &wire.Entry{Index: k.index, Term: 1, Data: data}}
}

func putTable(version uint64, document string) *wire.Command {
	return &wire.Command{Body: &wire.Command_PutTable{PutTable: &wire.PutTable{
		Table: &wire.RoutingTable{Version: version}, Document: []byte(document),
	}}}
}

// newCurator returns a curator whose goroutine is the test's: calls are carried out by
// run, so that nothing depends on timing.
func newCurator() (*Coordinator, *keeperFake) {
	k := &keeperFake{in: make(chan keeper.Item, 16)}
	c := &Coordinator{
		Clock: clockwork.NewFakeClock(), Log: slog.New(slog.DiscardHandler), Raft: k, Committed: k.in,
		SendOrder: func(placer.Order, uint64, func(placer.Outcome, *placer.State)) {}, Relay: func([]*wire.Announcement) {},
		Controllers: func() []string { return nil }, Policy: placer.DefaultPolicy(), SilentAfter: 4 * time.Second,
		SnapshotEntries: 1000, SnapshotBytes: 1 << 20,
	}
	c.Init()
	return c, k
}

func lead(c *Coordinator, k *keeperFake) {
	k.standing = keeper.Standing{Role: 3, Term: 2, Leader: "a", LeaseUntil: c.Clock.Now().Add(time.Hour)}
	c.tick(c.Clock.Now())
}

func TestTablesOfHigherVersionsAreTold(t *testing.T) {
	c := qt.New(t)
	cu, k := newCurator()
	lead(cu, k)
	for _, change := range []struct {
		version uint64
		want    string
	}{{5, "a"}, {4, "a"}, {5, "a"}, {7, "d"}} {
		document := map[uint64]string{5: "a", 4: "b", 7: "d"}[change.version]
		if change.version == 5 && cu.state.Table() != nil {
			document = "other content under the version held"
		}
		cu.apply(keeper.Item{Applied: []keeper.Applied{k.entry(putTable(change.version, document))}})
		c.Check(string(cu.state.Table().GetDocument()), qt.Equals, change.want)
	}
	res := cu.news(cu.Clock.Now(), &wire.SyncRequest{WantTable: true})
	c.Check(res.GetTable().GetVersion(), qt.Equals, uint64(7))
	c.Check(cu.news(cu.Clock.Now(), &wire.SyncRequest{WantTable: true, TableVersion: 7}).GetTable(), qt.IsNil)
	c.Check(cu.news(cu.Clock.Now(), &wire.SyncRequest{}).GetTable(), qt.IsNil)
}

// A controller that restarts with a snapshot does not hand out its table before a leader
// was known: the table may have been replaced since.
func TestTheTableOfASnapshotWaitsForALeader(t *testing.T) {
	c := qt.New(t)
	before, k := newCurator()
	before.apply(keeper.Item{Applied: []keeper.Applied{k.entry(putTable(5, "a"))}})
	state, err := before.state.Snapshot()
	c.Assert(err, qt.IsNil)
	cu, k := newCurator()
	cu.apply(keeper.Item{Restore: &wire.Snapshot{Index: 1, Term: 1, State: state}})
	cu.tick(cu.Clock.Now())
	c.Check(cu.news(cu.Clock.Now(), &wire.SyncRequest{WantTable: true}).GetTableVersion(), qt.Equals, uint64(0))
	lead(cu, k)
	c.Check(cu.news(cu.Clock.Now(), &wire.SyncRequest{WantTable: true}).GetTable().GetVersion(), qt.Equals, uint64(5))
}

// Of many gateways, the one whose requests wait for an adapter is told of it at once, the
// others a little later; tables are told to all at once.
func TestWhoIsToldFirst(t *testing.T) {
	c := qt.New(t)
	cu, k := newCurator()
	lead(cu, k)
	now := cu.Clock.Now()
	waiters := map[string]*waiter{}
	for i := range 200 {
		name := string(rune('A' + i))
		req := &wire.SyncRequest{Gateway: name, Epoch: cu.epoch, HoldingRevision: cu.placer.Revision()}
		cu.hear(now, req)
		cu.gateways[name].answered = now
		waiters[name] = &waiter{request: req, deadline: now.Add(time.Hour)}
	}
	cu.gateways["B"].wants["m/x"] = now
	c.Check(cu.isDue(now, waiters["A"]), qt.IsFalse)
	cu.placer.SetTable(&wire.RoutingTable{Services: []*wire.RoutedService{{Name: "s", Engine: &wire.EngineLimits{AdapterSlots: 4, Models: []string{"m"}}}}})
	cu.placer.SetEngine(&wire.Announcement{Id: "e", Service: "s", Slots: 4})
	report := cu.placer.Plan(now)[0]
	cu.placer.Done(now, report, placer.Holds, &placer.State{Models: []string{"m"}})
	cu.placer.Want(now, "m/x", nil, time.Time{})
	cu.placer.Done(now, cu.placer.Plan(now)[0], placer.Holds, nil)
	cu.wake(now)
	c.Check(cu.isDue(now, waiters["B"]), qt.IsTrue)
	c.Check(cu.isDue(now, waiters["A"]), qt.IsFalse)
	c.Check(cu.isDue(now.Add(time.Second), waiters["A"]), qt.IsTrue)
	cu.apply(keeper.Item{Applied: []keeper.Applied{k.entry(putTable(9, "t"))}})
	c.Check(cu.isDue(now, waiters["A"]), qt.IsTrue)
}

// A call whose caller has given up may still run, while the caller goes on. The race
// detector watches what both touch.
func TestCallsThatAreGivenUp(t *testing.T) {
	c := qt.New(t)
	cu, _ := newCurator()
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	for range 200 {
		ran := make(chan struct{})
		go func() {
			call := <-cu.calls.Calls()
			call(cu.Clock.Now())
			close(ran)
		}()
		_, err := cu.Document(gone)
		c.Check(err == nil || errors.Is(err, context.Canceled), qt.IsTrue)
		<-ran
	}
}
