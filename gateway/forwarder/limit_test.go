package forwarder

import (
	"context"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/quotaenforcer"
	"bronzelead.example/pkg/quotaallocator"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// localLimits grants quota of the tests' limits without a network.
type localLimits struct{ allocator *quotaallocator.Allocator }

func (b localLimits) Borrow(_ context.Context, req *wire.BorrowRequest) (*wire.BorrowResponse, error) {
	return &wire.BorrowResponse{Borrowers: []*wire.BorrowerCredit{b.allocator.Allocate(time.Now(), req.GetBorrowers()[0])}}, nil
}

func (b localLimits) ListLimits(context.Context, *wire.ListLimitsRequest) (*wire.ListLimitsResponse, error) {
	return &wire.ListLimitsResponse{Limits: b.allocator.Statuses(time.Now(), true)}, nil
}

// limitedGateway is a gateway for one customer that may send a number of units in a window of
// an hour.
func limitedGateway(c *qt.C, unit wire.LimitUnit, units float64, backends ...*fakeBackend) (string, *Forwarder) {
	address, f := newGateway(c, clockwork.NewRealClock())
	table := tableWithKeys(4, "k1")
	table.Customers[0].Limit = &wire.CustomerLimit{Unit: unit, Burst: units, PlainTokens: 40}
	l := &quotaallocator.Allocator{Rule: quotaallocator.Rule{Window: time.Hour, Slack: 1000}}
	l.Begin(time.Now().Add(-2*time.Hour), 1, table.Customers)
	f.QuotaEnforcer = &quotaenforcer.Enforcer{
		Clock: f.Clock, Log: slog.New(slog.DiscardHandler), Gateway: "g", Upstream: func() string { return "leader" },
		Client: func(string) wire.Limits { return localLimits{l} },
	}
	f.QuotaEnforcer.Init()
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	go f.QuotaEnforcer.Run(ctx)
	f.Apply("controller", firstTable(backends...))
	f.Apply("controller", &wire.SyncResponse{Table: table})
	return address, f
}

// countServed counts the requests that are served before the first one is refused because its
// customer is beyond its limit.
func countServed(c *qt.C, address, path string, header ...string) int {
	for n := range 1000 {
		res := call(c, address, path, append(header, withKey("k1"))...)
		if res.status == 429 {
			c.Check(platform.RetryAfter(fields(res.header)) > 0, qt.IsTrue)
			return n
		}
		c.Assert(res.status, qt.Equals, 200)
	}
	return -1
}

func TestLimitUnits(t *testing.T) {
	sized := lines(platform.StandInPrompt(20))
	for name, test := range map[string]struct {
		unit   wire.LimitUnit
		units  float64
		header []string
		want   int
	}{
		"requests":            {wire.LimitUnit_LIMIT_UNIT_REQUESTS, 5, nil, 5},
		"tokens":              {wire.LimitUnit_LIMIT_UNIT_TOKENS, 600, []string{sized[:len(sized)-2]}, 5},
		"tokens without size": {wire.LimitUnit_LIMIT_UNIT_TOKENS, 210, nil, 5},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newBackend(c, "b", runsAndAnswers(200, "x"))
			address, _ := limitedGateway(c, test.unit, test.units, b)
			c.Check(countServed(c, address, "/once/", test.header...), qt.Equals, test.want)
			c.Check(int(b.runs.Load()), qt.Equals, test.want)
		})
	}
}

// Each run counts, also the retries by a gateway; a request that has certainly not run does
// not.
func TestEachRunCountsTowardsLimit(t *testing.T) {
	for name, test := range map[string]struct {
		path   string
		handle handler
		want   int
	}{
		"a failure that is repeated":  {"/safe/", runsAndAnswers(500, "x"), 10},
		"a refusal of the backend":    {"/once/", refuses(503), 0},
		"a failure that is not":       {"/once/", runsAndAnswers(500, "x"), 10},
		"an answer without a failure": {"/safe/", runsAndAnswers(200, "x"), 10},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			one, other := newBackend(c, "one", test.handle), newBackend(c, "other", test.handle)
			address, f := limitedGateway(c, wire.LimitUnit_LIMIT_UNIT_REQUESTS, 10, one, other)
			for range 20 {
				call(c, address, test.path, withKey("k1"))
			}
			c.Check(int(one.runs.Load()+other.runs.Load()), qt.Equals, test.want)
			// The caller has its answer before the gateway has released the request's quota.
			eventually(c, func() bool { return f.QuotaEnforcer.Status("c1").Held == 0 })
		})
	}
}
