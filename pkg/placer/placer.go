// Package placer decides which adapters are loaded at which engines, for a leader that
// alone gives orders. It is pure: demand, reports and the ends of orders go in, orders
// come out.
//
// It answers three load patterns. Rare adapters at once: each is loaded when a request
// waits for it, at an engine with a free place, which is kept free ahead of need. Demand
// that moves on: popularity is forgotten within seconds, and what nobody asks for goes
// first. A hot adapter: it gets copies in proportion to its requests.
package placer

import (
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"

	"bronzelead.example/pkg/wire"
)

// Policy holds the placer's limits.
type Policy struct {
	// Reserve is the number of places that are kept free at each engine, so that a load
	// does not have to wait for an unload.
	Reserve int
	// MaxComing bounds the adapters on their way to one engine.
	MaxComing int
	// ColdLoad and WarmLoad are the expected times of loads from the weight store and
	// from the engine's own memory.
	ColdLoad time.Duration
	WarmLoad time.Duration
	// ConfirmAgain is the time between two questions whether a load has ended.
	ConfirmAgain time.Duration
	// Notice is the time between telling the gateways that an adapter goes and its
	// unload, so that no request is under way to it.
	Notice time.Duration
	// UnknownWait is how long an engine is left alone after an order without an answer;
	// its reports lag behind.
	UnknownWait time.Duration
	// DemandHalfLife is the time in which popularity is forgotten by half.
	DemandHalfLife time.Duration
	// RunTime is the expected time of a request at an engine.
	RunTime time.Duration
	// FillPerCopy is the part of an engine's slots that one adapter's requests may take
	// before it gets another copy, and RatePerCopy the requests a second: an engine with
	// many slots is slowed down by reading prompts long before its slots are taken.
	FillPerCopy float64
	RatePerCopy float64
	// WantFor is how long a wish is kept that can't be fulfilled.
	WantFor time.Duration
	// IdleFor is how long nobody must have asked for an adapter before it is unloaded, and
	// IdleUnderPressure the same while others wait for its place.
	IdleFor           time.Duration
	IdleUnderPressure time.Duration
	// LostLoad is the time after which a load that has not ended is taken for lost.
	LostLoad time.Duration
	// UnloadAgain is the time between two questions whether an unload has ended that
	// waits for runs.
	UnloadAgain time.Duration
}

// DefaultPolicy returns the limits that were measured; docs/MEASURED.md has the runs.
func DefaultPolicy() Policy {
	return Policy{
		Reserve: 1, MaxComing: 4, ColdLoad: 250 * time.Millisecond, WarmLoad: 25 * time.Millisecond,
		ConfirmAgain: 30 * time.Millisecond, Notice: 80 * time.Millisecond, UnknownWait: 250 * time.Millisecond,
		DemandHalfLife: 4 * time.Second, RunTime: 400 * time.Millisecond, FillPerCopy: 0.4, RatePerCopy: 16,
		WantFor: 700 * time.Millisecond, IdleFor: 600 * time.Millisecond, IdleUnderPressure: 250 * time.Millisecond,
		UnloadAgain: 60 * time.Millisecond, LostLoad: 3 * time.Second,
	}
}

// Kind says what an order asks for.
type Kind int

// The kinds of orders.
const (
	// Report asks an engine for its state.
	Report Kind = iota
	// Load loads an adapter.
	Load
	// Confirm is a load sent again, to learn whether the adapter is there.
	Confirm
	// Unload gives an adapter up.
	Unload
	// LoadModel loads a base model, without which an engine takes no adapters.
	LoadModel
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"Report", "Load", "Confirm", "Unload", "LoadModel"}[k]
}

// Order is an instruction to one engine.
type Order struct {
	Kind    Kind
	Backend string
	Address string
	// Adapter is MODEL/NAME, or the base model alone.
	Adapter string
	// Version to load; 0 is the newest.
	Version uint64
	// After is the number of orders that the engine has accepted so far.
	After uint64

	// repeated is set if the order is given again after no answer.
	repeated bool
}

