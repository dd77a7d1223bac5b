package planner

import (
	"time"

	"bronzelead.example/pkg/wire"
)

// UpdateEngine processes an engine's announcement. A new incarnation is an empty engine: leases
// on the old one are void.
func (p *Planner) UpdateEngine(now time.Time, b *wire.Backend, drained bool) {
	e := p.engines[b.GetName()]
	if e != nil && e.info.GetIncarnation() != b.GetIncarnation() {
		p.removeEngine(e)
		e = nil
	}
	if e == nil {
		e = &engine{placements: map[string]*Placement{}, unloadedAt: map[string]time.Time{}}
		p.engines[b.GetName()] = e
		p.byBase = nil
	}
	e.info, e.lastAnnounced, e.drained = b, now, drained
	p.reconcileLoaded(now, e)
	p.adoptOrphanedLeases(now, e)
}

// reconcileLoaded takes the engine's own list for what is loaded, where no order of this leader
// is newer than the list can be.
func (p *Planner) reconcileLoaded(now time.Time, e *engine) {
	listed := map[string]bool{}
	for _, name := range e.info.GetLoaded() {
		listed[name] = true
		if now.Sub(e.unloadedAt[name]) < p.Policy.BackendLease {
			continue
		}
		delete(e.unloadedAt, name)
		if e.placements[name] == nil {
			p.addPlacement(now, e, name, Loaded)
		}
	}
	for name, pl := range e.placements {
		stable := pl.State == Loaded || pl.State == Recalling
		if stable && !listed[name] && now.Sub(pl.Since) > p.Policy.BackendLease {
			p.invalidatePlacement(e, pl)
		}
	}
}

func (p *Planner) adoptOrphanedLeases(now time.Time, e *engine) {
	for id, grants := range p.orphanedLeases {
		for _, g := range grants {
			if g.GetBackend() == e.info.GetName() {
				p.adoptLease(now, id, g)
			}
		}
	}
}

// ResetSession replaces all leases of a session by its full list.
func (p *Planner) ResetSession(now time.Time, id SessionID, held []*wire.LeaseGrant) {
	p.RemoveSession(id)
	for _, g := range held {
		if p.engines[g.GetBackend()] == nil {
			p.orphanedLeases[id] = append(p.orphanedLeases[id], g)
			continue
		}
		p.adoptLease(now, id, g)
	}
}

func (p *Planner) adoptLease(now time.Time, id SessionID, g *wire.LeaseGrant) {
	e := p.engines[g.GetBackend()]
	lease := LeaseID(g.GetId())
	if e.info.GetIncarnation() != g.GetIncarnation() {
		p.recallLease(id, lease)
		return
	}
	pl := e.placements[g.GetAdapter()]
	if pl == nil {
		// The engine's list may lag behind a load that an earlier leader ordered.
		pl = p.addPlacement(now, e, g.GetAdapter(), Loaded)
	}
	if pl.State != Loaded && pl.State != Recalling {
		p.recallLease(id, lease)
		return
	}
	p.addHolder(id, lease, pl)
}

func (p *Planner) addPlacement(now time.Time, e *engine, name string, state State) *Placement {
	pl := &Placement{
		Backend: e.info.GetName(), Incarnation: e.info.GetIncarnation(), Adapter: name,
		State: state, Since: now, LastUsed: now, holders: map[SessionID]LeaseID{},
	}
	e.placements[name] = pl
	if p.placed[name] == nil {
		p.placed[name] = map[string]*Placement{}
	}
	p.placed[name][pl.Backend] = pl
	return pl
}

func (p *Planner) removePlacement(e *engine, pl *Placement) {
	delete(e.placements, pl.Adapter)
	delete(p.placed[pl.Adapter], pl.Backend)
	if len(p.placed[pl.Adapter]) == 0 {
		delete(p.placed, pl.Adapter)
	}
	delete(p.clearing, pl)
}

func (p *Planner) setState(now time.Time, pl *Placement, state State) {
	pl.State, pl.Since = state, now
	if state == Recalling || state == Unloading {
		p.clearing[pl] = true
		return
	}
	delete(p.clearing, pl)
}

func (p *Planner) addHolder(id SessionID, lease LeaseID, pl *Placement) {
	pl.holders[id] = lease
	p.leases[lease] = pl
	if p.held[id] == nil {
		p.held[id] = map[LeaseID]*Placement{}
	}
	p.held[id][lease] = pl
}

func (p *Planner) removeHolder(id SessionID, lease LeaseID, pl *Placement) {
	delete(pl.holders, id)
	delete(p.leases, lease)
	delete(p.held[id], lease)
}

// ExpireEngines removes engines that have not announced themselves for BackendLease.
func (p *Planner) ExpireEngines(now time.Time) {
	for _, e := range p.engines {
		if now.Sub(e.lastAnnounced) > p.Policy.BackendLease {
			p.removeEngine(e)
		}
	}
}

func (p *Planner) removeEngine(e *engine) {
	for _, pl := range e.placements {
		p.invalidatePlacement(e, pl)
	}
	delete(p.engines, e.info.GetName())
	p.removedEngines = append(p.removedEngines, e.info.GetName())
	p.byBase = nil
}

// TakeRemovedEngines returns the engines that were removed since the last call.
func (p *Planner) TakeRemovedEngines() []string {
	removed := p.removedEngines
	p.removedEngines = nil
	return removed
}

// invalidatePlacement removes a placement whose adapter is no longer loaded; its leases are
// void.
func (p *Planner) invalidatePlacement(e *engine, pl *Placement) {
	for id, lease := range pl.holders {
		p.removeHolder(id, lease, pl)
		p.recallLease(id, lease)
	}
	if pl.pendingOrder != 0 {
		p.closeOrder(pl)
	}
	p.removePlacement(e, pl)
}

func (p *Planner) recallLease(id SessionID, lease LeaseID) {
	if p.recalled[id] == nil {
		p.recalled[id] = map[LeaseID]bool{}
	}
	p.recalled[id][lease] = true
}
