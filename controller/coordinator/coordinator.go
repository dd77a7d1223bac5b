// Package coordinator owns a controller's state: the state machine of the replicated log and,
// while the instance leads, the sessions, allotments and placements.
//
// One goroutine does all of it; calls from others come through a bounded queue.
package coordinator

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"bronzelead.example/controller/arbiter"
	"bronzelead.example/controller/raftdriver"
	"bronzelead.example/pkg/applier"
	"bronzelead.example/pkg/limiter"
	"bronzelead.example/pkg/planner"
	"bronzelead.example/pkg/sequencer"
	"bronzelead.example/pkg/sessiontracker"
	"bronzelead.example/pkg/wire"
)

const (
	callQueueSize          = 8192
	tickInterval           = 20 * time.Millisecond
	defaultSnapshotEntries = 20_000
)

// RaftDriver is the part of the replicated log that the coordinator uses.
type RaftDriver interface {
	Status() *raftdriver.Status
	ProposeAsync(cmd *wire.Command, done func(applier.Result, error))
	// Compact may take long, and may be called from any goroutine.
	Compact(index uint64, state []byte)
}

// Coordinator owns the state. Set the exported fields, call Init, then Run.
type Coordinator struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	Raft  RaftDriver
	// Commits delivers committed entries.
	Commits <-chan raftdriver.CommittedBatch
	// SendOrder sends an order to an engine, and reports its outcome to done. It must not
	// block.
	SendOrder func(order planner.Order, done func(planner.Outcome))

	// ObserveBatchFill and ObserveInForce receive an engine's running requests as a part of its
	// batch, and how long a change took until each live session had applied it. Nil observes
	// nothing.
	ObserveBatchFill func(part float64)
	ObserveInForce   func(took time.Duration)

	Policy             planner.Policy
	Lease              time.Duration
	MaxRequestDuration time.Duration
	// SnapshotEntries is the number of entries after which a snapshot replaces the log.
	SnapshotEntries uint64

	// CountQuarantine counts requests that are quarantined, and those that no longer are; nil
	// counts nothing.
	CountQuarantine func(change string)

	arbiter       arbiter.Arbiter
	calls         *sequencer.Sequencer
	admitted      atomic.Pointer[raftdriver.Admission]
	state         *applier.StateMachine
	snapshotIndex uint64
	// compacting is set while a snapshot is being made.
	compacting atomic.Bool

	term     uint64
	sessions *sessiontracker.Tracker
	limiter  *limiter.Limiter
	planner  *planner.Planner
	services map[string]*service
	backends *backendList
	// pending are changes that are not in force everywhere yet.
	pending     []pendingChange
	warmUpUntil time.Time
}

// pendingChange is a change of a contract that gateways have yet to apply.
type pendingChange struct {
	revision uint64
	at       time.Time
}

// service is a plain service that has announced itself.
type service struct {
	info     *wire.Backend
	lastSeen time.Time
}

// Init prepares the coordinator for calls before Run.
func (c *Coordinator) Init() {
	c.calls = sequencer.New(callQueueSize)
	c.state = applier.New()
	c.initArbiter()
	if c.SnapshotEntries == 0 {
		c.SnapshotEntries = defaultSnapshotEntries
	}
}

// Run runs until ctx is done.
func (c *Coordinator) Run(ctx context.Context) {
	ticker := c.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-c.Commits:
			c.apply(item)
		case call := <-c.calls.Calls():
			c.followLeadership()
			call(c.Clock.Now())
		case <-ticker.Chan():
			c.followLeadership()
			c.tick(c.Clock.Now())
		}
	}
}

// Call runs f in the coordinator's goroutine and waits for it.
func (c *Coordinator) Call(ctx context.Context, f func(now time.Time)) error {
	return errors.Wrap(c.calls.Call(ctx, f), "coordinator")
}

func (c *Coordinator) apply(item raftdriver.CommittedBatch) {
	if item.Restore != nil {
		c.restore(item.Restore)
	}
	for _, a := range item.Entries {
		result := c.state.Apply(a.Entry)
		c.handleResult(result)
		if a.Reply != nil {
			a.Reply(result)
		}
	}
	c.arbiter.SyncState(c.Clock.Now())
	c.admitted.Store(&raftdriver.Admission{Names: c.state.AdmittedMembers(), Applied: c.state.Applied()})
	if c.state.Applied() >= c.snapshotIndex+c.SnapshotEntries {
		c.compact()
	}
}

// Admission returns which instances may be members, or nil before any state was applied. It may
// be called from any goroutine.
func (c *Coordinator) Admission() *raftdriver.Admission { return c.admitted.Load() }

func (c *Coordinator) restore(s *wire.Snapshot) {
	state, err := applier.Restore(s.GetState())
	if err != nil {
		// The snapshot's checksum was valid, so it was written by another version.
		c.Log.Error("a snapshot can't be decoded", "Error", err.Error())
		return
	}
	c.state = state
	c.snapshotIndex = s.GetIndex()
}

func (c *Coordinator) compact() {
	c.snapshotIndex = c.state.Applied()
	if !c.compacting.CompareAndSwap(false, true) {
		// The next attempt follows after SnapshotEntries more entries.
		return
	}
	frozen := c.state.Freeze()
	go func() {
		defer c.compacting.Store(false)
		data, err := applier.Encode(frozen)
		if err != nil {
			c.Log.Error("the state can't be encoded", "Error", err.Error())
			return
		}
		c.Raft.Compact(frozen.GetApplied(), data)
	}()
}

