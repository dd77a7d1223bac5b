package placer

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// RecordOutcome processes the outcome of an order. State is set for reports that were answered.
func (p *Placer) RecordOutcome(now time.Time, o Order, outcome Outcome, state *EngineState) {
	e := p.engines[o.Backend]
	if e == nil {
		return
	}
	if o.Kind == Confirm {
		p.recordConfirm(now, e, o, outcome)
		return
	}
	e.orderInFlight = false
	if outcome == Unknown || outcome == Unreachable {
		p.recordNoAnswer(now, e, o, outcome)
		return
	}
	e.failures = 0
	if o.retried {
		outcome = outcomeAfterRetry(o, outcome)
	}
	switch {
	case outcome == WrongIncarnation:
		delete(p.engines, o.Backend)
	case o.Kind == Report:
		p.recordReport(now, e, outcome, state)
	case outcome == Conflict && (!o.retried || o.Kind != Unload):
		// What the engine has accepted is known only after its reports have caught up. Requests
		// that wait for adapters here are better served elsewhere.
		e.reported = false
		p.requeueElsewhere(now, e)
		e.backoffUntil = now.Add(p.policy.ResyncDelay)
	case o.Kind == LoadModel:
		p.recordModelLoad(now, e, outcome)
	case o.Kind == Unload:
		p.recordUnload(now, e, o.Adapter, outcome)
	default:
		p.recordLoad(now, e, o, outcome)
	}
}

// BackOff records that an engine accepts no orders for a time. A later answer may extend this and
// never shortens it.
func (p *Placer) BackOff(now time.Time, id string, d time.Duration) {
	e := p.engines[id]
	if e == nil || d <= 0 {
		return
	}
	if end := now.Add(d); end.After(e.rejectsUntil) {
		e.rejectsUntil = end
	}
	p.requeueElsewhere(now, e)
}

// recordNoAnswer has an order without an answer sent again unchanged. Each order names the
// number of those accepted before, so that only one of the two is carried out, whenever the
// first arrives.
func (p *Placer) recordNoAnswer(now time.Time, e *engine, o Order, outcome Outcome) {
	p.recordFailure(now, e, outcome)
	if o.Kind == Report {
		// It changes nothing and is sent again anyway.
		return
	}
	o.retried = true
	e.retryOrder = &o
	if slot := e.slots[o.Adapter]; slot != nil {
		slot.timingInvalid = true
	}
}

// requeueElsewhere lets the adapters queued at an engine be loaded elsewhere.
func (p *Placer) requeueElsewhere(now time.Time, e *engine) {
	for _, q := range e.queue {
		if q.deadline.IsZero() {
			continue
		}
		p.RequestLoad(now, q.adapter, []string{e.info.GetId()}, q.deadline)
	}
	e.queue = nil
}

// recordFailure counts an order without an answer. The engine gets orders less often each time,
// and in the end its queue is moved elsewhere.
func (p *Placer) recordFailure(now time.Time, e *engine, outcome Outcome) {
	e.failures++
	if outcome == Unreachable {
		e.failures += refusedConnectionFailures - 1
	}
	if e.failures >= avoidAfterFailures {
		p.requeueElsewhere(now, e)
	}
	if outcome == Unreachable || e.failures >= avoidAfterFailures {
		// An unanswered order has taken its timeout already; a refused connection takes no
		// time.
		e.backoffUntil = now.Add(p.policy.RetryBackoff.Delay(e.failures, rand.Float64()))
	}
}

// outcomeAfterRetry returns the outcome of an order that was sent again after no answer. If the
// engine holds or takes what was requested, the order was accepted once, at the first or the
// second attempt. A conflict proves nothing: another order may have been carried out in
// between.
func outcomeAfterRetry(o Order, outcome Outcome) Outcome {
	accepted := outcome == Completed || outcome == Accepted
	if accepted && o.Kind != Unload {
		return Accepted
	}
	return outcome
}

// modelCheckInterval is the time between two checks whether a base model is loaded.
const modelCheckInterval = 100 * time.Millisecond

func (p *Placer) recordModelLoad(now time.Time, e *engine, outcome Outcome) {
	switch outcome {
	case Completed:
		e.modelLoaded = true
		p.markChanged(e)
	case Accepted:
		e.acceptedOrders++
		e.nextModelCheck = now.Add(modelCheckInterval)
	default:
		e.nextModelCheck = now.Add(modelCheckInterval)
	}
}

