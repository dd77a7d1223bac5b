package placer

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"bronzelead.example/pkg/ablator"
)

// enqueue lets an engine load an adapter next.
func (p *Placer) enqueue(id, adapter string, until time.Time) {
	e := p.engines[id]
	e.queue = append(e.queue, queued{adapter, until})
	p.index[adapter] = append(p.index[adapter], id)
}

// maxQueue bounds the adapters that wait at one engine. What waits beyond that is kept
// in one list, so that the choice of what is loaded next is made late.
const maxQueue = 3

// maxWarmQueue is the bound for adapters whose weights the engine keeps: waiting for a
// place there is shorter than a load from the weight store elsewhere.
const maxWarmQueue = 6

// assignWants chooses engines for adapters that requests wait for. While the weight store is
// full those that no engine has go first; then those for which most requests wait, and among
// equals the one that was asked for last: when not all can be loaded in time, requests that
// have just come can still be answered within their objective, and those that have waited
// long can not. What can't be in time behind the others is declined.
func (p *Placer) assignWants(now time.Time) {
	waiting := p.wantsInOrder()
	misses, ahead := 0, p.queued()
	hopeless := p.isCrowded(now, len(waiting)+ahead)
	for _, adapter := range waiting {
		w := p.wants[adapter]
		if p.usable(adapter, w) {
			delete(p.wants, adapter)
			continue
		}
		if p.comesBack(adapter, w) {
			continue
		}
		ahead++
		if hopeless && now.Add(p.loadWait(now, ahead)).After(w.until) {
			p.drop(adapter)
			continue
		}
		if misses == maxMisses {
			continue
		}
		if id := p.chooseEngine(now, adapter, w.avoid); id != "" {
			p.enqueue(id, adapter, w.until)
			delete(p.wants, adapter)
			continue
		}
		misses++
	}
}

// wantsInOrder returns the wanted adapters, those that go first before the others.
func (p *Placer) wantsInOrder() []string {
	full := p.storeIsFull()
	return slices.SortedFunc(maps.Keys(p.wants), func(a, b string) int {
		if full {
			if aHeld, bHeld := len(p.index[a]) > 0, len(p.index[b]) > 0; aHeld != bHeld {
				return map[bool]int{true: 1, false: -1}[aHeld]
			}
		}
		if n := p.wants[b].requests - p.wants[a].requests; n != 0 {
			return n
		}
		if c := p.wants[b].since.Compare(p.wants[a].since); c != 0 {
			return c
		}
		return compareText(a, b)
	})
}

// maxMisses bounds the adapters for which a plan looks for an engine in vain: when the
// queues are full, hundreds may wait, and a plan must not take longer for it.
const maxMisses = 32

// usable reports whether a wanted adapter is, or soon will be, at an engine that may be used.
func (p *Placer) usable(adapter string, w *want) bool {
	found := false
	for _, id := range p.index[adapter] {
		if slices.Contains(w.avoid, id) {
			continue
		}
		e := p.engines[id]
		if i := e.waits(adapter); i >= 0 && e.queue[i].until.Before(w.until) {
			e.queue[i].until = w.until
		}
		held := e.places[adapter]
		if held != nil && held.state == leaving {
			// It has not gone yet, and may as well stay.
			held.state = ready
			p.touch(e)
		}
		found = found || held == nil || held.version >= p.versions[adapter]
	}
	return found
}

// comesBack reports whether a wanted adapter is about to be gone from an engine that keeps a
// copy of its weights: it is loaded there again within a few ms, which is sooner than one
// load from the weight store elsewhere.
func (p *Placer) comesBack(adapter string, w *want) bool {
	for _, id := range p.dropping[adapter] {
		e := p.engines[id]
		held := e.places[adapter]
		if held != nil && held.state == dropping && !held.pending && e.takesOrders() && !slices.Contains(w.avoid, id) {
			return true
		}
	}
	return false
}

func (p *Placer) assignVersions() {
	for _, e := range p.engines {
		for adapter, held := range e.places {
			stale := held.state == ready && held.version < p.versions[adapter]
			if stale && e.waits(adapter) < 0 {
				e.queue = append(e.queue, queued{adapter: adapter})
			}
		}
	}
}

