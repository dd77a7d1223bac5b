package placer

import (
	"slices"
	"time"
)

// computeSlotCosts computes for each engine the cost of placing another adapter there: nothing
// in a free slot, else about the probability that the evicted adapter is requested again within
// a second. Rare adapters then replace rare ones, wherever these are, and not those that happen
// to be at the least busy engine.
func (p *Placer) computeSlotCosts(now time.Time) {
	for _, e := range p.engines {
		e.slotCosts = e.slotCosts[:0]
		if !e.acceptsAdapters() {
			continue
		}
		for range p.slotCount(e) - len(e.slots) {
			e.slotCosts = append(e.slotCosts, 0)
		}
		for adapter, slot := range e.slots {
			switch slot.state {
			case draining, unloading:
				e.slotCosts = append(e.slotCosts, 0)
			case ready:
				if !e.usage.Adapters[adapter] {
					e.slotCosts = append(e.slotCosts, p.ratePerReplica(now, adapter))
				}
			case loading:
			}
		}
		slices.Sort(e.slotCosts)
	}
}

// nextSlotCost returns the cost of the slot that the next queued adapter would take.
func (e *engine) nextSlotCost() float64 {
	if rate, ok := e.nextSlotRate(); ok {
		return min(1, rate)
	}
	return 1
}

// nextSlotRate returns the requests per second for the adapter whose slot the next queued adapter
// would take, 0 for a free slot, or false if all slots are in use.
func (e *engine) nextSlotRate() (float64, bool) {
	if n := len(e.queue); n < len(e.slotCosts) {
		return e.slotCosts[n], true
	}
	return 0, false
}

// ratePerReplica returns the requests per second for an adapter at each engine that holds it.
func (p *Placer) ratePerReplica(now time.Time, adapter string) float64 {
	rate := p.Rate(now, adapter)
	if n, _ := p.replicas(adapter); n > 1 {
		rate /= float64(n)
	}
	return rate
}
