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
	// begun is when the load was ordered, and depth how many adapters were held since
	// the engine last had this one; -1 if it never had.
	begun time.Time
	depth int
	// pending is set once the engine has accepted an unload that waits for runs.
	pending bool
	// since is when the adapter became ready.
	since time.Time
}

// engine is what the leader knows of one start of an engine.
type engine struct {
	info     *wire.Announcement
	accepted uint64
	reported bool
	busy     bool
	// model is set once the base model is there.
	model bool
	// modelAt is when a load of the base model is to be looked at.
	modelAt time.Time
	// waitUntil is when the engine may be given orders again.
	waitUntil time.Time
	places    map[string]*place
	// recent are adapters that were held lately, the latest last.
	recent []string
	// queue are adapters to be loaded.
	queue    []string
	use      Use
	revision uint64
}

func newEngine() *engine { return &engine{places: map[string]*place{}} }

func (e *engine) open() bool {
	return !e.info.GetDraining() && !e.info.GetSilent() && !e.info.GetGone()
}

// usable reports whether adapters may be placed at the engine.
func (e *engine) usable() bool { return e.open() && e.reported && e.model }

func (e *engine) coming() int {
	n := 0
	for _, held := range e.places {
		if held.state == loading {
			n++
		}
	}
	return n
}

const (
	// firstHostAdapters is assumed until loads have shown how many copies engines keep.
	firstHostAdapters = 64
	// leastHostAdapters bounds what is learnt from loads that took long for other reasons.
	leastHostAdapters = 8
	// maxRecent bounds the adapters that are remembered of one engine.
	maxRecent = 2000
)

// warm reports whether an engine probably keeps a copy of an adapter's weights.
func (p *Placer) warm(e *engine, adapter string) bool {
	depth := e.depth(adapter)
	return depth >= 0 && depth < p.hostAdapters
}

// depth returns how many adapters were held since the engine last had this one, or -1.
func (e *engine) depth(adapter string) int {
	at := slices.Index(e.recent, adapter)
	if at < 0 {
		return -1
	}
	return len(e.recent) - 1 - at
}

func (e *engine) remember(adapter string) {
	e.recent = slices.DeleteFunc(e.recent, func(a string) bool { return a == adapter })
	e.recent = append(e.recent, adapter)
	if over := len(e.recent) - maxRecent; over > 0 {
		e.recent = slices.Delete(e.recent, 0, over)
	}
}

// learn takes the time of a load to see how many copies engines keep.
func (p *Placer) learn(now time.Time, held *place) {
	quick := now.Sub(held.begun) < p.policy.ColdLoad/2
	switch {
	case held.depth < 0:
	case quick:
		p.hostAdapters = max(p.hostAdapters, held.depth+1)
	case held.depth < p.hostAdapters:
		p.hostAdapters = max(leastHostAdapters, held.depth)
	}
}

func halving(halves float64) float64 { return math.Exp2(-max(0, halves)) }

func compareText(a, b string) int { return strings.Compare(a, b) }

// nextOrder returns the most useful order for an engine that has none under way.
func (p *Placer) nextOrder(now time.Time, e *engine) (Order, bool) {
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

// blocked returns the adapter whose unload waits for its runs: until these have ended
// the engine takes no other orders.
func (e *engine) blocked() (string, *place) {
	for adapter, held := range e.places {
		if held.state == dropping && held.pending {
			return adapter, held
		}
	}
	return "", nil
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
		case leaving:
			if e.use.Adapters[adapter] {
				// A gateway has not heard yet, or its request still runs: an unload
				// would wait for it, and meanwhile the engine takes no other orders.
				held.at = now.Add(p.policy.ConfirmAgain)
				continue
			}
			held.state = dropping
			return Order{Kind: Unload, Adapter: adapter}, true
		case dropping:
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
		e.places[adapter] = &place{
			state: loading, version: p.versions[adapter], begun: now, depth: e.depth(adapter), at: now.Add(p.expected(e, adapter)),
		}
		if held != nil {
			p.touch(e)
		}
		return Order{Kind: Load, Adapter: adapter, Version: p.versions[adapter]}, true
	}
	return Order{}, false
}

func (p *Placer) expected(e *engine, adapter string) time.Duration {
	if p.warm(e, adapter) {
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

// victim returns the adapter at an engine for which there is the least demand, of those
// that no request uses.
func (p *Placer) victim(now time.Time, e *engine, pressed bool) string {
	idleFor := p.policy.IdleFor
	if pressed {
		idleFor = p.policy.IdleUnderPressure
	}
	victim, least := "", 0.0
	for adapter, held := range e.places {
		if held.state != ready || now.Sub(held.since) < idleFor || e.use.Adapters[adapter] {
			continue
		}
		rate := 0.0
		if d := p.demand[adapter]; d != nil {
			if now.Sub(d.last) < idleFor {
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
		// Requests that wait for adapters here are better served elsewhere.
		e.reported = false
		e.queue = nil
		e.waitUntil = now.Add(p.policy.UnknownWait)
	case o.Kind == LoadModel:
		p.doneModel(now, e, outcome)
	case o.Kind == Unload:
		p.doneUnload(now, e, o.Adapter, outcome)
	default:
		p.doneLoad(now, e, o, outcome)
	}
}

// modelAgain is the time between two questions whether a base model is there.
const modelAgain = 100 * time.Millisecond

func (p *Placer) doneModel(now time.Time, e *engine, outcome Outcome) {
	switch {
	case outcome == Holds:
		e.model = true
		p.touch(e)
	case outcome == Accepted:
		e.accepted++
		e.modelAt = now.Add(modelAgain)
	default:
		e.modelAt = now.Add(modelAgain)
	}
}

func (p *Placer) doneLoad(now time.Time, e *engine, o Order, outcome Outcome) {
	held := e.places[o.Adapter]
	if outcome == Accepted && o.Kind == Load {
		// A load that is sent again while it is under way is not counted by the engine.
		e.accepted++
	}
	if held == nil || held.state != loading {
		return
	}
	switch {
	case outcome == Holds:
		held.state, held.since = ready, now
		p.learn(now, held)
		e.remember(o.Adapter)
		p.touch(e)
	case outcome == Accepted && o.Kind == Load:
		held.at = now.Add(p.expected(e, o.Adapter))
	case outcome == Accepted:
		held.at = now.Add(p.policy.ConfirmAgain)
		if cold := held.begun.Add(p.policy.ColdLoad); held.at.Before(cold) {
			held.at = cold
		}
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
		held.pending, held.at = true, now.Add(p.policy.UnloadAgain)
	}
}

func (p *Placer) doneReport(now time.Time, e *engine, outcome Outcome, state *State) {
	if outcome != Holds || state == nil {
		e.waitUntil = now.Add(p.policy.UnknownWait)
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
	}
	for _, qualified := range state.Coming {
		adapter, version := splitVersion(qualified)
		places[adapter] = &place{state: loading, version: version, at: now, begun: now, depth: -1}
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
