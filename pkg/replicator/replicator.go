// Package replicator implements one member of a replicated log: the Raft algorithm (Ongaro and
// Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014), with pre-vote,
// check-quorum, leadership transfer, learners and single-server membership changes from
// Ongaro's thesis (2014).
//
// The package is deterministic: messages and the time go in, and TakeReady returns what has to
// be synced, sent and applied, in this order. It starts no goroutine, takes no lock and reads
// no clock.
package replicator

import (
	"time"

	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

// Role is a member's role in its current term.
type Role int

// The roles of a member.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"Follower", "PreCandidate", "Candidate", "Leader"}[r]
}

const (
	defaultMaxEntries      = 512
	defaultMaxAppendBytes  = 1 << 20
	snapshotRetryTimeouts  = 10
	clockDriftDivisor      = 10
	maxTrackedRounds       = 256
	defaultHeartbeat       = 100 * time.Millisecond
	defaultElectionTimeout = 600 * time.Millisecond
)

// PersistedState is what a member reads back from its disk at its start.
type PersistedState struct {
	HardState *wire.HardState
	// Snapshot may be nil.
	Snapshot *wire.Snapshot
	// Entries follow the snapshot without a gap.
	Entries []*wire.Entry
}

// Ready is the work for the caller, to be done in the order of the fields.
type Ready struct {
	// HardState is not nil when it has to be synced.
	HardState *wire.HardState
	// Snapshot is not nil when a leader's snapshot replaces the log and the state.
	Snapshot *wire.Snapshot
	// Entries have to be appended and synced; the first one's index may be at or below the last
	// stored one, which truncates the stored log there.
	Entries []*wire.Entry
	// Messages may be sent only after the fields above were synced.
	Messages []*wire.Message
	// Committed entries are to be applied in order.
	Committed []*wire.Entry
}

// Empty reports whether there is nothing to carry out.
func (r *Ready) Empty() bool {
	return r.HardState == nil && r.Snapshot == nil && len(r.Entries) == 0 &&
		len(r.Messages) == 0 && len(r.Committed) == 0
}

// Replicator is one member of a replicated log. Set the exported fields, then
// call Start. It is not safe for concurrent use.
type Replicator struct {
	// ID names this member: the instance and the incarnation of its disk.
	ID string
	// Heartbeat is the interval between a leader's rounds of messages.
	Heartbeat time.Duration
	// ElectionTimeout is the minimum time without a leader before an election. A member waits
	// between one and two election timeouts.
	ElectionTimeout time.Duration
	// StartupVoteDelay is how long after its start a member grants no vote, since a leader may
	// still hold a lease that the member acknowledged before. 0 means ElectionTimeout. Where no
	// unsafe action depends on a leader's lease, a smaller value lets a group that restarted as
	// a whole elect sooner.
	StartupVoteDelay time.Duration
	// Random returns a number in [0, n).
	Random func(n int64) int64
	// MaxEntries bounds the entries of one message.
	MaxEntries int

	role   Role
	term   uint64
	vote   string
	leader string

	base     *wire.Snapshot
	log      []*wire.Entry
	configs  []configAt
	commit   uint64
	emitted  uint64
	synced   uint64
	unstable uint64

	// lastContact is when a leader's last message arrived; leaderSeen is set once one has
	// arrived, or this member has led, since the start.
	lastContact time.Time
	leaderSeen  bool
	electionAt  time.Time
	votes       map[string]bool

	progress         map[string]*progress
	round            uint64
	roundSentAt      map[uint64]time.Time
	nextHeartbeat    time.Time
	leaderSince      time.Time
	termStart        uint64
	transferTo       string
	transferDeadline time.Time
	timeoutNowSent   bool

	hardStateDirty  bool
	pendingSnapshot *wire.Snapshot
	outbox          []*wire.Message
}

// progress is what a leader knows of one other member.
type progress struct {
	match, next uint64
	// ackedAt is when the last acknowledged round was sent.
	ackedAt time.Time
	// snapshotAt is when a snapshot was sent that the member hasn't acknowledged yet.
	snapshotAt time.Time
}

type configAt struct {
	index  uint64
	config *wire.Configuration
}

// Start initializes the member from its disk. It starts as a follower and grants no vote for
// StartupVoteDelay, so that a restart can't shorten a leader's lease.
func (r *Replicator) Start(now time.Time, stored PersistedState) {
	r.setDefaults()
	r.base = stored.Snapshot
	if r.base == nil {
		r.base = &wire.Snapshot{Configuration: &wire.Configuration{}}
	}
	r.log = stored.Entries
	if stored.HardState != nil {
		r.term = stored.HardState.GetTerm()
		r.vote = stored.HardState.GetVote()
	}
	r.commit = r.base.GetIndex()
	r.emitted = r.commit
	r.synced = r.lastIndex()
	r.unstable = r.synced + 1
	r.rebuildConfigs()
	r.becomeFollower(now, r.term, "")
	// Votes are refused until StartupVoteDelay has passed; see leaderActive.
	r.lastContact = now.Add(r.StartupVoteDelay - r.ElectionTimeout)
}

