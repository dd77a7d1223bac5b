package placer

import (
	"fmt"
	"testing"
	"time"

	"bronzelead.example/pkg/wire"
)

// BenchmarkPlan measures one plan with nothing to order: engines whose places are taken by
// adapters that are asked for, and adapters that wait for a place in vain.
func BenchmarkPlan(b *testing.B) {
	for name, size := range map[string]struct{ engines, wants int }{
		"62 engines, nothing wanted":    {62, 0},
		"62 engines, 300 wanted":        {62, 300},
		"12000 engines, nothing wanted": {12000, 0},
	} {
		b.Run(name, func(b *testing.B) {
			p := New(DefaultPolicy())
			p.SetTable(&wire.RoutingTable{Services: []*wire.RoutedService{{Name: "s", Engine: &wire.EngineLimits{AdapterSlots: 7}}}})
			for i := range size.engines {
				id := fmt.Sprint("e", i)
				p.SetEngine(&wire.Announcement{Id: id, Service: "s", Slots: 8, Address: id})
				e := p.engines[id]
				e.reported, e.model = true, true
				e.use.Adapters = map[string]bool{}
				for j := range 7 {
					adapter := fmt.Sprint("m/", i, "-", j)
					e.places[adapter] = &place{state: ready, since: begin()}
					e.use.Adapters[adapter] = true
					p.RecordRequests(begin(), adapter, 3)
				}
				for len(e.queue) < maxQueue && size.wants > 0 {
					e.queue = append(e.queue, queued{adapter: fmt.Sprint("q/", i, "-", len(e.queue)), until: begin().Add(time.Hour)})
				}
			}
			for i := range size.wants {
				p.RequestLoad(begin(), fmt.Sprint("m/w", i), nil, begin().Add(time.Hour))
			}
			b.ReportAllocs()
			for b.Loop() {
				p.Plan(begin())
			}
		})
	}
}
