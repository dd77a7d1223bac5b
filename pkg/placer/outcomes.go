package placer

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// RecordOutcome takes the end of an order. State is set for reports that were answered.
func (p *Placer) RecordOutcome(now time.Time, o Order, outcome Outcome, state *EngineState) {
	e := p.engines[o.Backend]
	if e == nil {
		return
	}
	if o.Kind == Confirm {
		p.doneQuestion(now, e, o, outcome)
		return
	}
	e.busy = false
	if outcome == Unknown || outcome == Unreachable {
		p.doneUnanswered(now, e, o, outcome)
		return
	}
	e.failures = 0
	if o.repeated {
		outcome = afterRepeat(o, outcome)
	}
	switch {
	case outcome == WrongIncarnation:
		delete(p.engines, o.Backend)
	case o.Kind == Report:
		p.doneReport(now, e, outcome, state)
	case outcome == Conflict && (!o.repeated || o.Kind != Unload):
		// What the engine has accepted is known only after its reports have caught up.
		// Requests that wait for adapters here are better served elsewhere.
		e.reported = false
		p.giveBack(now, e)
		e.waitUntil = now.Add(p.policy.ResyncDelay)
	case o.Kind == LoadModel:
		p.doneModel(now, e, outcome)
	case o.Kind == Unload:
		p.doneUnload(now, e, o.Adapter, outcome)
	default:
		p.doneLoad(now, e, o, outcome)
	}
}

// doneUnanswered lets an order without an answer be given again as it was. Each order
// names the number of those accepted before, so that only one of the two is carried out,
// whenever the first arrives.
func (p *Placer) doneUnanswered(now time.Time, e *engine, o Order, outcome Outcome) {
	p.countFailure(now, e, outcome)
	if o.Kind == Report {
		// It changes nothing and comes again by itself.
		return
	}
	o.repeated = true
	e.unanswered = &o
	if held := e.places[o.Adapter]; held != nil {
		held.repeated = true
	}
}

// giveBack lets what waits for loads at an engine be loaded elsewhere.
func (p *Placer) giveBack(now time.Time, e *engine) {
	for _, q := range e.queue {
		if q.until.IsZero() {
			continue
		}
		p.RequestLoad(now, q.adapter, []string{e.info.GetId()}, q.until)
	}
	e.queue = nil
}

// countFailure counts an order without an answer. An engine that gives none is asked less
// often each time, and in the end what waits for it goes elsewhere.
func (p *Placer) countFailure(now time.Time, e *engine, outcome Outcome) {
	e.failures++
	if outcome == Unreachable {
		e.failures += failuresOfRefusal - 1
	}
	if e.failures >= failuresToAvoid {
		p.giveBack(now, e)
	}
	if outcome == Unreachable || e.failures >= failuresToAvoid {
		// One without an answer has taken its timeout already; a refused connection takes no time.
		e.waitUntil = now.Add(p.policy.RetryBackoff.Delay(e.failures, rand.Float64()))
	}
}

// afterRepeat tells the outcome of an order that was given again after no answer. Where the
// engine holds or takes what was asked for, the order was accepted once, the first time or now. A
// conflict tells nothing of it: another order may have been carried out in between.
func afterRepeat(o Order, outcome Outcome) Outcome {
	accepted := outcome == Completed || outcome == Accepted
	if accepted && o.Kind != Unload {
		return Accepted
	}
	return outcome
}

// modelAgain is the time between two questions whether a base model is there.
const modelAgain = 100 * time.Millisecond

func (p *Placer) doneModel(now time.Time, e *engine, outcome Outcome) {
	switch outcome {
	case Completed:
		e.model = true
		p.touch(e)
	case Accepted:
		e.accepted++
		e.modelAt = now.Add(modelAgain)
	default:
		e.modelAt = now.Add(modelAgain)
	}
}

