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

// callAsRelay makes the call of a relay with the gateways that follow it.
func callAsRelay(c *Coordinator, relay int, revision uint64, followers ...int) {
	req := &wire.SyncRequest{Gateway: fmt.Sprint(relay), Address: entry(relay).GetAddress(), Zone: "z", MembersRevision: revision}
	for _, i := range followers {
		req.Members = append(req.Members, entry(i))
	}
	c.observeGateway(c.Clock.Now(), req)
}

// All gateways are listed once, whether they call themselves or follow another one; one that
// has changed its relay may be listed by both for a while.
func TestGatewayList(t *testing.T) {
	for name, test := range map[string]struct {
		act  func(co *Coordinator)
		want uint32
	}{
		"two relays":                             {func(co *Coordinator) { callAsRelay(co, 1, 7, 3, 4); callAsRelay(co, 2, 8, 5) }, 5},
		"one follower has changed its relay":     {func(co *Coordinator) { callAsRelay(co, 1, 7, 3, 4); callAsRelay(co, 2, 8, 4, 5) }, 5},
		"an omitted list is kept":                {func(co *Coordinator) { callAsRelay(co, 1, 7, 3, 4); callAsRelay(co, 1, 7) }, 3},
		"the last follower has left":             {func(co *Coordinator) { callAsRelay(co, 1, 7, 3, 4); callAsRelay(co, 1, 0) }, 1},
		"a follower calls the controller itself": {func(co *Coordinator) { callAsRelay(co, 1, 7, 3); callAsRelay(co, 3, 0) }, 2},
		"a relay is silent": {func(co *Coordinator) {
			callAsRelay(co, 1, 7, 3)
			co.pruneGateways(co.Clock.Now().Add(gatewayLease + time.Millisecond))
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			co, k := newCoordinator()
			lead(co, k)
			test.act(co)
			res := co.buildResponse(co.Clock.Now().Add(time.Second), &wire.SyncRequest{GatewaysRevision: 1})
			c.Check(res.GetGateways(), qt.Equals, test.want)
			c.Check(res.GetGatewayList(), qt.HasLen, int(test.want))
			// A caller that has the list is not sent it again.
			again := co.buildResponse(co.Clock.Now().Add(time.Second), &wire.SyncRequest{GatewaysRevision: res.GetGatewaysRevision()})
			c.Check(again.GetGatewayList(), qt.HasLen, 0)
		})
	}
}

// Two hundred gateways that start within a moment cause a few lists, not one each.
func TestSimultaneousStartsMakeFewLists(t *testing.T) {
	c := qt.New(t)
	co, k := newCoordinator()
	lead(co, k)
	now := co.Clock.Now()
	revisions := map[uint64]bool{}
	for i := range 200 {
		callAsRelay(co, i, 0)
		revisions[co.buildResponse(now.Add(time.Duration(i)*time.Millisecond), &wire.SyncRequest{}).GetGatewaysRevision()] = true
	}
	c.Check(len(revisions) <= 3, qt.IsTrue, qt.Commentf("%d lists", len(revisions)))
}

// The totals of loads match the latest call of each gateway.
func TestLoadsMatchLatestCalls(t *testing.T) {
	c := qt.New(t)
	co, k := newCoordinator()
	lead(co, k)
	now := co.Clock.Now()
	for _, n := range []uint32{5, 3} {
		co.observeGateway(now, &wire.SyncRequest{Gateway: "a", Loads: []*wire.Load{{Backend: "e", Requests: n, Adapters: []string{"m/x"}}}})
	}
	co.observeGateway(now, &wire.SyncRequest{Gateway: "b", Loads: []*wire.Load{{Backend: "e", Requests: 2, Adapters: []string{"m/y"}}}})
	c.Check(co.uses()["e"].Requests, qt.Equals, 5.0)
	c.Check(co.uses()["e"].Adapters, qt.DeepEquals, map[string]bool{"m/x": true, "m/y": true})
	c.Check(fmt.Sprint(co.buildResponse(now, &wire.SyncRequest{Gateway: "a"}).GetLoads()), qt.Equals, fmt.Sprint([]*wire.Load{{Backend: "e", Requests: 2}}))
	co.pruneGateways(now.Add(gatewayLease + time.Millisecond))
	c.Check(co.uses(), qt.HasLen, 0)
}

