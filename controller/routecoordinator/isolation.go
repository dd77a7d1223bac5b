package routecoordinator

import (
	"context"
	"fmt"
	"time"

	"bronzelead.example/pkg/applier"
	"bronzelead.example/pkg/wire"
)

// proposalTimeout bounds the wait for a change of the leader's own to be committed; it is proposed
// again later.
const proposalTimeout = 900 * time.Millisecond

func (c *Coordinator) initArbiter() {
	c.arbiter.Log = c.Log
	c.arbiter.State = func() *applier.StateMachine { return c.state }
	c.arbiter.Propose = c.propose
	c.arbiter.Gateways = c.gatewayAddresses
	c.arbiter.Count = c.CountHeld
	c.arbiter.Init()
}

// propose commits a change in the background.
func (c *Coordinator) propose(cmd *wire.Command) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), proposalTimeout)
		defer cancel()
		if _, err := c.Raft.Propose(ctx, cmd); err != nil {
			c.Log.Warn("a decision of the leader was not committed", "Change", fmt.Sprintf("%T", cmd.GetBody()), "Error", err.Error())
		}
	}()
}

func (c *Coordinator) gatewayAddresses() []string {
	addresses := make([]string, 0, len(c.roster.list))
	for _, g := range c.roster.list {
		addresses = append(addresses, g.GetAddress())
	}
	return addresses
}

// Held returns the quarantined requests in the local state.
func (c *Coordinator) Held(ctx context.Context) (*wire.ListHeldResponse, error) {
	// The call may still run after ctx has ended, and must not write what is read here.
	held := make(chan []*wire.HeldRequest, 1)
	if err := c.Call(ctx, func(time.Time) { held <- c.state.Quarantined() }); err != nil {
		return nil, err
	}
	return &wire.ListHeldResponse{Held: <-held}, nil
}
