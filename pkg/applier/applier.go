// Package recorder is the state machine behind the replicated log: contracts and
// their history, sessions of gateways, claims of requests that run at most once,
// admitted members and drained backend servers.
//
// It is pure: the same commands in the same order give the same state on each
// member. Time comes only from inside the commands and never goes back.
package applier

import (
	"time"

	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

const (
	historyPerCustomer = 50
	// A resent change finds its first outcome for this long.
	keepOutcomes = 7 * 24 * time.Hour
	// An ended session is remembered for longer than any request may run.
	keepEnded = 2 * MaxDeadline
)

// MaxDeadline bounds the deadline that a contract may give to a request.
const MaxDeadline = 10 * time.Minute

// ClaimKey names a claim.
type ClaimKey struct {
	Customer string
	Key      string
}

// Result is what a command led to. Which fields are set depends on the command.
type Result struct {
	Apply   *wire.ApplyResponse
	Session *wire.Session
	Claim   *wire.ClaimResponse
	Outcome *wire.Outcome
	// Closed is a session's end.
	Closed *wire.CloseSession
}

// StateMachine holds the state. Call Restore or New first.
type StateMachine struct {
	now      int64
	applied  uint64
	revision uint64
	latest   map[string]*wire.ChangeRecord
	history  map[string][]*wire.ChangeRecord
	outcomes map[string]*wire.ChangeOutcome
	aging    []*wire.ChangeOutcome
	sessions map[uint64]*wire.Session
	ended    []*wire.Session
	claims   map[ClaimKey]*wire.Claim
	owned    map[uint64]map[ClaimKey]bool
	expiry   expiryQueue
	admitted map[string]bool
	drained  map[string]bool
	// released are requests that gave up before their claim came into the log; the
	// order is that of their times.
	released      map[string]bool
	releasedOrder []*wire.ReleasedRequest
	table         *wire.PutTable
	// adapters are the versions that adapters must have, by MODEL/NAME.
	adapters map[string]*wire.AdapterVersion
	// held are the requests that are refused, by fingerprint.
	held         map[string]*wire.HeldRequest
	heldRevision uint64
	// heldDue is when the time of the next of them comes, as of dueRevision; 0 is never.
	heldDue     int64
	dueRevision uint64
	heldDropped int
}

// New returns an empty state.
func New() *StateMachine {
	return &StateMachine{
		latest:   map[string]*wire.ChangeRecord{},
		history:  map[string][]*wire.ChangeRecord{},
		outcomes: map[string]*wire.ChangeOutcome{},
		sessions: map[uint64]*wire.Session{},
		claims:   map[ClaimKey]*wire.Claim{},
		owned:    map[uint64]map[ClaimKey]bool{},
		admitted: map[string]bool{},
		drained:  map[string]bool{},
		released: map[string]bool{},
		adapters: map[string]*wire.AdapterVersion{},
		held:     map[string]*wire.HeldRequest{},
	}
}

// Apply carries out a committed entry. An entry that can't be decoded changes
// nothing, equally on each member.
func (r *StateMachine) Apply(e *wire.Entry) Result {
	r.applied = e.GetIndex()
	if e.GetKind() != wire.EntryKind_ENTRY_KIND_COMMAND || len(e.GetData()) == 0 {
		return Result{}
	}
	cmd := &wire.Command{}
	if err := proto.Unmarshal(e.GetData(), cmd); err != nil {
		return Result{}
	}
	r.now = max(r.now, cmd.GetAtNs())
	r.expire()
	return r.carryOut(e.GetIndex(), cmd)
}

func (r *StateMachine) carryOut(index uint64, cmd *wire.Command) Result {
	switch body := cmd.GetBody().(type) {
	case *wire.Command_ApplyContract:
		return Result{Apply: r.applyContract(body.ApplyContract)}
	case *wire.Command_OpenSession:
		return Result{Session: r.openSession(index, body.OpenSession)}
	case *wire.Command_CloseSession:
		return Result{Closed: r.closeSession(body.CloseSession)}
	case *wire.Command_Claim:
		return Result{Claim: r.claim(body.Claim)}
	case *wire.Command_Finish:
		return Result{Outcome: r.finish(body.Finish)}
	case *wire.Command_Release:
		r.release(body.Release)
	case *wire.Command_AdmitMember:
		r.admitMember(body.AdmitMember)
	case *wire.Command_DrainBackend:
		setFlag(r.drained, body.DrainBackend.GetBackend(), !body.DrainBackend.GetUndo())
	case *wire.Command_PutTable:
		r.putTable(body.PutTable)
	case *wire.Command_PutAdapterVersion:
		r.putAdapterVersion(body.PutAdapterVersion)
		r.tryHeldAgain(body.PutAdapterVersion)
	case *wire.Command_HoldRequest:
		r.hold(body.HoldRequest)
	case *wire.Command_ReleaseHeld:
		r.releaseHeld(body.ReleaseHeld.GetFingerprint())
	}
	return Result{}
}

// admitMember keeps at least one member: operators may race each other.
func (r *StateMachine) admitMember(cmd *wire.AdmitMember) {
	last := len(r.admitted) == 1 && r.admitted[cmd.GetName()]
	if cmd.GetRemoved() && last {
		return
	}
	setFlag(r.admitted, cmd.GetName(), !cmd.GetRemoved())
}

func setFlag(set map[string]bool, name string, on bool) {
	if on {
		set[name] = true
		return
	}
	delete(set, name)
}

func (r *StateMachine) openSession(index uint64, cmd *wire.OpenSession) *wire.Session {
	for _, s := range r.sessions {
		if s.GetNonce() == cmd.GetNonce() {
			return s
		}
	}
	s := &wire.Session{
		Id: index, Instance: cmd.GetInstance(), Zone: cmd.GetZone(),
		Nonce: cmd.GetNonce(), OpenedAtNs: r.now, Address: cmd.GetAddress(),
	}
	r.sessions[index] = s
	return s
}

func (r *StateMachine) closeSession(cmd *wire.CloseSession) *wire.CloseSession {
	id := cmd.GetSession()
	s := r.sessions[id]
	if s == nil {
		return nil
	}
	delete(r.sessions, id)
	if !cmd.GetGraceful() {
		ended := proto.CloneOf(s)
		ended.EndedAtNs = r.now
		r.ended = append(r.ended, ended)
	}
	for key := range r.owned[id] {
		c := r.claims[key]
		r.claims[key] = &wire.Claim{
			Command: c.GetCommand(), State: c.GetState(), Orphaned: true,
			ClaimedAtNs: c.GetClaimedAtNs(), ExpiresAtNs: c.GetExpiresAtNs(),
		}
	}
	delete(r.owned, id)
	return cmd
}

func (r *StateMachine) expire() {
	r.expireHeld()
	for {
		key, at, ok := r.expiry.first()
		if !ok || at > r.now {
			break
		}
		r.expiry.pop()
		if c := r.claims[key]; c != nil && c.GetExpiresAtNs() <= r.now {
			r.dropClaim(key)
		}
	}
	for len(r.ended) > 0 && r.ended[0].GetEndedAtNs()+int64(keepEnded) < r.now {
		r.ended = r.ended[1:]
	}
	for len(r.releasedOrder) > 0 && r.releasedOrder[0].GetAtNs()+int64(keepEnded) < r.now {
		delete(r.released, r.releasedOrder[0].GetRequestId())
		r.releasedOrder = r.releasedOrder[1:]
	}
	for len(r.aging) > 0 && r.aging[0].GetAtNs()+int64(keepOutcomes) < r.now {
		delete(r.outcomes, r.aging[0].GetChangeId())
		r.aging = r.aging[1:]
	}
}

// Applied returns the index of the last applied entry.
func (r *StateMachine) Applied() uint64 { return r.applied }

// Revision returns the index of the last change of a contract.
func (r *StateMachine) Revision() uint64 { return r.revision }

// ClaimCount returns the number of claims that are kept.
func (r *StateMachine) ClaimCount() int { return len(r.claims) }

// ClaimOf returns a claim, or nil.
func (r *StateMachine) ClaimOf(key ClaimKey) *wire.Claim { return r.claims[key] }

// Sessions returns the open sessions by id. The caller must not change the map.
func (r *StateMachine) Sessions() map[uint64]*wire.Session { return r.sessions }

// EndedSessions returns sessions that ended lately without handing back what they held.
func (r *StateMachine) EndedSessions() []*wire.Session { return r.ended }

// Admitted reports whether an instance of this name may become a member.
func (r *StateMachine) Admitted(name string) bool { return r.admitted[name] }
