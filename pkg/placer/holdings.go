package placer

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"bronzelead.example/pkg/wire"
)

// TakeLoaded returns the adapters that were loaded since the last call.
func (p *Placer) TakeLoaded() []string {
	loaded := p.loaded
	p.loaded = nil
	return loaded
}

// Ready reports whether requests may use an adapter at any engine.
func (p *Placer) Ready(adapter string) bool {
	for _, e := range p.engines {
		if slot := e.slots[adapter]; slot != nil && slot.state == ready && e.servesRequests() {
			return true
		}
	}
	return false
}

// Revision increases with each change that gateways have to know.
func (p *Placer) Revision() uint64 { return p.revision }

// TakeChanged returns the whole holdings of each engine whose holdings changed since the last
// call.
func (p *Placer) TakeChanged() []*wire.Holding {
	list := make([]*wire.Holding, 0, len(p.changed))
	for _, id := range slices.Sorted(maps.Keys(p.changed)) {
		e := p.engines[id]
		if e == nil || !e.reported {
			// An engine that has not reported its state yet follows once it has.
			continue
		}
		h := &wire.Holding{Backend: id}
		for adapter, slot := range e.slots {
			if slot.state == ready {
				h.Adapters = append(h.Adapters, adapter+"@"+strconv.FormatUint(slot.version, 10))
			}
		}
		list = append(list, h)
	}
	clear(p.changed)
	return list
}

func (p *Placer) markChanged(e *engine) {
	p.revision++
	p.changed[e.info.GetId()] = true
}

// Summary counts the placer's engines, adapters and pending loads.
type Summary struct {
	// Engines accept adapters; Unusable ones are known but do not.
	Engines  int
	Unusable int
	// Ready, Loading and Going are adapters in slots, Queued those that wait for one.
	Ready   int
	Loading int
	Going   int
	Queued  int
	// Wanted are adapters that no engine could be chosen for.
	Wanted int
	// Dropped counts the loads that were not possible in time in this leader's term.
	Dropped int
	// SparesGranted and SparesDenied count the requests for spare replicas in this leader's term.
	SparesGranted int
	SparesDenied  int
	// ColdLoad, MaxComing and HostAdapters are the learned estimates.
	ColdLoad     time.Duration
	MaxComing    int
	HostAdapters int
}

// Summary returns the current counts.
func (p *Placer) Summary() Summary {
	s := Summary{
		Wanted: len(p.pendingLoads), Dropped: p.declinedTotal, ColdLoad: p.coldLoad, MaxComing: int(p.storeConcurrency), HostAdapters: p.hostAdapters,
		SparesGranted: p.sparesGranted, SparesDenied: p.sparesDenied,
	}
	for _, e := range p.engines {
		if !e.acceptsAdapters() {
			s.Unusable++
			continue
		}
		s.Engines++
		s.Queued += len(e.queue)
		for _, slot := range e.slots {
			switch slot.state {
			case ready:
				s.Ready++
			case loading:
				s.Loading++
			case draining, unloading:
				s.Going++
			}
		}
	}
	return s
}
