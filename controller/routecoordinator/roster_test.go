package routecoordinator

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/placer"
	"bronzelead.example/pkg/wire"
)

func entry(i int) *wire.GatewayEntry {
	return &wire.GatewayEntry{Address: fmt.Sprintf("10.0.0.%03d:80", i), Zone: "z"}
}

// asks lets a relay call, with the gateways that follow it.
func asks(c *Coordinator, relay int, revision uint64, followers ...int) {
	req := &wire.SyncRequest{Gateway: fmt.Sprint(relay), Address: entry(relay).GetAddress(), Zone: "z", MembersRevision: revision}
	for _, i := range followers {
		req.Members = append(req.Members, entry(i))
	}
	c.hear(c.Clock.Now(), req)
}

// All gateways are listed once, whether they ask themselves or follow another one; who has
// changed its relay may be told by both for a while.
func TestTheListOfGateways(t *testing.T) {
	for name, test := range map[string]struct {
		happens func(cu *Coordinator)
		want    uint32
	}{
		"two relays":                  {func(cu *Coordinator) { asks(cu, 1, 7, 3, 4); asks(cu, 2, 8, 5) }, 5},
		"one follower has moved":      {func(cu *Coordinator) { asks(cu, 1, 7, 3, 4); asks(cu, 2, 8, 4, 5) }, 5},
		"a list that is known stands": {func(cu *Coordinator) { asks(cu, 1, 7, 3, 4); asks(cu, 1, 7) }, 3},
		"the last follower has left":  {func(cu *Coordinator) { asks(cu, 1, 7, 3, 4); asks(cu, 1, 0) }, 1},
		"a follower asks itself":      {func(cu *Coordinator) { asks(cu, 1, 7, 3); asks(cu, 3, 0) }, 2},
		"a relay is silent": {func(cu *Coordinator) {
			asks(cu, 1, 7, 3)
			cu.forgetGateways(cu.Clock.Now().Add(gatewayLease + time.Millisecond))
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			cu, k := newCurator()
			lead(cu, k)
			test.happens(cu)
			res := cu.news(cu.Clock.Now().Add(time.Second), &wire.SyncRequest{GatewaysRevision: 1})
			c.Check(res.GetGateways(), qt.Equals, test.want)
			c.Check(res.GetGatewayList(), qt.HasLen, int(test.want))
			// A caller that knows the list is not told it again.
			again := cu.news(cu.Clock.Now().Add(time.Second), &wire.SyncRequest{GatewaysRevision: res.GetGatewaysRevision()})
			c.Check(again.GetGatewayList(), qt.HasLen, 0)
		})
	}
}

// Two hundred gateways that start within a moment are told of in a few lists, and not in
// one for each that has come.
func TestManyStartsMakeFewLists(t *testing.T) {
	c := qt.New(t)
	cu, k := newCurator()
	lead(cu, k)
	now := cu.Clock.Now()
	revisions := map[uint64]bool{}
	for i := range 200 {
		asks(cu, i, 0)
		revisions[cu.news(now.Add(time.Duration(i)*time.Millisecond), &wire.SyncRequest{}).GetGatewaysRevision()] = true
	}
	c.Check(len(revisions) <= 3, qt.IsTrue, qt.Commentf("%d lists", len(revisions)))
}

// Loads are kept as a sum, which follows each gateway's latest word.
func TestLoadsFollowTheLatestWord(t *testing.T) {
	c := qt.New(t)
	cu, k := newCurator()
	lead(cu, k)
	now := cu.Clock.Now()
	for _, n := range []uint32{5, 3} {
		cu.hear(now, &wire.SyncRequest{Gateway: "a", Loads: []*wire.Load{{Backend: "e", Requests: n, Adapters: []string{"m/x"}}}})
	}
	cu.hear(now, &wire.SyncRequest{Gateway: "b", Loads: []*wire.Load{{Backend: "e", Requests: 2, Adapters: []string{"m/y"}}}})
	c.Check(cu.uses()["e"].Requests, qt.Equals, 5.0)
	c.Check(cu.uses()["e"].Adapters, qt.DeepEquals, map[string]bool{"m/x": true, "m/y": true})
	c.Check(fmt.Sprint(cu.news(now, &wire.SyncRequest{Gateway: "a"}).GetLoads()), qt.Equals, fmt.Sprint([]*wire.Load{{Backend: "e", Requests: 2}}))
	cu.forgetGateways(now.Add(gatewayLease + time.Millisecond))
	c.Check(cu.uses(), qt.HasLen, 0)
}

