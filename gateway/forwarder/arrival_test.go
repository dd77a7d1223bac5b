package forwarder

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// After a power failure the gateways run before the controllers have elected a leader. Requests
// that arrive meanwhile wait and are served.
func TestRequestsWaitForTheFirstTable(t *testing.T) {
	c := qt.New(t)
	b := newBackend(c, "b1", runsAndAnswers(http.StatusOK, "served"))
	address, f := newGateway(c, clockwork.NewRealClock())
	answered := make(chan clientResponse, 1)
	go func() { answered <- call(c, address, "/once/") }()
	eventually(c, func() bool { return f.parked.Load() == 1 })
	f.Apply("controller", firstTable(b))
	g := <-answered
	c.Check(g.status, qt.Equals, http.StatusOK)
	c.Check(g.body, qt.Equals, "served")
	c.Check(f.parked.Load(), qt.Equals, int32(0))
}

// Without a table, waiting requests are refused with a retry time.
func TestWaitForTableIsBounded(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	address, _ := newGateway(c, clock)
	answered := make(chan clientResponse, 1)
	go func() { answered <- call(c, address, "/once/") }()
	// The forwarder's three tickers and the request's timer.
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	c.Assert(clock.BlockUntilContext(ctx, 4), qt.IsNil)
	clock.Advance(maxTableWait)
	g := <-answered
	c.Check(g.status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(platform.RetryAfter(fields(g.header)) > 0, qt.IsTrue)
}

func TestTableWait(t *testing.T) {
	for name, test := range map[string]struct {
		age           time.Duration
		clientTimeout time.Duration
		parked        int
		want          time.Duration
	}{
		"just started":               {0, 4 * time.Second, 0, maxTableWait},
		"short client timeout":       {0, time.Second, 0, 500 * time.Millisecond},
		"no client timeout":          {0, 0, 0, maxTableWait},
		"started long ago":           {tableExpectedWithin, 4 * time.Second, 0, 0},
		"soon no longer expected":    {tableExpectedWithin - time.Second, 4 * time.Second, 0, time.Second},
		"too many wait already":      {0, 4 * time.Second, maxParked, 0},
		"the last one that may wait": {0, 4 * time.Second, maxParked - 1, maxTableWait},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Check(tableWait(test.age, test.clientTimeout, test.parked), qt.Equals, test.want)
		})
	}
}

func firstTable(backends ...*fakeBackend) *wire.SyncResponse {
	res := &wire.SyncResponse{Table: testTable(), TableVersion: 3, Leads: true, Term: 1, Gateways: 1}
	for _, b := range backends {
		res.Announcements = append(res.Announcements, b.announcement())
	}
	return res
}

func eventually(c *qt.C, condition func() bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			c.Fatal("condition not met in time")
		case <-ticker.C:
		}
	}
}

// A lagging controller sends an older table: the gateway keeps the one it has.
func TestOlderTableIsIgnored(t *testing.T) {
	c := qt.New(t)
	_, f := newGateway(c, clockwork.NewFakeClock())
	for _, step := range []struct{ received, inForce uint64 }{{3, 3}, {2, 3}, {3, 3}, {5, 5}, {4, 5}} {
		table := testTable()
		table.Version = step.received
		f.Apply("controller", &wire.SyncResponse{Table: table, TableVersion: step.received})
		c.Check(f.TableVersion(), qt.Equals, step.inForce)
	}
}
