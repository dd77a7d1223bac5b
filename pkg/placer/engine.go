package placer

import (
	"slices"
	"time"

	"bronzelead.example/pkg/throttler"
	"bronzelead.example/pkg/wire"
)

type slotState int

const (
	// loading means that the load was ordered and has not ended.
	loading slotState = iota
	// ready means that requests may use the adapter.
	ready
	// draining means that the gateways are notified of the coming unload.
	draining
	// unloading means that the unload was ordered; it waits for running requests.
	unloading
)

// adapterSlot holds one adapter at an engine.
type adapterSlot struct {
	state   slotState
	version uint64
	// nextCheck is when the state is to be checked again.
	nextCheck time.Time
	// orderedAt is when the load was ordered, and reuseDistance how many adapters were held
	// since the engine last had this one; -1 if it never had.
	orderedAt     time.Time
	reuseDistance int
	// warm is set if the load should come from the engine's own memory, and checkedEarly if it
	// is checked soon enough to observe that it does.
	warm         bool
	checkedEarly bool
	// coldLoads is the number of cold loads in flight when it was ordered, and storeWork the work
	// of the weight store until then.
	coldLoads int
	storeWork float64
	// timingInvalid is set if the order was sent again, a Confirm went unanswered, or this
	// instance was late itself, so that the observed load time means nothing.
	timingInvalid bool
	// accepted is set once the engine has accepted the load.
	accepted bool
	// unloadPending is set once the engine has accepted an unload that waits for running
	// requests.
	unloadPending bool
	// readySince is when the adapter became ready.
	readySince time.Time
}

// queuedLoad is an adapter queued for loading.
type queuedLoad struct {
	adapter string
	// deadline is when the requests that wait for it time out; zero if none waits.
	deadline time.Time
}

// engine is the leader's view of one incarnation of an engine.
type engine struct {
	info           *wire.Announcement
	acceptedOrders uint64
	reported       bool
	orderInFlight  bool
	// limit is its request limit.
	limit throttler.Limit
	// confirmInFlight is set while a Confirm is unanswered.
	confirmInFlight bool
	// confirmSentAt is when the last Confirm was sent.
	confirmSentAt time.Time
	// modelLoaded is set once the base model is loaded.
	modelLoaded bool
	// nextModelCheck is when a load of the base model is to be checked.
	nextModelCheck time.Time
	// retryOrder is an order without an answer, which is sent again unchanged.
	retryOrder *Order
	// failures counts consecutive orders without an answer.
	failures int
	// backoffUntil is when the engine may be given orders again.
	backoffUntil time.Time
	// rejectsUntil is until when the engine accepts no orders, by its own answers.
	rejectsUntil time.Time
	slots        map[string]*adapterSlot
	*weightCache
	// queue holds the adapters to be loaded.
	queue []queuedLoad
	// slotCosts are the requests per second of what its slots hold, lowest first, as of the last plan.
	slotCosts []float64
	usage     Usage
	// overloadedSince is since when it has been much busier than the others, and relievedAt when
	// a spare replica was last granted for one of its adapters.
	overloadedSince time.Time
	relievedAt      time.Time
	// pace is how long it takes for the same work, relative to the median of its service.
	pace float64
}

func newEngine(cache *weightCache) *engine {
	return &engine{weightCache: cache, pace: 1, slots: map[string]*adapterSlot{}}
}

func (e *engine) isAvailable() bool {
	return !e.info.GetDraining() && !e.info.GetSilent() && !e.info.GetGone()
}

// acceptsAdapters reports whether adapters may be placed at the engine.
func (e *engine) acceptsAdapters() bool {
	return e.isAvailable() && e.reported && e.modelLoaded && e.failures < avoidAfterFailures
}

// servesRequests reports whether requests may use the engine's adapters. A single order without
// an answer is no evidence against that.
func (e *engine) servesRequests() bool { return e.isAvailable() && e.failures < lostAfterFailures }

const (
	// avoidAfterFailures is the number of consecutive orders without an answer after which
	// other engines are preferred.
	avoidAfterFailures = 6
	// lostAfterFailures is the number after which the engine counts as lost.
	lostAfterFailures = 12
	// refusedConnectionFailures is what a refused connection counts for: nothing listens there.
	refusedConnectionFailures = 3
)

// queueIndex returns the position of an adapter in the queue, or -1.
func (e *engine) queueIndex(adapter string) int {
	return slices.IndexFunc(e.queue, func(q queuedLoad) bool { return q.adapter == adapter })
}

func (e *engine) loadingCount() int {
	n := 0
	for _, slot := range e.slots {
		if slot.state == loading {
			n++
		}
	}
	return n
}

// blockingUnload returns the adapter whose unload waits for running requests: until these have
// ended the engine takes no other orders.
func (e *engine) blockingUnload() (string, *adapterSlot) {
	for adapter, slot := range e.slots {
		if slot.state == unloading && slot.unloadPending {
			return adapter, slot
		}
	}
	return "", nil
}
