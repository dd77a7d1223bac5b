// Package coordinator owns a controller's state: the state machine behind the log
// and, while the instance leads, the sessions, allotments and placements.
//
// One goroutine does all of it; calls from others come through a bounded ring.
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
	"bronzelead.example/pkg/caller"
	"bronzelead.example/pkg/limiter"
	"bronzelead.example/pkg/planner"
	"bronzelead.example/pkg/sessiontracker"
	"bronzelead.example/pkg/wire"
)

const (
	callRing             = 8192
	tickEvery            = 20 * time.Millisecond
	defaultSnapshotEvery = 20_000
)

// RaftDriver is what the coordinator uses of the replicated log.
type RaftDriver interface {
	Standing() *raftdriver.Status
	Start(cmd *wire.Command, done func(applier.Result, error))
	// Compact may take long, and may be called from any goroutine.
	Compact(index uint64, state []byte)
}

// Coordinator owns the state. Set the exported fields, then call Run.
type Coordinator struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	Raft  RaftDriver
	// Commits brings committed entries.
	Commits <-chan raftdriver.CommittedBatch
	// SendOrder takes orders to engines, and reports each one's end to Ordered. It must
	// not block.
	SendOrder func(order planner.Order, done func(planner.Outcome))

	// ObserveBatchFill and ObserveInForce take how full an engine's steps run, and how long a
	// change took until each live session had applied it. Nil observes nothing.
	ObserveBatchFill func(part float64)
	ObserveInForce   func(took time.Duration)

	Policy             planner.Policy
	Lease              time.Duration
	MaxRequestDuration time.Duration
	SnapshotInterval   uint64

	// CountQuarantine counts requests that are held back, and those that no longer are; nil counts
	// nothing.
	CountQuarantine func(change string)

	arbiter  arbiter.Arbiter
	calls    *caller.Caller
	admitted atomic.Pointer[raftdriver.Admission]
	state    *applier.StateMachine
	snapshot uint64
	// compacting is set while a snapshot is being made.
	compacting atomic.Bool

	term     uint64
	leaser   *sessiontracker.Tracker
	limiter  *limiter.Limiter
	planner  *planner.Planner
	services map[string]*service
	backends *backendList
	// pending are changes that are not in force everywhere yet.
	pending []pendingChange
	warm    time.Time
}

// pendingChange is a change of a contract on its way to the gateways.
type pendingChange struct {
	revision uint64
	at       time.Time
}

// service is a plain service that has announced itself.
type service struct {
	info *wire.Backend
	seen time.Time
}

// Init prepares the coordinator for calls before Run.
func (c *Coordinator) Init() {
	c.calls = caller.New(callRing)
	c.state = applier.New()
	c.initArbiter()
	if c.SnapshotInterval == 0 {
		c.SnapshotInterval = defaultSnapshotEvery
	}
}

// Run works until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	ticker := c.Clock.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-c.Commits:
			c.apply(item)
		case call := <-c.calls.Calls():
			c.follow()
			call(c.Clock.Now())
		case <-ticker.Chan():
			c.follow()
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
		c.applied(result)
		if a.Reply != nil {
			a.Reply(result)
		}
	}
	c.arbiter.SyncState(c.Clock.Now())
	c.admitted.Store(&raftdriver.Admission{Names: c.state.AdmittedMembers(), Applied: c.state.Applied()})
	if c.state.Applied() >= c.snapshot+c.SnapshotInterval {
		c.compact()
	}
}

// Admission returns which instances may be members, or nil before anything is
// known. It may be called from any goroutine.
func (c *Coordinator) Admission() *raftdriver.Admission { return c.admitted.Load() }

func (c *Coordinator) restore(s *wire.Snapshot) {
	state, err := applier.Restore(s.GetState())
	if err != nil {
		// The snapshot's checksum was right, so it was written by another version.
		c.Log.Error("a snapshot can't be decoded", "Error", err.Error())
		return
	}
	c.state = state
	c.snapshot = s.GetIndex()
}

