// Package placer decides which adapters are loaded at which engines, for a leader that alone
// gives orders. It is pure: demand, reports and the outcomes of orders go in, orders come out.
//
// It answers three load patterns. Many rare adapters at once: each is loaded when a request
// waits for it, at an engine with a slot that is kept free ahead of need. Shifting demand:
// popularity decays within seconds, and adapters without requests are unloaded first. A hot
// adapter: it gets replicas in proportion to its requests.
package placer

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"bronzelead.example/pkg/throttler"
	"bronzelead.example/pkg/wire"
)

// OrderKind is the kind of an order.
type OrderKind int

// The kinds of orders.
const (
	// Report requests an engine's state.
	Report OrderKind = iota
	// Load loads an adapter.
	Load
	// Confirm is a load sent again, to check whether the adapter is loaded.
	Confirm
	// Unload unloads an adapter.
	Unload
	// LoadModel loads a base model, without which an engine takes no adapters.
	LoadModel
)

// String returns the kind's name.
func (k OrderKind) String() string {
	return [...]string{"Report", "Load", "Confirm", "Unload", "LoadModel"}[k]
}

// Order is an instruction to one engine.
type Order struct {
	Kind OrderKind
	// Backend is the incarnation that is meant; Address, Name and BornMs are as it announced
	// them.
	Backend string
	Address string
	Name    string
	BornMs  uint64
	// Adapter is MODEL/NAME, or the base model alone.
	Adapter string
	// Version is the version to load; 0 is the newest.
	Version uint64
	// After is the number of orders that the engine has accepted so far.
	After uint64

	// retried is set if the order is sent again after no answer.
	retried bool
}

// Outcome is the result of an order.
type Outcome int

// The outcomes of orders.
const (
	// Unknown means that no answer came; the order may still be carried out.
	Unknown Outcome = iota
	// Unreachable means that no connection could be opened, so that nothing was sent.
	Unreachable
	// Accepted means that the engine carries it out.
	Accepted
	// Completed means that the requested state is reached.
	Completed
	// Conflict means that the engine has accepted another number of orders.
	Conflict
	// Refused means that the engine does not carry it out.
	Refused
	// WrongIncarnation means that the engine is another incarnation than the one meant.
	WrongIncarnation
)

// Reply is the outcome of an order with what came with it.
type Reply struct {
	Outcome Outcome
	// State is set for reports that were answered.
	State *EngineState
	// Backoff is how long the engine accepts no calls; 0 if it does not say.
	Backoff time.Duration
}

// EngineState is what an engine reported of itself.
type EngineState struct {
	Accepted uint64
	// Models are the base models that are loaded.
	Models   []string
	Adapters []string
	Loading  []string
}

// Placer holds the leader's view of engines and pending loads. Create one with New.
type Placer struct {
	*LearnedState
	limits       map[string]*wire.EngineLimits
	engines      map[string]*engine
	versions     map[string]uint64
	pendingLoads map[string]*pendingLoad
	revision     uint64
	// changed are the engines whose holdings changed since the last TakeChanged.
	changed map[string]bool
	// locations lists the engines at which each adapter is or soon will be, as of the last
	// plan.
	locations map[string][]string
	// unloadingAt lists those that unload each adapter, as of the last plan.
	unloadingAt map[string][]string
	// loaded are adapters that were loaded since the last TakeLoaded.
	loaded []string
	// declinedTotal counts loads that were not possible in time, and declined are those since
	// the last TakeDeclined.
	declinedTotal int
	declined      []string
	// loadRate is the rate at which loads end, and overloadedSince is since when more adapters
	// wait than there are engines; zero if that is not so.
	loadRate        loadRate
	overloadedSince time.Time
	// coldLoadCount is the number of cold loads in flight, if coldLoadCountValid is set.
	coldLoadCount      int
	coldLoadCountValid bool
	storeMeter         storeMeter
	// spareRequests are the spare replicas that were requested since the last plan, with the
	// engines to avoid. sparesGranted and sparesDenied count the decisions in this leader's term,
	// takenGranted and takenDenied those that TakeSpares has returned.
	spareRequests map[string][]string
	sparesGranted int
	sparesDenied  int
	takenGranted  int
	takenDenied   int
	// nextModelLoad is when the weight store allows the next load of a base model.
	nextModelLoad time.Time
}

