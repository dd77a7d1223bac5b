package disseminator

import (
	"strings"
	"time"

	"bronzelead.example/pkg/wire"
)

// LoadTotals aggregates the loads of several gateways; each change costs only the loads that
// change. Make one with NewLoadTotals.
type LoadTotals struct{ backends map[string]*total }

type total struct {
	// entries counts the loads that were added and not removed.
	entries  int
	requests uint32
	// backingOff counts the gateways from which the backend server accepts no requests for a
	// time, and toldLeaving those to which it has announced that it is leaving.
	backingOff  uint32
	toldLeaving uint32
	// detoured counts the gateways that reach the backend server through others only.
	detoured uint32
	// eventIntervals is the sum over eventSamples observations of the interval between events.
	eventIntervals uint64
	eventSamples   uint32
	// figures outlive the loads that named them: each load names them only while they are new.
	figures figures
	// adapters counts the gateways whose requests use each adapter.
	adapters map[string]int
}

// NewLoadTotals returns empty totals.
func NewLoadTotals() *LoadTotals { return &LoadTotals{backends: map[string]*total{}} }

// Add adds the loads of one gateway, received at now.
func (s *LoadTotals) Add(now time.Time, loads []*wire.Load) {
	for _, l := range loads {
		t := s.backends[l.GetBackend()]
		if t == nil {
			t = &total{}
			s.backends[l.GetBackend()] = t
		}
		t.entries++
		t.requests += l.GetRequests()
		t.backingOff += l.GetBackingOff()
		t.toldLeaving += l.GetToldLeaving()
		t.detoured += l.GetDetoured()
		t.eventIntervals += intervalSum(l)
		t.eventSamples += l.GetEventSamples()
		t.figures.observe(now, l)
		for _, adapter := range l.GetAdapters() {
			if t.adapters == nil {
				t.adapters = map[string]int{}
			}
			t.adapters[adapter]++
		}
	}
}

// Remove subtracts the loads of one gateway, which must be those added for it.
func (s *LoadTotals) Remove(loads []*wire.Load) {
	for _, l := range loads {
		t := s.backends[l.GetBackend()]
		t.requests -= l.GetRequests()
		t.backingOff -= l.GetBackingOff()
		t.toldLeaving -= l.GetToldLeaving()
		t.detoured -= l.GetDetoured()
		t.eventIntervals -= intervalSum(l)
		t.eventSamples -= l.GetEventSamples()
		for _, adapter := range l.GetAdapters() {
			if t.adapters[adapter]--; t.adapters[adapter] == 0 {
				delete(t.adapters, adapter)
			}
		}
		if t.entries--; t.entries == 0 && !t.figures.known() {
			delete(s.backends, l.GetBackend())
		}
	}
}

// Each calls f with the requests at each backend server, and the number of gateways whose
// requests use each adapter there.
func (s *LoadTotals) Each(f func(backend string, requests uint32, adapters map[string]int)) {
	for backend, t := range s.backends {
		if t.entries > 0 {
			f(backend, t.requests, t.adapters)
		}
	}
}

// EachPace calls f with the mean interval between events at each backend server for which gateways
// report one, and its number of samples.
func (s *LoadTotals) EachPace(f func(backend string, interval time.Duration, samples int)) {
	for backend, t := range s.backends {
		if t.eventSamples > 0 {
			f(backend, time.Duration(t.eventIntervals/uint64(t.eventSamples))*time.Microsecond, int(t.eventSamples))
		}
	}
}

// BackingOff returns the number of gateways from which a backend server accepts no requests.
func (s *LoadTotals) BackingOff(backend string) uint32 {
	if t := s.backends[backend]; t != nil {
		return t.backingOff
	}
	return 0
}

// Constrained returns the backend servers that accept no requests from some gateways, or that some
// gateways do not reach directly.
func (s *LoadTotals) Constrained() []*wire.Load {
	var list []*wire.Load
	for backend, t := range s.backends {
		if t.backingOff > 0 || t.toldLeaving > 0 || t.detoured > 0 {
			list = append(list, t.sums(backend))
		}
	}
	return list
}

// sums returns the sums over the gateways' loads.
func (t *total) sums(backend string) *wire.Load {
	return &wire.Load{
		Backend: backend, Requests: t.requests, BackingOff: t.backingOff, ToldLeaving: t.toldLeaving, Detoured: t.detoured,
	}
}

// With returns the totals including one gateway's loads, as a list.
func (s *LoadTotals) With(now time.Time, own []*wire.Load) []*wire.Load {
	s.Add(now, own)
	defer s.Remove(own)
	s.prune(now)
	loads := make([]*wire.Load, 0, len(s.backends))
	for backend, t := range s.backends {
		l := t.sums(backend)
		l.Adapters = make([]string, 0, len(t.adapters))
		for adapter := range t.adapters {
			l.Adapters = append(l.Adapters, adapter)
		}
		addPace(l, t.eventIntervals, t.eventSamples)
		t.figures.addTo(now, l)
		loads = append(loads, l)
	}
	return loads
}

// Without returns the totals without one gateway's loads, which must have been added, as a list of
// what other gateways need. The newest figures are included whoever reported them.
func (s *LoadTotals) Without(now time.Time, own []*wire.Load) []*wire.Load {
	s.prune(now)
	excluded := make(map[string]*total, len(own))
	for _, l := range own {
		t := excluded[l.GetBackend()]
		if t == nil {
			t = &total{}
			excluded[l.GetBackend()] = t
		}
		t.requests += l.GetRequests()
		t.eventIntervals += intervalSum(l)
		t.eventSamples += l.GetEventSamples()
	}
	// One allocation for all of them: controllers answer hundreds of calls per second.
	all := make([]wire.Load, len(s.backends))
	loads := make([]*wire.Load, 0, len(s.backends))
	for backend, t := range s.backends {
		requests, intervals, samples := t.requests, t.eventIntervals, t.eventSamples
		if o := excluded[backend]; o != nil {
			requests, intervals, samples = requests-o.requests, intervals-o.eventIntervals, samples-o.eventSamples
		}
		l := &all[len(loads)]
		l.Backend, l.Requests = backend, requests
		addPace(l, intervals, samples)
		if t.figures.addTo(now, l) || requests > 0 || samples > 0 {
			loads = append(loads, l)
		}
	}
	return loads
}

// prune drops the backend servers of which no gateway reports anything, and whose figures are too
// old to be passed on.
func (s *LoadTotals) prune(now time.Time) {
	for backend, t := range s.backends {
		if t.entries == 0 && t.figures.old(now) {
			delete(s.backends, backend)
		}
	}
}

// unversioned returns the adapter of MODEL/NAME@VERSION.
func unversioned(qualified string) string {
	adapter, _, _ := strings.Cut(qualified, "@")
	return adapter
}
