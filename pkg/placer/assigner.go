package placer

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"bronzelead.example/pkg/ablator"
)

// enqueue queues an adapter for loading at an engine.
func (p *Placer) enqueue(id, adapter string, deadline time.Time) {
	e := p.engines[id]
	e.queue = append(e.queue, queuedLoad{adapter, deadline})
	p.locations[adapter] = append(p.locations[adapter], id)
}

// maxQueue bounds the adapters queued at one engine. Further ones stay in one shared list, so
// that what is loaded next is decided late.
const maxQueue = 3

// maxWarmQueue is the bound for adapters whose weights the engine keeps: waiting for a slot
// there is shorter than a load from the weight store elsewhere.
const maxWarmQueue = 6

// assignPendingLoads chooses engines for adapters that requests wait for. While the weight
// store is saturated, adapters that no engine has go first; then those with the most waiting
// requests, and among equals the most recently requested: if not all can be loaded in time,
// recent requests can still meet their objective, and those that have waited long can not.
// Under overload, loads that would miss their deadline are declined.
func (p *Placer) assignPendingLoads(now time.Time) {
	sorted := p.sortedPendingLoads()
	misses, ahead := 0, p.queuedLoads()
	overloaded := p.isOverloaded(now, len(sorted)+ahead)
	for _, adapter := range sorted {
		w := p.pendingLoads[adapter]
		if p.isPlaced(adapter, w) {
			delete(p.pendingLoads, adapter)
			continue
		}
		if p.willReload(adapter, w) {
			continue
		}
		ahead++
		if overloaded && now.Add(p.expectedWait(now, ahead)).After(w.deadline) {
			p.decline(adapter)
			continue
		}
		if misses == maxMisses {
			continue
		}
		if id := p.chooseEngine(now, adapter, w.avoid); id != "" {
			p.enqueue(id, adapter, w.deadline)
			delete(p.pendingLoads, adapter)
			continue
		}
		misses++
	}
}

// sortedPendingLoads returns the adapters with pending loads, in the order of assignment.
func (p *Placer) sortedPendingLoads() []string {
	saturated := p.storeIsSaturated()
	return slices.SortedFunc(maps.Keys(p.pendingLoads), func(a, b string) int {
		if saturated {
			if aPlaced, bPlaced := len(p.locations[a]) > 0, len(p.locations[b]) > 0; aPlaced != bPlaced {
				return map[bool]int{true: 1, false: -1}[aPlaced]
			}
		}
		if n := p.pendingLoads[b].requests - p.pendingLoads[a].requests; n != 0 {
			return n
		}
		if c := p.pendingLoads[b].since.Compare(p.pendingLoads[a].since); c != 0 {
			return c
		}
		return compareText(a, b)
	})
}

// maxMisses bounds the adapters per plan for which no engine is found: with full queues
// hundreds may wait, and a plan must not take longer for them.
const maxMisses = 32

// isPlaced reports whether an adapter is, or soon will be, at an engine that may be used.
func (p *Placer) isPlaced(adapter string, w *pendingLoad) bool {
	found := false
	for _, id := range p.locations[adapter] {
		if slices.Contains(w.avoid, id) {
			continue
		}
		e := p.engines[id]
		if i := e.queueIndex(adapter); i >= 0 && e.queue[i].deadline.Before(w.deadline) {
			e.queue[i].deadline = w.deadline
		}
		slot := e.slots[adapter]
		if slot != nil && slot.state == draining {
			// The unload has not been ordered yet, so the adapter can stay.
			slot.state = ready
			p.markChanged(e)
		}
		found = found || slot == nil || slot.version >= p.versions[adapter]
	}
	return found
}

// willReload reports whether an adapter is being unloaded from an engine, which keeps a copy of
// its weights: it is loaded there again within a few ms, sooner than from the weight store
// elsewhere.
func (p *Placer) willReload(adapter string, w *pendingLoad) bool {
	for _, id := range p.unloadingAt[adapter] {
		e := p.engines[id]
		slot := e.slots[adapter]
		if slot != nil && slot.state == unloading && !slot.unloadPending && e.acceptsAdapters() && !slices.Contains(w.avoid, id) {
			return true
		}
	}
	return false
}

func (p *Placer) assignVersions() {
	for _, e := range p.engines {
		for adapter, slot := range e.slots {
			stale := slot.state == ready && slot.version < p.versions[adapter]
			if stale && e.queueIndex(adapter) < 0 {
				e.queue = append(e.queue, queuedLoad{adapter: adapter})
			}
		}
	}
}

// assignReplicas gives hot adapters further replicas.
func (p *Placer) assignReplicas(now time.Time) {
	for adapter, d := range p.demand {
		rate := d.peakRate(now, &p.policy)
		if rate < 1 {
			continue
		}
		replicas, slots := p.replicas(adapter)
		if replicas == 0 || slots == 0 {
			continue
		}
		perReplica := min(p.policy.RatePerReplica, float64(slots)*p.policy.FillPerReplica/p.policy.RunTime.Seconds())
		if rate <= replicas*perReplica {
			continue
		}
		id := p.chooseEngine(now, adapter, nil)
		if id != "" && (p.isCached(p.engines[id], adapter) || !p.storeIsSaturated()) {
			p.enqueue(id, adapter, time.Time{})
		}
	}
}

// storeIsSaturated reports whether the weight store carries as many loads as it can without
// slowing each down. Adapters that no engine has then go before further replicas.
func (p *Placer) storeIsSaturated() bool {
	return float64(p.coldLoadsInFlight()) >= storeSaturation*p.storeConcurrency
}

