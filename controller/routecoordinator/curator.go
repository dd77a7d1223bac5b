// Package curator owns a controller's state where requests are routed by a table: the
// table and the versions of adapters, which are replicated; the backend servers, which
// announce themselves; and, while the instance leads, the placement of adapters.
//
// One goroutine does all of it; calls from others come through a bounded ring.
package routecoordinator

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"bronzelead.example/controller/arbiter"
	"bronzelead.example/controller/raftdriver"
	"bronzelead.example/pkg/applier"
	"bronzelead.example/pkg/caller"
	"bronzelead.example/pkg/disseminator"
	"bronzelead.example/pkg/placer"
	"bronzelead.example/pkg/quotaallocator"
	"bronzelead.example/pkg/throttler"
	"bronzelead.example/pkg/tracker"
	"bronzelead.example/pkg/wire"
)

const (
	callRing = 8192
	// tickEvery bounds how soon gateways hear of news, and how many small answers a
	// series of changes causes.
	tickEvery = 20 * time.Millisecond
	// gatewayLease is how long a gateway's loads count after its last call: a few calls.
	gatewayLease = 1500 * time.Millisecond
	// answersPerSecond bounds the answers to all gateways together that only tell where
	// adapters are. With few gateways each is told at once; with many, bytes between zones
	// and the leader's time go before it, but for gateways whose requests wait.
	answersPerSecond = 400
	// planSpacing is the least time between two plans: a plan looks at all engines and at
	// all that is wanted.
	planSpacing = 5 * time.Millisecond
	// summaryEvery is the time between two log lines on the placement as a whole.
	summaryEvery = time.Second
	// forgetEvery is the time between two looks at what counts no longer, while another
	// instance leads.
	forgetEvery = time.Second
	// forgetAfter is how long backend servers that left are remembered, so that late
	// announcements don't bring them back.
	forgetAfter = 60 * time.Second
)

// Raft is what the curator uses of the replicated log.
type Raft interface {
	Standing() *raftdriver.Status
	Leads() bool
	Propose(ctx context.Context, cmd *wire.Command) (applier.Result, error)
	Compact(index uint64, state []byte)
}

// Coordinator owns the state. Set the exported fields, call Init, then Run.
type Coordinator struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	Raft  Raft
	// Committed brings committed entries.
	Committed <-chan raftdriver.CommittedBatch
	// SendOrder takes orders to engines and reports each one's end. It must not block.
	SendOrder func(order placer.Order, term uint64, done func(placer.Outcome, *placer.EngineState))
	// Relay passes announcements on to the other controllers. It must not block.
	Relay func(announcements []*wire.Announcement)
	// Controllers returns the addresses of all controllers.
	Controllers func() []string
	// CountHeld counts requests that are held back, and those that no longer are; nil counts
	// nothing.
	CountHeld func(change string)

	// Limits is the rule by which customers are kept to their limits.
	Limits quotaallocator.Rule
	Policy placer.Policy
	// SilentAfter is the time without an announcement after which a backend server counts
	// as silent.
	SilentAfter time.Duration
	// HandoverDelay is how long a new leader gives no orders, so that those of the one before
	// it have ended.
	HandoverDelay time.Duration
	// SnapshotEntries is the number of entries, and SnapshotBytes their size, after which a
	// snapshot replaces the log.
	SnapshotEntries uint64
	SnapshotBytes   int

	calls      *caller.Caller
	epoch      uint64
	state      *applier.StateMachine
	snapshot   uint64
	logBytes   int
	compacting atomic.Bool

	// led is set once a leader was known in this life. Before that, the table of the last
	// snapshot may be an old one.
	led     bool
	tracker *tracker.Tracker
	// taken is the revision of the tracker that the placer knows.
	taken    uint64
	versions uint64
	waiters  []*waiter
	// gateways are those that ask this controller, by name; loads is the sum of theirs.
	gateways map[string]*gatewayState
	loads    *disseminator.LoadTotals
	roster   roster
	// holdings are what the placer has said that engines hold.
	holdings *disseminator.Holdings
	arbiter  arbiter.Arbiter
	// requestLimits are those that backend servers have named to any gateway.
	requestLimits throttler.Registry
	// knowledge is what the leader has learnt, this one or another, whose holdings are heard.
	knowledge *placer.LearnedState
	heard     *disseminator.Holdings
	forgotten time.Time

	term        uint64
	ordersAfter time.Time
	summarized  time.Time
	planned     time.Time
	placer      *placer.Placer
	// lender lends of customers' limits while this instance leads.
	lender *quotaallocator.Allocator
	// startedAt is when this life began, and met when each gateway was in the roster last.
	startedAt time.Time
	met       map[string]time.Time
	lookedAt  time.Time
}

