package planner

import (
	"time"

	"bronzelead.example/pkg/wire"
)

// UpdateEngine takes in what an engine tells of itself. A new incarnation is an empty
// engine: what was leased on the old one is void.
func (p *Planner) UpdateEngine(now time.Time, b *wire.Backend, drained bool) {
	e := p.engines[b.GetName()]
	if e != nil && e.info.GetIncarnation() != b.GetIncarnation() {
		p.dropEngine(e)
		e = nil
	}
	if e == nil {
		e = &engine{placements: map[string]*Placement{}, unloaded: map[string]time.Time{}}
		p.engines[b.GetName()] = e
		p.byBase = nil
	}
	e.info, e.seen, e.drained = b, now, drained
	p.readBack(now, e)
	p.adoptOrphans(now, e)
}

// readBack takes the engine's own list for what is loaded, where no order of this
// leader is newer than the list can be.
func (p *Planner) readBack(now time.Time, e *engine) {
	listed := map[string]bool{}
	for _, name := range e.info.GetLoaded() {
		listed[name] = true
		if now.Sub(e.unloaded[name]) < p.Policy.BackendLease {
			continue
		}
		delete(e.unloaded, name)
		if e.placements[name] == nil {
			p.place(now, e, name, Loaded)
		}
	}
	for name, pl := range e.placements {
		stable := pl.State == Loaded || pl.State == Recalling
		if stable && !listed[name] && now.Sub(pl.Since) > p.Policy.BackendLease {
			p.dropPlacement(e, pl)
		}
	}
}

func (p *Planner) adoptOrphans(now time.Time, e *engine) {
	for id, grants := range p.orphans {
		for _, g := range grants {
			if g.GetBackend() == e.info.GetName() {
				p.adopt(now, id, g)
			}
		}
	}
}

// ResetSession takes a session's full list of leases for all that it holds.
func (p *Planner) ResetSession(now time.Time, id SessionID, held []*wire.LeaseGrant) {
	p.RemoveSession(id)
	for _, g := range held {
		if p.engines[g.GetBackend()] == nil {
			p.orphans[id] = append(p.orphans[id], g)
			continue
		}
		p.adopt(now, id, g)
	}
}

func (p *Planner) adopt(now time.Time, id SessionID, g *wire.LeaseGrant) {
	e := p.engines[g.GetBackend()]
	lease := LeaseID(g.GetId())
	if e.info.GetIncarnation() != g.GetIncarnation() {
		p.recall(id, lease)
		return
	}
	pl := e.placements[g.GetAdapter()]
	if pl == nil {
		// The engine's list may lag behind a load that an earlier leader ordered.
		pl = p.place(now, e, g.GetAdapter(), Loaded)
	}
	if pl.State != Loaded && pl.State != Recalling {
		p.recall(id, lease)
		return
	}
	p.hold(id, lease, pl)
}

// place adds a placement.
func (p *Planner) place(now time.Time, e *engine, name string, state State) *Placement {
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

// remove forgets a placement.
func (p *Planner) remove(e *engine, pl *Placement) {
	delete(e.placements, pl.Adapter)
	delete(p.placed[pl.Adapter], pl.Backend)
	if len(p.placed[pl.Adapter]) == 0 {
		delete(p.placed, pl.Adapter)
	}
	delete(p.clearing, pl)
}

// turn gives a placement a new state.
func (p *Planner) turn(now time.Time, pl *Placement, state State) {
	pl.State, pl.Since = state, now
	if state == Recalling || state == Unloading {
		p.clearing[pl] = true
		return
	}
	delete(p.clearing, pl)
}

// hold notes that a session holds a lease.
func (p *Planner) hold(id SessionID, lease LeaseID, pl *Placement) {
	pl.holders[id] = lease
	p.leases[lease] = pl
	if p.held[id] == nil {
		p.held[id] = map[LeaseID]*Placement{}
	}
	p.held[id][lease] = pl
}

// unhold takes that back.
func (p *Planner) unhold(id SessionID, lease LeaseID, pl *Placement) {
	delete(pl.holders, id)
	delete(p.leases, lease)
	delete(p.held[id], lease)
}

// ExpireEngines forgets engines that have not announced themselves for too long.
func (p *Planner) ExpireEngines(now time.Time) {
	for _, e := range p.engines {
		if now.Sub(e.seen) > p.Policy.BackendLease {
			p.dropEngine(e)
		}
	}
}

func (p *Planner) dropEngine(e *engine) {
	for _, pl := range e.placements {
		p.dropPlacement(e, pl)
	}
	delete(p.engines, e.info.GetName())
	p.dropped = append(p.dropped, e.info.GetName())
	p.byBase = nil
}

// TakeRemovedEngines returns the engines that were forgotten since the last call.
func (p *Planner) TakeRemovedEngines() []string {
	dropped := p.dropped
	p.dropped = nil
	return dropped
}

// dropPlacement forgets a placement whose adapter is gone; its leases are void.
func (p *Planner) dropPlacement(e *engine, pl *Placement) {
	for id, lease := range pl.holders {
		p.unhold(id, lease, pl)
		p.recall(id, lease)
	}
	if pl.order != 0 {
		p.closeOrder(pl)
	}
	p.remove(e, pl)
}

func (p *Planner) recall(id SessionID, lease LeaseID) {
	if p.recalled[id] == nil {
		p.recalled[id] = map[LeaseID]bool{}
	}
	p.recalled[id][lease] = true
}
