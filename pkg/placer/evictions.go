package placer

import (
	"cmp"
	"slices"
	"time"

	"bronzelead.example/pkg/ablator"
)

// The functions of this file decide which adapters are unloaded, for a deployment whose adapters
// need more adapter slots than there are.

const (
	// surplusFactor reduces the worth of a replica whose use is below surplusUse requests: the
	// other replicas serve its requests, and no load follows. surplusUse is less than what a
	// spare replica must keep busy to be granted, or it would be unloaded at once.
	surplusFactor = 0.1
	surplusUse    = minSpareUse / 2
	// coldRate is the requests per second below which an adapter is unloaded ahead of need at
	// each engine. Other adapters are unloaded ahead of need only for the loads of reserveTime,
	// which is about how long a load waits for an unload, and minReserveShare of the engines.
	coldRate        = 0.01
	reserveTime     = 150 * time.Millisecond
	minReserveShare = 0.1
	// typicalEvictionLoss is the requests per second of an adapter whose eviction costs half of
	// maxEvictionCost, as a part of an engine's slots. It is that of two requests in ten seconds:
	// in the range of the adapters that compete for slots, the cost must differ.
	typicalEvictionLoss = 0.15
	maxEvictionCost     = 2.0
)

// evictionLoss returns the requests per second that would need a load if a replica of an adapter
// was evicted.
func (p *Placer) evictionLoss(now time.Time, adapter string) float64 {
	d := p.demand[adapter]
	if d == nil {
		return 0
	}
	n, _ := p.replicas(adapter)
	if p.policy.Disabled.Has(ablator.ScarceSlots) {
		return d.rateAt(now, p.policy.DemandHalfLife) / max(1, n)
	}
	if n <= 1 {
		return max(d.evictionRateAt(now, p.policy.EvictionHalfLife), d.peakRate(now, &p.policy)*loneFactor)
	}
	share := d.peakRate(now, &p.policy) / n
	if share*p.policy.RunTime.Seconds() < surplusUse {
		share *= surplusFactor
	}
	return share
}

// loneFactor is the weight of the recent rate of an adapter without replicas: chance makes it
// much higher than the rate over a longer time.
const loneFactor = 0.15

// evictionCost returns the cost of evicting an adapter at an engine, as a part of its slots.
func (p *Placer) evictionCost(e *engine) float64 {
	loss, ok := e.nextSlotRate()
	switch {
	case p.policy.Disabled.Has(ablator.ScarceSlots):
		return evictionWeight * e.nextSlotCost()
	case !ok:
		return maxEvictionCost
	}
	return maxEvictionCost * loss / (loss + typicalEvictionLoss)
}

// saturatedColdWeight is the cost of a load from the weight store while this carries as many loads
// as it can. It outweighs maxEvictionCost: a load from an engine's own memory needs no store.
const saturatedColdWeight = 3.0

// coldCost returns the cost of a load from the weight store, as a part of an engine's slots.
func (p *Placer) coldCost() float64 {
	if p.storeIsSaturated() && !p.policy.Disabled.Has(ablator.ScarceSlots) {
		return saturatedColdWeight
	}
	return coldWeight
}

// isLeaving reports whether an adapter is or will be unloaded.
func (e *engine) isLeaving(adapter string) bool {
	slot := e.slots[adapter]
	return slot != nil && (slot.state == draining || slot.state == unloading)
}

// freeSlots returns the adapter slots of an engine that are or soon will be free.
func (p *Placer) freeSlots(e *engine) int {
	free := p.slotCount(e) - len(e.slots)
	for adapter := range e.slots {
		if e.isLeaving(adapter) {
			free++
		}
	}
	return free
}

