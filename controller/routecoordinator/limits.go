package routecoordinator

import (
	"context"
	"maps"
	"slices"
	"time"

	"bronzelead.example/pkg/quotaallocator"
	"bronzelead.example/pkg/wire"
)

// Borrow grants gateways request quota of their customers' limits. Only a leader does.
func (c *Coordinator) Borrow(ctx context.Context, req *wire.BorrowRequest) (*wire.BorrowResponse, error) {
	return asLeader(ctx, c, func(now time.Time) *wire.BorrowResponse { return c.grantQuota(now, req) })
}

// ListLimits returns the status of the limits. Only a leader knows it.
func (c *Coordinator) ListLimits(ctx context.Context, _ *wire.ListLimitsRequest) (*wire.ListLimitsResponse, error) {
	return asLeader(ctx, c, func(now time.Time) *wire.ListLimitsResponse {
		return &wire.ListLimitsResponse{
			Limits: c.allocator.Statuses(now, true), RequestLimits: c.requestLimits.Limits(now), Constrained: c.loads.Constrained(),
		}
	})
}

// asLeader runs f in the coordinator's goroutine if this instance leads.
func asLeader[T any](ctx context.Context, c *Coordinator, f func(now time.Time) *T) (*T, error) {
	// The call may still run after ctx has ended, and must not write what is read here.
	answer := make(chan *T, 1)
	err := c.Call(ctx, func(now time.Time) {
		if c.allocator == nil || !c.leads(now) {
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

// gatewayCheckInterval is the time between two checks of which gateways there are.
const gatewayCheckInterval = 250 * time.Millisecond

// spendLifetime is how long a silent gateway still counts: it may first spend its reserved
// quota, and the requests that it forwarded then stay in the window.
func (c *Coordinator) spendLifetime() time.Duration {
	return c.Limits.Window + quotaallocator.MaxOffline
}

// recordGateways records which gateways there are, so that a new leader knows all that may have
// spent quota.
func (c *Coordinator) recordGateways(now time.Time) {
	if now.Sub(c.gatewaysCheckedAt) < gatewayCheckInterval {
		return
	}
	c.gatewaysCheckedAt = now
	c.roster.refresh(now, c.gateways)
	for _, g := range c.roster.list {
		c.gatewaySeenAt[g.GetAddress()] = now
	}
	for address, at := range c.gatewaySeenAt {
		if now.Sub(at) > c.spendLifetime() {
			delete(c.gatewaySeenAt, address)
		}
	}
}

// knownGateways returns all gateways that may have forwarded requests within the window, or
// none if this instance has not run for long enough to know them.
func (c *Coordinator) knownGateways(now time.Time) []string {
	if now.Sub(c.startedAt) < c.spendLifetime() {
		return nil
	}
	return slices.Collect(maps.Keys(c.gatewaySeenAt))
}

func (c *Coordinator) grantQuota(now time.Time, req *wire.BorrowRequest) *wire.BorrowResponse {
	c.roster.refresh(now, c.gateways)
	c.allocator.GatewayCount = int(c.roster.count())
	res := &wire.BorrowResponse{AgainInMs: uint32(c.allocator.ReportInterval().Milliseconds())}
	for _, b := range req.GetBorrowers() {
		res.Borrowers = append(res.Borrowers, c.allocator.Allocate(now, b))
	}
	return res
}
