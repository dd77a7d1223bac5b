package relayer

import (
	"context"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/granter"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/throttler"
	"bronzelead.example/pkg/wire"
)

// fixture is a relayer that records what it forwards.
type fixture struct {
	*Relayer
	clock   *clockwork.FakeClock
	applied []*wire.SyncResponse
	demand  []*wire.Demand
	wants   []*wire.Want
}

func newFixture() *fixture {
	b := &fixture{clock: clockwork.NewFakeClock()}
	g := &granter.Granter{Clock: b.clock, Log: slog.New(slog.DiscardHandler), Meter: meter.New("gateway", "test", "z")}
	g.Init()
	b.Relayer = &Relayer{
		Granter: g,
		Clock:   b.clock, Log: slog.New(slog.DiscardHandler), Meter: meter.New("gateway", "test", "z"),
		Self:            &wire.GatewayEntry{Address: "relay", Zone: "z"},
		Apply:           func(_ string, update *wire.SyncResponse) { b.applied = append(b.applied, update) },
		Loads:           func() []*wire.Load { return []*wire.Load{{Backend: "e", Requests: 5}} },
		AddDemand:       func(list []*wire.Demand) { b.demand = append(b.demand, list...) },
		RequestAdapters: func(wants []*wire.Want) { b.wants = append(b.wants, wants...) },
	}
	b.Init()
	return b
}

const term1 = 1 << 32

func fromLeader(revision uint64, holdings ...*wire.Holding) *wire.SyncResponse {
	return &wire.SyncResponse{Leads: true, Term: 1, HoldingRevision: term1 + revision, Holdings: holdings, HasLoads: true}
}

// knownCall is the call of a follower that has all the state of this relayer so far.
func (b *fixture) knownCall(c *qt.C, gateway string) *wire.SyncRequest {
	res, err := b.Sync(context.Background(), &wire.SyncRequest{Gateway: gateway, Address: gateway, Zone: "z"})
	c.Assert(err, qt.IsNil)
	return &wire.SyncRequest{
		Gateway: gateway, Address: gateway, Zone: "z", Epoch: res.GetEpoch(), AnnouncementRevision: res.GetAnnouncementRevision(),
		HoldingRevision: res.GetHoldingRevision(), WaitMs: 150,
	}
}

// sync calls in the background; the call waits once this returns.
func (b *fixture) sync(ctx context.Context, c *qt.C, req *wire.SyncRequest) <-chan *wire.SyncResponse {
	answer := make(chan *wire.SyncResponse, 1)
	w, err := b.register(req)
	c.Assert(err, qt.IsNil)
	go func() {
		select {
		case res := <-w.answer:
			answer <- res
		case <-ctx.Done():
			b.abandon(w)
			close(answer)
		}
	}()
	return answer
}

// A follower's call waits until there is an update, or until its wait is over.
func TestCallsWaitForUpdates(t *testing.T) {
	for name, test := range map[string]struct {
		act  func(b *fixture)
		want int
	}{
		"a backend server appears": {func(b *fixture) { b.Receive("c", &wire.SyncResponse{Announcements: []*wire.Announcement{{Id: "e"}}}) }, 1},
		"the wait is over":         {func(b *fixture) { b.clock.Advance(150 * time.Millisecond); b.check() }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newFixture()
			answer := b.sync(context.Background(), c, b.knownCall(c, "a"))
			c.Assert(b.waiters, qt.HasLen, 1)
			test.act(b)
			c.Check((<-answer).GetAnnouncements(), qt.HasLen, test.want)
			c.Check(b.waiters, qt.HasLen, 0)
		})
	}
}

