package responder

import (
	"context"

	"github.com/twitchtv/twirp"

	"bronzelead.example/controller/raftdriver"
	"bronzelead.example/pkg/wire"
)

// Peer serves wire.Peer: messages from other controllers and requests to join.
type Peer struct {
	Raft *raftdriver.Driver
	// Cluster returns the cluster that this instance belongs to.
	Cluster func() string
	// Client returns a client of the controller at an address.
	Client func(address string) wire.Peer
	// Leader returns the leader's address, or "".
	Leader func() string
	// RecordPeer records the sender of a message.
	RecordPeer func(from *wire.Member)
	// RecordContact records a member of a cluster, while this instance belongs to none.
	RecordContact func(from *wire.Member)
}

// Deliver accepts messages of the same cluster.
func (p *Peer) Deliver(_ context.Context, req *wire.DeliverRequest) (*wire.DeliverResponse, error) {
	if req.GetCluster() != p.Cluster() {
		if p.Cluster() == "" {
			p.RecordContact(req.GetFrom())
		}
		return nil, twirp.NewError(twirp.FailedPrecondition, "the message is from another cluster")
	}
	p.RecordPeer(req.GetFrom())
	p.Raft.Deliver(req.GetMessages())
	return &wire.DeliverResponse{}, nil
}

// Join records at the leader that an instance wants to become a member.
func (p *Peer) Join(ctx context.Context, req *wire.JoinRequest) (*wire.JoinResponse, error) {
	if p.Raft.Leads() {
		p.Raft.Join(req.GetMember())
		return &wire.JoinResponse{Cluster: p.Cluster()}, nil
	}
	address := p.Leader()
	if address == "" || ctx.Value(forwardedKey{}) != nil {
		return nil, twirp.NewError(twirp.Unavailable, "no leader is known here")
	}
	return p.Client(address).Join(ctx, req)
}
