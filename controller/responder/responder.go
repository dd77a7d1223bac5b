// Package responder answers the calls of gateways and operators. An instance that
// does not lead passes them on to the one that does, so that a caller that is cut
// off from the leader reaches it through any other controller.
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
	"bronzelead.example/pkg/caller"
	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/wire"
)

// Responder serves wire.Control and wire.Operator. Set the exported fields before
// use.
type Responder struct {
	Log         *slog.Logger
	Raft        *raftdriver.Driver
	Coordinator *coordinator.Coordinator
	// Peer is the client for passing calls on.
	Peer *connector.Client
	// LeaseNs is the length of a session's lease in nanoseconds.
	LeaseNs int64
}

type forwardedKey struct{}

// MarkForwarded notes in the context that a call was passed on already.
func MarkForwarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(connector.ForwardedHeader) != "" {
			ctx := context.WithValue(r.Context(), forwardedKey{}, authenticator.OwnerFrom(r.Context()))
			r = r.WithContext(ctx)
		}
		next.ServeHTTP(w, r)
	})
}

// LeaderAddress returns where to pass a call on to, or "".
func (r *Responder) LeaderAddress() string {
	standing := r.Raft.Standing()
	for _, m := range standing.Configuration.GetVoters() {
		if m.GetId() == standing.Leader {
			return m.GetAddress()
		}
	}
	return ""
}

// serve answers a call here if this instance leads, else at the leader.
func serve[Q, A any](
	ctx context.Context, r *Responder, req *Q,
	here func(context.Context, *Q) (*A, error),
	there func(address string) func(context.Context, *Q) (*A, error),
) (*A, error) {
	if r.Raft.Leads() {
		res, err := here(ctx, req)
		if !errors.Is(err, raftdriver.ErrNotLeader) {
			return res, twirpError(err)
		}
	}
	address := r.LeaderAddress()
	if ctx.Value(forwardedKey{}) != nil || address == "" {
		return nil, twirpError(raftdriver.ErrNotLeader)
	}
	return there(address)(ctx, req)
}

func (r *Responder) control(address string) wire.Control {
	return wire.NewControlProtobufClient("http://"+address, r.Peer)
}

func (r *Responder) operator(address string) wire.Operator {
	return wire.NewOperatorProtobufClient("http://"+address, r.Peer)
}

// twirpError gives an error the code that tells a caller what to do.
func twirpError(err error) error {
	var known twirp.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &known):
		return known
	case errors.Is(err, raftdriver.ErrNotLeader):
		return twirp.NewError(twirp.Unavailable, "no leader is known here")
	case errors.Is(err, raftdriver.ErrBusy), errors.Is(err, caller.ErrBusy):
		return twirp.NewError(twirp.ResourceExhausted, err.Error())
	case errors.Is(err, raftdriver.ErrOutcomeUnknown):
		return twirp.NewError(twirp.Aborted, err.Error())
	}
	return twirp.WrapError(twirp.NewError(twirp.Internal, err.Error()), err)
}
