package routecoordinator

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/controller/raftdriver"
	"bronzelead.example/pkg/tabletransmitter"
	"bronzelead.example/pkg/wire"
)

// runCoordinator runs a coordinator until the test ends.
func runCoordinator(c *qt.C, co *Coordinator) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		co.Run(ctx)
	}()
	c.Cleanup(func() {
		cancel()
		<-done
	})
	return ctx
}

// Tables are sent once a leader is known, as what differs from the one that the caller has.
func TestTablesAreFetched(t *testing.T) {
	c := qt.New(t)
	co, k := newCoordinator()
	for version := uint64(1); version <= 3; version++ {
		co.apply(raftdriver.CommittedBatch{Entries: []raftdriver.CommittedEntry{k.entry(putTable(version, "a"))}})
	}
	followed, l := newCoordinator()
	followed.apply(raftdriver.CommittedBatch{Entries: []raftdriver.CommittedEntry{l.entry(putTable(1, "a"))}})
	withoutLeader, err := followed.FetchTable(runCoordinator(c, followed), &wire.FetchTableRequest{})
	c.Assert(err, qt.IsNil)
	c.Check(withoutLeader.GetVersion(), qt.Equals, uint64(0))

	lead(co, k)
	ctx := runCoordinator(c, co)
	for base, want := range map[uint64]uint64{0: 3, 2: 3, 3: 0, 9: 0} {
		res, err := co.FetchTable(ctx, &wire.FetchTableRequest{BaseVersion: base})
		c.Assert(err, qt.IsNil)
		c.Assert(res.GetVersion(), qt.Equals, want)
		if want == 0 {
			continue
		}
		var transfer tabletransmitter.Transfer
		complete, err := transfer.Receive(res)
		c.Assert(err, qt.IsNil)
		c.Assert(complete, qt.IsTrue)
		table, err := transfer.Package().Unpack(&wire.RoutingTable{Version: base})
		c.Assert(err, qt.IsNil)
		c.Check(table.GetVersion(), qt.Equals, want)
	}
}

// A controller that had restarted did not know who had departed, and took a late heartbeat for a new backend server's.
func TestDeparturesReachRestartedControllers(t *testing.T) {
	c := qt.New(t)
	other, _ := newCoordinator()
	restarted, _ := newCoordinator()
	ctx, restartedCtx := runCoordinator(c, other), runCoordinator(c, restarted)
	beat := func(sequence uint64) []*wire.Announcement {
		return []*wire.Announcement{{Id: "b", Name: "b", Service: "s", Address: "a", Sequence: sequence}}
	}
	departure := []*wire.Announcement{{Id: "b", Name: "b", Service: "s", Address: "a", Gone: true}}
	for _, list := range [][]*wire.Announcement{beat(3), departure} {
		_, err := other.ReceiveAnnouncements(ctx, list, false)
		c.Assert(err, qt.IsNil)
	}
	late := beat(2)
	_, err := restarted.ReceiveAnnouncements(restartedCtx, late, false)
	c.Assert(err, qt.IsNil)
	later, err := other.ReceiveAnnouncements(ctx, late, true)
	c.Assert(err, qt.IsNil)
	c.Assert(later, qt.HasLen, 1)
	_, err = restarted.ReceiveAnnouncements(restartedCtx, later, true)
	c.Assert(err, qt.IsNil)
	for _, co := range []*Coordinator{other, restarted} {
		res, err := co.Sync(ctx, &wire.SyncRequest{Gateway: "g"})
		c.Assert(err, qt.IsNil)
		c.Assert(res.GetAnnouncements(), qt.HasLen, 1)
		c.Check(res.GetAnnouncements()[0].GetGone(), qt.IsTrue)
	}
}