// Outcome is how an order ended.
type Outcome int

// The outcomes of orders.
const (
	// Unknown means that nothing was answered; the order may still be carried out.
	Unknown Outcome = iota
	// Unreachable means that no connection could be opened, so that nothing was sent.
	Unreachable
	// Accepted means that the engine carries it out.
	Accepted
	// Holds means that what was asked for is the case.
	Holds
	// Conflict means that the engine has accepted another number of orders.
	Conflict
	// Refused means that the engine does not carry it out.
	Refused
	// Gone means that the engine is another start than the one meant.
	Gone
)

// State is what an engine reported of itself.
type State struct {
	Accepted uint64
	// Models are the base models there.
	Models   []string
	Adapters []string
	Coming   []string
}

// Placer holds what the leader knows. Make one with New.
type Placer struct {
	policy   Policy
	limits   map[string]*wire.EngineLimits
	engines  map[string]*engine
	demand   map[string]*demand
	versions map[string]uint64
	wants    map[string]*want
	revision uint64
	// hostAdapters is the number of adapters whose weights an engine seems to keep, as
	// the times of loads have shown.
	hostAdapters int
	// coldLoad is the learnt time of a load from the weight store, and maxComing the
	// learnt number that it carries at once.
	coldLoad  time.Duration
	maxComing float64
	// index lists the engines at which each adapter is or soon will be, as of the last plan.
	index map[string][]string
	// learnt is set once a load has changed maxComing.
	learnt bool
	// fresh are adapters that were loaded since TakeLoaded was called last.
	fresh []string
	// modelLoadAt is when the weight store allows the next load of a base model.
	modelLoadAt time.Time
}

type demand struct {
	rate float64
	last time.Time
}

type want struct {
	avoid []string
	since time.Time
	// seen is when it was asked for last.
	seen time.Time
	// requests is about how many requests wait.
	requests int
}

// Until loads have shown how many the weight store carries at once, two for each engine
// are assumed, and at least firstMaxComing.
const (
	firstMaxComing  = 24
	comingPerEngine = 2
)

// New returns a placer that knows nothing yet.
func New(policy Policy) *Placer {
	return &Placer{
		policy: policy, limits: map[string]*wire.EngineLimits{}, engines: map[string]*engine{},
		hostAdapters: firstHostAdapters, coldLoad: policy.ColdLoad, maxComing: firstMaxComing,
		demand: map[string]*demand{}, versions: map[string]uint64{}, wants: map[string]*want{},
	}
}

// SetTable takes the engines' limits from a table.
func (p *Placer) SetTable(table *wire.RoutingTable) {
	clear(p.limits)
	for _, s := range table.GetServices() {
		if s.GetEngine() != nil {
			p.limits[s.GetName()] = s.GetEngine()
		}
	}
}

// SetEngine takes what is known of a backend server; others than engines are left out.
func (p *Placer) SetEngine(a *wire.Announcement) {
	if a.GetGone() {
		delete(p.engines, a.GetId())
		return
	}
	if p.limits[a.GetService()] == nil {
		return
	}
	e := p.engines[a.GetId()]
	if e == nil {
		e = newEngine()
		p.engines[a.GetId()] = e
	}
	e.info = a
}

// SetVersion takes the version that an adapter must have.
func (p *Placer) SetVersion(v *wire.AdapterVersion) {
	adapter := v.GetModel() + "/" + v.GetAdapter()
	p.versions[adapter] = max(p.versions[adapter], v.GetVersion())
}

// Use is what all gateways have at one engine.
type Use struct {
	Requests float64
	// Adapters are those that the requests use.
	Adapters map[string]bool
}

// SetUse takes what all gateways have at each engine.
func (p *Placer) SetUse(uses map[string]*Use) {
	for id, e := range p.engines {
		e.use = Use{}
		if use := uses[id]; use != nil {
			e.use = *use
		}
	}
}

