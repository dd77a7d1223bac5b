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
	// warm is set if the load should come from the engine's own memory.
	warm bool
	// coming is how many cold loads were on their way when it began.
	coming int
	// repeated is set if the order was given again, so that its time says nothing.
	repeated bool
	// accepted is set once the engine has accepted the load.
	accepted bool
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
	// asking is set while a question whether a load has ended is under way.
	asking bool
	// model is set once the base model is there.
	model bool
	// modelAt is when a load of the base model is to be looked at.
	modelAt time.Time
	// unanswered is an order without an answer, which is given again as it was.
	unanswered *Order
	// failures counts orders in a row without an answer.
	failures int
	// waitUntil is when the engine may be given orders again.
	waitUntil time.Time
	places    map[string]*place
	// recent are adapters that were held lately, by the number of the load or unload at
	// which they were seen last, of those that loads counts.
	recent map[string]int
	loads  int
	// queue are adapters to be loaded.
	queue    []string
	use      Use
	revision uint64
}

func newEngine() *engine { return &engine{places: map[string]*place{}, recent: map[string]int{}} }

func (e *engine) open() bool {
	return !e.info.GetDraining() && !e.info.GetSilent() && !e.info.GetGone()
}

// takesOrders reports whether adapters may be placed at the engine.
func (e *engine) takesOrders() bool {
	return e.open() && e.reported && e.model && e.failures < failuresToAvoid
}

// serves reports whether requests may use what the engine holds. A single order without
// an answer says nothing about that.
func (e *engine) serves() bool { return e.open() && e.failures < failuresToDoubt }

const (
	// failuresToAvoid is the number of orders in a row without an answer after which other
	// engines are preferred.
	failuresToAvoid = 6
	// failuresToDoubt is the number after which the engine counts as lost.
	failuresToDoubt = 12
	// failuresOfRefusal is what a refused connection counts for: nothing listens there.
	failuresOfRefusal = 3
)

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
	depth := e.depth(adapter)
	return depth >= 0 && depth < p.hostAdapters+hostProbe
}

// depth returns about how many adapters were held since the engine last had this one, or
// -1 if that is not known.
func (e *engine) depth(adapter string) int {
	at, ok := e.recent[adapter]
	if !ok {
		return -1
	}
	// Each adapter is seen twice, as it comes and as it goes.
	return (e.loads - at) / 2
}

func (e *engine) remember(adapter string) {
	e.loads++
	e.recent[adapter] = e.loads
	if len(e.recent) <= maxRecent {
		return
	}
	for old, at := range e.recent {
		if e.loads-at > maxRecent {
			delete(e.recent, old)
		}
	}
}

// learn takes the time of a load to see how many copies engines keep.
func (p *Placer) learn(now time.Time, held *place) {
	took := now.Sub(held.begun)
	quick := took < p.coldLoad/2
	if !quick && !held.repeated {
		p.learnCold(held, took)
	}
	switch {
	case held.depth < 0:
	case quick:
		p.hostAdapters = max(p.hostAdapters, held.depth+1)
	case held.depth < p.hostAdapters && !held.repeated:
		p.hostAdapters = max(leastHostAdapters, p.hostAdapters-1)
	}
}

func halving(halves float64) float64 { return math.Exp2(-max(0, halves)) }

func compareText(a, b string) int { return strings.Compare(a, b) }

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
	slowLoad = 1.6
	freeLoad = 1.3
	// leastComing bounds what is learnt from loads that were slow for other reasons.
	leastComing = 12
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

// comingCold counts the cold loads on their way to all engines.
func (p *Placer) comingCold() int {
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
				held.at = now.Add(p.policy.ConfirmAgain)
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
		warm, coming := p.warm(e, adapter), p.comingCold()
		if !warm && float64(coming) >= p.maxComing {
			continue
		}
		e.queue = slices.Delete(e.queue, i, i+1)
		e.places[adapter] = &place{
			state: loading, version: p.versions[adapter], begun: now, depth: e.depth(adapter), warm: warm, coming: coming,
			at: now.Add(p.expected(e, adapter)),
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
	return p.expectedCold()
}

// expectedCold returns the time after which a load from the weight store may have ended.
func (p *Placer) expectedCold() time.Duration {
	crowd := max(1, float64(p.comingCold())/p.maxComing)
	return time.Duration(float64(p.coldLoad) * askEarly * crowd)
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
	case outcome == Gone:
		delete(p.engines, o.Backend)
	case o.Kind == Report:
		p.doneReport(now, e, outcome, state)
	case outcome == Conflict && (!o.repeated || o.Kind != Unload):
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

// countFailure counts an order without an answer. An engine that gives none for long is
// asked less often, and what waits for it goes elsewhere.
func (p *Placer) countFailure(now time.Time, e *engine, outcome Outcome) {
	e.failures++
	if outcome == Unreachable {
		e.failures += failuresOfRefusal - 1
	}
	if e.failures >= failuresToAvoid {
		e.queue = nil
		e.waitUntil = now.Add(p.policy.UnknownWait)
	}
}

// afterRepeat tells the outcome of an order that was given again after no answer: it was
// accepted once, the first time or now, whatever the engine says of the second.
func afterRepeat(o Order, outcome Outcome) Outcome {
	accepted := outcome == Conflict || outcome == Holds || outcome == Accepted
	if accepted && o.Kind != Unload {
		return Accepted
	}
	return outcome
}

// modelAgain is the time between two questions whether a base model is there.
const modelAgain = 100 * time.Millisecond

func (p *Placer) doneModel(now time.Time, e *engine, outcome Outcome) {
	switch outcome {
	case Holds:
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
	case Gone:
		delete(p.engines, o.Backend)
		return
	case Unknown, Unreachable:
		p.countFailure(now, e, outcome)
	default:
		e.failures = 0
	}
	if held == nil || held.state != loading {
		return
	}
	if outcome == Holds {
		p.loaded(now, e, o.Adapter, held)
		return
	}
	held.at = now.Add(p.policy.ConfirmAgain)
	if cold := held.begun.Add(p.expectedCold()); held.warm && outcome == Accepted && held.at.Before(cold) {
		held.at = cold
	}
	if now.Sub(held.begun) > p.policy.LostLoad {
		// It is not there after all; what the engine holds has to be asked.
		e.reported = false
	}
}

// loaded lets requests use an adapter.
func (p *Placer) loaded(now time.Time, e *engine, adapter string, held *place) {
	held.state, held.since = ready, now
	p.learn(now, held)
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
	switch outcome {
	case Holds:
		p.loaded(now, e, o.Adapter, held)
	case Accepted:
		held.accepted = true
		held.at = now.Add(p.expected(e, o.Adapter))
	case Refused:
		delete(e.places, o.Adapter)
		e.waitUntil = now.Add(p.policy.UnknownWait)
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
		held.pending, held.at = true, now.Add(p.policy.UnloadAgain)
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
		if p.demand[adapter] == nil {
			// A leader that has just begun knows of no requests; what is there was wanted.
			p.demand[adapter] = &demand{rate: assumedRate, last: now.Add(-p.policy.IdleFor)}
		}
	}
	for _, qualified := range state.Coming {
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
