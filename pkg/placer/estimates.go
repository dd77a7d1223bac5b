package placer

import (
	"math"
	"slices"
	"time"
)

// The estimates of this file handle a deployment whose true values differ from the initial ones,
// while some engines are slow, some answers are late and some loads are taken for warm ones.
// Each is computed from a window of recent loads, so that a value that is wrong in either
// direction is corrected within some dozens of loads, and a few outliers change nothing.

const (
	// hostWindow is the number of loads from which hostAdapters is computed.
	hostWindow = 48
	// quickLoadWeight is the weight of a load that was quicker than hostAdapters suggests,
	// relative to one that was slower: many causes slow a load down, and only a copy makes it
	// quick. Repeated loads of the same adapters make distances look longer than they are, so a
	// single quick load is no proof either.
	quickLoadWeight = 1.5
	// storeWindow is the number of loads on which a reduction of storeConcurrency is based, and
	// contendedShare the share of the engines that must show contention. Each engine counts the
	// same, with its latest loads: those of slow engines end together, and are then a majority.
	storeWindow    = 12
	contendedShare = 0.6
	// nearLimit is the part of storeConcurrency that must be in flight for a load at full speed to
	// show that the store is not contended.
	nearLimit = 0.5
	// shareQuantile selects, among the estimates of several loads, one that is not lowered by
	// slow engines.
	shareQuantile = 0.75
	// maxEvidenceAge is how long a load counts, and maxProofAge how long one at full speed keeps
	// the estimate from falling below the number that was in flight.
	maxEvidenceAge = 2 * time.Second
	// An engine is slow if it was at full speed at no time, and others were with at least
	// comparableLoads times as many loads in flight. One or two such loads may be outliers.
	comparableLoads = 0.6
	minFastEngines  = 3
	// evaluatedEngines is the number of engines from which contention is not looked for at the end
	// of each load: that takes time in proportion to the engines. maxEvidence bounds the loads that
	// are required, since a store ends no more of them in time for a larger system.
	evaluatedEngines = 100
	maxEvidence      = 48
	// maxFastestAge is how long the fastest load of an engine shows that it is not slow.
	maxFastestAge = 10 * time.Second
	maxProofAge   = time.Second
	// minBaseline is the number of loads from which the time of an uncontended load is computed,
	// and baselineQuantile its place among them: late and lost answers make loads look longer,
	// and nothing makes them look shorter.
	minBaseline      = 8
	baselineQuantile = 0.25
	// initialGrowth is the factor by which storeConcurrency exceeds what the store has been
	// shown to carry until it was first contended, and growth the same afterwards. An estimate
	// that is slightly too high costs nothing, as each load then takes longer in proportion.
	initialGrowth = 1.5
	growth        = 1.1
)

// hostLoad is a load of an adapter that its engine had held before.
type hostLoad struct {
	// distance is the number of adapters held since.
	distance int
	quick    bool
}

// storeLoad is a load from the weight store.
type storeLoad struct {
	endedAt time.Time
	took    time.Duration
	// fewest and most are the lower and the higher of the number of loads in flight when it was
	// ordered and the mean number while it was in flight: either may determine its time.
	fewest, most float64
}

// storeWatch holds the recent loads from the weight store.
type storeWatch struct {
	// nearLimit are the latest loads of each engine with at least half of storeConcurrency in
	// flight, and baseline those with fewer.
	nearLimit map[string][]storeLoad
	baseline  map[string][]storeLoad
	// fastest is the fastest load of each engine within maxFastestAge.
	fastest map[string]storeLoad
	// contended is set once contention was found. contendedAt is the number of loads in flight
	// at that time, and contendedLoad how long each took.
	contended     bool
	contendedAt   float64
	contendedLoad time.Duration
	// beforeReduction are the latest loads that began before the last reduction and ended after
	// it, with about contendedAt loads in flight throughout.
	beforeReduction []storeLoad
	// reducedAt is when storeConcurrency was last reduced: earlier loads do not count.
	reducedAt time.Time
	// skipped counts the loads since contention was last looked for.
	skipped int
}

// learnHostAdapters updates hostAdapters to the number that contradicts the fewest recent loads
// and, among several, is closest to the previous one.
func (s *LearnedState) learnHostAdapters(distance int, quick bool) {
	s.hostLoads = appendBounded(s.hostLoads, hostLoad{distance, quick}, hostWindow)
	best, lowest := s.hostAdapters, s.contradictions(s.hostAdapters)
	for _, l := range s.hostLoads {
		n := l.distance
		if l.quick {
			n++
		}
		n = max(minHostAdapters, n)
		lost := s.contradictions(n)
		if lost < lowest || lost == lowest && difference(n, s.hostAdapters) < difference(best, s.hostAdapters) {
			best, lowest = n, lost
		}
	}
	s.hostAdapters = best
}

