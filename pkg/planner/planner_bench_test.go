package planner_test

import (
	"fmt"
	"testing"
	"time"

	"bronzelead.example/pkg/planner"
	"bronzelead.example/pkg/wire"
)

// BenchmarkPlan measures one plan for engines with 8 slots each, all full, and adapters in
// demand.
func BenchmarkPlan(b *testing.B) {
	sizes := map[string]struct{ engines, adapters int }{
		"engines=18/adapters=3000":     {18, 3000},
		"engines=430/adapters=20000":   {430, 20000},
		"engines=1500/adapters=20000":  {1500, 20000},
		"engines=12000/adapters=20000": {12000, 20000},
	}
	for name, size := range sizes {
		b.Run(name, func(b *testing.B) {
			p := &planner.Planner{Policy: policy()}
			now := time.Unix(1000, 0)
			p.Start(now, 1)
			p.SetSynced(true)
			for e := range size.engines {
				info := &wire.Backend{
					Name: fmt.Sprintf("engine-%d", e), Incarnation: "1", BaseModel: "base", Slots: 8, Batch: 16, ChecksFencing: true,
				}
				for s := range 8 {
					info.Loaded = append(info.Loaded, fmt.Sprintf("a%d", (e*8+s)%size.adapters))
				}
				p.UpdateEngine(now, info, false)
			}
			for a := range size.adapters {
				if a%10 == 0 {
					p.RecordDemand(now, 1, &wire.AdapterDemand{Adapter: fmt.Sprintf("a%d", a), BaseModel: "base", Running: 3})
				}
			}
			for b.Loop() {
				for _, o := range p.Plan(now) {
					p.RecordOutcome(now, o.ID, planner.Refused)
				}
			}
		})
	}
}