// assignCopies gives hot adapters further copies.
func (p *Placer) assignCopies(now time.Time) {
	for adapter, d := range p.demand {
		rate := d.peak(now, &p.policy)
		if rate < 1 {
			continue
		}
		have, slots := p.copies(adapter)
		if have == 0 || slots == 0 {
			continue
		}
		perCopy := min(p.policy.RatePerReplica, float64(slots)*p.policy.FillPerReplica/p.policy.RunTime.Seconds())
		if rate <= float64(have)*perCopy {
			continue
		}
		id := p.chooseEngine(now, adapter, nil)
		if id != "" && (p.warm(p.engines[id], adapter) || !p.storeIsFull()) {
			p.enqueue(id, adapter, time.Time{})
		}
	}
}

// storeIsFull reports whether the weight store carries as many loads as it can without each
// taking longer. Adapters that no engine has go before further copies then.
func (p *Placer) storeIsFull() bool { return float64(p.comingCold()) >= fullStore*p.maxComing }

// fullStore is the part of what the store carries from which copies wait: some loads end
// before the next plan.
const fullStore = 0.8

// copies counts where an adapter is or soon will be, as of the last plan.
func (p *Placer) copies(adapter string) (count int, slots uint32) {
	for _, id := range p.index[adapter] {
		if e := p.engines[id]; e != nil {
			count++
			slots = max(slots, e.info.GetSlots())
		}
	}
	return count, slots
}

// chooseEngine returns the engine that should load an adapter, or "" when none can.
// Each adapter prefers the same few engines, which keep a copy of its weights and of
// its prompts; among these the least loaded is taken. Engines whose request limits would not
// suffice are taken only if that is so of all.
func (p *Placer) chooseEngine(now time.Time, adapter string, avoid []string) string {
	best, least, suffices := "", 0.0, false
	for id, e := range p.engines {
		if e.places[adapter] != nil || !e.takesOrders() || slices.Contains(avoid, id) || e.waits(adapter) >= 0 {
			continue
		}
		enough := p.limitSuffices(now, e, adapter)
		if !enough && suffices {
			continue
		}
		if enough && !suffices {
			best, suffices = "", true
		}
		if len(e.queue) >= maxWarmQueue || len(e.queue) >= maxQueue && !p.warm(e, adapter) {
			continue
		}
		if cost := p.cost(now, e, id, adapter); best == "" || cost < least {
			best, least = id, cost
		}
	}
	return best
}

const (
	// homeWeight is the cost, as a part of an engine's slots, of leaving an adapter's
	// preferred engine.
	homeWeight = 0.5
	// coldWeight is the cost of a load from the weight store. It takes ten times as long
	// as one from the engine's own memory, and the store is shared by all engines.
	coldWeight = 1.0
	// roomWeight is the cost of taking the place of an adapter that is asked for at least
	// once a second: it is soon loaded again, from the engine's own memory, and meanwhile its
	// requests wait.
	roomWeight = 0.5
	// queueWeight is the cost of each adapter that is on its way to the engine.
	queueWeight = 0.1
)

func (p *Placer) cost(now time.Time, e *engine, id, adapter string) float64 {
	cost := e.use.Requests / float64(max(1, e.info.GetSlots()))
	if !p.policy.Off.Has(ablator.Homes) {
		cost += homeWeight * distance(adapter, id)
	}
	if !p.warm(e, adapter) && !p.policy.Off.Has(ablator.WarmFirst) {
		cost += coldWeight
	}
	cost += queueWeight * float64(len(e.queue)+e.coming())
	cost += roomWeight * e.room()
	if now.Before(e.waitUntil) {
		cost += 1
	}
	return cost
}

// limitSuffices reports whether an engine's request limit has room for the requests of a
// further adapter.
func (p *Placer) limitSuffices(now time.Time, e *engine, adapter string) bool {
	if !e.limit.Named {
		return true
	}
	rate := p.demandAt(now, adapter)
	for held := range e.places {
		rate += p.demandAt(now, held) / float64(max(1, len(p.index[held])))
	}
	for _, q := range e.queue {
		rate += p.demandAt(now, q.adapter) / float64(max(1, len(p.index[q.adapter])))
	}
	return rate <= float64(e.limit.Rate)
}

// demandAt returns the requests per second for an adapter.
func (p *Placer) demandAt(now time.Time, adapter string) float64 {
	if d := p.demand[adapter]; d != nil {
		return d.at(now, p.policy.DemandHalfLife)
	}
	return 0
}

// distance is a number in [0, 1) that is the same at any time for an adapter and an
// engine's address, as in rendezvous hashing.
func distance(adapter, id string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(adapter + "|" + id))
	x := h.Sum64()
	// FNV mixes the last bytes poorly into the high bits.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return float64(x>>11) / (1 << 53)
}
