package router

import (
	"maps"
	"slices"

	"bronzelead.example/pkg/wire"
)

// AddWaiting records that a request waits for an adapter, for the report to the planner.
func (r *Router) AddWaiting(adapter, base string) { r.demandOf(adapter, base).add(1, 0) }

// RemoveWaiting reverts AddWaiting.
func (r *Router) RemoveWaiting(adapter string) { r.demandOf(adapter, "").add(-1, 0) }

// RecordStart records that a request for an adapter has started.
func (r *Router) RecordStart(adapter, base string) {
	d := r.demandOf(adapter, base)
	d.add(0, 1)
	d.started++
}

// RecordEnd records that a request for an adapter has ended.
func (r *Router) RecordEnd(adapter string) { r.demandOf(adapter, "").add(0, -1) }

func (r *Router) demandOf(adapter, base string) *demand {
	if r.demand == nil {
		r.demand = map[string]*demand{}
	}
	d := r.demand[adapter]
	if d == nil {
		d = &demand{}
		r.demand[adapter] = d
	}
	if base != "" {
		d.base = base
	}
	return d
}

func (d *demand) add(waiting, running int) {
	d.waiting = uint32(int(d.waiting) + waiting)
	d.running = uint32(int(d.running) + running)
	d.changed = true
}

// TakeDemands returns the adapters whose demand changed since the last call or for which
// requests wait, or all of them.
func (r *Router) TakeDemands(all bool) []*wire.AdapterDemand {
	var list []*wire.AdapterDemand
	for _, name := range slices.Sorted(maps.Keys(r.demand)) {
		d := r.demand[name]
		if !d.changed && d.waiting == 0 && !all {
			continue
		}
		list = append(list, &wire.AdapterDemand{
			Adapter: name, BaseModel: d.base, Waiting: d.waiting, Running: d.running, Started: d.started,
		})
		d.started, d.changed = 0, false
		if d.waiting == 0 && d.running == 0 {
			delete(r.demand, name)
		}
	}
	return list
}

// HasWaiting reports whether requests wait for an adapter.
func (r *Router) HasWaiting() bool {
	for _, d := range r.demand {
		if d.waiting > 0 {
			return true
		}
	}
	return false
}

// TakeReleased returns the leases that were released since the last call.
func (r *Router) TakeReleased() []uint64 {
	released := r.released
	r.released = nil
	return released
}

// HeldLeases returns all leases that the session holds.
func (r *Router) HeldLeases() []*wire.LeaseGrant {
	var held []*wire.LeaseGrant
	for _, id := range slices.Sorted(maps.Keys(r.leases)) {
		held = append(held, r.leases[id].grant)
	}
	return held
}
