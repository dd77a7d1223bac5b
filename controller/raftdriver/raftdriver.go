// Package keeper runs a controller's part of the replicated log: one goroutine
// takes messages, proposals and time, syncs what the replicator asks for, sends
// its messages, and passes committed entries on.
package raftdriver

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"bronzelead.example/pkg/applier"
	"bronzelead.example/pkg/replicator"
	"bronzelead.example/pkg/storer"
	"bronzelead.example/pkg/wire"
)

const (
	ringSize     = 4096
	maxBatch     = 1024
	tickEvery    = 10 * time.Millisecond
	joinRemember = 5 * time.Second
)

// ErrNotLeader is returned for what only a leader may do.
var ErrNotLeader = errors.New("keeper: this instance does not lead")

// ErrOutcomeUnknown is returned when it is not known whether a proposal will be committed.
var ErrOutcomeUnknown = errors.New("keeper: leadership was lost before the outcome was known")

// ErrBusy is returned when a ring is full; nothing was proposed.
var ErrBusy = errors.New("keeper: too much waits to be written")

// CommittedEntry is a committed entry. Reply is not nil when a caller of this instance
// waits for its result.
type CommittedEntry struct {
	Entry *wire.Entry
	Reply func(applier.Result)
}

// CommittedBatch is what the keeper passes on, in order.
type CommittedBatch struct {
	// Restore replaces the state, when not nil.
	Restore *wire.Snapshot
	Entries []CommittedEntry
}

// Status is what the instance is at the moment.
type Status struct {
	Role          replicator.Role
	Term          uint64
	TermStart     uint64
	Leader        string
	LeaseUntil    time.Time
	Commit        uint64
	Last          uint64
	First         uint64
	Configuration *wire.Configuration
}

// Leads reports whether the instance may answer and give orders at now.
func (s *Status) Leads(now time.Time) bool { return now.Before(s.LeaseUntil) }

// Admission is which instances may be members, as of an applied entry.
type Admission struct {
	Names   []string
	Applied uint64
}

// Driver runs the replicated log. Set the exported fields, then call Run.
type Driver struct {
	Clock      clockwork.Clock
	Log        *slog.Logger
	Storer     *storer.Storer
	Replicator *replicator.Replicator
	// Send takes messages for other members; it must not block.
	Send func(config *wire.Configuration, messages []*wire.Message)
	// Commits takes committed entries.
	Commits chan<- CommittedBatch
	// Admission returns which instances may be members, or nil.
	Admission func() *Admission
	// OpenMembership lets every instance that asks become a member, instead of those that
	// are admitted.
	OpenMembership bool
	// MaxVoters bounds the voters; 0 makes every member a voter.
	MaxVoters int
	// SilentAfter is the time without an answer after which a member may lose its vote to
	// another that stands by; 0 means never.
	SilentAfter time.Duration

	messages  chan []*wire.Message
	proposals chan proposal
	requests  chan func(now time.Time)
	// ended is closed when Run has returned.
	ended    chan struct{}
	standing atomic.Pointer[Status]
	waiting  map[uint64]proposal
	backlog  []CommittedBatch
	joined   map[string]joinedMember
	// fatal is set when the disk failed outside of carryOut.
	fatal error
	// held is what could not be stored because the disk is full. Until it is, the member
	// takes and sends nothing, so that it promises nothing that it does not keep.
	held      *replicator.Ready
	heldAgain time.Time
}

type joinedMember struct {
	member *wire.Member
	at     time.Time
}

// Init prepares the keeper for calls before Run.
func (k *Driver) Init(stored *storer.Contents) {
	k.messages = make(chan []*wire.Message, ringSize)
	k.proposals = make(chan proposal, ringSize)
	k.requests = make(chan func(time.Time), ringSize)
	k.ended = make(chan struct{})
	k.waiting = map[uint64]proposal{}
	k.joined = map[string]joinedMember{}
	k.Replicator.Start(k.Clock.Now(), replicator.PersistedState{
		HardState: stored.HardState, Snapshot: stored.Snapshot, Entries: stored.Entries,
	})
	if stored.Snapshot != nil {
		k.backlog = append(k.backlog, CommittedBatch{Restore: stored.Snapshot})
	}
	k.publish()
}

// Run works until ctx ends. An error means that the disk failed; the process must
// end, since what it holds is unknown.
func (k *Driver) Run(ctx context.Context) error {
	defer close(k.ended)
	ticker := k.Clock.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		var out chan<- CommittedBatch
		var first CommittedBatch
		if len(k.backlog) > 0 {
			out, first = k.Commits, k.backlog[0]
		}
		select {
		case <-ctx.Done():
			k.failWaiting()
			return nil
		case out <- first:
			k.backlog = k.backlog[1:]
			continue
		case <-ticker.Chan():
			k.tick()
		case messages := <-k.messages:
			k.step(messages)
		case p := <-k.proposals:
			k.propose(p)
		case request := <-k.requests:
			request(k.Clock.Now())
		}
		if k.fatal != nil {
			return k.fatal
		}
		if k.held != nil && k.Clock.Now().Before(k.heldAgain) {
			continue
		}
		k.drain()
		if err := k.carryOut(); err != nil {
			return err
		}
		k.publish()
	}
}

func (k *Driver) tick() {
	if k.held != nil {
		return
	}
	k.Replicator.Tick(k.Clock.Now())
	k.recruit()
}

// drain takes in what else waits, so that one sync serves many.
func (k *Driver) drain() {
	for range maxBatch {
		select {
		case messages := <-k.messages:
			k.step(messages)
		case p := <-k.proposals:
			k.propose(p)
		default:
			k.Replicator.Flush(k.Clock.Now())
			return
		}
	}
	k.Replicator.Flush(k.Clock.Now())
}

func (k *Driver) step(messages []*wire.Message) {
	if k.held != nil {
		return
	}
	for _, m := range messages {
		k.Replicator.Step(k.Clock.Now(), m)
	}
}

func (k *Driver) publish() {
	r := k.Replicator
	if k.held != nil {
		// A leader that waits must not lead by a lease that it can't renew.
		k.standing.Store(&Status{Role: replicator.Follower, Term: r.Term(), Configuration: r.Configuration()})
		return
	}
	k.standing.Store(&Status{
		Role: r.Role(), Term: r.Term(), TermStart: r.TermStart(), Leader: r.LeaderID(),
		LeaseUntil: r.LeaseUntil(k.Clock.Now()), Commit: r.Commit(), Last: r.LastIndex(),
		First: r.FirstIndex(), Configuration: r.Configuration(),
	})
}

// Standing returns what the instance is at the moment.
func (k *Driver) Standing() *Status { return k.standing.Load() }

// Leads reports whether this instance may answer and give orders now.
func (k *Driver) Leads() bool { return k.Standing().Leads(k.Clock.Now()) }

// Deliver takes messages from other members. They are dropped when too many wait,
// as a network would.
func (k *Driver) Deliver(messages []*wire.Message) {
	select {
	case k.messages <- messages:
	default:
	}
}

// Transfer hands leadership over, before a planned stop.
func (k *Driver) Transfer() {
	k.request(func(now time.Time) {
		if err := k.Replicator.Transfer(now); err != nil {
			k.Log.Info("leadership is not handed over", "Reason", err.Error())
		}
	})
}

// request hands a request over. It waits while the ring is full, and gives up when
// the keeper has ended.
func (k *Driver) request(f func(now time.Time)) {
	select {
	case k.requests <- f:
	case <-k.ended:
	}
}
