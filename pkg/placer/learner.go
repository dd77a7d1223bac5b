package placer

import (
	"time"

	"bronzelead.example/pkg/ablator"
)

const (
	// initialHostAdapters is assumed until loads have shown how many copies engines keep. It is
	// high, since only loads that are expected to be quick can show that they are.
	initialHostAdapters = 128
	// hostProbeMargin is how far beyond the learned number a load is still expected to be
	// quick.
	hostProbeMargin = 8
	// minHostAdapters bounds what is learned from loads that were slow for other reasons.
	minHostAdapters = 32
	// maxCacheHistory bounds the adapters that are recorded for one engine.
	maxCacheHistory = 1000
)

// isCached reports whether an engine probably keeps a copy of an adapter's weights.
func (p *Placer) isCached(e *engine, adapter string) bool {
	return p.isWarm(e.reuseDistance(adapter))
}

// learnLoadTime updates the learned estimates from the time of a load.
func (p *Placer) learnLoadTime(now time.Time, slot *adapterSlot) {
	took := now.Sub(slot.orderedAt)
	quick := took < p.coldLoad/2
	if !quick && !slot.timingInvalid && !p.policy.Disabled.Has(ablator.LearntStore) {
		p.learnColdLoad(slot, took)
	}
	switch {
	case slot.reuseDistance < 0 || p.policy.Disabled.Has(ablator.LearntHost):
	case quick:
		p.hostAdapters = max(p.hostAdapters, slot.reuseDistance+1)
	case slot.reuseDistance < p.hostAdapters && !slot.timingInvalid:
		p.hostAdapters = max(minHostAdapters, p.hostAdapters-1)
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
	// coldLoadGain is the weight of one load in the learned time, which stays within a factor
	// of maxColdLoadFactor of the one in the policy.
	coldLoadGain      = 1.0 / 8
	maxColdLoadFactor = 2.0
	// contendedRatio is the ratio of a load's time to the learned one above which the weight
	// store was shared by too many loads, and uncontendedRatio the one below which it was not.
	contendedRatio   = 1.4
	uncontendedRatio = 1.15
	// minStoreConcurrency bounds what is learned from loads that were slow for other reasons.
	minStoreConcurrency = 6
	// concurrencyGain is the weight of one slow load in the learned concurrency.
	concurrencyGain = 1.0 / 16
)

// learnColdLoad updates the time of a cold load, and the number of loads that the weight store
// carries at once before each takes longer. More at once would only make all of them late.
func (p *Placer) learnColdLoad(slot *adapterSlot, took time.Duration) {
	if float64(slot.coldLoads) < p.storeConcurrency/2 {
		gain := coldLoadGain
		if took > p.coldLoad {
			// Late and lost answers make loads look longer, and nothing makes them look
			// shorter, so that short ones count most.
			gain = coldLoadGain / 16
		}
		smoothed := float64(p.coldLoad) + (float64(took)-float64(p.coldLoad))*gain
		expected := float64(p.policy.ColdLoad)
		p.coldLoad = time.Duration(min(max(smoothed, expected/maxColdLoadFactor), expected*maxColdLoadFactor))
	}
	ratio := float64(took) / float64(p.coldLoad)
	switch {
	case ratio > contendedRatio && float64(slot.coldLoads) >= p.storeConcurrency/2:
		share := max(minStoreConcurrency, float64(slot.coldLoads)/ratio)
		p.measured = true
		p.storeConcurrency += (share - p.storeConcurrency) * concurrencyGain
	case ratio < uncontendedRatio && float64(slot.coldLoads) >= p.storeConcurrency-2:
		p.measured = true
		p.storeConcurrency++
	}
}

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

func (p *Placer) firstConfirmDelay(e *engine, adapter string) time.Duration {
	if p.isCached(e, adapter) {
		return p.policy.WarmLoad
	}
	return p.firstColdConfirmDelay()
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
