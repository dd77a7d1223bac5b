package disseminator

import (
	"strings"

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
	// adapters counts the gateways whose requests use each adapter.
	adapters map[string]int
}

// NewLoadTotals returns empty totals.
func NewLoadTotals() *LoadTotals { return &LoadTotals{backends: map[string]*total{}} }

// Add adds the loads of one gateway.
func (s *LoadTotals) Add(loads []*wire.Load) {
	for _, l := range loads {
		t := s.backends[l.GetBackend()]
		if t == nil {
			t = &total{adapters: map[string]int{}}
			s.backends[l.GetBackend()] = t
		}
		t.entries++
		t.requests += l.GetRequests()
		t.backingOff += l.GetBackingOff()
		t.toldLeaving += l.GetToldLeaving()
		for _, adapter := range l.GetAdapters() {
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
		for _, adapter := range l.GetAdapters() {
			if t.adapters[adapter]--; t.adapters[adapter] == 0 {
				delete(t.adapters, adapter)
			}
		}
		if t.entries--; t.entries == 0 {
			delete(s.backends, l.GetBackend())
		}
	}
}

// Each calls f with the requests at each backend server, and the number of gateways whose
// requests use each adapter there.
func (s *LoadTotals) Each(f func(backend string, requests uint32, adapters map[string]int)) {
	for backend, t := range s.backends {
		f(backend, t.requests, t.adapters)
	}
}

// BackingOff returns the number of gateways from which a backend server accepts no requests.
func (s *LoadTotals) BackingOff(backend string) uint32 {
	if t := s.backends[backend]; t != nil {
		return t.backingOff
	}
	return 0
}

// Constrained returns the backend servers that accept no requests from some gateways.
func (s *LoadTotals) Constrained() []*wire.Load {
	var list []*wire.Load
	for backend, t := range s.backends {
		if t.backingOff > 0 || t.toldLeaving > 0 {
			list = append(list, &wire.Load{Backend: backend, Requests: t.requests, BackingOff: t.backingOff, ToldLeaving: t.toldLeaving})
		}
	}
	return list
}

// With returns the totals including one gateway's loads, as a list.
func (s *LoadTotals) With(own []*wire.Load) []*wire.Load {
	s.Add(own)
	defer s.Remove(own)
	loads := make([]*wire.Load, 0, len(s.backends))
	for backend, t := range s.backends {
		l := &wire.Load{Backend: backend, Requests: t.requests, BackingOff: t.backingOff, ToldLeaving: t.toldLeaving, Adapters: make([]string, 0, len(t.adapters))}
		for adapter := range t.adapters {
			l.Adapters = append(l.Adapters, adapter)
		}
		loads = append(loads, l)
	}
	return loads
}

// unversioned returns the adapter of MODEL/NAME@VERSION.
func unversioned(qualified string) string {
	adapter, _, _ := strings.Cut(qualified, "@")
	return adapter
}
