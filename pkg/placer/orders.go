package placer

import (
	"slices"
	"time"
)

// nextOrder returns the most useful order for an engine that has none under way.
func (p *Placer) nextOrder(now time.Time, e *engine) (Order, bool) {
	if o := e.unanswered; o != nil {
		e.unanswered = nil
		return *o, true
	}
	if !e.reported {
		return Order{Kind: Report}, true
	}
	if !e.model {
		return p.loadModel(now, e)
	}
	if adapter, held := e.blocked(); held != nil {
		return Order{Kind: Unload, Adapter: adapter}, !now.Before(held.at)
	}
	if o, ok := p.followUp(now, e); ok {
		return o, true
	}
	if o, ok := p.nextLoad(now, e); ok {
		return o, true
	}
	p.makeRoom(now, e)
	return Order{}, false
}

// loadModel loads the base model of an engine that has restarted empty, or asks whether
// it is there. The weight store allows only so many loads a second.
func (p *Placer) loadModel(now time.Time, e *engine) (Order, bool) {
	limits := p.limits[e.info.GetService()]
	if !e.open() || limits == nil || len(limits.GetModels()) == 0 || now.Before(e.modelAt) {
		return Order{}, false
	}
	if e.modelAt.IsZero() {
		if now.Before(p.modelLoadAt) {
			return Order{}, false
		}
		if rate := limits.GetLoadsPerSecond(); rate > 0 {
			p.modelLoadAt = now.Add(time.Duration(float64(time.Second) / rate))
		}
	}
	return Order{Kind: LoadModel, Adapter: limits.GetModels()[0]}, true
}

// followUp carries out unloads that were announced.
func (p *Placer) followUp(now time.Time, e *engine) (Order, bool) {
	for adapter, held := range e.places {
		if now.Before(held.at) {
			continue
		}
		switch held.state {
		case leaving:
			if e.use.Adapters[adapter] {
				// A gateway has not heard yet, or its request still runs: an unload
				// would wait for it, and meanwhile the engine takes no other orders.
				held.at = now.Add(p.policy.ConfirmInterval)
				continue
			}
			held.state = dropping
			return Order{Kind: Unload, Adapter: adapter}, true
		case dropping:
			return Order{Kind: Unload, Adapter: adapter}, true
		case loading, ready:
		}
	}
	return Order{}, false
}

// question asks whether the load has ended that should have ended first. It goes out
// beside other orders, since it changes nothing.
func (p *Placer) question(now time.Time, e *engine) (Order, bool) {
	first := ""
	for adapter, held := range e.places {
		if held.state != loading || !held.accepted || now.Before(held.at) {
			continue
		}
		if first == "" || held.at.Before(e.places[first].at) {
			first = adapter
		}
	}
	if first == "" {
		return Order{}, false
	}
	return Order{Kind: Confirm, Adapter: first, Version: e.places[first].version}, true
}

func (p *Placer) slots(e *engine) int {
	if limits := p.limits[e.info.GetService()]; limits != nil {
		return int(limits.GetAdapterSlots())
	}
	return 0
}

// nextLoad loads what is queued, if there is a free place or a newer version takes the
// place of an older.
func (p *Placer) nextLoad(now time.Time, e *engine) (Order, bool) {
	if !e.open() || e.coming() >= p.policy.MaxLoadsPerEngine {
		return Order{}, false
	}
	p.dropLate(now, e)
	for i, waiting := range e.queue {
		adapter := waiting.adapter
		held := e.places[adapter]
		if held != nil && (held.state != ready || held.version >= p.versions[adapter]) {
			e.queue = slices.Delete(e.queue, i, i+1)
			return p.nextLoad(now, e)
		}
		if held == nil && len(e.places) >= p.slots(e) {
			continue
		}
		warm, coming := p.warm(e, adapter), p.comingCold()
		if !warm && float64(coming) >= p.maxComing {
			continue
		}
		e.queue = slices.Delete(e.queue, i, i+1)
		e.places[adapter] = &place{
			state: loading, version: p.versions[adapter], begun: now, depth: e.depth(adapter), warm: warm, coming: coming,
			at: now.Add(p.expected(e, adapter)),
		}
		if !warm {
			p.cold++
		}
		if held != nil {
			p.touch(e)
		}
		return Order{Kind: Load, Adapter: adapter, Version: p.versions[adapter]}, true
	}
	return Order{}, false
}

// dropLate takes adapters out of an engine's queue that can't be loaded before the requests
// that wait for them give up: with a third of the engines lost, loads that came too late
// took half of the weight store's time and as many places.
func (p *Placer) dropLate(now time.Time, e *engine) {
	e.queue = slices.DeleteFunc(e.queue, func(q queued) bool {
		late := !q.until.IsZero() && now.Add(p.loadTime(e, q.adapter)).After(q.until)
		if late {
			p.drop(q.adapter)
		}
		return late
	})
}

// makeRoom tells the gateways that the least wanted adapters go, until the queue and
// the reserve have places.
func (p *Placer) makeRoom(now time.Time, e *engine) {
	need := len(e.queue) + p.policy.ReservedSlots
	free := p.slots(e) - len(e.places)
	for _, held := range e.places {
		if held.state == leaving || held.state == dropping {
			free++
		}
	}
	for free < need {
		victim := p.victim(now, e, len(e.queue) > 0)
		if victim == "" {
			return
		}
		held := e.places[victim]
		held.state, held.at = leaving, now.Add(p.policy.UnloadNotice)
		p.touch(e)
		free++
	}
}

// victim returns the adapter at an engine for which there is the least demand, of those
// that no request uses.
func (p *Placer) victim(now time.Time, e *engine, pressed bool) string {
	idleFor := p.policy.MinIdle
	if pressed {
		idleFor = p.policy.MinIdleUnderPressure
	}
	victim, least := "", 0.0
	for adapter, held := range e.places {
		if held.state != ready || now.Sub(held.since) < idleFor || e.use.Adapters[adapter] {
			continue
		}
		if d := p.demand[adapter]; d != nil && now.Sub(d.last) < idleFor {
			continue
		}
		rate := p.rate(now, adapter)
		if victim == "" || rate < least {
			victim, least = adapter, rate
		}
	}
	return victim
}
