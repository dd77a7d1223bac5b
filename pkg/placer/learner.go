package placer

import (
	"time"

	"bronzelead.example/pkg/ablator"
)

const (
	// firstHostAdapters is assumed until loads have shown how many copies engines keep. It
	// is high, since only loads that are expected to be quick can show that they are.
	firstHostAdapters = 128
	// hostProbe is how far beyond the learnt number a load is still expected to be quick.
	hostProbe = 8
	// leastHostAdapters bounds what is learnt from loads that took long for other reasons.
	leastHostAdapters = 32
	// maxRecent bounds the adapters that are remembered of one engine.
	maxRecent = 1000
)

// warm reports whether an engine probably keeps a copy of an adapter's weights.
func (p *Placer) warm(e *engine, adapter string) bool {
	return p.isWarm(e.depth(adapter))
}

// learn takes the time of a load to see how many copies engines keep.
func (p *Placer) learn(now time.Time, held *place) {
	took := now.Sub(held.begun)
	quick := took < p.coldLoad/2
	if !quick && !held.repeated && !p.policy.Off.Has(ablator.LearntStore) {
		p.learnCold(held, took)
	}
	switch {
	case held.depth < 0 || p.policy.Off.Has(ablator.LearntHost):
	case quick:
		p.hostAdapters = max(p.hostAdapters, held.depth+1)
	case held.depth < p.hostAdapters && !held.repeated:
		p.hostAdapters = max(leastHostAdapters, p.hostAdapters-1)
	}
}

// lateSight is how late a question may be asked, or its answer be taken, for the time of a
// load to count: a few ticks. A leader that has too little processor time, or whose calls
// wait, sees the end of every load late. With five plans a second it learnt within 15 s that
// engines keep 32 copies of weights where it had learnt 128 (virtual time).
const lateSight = 40 * time.Millisecond

const (
	// askEarly is the part of a usual load from the weight store after which an engine is
	// first asked whether one has ended: asking costs little, and only early questions show
	// that loads have become quicker.
	askEarly = 0.92
	// coldMemory is the weight of one load in the usual time, which stays within a factor
	// of coldBound of the one in the policy.
	coldMemory = 1.0 / 8
	coldBound  = 2.0
	// slowLoad is the time, against the usual, from which the weight store seems to
	// have been shared by too many loads, and freeLoad the one up to which it was not.
	slowLoad = 1.4
	freeLoad = 1.15
	// leastComing bounds what is learnt from loads that were slow for other reasons.
	leastComing = 6
	// comingMemory is the weight of one slow load in what is learnt.
	comingMemory = 1.0 / 16
)

// learnCold takes the time of a cold load to see how long one takes and how many the
// weight store carries at once before each takes longer. More at once would only make
// all of them late.
func (p *Placer) learnCold(held *place, took time.Duration) {
	if float64(held.coming) < p.maxComing/2 {
		memory := coldMemory
		if took > p.coldLoad {
			// Late answers and lost ones make loads look longer, and nothing makes them look
			// shorter: so it is mostly the short ones that count.
			memory = coldMemory / 16
		}
		usual := float64(p.coldLoad) + (float64(took)-float64(p.coldLoad))*memory
		bound := float64(p.policy.ColdLoad)
		p.coldLoad = time.Duration(min(max(usual, bound/coldBound), bound*coldBound))
	}
	ratio := float64(took) / float64(p.coldLoad)
	switch {
	case ratio > slowLoad && float64(held.coming) >= p.maxComing/2:
		share := max(leastComing, float64(held.coming)/ratio)
		p.learnt = true
		p.maxComing += (share - p.maxComing) * comingMemory
	case ratio < freeLoad && float64(held.coming) >= p.maxComing-2:
		p.learnt = true
		p.maxComing++
	}
}

// comingCold counts the cold loads on their way to all engines. It is asked for each adapter
// that waits, and counts once for all orders that are given at a time.
func (p *Placer) comingCold() int {
	if p.coldKnown {
		return p.cold
	}
	p.cold, p.coldKnown = p.countCold(), true
	return p.cold
}

func (p *Placer) countCold() int {
	n := 0
	for _, e := range p.engines {
		for _, held := range e.places {
			if held.state == loading && !held.warm {
				n++
			}
		}
	}
	return n
}

func (p *Placer) expected(e *engine, adapter string) time.Duration {
	if p.warm(e, adapter) {
		return p.policy.WarmLoad
	}
	return p.expectedCold()
}

// expectedCold returns the time after which a load from the weight store may have ended.
func (p *Placer) expectedCold() time.Duration {
	return time.Duration(askEarly * float64(p.coldTime()))
}

// coldTime returns about how long a load from the weight store takes.
func (p *Placer) coldTime() time.Duration {
	crowd := max(1, float64(p.comingCold())/p.maxComing)
	return time.Duration(float64(p.coldLoad) * crowd)
}

// loadTime returns about how long a load takes.
func (p *Placer) loadTime(e *engine, adapter string) time.Duration {
	if p.warm(e, adapter) {
		return p.policy.WarmLoad
	}
	return p.coldTime()
}