// Demand counts requests for an adapter.
func (p *Placer) Demand(now time.Time, adapter string, requests int) {
	d := p.demand[adapter]
	if d == nil {
		d = &demand{last: now}
		p.demand[adapter] = d
	}
	d.rate = d.at(now, p.policy.DemandHalfLife) + float64(requests)*ln2/p.policy.DemandHalfLife.Seconds()
	d.last = now
}

// Want notes that requests wait for an adapter that they can't use anywhere.
func (p *Placer) Want(now time.Time, adapter string, avoid []string) {
	w := p.wants[adapter]
	if w == nil {
		p.wants[adapter] = &want{avoid: avoid, since: now, seen: now, requests: 1}
		return
	}
	w.seen = now
	w.requests++
	for _, id := range avoid {
		if !slices.Contains(w.avoid, id) {
			w.avoid = append(w.avoid, id)
		}
	}
}

// Plan decides anew where what is wanted goes, and returns the orders to give now. Each
// engine has at most one under way that changes something, and one question. Its time
// grows with the engines and what is wanted; Next is enough after the end of one order.
func (p *Placer) Plan(now time.Time) []Order {
	p.forget(now)
	if !p.learnt {
		p.maxComing = max(firstMaxComing, float64(comingPerEngine*len(p.engines)))
	}
	p.buildIndex()
	p.assignWants(now)
	p.assignVersions()
	p.assignCopies(now)
	var orders []Order
	for _, id := range slices.Sorted(maps.Keys(p.engines)) {
		orders = append(orders, p.Next(now, id)...)
	}
	return orders
}

// Next returns the orders to give to one engine now.
func (p *Placer) Next(now time.Time, id string) []Order {
	e := p.engines[id]
	if e == nil || now.Before(e.waitUntil) {
		return nil
	}
	var orders []Order
	if o, ok := p.question(now, e); ok && !e.asking && e.reported {
		o.Backend, o.Address, o.After = id, e.info.GetAddress(), e.accepted
		e.asking = true
		orders = append(orders, o)
	}
	if e.busy {
		return orders
	}
	if o, ok := p.nextOrder(now, e); ok {
		if !o.repeated {
			o.Backend, o.Address, o.After = id, e.info.GetAddress(), e.accepted
		}
		e.busy = true
		orders = append(orders, o)
	}
	return orders
}

// buildIndex notes at which engines each adapter is or soon will be.
func (p *Placer) buildIndex() {
	p.index = make(map[string][]string, len(p.index))
	for id, e := range p.engines {
		if !e.serves() {
			continue
		}
		for adapter, held := range e.places {
			if held.state != dropping {
				p.index[adapter] = append(p.index[adapter], id)
			}
		}
		for _, adapter := range e.queue {
			if e.places[adapter] == nil {
				p.index[adapter] = append(p.index[adapter], id)
			}
		}
	}
}

// enqueue lets an engine load an adapter next.
func (p *Placer) enqueue(id, adapter string) {
	e := p.engines[id]
	e.queue = append(e.queue, adapter)
	p.index[adapter] = append(p.index[adapter], id)
}

func (p *Placer) forget(now time.Time) {
	for adapter, w := range p.wants {
		if now.Sub(w.seen) > p.policy.WantFor {
			delete(p.wants, adapter)
		}
	}
	for adapter, d := range p.demand {
		if d.at(now, p.policy.DemandHalfLife) < negligibleRate {
			delete(p.demand, adapter)
		}
	}
}

// maxQueue bounds the adapters that wait at one engine. What waits beyond that is kept
// in one list, so that the choice of what is loaded next is made late.
const maxQueue = 3

// maxWarmQueue is the bound for adapters whose weights the engine keeps: waiting for a
// place there is shorter than a load from the weight store elsewhere.
const maxWarmQueue = 6

