package routecoordinator

import (
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/controller/raftdriver"
	"bronzelead.example/pkg/quotaallocator"
	"bronzelead.example/pkg/wire"
)

func limitedTable(version uint64, burst float64) *wire.Command {
	cmd := putTable(version, "x")
	cmd.GetPutTable().Table.Customers = []*wire.RoutedCustomer{{
		Name: "a", Limit: &wire.CustomerLimit{Unit: wire.LimitUnit_LIMIT_UNIT_REQUESTS, Burst: burst},
	}}
	return cmd
}

// requestQuota requests quota for a number of requests; the test's goroutine runs the call.
func requestQuota(co *Coordinator, needed uint64) (*wire.BorrowResponse, error) {
	type outcome struct {
		res *wire.BorrowResponse
		err error
	}
	done := make(chan outcome, 1)
	go func() {
		res, err := co.Borrow(context.Background(), &wire.BorrowRequest{Borrowers: []*wire.Borrower{{
			Gateway: "g", Accounts: []*wire.CreditAccount{{Customer: "a", Needed: needed, Rate: 1}},
		}}})
		done <- outcome{res, err}
	}()
	(<-co.calls.Calls())(co.Clock.Now())
	e := <-done
	return e.res, e.err
}

// Only a leader grants quota, by the table in force.
func TestOnlyALeaderGrantsQuota(t *testing.T) {
	c := qt.New(t)
	co, k := newCoordinator()
	co.Limits = quotaallocator.Rule{Window: time.Nanosecond, Slack: 100}
	co.apply(raftdriver.CommittedBatch{Entries: []raftdriver.CommittedEntry{k.entry(limitedTable(1, 3))}})
	_, err := requestQuota(co, 1)
	c.Assert(err, qt.Equals, errNotLeader)
	lead(co, k)
	for _, step := range []struct {
		burst  float64
		needed uint64
		want   uint64
	}{{3, 5, 3}, {7, 5, 5}} {
		co.apply(raftdriver.CommittedBatch{Entries: []raftdriver.CommittedEntry{k.entry(limitedTable(uint64(step.burst), step.burst))}})
		co.allocator.Begin(co.Clock.Now().Add(-time.Hour), 1, co.state.Table().GetTable().GetCustomers())
		res, err := requestQuota(co, step.needed)
		c.Assert(err, qt.IsNil)
		c.Check(res.GetBorrowers()[0].GetCredits()[0].GetLent(), qt.Equals, step.want)
		c.Check(res.GetAgainInMs() > 0, qt.IsTrue)
	}
	statuses := co.allocator.Statuses(co.Clock.Now(), true)
	c.Check(statuses[0].GetShares()[0].GetGateway(), qt.Equals, "g")
	k.status = raftdriver.Status{}
	co.tick(co.Clock.Now())
	_, err = requestQuota(co, 1)
	c.Check(err, qt.Equals, errNotLeader)
}

// A new leader knows the gateways that may have spent quota, once it has run for longer than
// spent quota counts.
func TestGatewaysThatMayHaveSpent(t *testing.T) {
	c := qt.New(t)
	co, _ := newCoordinator()
	co.Limits = quotaallocator.Rule{Window: 8 * time.Second}
	start := co.Clock.Now()
	at := func(after time.Duration, gateways ...string) []string {
		now := start.Add(after)
		for _, address := range gateways {
			co.observeGateway(now, &wire.SyncRequest{Gateway: address, Address: address, Zone: "z"})
		}
		co.roster.stale = true
		co.tick(now)
		return slices.Sorted(slices.Values(co.knownGateways(now)))
	}
	c.Check(at(time.Second, "a", "b"), qt.HasLen, 0)
	c.Check(at(co.spendLifetime()-time.Second, "a", "b"), qt.HasLen, 0)
	c.Check(at(co.spendLifetime(), "a"), qt.DeepEquals, []string{"a", "b"})
	c.Check(at(co.spendLifetime()+time.Second, "a"), qt.DeepEquals, []string{"a", "b"})
	c.Check(at(2*co.spendLifetime()+time.Second, "a"), qt.DeepEquals, []string{"a"})
}
