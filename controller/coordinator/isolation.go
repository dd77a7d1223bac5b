package coordinator

import (
	"fmt"

	"bronzelead.example/pkg/applier"
	"bronzelead.example/pkg/wire"
)

func (c *Coordinator) initArbiter() {
	c.arbiter.Log = c.Log
	c.arbiter.State = func() *applier.StateMachine { return c.state }
	c.arbiter.Propose = c.propose
	c.arbiter.Gateways = c.gatewayAddresses
	c.arbiter.Count = c.CountQuarantine
	c.arbiter.Init()
}

// propose commits a change in the background.
func (c *Coordinator) propose(cmd *wire.Command) {
	c.Raft.ProposeAsync(cmd, func(_ applier.Result, err error) {
		if err != nil {
			c.Log.Warn("a quarantine decision was not committed", "Change", fmt.Sprintf("%T", cmd.GetBody()), "Error", err.Error())
		}
	})
}

// gatewayAddresses returns the addresses of the gateways with a session.
func (c *Coordinator) gatewayAddresses() []string {
	var addresses []string
	for _, s := range c.sessions.All() {
		addresses = append(addresses, s.Address)
	}
	return addresses
}
