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
	"maps"
	"slices"
	"time"

	"bronzelead.example/pkg/limiter"
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
	LoadsPerSecond float64
	LoadsAtOnce    int
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
	// LongestOrder is how long an order can be under way.
	LongestOrder time.Duration
	// BackOff is the wait after a first failed load; it doubles to MaxBackOff.
	BackOff    time.Duration
	MaxBackOff time.Duration
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
}

func (e *engine) takesWork() bool { return !e.info.GetLeaving() && !e.drained }

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

// SetSettled tells whether all that sessions hold is known. Nothing is recalled or
// unloaded before.
func (p *Planner) SetSettled(settled bool) { p.settled = settled }

// Announce takes in what an engine tells of itself. A new incarnation is an empty
// engine: what was leased on the old one is void.
func (p *Planner) Announce(now time.Time, b *wire.Backend, drained bool) {
	e := p.engines[b.GetName()]
	if e != nil && e.info.GetIncarnation() != b.GetIncarnation() {
		p.dropEngine(e)
		e = nil
	}
	if e == nil {
		e = &engine{placements: map[string]*Placement{}, unloaded: map[string]time.Time{}}
		p.engines[b.GetName()] = e
		p.byBase = nil
	}
	e.info, e.seen, e.drained = b, now, drained
	p.readBack(now, e)
	p.adoptOrphans(now, e)
}

// readBack takes the engine's own list for what is loaded, where no order of this
// leader is newer than the list can be.
func (p *Planner) readBack(now time.Time, e *engine) {
	listed := map[string]bool{}
	for _, name := range e.info.GetLoaded() {
		listed[name] = true
		if now.Sub(e.unloaded[name]) < p.Policy.BackendLease {
			continue
		}
		delete(e.unloaded, name)
		if e.placements[name] == nil {
			p.place(now, e, name, Loaded)
		}
	}
	for name, pl := range e.placements {
		stable := pl.State == Loaded || pl.State == Recalling
		if stable && !listed[name] && now.Sub(pl.Since) > p.Policy.BackendLease {
			p.dropPlacement(e, pl)
		}
	}
}

func (p *Planner) adoptOrphans(now time.Time, e *engine) {
	for id, grants := range p.orphans {
		for _, g := range grants {
			if g.GetBackend() == e.info.GetName() {
				p.adopt(now, id, g)
			}
		}
	}
}

// ResetSession takes a session's full list of leases for all that it holds.
func (p *Planner) ResetSession(now time.Time, id SessionID, held []*wire.LeaseGrant) {
	p.ForgetSession(id)
	for _, g := range held {
		if p.engines[g.GetBackend()] == nil {
			p.orphans[id] = append(p.orphans[id], g)
			continue
		}
		p.adopt(now, id, g)
	}
}

func (p *Planner) adopt(now time.Time, id SessionID, g *wire.LeaseGrant) {
	e := p.engines[g.GetBackend()]
	lease := LeaseID(g.GetId())
	if e.info.GetIncarnation() != g.GetIncarnation() {
		p.recall(id, lease)
		return
	}
	pl := e.placements[g.GetAdapter()]
	if pl == nil {
		// The engine's list may lag behind a load that an earlier leader ordered.
		pl = p.place(now, e, g.GetAdapter(), Loaded)
	}
	if pl.State != Loaded && pl.State != Recalling {
		p.recall(id, lease)
		return
	}
	p.hold(id, lease, pl)
}

// place adds a placement.
func (p *Planner) place(now time.Time, e *engine, name string, state State) *Placement {
	pl := &Placement{
		Backend: e.info.GetName(), Incarnation: e.info.GetIncarnation(), Adapter: name,
		State: state, Since: now, LastUsed: now, holders: map[SessionID]LeaseID{},
	}
	e.placements[name] = pl
	if p.placed[name] == nil {
		p.placed[name] = map[string]*Placement{}
	}
	p.placed[name][pl.Backend] = pl
	return pl
}

// remove forgets a placement.
func (p *Planner) remove(e *engine, pl *Placement) {
	delete(e.placements, pl.Adapter)
	delete(p.placed[pl.Adapter], pl.Backend)
	if len(p.placed[pl.Adapter]) == 0 {
		delete(p.placed, pl.Adapter)
	}
	delete(p.clearing, pl)
}

// turn gives a placement a new state.
func (p *Planner) turn(now time.Time, pl *Placement, state State) {
	pl.State, pl.Since = state, now
	if state == Recalling || state == Unloading {
		p.clearing[pl] = true
		return
	}
	delete(p.clearing, pl)
}

// hold notes that a session holds a lease.
func (p *Planner) hold(id SessionID, lease LeaseID, pl *Placement) {
	pl.holders[id] = lease
	p.leases[lease] = pl
	if p.held[id] == nil {
		p.held[id] = map[LeaseID]*Placement{}
	}
	p.held[id][lease] = pl
}

// unhold takes that back.
func (p *Planner) unhold(id SessionID, lease LeaseID, pl *Placement) {
	delete(pl.holders, id)
	delete(p.leases, lease)
	delete(p.held[id], lease)
}

// Expire forgets engines that have not announced themselves for too long.
func (p *Planner) Expire(now time.Time) {
	for _, e := range p.engines {
		if now.Sub(e.seen) > p.Policy.BackendLease {
			p.dropEngine(e)
		}
	}
}

func (p *Planner) dropEngine(e *engine) {
	for _, pl := range e.placements {
		p.dropPlacement(e, pl)
	}
	delete(p.engines, e.info.GetName())
	p.dropped = append(p.dropped, e.info.GetName())
	p.byBase = nil
}

// Dropped returns the engines that were forgotten since the last call.
func (p *Planner) Dropped() []string {
	dropped := p.dropped
	p.dropped = nil
	return dropped
}

// dropPlacement forgets a placement whose adapter is gone; its leases are void.
func (p *Planner) dropPlacement(e *engine, pl *Placement) {
	for id, lease := range pl.holders {
		p.unhold(id, lease, pl)
		p.recall(id, lease)
	}
	if pl.order != 0 {
		p.closeOrder(pl)
	}
	p.remove(e, pl)
}

func (p *Planner) recall(id SessionID, lease LeaseID) {
	if p.recalled[id] == nil {
		p.recalled[id] = map[LeaseID]bool{}
	}
	p.recalled[id][lease] = true
}

// Engines returns what is known of the engines, by name.
func (p *Planner) Engines() []*wire.Backend {
	all := make([]*wire.Backend, 0, len(p.engines))
	for _, name := range slices.Sorted(maps.Keys(p.engines)) {
		all = append(all, p.engines[name].info)
	}
	return all
}

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
