package placer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"bronzelead.example/pkg/ablator"
)

// A spare replica is one that no request waits for. The functions of this file decide which are
// granted, for a deployment whose adapters need more adapter slots than there are.

const (
	// minSpareUse is the mean number of requests that a spare replica must keep busy to be worth
	// a slot, minContestedUse the same while adapters are queued for slots, and minFreeUse the
	// same where a slot is free, so that only the load costs something.
	minSpareUse     = 0.5
	minContestedUse = 1.0
	minFreeUse      = 0.1
	// spareAdvantage is how many times the demand of the evicted adapter a spare replica must
	// have: requests for an adapter that is loaded nowhere wait for a load, while those of a
	// replica would only go to a busier engine.
	spareAdvantage = 3
	// An engine is overloaded by the same rule as in package balancer, and for minOverload: it is
	// then relieved whatever the use of the replica, once in reliefInterval.
	overloadedLoad   = 0.3
	overloadedRatio  = 1.6
	chanceDeviations = 2
	minOverload      = time.Second
	reliefInterval   = time.Second
	// relievedRatio is the ratio to the mean load below which an engine is no longer overloaded.
	relievedRatio = 1.3
)

// RequestSpare records that a further replica of an adapter would relieve the engines to avoid.
// Unlike in RequestLoad no request waits for it, and it is granted or denied by the next plan.
func (p *Placer) RequestSpare(now time.Time, adapter string, avoid []string) {
	if p.policy.Disabled.Has(ablator.SpareReplicas) {
		p.RequestLoad(now, adapter, avoid, time.Time{})
		return
	}
	p.spareRequests[adapter] = avoid
}

// observeOverload records since when engines have been much busier than the others.
func (p *Placer) observeOverload(now time.Time) {
	sum, n := 0.0, 0
	for _, e := range p.engines {
		if e.acceptsAdapters() {
			sum += e.load()
			n++
		}
	}
	mean := sum / float64(max(1, n))
	for _, e := range p.engines {
		expected := mean * float64(e.requestSlots())
		switch {
		case e.load() < relievedRatio*mean || e.load() < overloadedLoad:
			e.overloadedSince = time.Time{}
		case e.overloadedSince.IsZero() && e.load() > overloadedRatio*mean && e.usage.Requests >= expected+chanceDeviations*math.Sqrt(expected):
			e.overloadedSince = now
		}
	}
}

func (e *engine) requestSlots() uint32 { return max(1, e.info.GetSlots()) }

func (e *engine) load() float64 { return e.usage.Requests / float64(e.requestSlots()) }

// assignSpares grants or denies the spare replicas that were requested since the last plan, those
// of the adapters with the most requests first.
func (p *Placer) assignSpares(now time.Time) {
	if len(p.spareRequests) == 0 {
		return
	}
	contested := p.slotsAreContested()
	chosen := 0
	for _, adapter := range slices.SortedFunc(maps.Keys(p.spareRequests), func(a, b string) int {
		return cmp.Or(cmp.Compare(p.requestRate(now, b), p.requestRate(now, a)), compareText(a, b))
	}) {
		// The choice of an engine takes time in proportion to the engines.
		if chosen++; chosen <= maxSpareChoices && p.grantSpare(now, adapter, p.spareRequests[adapter], contested) {
			p.sparesGranted++
		} else {
			p.sparesDenied++
		}
	}
	clear(p.spareRequests)
}

// maxSpareChoices bounds the spare replicas that one plan decides on. The others are denied, and
// requested again if the reason remains.
const maxSpareChoices = 32

// slotsAreContested reports whether adapters wait for slots.
func (p *Placer) slotsAreContested() bool {
	if len(p.pendingLoads) > 0 {
		return true
	}
	for _, e := range p.engines {
		if len(e.queue) > 0 && len(e.slots)+len(e.queue) > p.slotCount(e) {
			return true
		}
	}
	return false
}

// grantSpare queues a spare replica of an adapter if it is worth a slot.
func (p *Placer) grantSpare(now time.Time, adapter string, avoid []string, contested bool) bool {
	replicas, _ := p.replicas(adapter)
	d := p.demand[adapter]
	if replicas == 0 || d == nil {
		return false
	}
	id := p.chooseEngine(now, adapter, avoid)
	if id == "" || !p.isCached(p.engines[id], adapter) && p.storeIsSaturated() {
		return false
	}
	evicted, ok := p.engines[id].nextSlotRate()
	if !ok {
		return false
	}
	share := d.peakRate(now, &p.policy) / (replicas + 1)
	minUse := minSpareUse
	switch {
	case contested:
		minUse = minContestedUse
	case evicted == 0:
		minUse = minFreeUse
	}
	worth := share*p.policy.RunTime.Seconds() >= minUse
	if !worth {
		worth = p.relieves(now, adapter)
	}
	if !worth || share < spareAdvantage*evicted {
		return false
	}
	for _, holder := range p.locations[adapter] {
		p.engines[holder].relievedAt = now
	}
	p.enqueue(id, adapter, time.Time{})
	return true
}

// relieves reports whether all engines with an adapter have been overloaded for long, and no
// replica was granted recently that relieves them.
func (p *Placer) relieves(now time.Time, adapter string) bool {
	for _, id := range p.locations[adapter] {
		e := p.engines[id]
		if e.overloadedSince.IsZero() || now.Sub(e.overloadedSince) < minOverload || now.Sub(e.relievedAt) < reliefInterval {
			return false
		}
	}
	return true
}

// TakeSpares returns how many spare replicas were granted and denied since the last call.
func (p *Placer) TakeSpares() (granted, denied int) {
	granted, denied = p.sparesGranted-p.takenGranted, p.sparesDenied-p.takenDenied
	p.takenGranted, p.takenDenied = p.sparesGranted, p.sparesDenied
	return granted, denied
}