type pendingLoad struct {
	avoid []string
	since time.Time
	// deadline is when the last of the waiting requests times out.
	deadline time.Time
	// requests is about how many requests wait.
	requests int
}

// New returns a placer without learned state.
func New(policy Policy) *Placer { return NewWith(NewLearnedState(policy)) }

// NewWith returns a placer that continues from what an earlier leader has learned.
func NewWith(learned *LearnedState) *Placer {
	return &Placer{
		LearnedState: learned, limits: map[string]*wire.EngineLimits{}, engines: map[string]*engine{},
		versions: map[string]uint64{}, pendingLoads: map[string]*pendingLoad{}, changed: map[string]bool{}, spareRequests: map[string][]string{},
	}
}

// Until loads have shown how many the weight store carries at once, two for each engine are
// assumed, and at least initialStoreConcurrency.
const (
	initialStoreConcurrency   = 24
	storeConcurrencyPerEngine = 2
)

// SetTable takes the engines' limits from a table.
func (p *Placer) SetTable(table *wire.RoutingTable) {
	clear(p.limits)
	for _, s := range table.GetServices() {
		if s.GetEngine() != nil {
			p.limits[s.GetName()] = s.GetEngine()
		}
	}
}

// SetEngine takes the announcement of a backend server and ignores those that are no engines.
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
		e = newEngine(p.cache(a.GetId()))
		p.engines[a.GetId()] = e
	}
	e.info = a
}

// SetLimit sets the request limit of an engine.
func (p *Placer) SetLimit(id string, limit throttler.Limit) {
	if e := p.engines[id]; e != nil {
		e.limit = limit
	}
}

// SetPace sets how long an engine takes for the same work, relative to the median of its service; 1
// if it does not differ.
func (p *Placer) SetPace(id string, pace float64) {
	if e := p.engines[id]; e != nil {
		e.pace = pace
	}
}

// SetVersion sets the version that an adapter must have.
func (p *Placer) SetVersion(v *wire.AdapterVersion) {
	adapter := v.GetModel() + "/" + v.GetAdapter()
	p.versions[adapter] = max(p.versions[adapter], v.GetVersion())
}

// Usage is the load of all gateways at one engine.
type Usage struct {
	Requests float64
	// Adapters are those that the requests use.
	Adapters map[string]bool
	// BackingOff is the share of the gateways from which the engine accepts no requests for a
	// time.
	BackingOff float64
}

// SetUsage sets the load of all gateways at each engine.
func (p *Placer) SetUsage(usages map[string]*Usage) {
	for id, e := range p.engines {
		e.usage = Usage{}
		if usage := usages[id]; usage != nil {
			e.usage = *usage
		}
	}
}

// RequestLoad records that requests wait, until the deadline, for an adapter that they can't
// use anywhere. A zero deadline stands for the policy's PendingLoadTimeout.
func (p *Placer) RequestLoad(now time.Time, adapter string, avoid []string, deadline time.Time) {
	if deadline.IsZero() {
		deadline = now.Add(p.policy.PendingLoadTimeout)
	}
	w := p.pendingLoads[adapter]
	if w == nil {
		p.pendingLoads[adapter] = &pendingLoad{avoid: avoid, since: now, deadline: deadline, requests: 1}
		return
	}
	if w.deadline.Before(deadline) {
		w.deadline = deadline
	}
	w.requests++
	for _, id := range avoid {
		if !slices.Contains(w.avoid, id) {
			w.avoid = append(w.avoid, id)
		}
	}
}

