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
	fresh := p.fresh
	p.fresh = nil
	return fresh
}

// Ready reports whether requests may use an adapter somewhere.
func (p *Placer) Ready(adapter string) bool {
	for _, e := range p.engines {
		if held := e.places[adapter]; held != nil && held.state == ready && e.serves() {
			return true
		}
	}
	return false
}

// Revision grows with each change of what the gateways have to know.
func (p *Placer) Revision() uint64 { return p.revision }

// TakeChanged returns all that the engines hold whose holdings changed since the last call.
func (p *Placer) TakeChanged() []*wire.Holding {
	list := make([]*wire.Holding, 0, len(p.changed))
	for _, id := range slices.Sorted(maps.Keys(p.changed)) {
		e := p.engines[id]
		if e == nil || !e.reported {
			// One whose state has to be asked for is told of when it has answered.
			continue
		}
		h := &wire.Holding{Backend: id}
		for adapter, held := range e.places {
			if held.state == ready {
				h.Adapters = append(h.Adapters, adapter+"@"+strconv.FormatUint(held.version, 10))
			}
		}
		list = append(list, h)
	}
	clear(p.changed)
	return list
}

func (p *Placer) touch(e *engine) {
	p.revision++
	p.changed[e.info.GetId()] = true
}

// Summary counts what the placer has in hand.
type Summary struct {
	// Engines may take adapters; Unusable are known but may not.
	Engines  int
	Unusable int
	// Ready, Loading and Going are adapters in places, Queued those that wait for one.
	Ready   int
	Loading int
	Going   int
	Queued  int
	// Wanted are adapters that no engine could be chosen for.
	Wanted int
	// Dropped are wants that could not be met in time, since the leader began.
	Dropped int
	// ColdLoad, MaxComing and HostAdapters are what has been learnt.
	ColdLoad     time.Duration
	MaxComing    int
	HostAdapters int
}

// Summary returns the counts of now.
func (p *Placer) Summary() Summary {
	s := Summary{
		Wanted: len(p.wants), Dropped: p.dropped, ColdLoad: p.coldLoad, MaxComing: int(p.maxComing), HostAdapters: p.hostAdapters,
	}
	for _, e := range p.engines {
		if !e.takesOrders() {
			s.Unusable++
			continue
		}
		s.Engines++
		s.Queued += len(e.queue)
		for _, held := range e.places {
			switch held.state {
			case ready:
				s.Ready++
			case loading:
				s.Loading++
			case leaving, dropping:
				s.Going++
			}
		}
	}
	return s
}
