package responder

import (
	"context"

	"bronzelead.example/pkg/applier"
	"bronzelead.example/pkg/wire"
)

// Open opens a session for a gateway.
func (r *Responder) Open(ctx context.Context, req *wire.OpenRequest) (*wire.OpenResponse, error) {
	return serve(ctx, r, req, r.open, func(a string) func(context.Context, *wire.OpenRequest) (*wire.OpenResponse, error) {
		return r.control(a).Open
	})
}

func (r *Responder) open(ctx context.Context, req *wire.OpenRequest) (*wire.OpenResponse, error) {
	result, err := r.Raft.Propose(ctx, &wire.Command{Body: &wire.Command_OpenSession{
		OpenSession: &wire.OpenSession{
			Instance: req.GetInstance(), Zone: req.GetZone(), Nonce: req.GetNonce(), Address: req.GetAddress(),
		},
	}})
	if err != nil {
		return nil, err
	}
	return &wire.OpenResponse{Session: result.Session.GetId(), LeaseNs: r.LeaseNs}, nil
}

// Renew renews a session.
func (r *Responder) Renew(ctx context.Context, req *wire.RenewRequest) (*wire.RenewResponse, error) {
	return serve(ctx, r, req, r.Coordinator.Renew, func(a string) func(context.Context, *wire.RenewRequest) (*wire.RenewResponse, error) {
		return r.control(a).Renew
	})
}

// Close ends a session that has returned everything it held.
func (r *Responder) Close(ctx context.Context, req *wire.CloseRequest) (*wire.CloseResponse, error) {
	return serve(ctx, r, req, r.close, func(a string) func(context.Context, *wire.CloseRequest) (*wire.CloseResponse, error) {
		return r.control(a).Close
	})
}

func (r *Responder) close(ctx context.Context, req *wire.CloseRequest) (*wire.CloseResponse, error) {
	_, err := r.Raft.Propose(ctx, &wire.Command{Body: &wire.Command_CloseSession{
		CloseSession: &wire.CloseSession{Session: req.GetSession(), Graceful: true},
	}})
	return &wire.CloseResponse{}, err
}

// Claim claims the right to run a request once.
func (r *Responder) Claim(ctx context.Context, req *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	return serve(ctx, r, req, r.claim, func(a string) func(context.Context, *wire.ClaimRequest) (*wire.ClaimResponse, error) {
		return r.control(a).Claim
	})
}

func (r *Responder) claim(ctx context.Context, req *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	result, err := r.Raft.Propose(ctx, &wire.Command{Body: &wire.Command_Claim{Claim: req.GetCommand()}})
	if err != nil {
		return nil, err
	}
	return result.Claim, nil
}

// Finish stores the outcome of a claimed request.
func (r *Responder) Finish(ctx context.Context, req *wire.FinishRequest) (*wire.FinishResponse, error) {
	return serve(ctx, r, req, r.finish, func(a string) func(context.Context, *wire.FinishRequest) (*wire.FinishResponse, error) {
		return r.control(a).Finish
	})
}

func (r *Responder) finish(ctx context.Context, req *wire.FinishRequest) (*wire.FinishResponse, error) {
	result, err := r.Raft.Propose(ctx, &wire.Command{Body: &wire.Command_Finish{Finish: req.GetCommand()}})
	return &wire.FinishResponse{Outcome: result.Outcome}, err
}

// Release releases a claim whose request did not run.
func (r *Responder) Release(ctx context.Context, req *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	return serve(ctx, r, req, r.release, func(a string) func(context.Context, *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
		return r.control(a).Release
	})
}

func (r *Responder) release(ctx context.Context, req *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	_, err := r.Raft.Propose(ctx, &wire.Command{Body: &wire.Command_Release{Release: req.GetCommand()}})
	return &wire.ReleaseResponse{}, err
}

// Lookup returns the claim of a key, without claiming it.
func (r *Responder) Lookup(ctx context.Context, req *wire.LookupRequest) (*wire.LookupResponse, error) {
	return serve(ctx, r, req, r.lookup, func(a string) func(context.Context, *wire.LookupRequest) (*wire.LookupResponse, error) {
		return r.control(a).Lookup
	})
}

func (r *Responder) lookup(ctx context.Context, req *wire.LookupRequest) (*wire.LookupResponse, error) {
	claim, err := r.Coordinator.Claim(ctx, applier.ClaimKey{Customer: req.GetCustomer(), Key: req.GetKey()})
	return &wire.LookupResponse{Claim: claim}, err
}
