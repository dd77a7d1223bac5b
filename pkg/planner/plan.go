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
	// targetBatchFill is the part of an engine's batch that one adapter should fill before it
	// gets a second engine.
	targetBatchFill       = 0.75
	adapterExpiry         = 4 * popularityDecay
	adapterExpiryInterval = 10 * time.Second
	// maxLoadRounds bounds the adapters in a plan, in multiples of MaxConcurrentLoads.
	maxLoadRounds = 16
)

// Plan returns the orders that are due. Each is in flight until RecordOutcome is called.
func (p *Planner) Plan(now time.Time) []Order {
	p.ExpireEngines(now)
	p.refillTokens(now)
	p.expireAdapters(now)
	orders := p.dueUnloads(now)
	clearing := p.countClearing()
	recalls := p.Policy.MaxConcurrentLoads
	for _, a := range p.adaptersToLoad(now) {
		e := p.engineWithFreeSlot(now, a)
		switch {
		case e == nil && clearing > 0:
			// A slot that is being cleared is reserved for this adapter.
			clearing--
		case e == nil && recalls > 0:
			recalls--
			p.recallVictim(now, a)
		case e != nil && p.loading < p.Policy.MaxConcurrentLoads && p.tokens >= 1:
			orders = append(orders, p.orderLoad(now, e, a))
		}
	}
	return orders
}

func (p *Planner) refillTokens(now time.Time) {
	p.tokens += now.Sub(p.refilledAt).Seconds() * p.Policy.LoadsPerSecond
	p.tokens = min(p.tokens, max(1, float64(p.Policy.MaxConcurrentLoads)))
	p.refilledAt = now
}

func (p *Planner) expireAdapters(now time.Time) {
	if now.Sub(p.adaptersExpiredAt) < adapterExpiryInterval {
		return
	}
	p.adaptersExpiredAt = now
	for name, a := range p.adapters {
		if a.outstanding() == 0 && now.Sub(a.lastUsed) > adapterExpiry {
			delete(p.adapters, name)
		}
	}
}

// dueUnloads orders the unload of recalled adapters on which no session holds a lease any more.
func (p *Planner) dueUnloads(now time.Time) []Order {
	if !p.synced {
		return nil
	}
	var orders []Order
	for pl := range p.clearing {
		e := p.engines[pl.Backend]
		if pl.State == Recalling && len(pl.holders) == 0 && p.mayOrder(now, e) {
			p.setState(now, pl, Unloading)
			orders = append(orders, p.newOrder(now, Unload, e, pl))
		}
	}
	return orders
}

// countClearing counts the slots that are being cleared at engines that answer. One at an
// engine that does not may never become free, and nothing must wait for it.
func (p *Planner) countClearing() int {
	n := 0
	for pl := range p.clearing {
		if p.engines[pl.Backend].reachable() {
			n++
		}
	}
	return n
}

// adaptersToLoad returns the adapters that need one more engine, most urgent first, and no more
// than a few rounds of loads could serve.
func (p *Planner) adaptersToLoad(now time.Time) []*adapter {
	var all []*adapter
	for _, a := range p.active {
		if now.Before(a.notBefore) {
			continue
		}
		n := p.replicas(a.name)
		if n.loading == 0 && n.all < p.targetReplicas(a) {
			all = append(all, a)
		}
	}
	slices.SortFunc(all, func(a, b *adapter) int {
		return cmp.Or(cmp.Compare(p.urgency(now, b), p.urgency(now, a)), cmp.Compare(a.name, b.name))
	})
	return all[:min(len(all), maxLoadRounds*p.Policy.MaxConcurrentLoads)]
}

// urgency weighs how long requests have waited against how many would share the engine's steps.
func (p *Planner) urgency(now time.Time, a *adapter) float64 {
	if a.waitingSince.IsZero() {
		return 0
	}
	waited := now.Sub(a.waitingSince).Seconds()
	return p.Policy.StallWeight*waited + p.Policy.BatchWeight*float64(a.waiting.total)
}

type replicaCount struct{ all, loading int }

func (p *Planner) replicas(name string) replicaCount {
	n := replicaCount{}
	for backend, pl := range p.placed[name] {
		if p.engines[backend].isAvailable() && (pl.State == Loading || pl.State == Loaded) {
			n.all++
		}
		if pl.State == Loading {
			n.loading++
		}
	}
	return n
}

