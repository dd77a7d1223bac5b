// Package responder answers the calls of gateways and operators. An instance that does not lead
// forwards them to the leader, so that a caller partitioned from the leader reaches it through
// any other controller.
package responder

import (
	"context"
	"log/slog"
	"net/http"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"bronzelead.example/controller/coordinator"
	"bronzelead.example/controller/raftdriver"
	"bronzelead.example/pkg/authenticator"
	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/sequencer"
	"bronzelead.example/pkg/wire"
)

// Responder serves wire.Control and wire.Operator. Set the exported fields before
// use.
type Responder struct {
	Log         *slog.Logger
	Raft        *raftdriver.Driver
	Coordinator *coordinator.Coordinator
	// Peer is the client for forwarding calls.
	Peer *connector.Client
	// LeaseNs is the length of a session's lease in nanoseconds.
	LeaseNs int64
}

type forwardedKey struct{}

// MarkForwarded records in the context that a call was forwarded.
func MarkForwarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(connector.ForwardedHeader) != "" {
			ctx := context.WithValue(r.Context(), forwardedKey{}, authenticator.OwnerFrom(r.Context()))
			r = r.WithContext(ctx)
		}
		next.ServeHTTP(w, r)
	})
}

// LeaderAddress returns the address to forward a call to, or "".
func (r *Responder) LeaderAddress() string {
	status := r.Raft.Status()
	for _, m := range status.Configuration.GetVoters() {
		if m.GetId() == status.Leader {
			return m.GetAddress()
		}
	}
	return ""
}

// serve handles a call locally if this instance leads, otherwise at the leader.
func serve[Q, A any](
	ctx context.Context, r *Responder, req *Q,
	local func(context.Context, *Q) (*A, error),
	remote func(address string) func(context.Context, *Q) (*A, error),
) (*A, error) {
	if r.Raft.Leads() {
		res, err := local(ctx, req)
		if !errors.Is(err, raftdriver.ErrNotLeader) {
			return res, twirpError(err)
		}
	}
	address := r.LeaderAddress()
	if ctx.Value(forwardedKey{}) != nil || address == "" {
		return nil, twirpError(raftdriver.ErrNotLeader)
	}
	return remote(address)(ctx, req)
}

func (r *Responder) control(address string) wire.Control {
	return wire.NewControlProtobufClient("http://"+address, r.Peer)
}

func (r *Responder) operator(address string) wire.Operator {
	return wire.NewOperatorProtobufClient("http://"+address, r.Peer)
}

// twirpError gives an error the code by which a caller decides what to do.
func twirpError(err error) error {
	var known twirp.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &known):
		return known
	case errors.Is(err, raftdriver.ErrNotLeader):
		return twirp.NewError(twirp.Unavailable, "no leader is known here")
	case errors.Is(err, raftdriver.ErrBusy), errors.Is(err, sequencer.ErrBusy):
		return twirp.NewError(twirp.ResourceExhausted, err.Error())
	case errors.Is(err, raftdriver.ErrOutcomeUnknown):
		return twirp.NewError(twirp.Aborted, err.Error())
	}
	return twirp.WrapError(twirp.NewError(twirp.Internal, err.Error()), err)
}
