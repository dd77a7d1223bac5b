package placer

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"bronzelead.example/pkg/wire"
)

type placeState int

const (
	// loading is an adapter on its way.
	loading placeState = iota
	// ready is an adapter that requests may use.
	ready
	// leaving is an adapter of which the gateways have been told that it goes.
	leaving
	// dropping is an adapter whose unload waits for its runs.
	dropping
)

// place is one adapter at an engine.
type place struct {
	state   placeState
	version uint64
	// at is when the state is to be looked at again.
	at time.Time
	// since is when the adapter became ready.
	since time.Time
}

// engine is what the leader knows of one start of an engine.
type engine struct {
	info     *wire.Announcement
	accepted uint64
	reported bool
	busy     bool
	// waitUntil is when the engine may be given orders again.
	waitUntil time.Time
	places    map[string]*place
	// recent are adapters that were held lately, the latest last.
	recent []string
	// queue are adapters to be loaded.
	queue    []string
	load     float64
	revision uint64
}

func newEngine() *engine { return &engine{places: map[string]*place{}} }

func (e *engine) open() bool {
	return !e.info.GetDraining() && !e.info.GetSilent() && !e.info.GetGone()
}

func (e *engine) coming() int {
	n := 0
	for _, held := range e.places {
		if held.state == loading {
			n++
		}
	}
	return n
}

// warm reports whether the engine probably keeps a copy of an adapter's weights.
func (e *engine) warm(adapter string, limit int) bool {
	at := slices.Index(e.recent, adapter)
	return at >= 0 && len(e.recent)-at <= limit
}

func (e *engine) remember(adapter string, limit int) {
	e.recent = slices.DeleteFunc(e.recent, func(a string) bool { return a == adapter })
	e.recent = append(e.recent, adapter)
	if over := len(e.recent) - max(limit, 1); over > 0 {
		e.recent = slices.Delete(e.recent, 0, over)
	}
}

func halving(halves float64) float64 { return math.Exp2(-max(0, halves)) }

func compareText(a, b string) int { return strings.Compare(a, b) }