// targetReplicas keeps an adapter on few engines, so that gateways fill the same batches
// without communicating.
func (p *Planner) targetReplicas(a *adapter) int {
	batch := float64(p.group(a.base).batch)
	return max(1, int(math.Ceil(float64(a.outstanding())/(batch*targetBatchFill))))
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

// engineWithFreeSlot returns the least loaded engine with a free slot for an adapter.
func (p *Planner) engineWithFreeSlot(now time.Time, a *adapter) *engine {
	var best *engine
	for _, e := range p.eligibleEngines(now, a) {
		if len(e.placements) >= int(e.info.GetSlots()) {
			continue
		}
		if best == nil || p.engineLoad(e) < p.engineLoad(best) {
			best = e
		}
	}
	return best
}

// eligibleEngines returns the engines that may be ordered to load an adapter, by name.
func (p *Planner) eligibleEngines(now time.Time, a *adapter) []*engine {
	var all []*engine
	for _, e := range p.group(a.base).engines {
		if !e.isAvailable() || !p.mayOrder(now, e) {
			continue
		}
		if e.placements[a.name] != nil || now.Before(a.avoidUntil[e.info.GetName()]) {
			continue
		}
		all = append(all, e)
	}
	return all
}

// mayOrder keeps a new leader from ordering engines that do not check fencing numbers while an
// order of the old leader can still arrive, and excludes engines in backoff after an order
// without an answer.
func (p *Planner) mayOrder(now time.Time, e *engine) bool {
	if now.Before(e.notBefore) {
		return false
	}
	return e.info.GetChecksFencing() || now.Sub(p.started) > p.Policy.OrderTimeout
}

// engineLoad is the requests that an engine reported, and one for each adapter on it, for those
// since the report.
func (p *Planner) engineLoad(e *engine) float64 {
	reported := float64(e.info.GetRunning() + e.info.GetWaiting())
	return reported + float64(len(e.placements))
}

// recallVictim recalls one adapter, so that a later plan finds a free slot. Adapters without
// demand go first; one in use is recalled only for one that is starving.
func (p *Planner) recallVictim(now time.Time, a *adapter) {
	if !p.synced {
		return
	}
	var idle, busy []*Placement
	for _, e := range p.eligibleEngines(now, a) {
		for _, pl := range e.placements {
			if pl.State != Loaded || now.Sub(pl.Since) < p.Policy.MinResidence {
				continue
			}
			p.refreshUsage(now, pl)
			if p.inDemand(pl) {
				busy = append(busy, pl)
				continue
			}
			idle = append(idle, pl)
		}
	}
	candidates := idle
	starving := !a.waitingSince.IsZero() && now.Sub(a.waitingSince) > p.Policy.StarveAfter
	if len(candidates) == 0 && starving {
		candidates = busy
	}
	if len(candidates) == 0 {
		return
	}
	p.startRecall(now, p.pickVictim(candidates))
}

func (p *Planner) startRecall(now time.Time, pl *Placement) {
	p.setState(now, pl, Recalling)
	for id, lease := range pl.holders {
		p.recallLease(id, lease)
	}
}

func (p *Planner) inDemand(pl *Placement) bool {
	a := p.adapters[pl.Adapter]
	return a != nil && a.outstanding() > 0
}

func (p *Planner) refreshUsage(now time.Time, pl *Placement) {
	if a := p.adapters[pl.Adapter]; a != nil {
		a.decay(now)
		pl.Popularity = a.popularity
		pl.LastUsed = a.lastUsed
	} else {
		pl.Popularity = 0
	}
}

func (p *Planner) pickVictim(candidates []*Placement) *Placement {
	if p.Policy.Evict != nil {
		return p.Policy.Evict(candidates)
	}
	return LeastPopular(candidates)
}

// LeastPopular picks the adapter with the fewest recent requests.
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

func (p *Planner) orderLoad(now time.Time, e *engine, a *adapter) Order {
	pl := p.addPlacement(now, e, a.name, Loading)
	delete(e.unloadedAt, a.name)
	p.loading++
	p.tokens--
	return p.newOrder(now, Load, e, pl)
}

func (p *Planner) newOrder(now time.Time, kind OrderKind, e *engine, pl *Placement) Order {
	if !e.reachable() {
		// One order at a time probes whether it answers again.
		e.notBefore = now.Add(p.Policy.OrderTimeout)
	}
	pl.pendingOrder = OrderID(p.newID())
	p.orders[pl.pendingOrder] = pl
	return Order{
		ID: pl.pendingOrder, Term: p.term, Kind: kind, Backend: pl.Backend,
		Incarnation: pl.Incarnation, Address: e.info.GetAddress(), Adapter: pl.Adapter,
	}
}

// RecordOutcome processes the outcome of an order.
func (p *Planner) RecordOutcome(now time.Time, id OrderID, outcome Outcome) {
	pl := p.orders[id]
	if pl == nil {
		return
	}
	state, ok := pl.State, outcome == Completed
	p.closeOrder(pl)
	e := p.engines[pl.Backend]
	p.recordAnswer(now, e, outcome)
	switch {
	case state == Loading && ok:
		p.setState(now, pl, Loaded)
		p.loadSucceeded(pl)
	case state == Loading:
		p.removePlacement(e, pl)
		p.loadFailed(now, pl)
	case ok:
		p.removePlacement(e, pl)
		e.unloadedAt[pl.Adapter] = now
	default:
		// The adapter may still be loaded; the engine's next list shows that.
		p.setState(now, pl, Recalling)
	}
}

// recordAnswer counts consecutive orders that an engine has not answered.
func (p *Planner) recordAnswer(now time.Time, e *engine, outcome Outcome) {
	if outcome != Unanswered {
		e.unanswered, e.notBefore = 0, time.Time{}
		return
	}
	e.unanswered++
	e.notBefore = now.Add(p.Policy.FailureBackoff.Delay(e.unanswered, rand.Float64()))
}

func (p *Planner) closeOrder(pl *Placement) {
	delete(p.orders, pl.pendingOrder)
	pl.pendingOrder = 0
	if pl.State == Loading {
		p.loading--
	}
}

func (p *Planner) loadSucceeded(pl *Placement) {
	if a := p.adapters[pl.Adapter]; a != nil {
		a.failures = 0
	}
}

// loadFailed backs the adapter off, longer each time, and avoids the engine, so that one that
// can't be loaded does not use up the weight store.
func (p *Planner) loadFailed(now time.Time, pl *Placement) {
	a := p.adapters[pl.Adapter]
	if a == nil {
		return
	}
	a.failures++
	wait := p.Policy.FailureBackoff.Delay(a.failures, 0)
	a.notBefore = now.Add(wait)
	a.avoidUntil[pl.Backend] = now.Add(2 * wait)
}

// Backend returns the last announcement of an engine, or nil.
func (p *Planner) Backend(name string) *wire.Backend {
	if e := p.engines[name]; e != nil {
		return e.info
	}
	return nil
}