// A request limit that one follower has read is sent to the others, once, and reported upwards;
// limits received from upwards are not.
func TestRequestLimitsAreForwarded(t *testing.T) {
	c := qt.New(t)
	b := newFixture()
	req := b.knownCall(c, "asks")
	answer := b.sync(context.Background(), c, req)
	limit := &wire.RequestLimit{Backend: "e", RequestsPerSecond: 5}
	_, err := b.Sync(context.Background(), &wire.SyncRequest{Gateway: "other", RequestLimits: []*wire.RequestLimit{limit}})
	c.Assert(err, qt.IsNil)
	b.check()
	res := <-answer
	c.Assert(res.GetRequestLimits(), qt.HasLen, 1)
	c.Check(res.GetRequestLimits()[0].GetRequestsPerSecond(), qt.Equals, 5.0)
	req.RequestLimitsRevision = res.GetRequestLimitsRevision()
	answer = b.sync(context.Background(), c, req)
	c.Check(b.waiters, qt.HasLen, 1)
	b.Granter.ReceiveLimits([]*wire.RequestLimit{{Backend: "told", RequestsPerSecond: 6}}, throttler.News)
	b.check()
	c.Check((<-answer).GetRequestLimits(), qt.HasLen, 2)
	c.Check(b.Granter.Report(), qt.HasLen, 1)
}

// A call is removed once its caller has given up.
func TestAbandonedCalls(t *testing.T) {
	c := qt.New(t)
	b := newFixture()
	ctx, cancel := context.WithCancel(context.Background())
	answer := b.sync(ctx, c, b.knownCall(c, "a"))
	cancel()
	<-answer
	c.Check(b.waiters, qt.HasLen, 0)
}

// Demand and loads of followers are reported upwards; the adapters they wait for are requested
// from the leader.
func TestUpwardReports(t *testing.T) {
	c := qt.New(t)
	b := newFixture()
	req := &wire.SyncRequest{
		Gateway: "a", Address: "a", Zone: "z", Demand: []*wire.Demand{{Adapter: "m/x", Requests: 2}},
		Loads: []*wire.Load{{Backend: "e", Requests: 1}, {Backend: "f", Requests: 2}},
	}
	_, err := b.Sync(context.Background(), req)
	c.Assert(err, qt.IsNil)
	_, err = b.Acquire(context.Background(), &wire.AcquireRequest{Gateway: "a", Wants: []*wire.Want{{Adapter: "m/x"}}})
	c.Assert(err, qt.IsNil)
	c.Check(b.demand, qt.HasLen, 1)
	c.Check(b.wants, qt.HasLen, 1)
	requests := map[string]uint32{}
	for _, l := range b.AllLoads() {
		requests[l.GetBackend()] = l.GetRequests()
	}
	c.Check(requests, qt.DeepEquals, map[string]uint32{"e": 6, "f": 2})
}

// A difference with a gap is rejected and not applied to this gateway.
func TestDifferenceWithGapIsRejected(t *testing.T) {
	c := qt.New(t)
	b := newFixture()
	c.Check(b.Receive("c", fromLeader(1, &wire.Holding{Backend: "e", Adapters: []string{"m/x@0"}})), qt.IsTrue)
	late := fromLeader(9, &wire.Holding{Backend: "e", Difference: true, Gone: []string{"m/x@0"}})
	late.HoldingsSince = term1 + 7
	c.Check(b.Receive("c", late), qt.IsFalse)
	c.Check(b.HoldingRevision(), qt.Equals, uint64(term1+1))
	c.Check(b.applied[1].GetHoldings(), qt.HasLen, 0)
}

// Calls beyond maxWaiters are refused.
func TestTooManyCalls(t *testing.T) {
	c := qt.New(t)
	b := newFixture()
	req := b.knownCall(c, "a")
	for range maxWaiters {
		_, err := b.register(req)
		c.Assert(err, qt.IsNil)
	}
	_, err := b.register(req)
	c.Check(err, qt.ErrorMatches, ".*too many gateways.*")
}

// Before the first state of a leader there is no age, and then it grows.
func TestLeaderAge(t *testing.T) {
	c := qt.New(t)
	b := newFixture()
	c.Check(b.LeaderAge(), qt.Equals, unknownAge)
	res := fromLeader(1)
	res.LeaderAgeMs = 30
	b.Receive("c", res)
	b.clock.Advance(time.Second)
	c.Check(b.LeaderAge(), qt.Equals, 1030*time.Millisecond)
}
