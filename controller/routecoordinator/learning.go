package routecoordinator

import (
	"context"
	"time"

	"bronzelead.example/pkg/wire"
)

// LeaderHoldingRevision returns the revision up to which the leader's holdings were received.
func (c *Coordinator) LeaderHoldingRevision(ctx context.Context) (uint64, error) {
	// The call may still run after ctx has ended, and must not write what is read here.
	revision := make(chan uint64, 1)
	if err := c.Call(ctx, func(time.Time) { revision <- c.leaderHoldings.Revision() }); err != nil {
		return 0, err
	}
	return <-revision, nil
}

// ApplyLeaderState takes the leader's learnt values and holdings, so that this instance can
// continue from there when it leads.
func (c *Coordinator) ApplyLeaderState(ctx context.Context, res *wire.SyncResponse) error {
	return c.Call(ctx, func(time.Time) {
		if c.placer != nil || !res.GetLeads() {
			return
		}
		changed, complete := c.leaderHoldings.Apply(res.GetHoldingRevision(), res.GetHoldingsSince(), res.GetHoldings())
		if !complete {
			c.Log.Warn("holdings difference does not follow the known revision; requesting the complete holdings", "Since", res.GetHoldingsSince())
			c.leaderHoldings.Reset(0)
			return
		}
		if len(changed) > 0 {
			for _, h := range res.GetHoldings() {
				c.knowledge.RecordAdapters(h.GetBackend(), h.GetGone())
				c.knowledge.RecordAdapters(h.GetBackend(), h.GetAdapters())
			}
		}
		c.knowledge.SetLearnt(res.GetLearnt())
	})
}
