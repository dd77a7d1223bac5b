package applier

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

// Snapshot encodes the whole state.
func (sm *StateMachine) Snapshot() ([]byte, error) { return Encode(sm.Freeze()) }

// Encode encodes a frozen state.
func Encode(s *wire.State) ([]byte, error) {
	data, err := proto.Marshal(s)
	return data, errors.Wrap(err, "applier: Encode")
}

// Freeze returns the present state. Its elements are replaced, never modified, so another
// goroutine may encode it while more commands are applied.
func (sm *StateMachine) Freeze() *wire.State {
	s := &wire.State{
		NowNs: sm.now, Applied: sm.applied, Revision: sm.revision,
		AdmittedMembers: sm.AdmittedMembers(), DrainedBackends: sm.Drained(),
		Outcomes: slices.Clone(sm.outcomesByAge), EndedSessions: slices.Clone(sm.ended),
		Released: slices.Clone(sm.releasedOrder),
		Table:    sm.table, AdapterVersions: sm.AdapterVersions(), HeldRequests: sm.Quarantined(),
		SoftwareVersions: sm.SoftwareVersions(), Departures: slices.Clone(sm.departures),
	}
	for _, customer := range slices.Sorted(maps.Keys(sm.latest)) {
		s.Latest = append(s.Latest, sm.latest[customer])
		s.History = append(s.History, sm.history[customer]...)
	}
	for _, id := range slices.Sorted(maps.Keys(sm.sessions)) {
		s.Sessions = append(s.Sessions, sm.sessions[id])
	}
	s.Claims = slices.AppendSeq(make([]*wire.Claim, 0, len(sm.claims)), maps.Values(sm.claims))
	return s
}

// Restore decodes a state that Snapshot encoded.
func Restore(data []byte) (*StateMachine, error) {
	s := &wire.State{}
	if err := proto.Unmarshal(data, s); err != nil {
		return nil, errors.Wrap(err, "applier: Restore")
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
		r.outcomesByAge = append(r.outcomesByAge, o)
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
	for _, v := range s.GetSoftwareVersions() {
		r.putSoftwareVersion(v)
	}
	for _, d := range s.GetDepartures() {
		r.addDeparture(d)
	}
	for _, held := range s.GetHeldRequests() {
		r.quarantined[held.GetFingerprint()] = held
		r.quarantineRevision++
	}
	return r, nil
}

func (sm *StateMachine) restoreClaim(c *wire.Claim) {
	cmd := c.GetCommand()
	key := ClaimKey{Customer: cmd.GetCustomer(), Key: cmd.GetKey()}
	sm.claims[key] = c
	sm.expiry.push(key, c.GetExpiresAtNs())
	if c.GetState() == wire.ClaimState_CLAIM_STATE_RUNNING && !c.GetOrphaned() {
		sm.addToSession(key, c)
	}
}

// InitialState encodes the state of a new cluster, which holds only the admitted members.
func InitialState(members []string) ([]byte, error) {
	r := New()
	r.applied = 1
	for _, name := range members {
		r.admitted[name] = true
	}
	return r.Snapshot()
}
