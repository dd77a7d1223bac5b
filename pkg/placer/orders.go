package placer

import (
	"slices"
	"time"
)

// nextOrder returns the most useful order for an engine that has none in flight.
func (p *Placer) nextOrder(now time.Time, e *engine) (Order, bool) {
	if o := e.retryOrder; o != nil {
		e.retryOrder = nil
		return *o, true
	}
	if !e.reported {
		return Order{Kind: Report}, true
	}
	if !e.modelLoaded {
		return p.loadModel(now, e)
	}
	if adapter, slot := e.blockingUnload(); slot != nil {
		return Order{Kind: Unload, Adapter: adapter}, !now.Before(slot.nextCheck)
	}
	if o, ok := p.nextUnload(now, e); ok {
		return o, true
	}
	if o, ok := p.nextLoad(now, e); ok {
		return o, true
	}
	p.drainVictims(now, e)
	return Order{}, false
}

// loadModel loads the base model of an engine that has restarted empty, or checks whether it is
// loaded. The weight store allows only so many of these loads a second.
func (p *Placer) loadModel(now time.Time, e *engine) (Order, bool) {
	limits := p.limits[e.info.GetService()]
	if !e.isAvailable() || limits == nil || len(limits.GetModels()) == 0 || now.Before(e.nextModelCheck) {
		return Order{}, false
	}
	if e.nextModelCheck.IsZero() {
		if now.Before(p.nextModelLoad) {
			return Order{}, false
		}
		if rate := limits.GetLoadsPerSecond(); rate > 0 {
			p.nextModelLoad = now.Add(time.Duration(float64(time.Second) / rate))
		}
	}
	return Order{Kind: LoadModel, Adapter: limits.GetModels()[0]}, true
}

// nextUnload orders unloads that the gateways were notified of.
func (p *Placer) nextUnload(now time.Time, e *engine) (Order, bool) {
	for adapter, slot := range e.slots {
		if now.Before(slot.nextCheck) {
			continue
		}
		switch slot.state {
		case draining:
			if e.usage.Adapters[adapter] {
				// A gateway has not received the notice yet, or its request still runs: an
				// unload would wait for it, and meanwhile the engine takes no other orders.
				slot.nextCheck = now.Add(p.policy.ConfirmInterval)
				continue
			}
			slot.state = unloading
			return Order{Kind: Unload, Adapter: adapter}, true
		case unloading:
			return Order{Kind: Unload, Adapter: adapter}, true
		case loading, ready:
		}
	}
	return Order{}, false
}

// nextConfirm checks the load that should have ended first. It is sent alongside other orders,
// since it changes nothing.
func (p *Placer) nextConfirm(now time.Time, e *engine) (Order, bool) {
	first := ""
	for adapter, slot := range e.slots {
		if slot.state != loading || !slot.accepted || now.Before(slot.nextCheck) {
			continue
		}
		if first == "" || slot.nextCheck.Before(e.slots[first].nextCheck) {
			first = adapter
		}
	}
	if first == "" {
		return Order{}, false
	}
	return Order{Kind: Confirm, Adapter: first, Version: e.slots[first].version}, true
}

func (p *Placer) slotCount(e *engine) int {
	if limits := p.limits[e.info.GetService()]; limits != nil {
		return int(limits.GetAdapterSlots())
	}
	return 0
}

// nextLoad orders a queued load, if a slot is free or a newer version replaces an older one.
func (p *Placer) nextLoad(now time.Time, e *engine) (Order, bool) {
	if !e.isAvailable() || e.loadingCount() >= p.policy.MaxLoadsPerEngine {
		return Order{}, false
	}
	p.dropLateLoads(now, e)
	for i, queued := range e.queue {
		adapter := queued.adapter
		slot := e.slots[adapter]
		if slot != nil && (slot.state != ready || slot.version >= p.versions[adapter]) {
			e.queue = slices.Delete(e.queue, i, i+1)
			return p.nextLoad(now, e)
		}
		if slot == nil && len(e.slots) >= p.slotCount(e) {
			continue
		}
		distance := e.reuseDistance(adapter)
		warm, coldLoads := p.isWarm(distance), p.coldLoadsInFlight()
		if !warm && float64(coldLoads) >= p.storeConcurrency {
			continue
		}
		e.queue = slices.Delete(e.queue, i, i+1)
		ordered := &adapterSlot{
			state: loading, version: p.versions[adapter], orderedAt: now, reuseDistance: distance, warm: warm, coldLoads: coldLoads,
			checkedEarly: p.mayBeWarm(distance), storeWork: p.storeMeter.workAt(now),
		}
		ordered.nextCheck = now.Add(p.firstConfirmDelay(ordered))
		e.slots[adapter] = ordered
		if !warm {
			p.coldLoadCount++
			p.storeMeter.change(now, 1)
		}
		if slot != nil {
			p.markChanged(e)
		}
		return Order{Kind: Load, Adapter: adapter, Version: p.versions[adapter]}, true
	}
	return Order{}, false
}

// dropLateLoads removes adapters from an engine's queue that can't be loaded before the
// requests that wait for them time out: with a third of the engines lost, late loads took half
// of the weight store's time and as many slots.
func (p *Placer) dropLateLoads(now time.Time, e *engine) {
	e.queue = slices.DeleteFunc(e.queue, func(q queuedLoad) bool {
		late := !q.deadline.IsZero() && now.Add(p.expectedLoad(e, q.adapter)).After(q.deadline)
		if late {
			p.decline(q.adapter)
		}
		return late
	})
}

// drainVictims notifies the gateways of the unload of the adapters with the least demand, until
// the queue and the reserve have slots.
func (p *Placer) drainVictims(now time.Time, e *engine) {
	need := len(e.queue) + p.policy.ReservedSlots
	free := p.slotCount(e) - len(e.slots)
	for _, slot := range e.slots {
		if slot.state == draining || slot.state == unloading {
			free++
		}
	}
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
}

// victim returns the adapter at an engine for which there is the least demand, of those that no
// request uses.
func (p *Placer) victim(now time.Time, e *engine, underPressure bool) string {
	minIdle := p.policy.MinIdle
	if underPressure {
		minIdle = p.policy.MinIdleUnderPressure
	}
	victim, lowest := "", 0.0
	for adapter, slot := range e.slots {
		if slot.state != ready || now.Sub(slot.readySince) < minIdle || e.usage.Adapters[adapter] {
			continue
		}
		if d := p.demand[adapter]; d != nil && now.Sub(d.lastRequest) < minIdle {
			continue
		}
		rate := p.ratePerReplica(now, adapter)
		if victim == "" || rate < lowest {
			victim, lowest = adapter, rate
		}
	}
	return victim
}
