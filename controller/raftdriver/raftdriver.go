// Package raftdriver runs a controller's member of the replicated log: one goroutine processes
// messages, proposals and time, syncs what the replicator returns, sends its messages, and
// forwards committed entries.
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
	queueSize     = 4096
	maxBatch      = 1024
	tickInterval  = 10 * time.Millisecond
	joinRetention = 5 * time.Second
)

// ErrNotLeader is returned for operations that only a leader may do.
var ErrNotLeader = errors.New("raftdriver: this instance does not lead")

// ErrOutcomeUnknown is returned when it is not known whether a proposal will be committed.
var ErrOutcomeUnknown = errors.New("raftdriver: leadership was lost before the outcome was known")

// ErrBusy is returned when a queue is full; nothing was proposed.
var ErrBusy = errors.New("raftdriver: too much waits to be written")

// CommittedEntry is a committed entry. Reply is not nil when a caller of this instance
// waits for its result.
type CommittedEntry struct {
	Entry *wire.Entry
	Reply func(applier.Result)
}

// CommittedBatch is what the driver forwards, in order.
type CommittedBatch struct {
	// Restore replaces the state, when not nil.
	Restore *wire.Snapshot
	Entries []CommittedEntry
}

// Status is the instance's present role and what it knows of the cluster.
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

// Leads reports whether the instance may answer reads and issue orders at now.
func (s *Status) Leads(now time.Time) bool { return now.Before(s.LeaseUntil) }

// Admission names the instances that may be members, as of an applied entry.
type Admission struct {
	Names   []string
	Applied uint64
}

// Driver runs the replicated log. Set the exported fields, call Init, then Run.
type Driver struct {
	Clock      clockwork.Clock
	Log        *slog.Logger
	Storer     *storer.Storer
	Replicator *replicator.Replicator
	// Send sends messages to other members; it must not block.
	Send func(config *wire.Configuration, messages []*wire.Message)
	// Commits receives committed entries.
	Commits chan<- CommittedBatch
	// Admission returns which instances may be members, or nil while unknown.
	Admission func() *Admission
	// OpenMembership lets every instance that requests it become a member, instead of those
	// that are admitted.
	OpenMembership bool
	// MaxVoters bounds the voters; 0 makes every member a voter.
	MaxVoters int
	// SilentAfter is the time without an answer after which a member may lose its vote to a
	// standby member; 0 means never.
	SilentAfter time.Duration

	messages  chan []*wire.Message
	proposals chan proposal
	requests  chan func(now time.Time)
	// stopped is closed when Run has returned.
	stopped          chan struct{}
	status           atomic.Pointer[Status]
	pendingProposals map[uint64]proposal
	backlog          []CommittedBatch
	joinRequests     map[string]joinRequest
	// fatalErr is set when the disk failed outside of processReady.
	fatalErr error
	// blockedReady could not be stored because the disk is full. Until it is stored, the member
	// processes and sends nothing, so that it acknowledges nothing that it doesn't persist.
	blockedReady *replicator.Ready
	diskRetryAt  time.Time
}

type joinRequest struct {
	member *wire.Member
	at     time.Time
}

// Init prepares the driver for calls before Run.
func (d *Driver) Init(stored *storer.Contents) {
	d.messages = make(chan []*wire.Message, queueSize)
	d.proposals = make(chan proposal, queueSize)
	d.requests = make(chan func(time.Time), queueSize)
	d.stopped = make(chan struct{})
	d.pendingProposals = map[uint64]proposal{}
	d.joinRequests = map[string]joinRequest{}
	d.Replicator.Start(d.Clock.Now(), replicator.PersistedState{
		HardState: stored.HardState, Snapshot: stored.Snapshot, Entries: stored.Entries,
	})
	if stored.Snapshot != nil {
		d.backlog = append(d.backlog, CommittedBatch{Restore: stored.Snapshot})
	}
	d.publish()
}

// Run runs until ctx is done. An error means that the disk failed; the process must exit, since
// the contents of the disk are unknown.
func (d *Driver) Run(ctx context.Context) error {
	defer close(d.stopped)
	ticker := d.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var out chan<- CommittedBatch
		var first CommittedBatch
		if len(d.backlog) > 0 {
			out, first = d.Commits, d.backlog[0]
		}
		select {
		case <-ctx.Done():
			d.failPending()
			return nil
		case out <- first:
			d.backlog = d.backlog[1:]
			continue
		case <-ticker.Chan():
			d.tick()
		case messages := <-d.messages:
			d.step(messages)
		case p := <-d.proposals:
			d.propose(p)
		case request := <-d.requests:
			request(d.Clock.Now())
		}
		if d.fatalErr != nil {
			return d.fatalErr
		}
		if d.blockedReady != nil && d.Clock.Now().Before(d.diskRetryAt) {
			continue
		}
		d.drainQueues()
		if err := d.processReady(); err != nil {
			return err
		}
		d.publish()
	}
}

func (d *Driver) tick() {
	if d.blockedReady != nil {
		return
	}
	d.Replicator.Tick(d.Clock.Now())
	d.proposeMembership()
}

// drainQueues processes what else is queued, so that one sync serves many.
func (d *Driver) drainQueues() {
	for range maxBatch {
		select {
		case messages := <-d.messages:
			d.step(messages)
		case p := <-d.proposals:
			d.propose(p)
		default:
			d.Replicator.Flush(d.Clock.Now())
			return
		}
	}
	d.Replicator.Flush(d.Clock.Now())
}

func (d *Driver) step(messages []*wire.Message) {
	if d.blockedReady != nil {
		return
	}
	for _, m := range messages {
		d.Replicator.Step(d.Clock.Now(), m)
	}
}

func (d *Driver) publish() {
	r := d.Replicator
	if d.blockedReady != nil {
		// A leader that waits for its disk must not lead by a lease that it can't renew.
		d.status.Store(&Status{Role: replicator.Follower, Term: r.Term(), Configuration: r.Configuration()})
		return
	}
	d.status.Store(&Status{
		Role: r.Role(), Term: r.Term(), TermStart: r.TermStart(), Leader: r.LeaderID(),
		LeaseUntil: r.LeaseUntil(d.Clock.Now()), Commit: r.Commit(), Last: r.LastIndex(),
		First: r.FirstIndex(), Configuration: r.Configuration(),
	})
}

// Status returns the instance's present status.
func (d *Driver) Status() *Status { return d.status.Load() }

// Leads reports whether this instance may answer reads and issue orders now.
func (d *Driver) Leads() bool { return d.Status().Leads(d.Clock.Now()) }

// Deliver queues messages from other members. They are dropped when the queue is full, as a
// network would.
func (d *Driver) Deliver(messages []*wire.Message) {
	select {
	case d.messages <- messages:
	default:
	}
}

// Transfer transfers leadership, before a planned stop.
func (d *Driver) Transfer() {
	d.enqueue(func(now time.Time) {
		if err := d.Replicator.Transfer(now); err != nil {
			d.Log.Info("leadership is not transferred", "Reason", err.Error())
		}
	})
}

// enqueue queues a function for the driver's goroutine. It blocks while the queue is full, and
// drops the function when the driver has stopped.
func (d *Driver) enqueue(f func(now time.Time)) {
	select {
	case d.requests <- f:
	case <-d.stopped:
	}
}