// followLeadership begins a term as leader, once all that was committed before has been
// applied, and ends it.
func (c *Coordinator) followLeadership() {
	status := c.Raft.Status()
	leads := status.Leads(c.Clock.Now())
	switch {
	case leads && c.term != status.Term && c.state.Applied() >= status.TermStart:
		c.beginTerm(c.Clock.Now(), status.Term)
	case !leads && c.term != 0 && c.term != status.Term:
		c.term = 0
	}
}

// beginTerm starts a term: the sessions are known from the log, their holdings are not.
func (c *Coordinator) beginTerm(now time.Time, term uint64) {
	c.term = term
	c.sessions = &sessiontracker.Tracker{Lease: c.Lease, MaxRequestDuration: c.MaxRequestDuration}
	c.limiter = &limiter.Limiter{}
	c.planner = &planner.Planner{Policy: c.Policy}
	c.planner.Start(now, term)
	c.services = map[string]*service{}
	c.backends = newBackendList(term)
	c.pending = nil
	c.arbiter.Invalidate()
	c.warmUpUntil = now.Add(c.Policy.BackendLease)
	for id, s := range c.state.Sessions() {
		c.sessions.Open(now, sessionOf(s), true)
		c.limiter.ExpectReport(sessiontracker.SessionID(id))
	}
	for _, s := range c.state.EndedSessions() {
		c.sessions.AdoptEnded(now, sessiontracker.SessionID(s.GetId()))
		c.limiter.ExpectReport(sessiontracker.SessionID(s.GetId()))
	}
	for _, contract := range c.state.Contracts() {
		c.limiter.SetLimit(contract.GetCustomer(), contract.GetRequestsAtOnce())
	}
	c.Log.Info("this instance leads", "Term", term, "Sessions", len(c.state.Sessions()))
}

func sessionOf(s *wire.Session) sessiontracker.Session {
	return sessiontracker.Session{
		ID: sessiontracker.SessionID(s.GetId()), Instance: s.GetInstance(), Zone: s.GetZone(), Address: s.GetAddress(),
	}
}

// leads reports whether the instance may answer reads and issue orders now.
func (c *Coordinator) leads(now time.Time) bool {
	status := c.Raft.Status()
	return c.term != 0 && c.term == status.Term && status.Leads(now)
}

// handleResult updates the leader's own state by the result of a command.
func (c *Coordinator) handleResult(result applier.Result) {
	if c.term == 0 {
		return
	}
	if s := result.Session; s != nil {
		c.sessions.Open(c.Clock.Now(), sessionOf(s), false)
	}
	if closed := result.Closed; closed != nil {
		id := sessiontracker.SessionID(closed.GetSession())
		c.sessions.RecordClosed(c.Clock.Now(), id, closed.GetGraceful())
		c.planner.RemoveDemand(id)
	}
	if a := result.Apply; a != nil && a.GetContract() != nil {
		contract := c.state.Contract(a.GetContract().GetCustomer())
		c.limiter.SetLimit(contract.GetCustomer(), contract.GetRequestsAtOnce())
		c.pending = append(c.pending, pendingChange{revision: a.GetRevision(), at: c.Clock.Now()})
	}
}

// observeAppliedChanges reports the changes that have come into force everywhere.
func (c *Coordinator) observeAppliedChanges(now time.Time) {
	for len(c.pending) > 0 && len(c.sessions.Lagging(c.pending[0].revision)) == 0 {
		if c.ObserveInForce != nil {
			c.ObserveInForce(now.Sub(c.pending[0].at))
		}
		c.pending = c.pending[1:]
	}
}

func (c *Coordinator) tick(now time.Time) {
	c.arbiter.Tick(now)
	if !c.leads(now) {
		return
	}
	for _, id := range c.sessions.Expired(now) {
		c.Log.Info("a session has expired", "Session", uint64(id), "Of", c.sessions.Get(id).Instance)
		c.closeSession(id)
	}
	for _, id := range c.sessions.Freed(now) {
		c.limiter.Forget(id)
		c.planner.RemoveSession(id)
	}
	c.arbiter.LeaderTick(now, c.term)
	c.observeAppliedChanges(now)
	c.expireBackends(now)
	if now.Before(c.warmUpUntil) {
		// Engines and leases are still being reported.
		return
	}
	c.planner.SetSynced(c.sessions.HoldingsKnown())
	for _, order := range c.planner.Plan(now) {
		c.sendOrder(order)
	}
}

func (c *Coordinator) closeSession(id sessiontracker.SessionID) {
	cmd := &wire.Command{Body: &wire.Command_CloseSession{
		CloseSession: &wire.CloseSession{Session: uint64(id)},
	}}
	c.Raft.ProposeAsync(cmd, func(applier.Result, error) {})
}

func (c *Coordinator) sendOrder(order planner.Order) {
	term := c.term
	c.Log.Info("order", "Kind", int(order.Kind), "Backend", order.Backend, "Adapter", order.Adapter, "Order", uint64(order.ID))
	c.SendOrder(order, func(outcome planner.Outcome) {
		c.calls.Post(func(now time.Time) {
			if c.term == term {
				c.planner.RecordOutcome(now, order.ID, outcome)
			}
		})
	})
}
