package planner

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bronzelead.example/pkg/wire"
)

const (
	// fillTarget is the part of an engine's batch that one adapter should fill
	// before it gets a second engine.
	fillTarget     = 0.75
	forgetAdapters = 4 * popularityIn
	forgetEvery    = 10 * time.Second
	// roundsAhead bounds how many times the loads at once are looked at in a plan.
	roundsAhead = 16
)

// Plan returns the orders that are due. Each is under way until Done is called.
func (p *Planner) Plan(now time.Time) []Order {
	p.ExpireEngines(now)
	p.refill(now)
	p.forgetIdle(now)
	orders := p.unloads(now)
	clearing := p.clearingSoon()
	recalls := p.Policy.MaxConcurrentLoads
	for _, a := range p.wanting(now) {
		e := p.roomFor(now, a)
		switch {
		case e == nil && clearing > 0:
			// A slot that is being cleared is for this adapter.
			clearing--
		case e == nil && recalls > 0:
			recalls--
			p.makeRoom(now, a)
		case e != nil && p.loading < p.Policy.MaxConcurrentLoads && p.tokens >= 1:
			orders = append(orders, p.load(now, e, a))
		}
	}
	return orders
}

func (p *Planner) refill(now time.Time) {
	p.tokens += now.Sub(p.filledAt).Seconds() * p.Policy.LoadsPerSecond
	p.tokens = min(p.tokens, max(1, float64(p.Policy.MaxConcurrentLoads)))
	p.filledAt = now
}

func (p *Planner) forgetIdle(now time.Time) {
	if now.Sub(p.forgotAt) < forgetEvery {
		return
	}
	p.forgotAt = now
	for name, a := range p.adapters {
		if a.outstanding() == 0 && now.Sub(a.lastUsed) > forgetAdapters {
			delete(p.adapters, name)
		}
	}
}

// unloads orders away recalled adapters on which nobody holds a lease any more.
func (p *Planner) unloads(now time.Time) []Order {
	if !p.settled {
		return nil
	}
	var orders []Order
	for pl := range p.clearing {
		e := p.engines[pl.Backend]
		if pl.State == Recalling && len(pl.holders) == 0 && p.mayOrder(now, e) {
			p.turn(now, pl, Unloading)
			orders = append(orders, p.order(now, Unload, e, pl))
		}
	}
	return orders
}

// clearingSoon counts the places that are being cleared at engines that answer. One at an
// engine that does not may never come free, and nothing must wait for it.
func (p *Planner) clearingSoon() int {
	n := 0
	for pl := range p.clearing {
		if p.engines[pl.Backend].reachable() {
			n++
		}
	}
	return n
}

// wanting returns the adapters that need one more engine, most urgent first. No
// more are returned than a few rounds of loads could serve.
func (p *Planner) wanting(now time.Time) []*adapter {
	var all []*adapter
	for _, a := range p.active {
		if now.Before(a.notBefore) {
			continue
		}
		n := p.replicas(a.name)
		if n.loading == 0 && n.all < p.replicasFor(a) {
			all = append(all, a)
		}
	}
	slices.SortFunc(all, func(a, b *adapter) int {
		return cmp.Or(cmp.Compare(p.urgency(now, b), p.urgency(now, a)), cmp.Compare(a.name, b.name))
	})
	return all[:min(len(all), roundsAhead*p.Policy.MaxConcurrentLoads)]
}

// urgency weighs how long requests have waited against how many would share the
// engine's steps.
func (p *Planner) urgency(now time.Time, a *adapter) float64 {
	if a.since.IsZero() {
		return 0
	}
	waited := now.Sub(a.since).Seconds()
	return p.Policy.StallWeight*waited + p.Policy.BatchWeight*float64(a.waiting.total)
}

type replicaCount struct{ all, loading int }

func (p *Planner) replicas(name string) replicaCount {
	n := replicaCount{}
	for backend, pl := range p.placed[name] {
		if p.engines[backend].takesWork() && (pl.State == Loading || pl.State == Loaded) {
			n.all++
		}
		if pl.State == Loading {
			n.loading++
		}
	}
	return n
}