// planReserve decides at which engines a slot is kept free so that a load does not have to wait
// for an unload: none while adapters are queued for slots, else as many as loads are expected
// to need, where the eviction loses least.
func (p *Placer) planReserve(now time.Time) {
	var candidates []*engine
	free, usable := 0, 0
	contested := p.slotsAreContested()
	for _, id := range p.engineIDs {
		e := p.engines[id]
		e.reserve = 0
		if p.policy.Disabled.Has(ablator.ScarceSlots) {
			e.reserve = p.policy.ReservedSlots
			continue
		}
		if contested || !e.acceptsAdapters() {
			continue
		}
		usable++
		n := p.freeSlots(e) - len(e.queue)
		free += max(0, n)
		if n < p.policy.ReservedSlots {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return
	}
	target := max(int(p.loadRate.at(now)*reserveTime.Seconds()), int(minReserveShare*float64(usable*p.policy.ReservedSlots)))
	loss := func(e *engine) float64 {
		if rate, ok := e.nextSlotRate(); ok {
			return rate
		}
		return maxEvictionLoss
	}
	slices.SortStableFunc(candidates, func(a, b *engine) int { return cmp.Compare(loss(a), loss(b)) })
	for _, e := range candidates {
		if free >= target && loss(e) >= coldRate {
			return
		}
		e.reserve = p.policy.ReservedSlots
		free++
	}
}

// maxEvictionLoss is more than the requests per second for any adapter.
const maxEvictionLoss = 1e9

// drainVictims notifies the gateways of the unload of the adapters with the least demand, until
// the queue and the reserve have slots. Adapters whose slots are no longer needed stay.
func (p *Placer) drainVictims(now time.Time, e *engine) {
	need := len(e.queue) + e.reserve
	free := p.freeSlots(e)
	for free < need {
		victim := p.victim(now, e, len(e.queue) > 0)
		if victim == "" {
			return
		}
		slot := e.slots[victim]
		slot.state, slot.nextCheck = draining, now.Add(p.policy.UnloadNotice)
		p.markChanged(e)
		free++
	}
	if p.policy.Disabled.Has(ablator.ScarceSlots) {
		return
	}
	for adapter, slot := range e.slots {
		if free > max(need, p.policy.ReservedSlots) && slot.state == draining && slot.version >= p.versions[adapter] {
			slot.state = ready
			p.markChanged(e)
			free--
		}
	}
}

// victim returns the adapter at an engine whose eviction loses least, of those that no request
// uses.
func (p *Placer) victim(now time.Time, e *engine, underPressure bool) string {
	minIdle := p.policy.MinIdle
	if underPressure {
		minIdle = p.policy.MinIdleUnderPressure
	}
	victim, lowest := "", 0.0
	for adapter, slot := range e.slots {
		if slot.state != ready || !p.isEvictable(now, e, adapter, slot, minIdle) {
			continue
		}
		loss := p.evictionLoss(now, adapter)
		if victim == "" || loss < lowest || loss == lowest && adapter < victim {
			victim, lowest = adapter, loss
		}
	}
	return victim
}

// isEvictable reports whether no request uses an adapter at an engine, or did recently.
func (p *Placer) isEvictable(now time.Time, e *engine, adapter string, slot *adapterSlot, minIdle time.Duration) bool {
	if now.Sub(slot.readySince) < minIdle || e.usage.Adapters[adapter] {
		return false
	}
	d := p.demand[adapter]
	return d == nil || now.Sub(d.lastRequest) >= minIdle || p.hasOtherReplica(e, adapter)
}

// hasOtherReplica reports whether requests for an adapter can be served at another engine.
func (p *Placer) hasOtherReplica(e *engine, adapter string) bool {
	if p.policy.Disabled.Has(ablator.ScarceSlots) {
		return false
	}
	for _, id := range p.locations[adapter] {
		other := p.engines[id]
		if slot := other.slots[adapter]; other != e && slot != nil && slot.state == ready {
			return true
		}
	}
	return false
}

// cancelQueuedLoads removes queued loads that no request waits for any more at all engines, before
// adapters are evicted for them.
func (p *Placer) cancelQueuedLoads(now time.Time) {
	if p.policy.Disabled.Has(ablator.ScarceSlots) {
		return
	}
	for _, e := range p.engines {
		if len(e.queue) > 0 {
			p.dropLateLoads(now, e)
		}
	}
}

// dropLateLoads removes adapters from an engine's queue that can't be loaded before the
// requests that wait for them time out: with a third of the engines lost, late loads took half
// of the weight store's time and as many slots. Replicas that no request waits for are removed
// once the demand for them has gone.
func (p *Placer) dropLateLoads(now time.Time, e *engine) {
	e.queue = slices.DeleteFunc(e.queue, func(q queuedLoad) bool {
		if q.deadline.IsZero() {
			return e.slots[q.adapter] == nil && p.isSurplus(now, q.adapter)
		}
		late := now.Add(p.expectedLoad(e, q.adapter)).After(q.deadline)
		if late {
			p.decline(q.adapter)
		}
		return late
	})
}

// isSurplus reports whether the other replicas of an adapter can serve the requests of one that
// is queued.
func (p *Placer) isSurplus(now time.Time, adapter string) bool {
	if p.policy.Disabled.Has(ablator.ScarceSlots) {
		return false
	}
	n, _ := p.replicas(adapter)
	d := p.demand[adapter]
	return n > 1 && (d == nil || d.peakRate(now, &p.policy)/n*p.policy.RunTime.Seconds() < queuedSurplusUse)
}

// queuedSurplusUse is the use below which a queued replica is cancelled. It is below what a free
// slot and what the relief of an overloaded engine require.
const queuedSurplusUse = 0.01

// moveQueuedLoads moves loads that wait for a slot, and are not quicker where they wait, to
// engines with free slots.
func (p *Placer) moveQueuedLoads(now time.Time) {
	if p.policy.Disabled.Has(ablator.ScarceSlots) || p.queuedLoads() == 0 {
		return
	}
	var free []string
	for _, id := range p.engineIDs {
		if e := p.engines[id]; e.acceptsAdapters() && p.vacantSlots(e) > 0 {
			free = append(free, id)
		}
	}
	if len(free) == 0 {
		return
	}
	for _, id := range p.engineIDs {
		e := p.engines[id]
		for i := len(e.queue) - 1; i >= 0 && p.vacantSlots(e) < 0; i-- {
			if q := e.queue[i]; e.slots[q.adapter] == nil && !p.isCached(e, q.adapter) {
				p.moveQueuedLoad(now, id, i, free)
			}
		}
	}
}

// vacantSlots returns the free slots that are left if all queued adapters are loaded.
func (p *Placer) vacantSlots(e *engine) int { return p.slotCount(e) - len(e.slots) - len(e.queue) }

// moveQueuedLoad moves a queued load to the first of some engines that can take it.
func (p *Placer) moveQueuedLoad(now time.Time, from string, i int, engines []string) {
	e := p.engines[from]
	q := e.queue[i]
	for _, id := range engines {
		to := p.engines[id]
		if p.vacantSlots(to) <= 0 || to.slots[q.adapter] != nil || to.queueIndex(q.adapter) >= 0 || slices.Contains(q.avoid, id) || !p.fits(now, to, q.adapter) {
			continue
		}
		e.queue = slices.Delete(e.queue, i, i+1)
		to.queue = append(to.queue, q)
		p.locations[q.adapter] = append(slices.DeleteFunc(p.locations[q.adapter], func(other string) bool { return other == from }), id)
		return
	}
}