// assignWants chooses engines for adapters that requests wait for. The adapter for which
// most requests wait goes first, and among equals the one that was asked for last: when
// not all can be loaded in time, requests that have just come can still be answered
// within their objective, and those that have waited long can not.
func (p *Placer) assignWants(now time.Time) {
	waiting := slices.SortedFunc(maps.Keys(p.wants), func(a, b string) int {
		if n := p.wants[b].requests - p.wants[a].requests; n != 0 {
			return n
		}
		if c := p.wants[b].since.Compare(p.wants[a].since); c != 0 {
			return c
		}
		return compareText(a, b)
	})
	misses := 0
	for _, adapter := range waiting {
		w := p.wants[adapter]
		if p.usable(adapter, w.avoid) {
			delete(p.wants, adapter)
			continue
		}
		if misses == maxMisses {
			continue
		}
		if id := p.chooseEngine(now, adapter, w.avoid); id != "" {
			p.enqueue(id, adapter)
			delete(p.wants, adapter)
			continue
		}
		misses++
	}
}

// maxMisses bounds the adapters for which a plan looks for an engine in vain: when the
// queues are full, hundreds may wait, and a plan must not take longer for it.
const maxMisses = 32

// usable reports whether an adapter is, or soon will be, at an engine that may be used.
func (p *Placer) usable(adapter string, avoid []string) bool {
	found := false
	for _, id := range p.index[adapter] {
		if slices.Contains(avoid, id) {
			continue
		}
		e := p.engines[id]
		held := e.places[adapter]
		if held != nil && held.state == leaving {
			// It has not gone yet, and may as well stay.
			held.state = ready
			p.touch(e)
		}
		found = found || held == nil || held.version >= p.versions[adapter]
	}
	return found
}

func (p *Placer) assignVersions() {
	for _, e := range p.engines {
		for adapter, held := range e.places {
			stale := held.state == ready && held.version < p.versions[adapter]
			if stale && !slices.Contains(e.queue, adapter) {
				e.queue = append(e.queue, adapter)
			}
		}
	}
}

// assignCopies gives hot adapters further copies.
func (p *Placer) assignCopies(now time.Time) {
	for adapter, d := range p.demand {
		rate := d.at(now, p.policy.DemandHalfLife)
		if rate < 1 {
			continue
		}
		have, slots := p.copies(adapter)
		if have == 0 || slots == 0 {
			continue
		}
		perCopy := min(p.policy.RatePerCopy, float64(slots)*p.policy.FillPerCopy/p.policy.RunTime.Seconds())
		if rate <= float64(have)*perCopy {
			continue
		}
		if id := p.chooseEngine(now, adapter, nil); id != "" {
			p.enqueue(id, adapter)
		}
	}
}

// copies counts where an adapter is or soon will be, as of the last plan.
func (p *Placer) copies(adapter string) (count int, slots uint32) {
	for _, id := range p.index[adapter] {
		if e := p.engines[id]; e != nil {
			count++
			slots = max(slots, e.info.GetSlots())
		}
	}
	return count, slots
}

// chooseEngine returns the engine that should load an adapter, or "" when none can.
// Each adapter prefers the same few engines, which keep a copy of its weights and of
// its prompts; among these the least loaded is taken.
func (p *Placer) chooseEngine(now time.Time, adapter string, avoid []string) string {
	best, least := "", 0.0
	for id, e := range p.engines {
		held := e.places[adapter]
		full := len(e.queue) >= maxWarmQueue || len(e.queue) >= maxQueue && !p.warm(e, adapter)
		if full || held != nil || !e.takesOrders() || slices.Contains(avoid, id) || slices.Contains(e.queue, adapter) {
			continue
		}
		if cost := p.cost(now, e, id, adapter); best == "" || cost < least {
			best, least = id, cost
		}
	}
	return best
}

const (
	// homeWeight is the cost, as a part of an engine's slots, of leaving an adapter's
	// preferred engine.
	homeWeight = 0.5
	// coldWeight is the cost of a load from the weight store. It takes ten times as long
	// as one from the engine's own memory, and the store is shared by all engines.
	coldWeight = 1.0
	// queueWeight is the cost of each adapter that is on its way to the engine.
	queueWeight = 0.1
)

