package placer

import (
	"time"

	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/retrier"
)

// Policy holds the placer's limits.
type Policy struct {
	// ReservedSlots is the number of slots that are kept free at each engine, so that a load
	// does not have to wait for an unload.
	ReservedSlots int
	// MaxLoadsPerEngine bounds the loads in flight at one engine.
	MaxLoadsPerEngine int
	// ColdLoad and WarmLoad are the expected times of loads from the weight store and
	// from the engine's own memory.
	ColdLoad time.Duration
	WarmLoad time.Duration
	// ConfirmInterval is the time between two checks whether a load has ended.
	ConfirmInterval time.Duration
	// UnloadNotice is the time between notifying the gateways of an unload and ordering it, so
	// that no request is on its way to the adapter.
	UnloadNotice time.Duration
	// RetryBackoff is the wait before the next order to an engine that has not answered.
	RetryBackoff retrier.Backoff
	// ResyncDelay is how long an engine gets no orders after an answer which shows that its
	// state is not as assumed; its reports lag behind.
	ResyncDelay time.Duration
	// DemandHalfLife is the half-life of an adapter's popularity.
	DemandHalfLife time.Duration
	// BurstHalfLife is the same for the rate by which replicas are added: a few times the span
	// in which all gateways report, and longer than requests cluster by chance.
	BurstHalfLife time.Duration
	// RunTime is the expected time of a request at an engine.
	RunTime time.Duration
	// FillPerReplica is the part of an engine's slots that one adapter's requests may take
	// before it gets another replica, and RatePerReplica the requests per second: an engine
	// with many slots is slowed down by reading prompts long before its slots are taken.
	FillPerReplica float64
	RatePerReplica float64
	// PendingLoadTimeout is how long a load without a deadline stays pending.
	PendingLoadTimeout time.Duration
	// MinIdle is how long an adapter must have had no requests before it is unloaded, and
	// MinIdleUnderPressure the same while others wait for its slot.
	MinIdle              time.Duration
	MinIdleUnderPressure time.Duration
	// LoadTimeout is the time after which a load that has not ended is taken for lost.
	LoadTimeout time.Duration
	// UnloadCheckInterval is the time between two checks whether an unload has ended that waits
	// for running requests.
	UnloadCheckInterval time.Duration
	// Disabled are the mechanisms that an experiment disables.
	Disabled ablator.Disabled
}

// DefaultPolicy returns the default limits.
func DefaultPolicy() Policy {
	return Policy{
		ReservedSlots: 1, MaxLoadsPerEngine: 4, ColdLoad: 250 * time.Millisecond, WarmLoad: 25 * time.Millisecond,
		ConfirmInterval: 30 * time.Millisecond, UnloadNotice: 80 * time.Millisecond, ResyncDelay: 250 * time.Millisecond,
		RetryBackoff:   retrier.Backoff{Initial: 10 * time.Millisecond, Max: time.Second},
		DemandHalfLife: 4 * time.Second, BurstHalfLife: 500 * time.Millisecond, RunTime: 400 * time.Millisecond, FillPerReplica: 0.4, RatePerReplica: 16,
		PendingLoadTimeout: 700 * time.Millisecond, MinIdle: 600 * time.Millisecond, MinIdleUnderPressure: 250 * time.Millisecond,
		UnloadCheckInterval: 60 * time.Millisecond, LoadTimeout: 3 * time.Second,
	}
}
