package placer

import (
	"math"
	"time"

	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/wire"
)

// LearnedState is what a leader has learned and its successor continues from: without it a new
// leader takes hot adapters for rare ones, and loads from the weight store what an engine keeps
// in its own memory. Each controller keeps it, from the reports of gateways and the leader.
// Create one with NewLearnedState.
type LearnedState struct {
	policy Policy
	demand map[string]*demand
	// caches are the weights that each engine seems to keep.
	caches map[string]*weightCache
	// hostAdapters is the number of adapters whose weights an engine seems to keep, estimated
	// from load times.
	hostAdapters int
	// coldLoad is the learned time of a load from the weight store, and storeConcurrency the
	// learned number of loads that it carries at once.
	coldLoad         time.Duration
	storeConcurrency float64
	// measured is set once a load has changed storeConcurrency.
	measured bool
	// hostLoads and store are the recent loads from which the estimates are computed. A new
	// leader starts without them.
	hostLoads []hostLoad
	store     storeWatch
}

// NewLearnedState returns a state with initial estimates.
func NewLearnedState(policy Policy) *LearnedState {
	return &LearnedState{
		policy: policy, demand: map[string]*demand{}, caches: map[string]*weightCache{},
		hostAdapters: initialHostAdapters, coldLoad: policy.ColdLoad, storeConcurrency: initialStoreConcurrency,
	}
}

// demand is the requests per second for an adapter: rate over the last seconds, and burstRate
// over the last moments, which shows a rise at once.
type demand struct {
	rate        float64
	burstRate   float64
	lastRequest time.Time
}

// RecordRequests counts requests for an adapter.
func (s *LearnedState) RecordRequests(now time.Time, adapter string, requests int) {
	d := s.demand[adapter]
	if d == nil {
		if len(s.demand) >= maxDemand {
			s.forgetLittleDemand(now)
		}
		d = &demand{lastRequest: now}
		s.demand[adapter] = d
	}
	burst := d.burstRate * decayFactor(float64(now.Sub(d.lastRequest))/float64(s.policy.BurstHalfLife))
	d.burstRate = burst + float64(requests)*ln2/s.policy.BurstHalfLife.Seconds()
	d.rate = d.rateAt(now, s.policy.DemandHalfLife) + float64(requests)*ln2/s.policy.DemandHalfLife.Seconds()
	d.lastRequest = now
}

const (
	// maxDemand bounds the adapters whose demand is known: callers may name any.
	maxDemand = 1 << 16
	// demandSample is the number of adapters of which the one with the least demand is forgotten.
	demandSample = 8
)

// forgetLittleDemand drops the adapter with the least demand among a few.
func (s *LearnedState) forgetLittleDemand(now time.Time) {
	least, leastRate, seen := "", math.Inf(1), 0
	for adapter, d := range s.demand {
		if rate := d.rateAt(now, s.policy.DemandHalfLife); rate < leastRate {
			least, leastRate = adapter, rate
		}
		if seen++; seen == demandSample {
			break
		}
	}
	delete(s.demand, least)
}

// rateAt returns the rate, decayed since the last request.
func (d *demand) rateAt(now time.Time, halfLife time.Duration) float64 {
	return d.rate * decayFactor(float64(now.Sub(d.lastRequest))/float64(halfLife))
}

// peakRate returns the higher of the two rates: rising demand gets its replicas soon, and
// demand that has paused for a moment keeps them.
func (d *demand) peakRate(now time.Time, policy *Policy) float64 {
	if policy.Disabled.Has(ablator.RisingCopies) {
		return d.rateAt(now, policy.DemandHalfLife)
	}
	burst := d.burstRate * decayFactor(float64(now.Sub(d.lastRequest))/float64(policy.BurstHalfLife))
	return max(burst, d.rateAt(now, policy.DemandHalfLife))
}

// PruneDemand drops adapters with a negligible rate.
func (s *LearnedState) PruneDemand(now time.Time) {
	for adapter, d := range s.demand {
		if d.rateAt(now, s.policy.DemandHalfLife) < negligibleRate {
			delete(s.demand, adapter)
		}
	}
}

