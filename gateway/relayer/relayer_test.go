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

// bench is a relayer with what it has passed on.
type bench struct {
	*Relayer
	clock   *clockwork.FakeClock
	applied []*wire.SyncResponse
	demand  []*wire.Demand
	wants   []*wire.Want
}

func newBench() *bench {
	b := &bench{clock: clockwork.NewFakeClock()}
	g := &granter.Granter{Clock: b.clock, Log: slog.New(slog.DiscardHandler), Meter: meter.New("gateway", "test", "z")}
	g.Init()
	b.Relayer = &Relayer{
		Granter: g,
		Clock:   b.clock, Log: slog.New(slog.DiscardHandler), Meter: meter.New("gateway", "test", "z"),
		Self:            &wire.GatewayEntry{Address: "relay", Zone: "z"},
		Apply:           func(_ string, news *wire.SyncResponse) { b.applied = append(b.applied, news) },
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

// known is the call of a follower that knows all that this relayer has said so far.
func (b *bench) known(c *qt.C, gateway string) *wire.SyncRequest {
	res, err := b.Sync(context.Background(), &wire.SyncRequest{Gateway: gateway, Address: gateway, Zone: "z"})
	c.Assert(err, qt.IsNil)
	return &wire.SyncRequest{
		Gateway: gateway, Address: gateway, Zone: "z", Epoch: res.GetEpoch(), AnnouncementRevision: res.GetAnnouncementRevision(),
		HoldingRevision: res.GetHoldingRevision(), WaitMs: 150,
	}
}

// sync calls in the background; the call waits once this returns.
func (b *bench) sync(ctx context.Context, c *qt.C, req *wire.SyncRequest) <-chan *wire.SyncResponse {
	answer := make(chan *wire.SyncResponse, 1)
	w, err := b.enter(req)
	c.Assert(err, qt.IsNil)
	go func() {
		select {
		case res := <-w.answer:
			answer <- res
		case <-ctx.Done():
			b.leave(w)
			close(answer)
		}
	}()
	return answer
}

// A follower's call waits until there is news, or until its wait is over.
func TestCallsWaitForNews(t *testing.T) {
	for name, test := range map[string]struct {
		happens func(b *bench)
		want    int
	}{
		"a backend server is there": {func(b *bench) { b.Receive("c", &wire.SyncResponse{Announcements: []*wire.Announcement{{Id: "e"}}}) }, 1},
		"the wait is over":          {func(b *bench) { b.clock.Advance(150 * time.Millisecond); b.look() }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newBench()
			answer := b.sync(context.Background(), c, b.known(c, "a"))
			c.Assert(b.waiters, qt.HasLen, 1)
			test.happens(b)
			c.Check((<-answer).GetAnnouncements(), qt.HasLen, test.want)
			c.Check(b.waiters, qt.HasLen, 0)
		})
	}
}

// What one follower has read of a request limit is told to the others, once, and goes on
// upwards; what came from upwards does not.
func TestRequestLimitsGoBothWays(t *testing.T) {
	c := qt.New(t)
	b := newBench()
	ask := b.known(c, "asks")
	answer := b.sync(context.Background(), c, ask)
	limit := &wire.RequestLimit{Backend: "e", RequestsPerSecond: 5}
	_, err := b.Sync(context.Background(), &wire.SyncRequest{Gateway: "other", RequestLimits: []*wire.RequestLimit{limit}})
	c.Assert(err, qt.IsNil)
	b.look()
	res := <-answer
	c.Assert(res.GetRequestLimits(), qt.HasLen, 1)
	c.Check(res.GetRequestLimits()[0].GetRequestsPerSecond(), qt.Equals, 5.0)
	ask.RequestLimitsRevision = res.GetRequestLimitsRevision()
	answer = b.sync(context.Background(), c, ask)
	c.Check(b.waiters, qt.HasLen, 1)
	b.Granter.ReceiveLimits([]*wire.RequestLimit{{Backend: "told", RequestsPerSecond: 6}}, throttler.News)
	b.look()
	c.Check((<-answer).GetRequestLimits(), qt.HasLen, 2)
	c.Check(b.Granter.Report(), qt.HasLen, 1)
}

// A call whose caller has gone waits here no longer.
func TestCallsThatAreGivenUp(t *testing.T) {
	c := qt.New(t)
	b := newBench()
	ctx, cancel := context.WithCancel(context.Background())
	answer := b.sync(ctx, c, b.known(c, "a"))
	cancel()
	<-answer
	c.Check(b.waiters, qt.HasLen, 0)
}

// What followers tell of their requests goes on; what they wait for is asked of the leader.
func TestWhatIsToldUpwards(t *testing.T) {
	c := qt.New(t)
	b := newBench()
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

// A difference with a gap is not believed, and this gateway is not told of it.
func TestADifferenceWithAGap(t *testing.T) {
	c := qt.New(t)
	b := newBench()
	c.Check(b.Receive("c", fromLeader(1, &wire.Holding{Backend: "e", Adapters: []string{"m/x@0"}})), qt.IsTrue)
	late := fromLeader(9, &wire.Holding{Backend: "e", Difference: true, Gone: []string{"m/x@0"}})
	late.HoldingsSince = term1 + 7
	c.Check(b.Receive("c", late), qt.IsFalse)
	c.Check(b.HoldingRevision(), qt.Equals, uint64(term1+1))
	c.Check(b.applied[1].GetHoldings(), qt.HasLen, 0)
}

// More calls than any list of gateways gives rise to are refused, and harm nobody else.
func TestTooManyCalls(t *testing.T) {
	c := qt.New(t)
	b := newBench()
	req := b.known(c, "a")
	for range maxWaiters {
		_, err := b.enter(req)
		c.Assert(err, qt.IsNil)
	}
	_, err := b.enter(req)
	c.Check(err, qt.ErrorMatches, ".*too many gateways.*")
}

// Before the first word of a leader there is no age, and then it grows.
func TestTheAgeOfNews(t *testing.T) {
	c := qt.New(t)
	b := newBench()
	c.Check(b.LeaderAge(), qt.Equals, unknownAge)
	res := fromLeader(1)
	res.LeaderAgeMs = 30
	b.Receive("c", res)
	b.clock.Advance(time.Second)
	c.Check(b.LeaderAge(), qt.Equals, 1030*time.Millisecond)
}
