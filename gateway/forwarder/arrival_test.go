package forwarder

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/wire"
)

// Everything has lost its power and comes back: the gateways are there before the
// controllers have elected a leader. What callers ask for meanwhile waits and is served.
func TestRequestsWaitForTheFirstTable(t *testing.T) {
	c := qt.New(t)
	b := newBackend(c, "b1", runsAndAnswers(http.StatusOK, "served"))
	address, f := newGateway(c, clockwork.NewRealClock())
	answered := make(chan got, 1)
	go func() { answered <- call(c, address, "/once/") }()
	eventually(c, func() bool { return f.parked.Load() == 1 })
	f.Apply("controller", firstTable(b))
	g := <-answered
	c.Check(g.status, qt.Equals, http.StatusOK)
	c.Check(g.body, qt.Equals, "served")
	c.Check(f.parked.Load(), qt.Equals, int32(0))
}

// When no table comes, they are refused with a time to come back.
func TestRequestsDoNotWaitForeverForATable(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	address, _ := newGateway(c, clock)
	answered := make(chan got, 1)
	go func() { answered <- call(c, address, "/once/") }()
	// The forwarder's two tickers and the request's timer.
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	c.Assert(clock.BlockUntilContext(ctx, 3), qt.IsNil)
	clock.Advance(longestTableWait)
	g := <-answered
	c.Check(g.status, qt.Equals, http.StatusServiceUnavailable)
}

func TestTableWait(t *testing.T) {
	for name, test := range map[string]struct {
		age      time.Duration
		patience time.Duration
		parked   int
		want     time.Duration
	}{
		"just started":               {0, 4 * time.Second, 0, longestTableWait},
		"little patience":            {0, time.Second, 0, 500 * time.Millisecond},
		"none told":                  {0, 0, 0, longestTableWait},
		"started long ago":           {tableExpectedWithin, 4 * time.Second, 0, 0},
		"soon no longer expected":    {tableExpectedWithin - time.Second, 4 * time.Second, 0, time.Second},
		"too many wait already":      {0, 4 * time.Second, maxParked, 0},
		"the last one that may wait": {0, 4 * time.Second, maxParked - 1, longestTableWait},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Check(tableWait(test.age, test.patience, test.parked), qt.Equals, test.want)
		})
	}
}

func firstTable(backends ...*backendFake) *wire.SyncResponse {
	res := &wire.SyncResponse{Table: testTable(), TableVersion: 3, Leads: true, Term: 1, Gateways: 1}
	for _, b := range backends {
		res.Announcements = append(res.Announcements, b.announcement("s"))
	}
	return res
}

func eventually(c *qt.C, holds func() bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			c.Fatal("it did not come about")
		case <-ticker.C:
		}
	}
}

// A controller that lags behind sends the table before: the gateway keeps the one it has.
func TestTablesNeverGoBack(t *testing.T) {
	c := qt.New(t)
	_, f := newGateway(c, clockwork.NewFakeClock())
	for _, step := range []struct{ told, inForce uint64 }{{3, 3}, {2, 3}, {3, 3}, {5, 5}, {4, 5}} {
		table := testTable()
		table.Version = step.told
		f.Apply("controller", &wire.SyncResponse{Table: table, TableVersion: step.told})
		c.Check(f.TableVersion(), qt.Equals, step.inForce)
	}
}
