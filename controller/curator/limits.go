package curator

import (
	"context"
	"time"

	"bronzelead.example/pkg/wire"
)

// Borrow lends gateways of their customers' limits. Only a leader does.
func (c *Curator) Borrow(ctx context.Context, req *wire.BorrowRequest) (*wire.BorrowResponse, error) {
	return asLeader(ctx, c, func(now time.Time) *wire.BorrowResponse { return c.borrow(now, req) })
}

// ListLimits returns how the limits stand. Only a leader knows.
func (c *Curator) ListLimits(ctx context.Context, _ *wire.ListLimitsRequest) (*wire.ListLimitsResponse, error) {
	return asLeader(ctx, c, func(now time.Time) *wire.ListLimitsResponse {
		return &wire.ListLimitsResponse{Limits: c.lender.Standings(now, true)}
	})
}

// asLeader runs f in the curator's goroutine if this instance leads.
func asLeader[T any](ctx context.Context, c *Curator, f func(now time.Time) *T) (*T, error) {
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

func (c *Curator) borrow(now time.Time, req *wire.BorrowRequest) *wire.BorrowResponse {
	c.roster.refresh(now, c.gateways)
	c.lender.Gateways = int(c.roster.count())
	res := &wire.BorrowResponse{AgainInMs: uint32(c.lender.AgainIn().Milliseconds())}
	for _, b := range req.GetBorrowers() {
		res.Borrowers = append(res.Borrowers, c.lender.Borrow(now, b))
	}
	return res
}
