package planner

import (
	"maps"
	"math"
	"slices"
	"time"

	"bronzelead.example/pkg/wire"
)

const (
	termShift = 32
	// A longer decay keeps earlier adapters in their slots when popularity shifts.
	popularityDecay = 20 * time.Second
)

// RecordDemand records a session's report on one adapter.
func (p *Planner) RecordDemand(now time.Time, id SessionID, d *wire.AdapterDemand) {
	a := p.adapters[d.GetAdapter()]
	if a == nil {
		a = &adapter{
			name: d.GetAdapter(), avoidUntil: map[string]time.Time{}, decayedAt: now,
		}
		p.adapters[d.GetAdapter()] = a
	}
	a.base = d.GetBaseModel()
	a.decay(now)
	a.popularity += float64(d.GetStarted())
	a.waiting.set(id, d.GetWaiting())
	a.running.set(id, d.GetRunning())
	if a.outstanding() > 0 || d.GetStarted() > 0 {
		a.lastUsed = now
	}
	p.updateActive(now, a)
}

// updateActive updates what depends on an adapter's demand.
func (p *Planner) updateActive(now time.Time, a *adapter) {
	switch {
	case a.waiting.total == 0:
		a.waitingSince = time.Time{}
	case a.waitingSince.IsZero():
		a.waitingSince = now
	}
	if a.outstanding() == 0 {
		delete(p.active, a.name)
		return
	}
	p.active[a.name] = a
}

func (a *adapter) decay(now time.Time) {
	age := now.Sub(a.decayedAt)
	if age > 0 {
		a.popularity *= math.Exp(-age.Seconds() / popularityDecay.Seconds())
		a.decayedAt = now
	}
}

// GrantLeases gives a session leases on all loaded placements of an adapter on which it does
// not hold one yet.
func (p *Planner) GrantLeases(now time.Time, id SessionID, name string) []*wire.LeaseGrant {
	var grants []*wire.LeaseGrant
	for _, backend := range slices.Sorted(maps.Keys(p.placed[name])) {
		pl := p.placed[name][backend]
		if pl.State != Loaded || !p.engines[backend].isAvailable() {
			continue
		}
		if _, held := pl.holders[id]; held {
			continue
		}
		lease := LeaseID(p.term<<termShift + p.newID())
		pl.LastUsed = now
		p.addHolder(id, lease, pl)
		grants = append(grants, &wire.LeaseGrant{
			Id: uint64(lease), Backend: backend, Incarnation: pl.Incarnation, Adapter: name,
		})
	}
	return grants
}

func (p *Planner) newID() uint64 {
	p.lastID++
	return p.lastID
}

// Release removes a lease that a session no longer uses.
func (p *Planner) Release(id SessionID, lease LeaseID) {
	delete(p.recalled[id], lease)
	pl := p.leases[lease]
	if pl == nil || pl.holders[id] != lease {
		return
	}
	p.removeHolder(id, lease, pl)
}

// Recalls returns the leases that a session has to return: it may begin no new request under
// them, and releases each when its last request there has ended.
func (p *Planner) Recalls(id SessionID) []uint64 {
	var recalls []uint64
	for lease := range p.recalled[id] {
		recalls = append(recalls, uint64(lease))
	}
	slices.Sort(recalls)
	return recalls
}

// RemoveSession removes a session with its leases and demand. The caller makes sure that none
// of its requests can still run.
func (p *Planner) RemoveSession(id SessionID) {
	for lease, pl := range p.held[id] {
		p.removeHolder(id, lease, pl)
	}
	delete(p.held, id)
	delete(p.recalled, id)
	delete(p.orphanedLeases, id)
	p.RemoveDemand(id)
}

// RemoveDemand removes a session's demand, as soon as the session has ended.
func (p *Planner) RemoveDemand(id SessionID) {
	for _, a := range p.active {
		a.waiting.set(id, 0)
		a.running.set(id, 0)
		// The time only matters for adapters that begin to wait, which none does here.
		p.updateActive(a.waitingSince, a)
	}
}