// nextOrder returns the most useful order for an engine that has none under way.
func (p *Placer) nextOrder(now time.Time, e *engine) (Order, bool) {
	if !e.reported {
		return Order{Kind: Report}, true
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

// followUp confirms loads that should have ended and carries out unloads that were
// announced.
func (p *Placer) followUp(now time.Time, e *engine) (Order, bool) {
	for adapter, held := range e.places {
		if now.Before(held.at) {
			continue
		}
		switch held.state {
		case loading:
			return Order{Kind: Confirm, Adapter: adapter, Version: held.version}, true
		case leaving, dropping:
			return Order{Kind: Unload, Adapter: adapter}, true
		case ready:
		}
	}
	return Order{}, false
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
	if !e.open() || e.coming() >= p.policy.MaxComing {
		return Order{}, false
	}
	for i, adapter := range e.queue {
		held := e.places[adapter]
		if held != nil && (held.state != ready || held.version >= p.versions[adapter]) {
			e.queue = slices.Delete(e.queue, i, i+1)
			return p.nextLoad(now, e)
		}
		if held == nil && len(e.places) >= p.slots(e) {
			continue
		}
		e.queue = slices.Delete(e.queue, i, i+1)
		e.places[adapter] = &place{state: loading, version: p.versions[adapter], at: now.Add(p.expected(e, adapter))}
		if held != nil {
			p.touch(e)
		}
		return Order{Kind: Load, Adapter: adapter, Version: p.versions[adapter]}, true
	}
	return Order{}, false
}

func (p *Placer) expected(e *engine, adapter string) time.Duration {
	if e.warm(adapter, p.hostAdapters(e)) {
		return p.policy.WarmLoad
	}
	return p.policy.ColdLoad
}

// makeRoom tells the gateways that the least wanted adapters go, until the queue and
// the reserve have places.
func (p *Placer) makeRoom(now time.Time, e *engine) {
	need := len(e.queue) + p.policy.Reserve
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
		held.state, held.at = leaving, now.Add(p.policy.Notice)
		p.touch(e)
		free++
	}
}

// victim returns the adapter at an engine for which there is the least demand: one that
// nobody has asked for lately, or, if requests wait for a place, any.
func (p *Placer) victim(now time.Time, e *engine, pressed bool) string {
	victim, least := "", 0.0
	for adapter, held := range e.places {
		if held.state != ready || now.Sub(held.since) < p.policy.IdleFor {
			continue
		}
		rate := 0.0
		if d := p.demand[adapter]; d != nil {
			if now.Sub(d.last) < p.policy.IdleFor && !pressed {
				continue
			}
			rate = d.at(now, p.policy.DemandHalfLife)
			if n, _ := p.copies(adapter); n > 1 {
				rate /= float64(n)
			}
		}
		if victim == "" || rate < least {
			victim, least = adapter, rate
		}
	}
	return victim
}

// Done takes the end of an order. State is set for reports that were answered.
func (p *Placer) Done(now time.Time, o Order, outcome Outcome, state *State) {
	e := p.engines[o.Backend]
	if e == nil {
		return
	}
	e.busy = false
	switch {
	case outcome == Gone:
		delete(p.engines, o.Backend)
	case o.Kind == Report:
		p.doneReport(now, e, outcome, state)
	case outcome == Unknown || outcome == Conflict:
		// What the engine has accepted is known only after its reports have caught up.
		e.reported = false
		e.waitUntil = now.Add(p.policy.UnknownWait)
	case o.Kind == Unload:
		p.doneUnload(now, e, o.Adapter, outcome)
	default:
		p.doneLoad(now, e, o, outcome)
	}
}

func (p *Placer) doneLoad(now time.Time, e *engine, o Order, outcome Outcome) {
	held := e.places[o.Adapter]
	if outcome == Accepted {
		e.accepted++
	}
	if held == nil || held.state != loading {
		return
	}
	switch {
	case outcome == Holds:
		held.state, held.since = ready, now
		e.remember(o.Adapter, p.hostAdapters(e))
		p.touch(e)
	case outcome == Accepted && o.Kind == Load:
		held.at = now.Add(p.expected(e, o.Adapter))
	case outcome == Accepted:
		held.at = now.Add(p.policy.ConfirmAgain)
	case outcome == Refused:
		delete(e.places, o.Adapter)
		e.waitUntil = now.Add(p.policy.UnknownWait)
	}
}

func (p *Placer) doneUnload(now time.Time, e *engine, adapter string, outcome Outcome) {
	held := e.places[adapter]
	switch {
	case outcome == Refused || held == nil:
		delete(e.places, adapter)
	case outcome == Holds:
		e.accepted++
		delete(e.places, adapter)
		e.remember(adapter, p.hostAdapters(e))
	case outcome == Accepted:
		e.accepted++
		held.state, held.at = dropping, now.Add(p.policy.RunTime)
	}
}

func (p *Placer) doneReport(now time.Time, e *engine, outcome Outcome, state *State) {
	if outcome != Holds || state == nil {
		e.waitUntil = now.Add(p.policy.UnknownWait)
		return
	}
	e.reported = true
	e.accepted = state.Accepted
	places := map[string]*place{}
	for _, qualified := range state.Adapters {
		adapter, version := splitVersion(qualified)
		places[adapter] = &place{state: ready, version: version, since: now}
		if held := e.places[adapter]; held != nil && held.state != loading {
			places[adapter].state, places[adapter].at = held.state, held.at
		}
		e.remember(adapter, p.hostAdapters(e))
	}
	for _, qualified := range state.Coming {
		adapter, version := splitVersion(qualified)
		places[adapter] = &place{state: loading, version: version, at: now}
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
