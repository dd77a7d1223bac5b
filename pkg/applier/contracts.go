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

// applyContract applies a change whose base version is the contract's present version, so
// exactly one of several changes with the same base version wins. A known change id gets its
// first outcome again.
func (sm *StateMachine) applyContract(cmd *wire.ApplyContract) *wire.ApplyResponse {
	customer := cmd.GetContract().GetCustomer()
	digest := changeDigest(cmd)
	if first := sm.outcomes[cmd.GetChangeId()]; first != nil {
		if !bytes.Equal(first.GetDigest(), digest) {
			return &wire.ApplyResponse{Reused: true, Contract: sm.Contract(customer)}
		}
		return sm.response(customer, first)
	}
	outcome := &wire.ChangeOutcome{ChangeId: cmd.GetChangeId(), Digest: digest, AtNs: sm.now}
	if sm.Contract(customer).GetVersion() == cmd.GetBaseVersion() {
		sm.storeContract(cmd)
		outcome.Revision = sm.revision
	} else {
		outcome.Conflict = true
	}
	sm.outcomes[cmd.GetChangeId()] = outcome
	sm.outcomesByAge = append(sm.outcomesByAge, outcome)
	return sm.response(customer, outcome)
}

func (sm *StateMachine) storeContract(cmd *wire.ApplyContract) {
	contract := proto.CloneOf(cmd.GetContract())
	contract.Version = cmd.GetBaseVersion() + 1
	sm.revision = sm.applied
	record := &wire.ChangeRecord{
		Revision: sm.revision, ChangeId: cmd.GetChangeId(), Operator: cmd.GetOperator(),
		AtNs: sm.now, Contract: contract,
	}
	customer := contract.GetCustomer()
	sm.latest[customer] = record
	sm.history[customer] = append(sm.history[customer], record)
	if past := sm.history[customer]; len(past) > maxHistoryPerCustomer {
		sm.history[customer] = slices.Clone(past[len(past)-maxHistoryPerCustomer:])
	}
}

func (sm *StateMachine) response(customer string, outcome *wire.ChangeOutcome) *wire.ApplyResponse {
	res := &wire.ApplyResponse{
		Conflict: outcome.GetConflict(), Revision: outcome.GetRevision(), Contract: sm.Contract(customer),
	}
	for _, record := range sm.history[customer] {
		if !outcome.GetConflict() && record.GetRevision() == outcome.GetRevision() {
			res.Contract = record.GetContract()
		}
	}
	return res
}

// changeDigest distinguishes two uses of one change id. Marshalling is deterministic within one
// build, and a digest is compared only with those of resent changes.
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
func (sm *StateMachine) Contract(customer string) *wire.Contract {
	return sm.latest[customer].GetContract()
}

// Contracts returns all present contracts by customer.
func (sm *StateMachine) Contracts() []*wire.Contract {
	var all []*wire.Contract
	for _, customer := range slices.Sorted(maps.Keys(sm.latest)) {
		all = append(all, sm.latest[customer].GetContract())
	}
	return all
}

// ChangedSince returns the contracts that changed after a revision.
func (sm *StateMachine) ChangedSince(revision uint64) []*wire.Contract {
	if revision >= sm.revision {
		return nil
	}
	var changed []*wire.ChangeRecord
	for _, record := range sm.latest {
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

// History returns the retained changes of a customer's contract, oldest first.
func (sm *StateMachine) History(customer string) []*wire.ChangeRecord { return sm.history[customer] }

// Drained returns the names of backend servers that get no new work.
func (sm *StateMachine) Drained() []string { return slices.Sorted(maps.Keys(sm.drained)) }

// AdmittedMembers returns the names of instances that may become members.
func (sm *StateMachine) AdmittedMembers() []string { return slices.Sorted(maps.Keys(sm.admitted)) }