// doneQuestion takes the answer to a load that was sent again. While the load is under
// way the engine accepts it without counting it.
func (p *Placer) doneQuestion(now time.Time, e *engine, o Order, outcome Outcome) {
	e.asking = false
	held := e.places[o.Adapter]
	switch outcome {
	case WrongIncarnation:
		delete(p.engines, o.Backend)
		return
	case Unknown, Unreachable:
		p.countFailure(now, e, outcome)
		if held != nil {
			// Its end will be seen late.
			held.repeated = true
		}
	default:
		e.failures = 0
	}
	if held == nil || held.state != loading {
		return
	}
	if now.Sub(e.askedAt) > lateSight {
		held.repeated = true
	}
	if outcome == Completed {
		p.loaded(now, e, o.Adapter, held)
		return
	}
	held.at = now.Add(p.policy.ConfirmInterval)
	if cold := held.begun.Add(p.expectedCold()); held.warm && outcome == Accepted && held.at.Before(cold) {
		held.at = cold
	}
	if now.Sub(held.begun) > p.policy.LoadTimeout {
		// It is not there after all; what the engine holds has to be asked.
		e.reported = false
	}
}

// loaded lets requests use an adapter.
func (p *Placer) loaded(now time.Time, e *engine, adapter string, held *place) {
	held.state, held.since = ready, now
	p.learn(now, held)
	p.pace.add(now)
	p.fresh = append(p.fresh, adapter)
	e.remember(adapter)
	p.touch(e)
}

func (p *Placer) doneLoad(now time.Time, e *engine, o Order, outcome Outcome) {
	held := e.places[o.Adapter]
	if outcome == Accepted {
		e.accepted++
	}
	if held == nil || held.state != loading {
		return
	}
	if now.Sub(held.begun) > lateSight {
		held.repeated = true
	}
	switch outcome {
	case Completed:
		p.loaded(now, e, o.Adapter, held)
	case Accepted:
		held.accepted = true
		held.at = now.Add(p.expected(e, o.Adapter))
	case Refused:
		delete(e.places, o.Adapter)
		e.waitUntil = now.Add(p.policy.ResyncDelay)
	}
}

func (p *Placer) doneUnload(now time.Time, e *engine, adapter string, outcome Outcome) {
	held := e.places[adapter]
	switch {
	case outcome == Refused || held == nil:
		delete(e.places, adapter)
	case outcome == Conflict:
		// It was given again after no answer; the first was accepted and may wait for runs.
		e.accepted++
		held.pending, held.at = true, now.Add(p.policy.UnloadCheckInterval)
	case outcome == Completed:
		if !held.pending {
			// One that was accepted before has been counted.
			e.accepted++
		}
		delete(e.places, adapter)
		e.remember(adapter)
	case outcome == Accepted:
		if !held.pending {
			e.accepted++
		}
		held.pending, held.at = true, now.Add(p.policy.UnloadCheckInterval)
	}
}

func (p *Placer) doneReport(now time.Time, e *engine, outcome Outcome, state *EngineState) {
	if outcome != Completed || state == nil {
		e.waitUntil = now.Add(p.policy.ResyncDelay)
		return
	}
	e.reported = true
	e.accepted = state.Accepted
	e.model = len(state.Models) > 0
	places := map[string]*place{}
	for _, qualified := range state.Adapters {
		adapter, version := splitVersion(qualified)
		places[adapter] = &place{state: ready, version: version, since: now}
		if held := e.places[adapter]; held != nil && held.state != loading {
			places[adapter].state, places[adapter].at, places[adapter].pending = held.state, held.at, held.pending
		}
		e.remember(adapter)
		if p.demand[adapter] == nil {
			// A leader that has just begun knows of no requests; what is there was wanted.
			p.demand[adapter] = &demand{rate: assumedRate, last: now.Add(-p.policy.MinIdle)}
		}
	}
	for _, qualified := range state.Loading {
		adapter, version := splitVersion(qualified)
		places[adapter] = &place{state: loading, version: version, at: now, begun: now, depth: -1, accepted: true}
	}
	e.places = places
	p.touch(e)
}

func splitVersion(qualified string) (string, uint64) {
	adapter, version, _ := strings.Cut(qualified, "@")
	// No version counts as the lowest.
	n, _ := strconv.ParseUint(version, 10, 64)
	return adapter, n
}
