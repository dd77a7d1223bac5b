package recorder

import (
	"maps"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

// Snapshot encodes the whole state.
func (r *Recorder) Snapshot() ([]byte, error) {
	s := &wire.State{
		NowNs: r.now, Applied: r.applied, Revision: r.revision,
		AdmittedMembers: r.AdmittedMembers(), DrainedBackends: r.Drained(),
		Outcomes: r.aging, EndedSessions: r.ended,
	}
	for _, customer := range slices.Sorted(maps.Keys(r.latest)) {
		s.Latest = append(s.Latest, r.latest[customer])
		s.History = append(s.History, r.history[customer]...)
	}
	for _, id := range slices.Sorted(maps.Keys(r.sessions)) {
		s.Sessions = append(s.Sessions, r.sessions[id])
	}
	for _, c := range r.claims {
		s.Claims = append(s.Claims, c)
	}
	data, err := proto.Marshal(s)
	return data, errors.Wrap(err, "recorder: Snapshot")
}

// Restore decodes a state that Snapshot encoded.
func Restore(data []byte) (*Recorder, error) {
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
	return r, nil
}

func (r *Recorder) restoreClaim(c *wire.Claim) {
	cmd := c.GetCommand()
	key := ClaimKey{Customer: cmd.GetCustomer(), Key: cmd.GetKey()}
	r.claims[key] = c
	r.expiry.push(key, c.GetExpiresAtNs())
	if c.GetState() == wire.ClaimState_CLAIM_STATE_RUNNING && !c.GetOrphaned() {
		r.own(key, c)
	}
}

// First encodes the state of a new cluster, in which only members are admitted.
func First(members []string) ([]byte, error) {
	r := New()
	r.applied = 1
	for _, name := range members {
		r.admitted[name] = true
	}
	return r.Snapshot()
}
