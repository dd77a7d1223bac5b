// Package replicator decides how a log is kept on several members: the Raft
// algorithm as published (Ongaro and Ousterhout, "In Search of an Understandable
// Consensus Algorithm", 2014), with pre-vote, check-quorum, leadership transfer,
// learners and single-server membership changes from Ongaro's thesis (2014).
//
// The package is pure: messages and the time go in, and Take hands out what has
// to be synced, sent and applied, in this order. It starts no goroutine, takes no
// lock and reads no clock.
package replicator

import (
	"time"

	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

// Role is what a member is in its current term.
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
	driftDivisor           = 10
	maxRememberedRounds    = 256
	defaultHeartbeat       = 100 * time.Millisecond
	defaultElectionTimeout = 600 * time.Millisecond
)

// PersistedState is what a member's disk held when it started.
type PersistedState struct {
	HardState *wire.HardState
	// Snapshot may be nil.
	Snapshot *wire.Snapshot
	// Entries follow the snapshot without a gap.
	Entries []*wire.Entry
}

// Ready is what the caller has to carry out, in the order of the fields.
type Ready struct {
	// HardState is not nil when it has to be synced.
	HardState *wire.HardState
	// Snapshot is not nil when a leader's snapshot replaces the log and the state.
	Snapshot *wire.Snapshot
	// Entries have to be appended and synced; the first one's index may be at or
	// below the last stored one, which cuts the stored log there.
	Entries []*wire.Entry
	// Messages may leave only after the fields above were synced.
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
	// Heartbeat is the time between two rounds of a leader's messages.
	Heartbeat time.Duration
	// ElectionTimeout is the least time without a leader before an election. A
	// member waits between one and two of them.
	ElectionTimeout time.Duration
	// StartupVoteDelay is how long after its start a member gives no vote, since a leader may
	// still hold a lease on what it said before. 0 is ElectionTimeout. Where nothing
	// dangerous rests on a leader's lease, less of it lets a group that has restarted as a
	// whole elect sooner.
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

	// lastContact is when a leader was heard last; leaderMet is set once one was heard, or
	// a term led, since the start.
	lastContact time.Time
	leaderMet   bool
	electionAt  time.Time
	votes       map[string]bool

	progress    map[string]*progress
	round       uint64
	roundSentAt map[uint64]time.Time
	nextBeat    time.Time
	leaderSince time.Time
	termStart   uint64
	transferTo  string
	transferEnd time.Time
	handedOver  bool

	hardDirty bool
	install   *wire.Snapshot
	outbox    []*wire.Message
}

// progress is what a leader knows of one other member.
type progress struct {
	match, next uint64
	// ackedAt is when the last acknowledged round was sent.
	ackedAt time.Time
	// snapshotAt is when a snapshot was last sent and is still unanswered.
	snapshotAt time.Time
}

type configAt struct {
	index  uint64
	config *wire.Configuration
}

// Start sets the member up from its disk. It begins as a follower that has just
// heard from a leader, so that a restart can't shorten a leader's lease.
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
	// Votes are refused as if a leader had been heard StartQuiet before their time.
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

// TakeReady returns what has accumulated since the last call. The caller carries it
// out and then calls Synced.
func (r *Replicator) TakeReady() Ready {
	rd := Ready{Messages: r.outbox, Snapshot: r.install}
	r.outbox, r.install = nil, nil
	if r.hardDirty {
		rd.HardState = &wire.HardState{Term: r.term, Vote: r.vote}
		r.hardDirty = false
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

// Synced tells that all entries handed out by Take up to index are on disk.
// Only then does a leader count itself for the quorum.
func (r *Replicator) Synced(index uint64) {
	r.synced = min(index, r.lastIndex())
	if r.role == Leader {
		r.advanceCommit()
	}
}

// FillMetadata fills in the term and the configuration of a snapshot of applied state. It
// reports false when the log has no place for it any more.
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

// StoredEntries returns the entries behind the snapshot that were handed out to be synced.
func (r *Replicator) StoredEntries() []*wire.Entry { return r.slice(r.base.GetIndex()+1, r.unstable) }

// Role returns what the member is now.
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

// termOf returns the term of an entry, or 0 when it isn't held.
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
