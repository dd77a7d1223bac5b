package routecoordinator

import (
	"context"
	"maps"
	"slices"
	"time"

	"bronzelead.example/pkg/quotaallocator"
	"bronzelead.example/pkg/wire"
)

// Borrow lends gateways of their customers' limits. Only a leader does.
func (c *Coordinator) Borrow(ctx context.Context, req *wire.BorrowRequest) (*wire.BorrowResponse, error) {
	return asLeader(ctx, c, func(now time.Time) *wire.BorrowResponse { return c.borrow(now, req) })
}

// ListLimits returns how the limits stand. Only a leader knows.
func (c *Coordinator) ListLimits(ctx context.Context, _ *wire.ListLimitsRequest) (*wire.ListLimitsResponse, error) {
	return asLeader(ctx, c, func(now time.Time) *wire.ListLimitsResponse {
		return &wire.ListLimitsResponse{Limits: c.lender.Statuses(now, true), RequestLimits: c.requestLimits.Limits(now)}
	})
}

// asLeader runs f in the curator's goroutine if this instance leads.
func asLeader[T any](ctx context.Context, c *Coordinator, f func(now time.Time) *T) (*T, error) {
	// The call may still run after ctx has ended, and must not write what is read here.
	answer := make(chan *T, 1)
	err := c.Call(ctx, func(now time.Time) {
		if c.lender == nil || !c.leads(now) {
			answer <- nil
			return
		}
		answer <- f(now)
	})
	if err != nil {
		return nil, err
	}
	res := <-answer
	if res == nil {
		return nil, errNotLeader
	}
	return res, nil
}

// meetEvery is the time between two looks at which gateways there are.
const meetEvery = 250 * time.Millisecond

// spentFor is how long a gateway counts that is heard no more: what it sent on is in the
// window, after it has spent what was kept for it.
func (c *Coordinator) spentFor() time.Duration { return c.Limits.Window + quotaallocator.MaxOffline }

// meetGateways notes which gateways there are, so that a new leader knows of all that may
// have spent.
func (c *Coordinator) meetGateways(now time.Time) {
	if now.Sub(c.lookedAt) < meetEvery {
		return
	}
	c.lookedAt = now
	c.roster.refresh(now, c.gateways)
	for _, g := range c.roster.list {
		c.met[g.GetAddress()] = now
	}
	for address, at := range c.met {
		if now.Sub(at) > c.spentFor() {
			delete(c.met, address)
		}
	}
}

// knownGateways returns all gateways that may have sent on anything in the window, or none if
// this instance has not run for long enough to tell.
func (c *Coordinator) knownGateways(now time.Time) []string {
	if now.Sub(c.startedAt) < c.spentFor() {
		return nil
	}
	return slices.Collect(maps.Keys(c.met))
}

func (c *Coordinator) borrow(now time.Time, req *wire.BorrowRequest) *wire.BorrowResponse {
	c.roster.refresh(now, c.gateways)
	c.lender.GatewayCount = int(c.roster.count())
	res := &wire.BorrowResponse{AgainInMs: uint32(c.lender.ReportInterval().Milliseconds())}
	for _, b := range req.GetBorrowers() {
		res.Borrowers = append(res.Borrowers, c.lender.Allocate(now, b))
	}
	return res
}