// Plan assigns pending loads and returns the orders to give now. Each engine has at most one
// order in flight that changes something, and one Confirm. The time of a plan grows with the
// engines and the pending loads; after the end of one order, NextOrders is enough.
func (p *Placer) Plan(now time.Time) []Order {
	p.expire(now)
	if !p.measured {
		p.storeConcurrency = max(initialStoreConcurrency, float64(storeConcurrencyPerEngine*len(p.engines)))
	}
	p.coldLoadCountValid = false
	p.storeMeter.set(now, p.coldLoadsInFlight())
	p.buildLocations()
	p.computeSlotCosts(now)
	p.observeOverload(now)
	p.assignPendingLoads(now)
	p.assignVersions()
	p.assignReplicas(now)
	p.assignSpares(now)
	var orders []Order
	for _, id := range slices.Sorted(maps.Keys(p.engines)) {
		orders = append(orders, p.nextOrders(now, id)...)
	}
	return orders
}

// NextOrders returns the orders to give to one engine now.
func (p *Placer) NextOrders(now time.Time, id string) []Order {
	p.coldLoadCountValid = false
	return p.nextOrders(now, id)
}

func (p *Placer) nextOrders(now time.Time, id string) []Order {
	e := p.engines[id]
	if e == nil || now.Before(e.backoffUntil) || now.Before(e.rejectsUntil) {
		return nil
	}
	var orders []Order
	if o, ok := p.nextConfirm(now, e); ok && !e.confirmInFlight && e.reported {
		o.address(e)
		e.confirmInFlight, e.confirmSentAt = true, now
		if slot := e.slots[o.Adapter]; now.Sub(slot.nextCheck) > maxObservationDelay {
			slot.timingInvalid = true
		}
		orders = append(orders, o)
	}
	if e.orderInFlight {
		return orders
	}
	if o, ok := p.nextOrder(now, e); ok {
		if !o.retried {
			o.address(e)
		}
		e.orderInFlight = true
		orders = append(orders, o)
	}
	return orders
}

// address addresses an order to an engine, after all that this has accepted so far.
func (o *Order) address(e *engine) {
	o.Backend, o.Address, o.Name, o.BornMs = e.info.GetId(), e.info.GetAddress(), e.info.GetName(), e.info.GetBornMs()
	o.After = e.acceptedOrders
}

// buildLocations records at which engines each adapter is or soon will be.
func (p *Placer) buildLocations() {
	p.locations = make(map[string][]string, len(p.locations))
	p.unloadingAt = map[string][]string{}
	for id, e := range p.engines {
		if !e.servesRequests() {
			continue
		}
		for adapter, slot := range e.slots {
			if slot.state == unloading {
				p.unloadingAt[adapter] = append(p.unloadingAt[adapter], id)
				continue
			}
			p.locations[adapter] = append(p.locations[adapter], id)
		}
		for _, q := range e.queue {
			if e.slots[q.adapter] == nil {
				p.locations[q.adapter] = append(p.locations[q.adapter], id)
			}
		}
	}
}

func (p *Placer) expire(now time.Time) {
	for adapter, w := range p.pendingLoads {
		if now.After(w.deadline) {
			p.decline(adapter)
		}
	}
	p.PruneDemand(now)
}

const (
	ln2 = 0.6931
	// assumedRate is the requests per second assumed for adapters that an engine held before
	// the leader's term: a few times that of one that was requested once.
	assumedRate = 0.5
	// negligibleRate is the requests per second below which demand is dropped.
	negligibleRate = 0.001
)

func decayFactor(halves float64) float64 { return math.Exp2(-max(0, halves)) }

func compareText(a, b string) int { return strings.Compare(a, b) }

// Begin starts the placer for a term.
func (p *Placer) Begin(term uint64) { p.revision = term << termShift }

// termShift makes the revisions of a later term higher than all of an earlier one.
const termShift = 32
