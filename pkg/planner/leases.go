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
	// A long memory keeps yesterday's adapters in their slots when popularity shifts
	// overnight: of 5 min, 1 min and 20 s the last gave the shortest load stalls.
	popularityIn = 20 * time.Second
)

// RecordDemand takes a session's report on one adapter.
func (p *Planner) RecordDemand(now time.Time, id SessionID, d *wire.AdapterDemand) {
	a := p.adapters[d.GetAdapter()]
	if a == nil {
		a = &adapter{
			name: d.GetAdapter(), avoid: map[string]time.Time{}, decayedAt: now,
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
	p.noteDemand(now, a)
}

// noteDemand keeps what follows from an adapter's demand.
func (p *Planner) noteDemand(now time.Time, a *adapter) {
	switch {
	case a.waiting.total == 0:
		a.since = time.Time{}
	case a.since.IsZero():
		a.since = now
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
		a.popularity *= math.Exp(-age.Seconds() / popularityIn.Seconds())
		a.decayedAt = now
	}
}

// GrantLeases gives a session leases on all loaded placements of an adapter that it
// does not hold yet.
func (p *Planner) GrantLeases(now time.Time, id SessionID, name string) []*wire.LeaseGrant {
	var grants []*wire.LeaseGrant
	for _, backend := range slices.Sorted(maps.Keys(p.placed[name])) {
		pl := p.placed[name][backend]
		if pl.State != Loaded || !p.engines[backend].takesWork() {
			continue
		}
		if _, held := pl.holders[id]; held {
			continue
		}
		lease := LeaseID(p.term<<termShift + p.next())
		pl.LastUsed = now
		p.hold(id, lease, pl)
		grants = append(grants, &wire.LeaseGrant{
			Id: uint64(lease), Backend: backend, Incarnation: pl.Incarnation, Adapter: name,
		})
	}
	return grants
}

func (p *Planner) next() uint64 {
	p.nextID++
	return p.nextID
}

// Release takes back a lease that a session no longer uses.
func (p *Planner) Release(id SessionID, lease LeaseID) {
	delete(p.recalled[id], lease)
	pl := p.leases[lease]
	if pl == nil || pl.holders[id] != lease {
		return
	}
	p.unhold(id, lease, pl)
}

// Recalls returns the leases that a session has to hand back: it may begin no new
// request under them, and releases each when its last request there has ended.
func (p *Planner) Recalls(id SessionID) []uint64 {
	var recalls []uint64
	for lease := range p.recalled[id] {
		recalls = append(recalls, uint64(lease))
	}
	slices.Sort(recalls)
	return recalls
}

// RemoveSession drops a session with all that it held and wanted. The caller makes
// sure that nothing of it can still run.
func (p *Planner) RemoveSession(id SessionID) {
	for lease, pl := range p.held[id] {
		p.unhold(id, lease, pl)
	}
	delete(p.held, id)
	delete(p.recalled, id)
	delete(p.orphans, id)
	p.RemoveDemand(id)
}

// RemoveDemand drops what a session wants, as soon as it has ended.
func (p *Planner) RemoveDemand(id SessionID) {
	for _, a := range p.active {
		a.waiting.set(id, 0)
		a.running.set(id, 0)
		// The time only matters for adapters that begin to wait, which none does here.
		p.noteDemand(a.since, a)
	}
}