// The holdings in an engine's announcement are sent to the leader, not to each gateway.
func TestAnnouncementsOmitHoldings(t *testing.T) {
	c := qt.New(t)
	a := &wire.Announcement{Id: "e", Adapters: []string{"m/x@0"}, Models: []string{"m"}}
	c.Check(forGateways(a).GetAdapters(), qt.HasLen, 0)
	c.Check(a.GetAdapters(), qt.HasLen, 1)
}

// After a conflict an engine's state must be queried; until it is known there is no update, and
// no call is answered early.
func TestConfirmingAnEngineIsNoUpdate(t *testing.T) {
	c := qt.New(t)
	co, k := newCoordinator()
	lead(co, k)
	now := co.Clock.Now()
	withEngine(co, "m/x@0")
	known := co.buildResponse(now, &wire.SyncRequest{Gateway: "a"})
	co.placer.RequestLoad(now, "m/y", nil, now.Add(time.Second))
	load := co.placer.Plan(now)[0]
	co.placer.RecordOutcome(now, load, placer.Accepted, nil)
	question := load
	question.Kind = placer.Confirm
	co.placer.RequestLoad(now, "m/z", nil, now.Add(time.Second))
	co.placer.RecordOutcome(now, co.placer.Plan(now)[0], placer.Conflict, nil)
	co.placer.RecordOutcome(now, question, placer.Completed, nil)
	w := &waiter{deadline: now.Add(time.Hour), request: &wire.SyncRequest{
		Gateway: "a", Epoch: known.GetEpoch(), AnnouncementRevision: known.GetAnnouncementRevision(), HoldingRevision: known.GetHoldingRevision(),
	}}
	for range 3 {
		res := co.buildResponse(now, w.request)
		w.request.HoldingRevision = res.GetHoldingRevision()
	}
	c.Check(co.isDue(now.Add(time.Second), w), qt.IsFalse)
}

func benchmarkAnswers(b *testing.B, callers, members int) {
	co, k := newCoordinator()
	lead(co, k)
	for i := range callers {
		var followers []int
		for j := range members {
			followers = append(followers, 1000*(i+1)+j)
		}
		callAsRelay(co, i, uint64(i+1), followers...)
		req := &wire.SyncRequest{Gateway: fmt.Sprint(i), Address: entry(i).GetAddress(), Zone: "z", MembersRevision: uint64(i + 1)}
		for e := range 62 {
			req.Loads = append(req.Loads, &wire.Load{Backend: fmt.Sprint("e", e), Requests: 2, Adapters: []string{"m/a", "m/b"}})
		}
		co.observeGateway(co.Clock.Now(), req)
	}
	now := co.Clock.Now().Add(time.Second)
	known := co.buildResponse(now, &wire.SyncRequest{Gateway: "0"})
	req := &wire.SyncRequest{
		Gateway: "0", Epoch: known.GetEpoch(), GatewaysRevision: known.GetGatewaysRevision(),
		ControllersRevision: known.GetControllersRevision(), HoldingRevision: known.GetHoldingRevision(),
	}
	b.ReportAllocs()
	for b.Loop() {
		co.buildResponse(now, req)
	}
}

// BenchmarkAnswer measures one response to a gateway that is up to date except for the loads.
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

// A gateway is notified immediately of adapters that it requested and that will not be loaded
// in time.
func TestDeclinedAdaptersAreReportedOnce(t *testing.T) {
	c := qt.New(t)
	co, k := newCoordinator()
	lead(co, k)
	now := co.Clock.Now()
	waiters := map[string]*waiter{}
	for _, name := range []string{"a", "b"} {
		req := &wire.SyncRequest{Gateway: name, Epoch: co.epoch, HoldingRevision: co.placer.Revision()}
		co.observeGateway(now, req)
		waiters[name] = &waiter{request: req, deadline: now.Add(time.Hour)}
	}
	co.gateways["a"].wants["m/x"] = now
	co.placer.RequestLoad(now, "m/x", nil, now.Add(time.Millisecond))
	co.placer.Plan(now.Add(2 * time.Millisecond))
	co.markUrgent(now)
	c.Check(co.isDue(now, waiters["a"]), qt.IsTrue)
	c.Check(co.isDue(now, waiters["b"]), qt.IsFalse)
	c.Check(co.buildResponse(now, waiters["a"].request).GetDeclined(), qt.DeepEquals, []string{"m/x"})
	c.Check(co.isDue(now, waiters["a"]), qt.IsFalse)
}