// What an engine says that it holds goes to the leader and not to each gateway.
func TestAnnouncementsToGatewaysLeaveOutWhatEnginesHold(t *testing.T) {
	c := qt.New(t)
	a := &wire.Announcement{Id: "e", Adapters: []string{"m/x@0"}, Models: []string{"m"}}
	c.Check(forGateways(a).GetAdapters(), qt.HasLen, 0)
	c.Check(a.GetAdapters(), qt.HasLen, 1)
}

// An engine's order met a conflict: its state has to be asked for, and until it is known
// there is nothing to tell, and nobody is answered without need.
func TestAnEngineThatIsAskedIsNoNews(t *testing.T) {
	c := qt.New(t)
	cu, k := newCurator()
	lead(cu, k)
	now := cu.Clock.Now()
	withEngine(cu, "m/x@0")
	known := cu.news(now, &wire.SyncRequest{Gateway: "a"})
	cu.placer.RequestLoad(now, "m/y", nil, now.Add(time.Second))
	load := cu.placer.Plan(now)[0]
	cu.placer.RecordOutcome(now, load, placer.Accepted, nil)
	question := load
	question.Kind = placer.Confirm
	cu.placer.RequestLoad(now, "m/z", nil, now.Add(time.Second))
	cu.placer.RecordOutcome(now, cu.placer.Plan(now)[0], placer.Conflict, nil)
	cu.placer.RecordOutcome(now, question, placer.Completed, nil)
	w := &waiter{deadline: now.Add(time.Hour), request: &wire.SyncRequest{
		Gateway: "a", Epoch: known.GetEpoch(), AnnouncementRevision: known.GetAnnouncementRevision(), HoldingRevision: known.GetHoldingRevision(),
	}}
	for range 3 {
		told := cu.news(now, w.request)
		w.request.HoldingRevision = told.GetHoldingRevision()
	}
	c.Check(cu.isDue(now.Add(time.Second), w), qt.IsFalse)
}

func benchmarkAnswers(b *testing.B, asking, each int) {
	cu, k := newCurator()
	lead(cu, k)
	for i := range asking {
		var followers []int
		for j := range each {
			followers = append(followers, 1000*(i+1)+j)
		}
		asks(cu, i, uint64(i+1), followers...)
		req := &wire.SyncRequest{Gateway: fmt.Sprint(i), Address: entry(i).GetAddress(), Zone: "z", MembersRevision: uint64(i + 1)}
		for e := range 62 {
			req.Loads = append(req.Loads, &wire.Load{Backend: fmt.Sprint("e", e), Requests: 2, Adapters: []string{"m/a", "m/b"}})
		}
		cu.hear(cu.Clock.Now(), req)
	}
	now := cu.Clock.Now().Add(time.Second)
	known := cu.news(now, &wire.SyncRequest{Gateway: "0"})
	req := &wire.SyncRequest{
		Gateway: "0", Epoch: known.GetEpoch(), GatewaysRevision: known.GetGatewaysRevision(),
		ControllersRevision: known.GetControllersRevision(), HoldingRevision: known.GetHoldingRevision(),
	}
	b.ReportAllocs()
	for b.Loop() {
		cu.news(now, req)
	}
}

// BenchmarkAnswer measures one answer to a gateway that knows everything but the loads.
func BenchmarkAnswer(b *testing.B) {
	for name, size := range map[string]struct{ asking, each int }{
		"9 gateways":                {9, 0},
		"200 gateways in a tree":    {18, 10},
		"1200 gateways in a tree":   {84, 13},
		"200 gateways without one":  {200, 0},
		"1200 gateways without one": {1200, 0},
	} {
		b.Run(name, func(b *testing.B) { benchmarkAnswers(b, size.asking, size.each) })
	}
}

// A gateway is told at once of adapters that it asked for and that do not come in time.
func TestDeclinedAdaptersAreToldToWhoAsked(t *testing.T) {
	c := qt.New(t)
	cu, k := newCurator()
	lead(cu, k)
	now := cu.Clock.Now()
	waiters := map[string]*waiter{}
	for _, name := range []string{"a", "b"} {
		req := &wire.SyncRequest{Gateway: name, Epoch: cu.epoch, HoldingRevision: cu.placer.Revision()}
		cu.hear(now, req)
		waiters[name] = &waiter{request: req, deadline: now.Add(time.Hour)}
	}
	cu.gateways["a"].wants["m/x"] = now
	cu.placer.RequestLoad(now, "m/x", nil, now.Add(time.Millisecond))
	cu.placer.Plan(now.Add(2 * time.Millisecond))
	cu.wake(now)
	c.Check(cu.isDue(now, waiters["a"]), qt.IsTrue)
	c.Check(cu.isDue(now, waiters["b"]), qt.IsFalse)
	c.Check(cu.news(now, waiters["a"].request).GetDeclined(), qt.DeepEquals, []string{"m/x"})
	c.Check(cu.isDue(now, waiters["a"]), qt.IsFalse)
}
