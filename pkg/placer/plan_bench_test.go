package placer

import (
	"fmt"
	"testing"
	"time"

	"bronzelead.example/pkg/wire"
)

// BenchmarkPlan measures one plan with nothing to order: engines whose slots are taken by
// adapters in demand, and adapters that wait for a slot in vain.
func BenchmarkPlan(b *testing.B) {
	for name, size := range map[string]struct{ engines, pending int }{
		"62 engines, no pending loads":    {62, 0},
		"62 engines, 300 pending loads":   {62, 300},
		"12000 engines, no pending loads": {12000, 0},
	} {
		b.Run(name, func(b *testing.B) {
			p := New(DefaultPolicy())
			p.SetTable(&wire.RoutingTable{Services: []*wire.RoutedService{{Name: "s", Engine: &wire.EngineLimits{AdapterSlots: 7}}}})
			for i := range size.engines {
				id := fmt.Sprint("e", i)
				p.SetEngine(&wire.Announcement{Id: id, Service: "s", Slots: 8, Address: id})
				e := p.engines[id]
				e.reported, e.modelLoaded = true, true
				e.usage.Adapters = map[string]bool{}
				for j := range 7 {
					adapter := fmt.Sprint("m/", i, "-", j)
					e.slots[adapter] = &adapterSlot{state: ready, readySince: startTime()}
					e.usage.Adapters[adapter] = true
					p.RecordRequests(startTime(), adapter, 3)
				}
				for len(e.queue) < maxQueue && size.pending > 0 {
					e.queue = append(e.queue, queuedLoad{adapter: fmt.Sprint("q/", i, "-", len(e.queue)), deadline: startTime().Add(time.Hour)})
				}
			}
			for i := range size.pending {
				p.RequestLoad(startTime(), fmt.Sprint("m/w", i), nil, startTime().Add(time.Hour))
			}
			b.ReportAllocs()
			for b.Loop() {
				p.Plan(startTime())
			}
		})
	}
}
