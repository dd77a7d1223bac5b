package placer

import (
	"time"

	"bronzelead.example/pkg/ablator"
)

const (
	// initialHostAdapters is assumed until loads have shown how many copies engines keep. It is
	// high, since only loads that are expected to be quick can show that they are.
	initialHostAdapters = 128
	// hostProbeFactor bounds the distances, as a multiple of the learned number of copies, at
	// which a load is checked early in case it was quick after all.
	hostProbeFactor = 2
	// minHostAdapters bounds what is learned from loads that were slow for other reasons.
	minHostAdapters = 16
	// maxCacheHistory bounds the adapters that are recorded for one engine.
	maxCacheHistory = 1000
)

// isCached reports whether an engine probably keeps a copy of an adapter's weights.
func (p *Placer) isCached(e *engine, adapter string) bool {
	return p.isWarm(e.reuseDistance(adapter))
}

// learnLoadTime updates the learned estimates from the time of a load that has ended.
func (p *Placer) learnLoadTime(now time.Time, e *engine, slot *adapterSlot) {
	took := now.Sub(slot.orderedAt)
	quick := took < p.coldLoad/2
	// A slow engine may have loaded the weights from its own memory, and been checked again only
	// when a load from the store should have ended.
	ambiguous := slot.checkedEarly && took < p.coldLoad
	if !quick && !ambiguous && !slot.timingInvalid && !p.policy.Disabled.Has(ablator.LearntStore) {
		atStart, mean := float64(slot.coldLoads), p.storeMeter.meanSince(now, slot.orderedAt, slot.storeWork)
		p.learnStore(e.info.GetId(), storeLoad{endedAt: now, took: took, fewest: min(atStart, mean), most: max(atStart, mean)})
	}
	if !slot.warm {
		p.storeMeter.change(now, -1)
	}
	// A slow load shows something only if a quick one would have been observed.
	if slot.reuseDistance >= 0 && (quick || slot.checkedEarly && !ambiguous && !slot.timingInvalid) && !p.policy.Disabled.Has(ablator.LearntHost) {
		p.learnHostAdapters(slot.reuseDistance, quick)
	}
}

// maxObservationDelay is how late a Confirm may be sent, or its answer be processed, for the
// time of a load to count: a few ticks. A leader short of processor time, or whose calls wait,
// observes the end of every load late. With five plans a second it learned within 15 s of
// virtual time that engines keep 32 copies of weights, where it had learned 128.
const maxObservationDelay = 40 * time.Millisecond

const (
	// firstConfirmFraction is the part of the expected time of a cold load after which an
	// engine is first asked whether it has ended: asking costs little, and only early checks
	// show that loads have become quicker.
	firstConfirmFraction = 0.92
	// maxColdLoadFactor bounds the ratio of the learned time of a cold load to the one in the
	// policy.
	maxColdLoadFactor = 2.0
	// contendedRatio is the ratio of a load's time to the learned one above which the weight
	// store was shared by too many loads, and uncontendedRatio the one below which it was not.
	// Checks at intervals of 30 ms make a load of 288 ms look up to 1.1 times as long.
	contendedRatio   = 1.2
	uncontendedRatio = 1.1
	// minStoreConcurrency bounds what is learned from loads that were slow for other reasons.
	minStoreConcurrency = 6
)

// coldLoadsInFlight returns the number of cold loads in flight at all engines. It is called for
// each waiting adapter, so the count is cached for all orders that are given at a time.
func (p *Placer) coldLoadsInFlight() int {
	if p.coldLoadCountValid {
		return p.coldLoadCount
	}
	p.coldLoadCount, p.coldLoadCountValid = p.countColdLoads(), true
	return p.coldLoadCount
}

func (p *Placer) countColdLoads() int {
	n := 0
	for _, e := range p.engines {
		for _, slot := range e.slots {
			if slot.state == loading && !slot.warm {
				n++
			}
		}
	}
	return n
}

func (p *Placer) firstConfirmDelay(slot *adapterSlot) time.Duration {
	if slot.checkedEarly {
		return p.policy.WarmLoad
	}
	return p.firstColdConfirmDelay()
}

// warmLoadFactor is the multiple of the expected time of a warm load after which one that has
// not ended is taken for a load from the weight store. A warm load that takes 15% longer than
// expected must not be, or it would be checked again only when a cold load should have ended.
const warmLoadFactor = 2

// expectStoreLoad takes a load that has lasted longer than a warm one for one from the weight
// store, which counts among the loads that share the store.
func (p *Placer) expectStoreLoad(now time.Time, slot *adapterSlot) {
	if slot.warm {
		slot.warm, p.coldLoadCountValid = false, false
		p.storeMeter.change(now, 1)
	}
	if coldCheck := slot.orderedAt.Add(p.firstColdConfirmDelay()); slot.nextCheck.Before(coldCheck) {
		slot.nextCheck = coldCheck
	}
}

// firstColdConfirmDelay returns the time after which a load from the weight store may have
// ended.
func (p *Placer) firstColdConfirmDelay() time.Duration {
	return time.Duration(firstConfirmFraction * float64(p.expectedColdLoad()))
}

// expectedColdLoad returns about how long a load from the weight store takes.
func (p *Placer) expectedColdLoad() time.Duration {
	contention := max(1, float64(p.coldLoadsInFlight())/p.storeConcurrency)
	return time.Duration(float64(p.coldLoad) * contention)
}

// expectedLoad returns about how long a load takes.
func (p *Placer) expectedLoad(e *engine, adapter string) time.Duration {
	if p.isCached(e, adapter) {
		return p.policy.WarmLoad
	}
	return p.expectedColdLoad()
}
