package applier

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

// applyContract takes a change if it was made from the contract's present
// version. Of several changes made from equal versions exactly one wins. A change
// id that was seen before gets its first outcome again.
func (r *StateMachine) applyContract(cmd *wire.ApplyContract) *wire.ApplyResponse {
	customer := cmd.GetContract().GetCustomer()
	digest := changeDigest(cmd)
	if first := r.outcomes[cmd.GetChangeId()]; first != nil {
		if !bytes.Equal(first.GetDigest(), digest) {
			return &wire.ApplyResponse{Reused: true, Contract: r.Contract(customer)}
		}
		return r.response(customer, first)
	}
	outcome := &wire.ChangeOutcome{ChangeId: cmd.GetChangeId(), Digest: digest, AtNs: r.now}
	if r.Contract(customer).GetVersion() == cmd.GetBaseVersion() {
		r.store(cmd)
		outcome.Revision = r.revision
	} else {
		outcome.Conflict = true
	}
	r.outcomes[cmd.GetChangeId()] = outcome
	r.aging = append(r.aging, outcome)
	return r.response(customer, outcome)
}

func (r *StateMachine) store(cmd *wire.ApplyContract) {
	contract := proto.CloneOf(cmd.GetContract())
	contract.Version = cmd.GetBaseVersion() + 1
	r.revision = r.applied
	record := &wire.ChangeRecord{
		Revision: r.revision, ChangeId: cmd.GetChangeId(), Operator: cmd.GetOperator(),
		AtNs: r.now, Contract: contract,
	}
	customer := contract.GetCustomer()
	r.latest[customer] = record
	r.history[customer] = append(r.history[customer], record)
	if past := r.history[customer]; len(past) > historyPerCustomer {
		r.history[customer] = slices.Clone(past[len(past)-historyPerCustomer:])
	}
}

func (r *StateMachine) response(customer string, outcome *wire.ChangeOutcome) *wire.ApplyResponse {
	res := &wire.ApplyResponse{
		Conflict: outcome.GetConflict(), Revision: outcome.GetRevision(), Contract: r.Contract(customer),
	}
	for _, record := range r.history[customer] {
		if !outcome.GetConflict() && record.GetRevision() == outcome.GetRevision() {
			res.Contract = record.GetContract()
		}
	}
	return res
}

// changeDigest tells two uses of one change id apart. Marshalling is deterministic
// within one build, and a digest only ever meets digests of resent changes.
func changeDigest(cmd *wire.ApplyContract) []byte {
	body := &wire.ApplyContract{BaseVersion: cmd.GetBaseVersion(), Contract: cmd.GetContract()}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(body)
	if err != nil {
		return nil
	}
	sum := sha256.Sum256(data)
	return sum[:]
}

// Contract returns a customer's present contract, or nil.
func (r *StateMachine) Contract(customer string) *wire.Contract {
	return r.latest[customer].GetContract()
}

// Contracts returns all present contracts by customer.
func (r *StateMachine) Contracts() []*wire.Contract {
	var all []*wire.Contract
	for _, customer := range slices.Sorted(maps.Keys(r.latest)) {
		all = append(all, r.latest[customer].GetContract())
	}
	return all
}

// ChangedSince returns the contracts that changed after a revision.
func (r *StateMachine) ChangedSince(revision uint64) []*wire.Contract {
	if revision >= r.revision {
		return nil
	}
	var changed []*wire.ChangeRecord
	for _, record := range r.latest {
		if record.GetRevision() > revision {
			changed = append(changed, record)
		}
	}
	slices.SortFunc(changed, func(a, b *wire.ChangeRecord) int {
		return cmp.Compare(a.GetRevision(), b.GetRevision())
	})
	contracts := make([]*wire.Contract, len(changed))
	for i, record := range changed {
		contracts[i] = record.GetContract()
	}
	return contracts
}

// History returns the kept changes of a customer's contract, oldest first.
func (r *StateMachine) History(customer string) []*wire.ChangeRecord { return r.history[customer] }

// Drained returns the names of backend servers that get no new work.
func (r *StateMachine) Drained() []string { return slices.Sorted(maps.Keys(r.drained)) }

// AdmittedMembers returns the names of instances that may become members.
func (r *StateMachine) AdmittedMembers() []string { return slices.Sorted(maps.Keys(r.admitted)) }