// contradictions returns the weight of the recent loads that were slow although an engine that
// keeps n copies should have had the weights, or quick although it should not.
func (s *LearnedState) contradictions(n int) float64 {
	sum := 0.0
	for _, l := range s.hostLoads {
		switch {
		case l.quick && l.distance >= n:
			sum += quickLoadWeight
		case !l.quick && l.distance < n:
			sum++
		}
	}
	return sum
}

func difference(a, b int) int { return max(a-b, b-a) }

// learnStore updates the time of an uncontended load from the store, and the number of loads
// that the store carries before each takes longer.
func (s *LearnedState) learnStore(engine string, l storeLoad) {
	s.recordFastest(engine, l)
	if l.most < s.storeConcurrency/2 {
		s.learnBaseline(engine, l)
		return
	}
	if s.fullSpeed(l) {
		factor := initialGrowth
		if s.store.contended {
			factor = growth
		}
		s.storeConcurrency, s.measured = min(max(s.storeConcurrency, l.fewest*factor+1), maxStoreConcurrency), true
	}
	if l.endedAt.Add(-l.took).Before(s.store.reducedAt) {
		// It shared the store with more loads than are in flight now.
		s.learnContendedLoad(l)
		return
	}
	if s.fullSpeed(l) && l.fewest < nearLimit*s.storeConcurrency {
		// It may have shared the store with few loads.
		return
	}
	s.store.nearLimit = s.recordStoreLoad(s.store.nearLimit, engine, l)
	s.learnContention(l.endedAt)
}

// fullSpeed reports whether a load took no longer than an uncontended one.
func (s *LearnedState) fullSpeed(l storeLoad) bool {
	return float64(l.took) <= uncontendedRatio*float64(s.coldLoad)
}

func (s *LearnedState) recordFastest(engine string, l storeLoad) {
	if s.store.fastest == nil {
		s.store.fastest = map[string]storeLoad{}
	}
	known, ok := s.store.fastest[engine]
	if !ok || l.took <= known.took || l.endedAt.Sub(known.endedAt) > maxFastestAge {
		s.store.fastest[engine] = l
	}
}

// slowEngines returns the engines at which no recent load was at full speed, although those of
// other engines were: their loads show nothing about the store.
func (s *LearnedState) slowEngines() map[string]bool {
	var fullSpeed []float64
	for _, loads := range s.store.nearLimit {
		for _, l := range loads {
			if s.fullSpeed(l) {
				fullSpeed = append(fullSpeed, l.fewest)
			}
		}
	}
	if len(fullSpeed) < minFastEngines {
		return nil
	}
	slices.Sort(fullSpeed)
	proven := fullSpeed[len(fullSpeed)-minFastEngines]
	slow := map[string]bool{}
	for engine, l := range s.store.fastest {
		if float64(l.took) > contendedRatio*float64(s.coldLoad) && proven >= comparableLoads*l.most {
			slow[engine] = true
		}
	}
	return slow
}

// recordStoreLoad keeps the latest loads of each engine, fewer if there are many engines.
func (s *LearnedState) recordStoreLoad(loads map[string][]storeLoad, engine string, l storeLoad) map[string][]storeLoad {
	if loads == nil {
		loads = map[string][]storeLoad{}
	}
	// The loads of less than half of the engines must suffice, since few may load at a time.
	loads[engine] = appendBounded(loads[engine], l, 1+2*storeWindow/max(1, len(s.caches)))
	return loads
}

// recentLoads returns the loads of all engines but some that are recent enough to count.
func recentLoads(now time.Time, loads map[string][]storeLoad, except map[string]bool) []storeLoad {
	var recent []storeLoad
	for engine, list := range loads {
		list = slices.DeleteFunc(list, func(l storeLoad) bool { return now.Sub(l.endedAt) > maxEvidenceAge })
		if len(list) == 0 {
			delete(loads, engine)
			continue
		}
		loads[engine] = list
		if !except[engine] {
			recent = append(recent, list...)
		}
	}
	return recent
}

// times returns how long loads took.
func times(loads []storeLoad) []time.Duration {
	list := make([]time.Duration, 0, len(loads))
	for _, l := range loads {
		list = append(list, l.took)
	}
	return list
}

// learnBaseline updates the time of a load from the store when few are in flight.
func (s *LearnedState) learnBaseline(engine string, l storeLoad) {
	s.store.baseline = s.recordStoreLoad(s.store.baseline, engine, l)
	if recent := recentLoads(l.endedAt, s.store.baseline, nil); len(recent) >= minBaseline {
		s.setColdLoad(quantile(times(recent), baselineQuantile))
	}
}

// setColdLoad sets the time of an uncontended load within a factor of the one in the policy.
func (s *LearnedState) setColdLoad(took time.Duration) {
	expected := float64(s.policy.ColdLoad)
	s.coldLoad = time.Duration(min(max(float64(took), expected/maxColdLoadFactor), expected*maxColdLoadFactor))
}