func (r *Replicator) setDefaults() {
	if r.Heartbeat == 0 {
		r.Heartbeat = defaultHeartbeat
	}
	if r.ElectionTimeout == 0 {
		r.ElectionTimeout = defaultElectionTimeout
	}
	if r.StartupVoteDelay == 0 {
		r.StartupVoteDelay = r.ElectionTimeout
	}
	if r.MaxEntries == 0 {
		r.MaxEntries = defaultMaxEntries
	}
}

// TakeReady returns the work that has accumulated since the last call. The caller does it and
// then calls Synced.
func (r *Replicator) TakeReady() Ready {
	rd := Ready{Messages: r.outbox, Snapshot: r.pendingSnapshot}
	r.outbox, r.pendingSnapshot = nil, nil
	if r.hardStateDirty {
		rd.HardState = &wire.HardState{Term: r.term, Vote: r.vote}
		r.hardStateDirty = false
	}
	if last := r.lastIndex(); r.unstable <= last {
		rd.Entries = r.slice(r.unstable, last+1)
		r.unstable = last + 1
	}
	if r.commit > r.emitted {
		rd.Committed = r.slice(r.emitted+1, r.commit+1)
		r.emitted = r.commit
	}
	return rd
}

// Synced records that all entries returned by TakeReady up to index are on disk. Only then does
// a leader count itself for the quorum.
func (r *Replicator) Synced(index uint64) {
	r.synced = min(index, r.lastIndex())
	if r.role == Leader {
		r.advanceCommit()
	}
}

// FillMetadata fills in the term and the configuration of a snapshot of applied state. It
// returns false unless the index is above the present snapshot and was returned as committed.
func (r *Replicator) FillMetadata(s *wire.Snapshot) bool {
	if s.GetIndex() <= r.base.GetIndex() || s.GetIndex() > r.emitted {
		return false
	}
	s.Term = r.termOf(s.GetIndex())
	s.Configuration = proto.CloneOf(r.configBefore(s.GetIndex()))
	return true
}

// Compact replaces the log up to the snapshot's index by the snapshot, which must be
// of applied state.
func (r *Replicator) Compact(s *wire.Snapshot) error {
	if !r.FillMetadata(s) {
		return fail("Compact", KindIndex, "index %d is not between %d and %d", s.GetIndex(), r.base.GetIndex(), r.emitted)
	}
	rest := r.slice(s.GetIndex()+1, r.lastIndex()+1)
	r.log = append([]*wire.Entry(nil), rest...)
	r.base = s
	r.rebuildConfigs()
	return nil
}

// StoredEntries returns the entries after the snapshot that TakeReady has returned for syncing.
func (r *Replicator) StoredEntries() []*wire.Entry { return r.slice(r.base.GetIndex()+1, r.unstable) }

// Role returns the member's present role.
func (r *Replicator) Role() Role { return r.role }

// Term returns the current term.
func (r *Replicator) Term() uint64 { return r.term }

// LeaderID returns the leader of the current term, or "" when none is known.
func (r *Replicator) LeaderID() string { return r.leader }

// Commit returns the index of the last committed entry.
func (r *Replicator) Commit() uint64 { return r.commit }

// LastIndex returns the index of the last entry.
func (r *Replicator) LastIndex() uint64 { return r.lastIndex() }

// TermStart returns the index of the leader's own first entry.
func (r *Replicator) TermStart() uint64 { return r.termStart }

// FirstIndex returns the index after the snapshot.
func (r *Replicator) FirstIndex() uint64 { return r.base.GetIndex() + 1 }

// Configuration returns the latest configuration, committed or not.
func (r *Replicator) Configuration() *wire.Configuration {
	return r.configs[len(r.configs)-1].config
}

func (r *Replicator) lastIndex() uint64 { return r.base.GetIndex() + uint64(len(r.log)) }

// termOf returns the term of an entry, or 0 when the log doesn't hold it.
func (r *Replicator) termOf(index uint64) uint64 {
	first := r.base.GetIndex()
	switch {
	case index == first:
		return r.base.GetTerm()
	case index < first || index > r.lastIndex():
		return 0
	}
	return r.log[index-first-1].GetTerm()
}

func (r *Replicator) slice(from, to uint64) []*wire.Entry {
	first := r.base.GetIndex() + 1
	return r.log[from-first : to-first : to-first]
}

func (r *Replicator) send(m *wire.Message) {
	m.From = r.ID
	if m.GetTerm() == 0 {
		m.Term = r.term
	}
	r.outbox = append(r.outbox, m)
}
