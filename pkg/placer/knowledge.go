package placer

import (
	"time"

	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/wire"
)

// LearnedState is what a leader has learnt and the next one goes on from: without it a new
// leader takes hot adapters for rare ones, and loads from the weight store what an engine
// keeps in its own memory. Each controller keeps it, from what gateways and the leader
// tell. Make one with NewKnowledge.
type LearnedState struct {
	policy Policy
	demand map[string]*demand
	// memories are the weights that each engine seems to keep.
	memories map[string]*memory
	// hostAdapters is the number of adapters whose weights an engine seems to keep, as
	// the times of loads have shown.
	hostAdapters int
	// coldLoad is the learnt time of a load from the weight store, and maxComing the
	// learnt number that it carries at once.
	coldLoad  time.Duration
	maxComing float64
	// learnt is set once a load has changed maxComing.
	learnt bool
}

// NewLearnedState returns knowledge of nothing.
func NewLearnedState(policy Policy) *LearnedState {
	return &LearnedState{
		policy: policy, demand: map[string]*demand{}, memories: map[string]*memory{},
		hostAdapters: firstHostAdapters, coldLoad: policy.ColdLoad, maxComing: firstMaxComing,
	}
}

// demand is the requests a second for an adapter: rate as of the last seconds, and quick as
// of the last moments, which shows at once what has begun to rise.
type demand struct {
	rate  float64
	quick float64
	last  time.Time
}

// RecordRequests counts requests for an adapter.
func (k *LearnedState) RecordRequests(now time.Time, adapter string, requests int) {
	d := k.demand[adapter]
	if d == nil {
		d = &demand{last: now}
		k.demand[adapter] = d
	}
	quick := d.quick * halving(float64(now.Sub(d.last))/float64(k.policy.BurstHalfLife))
	d.quick = quick + float64(requests)*ln2/k.policy.BurstHalfLife.Seconds()
	d.rate = d.at(now, k.policy.DemandHalfLife) + float64(requests)*ln2/k.policy.DemandHalfLife.Seconds()
	d.last = now
}

// at returns the rate after the time that has passed since the last request.
func (d *demand) at(now time.Time, halfLife time.Duration) float64 {
	return d.rate * halving(float64(now.Sub(d.last))/float64(halfLife))
}

// peak returns the higher of the two rates: what rises gets its copies soon, and what has
// paused for a moment keeps them.
func (d *demand) peak(now time.Time, policy *Policy) float64 {
	if policy.Off.Has(ablator.RisingCopies) {
		return d.at(now, policy.DemandHalfLife)
	}
	quick := d.quick * halving(float64(now.Sub(d.last))/float64(policy.BurstHalfLife))
	return max(quick, d.at(now, policy.DemandHalfLife))
}

// PruneDemand drops what counts no longer.
func (k *LearnedState) PruneDemand(now time.Time) {
	for adapter, d := range k.demand {
		if d.at(now, k.policy.DemandHalfLife) < negligibleRate {
			delete(k.demand, adapter)
		}
	}
}

// RemoveEngine drops what is known of an engine that has left.
func (k *LearnedState) RemoveEngine(id string) { delete(k.memories, id) }

// RecordAdapters takes adapters that have come to an engine or gone from it, as another leader tells:
// the engine keeps their weights for a while.
func (k *LearnedState) RecordAdapters(id string, qualified []string) {
	for _, q := range qualified {
		adapter, _ := splitVersion(q)
		k.memory(id).remember(adapter)
	}
}

// Learnt returns the numbers that loads have shown, for the other controllers.
func (k *LearnedState) Learnt() *wire.Learnt {
	return &wire.Learnt{
		ColdLoadUs: uint64(k.coldLoad.Microseconds()), StoreWidth: k.maxComing, KeptCopies: uint32(k.hostAdapters), Measured: k.learnt,
	}
}

// SetLearnt takes the numbers that another leader has learnt. Those that can't be are left
// out.
func (k *LearnedState) SetLearnt(l *wire.Learnt) {
	if cold := time.Duration(l.GetColdLoadUs()) * time.Microsecond; k.isPossible(cold) {
		k.coldLoad = cold
	}
	if width := l.GetStoreWidth(); l.GetMeasured() && width >= 1 && width <= maxStoreWidth {
		k.maxComing, k.learnt = l.GetStoreWidth(), true
	}
	if n := int(l.GetKeptCopies()); n >= leastHostAdapters && n <= maxRecent {
		k.hostAdapters = n
	}
}

// HasCachedWeights reports whether an engine probably keeps a copy of an adapter's weights.
func (k *LearnedState) HasCachedWeights(id, adapter string) bool {
	m := k.memories[id]
	return m != nil && k.isWarm(m.depth(adapter))
}

// Rate returns the requests a second for an adapter.
func (k *LearnedState) Rate(now time.Time, adapter string) float64 {
	if d := k.demand[adapter]; d != nil {
		return d.at(now, k.policy.DemandHalfLife)
	}
	return 0
}

// isWarm reports whether an engine probably keeps the weights of what it held so many
// adapters ago.
func (k *LearnedState) isWarm(depth int) bool { return depth >= 0 && depth < k.hostAdapters+hostProbe }

// maxStoreWidth is more loads at once than any weight store carries.
const maxStoreWidth = 1 << 20

// isPossible reports whether a load from the weight store may take so long, by the policy.
func (k *LearnedState) isPossible(cold time.Duration) bool {
	usual := float64(k.policy.ColdLoad)
	return float64(cold) >= usual/coldBound && float64(cold) <= usual*coldBound
}

func (k *LearnedState) memory(id string) *memory {
	m := k.memories[id]
	if m == nil {
		m = &memory{recent: map[string]int{}}
		k.memories[id] = m
	}
	return m
}

// memory tells how long ago an engine held each adapter.
type memory struct {
	// recent are adapters that were held lately, by the number of the load or unload at
	// which they were seen last, of those that loads counts.
	recent map[string]int
	loads  int
}

// depth returns about how many adapters were held since the engine last had this one, or
// -1 if that is not known.
func (m *memory) depth(adapter string) int {
	at, ok := m.recent[adapter]
	if !ok {
		return -1
	}
	// Each adapter is seen twice, as it comes and as it goes.
	return (m.loads - at) / 2
}

func (m *memory) remember(adapter string) {
	m.loads++
	m.recent[adapter] = m.loads
	if len(m.recent) <= maxRecent {
		return
	}
	for old, at := range m.recent {
		if m.loads-at > maxRecent {
			delete(m.recent, old)
		}
	}
}
