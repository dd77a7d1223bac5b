package responder

import (
	"context"
	"slices"
	"strings"

	"github.com/twitchtv/twirp"

	"bronzelead.example/pkg/authenticator"
	"bronzelead.example/pkg/validator"
	"bronzelead.example/pkg/wire"
)

// Apply puts a contract into force.
func (r *Responder) Apply(ctx context.Context, req *wire.ApplyRequest) (*wire.ApplyResponse, error) {
	if owner := authenticator.OwnerFrom(ctx); owner != authenticator.ClusterOwner {
		req.Operator = owner
	}
	return serve(ctx, r, req, r.apply, func(a string) func(context.Context, *wire.ApplyRequest) (*wire.ApplyResponse, error) {
		return r.operator(a).Apply
	})
}

func (r *Responder) apply(ctx context.Context, req *wire.ApplyRequest) (*wire.ApplyResponse, error) {
	if req.GetChangeId() == "" {
		return nil, twirp.RequiredArgumentError("change_id")
	}
	if faults := validator.Contract(req.GetContract()); len(faults) > 0 {
		return nil, twirp.NewError(twirp.InvalidArgument, strings.Join(faults, "\n"))
	}
	result, err := r.Raft.Propose(ctx, &wire.Command{Body: &wire.Command_ApplyContract{
		ApplyContract: &wire.ApplyContract{
			ChangeId: req.GetChangeId(), BaseVersion: req.GetBaseVersion(),
			Operator: req.GetOperator(), Contract: req.GetContract(),
		},
	}})
	if err != nil {
		return nil, err
	}
	return result.Apply, nil
}

// Get returns a customer's contract.
func (r *Responder) Get(ctx context.Context, req *wire.GetRequest) (*wire.GetResponse, error) {
	return serve(ctx, r, req, r.get, func(a string) func(context.Context, *wire.GetRequest) (*wire.GetResponse, error) {
		return r.operator(a).Get
	})
}

func (r *Responder) get(ctx context.Context, req *wire.GetRequest) (*wire.GetResponse, error) {
	contract, err := r.Coordinator.Contract(ctx, req.GetCustomer())
	if err == nil && contract == nil {
		return nil, twirp.NotFoundError("customer " + req.GetCustomer() + " has no contract")
	}
	return &wire.GetResponse{Contract: contract}, err
}

// List returns all contracts.
func (r *Responder) List(ctx context.Context, req *wire.ListRequest) (*wire.ListResponse, error) {
	return serve(ctx, r, req, r.list, func(a string) func(context.Context, *wire.ListRequest) (*wire.ListResponse, error) {
		return r.operator(a).List
	})
}

func (r *Responder) list(ctx context.Context, _ *wire.ListRequest) (*wire.ListResponse, error) {
	contracts, err := r.Coordinator.Contracts(ctx)
	return &wire.ListResponse{Contracts: contracts}, err
}

// History returns the changes of a customer's contract.
func (r *Responder) History(ctx context.Context, req *wire.HistoryRequest) (*wire.HistoryResponse, error) {
	return serve(ctx, r, req, r.history, func(a string) func(context.Context, *wire.HistoryRequest) (*wire.HistoryResponse, error) {
		return r.operator(a).History
	})
}

func (r *Responder) history(ctx context.Context, req *wire.HistoryRequest) (*wire.HistoryResponse, error) {
	changes, err := r.Coordinator.History(ctx, req.GetCustomer())
	return &wire.HistoryResponse{Changes: changes}, err
}

// InForce reports whether a change is in force everywhere.
func (r *Responder) InForce(ctx context.Context, req *wire.InForceRequest) (*wire.InForceResponse, error) {
	return serve(ctx, r, req, r.inForce, func(a string) func(context.Context, *wire.InForceRequest) (*wire.InForceResponse, error) {
		return r.operator(a).InForce
	})
}

func (r *Responder) inForce(ctx context.Context, req *wire.InForceRequest) (*wire.InForceResponse, error) {
	return r.Coordinator.InForce(ctx, req.GetRevision())
}

// Status returns what is known about the whole system.
func (r *Responder) Status(ctx context.Context, req *wire.StatusRequest) (*wire.StatusResponse, error) {
	return serve(ctx, r, req, r.status, func(a string) func(context.Context, *wire.StatusRequest) (*wire.StatusResponse, error) {
		return r.operator(a).Status
	})
}

func (r *Responder) status(ctx context.Context, _ *wire.StatusRequest) (*wire.StatusResponse, error) {
	return r.Coordinator.Status(ctx)
}

// Drain stops new work for a backend server, or undoes that.
func (r *Responder) Drain(ctx context.Context, req *wire.DrainRequest) (*wire.DrainResponse, error) {
	return serve(ctx, r, req, r.drain, func(a string) func(context.Context, *wire.DrainRequest) (*wire.DrainResponse, error) {
		return r.operator(a).Drain
	})
}