// replicasFor keeps an adapter on few engines, so that gateways that don't talk to
// each other still fill the same batches.
func (p *Planner) replicasFor(a *adapter) int {
	batch := float64(p.group(a.base).batch)
	return max(1, int(math.Ceil(float64(a.outstanding())/(batch*fillTarget))))
}

// engineGroup is the engines of one base model.
type engineGroup struct {
	engines []*engine
	// batch is the largest batch of any of them.
	batch uint32
}

func (p *Planner) group(base string) *engineGroup {
	if p.byBase == nil {
		p.byBase = map[string]*engineGroup{}
		for _, name := range slices.Sorted(maps.Keys(p.engines)) {
			e := p.engines[name]
			g := p.byBase[e.info.GetBaseModel()]
			if g == nil {
				g = &engineGroup{batch: 1}
				p.byBase[e.info.GetBaseModel()] = g
			}
			g.engines = append(g.engines, e)
			g.batch = max(g.batch, e.info.GetBatch())
		}
	}
	if g := p.byBase[base]; g != nil {
		return g
	}
	return &engineGroup{batch: 1}
}

// roomFor returns the least loaded engine with a free slot for an adapter.
func (p *Planner) roomFor(now time.Time, a *adapter) *engine {
	var best *engine
	for _, e := range p.usable(now, a) {
		if len(e.placements) >= int(e.info.GetSlots()) {
			continue
		}
		if best == nil || p.burden(e) < p.burden(best) {
			best = e
		}
	}
	return best
}

// usable returns the engines that may be ordered to load an adapter, by name.
func (p *Planner) usable(now time.Time, a *adapter) []*engine {
	var all []*engine
	for _, e := range p.group(a.base).engines {
		if !e.takesWork() || !p.mayOrder(now, e) {
			continue
		}
		if e.placements[a.name] != nil || now.Before(a.avoid[e.info.GetName()]) {
			continue
		}
		all = append(all, e)
	}
	return all
}

// mayOrder keeps a new leader from ordering engines that do not check fencing
// numbers while an order of the old leader can still arrive, and leaves engines alone
// that have not answered.
func (p *Planner) mayOrder(now time.Time, e *engine) bool {
	if now.Before(e.notBefore) {
		return false
	}
	return e.info.GetChecksFencing() || now.Sub(p.started) > p.Policy.OrderTimeout
}

// burden is an engine's work: what it reported, and what the adapters on it have
// drawn since.
func (p *Planner) burden(e *engine) float64 {
	reported := float64(e.info.GetRunning() + e.info.GetWaiting())
	return reported + float64(len(e.placements))
}

// makeRoom recalls one adapter, so that a later plan finds a free slot. Adapters
// without demand go first; one in use goes only for one that has starved.
func (p *Planner) makeRoom(now time.Time, a *adapter) {
	if !p.settled {
		return
	}
	var idle, busy []*Placement
	for _, e := range p.usable(now, a) {
		for _, pl := range e.placements {
			if pl.State != Loaded || now.Sub(pl.Since) < p.Policy.MinResidence {
				continue
			}
			p.describe(now, pl)
			if p.inDemand(pl) {
				busy = append(busy, pl)
				continue
			}
			idle = append(idle, pl)
		}
	}
	candidates := idle
	starved := !a.since.IsZero() && now.Sub(a.since) > p.Policy.StarveAfter
	if len(candidates) == 0 && starved {
		candidates = busy
	}
	if len(candidates) == 0 {
		return
	}
	p.startRecall(now, p.pick(candidates))
}

func (p *Planner) startRecall(now time.Time, pl *Placement) {
	p.turn(now, pl, Recalling)
	for id, lease := range pl.holders {
		p.recall(id, lease)
	}
}

func (p *Planner) inDemand(pl *Placement) bool {
	a := p.adapters[pl.Adapter]
	return a != nil && a.outstanding() > 0
}

func (p *Planner) describe(now time.Time, pl *Placement) {
	if a := p.adapters[pl.Adapter]; a != nil {
		a.decay(now)
		pl.Popularity = a.popularity
		pl.LastUsed = a.lastUsed
	} else {
		pl.Popularity = 0
	}
}