// storeSaturation is the part of the store's concurrency from which replicas wait: some loads
// end before the next plan.
const storeSaturation = 0.8

// replicas counts where an adapter is or soon will be, as of the last plan. An engine that accepts
// no requests from a part of the gateways counts for the others.
func (p *Placer) replicas(adapter string) (count float64, slots uint32) {
	for _, id := range p.locations[adapter] {
		if e := p.engines[id]; e != nil {
			count += 1 - e.usage.BackingOff
			slots = max(slots, e.info.GetSlots())
		}
	}
	return count, slots
}

// chooseEngine returns the engine that should load an adapter, or "" if none can. Each adapter
// prefers the same few engines, which keep a copy of its weights and of its prompts; among
// these the least loaded is taken. Engines whose request limits would not suffice, or that accept
// no requests from a majority of the gateways, are taken only if that is so of all.
func (p *Placer) chooseEngine(now time.Time, adapter string, avoid []string) string {
	best, lowest, bestFits := "", 0.0, false
	for id, e := range p.engines {
		if e.slots[adapter] != nil || !e.acceptsAdapters() || slices.Contains(avoid, id) || e.queueIndex(adapter) >= 0 {
			continue
		}
		fits := p.fits(now, e, adapter)
		if !fits && bestFits {
			continue
		}
		if fits && !bestFits {
			best, bestFits = "", true
		}
		if !p.hasQueueRoom(e, adapter) {
			continue
		}
		if cost := p.cost(now, e, id, adapter); best == "" || cost < lowest {
			best, lowest = id, cost
		}
	}
	return best
}

// hasQueueRoom reports whether an adapter may be queued at an engine.
func (p *Placer) hasQueueRoom(e *engine, adapter string) bool {
	return len(e.queue) < maxQueue || len(e.queue) < maxWarmQueue && p.isCached(e, adapter)
}

const (
	// affinityWeight is the cost, as a part of an engine's slots, of leaving an adapter's
	// preferred engine.
	affinityWeight = 0.5
	// coldWeight is the cost of a load from the weight store. It takes ten times as long as one
	// from the engine's own memory, and the store is shared by all engines.
	coldWeight = 1.0
	// evictionWeight is the cost of evicting an adapter that is requested at least once a
	// second: it is soon loaded again, from the engine's own memory, and meanwhile its requests
	// wait.
	evictionWeight = 0.5
	// queueWeight is the cost of each adapter that is queued or loading at the engine.
	queueWeight = 0.1
	// backoffWeight is the cost of an engine that accepts no requests for a time, in proportion
	// to the gateways that it tells so: it looks idle.
	backoffWeight = 1.0
	// paceWeight is the cost of the slots that the requests for an adapter are expected to take for
	// longer at a slow engine.
	paceWeight = 2.0
)

// majority is the share of the gateways from which an engine must accept requests to be chosen
// before others.
const majority = 0.5

func (p *Placer) cost(now time.Time, e *engine, id, adapter string) float64 {
	cost := p.pacedLoad(now, e, adapter)
	if !p.policy.Disabled.Has(ablator.Homes) {
		cost += affinityWeight * hashDistance(adapter, id)
	}
	if !p.isCached(e, adapter) && !p.policy.Disabled.Has(ablator.WarmFirst) {
		cost += coldWeight
	}
	cost += queueWeight * float64(len(e.queue)+e.loadingCount())
	cost += evictionWeight * e.nextSlotCost()
	cost += backoffWeight * e.usage.BackingOff
	if now.Before(e.backoffUntil) {
		cost += 1
	}
	return cost
}

// pacedLoad returns the part of an engine's slots that is taken, scaled by its pace. The requests for
// a further adapter would take slots of a slow engine for longer, those for a hot one most of all.
func (p *Placer) pacedLoad(now time.Time, e *engine, adapter string) float64 {
	slots := float64(max(1, e.info.GetSlots()))
	load := e.usage.Requests / slots
	if e.pace == 1 {
		return load
	}
	expected := min(1, p.requestRate(now, adapter)*p.policy.RunTime.Seconds()/slots)
	return load*e.pace + paceWeight*expected*(e.pace-1)
}

// fits reports whether an engine accepts a further adapter and its requests.
func (p *Placer) fits(now time.Time, e *engine, adapter string) bool {
	return e.usage.BackingOff < majority && !now.Before(e.rejectsUntil) && p.fitsRateLimit(now, e, adapter)
}

// fitsRateLimit reports whether an engine's request limit has room for the requests of a
// further adapter.
func (p *Placer) fitsRateLimit(now time.Time, e *engine, adapter string) bool {
	if !e.limit.Named {
		return true
	}
	rate := p.requestRate(now, adapter)
	for resident := range e.slots {
		rate += p.requestRate(now, resident) / float64(max(1, len(p.locations[resident])))
	}
	for _, q := range e.queue {
		rate += p.requestRate(now, q.adapter) / float64(max(1, len(p.locations[q.adapter])))
	}
	return rate <= float64(e.limit.Rate)
}

// requestRate returns the requests per second for an adapter.
func (p *Placer) requestRate(now time.Time, adapter string) float64 {
	if d := p.demand[adapter]; d != nil {
		return d.rateAt(now, p.policy.DemandHalfLife)
	}
	return 0
}

// hashDistance returns a number in [0, 1) that is constant for an adapter and an engine's id,
// as in rendezvous hashing.
func hashDistance(adapter, id string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(adapter + "|" + id))
	x := h.Sum64()
	// FNV mixes the last bytes poorly into the high bits.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}