func (p *Placer) cost(now time.Time, e *engine, id, adapter string) float64 {
	cost := e.use.Requests/float64(max(1, e.info.GetSlots())) + homeWeight*distance(adapter, id)
	if !p.warm(e, adapter) {
		cost += coldWeight
	}
	cost += queueWeight * float64(len(e.queue)+e.coming())
	if now.Before(e.waitUntil) {
		cost += 1
	}
	return cost
}

// distance is a number in [0, 1) that is the same at any time for an adapter and an
// engine's address, as in rendezvous hashing.
func distance(adapter, id string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(adapter + "|" + id))
	x := h.Sum64()
	// FNV mixes the last bytes poorly into the high bits.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}

// TakeLoaded returns the adapters that were loaded since the last call.
func (p *Placer) TakeLoaded() []string {
	fresh := p.fresh
	p.fresh = nil
	return fresh
}

// Ready reports whether requests may use an adapter somewhere.
func (p *Placer) Ready(adapter string) bool {
	for _, e := range p.engines {
		if held := e.places[adapter]; held != nil && held.state == ready && e.serves() {
			return true
		}
	}
	return false
}

// Revision grows with each change of what the gateways have to know.
func (p *Placer) Revision() uint64 { return p.revision }

// Since returns what the engines hold whose holdings changed after a revision.
func (p *Placer) Since(revision uint64) []*wire.Holding {
	var list []*wire.Holding
	for _, id := range slices.Sorted(maps.Keys(p.engines)) {
		e := p.engines[id]
		if e.revision <= revision || !e.reported {
			continue
		}
		h := &wire.Holding{Backend: id}
		for adapter, held := range e.places {
			if held.state == ready {
				h.Adapters = append(h.Adapters, adapter+"@"+strconv.FormatUint(held.version, 10))
			}
		}
		list = append(list, h)
	}
	return list
}

func (p *Placer) touch(e *engine) {
	p.revision++
	e.revision = p.revision
}

const (
	ln2 = 0.6931
	// assumedRate is the requests a second that are assumed for adapters which an engine
	// held before their leader began: a few times that of one that was asked for once.
	assumedRate = 0.5
	// negligibleRate is the requests a second below which demand is forgotten.
	negligibleRate = 0.001
)

// at returns the rate after the time that has passed since the last request.
func (d *demand) at(now time.Time, halfLife time.Duration) float64 {
	return d.rate * halving(float64(now.Sub(d.last))/float64(halfLife))
}

// termShift makes the revisions of a later term higher than all of an earlier one.
const termShift = 32

// Begin starts the placer for a term.
func (p *Placer) Begin(term uint64) { p.revision = term << termShift }

// Summary counts what the placer has in hand.
type Summary struct {
	// Engines may take adapters; Unusable are known but may not.
	Engines  int
	Unusable int
	// Ready, Loading and Going are adapters in places, Queued those that wait for one.
	Ready   int
	Loading int
	Going   int
	Queued  int
	// Wanted are adapters that no engine could be chosen for.
	Wanted int
	// ColdLoad, MaxComing and HostAdapters are what has been learnt.
	ColdLoad     time.Duration
	MaxComing    int
	HostAdapters int
}

// Summary returns the counts of now.
func (p *Placer) Summary() Summary {
	s := Summary{
		Wanted: len(p.wants), ColdLoad: p.coldLoad, MaxComing: int(p.maxComing), HostAdapters: p.hostAdapters,
	}
	for _, e := range p.engines {
		if !e.takesOrders() {
			s.Unusable++
			continue
		}
		s.Engines++
		s.Queued += len(e.queue)
		for _, held := range e.places {
			switch held.state {
			case ready:
				s.Ready++
			case loading:
				s.Loading++
			case leaving, dropping:
				s.Going++
			}
		}
	}
	return s
}
