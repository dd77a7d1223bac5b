package coordinator

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"bronzelead.example/controller/raftdriver"
	"bronzelead.example/pkg/applier"
	"bronzelead.example/pkg/sessiontracker"
	"bronzelead.example/pkg/wire"
)

// Read runs f on the state while this instance leads; otherwise it fails.
func (c *Coordinator) Read(ctx context.Context, f func(now time.Time)) error {
	led := false
	err := c.Call(ctx, func(now time.Time) {
		if led = c.leads(now); led {
			f(now)
		}
	})
	if err != nil {
		return err
	}
	if !led || !c.Raft.Status().Leads(c.Clock.Now()) {
		return raftdriver.ErrNotLeader
	}
	return nil
}

// readValue reads a value of the state while this instance leads. The value comes over a
// channel: f may still run after ctx has ended, and must not write what the caller reads.
func readValue[T any](ctx context.Context, c *Coordinator, f func() T) (T, error) {
	value := make(chan T, 1)
	if err := c.Read(ctx, func(time.Time) { value <- f() }); err != nil {
		var none T
		return none, err
	}
	return <-value, nil
}

// Contract returns a customer's contract, or nil.
func (c *Coordinator) Contract(ctx context.Context, customer string) (*wire.Contract, error) {
	return readValue(ctx, c, func() *wire.Contract { return c.state.Contract(customer) })
}

// Contracts returns all contracts.
func (c *Coordinator) Contracts(ctx context.Context) ([]*wire.Contract, error) {
	return readValue(ctx, c, c.state.Contracts)
}

// History returns the retained changes of a customer's contract.
func (c *Coordinator) History(ctx context.Context, customer string) ([]*wire.ChangeRecord, error) {
	return readValue(ctx, c, func() []*wire.ChangeRecord { return c.state.History(customer) })
}

// Claim returns a copy of a claim, or nil.
func (c *Coordinator) Claim(ctx context.Context, key applier.ClaimKey) (*wire.Claim, error) {
	return readValue(ctx, c, func() *wire.Claim {
		found := c.state.ClaimOf(key)
		if found == nil {
			return nil
		}
		return proto.CloneOf(found)
	})
}

// Quarantined returns the quarantined requests.
func (c *Coordinator) Quarantined(ctx context.Context) ([]*wire.HeldRequest, error) {
	return readValue(ctx, c, c.state.Quarantined)
}

// InForce reports whether every live session has applied a revision.
func (c *Coordinator) InForce(ctx context.Context, revision uint64) (*wire.InForceResponse, error) {
	res := &wire.InForceResponse{}
	err := c.Read(ctx, func(now time.Time) {
		for _, s := range c.sessions.Lagging(revision) {
			res.Missing = append(res.Missing, sessionStatus(now, s))
		}
		res.InForce = len(res.Missing) == 0 && c.state.Revision() >= revision
	})
	return res, err
}

// AdmittedMembers returns the names of instances that may become members.
func (c *Coordinator) AdmittedMembers(ctx context.Context) ([]string, error) {
	return readValue(ctx, c, c.state.AdmittedMembers)
}

// Status returns the operators' view of the whole system.
func (c *Coordinator) Status(ctx context.Context) (*wire.StatusResponse, error) {
	status := c.Raft.Status()
	res := &wire.StatusResponse{
		Leader: status.Leader, Term: status.Term, Configuration: status.Configuration,
	}
	err := c.Read(ctx, func(now time.Time) {
		res.Applied, res.Revision = c.state.Applied(), c.state.Revision()
		res.Claims = uint64(c.state.ClaimCount())
		res.Drained = c.state.Drained()
		for _, s := range c.sessions.All() {
			res.Sessions = append(res.Sessions, sessionStatus(now, s))
		}
		for _, b := range c.backends.known {
			res.Backends = append(res.Backends, b)
		}
		for _, pl := range c.planner.Placements() {
			res.Placements = append(res.Placements, &wire.PlacementStatus{
				Backend: pl.Backend, Adapter: pl.Adapter,
				State: pl.State.String(), Holders: uint32(pl.Holders()),
			})
		}
	})
	return res, err
}

func sessionStatus(now time.Time, s *sessiontracker.Session) *wire.SessionStatus {
	return &wire.SessionStatus{
		Session: uint64(s.ID), Instance: s.Instance, Zone: s.Zone, Address: s.Address,
		Revision: s.Revision, SilentNs: int64(now.Sub(s.RenewedAt)),
	}
}