func (p *Planner) pick(candidates []*Placement) *Placement {
	if p.Policy.Evict != nil {
		return p.Policy.Evict(candidates)
	}
	return LeastPopular(candidates)
}

// LeastPopular picks the adapter with the fewest requests lately.
func LeastPopular(candidates []*Placement) *Placement {
	return slices.MinFunc(candidates, func(a, b *Placement) int {
		return cmp.Or(
			cmp.Compare(a.Popularity, b.Popularity),
			a.LastUsed.Compare(b.LastUsed),
			cmp.Compare(a.Backend, b.Backend),
			cmp.Compare(a.Adapter, b.Adapter))
	})
}

// LeastRecentlyUsed picks the adapter that was unused for longest; the baseline.
func LeastRecentlyUsed(candidates []*Placement) *Placement {
	return slices.MinFunc(candidates, func(a, b *Placement) int {
		return cmp.Or(
			a.LastUsed.Compare(b.LastUsed),
			cmp.Compare(a.Backend, b.Backend),
			cmp.Compare(a.Adapter, b.Adapter))
	})
}

func (p *Planner) load(now time.Time, e *engine, a *adapter) Order {
	pl := p.place(now, e, a.name, Loading)
	delete(e.unloaded, a.name)
	p.loading++
	p.tokens--
	return p.order(now, Load, e, pl)
}

func (p *Planner) order(now time.Time, kind OrderKind, e *engine, pl *Placement) Order {
	if !e.reachable() {
		// One order at a time shows whether it answers again.
		e.notBefore = now.Add(p.Policy.OrderTimeout)
	}
	pl.order = OrderID(p.next())
	p.orders[pl.order] = pl
	return Order{
		ID: pl.order, Term: p.term, Kind: kind, Backend: pl.Backend,
		Incarnation: pl.Incarnation, Address: e.info.GetAddress(), Adapter: pl.Adapter,
	}
}

// RecordOutcome takes in how an order ended.
func (p *Planner) RecordOutcome(now time.Time, id OrderID, outcome Outcome) {
	pl := p.orders[id]
	if pl == nil {
		return
	}
	kind, ok := pl.State, outcome == Completed
	p.closeOrder(pl)
	e := p.engines[pl.Backend]
	p.noteAnswer(now, e, outcome)
	switch {
	case kind == Loading && ok:
		p.turn(now, pl, Loaded)
		p.succeeded(pl)
	case kind == Loading:
		p.remove(e, pl)
		p.failed(now, pl)
	case ok:
		p.remove(e, pl)
		e.unloaded[pl.Adapter] = now
	default:
		// The adapter may still be there; the engine's next list tells.
		p.turn(now, pl, Recalling)
	}
}

// noteAnswer counts the orders in a row that an engine has not answered.
func (p *Planner) noteAnswer(now time.Time, e *engine, outcome Outcome) {
	if outcome != Unanswered {
		e.unanswered, e.notBefore = 0, time.Time{}
		return
	}
	e.unanswered++
	e.notBefore = now.Add(p.Policy.FailureBackoff.Delay(e.unanswered, rand.Float64()))
}

func (p *Planner) closeOrder(pl *Placement) {
	delete(p.orders, pl.order)
	pl.order = 0
	if pl.State == Loading {
		p.loading--
	}
}

func (p *Planner) succeeded(pl *Placement) {
	if a := p.adapters[pl.Adapter]; a != nil {
		a.failures = 0
	}
}

// failed backs the adapter off, longer each time, and sends it elsewhere, so that
// one that can't be loaded does not use up the weight store.
func (p *Planner) failed(now time.Time, pl *Placement) {
	a := p.adapters[pl.Adapter]
	if a == nil {
		return
	}
	a.failures++
	wait := p.Policy.FailureBackoff.Delay(a.failures, 0)
	a.notBefore = now.Add(wait)
	a.avoid[pl.Backend] = now.Add(2 * wait)
}

// Backend returns what an engine last announced, or nil.
func (p *Planner) Backend(name string) *wire.Backend {
	if e := p.engines[name]; e != nil {
		return e.info
	}
	return nil
}
