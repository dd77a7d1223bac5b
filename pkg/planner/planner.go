// Package planner decides which adapters are loaded on which model engines, and which sessions
// may use them.
//
// It is pure: announcements, demand and the time go in, orders and leases come out. An adapter
// is unloaded only when no session holds a lease on it there, so an adapter that serves a
// request is never chosen. Load reports are hints: they may change a choice, never a guarantee.
// It is not safe for concurrent use.
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

// OrderID names an order; it increases within one leader's term.
type OrderID uint64

// OrderKind is the kind of an order.
type OrderKind int

// The kinds of orders.
const (
	Load OrderKind = iota + 1
	Unload
)

// Outcome is the result of an order.
type Outcome int

// The outcomes of orders.
const (
	// Completed means that the engine has carried it out.
	Completed Outcome = iota
	// Refused means that the engine has answered that it does not carry it out.
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

// State is the state of an adapter at an engine.
type State int

// The states of a placement.
const (
	Loading State = iota + 1
	Loaded
	// Recalling means that the sessions were asked to return their leases.
	Recalling
	Unloading
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"", "Loading", "Loaded", "Recalling", "Unloading"}[s]
}

// Policy holds the settings of adapter placement.
type Policy struct {
	// LoadsPerSecond and MaxConcurrentLoads are what the weight store allows.
	LoadsPerSecond     float64
	MaxConcurrentLoads int
	// StallWeight weighs the time that requests wait for a load, BatchWeight the number of
	// requests that a load lets run together.
	StallWeight float64
	BatchWeight float64
	// StarveAfter is how long an adapter waits before one in use is recalled.
	StarveAfter time.Duration
	// MinResidence is how long a loaded adapter stays at least.
	MinResidence time.Duration
	// BackendLease is how long an engine is known after its last announcement.
	BackendLease time.Duration
	// OrderTimeout is how long an order can be in flight.
	OrderTimeout time.Duration
	// FailureBackoff is the wait after failed loads of an adapter, and before the next order to
	// an engine that has not answered. Without it a plan repeats an order each time that the
	// one before has failed: thousands a minute to an engine behind a network partition.
	FailureBackoff retrier.Backoff
	// Evict picks the adapter to unload. Nil takes the least popular one.
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

	holders      map[SessionID]LeaseID
	pendingOrder OrderID
}

// Holders returns the number of sessions that hold a lease.
func (p *Placement) Holders() int { return len(p.holders) }

type engine struct {
	info          *wire.Backend
	lastAnnounced time.Time
	drained       bool
	placements    map[string]*Placement
	// unloadedAt is when an order unloaded an adapter, since the engine's own list lags behind.
	unloadedAt map[string]time.Time
	// unanswered counts consecutive orders that it did not answer, and notBefore is when it may
	// be given the next one.
	unanswered int
	notBefore  time.Time
}

func (e *engine) isAvailable() bool { return !e.info.GetLeaving() && !e.drained }

// reachable reports whether the engine has answered the last order. It may announce itself
// although no order reaches it.
func (e *engine) reachable() bool { return e.unanswered == 0 }

// adapter is the demand for one adapter of all sessions together.
type adapter struct {
	name         string
	base         string
	waiting      counts
	running      counts
	waitingSince time.Time
	popularity   float64
	decayedAt    time.Time
	lastUsed     time.Time
	failures     int
	notBefore    time.Time
	avoidUntil   map[string]time.Time
}

func (a *adapter) outstanding() uint32 { return a.waiting.total + a.running.total }

// counts are numbers of requests by session, with their sum.
type counts struct {
	bySession map[SessionID]uint32
	total     uint32
}

func (n *counts) set(id SessionID, value uint32) {
	if n.bySession == nil {
		n.bySession = map[SessionID]uint32{}
	}
	n.total += value - n.bySession[id]
	if value == 0 {
		delete(n.bySession, id)
		return
	}
	n.bySession[id] = value
}

// Planner holds the placements of one leader's term. Set the exported fields, then
// call Start.
type Planner struct {
	Policy Policy

	term     uint64
	started  time.Time
	lastID   uint64
	engines  map[string]*engine
	adapters map[string]*adapter
	// active are the adapters with requests that wait or run.
	active map[string]*adapter
	// placed are the placements of each adapter by engine.
	placed map[string]map[string]*Placement
	// clearing are the placements that are being recalled or unloaded.
	clearing map[*Placement]bool
	// byBase are the engines of each base model in the order of their names.
	byBase            map[string]*engineGroup
	removedEngines    []string
	adaptersExpiredAt time.Time
	leases            map[LeaseID]*Placement
	held              map[SessionID]map[LeaseID]*Placement
	recalled          map[SessionID]map[LeaseID]bool
	orders            map[OrderID]*Placement
	loading           int
	tokens            float64
	refilledAt        time.Time
	synced            bool
	// orphanedLeases were reported to this leader for engines that it does not know yet.
	orphanedLeases map[SessionID][]*wire.LeaseGrant
}

// Start begins a leader's term with an empty state.
func (p *Planner) Start(now time.Time, term uint64) {
	p.term, p.started = term, now
	p.lastID = 0
	p.engines = map[string]*engine{}
	p.adapters, p.active = map[string]*adapter{}, map[string]*adapter{}
	p.placed, p.clearing = map[string]map[string]*Placement{}, map[*Placement]bool{}
	p.byBase, p.removedEngines, p.adaptersExpiredAt = nil, nil, now
	p.held = map[SessionID]map[LeaseID]*Placement{}
	p.leases = map[LeaseID]*Placement{}
	p.recalled = map[SessionID]map[LeaseID]bool{}
	p.orders = map[OrderID]*Placement{}
	p.orphanedLeases = map[SessionID][]*wire.LeaseGrant{}
	p.loading, p.tokens, p.refilledAt = 0, 1, now
	p.synced = false
}

// SetSynced sets whether all leases that sessions hold are known. Nothing is recalled or
// unloaded before.
func (p *Planner) SetSynced(synced bool) { p.synced = synced }

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
