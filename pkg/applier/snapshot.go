package applier

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

// Snapshot encodes the whole state.
func (r *StateMachine) Snapshot() ([]byte, error) { return Encode(r.Freeze()) }

// Encode encodes a frozen state.
func Encode(s *wire.State) ([]byte, error) {
	data, err := proto.Marshal(s)
	return data, errors.Wrap(err, "recorder: Encode")
}

// Freeze returns the state as it is now. What it holds is never changed, only
// replaced, so it may be encoded by another goroutine while the state goes on.
func (r *StateMachine) Freeze() *wire.State {
	s := &wire.State{
		NowNs: r.now, Applied: r.applied, Revision: r.revision,
		AdmittedMembers: r.AdmittedMembers(), DrainedBackends: r.Drained(),
		Outcomes: slices.Clone(r.aging), EndedSessions: slices.Clone(r.ended),
		Released: slices.Clone(r.releasedOrder),
		Table:    r.table, AdapterVersions: r.AdapterVersions(), HeldRequests: r.Quarantined(),
	}
	for _, customer := range slices.Sorted(maps.Keys(r.latest)) {
		s.Latest = append(s.Latest, r.latest[customer])
		s.History = append(s.History, r.history[customer]...)
	}
	for _, id := range slices.Sorted(maps.Keys(r.sessions)) {
		s.Sessions = append(s.Sessions, r.sessions[id])
	}
	s.Claims = slices.AppendSeq(make([]*wire.Claim, 0, len(r.claims)), maps.Values(r.claims))
	return s
}

// Restore decodes a state that Snapshot encoded.
func Restore(data []byte) (*StateMachine, error) {
	s := &wire.State{}
	if err := proto.Unmarshal(data, s); err != nil {
		return nil, errors.Wrap(err, "recorder: Restore")
	}
	r := New()
	r.now, r.applied, r.revision = s.GetNowNs(), s.GetApplied(), s.GetRevision()
	for _, record := range s.GetLatest() {
		r.latest[record.GetContract().GetCustomer()] = record
	}
	for _, record := range s.GetHistory() {
		customer := record.GetContract().GetCustomer()
		r.history[customer] = append(r.history[customer], record)
	}
	for _, session := range s.GetSessions() {
		r.sessions[session.GetId()] = session
	}
	r.ended = s.GetEndedSessions()
	r.releasedOrder = s.GetReleased()
	for _, released := range s.GetReleased() {
		r.released[released.GetRequestId()] = true
	}
	for _, c := range s.GetClaims() {
		r.restoreClaim(c)
	}
	for _, o := range s.GetOutcomes() {
		r.outcomes[o.GetChangeId()] = o
		r.aging = append(r.aging, o)
	}
	for _, name := range s.GetAdmittedMembers() {
		r.admitted[name] = true
	}
	for _, name := range s.GetDrainedBackends() {
		r.drained[name] = true
	}
	r.table = s.GetTable()
	for _, v := range s.GetAdapterVersions() {
		r.putAdapterVersion(v)
	}
	for _, held := range s.GetHeldRequests() {
		r.held[held.GetFingerprint()] = held
		r.heldRevision++
	}
	return r, nil
}

func (r *StateMachine) restoreClaim(c *wire.Claim) {
	cmd := c.GetCommand()
	key := ClaimKey{Customer: cmd.GetCustomer(), Key: cmd.GetKey()}
	r.claims[key] = c
	r.expiry.push(key, c.GetExpiresAtNs())
	if c.GetState() == wire.ClaimState_CLAIM_STATE_RUNNING && !c.GetOrphaned() {
		r.own(key, c)
	}
}

// InitialState encodes the state of a new cluster, in which only members are admitted.
func InitialState(members []string) ([]byte, error) {
	r := New()
	r.applied = 1
	for _, name := range members {
		r.admitted[name] = true
	}
	return r.Snapshot()
}