// gatewayState is what a gateway said last.
type gatewayState struct {
	seen  time.Time
	entry *wire.GatewayEntry
	// members are the gateways that follow it, by the list with that number.
	members         []*wire.GatewayEntry
	membersRevision uint64
	// loads are its own and those of its members.
	loads []*wire.Load
	// answered is when it was last told of news.
	answered time.Time
	// wants are the adapters that its requests wait for, and when it said so last; urgent
	// is set once one of them is there.
	wants  map[string]time.Time
	urgent bool
	// declined are adapters that it asked for and that it is to be told do not come.
	declined []string
}

// wantLease is how long a gateway is told at once of an adapter that it asked for.
const wantLease = 3 * time.Second

// Init prepares the curator for calls before Run.
func (c *Coordinator) Init() {
	c.calls = caller.New(callRing)
	c.epoch = rand.Uint64()
	c.state = applier.New()
	c.tracker = &tracker.Tracker{SilentAfter: c.SilentAfter, ForgetAfter: forgetAfter}
	c.gateways = map[string]*gatewayState{}
	c.startedAt, c.met = c.Clock.Now(), map[string]time.Time{}
	c.loads = disseminator.NewLoadTotals()
	c.holdings = disseminator.NewHoldings()
	c.initArbiter()
	c.knowledge = placer.NewLearnedState(c.Policy)
	c.heard = disseminator.NewHoldings()
}

// Run works until ctx ends.
func (c *Coordinator) Run(ctx context.Context) {
	ticker := c.Clock.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case item := <-c.Committed:
			c.apply(item)
		case call := <-c.calls.Calls():
			call(c.Clock.Now())
		case <-ticker.Chan():
			c.tick(c.Clock.Now())
		}
	}
}

// Call runs f in the curator's goroutine and waits for it.
func (c *Coordinator) Call(ctx context.Context, f func(now time.Time)) error {
	return errors.Wrap(c.calls.Call(ctx, f), "curator")
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
	c.arbiter.SyncState(c.Clock.Now())
	if c.state.Applied() >= c.snapshot+c.SnapshotEntries || c.logBytes > c.SnapshotBytes {
		c.compact()
	}
}

func (c *Coordinator) tableChanged() {
	table := c.state.Table().GetTable()
	c.Log.Info("a table is in force", "Version", table.GetVersion(), "Routes", len(table.GetRoutes()))
	if c.lender != nil {
		c.lender.SetCustomers(c.Clock.Now(), table.GetCustomers())
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
		// The snapshot's checksum was right, so it was written by another version.
		c.Log.Error("a snapshot can't be decoded", "Error", err.Error())
		return
	}
	c.state = state
	c.snapshot, c.logBytes = s.GetIndex(), 0
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
	c.tracker.Tick(now)
	c.takeChanges()
	c.follow(now)
	if c.placer != nil {
		c.placer.SetUsage(c.uses())
		c.plan(now)
	}
	if c.lender != nil {
		c.lender.Tick(now)
	}
	c.arbiter.Tick(now)
	if c.leads(now) {
		c.arbiter.LeaderTick(now, c.term)
	}
	c.forgetGateways(now)
	c.forgetLimits(now)
	c.meetGateways(now)
	if c.placer == nil && now.Sub(c.forgotten) >= forgetEvery {
		c.forgotten = now
		c.knowledge.PruneDemand(now)
	}
	c.answerWaiters(now)
}