// RemoveEngine drops the state of an engine that was removed.
func (s *LearnedState) RemoveEngine(id string) {
	delete(s.caches, id)
	delete(s.store.nearLimit, id)
	delete(s.store.baseline, id)
	delete(s.store.fastest, id)
}

// RecordAdapters records adapters that were loaded or unloaded at an engine, as another leader
// reports: the engine keeps their weights for a while.
func (s *LearnedState) RecordAdapters(id string, qualified []string) {
	for _, q := range qualified {
		adapter, _ := splitVersion(q)
		s.cache(id).recordSeen(adapter)
	}
}

// Learnt returns the learned estimates, for the other controllers.
func (s *LearnedState) Learnt() *wire.Learnt {
	return &wire.Learnt{
		ColdLoadUs: uint64(s.coldLoad.Microseconds()), StoreWidth: s.storeConcurrency, KeptCopies: uint32(s.hostAdapters), Measured: s.measured,
	}
}

// SetLearnt takes the estimates of another leader and ignores implausible ones.
func (s *LearnedState) SetLearnt(l *wire.Learnt) {
	if cold := time.Duration(l.GetColdLoadUs()) * time.Microsecond; s.isPlausible(cold) {
		s.coldLoad = cold
	}
	if concurrency := l.GetStoreWidth(); l.GetMeasured() && concurrency >= 1 && concurrency <= maxStoreConcurrency {
		s.storeConcurrency, s.measured = l.GetStoreWidth(), true
	}
	if n := int(l.GetKeptCopies()); n >= minHostAdapters && n <= maxCacheHistory {
		s.hostAdapters = n
	}
	// Loads that this instance has observed as an earlier leader are out of date.
	s.hostLoads, s.store = nil, storeWatch{contended: s.measured}
}

// HasCachedWeights reports whether an engine probably keeps a copy of an adapter's weights.
func (s *LearnedState) HasCachedWeights(id, adapter string) bool {
	c := s.caches[id]
	return c != nil && s.isWarm(c.reuseDistance(adapter))
}

// Rate returns the requests per second for an adapter.
func (s *LearnedState) Rate(now time.Time, adapter string) float64 {
	if d := s.demand[adapter]; d != nil {
		return d.rateAt(now, s.policy.DemandHalfLife)
	}
	return 0
}

// isWarm reports whether an engine probably keeps the weights of what it held so many adapters
// ago.
func (s *LearnedState) isWarm(reuseDistance int) bool {
	return reuseDistance >= 0 && reuseDistance < s.hostAdapters
}

// mayBeWarm is the same, in case the learned number of copies is too low.
func (s *LearnedState) mayBeWarm(reuseDistance int) bool {
	return reuseDistance >= 0 && reuseDistance < hostProbeFactor*s.hostAdapters
}

// maxStoreConcurrency is more loads at once than any weight store carries.
const maxStoreConcurrency = 1 << 20

// isPlausible reports whether a load from the weight store may take so long, by the policy.
func (s *LearnedState) isPlausible(cold time.Duration) bool {
	expected := float64(s.policy.ColdLoad)
	return float64(cold) >= expected/maxColdLoadFactor && float64(cold) <= expected*maxColdLoadFactor
}

func (s *LearnedState) cache(id string) *weightCache {
	c := s.caches[id]
	if c == nil {
		c = &weightCache{lastSeen: map[string]int{}}
		s.caches[id] = c
	}
	return c
}

// weightCache records how long ago an engine held each adapter.
type weightCache struct {
	// lastSeen maps recent adapters to the number of the load or unload at which they were last
	// seen; events counts these.
	lastSeen map[string]int
	events   int
}

// reuseDistance returns about how many adapters were held since the engine last had this one,
// or -1 if that is not known.
func (c *weightCache) reuseDistance(adapter string) int {
	at, ok := c.lastSeen[adapter]
	if !ok {
		return -1
	}
	// Each adapter is recorded twice, when it is loaded and when it is unloaded.
	return (c.events - at) / 2
}

func (c *weightCache) recordSeen(adapter string) {
	c.events++
	c.lastSeen[adapter] = c.events
	if len(c.lastSeen) <= maxCacheHistory {
		return
	}
	for old, at := range c.lastSeen {
		if c.events-at > maxCacheHistory {
			delete(c.lastSeen, old)
		}
	}
}
