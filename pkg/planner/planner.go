// Package planner decides which adapters are loaded on which model engines, and
// which sessions may use them.
//
// It is pure: announcements, demand and the time go in, orders and leases come
// out. An adapter is unloaded only when no session holds a lease on it there, so an
// adapter that serves a request is never chosen. Load reports are hints: they may
// change a choice, never a promise. It is not safe for concurrent use.
package planner

import (
	"cmp"
	"slices"
	"time"

	"bronzelead.example/pkg/limiter"
	"bronzelead.example/pkg/retrier"
	"bronzelead.example/pkg/wire"
)

// SessionID names a gateway's session.
type SessionID = limiter.SessionID

// LeaseID names a lease on one adapter at one engine for one session.
type LeaseID uint64

// OrderID names an order; it rises within one leader's term.
type OrderID uint64

// OrderKind tells orders apart.
type OrderKind int

// The kinds of orders.
const (
	Load OrderKind = iota + 1
	Unload
)

// Outcome is how an order ended.
type Outcome int

// The outcomes of orders.
const (
	// Completed means that the engine has done it.
	Completed Outcome = iota
	// Refused means that the engine has answered that it does not.
	Refused
	// Unanswered means that the engine was not reached, or gave no answer.
	Unanswered
)

// Order is an order to an engine. Term and ID together are its fencing number.
type Order struct {
	ID          OrderID
	Term        uint64
	Kind        OrderKind
	Backend     string
	Incarnation string
	Address     string
	Adapter     string
}

// State is how far an adapter is at an engine.
type State int

// The states of a placement.
const (
	Loading State = iota + 1
	Loaded
	// Recalling means that the sessions were asked to hand back their leases.
	Recalling
	Unloading
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"", "Loading", "Loaded", "Recalling", "Unloading"}[s]
}

// Policy holds the settings of a deployment's placement.
type Policy struct {
	// LoadsPerSecond and LoadsAtOnce are what the weight store allows.
	LoadsPerSecond     float64
	MaxConcurrentLoads int
	// StallWeight counts the time that requests wait for a load, BatchWeight the
	// number of requests that a load lets run together.
	StallWeight float64
	BatchWeight float64
	// StarveAfter is how long an adapter waits before one in use is recalled.
	StarveAfter time.Duration
	// MinResidence is how long a loaded adapter stays at least.
	MinResidence time.Duration
	// BackendLease is how long an engine is known after its last announcement.
	BackendLease time.Duration
	// OrderTimeout is how long an order can be under way.
	OrderTimeout time.Duration
	// FailureBackoff is the wait after failed loads of an adapter, and before the next order
	// to an engine that has not answered. Without it a plan repeats an order each time that
	// the one before has failed: thousands a minute to an engine behind a cut link.
	FailureBackoff retrier.Backoff
	// Evict picks the adapter to give up. Nil takes the least popular one.
	Evict func(candidates []*Placement) *Placement
}

// Placement is one adapter at one engine.
type Placement struct {
	Backend     string
	Incarnation string
	Adapter     string
	State       State
	// Since is when the state began.
	Since time.Time
	// LastUsed is when a session last had requests for the adapter.
	LastUsed time.Time
	// Popularity is the adapter's decayed number of requests.
	Popularity float64

	holders map[SessionID]LeaseID
	order   OrderID
}

// Holders returns the number of sessions that hold a lease.
func (p *Placement) Holders() int { return len(p.holders) }

type engine struct {
	info       *wire.Backend
	seen       time.Time
	drained    bool
	placements map[string]*Placement
	// unloaded tells when an order took an adapter away, since the engine's own
	// list lags behind.
	unloaded map[string]time.Time
	// unanswered counts the orders in a row that it did not answer, and notBefore is when
	// it may be given the next one.
	unanswered int
	notBefore  time.Time
}

func (e *engine) takesWork() bool { return !e.info.GetLeaving() && !e.drained }

// reachable reports whether it has answered the last order. An engine may announce itself
// although no order reaches it.
func (e *engine) reachable() bool { return e.unanswered == 0 }

// adapter is the demand for one adapter of all sessions together.
type adapter struct {
	name       string
	base       string
	waiting    counts
	running    counts
	since      time.Time
	popularity float64
	decayedAt  time.Time
	lastUsed   time.Time
	failures   int
	notBefore  time.Time
	avoid      map[string]time.Time
}

func (a *adapter) outstanding() uint32 { return a.waiting.total + a.running.total }

// counts are numbers of requests by session, with their sum.
type counts struct {
	by    map[SessionID]uint32
	total uint32
}

func (n *counts) set(id SessionID, value uint32) {
	if n.by == nil {
		n.by = map[SessionID]uint32{}
	}
	n.total += value - n.by[id]
	if value == 0 {
		delete(n.by, id)
		return
	}
	n.by[id] = value
}

// Planner holds the placements of one leader's term. Set the exported fields, then
// call Start.
type Planner struct {
	Policy Policy

	term     uint64
	started  time.Time
	nextID   uint64
	engines  map[string]*engine
	adapters map[string]*adapter
	// active are the adapters with requests that wait or run.
	active map[string]*adapter
	// placed are the placements of each adapter by engine.
	placed map[string]map[string]*Placement
	// clearing are the placements that are being recalled or unloaded.
	clearing map[*Placement]bool
	// byBase are the engines of each base model in the order of their names.
	byBase   map[string]*engineGroup
	dropped  []string
	forgotAt time.Time
	leases   map[LeaseID]*Placement
	held     map[SessionID]map[LeaseID]*Placement
	recalled map[SessionID]map[LeaseID]bool
	orders   map[OrderID]*Placement
	loading  int
	tokens   float64
	filledAt time.Time
	settled  bool
	// orphans are leases reported to this leader whose engine it doesn't know yet.
	orphans map[SessionID][]*wire.LeaseGrant
}

// Start begins a leader's term with no knowledge.
func (p *Planner) Start(now time.Time, term uint64) {
	p.term, p.started = term, now
	p.nextID = 0
	p.engines = map[string]*engine{}
	p.adapters, p.active = map[string]*adapter{}, map[string]*adapter{}
	p.placed, p.clearing = map[string]map[string]*Placement{}, map[*Placement]bool{}
	p.byBase, p.dropped, p.forgotAt = nil, nil, now
	p.held = map[SessionID]map[LeaseID]*Placement{}
	p.leases = map[LeaseID]*Placement{}
	p.recalled = map[SessionID]map[LeaseID]bool{}
	p.orders = map[OrderID]*Placement{}
	p.orphans = map[SessionID][]*wire.LeaseGrant{}
	p.loading, p.tokens, p.filledAt = 0, 1, now
	p.settled = false
}

// SetSynced tells whether all that sessions hold is known. Nothing is recalled or
// unloaded before.
func (p *Planner) SetSynced(settled bool) { p.settled = settled }

// Placements returns all placements by engine and adapter.
func (p *Planner) Placements() []*Placement {
	var all []*Placement
	for _, e := range p.engines {
		for _, pl := range e.placements {
			all = append(all, pl)
		}
	}
	slices.SortFunc(all, func(a, b *Placement) int {
		return cmp.Or(cmp.Compare(a.Backend, b.Backend), cmp.Compare(a.Adapter, b.Adapter))
	})
	return all
}
