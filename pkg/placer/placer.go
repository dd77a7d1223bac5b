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
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"bronzelead.example/pkg/throttler"
	"bronzelead.example/pkg/wire"
)

// OrderKind says what an order asks for.
type OrderKind int

// The kinds of orders.
const (
	// Report asks an engine for its state.
	Report OrderKind = iota
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
func (k OrderKind) String() string {
	return [...]string{"Report", "Load", "Confirm", "Unload", "LoadModel"}[k]
}

// Order is an instruction to one engine.
type Order struct {
	Kind OrderKind
	// Backend is the start that is meant; Address, Name and BornMs are as it announced them.
	Backend string
	Address string
	Name    string
	BornMs  uint64
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
	// Completed means that what was asked for is the case.
	Completed
	// Conflict means that the engine has accepted another number of orders.
	Conflict
	// Refused means that the engine does not carry it out.
	Refused
	// WrongIncarnation means that the engine is another start than the one meant.
	WrongIncarnation
)

// EngineState is what an engine reported of itself.
type EngineState struct {
	Accepted uint64
	// Models are the base models there.
	Models   []string
	Adapters []string
	Loading  []string
}

// Placer holds what the leader knows. Make one with New.
type Placer struct {
	*LearnedState
	limits   map[string]*wire.EngineLimits
	engines  map[string]*engine
	versions map[string]uint64
	wants    map[string]*want
	revision uint64
	// changed are the engines whose holdings changed since TakeChanged was called last.
	changed map[string]bool
	// index lists the engines at which each adapter is or soon will be, as of the last plan.
	index map[string][]string
	// dropping lists those from which each adapter goes, as of the last plan.
	dropping map[string][]string
	// fresh are adapters that were loaded since TakeLoaded was called last.
	fresh []string
	// dropped counts wants that could not be met in time, and declined are those since
	// TakeDeclined was called last.
	dropped  int
	declined []string
	// pace is the rate at which loads end, and crowdedSince is since when more adapters wait
	// than there are engines; zero if that is not so.
	pace         pace
	crowdedSince time.Time
	// cold is the number of cold loads on their way, if coldKnown is set.
	cold      int
	coldKnown bool
	// modelLoadAt is when the weight store allows the next load of a base model.
	modelLoadAt time.Time
}

type want struct {
	avoid []string
	since time.Time
	// until is when the last of the requests that wait gives up.
	until time.Time
	// requests is about how many requests wait.
	requests int
}

// New returns a placer that knows nothing yet.
func New(policy Policy) *Placer { return NewWith(NewLearnedState(policy)) }

// NewWith returns a placer that goes on from what a leader before it has learnt.
func NewWith(k *LearnedState) *Placer {
	return &Placer{
		LearnedState: k, limits: map[string]*wire.EngineLimits{}, engines: map[string]*engine{},
		versions: map[string]uint64{}, wants: map[string]*want{}, changed: map[string]bool{},
	}
}

// Until loads have shown how many the weight store carries at once, two for each engine
// are assumed, and at least firstMaxComing.
const (
	firstMaxComing  = 24
	comingPerEngine = 2
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
		e = newEngine(p.memory(a.GetId()))
		p.engines[a.GetId()] = e
	}
	e.info = a
}

// SetLimit takes the request limit of an engine.
func (p *Placer) SetLimit(id string, limit throttler.Limit) {
	if e := p.engines[id]; e != nil {
		e.limit = limit
	}
}

// SetVersion takes the version that an adapter must have.
func (p *Placer) SetVersion(v *wire.AdapterVersion) {
	adapter := v.GetModel() + "/" + v.GetAdapter()
	p.versions[adapter] = max(p.versions[adapter], v.GetVersion())
}

// Usage is what all gateways have at one engine.
type Usage struct {
	Requests float64
	// Adapters are those that the requests use.
	Adapters map[string]bool
}

// SetUsage takes what all gateways have at each engine.
func (p *Placer) SetUsage(uses map[string]*Usage) {
	for id, e := range p.engines {
		e.use = Usage{}
		if use := uses[id]; use != nil {
			e.use = *use
		}
	}
}

// RequestLoad notes that requests wait, until then, for an adapter that they can't use anywhere.
// A zero until stands for the policy's time.
func (p *Placer) RequestLoad(now time.Time, adapter string, avoid []string, until time.Time) {
	if until.IsZero() {
		until = now.Add(p.policy.PendingLoadTimeout)
	}
	w := p.wants[adapter]
	if w == nil {
		p.wants[adapter] = &want{avoid: avoid, since: now, until: until, requests: 1}
		return
	}
	if w.until.Before(until) {
		w.until = until
	}
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
	p.coldKnown = false
	p.buildIndex()
	p.findRooms(now)
	p.assignWants(now)
	p.assignVersions()
	p.assignCopies(now)
	var orders []Order
	for _, id := range slices.Sorted(maps.Keys(p.engines)) {
		orders = append(orders, p.next(now, id)...)
	}
	return orders
}

// NextOrders returns the orders to give to one engine now.
func (p *Placer) NextOrders(now time.Time, id string) []Order {
	p.coldKnown = false
	return p.next(now, id)
}

func (p *Placer) next(now time.Time, id string) []Order {
	e := p.engines[id]
	if e == nil || now.Before(e.waitUntil) {
		return nil
	}
	var orders []Order
	if o, ok := p.question(now, e); ok && !e.asking && e.reported {
		o.addressTo(e)
		e.asking, e.askedAt = true, now
		if held := e.places[o.Adapter]; now.Sub(held.at) > lateSight {
			held.repeated = true
		}
		orders = append(orders, o)
	}
	if e.busy {
		return orders
	}
	if o, ok := p.nextOrder(now, e); ok {
		if !o.repeated {
			o.addressTo(e)
		}
		e.busy = true
		orders = append(orders, o)
	}
	return orders
}

// addressTo makes an order one to an engine, after all that this has accepted so far.
func (o *Order) addressTo(e *engine) {
	o.Backend, o.Address, o.Name, o.BornMs = e.info.GetId(), e.info.GetAddress(), e.info.GetName(), e.info.GetBornMs()
	o.After = e.accepted
}

// buildIndex notes at which engines each adapter is or soon will be.
func (p *Placer) buildIndex() {
	p.index = make(map[string][]string, len(p.index))
	p.dropping = map[string][]string{}
	for id, e := range p.engines {
		if !e.serves() {
			continue
		}
		for adapter, held := range e.places {
			if held.state == dropping {
				p.dropping[adapter] = append(p.dropping[adapter], id)
				continue
			}
			p.index[adapter] = append(p.index[adapter], id)
		}
		for _, q := range e.queue {
			if e.places[q.adapter] == nil {
				p.index[q.adapter] = append(p.index[q.adapter], id)
			}
		}
	}
}

func (p *Placer) forget(now time.Time) {
	for adapter, w := range p.wants {
		if now.After(w.until) {
			p.drop(adapter)
		}
	}
	p.PruneDemand(now)
}

const (
	ln2 = 0.6931
	// assumedRate is the requests a second that are assumed for adapters which an engine
	// held before their leader began: a few times that of one that was asked for once.
	assumedRate = 0.5
	// negligibleRate is the requests a second below which demand is forgotten.
	negligibleRate = 0.001
)

func halving(halves float64) float64 { return math.Exp2(-max(0, halves)) }

func compareText(a, b string) int { return strings.Compare(a, b) }

// Begin starts the placer for a term.
func (p *Placer) Begin(term uint64) { p.revision = term << termShift }

// termShift makes the revisions of a later term higher than all of an earlier one.
const termShift = 32
