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

// borrow asks for a number of requests, with the test's goroutine in the curator's place.
func borrow(cu *Coordinator, needed uint64) (*wire.BorrowResponse, error) {
	type end struct {
		res *wire.BorrowResponse
		err error
	}
	done := make(chan end, 1)
	go func() {
		res, err := cu.Borrow(context.Background(), &wire.BorrowRequest{Borrowers: []*wire.Borrower{{
			Gateway: "g", Accounts: []*wire.CreditAccount{{Customer: "a", Needed: needed, Rate: 1}},
		}}})
		done <- end{res, err}
	}()
	(<-cu.calls.Calls())(cu.Clock.Now())
	e := <-done
	return e.res, e.err
}

// Only a leader lends, by the table in force.
func TestOnlyALeaderLends(t *testing.T) {
	c := qt.New(t)
	cu, k := newCurator()
	cu.Limits = quotaallocator.Rule{Window: time.Nanosecond, Slack: 100}
	cu.apply(raftdriver.CommittedBatch{Entries: []raftdriver.CommittedEntry{k.entry(limitedTable(1, 3))}})
	_, err := borrow(cu, 1)
	c.Assert(err, qt.Equals, errNotLeader)
	lead(cu, k)
	for _, step := range []struct {
		burst  float64
		needed uint64
		want   uint64
	}{{3, 5, 3}, {7, 5, 5}} {
		cu.apply(raftdriver.CommittedBatch{Entries: []raftdriver.CommittedEntry{k.entry(limitedTable(uint64(step.burst), step.burst))}})
		cu.lender.Begin(cu.Clock.Now().Add(-time.Hour), 1, cu.state.Table().GetTable().GetCustomers())
		res, err := borrow(cu, step.needed)
		c.Assert(err, qt.IsNil)
		c.Check(res.GetBorrowers()[0].GetCredits()[0].GetLent(), qt.Equals, step.want)
		c.Check(res.GetAgainInMs() > 0, qt.IsTrue)
	}
	standings := cu.lender.Statuses(cu.Clock.Now(), true)
	c.Check(standings[0].GetShares()[0].GetGateway(), qt.Equals, "g")
	k.standing = raftdriver.Status{}
	cu.tick(cu.Clock.Now())
	_, err = borrow(cu, 1)
	c.Check(err, qt.Equals, errNotLeader)
}

// A new leader knows of the gateways that may have spent anything, if it has run for longer
// than that counts.
func TestGatewaysThatMayHaveSpent(t *testing.T) {
	c := qt.New(t)
	cu, _ := newCurator()
	cu.Limits = quotaallocator.Rule{Window: 8 * time.Second}
	start := cu.Clock.Now()
	at := func(after time.Duration, gateways ...string) []string {
		now := start.Add(after)
		for _, address := range gateways {
			cu.hear(now, &wire.SyncRequest{Gateway: address, Address: address, Zone: "z"})
		}
		cu.roster.stale = true
		cu.tick(now)
		return slices.Sorted(slices.Values(cu.knownGateways(now)))
	}
	c.Check(at(time.Second, "a", "b"), qt.HasLen, 0)
	c.Check(at(cu.spentFor()-time.Second, "a", "b"), qt.HasLen, 0)
	c.Check(at(cu.spentFor(), "a"), qt.DeepEquals, []string{"a", "b"})
	c.Check(at(cu.spentFor()+time.Second, "a"), qt.DeepEquals, []string{"a", "b"})
	c.Check(at(2*cu.spentFor()+time.Second, "a"), qt.DeepEquals, []string{"a"})
}
