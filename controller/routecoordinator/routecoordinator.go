// Package routecoordinator owns a controller's state where requests are routed by a table: the
// table and the versions of adapters, which are replicated; the backend servers, which announce
// themselves; and, while the instance leads, the placement of adapters.
//
// All state belongs to one goroutine; calls from others come through a bounded queue.
package routecoordinator

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"bronzelead.example/controller/arbiter"
	"bronzelead.example/controller/raftdriver"
	"bronzelead.example/pkg/applier"
	"bronzelead.example/pkg/disseminator"
	"bronzelead.example/pkg/paceestimator"
	"bronzelead.example/pkg/placer"
	"bronzelead.example/pkg/quotaallocator"
	"bronzelead.example/pkg/sequencer"
	"bronzelead.example/pkg/tabletransmitter"
	"bronzelead.example/pkg/throttler"
	"bronzelead.example/pkg/tracker"
	"bronzelead.example/pkg/wire"
)

const (
	callQueueSize = 8192
	// tickInterval bounds how soon gateways receive updates, and how many small responses a
	// series of changes causes.
	tickInterval = 20 * time.Millisecond
	// gatewayLease is how long a gateway's loads count after its last call: a few calls.
	gatewayLease = 1500 * time.Millisecond
	// answersPerSecond bounds the responses to all gateways together that contain only
	// holdings. With few gateways each is answered immediately; with many, traffic between
	// zones and the leader's time matter more, except for gateways whose requests wait.
	answersPerSecond = 400
	// minPlanInterval is the minimum time between two plans: a plan covers all engines and all
	// demand.
	minPlanInterval = 5 * time.Millisecond
	// summaryInterval is the time between two log lines on the placement as a whole.
	summaryInterval = time.Second
	// pruneInterval is the time between two removals of expired knowledge, while another
	// instance leads.
	pruneInterval = time.Second
	// forgetAfter is how long departed backend servers are remembered, so that delayed
	// announcements don't bring them back.
	forgetAfter = 60 * time.Second
	// stallThreshold is how late a tick may be before announcements count as missed.
	stallThreshold = time.Second
)

// Raft is what the coordinator uses of the replicated log.
type Raft interface {
	Status() *raftdriver.Status
	Leads() bool
	Propose(ctx context.Context, cmd *wire.Command) (applier.Result, error)
	Compact(index uint64, state []byte)
}

// Coordinator owns the state. Set the exported fields, call Init, then Run.
type Coordinator struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	Raft  Raft
	// Commits delivers committed entries.
	Commits <-chan raftdriver.CommittedBatch
	// SendOrder sends orders to engines and reports the outcome of each. It must not block.
	SendOrder func(order placer.Order, term uint64, done func(placer.Reply))
	// Relay forwards announcements to the other controllers. It must not block.
	Relay func(announcements []*wire.Announcement)
	// Controllers returns the addresses of all controllers.
	Controllers func() []string
	// CountHeld counts requests that are quarantined, and those that are released; nil counts
	// nothing.
	CountHeld func(change string)
	// CountSpares counts spare replicas that were Granted or Denied; nil counts nothing.
	CountSpares func(decision string)

	// Limits is the rule that enforces the limits of customers.
	Limits quotaallocator.Rule
	Policy placer.Policy
	// SilentAfter is the time without an announcement after which a backend server counts as
	// silent.
	SilentAfter time.Duration
	// HandoverDelay is how long a new leader gives no orders, so that those of its predecessor
	// have ended.
	HandoverDelay time.Duration
	// SnapshotEntries is the number of entries, and SnapshotBytes their size, after which a
	// snapshot replaces the log.
	SnapshotEntries uint64
	SnapshotBytes   int

	calls *sequencer.Sequencer
	// stopped is closed when Run has returned.
	stopped    chan struct{}
	epoch      uint64
	state      *applier.StateMachine
	snapshot   uint64
	logBytes   int
	compacting atomic.Bool

	// leaderKnown is set once this incarnation has known a leader. Before that, the table of
	// the last snapshot may be outdated.
	leaderKnown bool
	tracker     *tracker.Tracker
	// appliedRevision is the revision of the tracker that the placer has.
	appliedRevision uint64
	versions        uint64
	// departuresIndex is the index up to which the tracker has the departures that are recorded in the log.
	departuresIndex uint64
	// recentTables are the latest tables, the newest last.
	recentTables []*wire.RoutingTable
	waiters      []*waiter
	// gateways are those that call this controller, by name; loads are their totals.
	gateways map[string]*gatewayState
	loads    *disseminator.LoadTotals
	roster   roster
	// holdings are what engines hold, as reported by the placer.
	holdings *disseminator.Holdings
	arbiter  arbiter.Arbiter
	// requestLimits are those that backend servers have named to any gateway.
	requestLimits throttler.Registry
	// knowledge is what the leader, this instance or another, has learnt; leaderHoldings are
	// the holdings received from another leader.
	knowledge      *placer.LearnedState
	leaderHoldings *disseminator.Holdings
	prunedAt       time.Time

	term         uint64
	ordersAfter  time.Time
	summarizedAt time.Time
	plannedAt    time.Time
	placer       *placer.Placer
	// allocator grants request quota of customers' limits while this instance leads.
	allocator *quotaallocator.Allocator
	// paces are those of each service's backend servers.
	paces         map[string]*paceestimator.Estimator
	pacesLearntAt time.Time
	pacesLoggedAt time.Time
	// startedAt is when this incarnation began, and gatewaySeenAt when each gateway was last in
	// the roster.
	startedAt time.Time
	// observedSince is since when announcements have been received without interruption, and tickedAt when
	// the last tick was.
	observedSince, tickedAt time.Time
	recorded                recordedVersions
	gatewaySeenAt           map[string]time.Time
	gatewaysCheckedAt       time.Time

	// tables answers requests for the table, outside of the coordinator's goroutine.
	tablesMu sync.Mutex
	tables   tabletransmitter.Source
}