// learnContendedLoad raises the time that a load took when contention was found: most of those
// that ended until then may have begun with few in flight.
func (s *LearnedState) learnContendedLoad(l storeLoad) {
	if l.fewest < steadyRatio*s.store.contendedAt {
		return
	}
	s.store.beforeReduction = appendBounded(s.store.beforeReduction, l, storeWindow)
	if len(s.store.beforeReduction) >= minBaseline {
		s.store.contendedLoad = max(s.store.contendedLoad, quantile(times(s.store.beforeReduction), 0.5))
	}
}

// learnContention lowers storeConcurrency if the recent loads of most engines took longer than an
// uncontended one. If fewer loads in flight have not made them shorter, the store is slow and not
// contended.
func (s *LearnedState) learnContention(now time.Time) {
	// A load at full speed with far fewer in flight is no evidence.
	if s.store.skipped++; s.store.skipped <= len(s.store.nearLimit)/evaluatedEngines {
		return
	}
	s.store.skipped = 0
	loads := slices.DeleteFunc(recentLoads(now, s.store.nearLimit, s.slowEngines()), func(l storeLoad) bool { return s.fullSpeed(l) && l.fewest < nearLimit*s.storeConcurrency })
	if len(loads) < max(storeWindow, min(len(s.caches)/4, maxEvidence)) {
		return
	}
	var shares, inFlight []float64
	proven := 0.0
	for _, l := range loads {
		inFlight = append(inFlight, l.most)
		if s.fullSpeed(l) && now.Sub(l.endedAt) <= maxProofAge {
			proven = max(proven, l.fewest)
		}
		if ratio := float64(l.took) / float64(s.coldLoad); ratio > contendedRatio {
			shares = append(shares, l.most/ratio)
		}
	}
	if float64(len(shares)) < contendedShare*float64(len(loads)) {
		return
	}
	took, at := quantile(times(loads), 0.5), quantile(inFlight, 0.5)
	s.store.nearLimit, s.store.beforeReduction, s.store.reducedAt, s.measured = nil, nil, now, true
	if s.store.contendedAt > 0 && at <= independentRatio*s.store.contendedAt && float64(took) >= independentTimeRatio*float64(s.store.contendedLoad) {
		s.setColdLoad(quantile(times(loads), baselineQuantile))
		s.storeConcurrency = max(s.storeConcurrency, s.store.contendedAt)
		s.store.contendedAt, s.store.baseline = 0, nil
		return
	}
	s.store.contended = true
	if s.store.contendedAt == 0 || float64(took) < independentTimeRatio*float64(s.store.contendedLoad) {
		s.store.contendedAt, s.store.contendedLoad = at, took
	}
	s.storeConcurrency = max(minStoreConcurrency, proven, maxReduction*s.storeConcurrency, quantile(shares, shareQuantile))
}

// maxReduction is the factor by which one window of loads lowers storeConcurrency at most: a store
// that is slow and not contended must show that fewer loads in flight take as long before few are
// left.
const maxReduction = 0.35

// If at most independentRatio of the loads in flight still take at least independentTimeRatio of
// the time, the time does not depend on their number.
const (
	independentRatio     = 0.6
	independentTimeRatio = 0.95
	// steadyRatio is the part of contendedAt that must be in flight throughout a load.
	steadyRatio = 0.8
)

func appendBounded[T any](window []T, v T, size int) []T {
	if len(window) >= size {
		window = slices.Delete(window, 0, len(window)-size+1)
	}
	return append(window, v)
}

// quantile returns the value below which a part of the values lies.
func quantile[T ~int64 | ~float64](values []T, q float64) T {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(math.Floor(q*float64(len(sorted)-1)))]
}

// storeMeter measures how many loads from the weight store are in flight on average.
type storeMeter struct {
	inFlight   int
	observedAt time.Time
	// work is the sum of the loads in flight over time, in seconds.
	work float64
}

// workAt returns the work until now.
func (m *storeMeter) workAt(now time.Time) float64 {
	if !m.observedAt.IsZero() {
		m.work += float64(m.inFlight) * max(0, now.Sub(m.observedAt).Seconds())
	}
	m.observedAt = now
	return m.work
}

// change adds n to the loads in flight.
func (m *storeMeter) change(now time.Time, n int) {
	m.workAt(now)
	m.inFlight += n
}

// set sets the loads in flight.
func (m *storeMeter) set(now time.Time, n int) { m.change(now, n-m.inFlight) }

// meanSince returns the mean number of loads in flight since a time at which the work was known.
func (m *storeMeter) meanSince(now, start time.Time, work float64) float64 {
	if !now.After(start) {
		return float64(m.inFlight)
	}
	return (m.workAt(now) - work) / now.Sub(start).Seconds()
}