// recordConfirm processes the answer to a Confirm. While the load is in progress the engine
// accepts it without counting it.
func (p *Placer) recordConfirm(now time.Time, e *engine, o Order, outcome Outcome) {
	e.confirmInFlight = false
	slot := e.slots[o.Adapter]
	switch outcome {
	case WrongIncarnation:
		delete(p.engines, o.Backend)
		return
	case Unknown, Unreachable:
		p.recordFailure(now, e, outcome)
		if slot != nil {
			// Its end will be observed late.
			slot.timingInvalid = true
		}
	default:
		e.failures = 0
	}
	if slot == nil || slot.state != loading {
		return
	}
	if now.Sub(e.confirmSentAt) > maxObservationDelay {
		slot.timingInvalid = true
	}
	if outcome == Completed {
		p.markReady(now, e, o.Adapter, slot)
		return
	}
	slot.nextCheck = now.Add(p.policy.ConfirmInterval)
	if outcome == Accepted && now.Sub(slot.orderedAt) >= warmLoadFactor*p.policy.WarmLoad {
		p.expectStoreLoad(now, slot)
	}
	if now.Sub(slot.orderedAt) > p.policy.LoadTimeout {
		// The adapter is not there after all; the engine has to report its state again.
		e.reported = false
	}
}

// markReady lets requests use an adapter.
func (p *Placer) markReady(now time.Time, e *engine, adapter string, slot *adapterSlot) {
	slot.state, slot.readySince = ready, now
	p.learnLoadTime(now, e, slot)
	p.loadRate.add(now)
	p.loaded = append(p.loaded, adapter)
	e.recordSeen(adapter)
	p.markChanged(e)
}

func (p *Placer) recordLoad(now time.Time, e *engine, o Order, outcome Outcome) {
	slot := e.slots[o.Adapter]
	if outcome == Accepted {
		e.acceptedOrders++
	}
	if slot == nil || slot.state != loading {
		return
	}
	if now.Sub(slot.orderedAt) > maxObservationDelay {
		slot.timingInvalid = true
	}
	switch outcome {
	case Completed:
		p.markReady(now, e, o.Adapter, slot)
	case Accepted:
		slot.accepted = true
		slot.nextCheck = now.Add(p.firstConfirmDelay(slot))
	case Refused:
		delete(e.slots, o.Adapter)
		e.backoffUntil = now.Add(p.policy.ResyncDelay)
	}
}

func (p *Placer) recordUnload(now time.Time, e *engine, adapter string, outcome Outcome) {
	slot := e.slots[adapter]
	switch {
	case outcome == Refused || slot == nil:
		delete(e.slots, adapter)
	case outcome == Conflict:
		// It is a retry; the first order was accepted and may wait for running requests.
		e.acceptedOrders++
		slot.unloadPending, slot.nextCheck = true, now.Add(p.policy.UnloadCheckInterval)
	case outcome == Completed:
		if !slot.unloadPending {
			// An unload that was accepted before has been counted.
			e.acceptedOrders++
		}
		delete(e.slots, adapter)
		e.recordSeen(adapter)
	case outcome == Accepted:
		if !slot.unloadPending {
			e.acceptedOrders++
		}
		slot.unloadPending, slot.nextCheck = true, now.Add(p.policy.UnloadCheckInterval)
	}
}

func (p *Placer) recordReport(now time.Time, e *engine, outcome Outcome, state *EngineState) {
	if outcome != Completed || state == nil {
		e.backoffUntil = now.Add(p.policy.ResyncDelay)
		return
	}
	e.reported = true
	e.acceptedOrders = state.Accepted
	e.modelLoaded = len(state.Models) > 0
	slots := map[string]*adapterSlot{}
	for _, qualified := range state.Adapters {
		adapter, version := splitVersion(qualified)
		slots[adapter] = &adapterSlot{state: ready, version: version, readySince: now}
		if slot := e.slots[adapter]; slot != nil && slot.state != loading {
			slots[adapter].state, slots[adapter].nextCheck, slots[adapter].unloadPending = slot.state, slot.nextCheck, slot.unloadPending
		}
		e.recordSeen(adapter)
		if p.demand[adapter] == nil {
			// A new leader has seen no requests yet; loaded adapters were in demand.
			p.demand[adapter] = &demand{rate: assumedRate, lastRequest: now.Add(-p.policy.MinIdle)}
		}
	}
	for _, qualified := range state.Loading {
		adapter, version := splitVersion(qualified)
		slots[adapter] = &adapterSlot{state: loading, version: version, nextCheck: now, orderedAt: now, reuseDistance: -1, accepted: true, timingInvalid: true}
	}
	e.slots = slots
	p.markChanged(e)
}

func splitVersion(qualified string) (string, uint64) {
	adapter, version, _ := strings.Cut(qualified, "@")
	// A missing version counts as the lowest.
	n, _ := strconv.ParseUint(version, 10, 64)
	return adapter, n
}
