package routecoordinator

import (
	"context"
	"time"

	"bronzelead.example/pkg/wire"
)

// LeaderHoldingRevision returns up to which revision the leader's holdings were heard.
func (c *Coordinator) LeaderHoldingRevision(ctx context.Context) (uint64, error) {
	// The call may still run after ctx has ended, and must not write what is read here.
	revision := make(chan uint64, 1)
	if err := c.Call(ctx, func(time.Time) { revision <- c.heard.Revision() }); err != nil {
		return 0, err
	}
	return <-revision, nil
}

// ApplyLeaderState takes what the leader has learnt and what engines hold by its word, so that this
// instance can go on from there when it leads.
func (c *Coordinator) ApplyLeaderState(ctx context.Context, res *wire.SyncResponse) error {
	return c.Call(ctx, func(time.Time) {
		if c.placer != nil || !res.GetLeads() {
			return
		}
		changed, whole := c.heard.Apply(res.GetHoldingRevision(), res.GetHoldingsSince(), res.GetHoldings())
		if !whole {
			c.Log.Warn("a difference of the leader's holdings has a gap before it; all is asked for", "Since", res.GetHoldingsSince())
			c.heard.Reset(0)
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
