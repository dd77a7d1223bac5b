// Package applier implements the state machine of the replicated log: contracts and their
// history, sessions of gateways, claims of requests that run at most once, admitted members,
// drained backend servers, the routing table, adapter versions, quarantined requests and departures of
// backend servers.
//
// It is deterministic: the same commands in the same order give the same state on each member.
// Time comes only from the commands and never goes back.
package applier

import (
	"time"

	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

const (
	maxHistoryPerCustomer = 50
	// How long a resent change gets its first outcome.
	outcomeRetention = 7 * 24 * time.Hour
	// Ended sessions and released requests are remembered for longer than any request may run.
	endedRetention = 2 * MaxDeadline
)

// MaxDeadline bounds the deadline that a contract may set for a request.
const MaxDeadline = 10 * time.Minute

// ClaimKey identifies a claim.
type ClaimKey struct {
	Customer string
	Key      string
}

// Result is the result of a command. Which fields are set depends on the command.
type Result struct {
	Apply   *wire.ApplyResponse
	Session *wire.Session
	Claim   *wire.ClaimResponse
	Outcome *wire.Outcome
	// Closed is the command that closed a session.
	Closed *wire.CloseSession
}

// StateMachine holds the state. Create it with New or Restore.
type StateMachine struct {
	now             int64
	applied         uint64
	revision        uint64
	latest          map[string]*wire.ChangeRecord
	history         map[string][]*wire.ChangeRecord
	outcomes        map[string]*wire.ChangeOutcome
	outcomesByAge   []*wire.ChangeOutcome
	sessions        map[uint64]*wire.Session
	ended           []*wire.Session
	claims          map[ClaimKey]*wire.Claim
	claimsBySession map[uint64]map[ClaimKey]bool
	expiry          expiryQueue
	admitted        map[string]bool
	drained         map[string]bool
	// released are requests that released their claim; a claim of theirs that is committed
	// later is refused. releasedOrder sorts them by time.
	released      map[string]bool
	releasedOrder []*wire.ReleasedRequest
	table         *wire.PutTable
	// adapters are the required versions of adapters, by MODEL/NAME.
	adapters map[string]*wire.AdapterVersion
	// software holds the software versions of backend servers.
	software map[softwareKey]*wire.SoftwareVersion
	// quarantined are the quarantined requests, by fingerprint.
	quarantined        map[string]*wire.HeldRequest
	quarantineRevision uint64
	// quarantineDueAt is when the next of them is due, as of dueAtRevision; 0 is never.
	quarantineDueAt     int64
	dueAtRevision       uint64
	quarantineEvictions int
	// departures of backend servers are sorted by index; departed has their incarnations.
	departures []*wire.RecordedDeparture
	departed   map[string]bool
}

// New returns an empty state.
func New() *StateMachine {
	return &StateMachine{
		latest:          map[string]*wire.ChangeRecord{},
		history:         map[string][]*wire.ChangeRecord{},
		outcomes:        map[string]*wire.ChangeOutcome{},
		sessions:        map[uint64]*wire.Session{},
		claims:          map[ClaimKey]*wire.Claim{},
		claimsBySession: map[uint64]map[ClaimKey]bool{},
		admitted:        map[string]bool{},
		drained:         map[string]bool{},
		released:        map[string]bool{},
		adapters:        map[string]*wire.AdapterVersion{},
		software:        map[softwareKey]*wire.SoftwareVersion{},
		quarantined:     map[string]*wire.HeldRequest{},
		departed:        map[string]bool{},
	}
}

// Apply applies a committed entry. An entry that can't be decoded changes nothing, which is the
// same on each member.
func (sm *StateMachine) Apply(e *wire.Entry) Result {
	sm.applied = e.GetIndex()
	if e.GetKind() != wire.EntryKind_ENTRY_KIND_COMMAND || len(e.GetData()) == 0 {
		return Result{}
	}
	cmd := &wire.Command{}
	if err := proto.Unmarshal(e.GetData(), cmd); err != nil {
		return Result{}
	}
	previous := sm.now
	sm.now = max(sm.now, cmd.GetAtNs())
	sm.expire(sm.now - previous)
	return sm.execute(e.GetIndex(), cmd)
}

func (sm *StateMachine) execute(index uint64, cmd *wire.Command) Result {
	switch body := cmd.GetBody().(type) {
	case *wire.Command_ApplyContract:
		return Result{Apply: sm.applyContract(body.ApplyContract)}
	case *wire.Command_OpenSession:
		return Result{Session: sm.openSession(index, body.OpenSession)}
	case *wire.Command_CloseSession:
		return Result{Closed: sm.closeSession(body.CloseSession)}
	case *wire.Command_Claim:
		return Result{Claim: sm.claim(body.Claim)}
	case *wire.Command_Finish:
		return Result{Outcome: sm.finish(body.Finish)}
	case *wire.Command_Release:
		sm.release(body.Release)
	case *wire.Command_AdmitMember:
		sm.admitMember(body.AdmitMember)
	case *wire.Command_DrainBackend:
		setFlag(sm.drained, body.DrainBackend.GetBackend(), !body.DrainBackend.GetUndo())
	case *wire.Command_PutTable:
		sm.putTable(body.PutTable)
	case *wire.Command_PutAdapterVersion:
		sm.putAdapterVersion(body.PutAdapterVersion)
		sm.startTrials(body.PutAdapterVersion)
	case *wire.Command_PutSoftwareVersion:
		sm.putSoftwareVersion(body.PutSoftwareVersion)
	case *wire.Command_HoldRequest:
		sm.quarantine(body.HoldRequest)
	case *wire.Command_ReleaseHeld:
		sm.releaseQuarantined(body.ReleaseHeld.GetFingerprint())
	case *wire.Command_RecordDeparture:
		sm.recordDeparture(index, body.RecordDeparture)
	}
	return Result{}
}

// admitMember keeps at least one member, since operators may remove members concurrently.
func (sm *StateMachine) admitMember(cmd *wire.AdmitMember) {
	last := len(sm.admitted) == 1 && sm.admitted[cmd.GetName()]
	if cmd.GetRemoved() && last {
		return
	}
	setFlag(sm.admitted, cmd.GetName(), !cmd.GetRemoved())
}

func setFlag(set map[string]bool, name string, on bool) {
	if on {
		set[name] = true
		return
	}
	delete(set, name)
}

func (sm *StateMachine) openSession(index uint64, cmd *wire.OpenSession) *wire.Session {
	for _, s := range sm.sessions {
		if s.GetNonce() == cmd.GetNonce() {
			return s
		}
	}
	s := &wire.Session{
		Id: index, Instance: cmd.GetInstance(), Zone: cmd.GetZone(),
		Nonce: cmd.GetNonce(), OpenedAtNs: sm.now, Address: cmd.GetAddress(),
	}
	sm.sessions[index] = s
	return s
}

func (sm *StateMachine) closeSession(cmd *wire.CloseSession) *wire.CloseSession {
	id := cmd.GetSession()
	s := sm.sessions[id]
	if s == nil {
		return nil
	}
	delete(sm.sessions, id)
	if !cmd.GetGraceful() {
		ended := proto.CloneOf(s)
		ended.EndedAtNs = sm.now
		sm.ended = append(sm.ended, ended)
	}
	for key := range sm.claimsBySession[id] {
		c := sm.claims[key]
		sm.claims[key] = &wire.Claim{
			Command: c.GetCommand(), State: c.GetState(), Orphaned: true,
			ClaimedAtNs: c.GetClaimedAtNs(), ExpiresAtNs: c.GetExpiresAtNs(),
		}
	}
	delete(sm.claimsBySession, id)
	return cmd
}

// expire removes what is no longer kept. Advance is by how much time went on since the last command.
func (sm *StateMachine) expire(advance int64) {
	sm.expireQuarantine()
	sm.expireClaims(advance)
	sm.expireDepartures()
	for len(sm.ended) > 0 && sm.ended[0].GetEndedAtNs()+int64(endedRetention) < sm.now {
		sm.ended = sm.ended[1:]
	}
	for len(sm.releasedOrder) > 0 && sm.releasedOrder[0].GetAtNs()+int64(endedRetention) < sm.now {
		delete(sm.released, sm.releasedOrder[0].GetRequestId())
		sm.releasedOrder = sm.releasedOrder[1:]
	}
	for len(sm.outcomesByAge) > 0 && sm.outcomesByAge[0].GetAtNs()+int64(outcomeRetention) < sm.now {
		delete(sm.outcomes, sm.outcomesByAge[0].GetChangeId())
		sm.outcomesByAge = sm.outcomesByAge[1:]
	}
}

// Applied returns the index of the last applied entry.
func (sm *StateMachine) Applied() uint64 { return sm.applied }

// Revision returns the index of the last change of a contract.
func (sm *StateMachine) Revision() uint64 { return sm.revision }

// ClaimCount returns the number of claims.
func (sm *StateMachine) ClaimCount() int { return len(sm.claims) }

// ClaimOf returns a claim, or nil.
func (sm *StateMachine) ClaimOf(key ClaimKey) *wire.Claim { return sm.claims[key] }

// Sessions returns the open sessions by id. The caller must not change the map.
func (sm *StateMachine) Sessions() map[uint64]*wire.Session { return sm.sessions }

// EndedSessions returns sessions that ended recently without returning what they held.
func (sm *StateMachine) EndedSessions() []*wire.Session { return sm.ended }

// Admitted reports whether an instance of this name may become a member.
func (sm *StateMachine) Admitted(name string) bool { return sm.admitted[name] }