func (r *Responder) drain(ctx context.Context, req *wire.DrainRequest) (*wire.DrainResponse, error) {
	if req.GetBackend() == "" {
		return nil, twirp.RequiredArgumentError("backend")
	}
	_, err := r.Raft.Propose(ctx, &wire.Command{Body: &wire.Command_DrainBackend{
		DrainBackend: &wire.DrainBackend{Backend: req.GetBackend(), Undo: req.GetUndo()},
	}})
	return &wire.DrainResponse{}, err
}

// ListHeld returns the quarantined requests, which make engines exit.
func (r *Responder) ListHeld(ctx context.Context, req *wire.ListHeldRequest) (*wire.ListHeldResponse, error) {
	return serve(ctx, r, req, r.listHeld, func(a string) func(context.Context, *wire.ListHeldRequest) (*wire.ListHeldResponse, error) {
		return r.operator(a).ListHeld
	})
}

func (r *Responder) listHeld(ctx context.Context, _ *wire.ListHeldRequest) (*wire.ListHeldResponse, error) {
	held, err := r.Coordinator.Quarantined(ctx)
	return &wire.ListHeldResponse{Held: held}, err
}

// Unhold releases a request from quarantine.
func (r *Responder) Unhold(ctx context.Context, req *wire.ReleaseHeld) (*wire.UnholdResponse, error) {
	return serve(ctx, r, req, r.unhold, func(a string) func(context.Context, *wire.ReleaseHeld) (*wire.UnholdResponse, error) {
		return r.operator(a).Unhold
	})
}

func (r *Responder) unhold(ctx context.Context, req *wire.ReleaseHeld) (*wire.UnholdResponse, error) {
	if req.GetFingerprint() == "" {
		return nil, twirp.RequiredArgumentError("fingerprint")
	}
	r.Log.Info("a request was released from quarantine", "Fingerprint", req.GetFingerprint(), "Reason", req.GetReason())
	_, err := r.Raft.Propose(ctx, &wire.Command{Body: &wire.Command_ReleaseHeld{ReleaseHeld: req}})
	return &wire.UnholdResponse{}, err
}

// AddMember admits an instance as a member; it joins when it runs.
func (r *Responder) AddMember(ctx context.Context, req *wire.MemberRequest) (*wire.MemberResponse, error) {
	return serve(ctx, r, req, r.addMember, func(a string) func(context.Context, *wire.MemberRequest) (*wire.MemberResponse, error) {
		return r.operator(a).AddMember
	})
}

func (r *Responder) addMember(ctx context.Context, req *wire.MemberRequest) (*wire.MemberResponse, error) {
	return r.admit(ctx, req.GetName(), false)
}

// RemoveMember removes an instance from the members.
func (r *Responder) RemoveMember(ctx context.Context, req *wire.MemberRequest) (*wire.MemberResponse, error) {
	return serve(ctx, r, req, r.removeMember, func(a string) func(context.Context, *wire.MemberRequest) (*wire.MemberResponse, error) {
		return r.operator(a).RemoveMember
	})
}

func (r *Responder) removeMember(ctx context.Context, req *wire.MemberRequest) (*wire.MemberResponse, error) {
	admitted, err := r.Coordinator.AdmittedMembers(ctx)
	if err != nil {
		return nil, err
	}
	if !slices.Contains(admitted, req.GetName()) {
		return nil, twirp.NotFoundError(req.GetName() + " is not a member")
	}
	if len(admitted) == 1 {
		return nil, twirp.NewError(twirp.FailedPrecondition, "the last member can't be removed")
	}
	return r.admit(ctx, req.GetName(), true)
}

func (r *Responder) admit(ctx context.Context, name string, removed bool) (*wire.MemberResponse, error) {
	if name == "" {
		return nil, twirp.RequiredArgumentError("name")
	}
	_, err := r.Raft.Propose(ctx, &wire.Command{Body: &wire.Command_AdmitMember{
		AdmitMember: &wire.AdmitMember{Name: name, Removed: removed},
	}})
	return &wire.MemberResponse{}, err
}

// Members returns the members of the replicated log.
func (r *Responder) Members(ctx context.Context, req *wire.MembersRequest) (*wire.MembersResponse, error) {
	return serve(ctx, r, req, r.members, func(a string) func(context.Context, *wire.MembersRequest) (*wire.MembersResponse, error) {
		return r.operator(a).Members
	})
}

func (r *Responder) members(ctx context.Context, _ *wire.MembersRequest) (*wire.MembersResponse, error) {
	admitted, err := r.Coordinator.AdmittedMembers(ctx)
	status := r.Raft.Status()
	return &wire.MembersResponse{
		Configuration: status.Configuration, Admitted: admitted, Leader: status.Leader,
	}, err
}