// gatewayState is the last reported state of a gateway.
type gatewayState struct {
	lastCallAt time.Time
	entry      *wire.GatewayEntry
	// members are the gateways that follow it, as listed at membersRevision.
	members         []*wire.GatewayEntry
	membersRevision uint64
	// loads are its own and those of its members.
	loads []*wire.Load
	// answeredAt is when it was last sent an update.
	answeredAt time.Time
	// wants are the adapters that its requests wait for, with the time of its last request for
	// them; urgent is set once one of them is loaded.
	wants  map[string]time.Time
	urgent bool
	// declined are adapters that it requested and that will not be loaded in time, not yet
	// reported to it.
	declined []string
}

// wantLease is how long a gateway is notified immediately of an adapter that it requested.
const wantLease = 3 * time.Second

// Init prepares the coordinator for calls before Run.
func (c *Coordinator) Init() {
	c.calls = sequencer.New(callQueueSize)
	c.stopped = make(chan struct{})
	c.epoch = rand.Uint64()
	c.state = applier.New()
	c.tracker = &tracker.Tracker{SilentAfter: c.SilentAfter, ForgetAfter: forgetAfter}
	c.gateways = map[string]*gatewayState{}
	c.startedAt, c.gatewaySeenAt = c.Clock.Now(), map[string]time.Time{}
	c.observedSince, c.tickedAt = c.startedAt, c.startedAt
	c.loads = disseminator.NewLoadTotals()
	c.paces = map[string]*paceestimator.Estimator{}
	c.holdings = disseminator.NewHoldings()
	c.initArbiter()
	c.knowledge = placer.NewLearnedState(c.Policy)
	c.leaderHoldings = disseminator.NewHoldings()
}

// Run works until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	defer close(c.stopped)
	ticker := c.Clock.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-c.Commits:
			c.apply(item)
		case call := <-c.calls.Calls():
			call(c.Clock.Now())
		case <-ticker.Chan():
			c.tick(c.Clock.Now())
		}
	}
}

// Call runs f in the coordinator's goroutine and waits for it.
func (c *Coordinator) Call(ctx context.Context, f func(now time.Time)) error {
	return errors.Wrap(c.calls.Call(ctx, f), "routecoordinator")
}

func (c *Coordinator) apply(item raftdriver.CommittedBatch) {
	if item.Restore != nil {
		c.restore(item.Restore)
	}
	for _, a := range item.Entries {
		before := c.state.Table()
		result := c.state.Apply(a.Entry)
		c.logBytes += len(a.Entry.GetData())
		if c.state.Table() != before {
			c.tableChanged()
		}
		if a.Reply != nil {
			a.Reply(result)
		}
	}
	c.versionsChanged()
	c.observeDepartures(c.Clock.Now())
	c.arbiter.SyncState(c.Clock.Now())
	if c.state.Applied() >= c.snapshot+c.SnapshotEntries || c.logBytes > c.SnapshotBytes {
		c.compact()
	}
}

func (c *Coordinator) tableChanged() {
	table := c.state.Table().GetTable()
	c.rememberTable(table)
	c.Log.Info("a table is in force", "Version", table.GetVersion(), "Routes", len(table.GetRoutes()))
	if c.allocator != nil {
		c.allocator.SetCustomers(c.Clock.Now(), table.GetCustomers())
	}
	if c.placer != nil {
		c.placer.SetTable(table)
		for _, a := range c.tracker.All() {
			c.placer.SetEngine(a)
		}
	}
}

func (c *Coordinator) versionsChanged() {
	sum := uint64(0)
	for _, v := range c.state.AdapterVersions() {
		sum += v.GetVersion()
		if c.placer != nil {
			c.placer.SetVersion(v)
		}
	}
	c.versions = sum
}

func (c *Coordinator) restore(s *wire.Snapshot) {
	state, err := applier.Restore(s.GetState())
	if err != nil {
		// The snapshot's checksum was valid, so another version wrote it.
		c.Log.Error("a snapshot can't be decoded", "Error", err.Error())
		return
	}
	c.state = state
	c.snapshot, c.logBytes, c.departuresIndex = s.GetIndex(), 0, 0
	if c.state.Table() != nil {
		c.tableChanged()
	}
}

func (c *Coordinator) compact() {
	if !c.compacting.CompareAndSwap(false, true) {
		return
	}
	c.snapshot, c.logBytes = c.state.Applied(), 0
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

func (c *Coordinator) tick(now time.Time) {
	if c.observedFor(now) == 0 {
		c.observedSince = now
	}
	c.tickedAt = now
	c.tracker.Tick(now)
	c.applyChanges()
	c.followLeadership(now)
	c.recordVersions(now)
	c.learnPaces(now)
	if c.placer != nil {
		c.placer.SetUsage(c.uses())
		c.plan(now)
	}
	if c.allocator != nil {
		c.allocator.Tick(now)
	}
	c.arbiter.Tick(now)
	if c.leads(now) {
		c.arbiter.LeaderTick(now, c.term)
	}
	c.pruneGateways(now)
	c.pruneRequestLimits(now)
	c.recordGateways(now)
	if c.placer == nil && now.Sub(c.prunedAt) >= pruneInterval {
		c.prunedAt = now
		c.knowledge.PruneDemand(now)
	}
	c.answerWaiters(now)
}