func (c *Coordinator) compact() {
	c.snapshot = c.state.Applied()
	if !c.compacting.CompareAndSwap(false, true) {
		// The next chance comes after as many entries again.
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

// follow begins a term as leader, once all that was committed before has been
// applied, and ends it.
func (c *Coordinator) follow() {
	standing := c.Raft.Standing()
	leads := standing.Leads(c.Clock.Now())
	switch {
	case leads && c.term != standing.Term && c.state.Applied() >= standing.TermStart:
		c.begin(c.Clock.Now(), standing.Term)
	case !leads && c.term != 0 && c.term != standing.Term:
		c.term = 0
	}
}

// begin starts a term: the sessions are known from the log, what they hold is not.
func (c *Coordinator) begin(now time.Time, term uint64) {
	c.term = term
	c.leaser = &sessiontracker.Tracker{Lease: c.Lease, MaxRequestDuration: c.MaxRequestDuration}
	c.limiter = &limiter.Limiter{}
	c.planner = &planner.Planner{Policy: c.Policy}
	c.planner.Start(now, term)
	c.services = map[string]*service{}
	c.backends = newBackendList(term)
	c.pending = nil
	c.arbiter.Invalidate()
	c.warm = now.Add(c.Policy.BackendLease)
	for id, s := range c.state.Sessions() {
		c.leaser.Open(now, sessionOf(s), true)
		c.limiter.ExpectReport(sessiontracker.SessionID(id))
	}
	for _, s := range c.state.EndedSessions() {
		c.leaser.AdoptEnded(now, sessiontracker.SessionID(s.GetId()))
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

// leads reports whether the instance may answer and give orders now.
func (c *Coordinator) leads(now time.Time) bool {
	standing := c.Raft.Standing()
	return c.term != 0 && c.term == standing.Term && standing.Leads(now)
}

// applied lets a result take effect on the leader's side.
func (c *Coordinator) applied(result applier.Result) {
	if c.term == 0 {
		return
	}
	if s := result.Session; s != nil {
		c.leaser.Open(c.Clock.Now(), sessionOf(s), false)
	}
	if closed := result.Closed; closed != nil {
		id := sessiontracker.SessionID(closed.GetSession())
		c.leaser.RecordClosed(c.Clock.Now(), id, closed.GetGraceful())
		c.planner.RemoveDemand(id)
	}
	if a := result.Apply; a != nil && a.GetContract() != nil {
		contract := c.state.Contract(a.GetContract().GetCustomer())
		c.limiter.SetLimit(contract.GetCustomer(), contract.GetRequestsAtOnce())
		c.pending = append(c.pending, pendingChange{revision: a.GetRevision(), at: c.Clock.Now()})
	}
}

// observeChanges notes the changes that have come into force everywhere.
func (c *Coordinator) observeChanges(now time.Time) {
	for len(c.pending) > 0 && len(c.leaser.Lagging(c.pending[0].revision)) == 0 {
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
	for _, id := range c.leaser.Expired(now) {
		c.Log.Info("a session has expired", "Session", uint64(id), "Of", c.leaser.Get(id).Instance)
		c.closeSession(id)
	}
	for _, id := range c.leaser.Freed(now) {
		c.limiter.Forget(id)
		c.planner.RemoveSession(id)
	}
	c.arbiter.LeaderTick(now, c.term)
	c.observeChanges(now)
	c.forgetBackends(now)
	if now.Before(c.warm) {
		// Engines and leases are still being reported.
		return
	}
	c.planner.SetSynced(c.leaser.HoldingsKnown())
	for _, order := range c.planner.Plan(now) {
		c.carry(order)
	}
}

func (c *Coordinator) closeSession(id sessiontracker.SessionID) {
	cmd := &wire.Command{Body: &wire.Command_CloseSession{
		CloseSession: &wire.CloseSession{Session: uint64(id)},
	}}
	c.Raft.Start(cmd, func(applier.Result, error) {})
}

func (c *Coordinator) carry(order planner.Order) {
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