// follow begins a term as leader, once all that was committed before has been applied,
// and ends it.
func (c *Coordinator) follow(now time.Time) {
	standing := c.Raft.Standing()
	leads := standing.Leads(now)
	c.led = c.led || leads || standing.Leader != ""
	switch {
	case leads && c.term != standing.Term && c.state.Applied() >= standing.TermStart:
		c.begin(now, standing.Term)
	case !leads && c.term != 0 && c.term != standing.Term:
		c.Log.Info("this instance no longer leads", "Term", c.term)
		c.term, c.placer, c.lender = 0, nil, nil
	}
}

func (c *Coordinator) begin(now time.Time, term uint64) {
	c.term = term
	c.ordersAfter = now.Add(c.HandoverDelay)
	c.placer = placer.NewWith(c.knowledge)
	c.placer.Begin(term)
	c.holdings.Reset(c.placer.Revision())
	c.arbiter.Invalidate()
	c.placer.SetTable(c.state.Table().GetTable())
	c.lender = &quotaallocator.Allocator{Rule: c.Limits, KnownGateways: c.knownGateways(now)}
	c.lender.Begin(now, term, c.state.Table().GetTable().GetCustomers())
	for _, a := range c.tracker.All() {
		c.placer.SetEngine(a)
		c.placer.SetLimit(a.GetId(), c.limitOf(a.GetId()))
	}
	for _, v := range c.state.AdapterVersions() {
		c.placer.SetVersion(v)
	}
	c.Log.Info("this instance leads", "Term", term)
}

// leads reports whether the instance may give orders now.
func (c *Coordinator) leads(now time.Time) bool {
	standing := c.Raft.Standing()
	return c.term != 0 && c.term == standing.Term && standing.Leads(now)
}

func (c *Coordinator) plan(now time.Time) {
	if !c.leads(now) || now.Before(c.ordersAfter) {
		return
	}
	c.planned = now
	c.wake(now)
	if now.Sub(c.summarized) >= summaryEvery {
		c.summarized = now
		if standings := c.lender.Statuses(now, false); len(standings) > 0 {
			c.Log.Info("limits", "Customers", standings)
		}
		c.Log.Info("placement", "Summary", c.placer.Summary(), "Gateways", c.roster.count(), "Asking", len(c.gateways))
	}
	for _, order := range c.placer.Plan(now) {
		c.carry(order)
	}
}

// planSoon plans at once, unless that was done just now: then the next tick does.
func (c *Coordinator) planSoon(now time.Time) {
	if now.Sub(c.planned) >= planSpacing {
		c.plan(now)
	}
}

// giveNext gives an engine its next orders.
func (c *Coordinator) giveNext(now time.Time, backend string) {
	if !c.leads(now) || now.Before(c.ordersAfter) {
		return
	}
	for _, order := range c.placer.NextOrders(now, backend) {
		c.carry(order)
	}
}

func (c *Coordinator) carry(order placer.Order) {
	term := c.term
	c.SendOrder(order, term, func(outcome placer.Outcome, state *placer.EngineState) {
		c.calls.Post(func(now time.Time) {
			if c.term == term && c.placer != nil {
				c.placer.RecordOutcome(now, order, outcome, state)
				c.giveNext(now, order.Backend)
			}
		})
	})
}

// wake marks the gateways whose requests wait for adapters that have come, or do not come
// in time.
func (c *Coordinator) wake(now time.Time) {
	for _, adapter := range c.placer.TakeDeclined() {
		for _, g := range c.gateways {
			if _, ok := g.wants[adapter]; ok {
				g.declined = append(g.declined, adapter)
				g.urgent = true
				delete(g.wants, adapter)
			}
		}
	}
	for _, adapter := range c.placer.TakeLoaded() {
		for _, g := range c.gateways {
			if said, ok := g.wants[adapter]; ok {
				g.urgent = g.urgent || now.Sub(said) < wantLease
				delete(g.wants, adapter)
			}
		}
	}
}

// uses returns what the gateways have at each backend server.
func (c *Coordinator) uses() map[string]*placer.Usage {
	total := map[string]*placer.Usage{}
	c.loads.Each(func(backend string, requests uint32, adapters map[string]int) {
		use := &placer.Usage{Requests: float64(requests), Adapters: make(map[string]bool, len(adapters))}
		for adapter := range adapters {
			use.Adapters[adapter] = true
		}
		total[backend] = use
	})
	return total
}
