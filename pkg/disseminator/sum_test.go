package disseminator

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bronzelead.example/pkg/wire"
)

// Whatever loads gateways report one after the other, also with duplicate backend servers or
// adapters and with no requests, the totals are those of the latest loads, and nothing is left
// when all are removed.
func TestTotalsMatchLatestLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewLoadTotals()
		latest := map[int][]*wire.Load{}
		for range rapid.IntRange(0, 30).Draw(t, "words") {
			gateway := rapid.IntRange(0, 3).Draw(t, "gateway")
			var loads []*wire.Load
			for range rapid.IntRange(0, 4).Draw(t, "loads") {
				l := &wire.Load{
					Backend:    fmt.Sprint("e", rapid.IntRange(0, 2).Draw(t, "backend")),
					Requests:   rapid.Uint32Range(0, 3).Draw(t, "requests"),
					BackingOff: rapid.Uint32Range(0, 2).Draw(t, "backing off"), ToldLeaving: rapid.Uint32Range(0, 2).Draw(t, "told"),
					Detoured:        rapid.Uint32Range(0, 2).Draw(t, "detoured"),
					EventIntervalUs: rapid.Uint32Range(0, 9).Draw(t, "interval"), EventSamples: rapid.Uint32Range(0, 9).Draw(t, "samples"),
					Adapters: rapid.SliceOfN(rapid.SampledFrom([]string{"m/x", "m/y"}), 0, 3).Draw(t, "adapters"),
				}
				loads = append(loads, l)
			}
			s.Remove(latest[gateway])
			latest[gateway] = loads
			s.Add(begin(), loads)
			check(t, s, latest)
		}
		for _, loads := range latest {
			s.Remove(loads)
		}
		if len(s.backends) > 0 {
			t.Fatalf("%d backend servers are left", len(s.backends))
		}
	})
}

// check compares totals with freshly computed ones.
func check(t *rapid.T, s *LoadTotals, latest map[int][]*wire.Load) {
	requests, adapters := map[string]uint32{}, map[string]map[string]int{}
	backingOff, told, detoured := map[string]uint32{}, map[string]uint32{}, map[string]uint32{}
	intervals, samples := map[string]uint32{}, map[string]uint32{}
	for _, loads := range latest {
		for _, l := range loads {
			requests[l.GetBackend()] += l.GetRequests()
			backingOff[l.GetBackend()] += l.GetBackingOff()
			told[l.GetBackend()] += l.GetToldLeaving()
			detoured[l.GetBackend()] += l.GetDetoured()
			intervals[l.GetBackend()] += l.GetEventIntervalUs() * l.GetEventSamples()
			samples[l.GetBackend()] += l.GetEventSamples()
			if adapters[l.GetBackend()] == nil {
				adapters[l.GetBackend()] = map[string]int{}
			}
			for _, adapter := range l.GetAdapters() {
				adapters[l.GetBackend()][adapter]++
			}
		}
	}
	for _, l := range s.With(begin(), nil) {
		if id := l.GetBackend(); l.GetBackingOff() != backingOff[id] || l.GetToldLeaving() != told[id] || s.BackingOff(id) != backingOff[id] {
			t.Fatalf("%v, not %d backing off and %d told", l, backingOff[id], told[id])
		}
		if id := l.GetBackend(); l.GetDetoured() != detoured[id] {
			t.Fatalf("%v, not %d detoured", l, detoured[id])
		}
	}
	for _, l := range s.Without(begin(), nil) {
		id := l.GetBackend()
		if l.GetEventSamples() != samples[id] || samples[id] > 0 && l.GetEventIntervalUs() != intervals[id]/samples[id] {
			t.Fatalf("%v, not %d over %d samples", l, intervals[id], samples[id])
		}
	}
	s.Each(func(backend string, n uint32, used map[string]int) {
		if n != requests[backend] || fmt.Sprint(used) != fmt.Sprint(adapters[backend]) {
			t.Fatalf("%s has %d and %v, not %d and %v", backend, n, used, requests[backend], adapters[backend])
		}
		delete(requests, backend)
	})
	for backend, n := range requests {
		if n > 0 {
			t.Fatalf("%s is missing", backend)
		}
	}
}

// A gateway's own loads are included in the list without changing the totals.
func TestOwnLoadsDoNotChangeTotals(t *testing.T) {
	c := qt.New(t)
	s := NewLoadTotals()
	s.Add(begin(), []*wire.Load{load("e", 2, "m/x")})
	c.Check(s.With(begin(), []*wire.Load{load("e", 1, "m/y"), load("f", 1)}), qt.HasLen, 2)
	c.Check(s.With(begin(), nil), qt.HasLen, 1)
	c.Check(s.With(begin(), nil)[0].GetRequests(), qt.Equals, uint32(2))
}
