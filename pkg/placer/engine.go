package placer

import (
	"slices"
	"time"

	"bronzelead.example/pkg/throttler"
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
	// repeated is set if the order was given again, a question went unanswered, or this
	// instance was late itself, so that the time until its end was seen says nothing.
	repeated bool
	// accepted is set once the engine has accepted the load.
	accepted bool
	// pending is set once the engine has accepted an unload that waits for runs.
	pending bool
	// since is when the adapter became ready.
	since time.Time
}

// queued is an adapter that waits for its load.
type queued struct {
	adapter string
	// until is when the requests that wait for it give up; zero if none waits.
	until time.Time
}

// engine is what the leader knows of one start of an engine.
type engine struct {
	info     *wire.Announcement
	accepted uint64
	reported bool
	busy     bool
	// limit is its request limit.
	limit throttler.Limit
	// asking is set while a question whether a load has ended is under way.
	asking bool
	// askedAt is when the last question was asked.
	askedAt time.Time
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
	*memory
	// queue are adapters to be loaded.
	queue []queued
	// rooms are what places cost there, the cheapest first, as of the last plan.
	rooms []float64
	use   Usage
}

func newEngine(m *memory) *engine { return &engine{memory: m, places: map[string]*place{}} }

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

// waits returns the place of an adapter in the queue, or -1.
func (e *engine) waits(adapter string) int {
	return slices.IndexFunc(e.queue, func(q queued) bool { return q.adapter == adapter })
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
