package balancer

import (
	"cmp"
	"slices"
	"time"

	"bronzelead.example/pkg/ablator"
)

// choose returns the backend server to send to, or nil, and those that could serve the
// request if they had room.
func (b *Balancer) choose(now time.Time, w *Waiter, c candidates) (best *backend, holders []*backend) {
	for _, list := range [][]*backend{c.preferred, c.tried, c.suspects} {
		able := b.able(now, list, w.Adapter)
		if best := b.best(now, able, w.UsesSlotGrants); best != nil {
			return best, append(holders, able...)
		}
		holders = append(holders, able...)
		if len(holders) > 0 && len(c.suspects) == 0 && !b.Off.Has(ablator.FullHolder) {
			// It has its places full; that is no reason to go where a try has failed.
			return nil, holders
		}
	}
	return nil, holders
}

// candidates are the backend servers that may get a request, full or not, in the order in
// which they are asked.
type candidates struct {
	preferred []*backend
	// tried have failed this request, but nothing else speaks against them. With the only
	// engine that holds an adapter among them, a repeat there is better than a load.
	tried []*backend
	// suspects are used while the others are full and few: when most seem to have failed,
	// the fault may be nearer than they are.
	suspects []*backend
}

func (b *Balancer) candidates(now time.Time, w *Waiter) candidates {
	var c candidates
	for _, k := range b.byService[w.Service] {
		switch {
		case !k.open():
		case k.silent(now), k.ejected(now) && !b.Off.Has(ablator.Ejection):
			c.suspects = append(c.suspects, k)
		case slices.Contains(w.Avoid, k.info.GetId()):
			c.tried = append(c.tried, k)
		default:
			c.preferred = append(c.preferred, k)
		}
	}
	sound := len(c.preferred) + len(c.tried)
	if sound*maxEjectedShare >= sound+len(c.suspects) {
		c.suspects = nil
	}
	return c
}

// able returns those that have what a request needs: its adapter, or the base model.
func (b *Balancer) able(now time.Time, list []*backend, adapter string) []*backend {
	if adapter == "" {
		return withModel(now, list)
	}
	return b.holding(now, list, adapter)
}

// withModel returns those that have not said just now that they lack their base model.
func withModel(now time.Time, from []*backend) []*backend {
	return slices.DeleteFunc(slices.Clone(from), func(k *backend) bool { return now.Before(k.absent[""]) })
}

// holding returns those that have the adapter in the wanted version.
func (b *Balancer) holding(now time.Time, from []*backend, adapter string) []*backend {
	version := b.versions[adapter]
	var holders []*backend
	for _, k := range from {
		held, ok := k.holds[adapter]
		if ok && (version == 0 || held >= version) && !now.Before(k.absent[adapter]) {
			holders = append(holders, k)
		}
	}
	return holders
}

// best returns the less loaded of two that are picked at random among those with room, or
// nil. What is known of the other gateways' requests is up to a few hundred milliseconds
// old: if all took the least loaded, they would meet there.
func (b *Balancer) best(now time.Time, from []*backend, dispensed bool) *backend {
	able := make([]*backend, 0, len(from))
	for _, k := range from {
		if !k.paused(now) && (dispensed || !now.Before(k.fullUntil) && k.hasRoom()) {
			able = append(able, k)
		}
	}
	if len(able) == 0 {
		return nil
	}
	score := b.score
	if dispensed {
		score = b.scoreDispensed
	}
	if b.Off.Has(ablator.TwoChoices) {
		return slices.MinFunc(able, func(one, other *backend) int { return cmp.Compare(score(now, one), score(now, other)) })
	}
	first := b.intN(len(able))
	best := able[first]
	if len(able) == 1 {
		return best
	}
	other := able[(first+1+b.intN(len(able)-1))%len(able)]
	if score(now, other) < score(now, best) {
		return other
	}
	return best
}

// score is the load of a backend server with what else speaks against it.
func (b *Balancer) score(now time.Time, k *backend) float64 {
	score := k.load() + k.failing(now)*failurePenalty + b.float64()*jitter
	score += float64(k.reading(now)) / float64(fullReading)
	if k.info.GetZone() != b.Zone && !b.Off.Has(ablator.ZonePenalty) {
		score += zonePenalty
	}
	return score
}

// scoreDispensed is the score of a backend server whose slots its owner grants. The known loads
// are older than the time of a request: by them all gateways would choose the same backend
// servers while slots of others are idle.
func (b *Balancer) scoreDispensed(now time.Time, k *backend) float64 {
	return k.failing(now)*failurePenalty + b.float64()*jitter
}

const (
	// contendedLoad is the part of a service's slots that are taken from which its backend
	// servers' slots are given out: below, requests rarely meet.
	contendedLoad = 0.55
	// contendedFor is how long a service counts as contended after that.
	contendedFor = 2 * time.Second
)

// Contended reports whether gateways have so much work for the backend servers of a service
// that they would meet there.
func (b *Balancer) Contended(now time.Time, service string) bool {
	taken, slots := 0.0, 0.0
	for _, k := range b.byService[service] {
		if k.open() && !k.silent(now) && !k.ejected(now) {
			taken += min(k.own+k.others, k.slots())
			slots += k.slots()
		}
	}
	if b.contended == nil {
		b.contended = map[string]time.Time{}
	}
	if slots > 0 && taken >= contendedLoad*slots {
		b.contended[service] = now
	}
	at, ok := b.contended[service]
	return ok && now.Sub(at) < contendedFor
}

// crowded reports whether the holder of an adapter that was chosen is much busier than the
// engines on the whole. If all are busy, a further copy would help nobody.
func (b *Balancer) crowded(best *backend, peers []*backend) bool {
	sum := 0.0
	for _, k := range peers {
		sum += k.load()
	}
	return best.load() > crowdedLoad && best.load()*float64(len(peers)) > crowdedRatio*sum
}

// without returns the backend servers of a list that are not in another.
func without(list, others []*backend) []*backend {
	return slices.DeleteFunc(slices.Clone(list), func(k *backend) bool { return slices.Contains(others, k) })
}

// HasAlternative reports whether a request could go to another backend server than the one with an
// id at once.
func (b *Balancer) HasAlternative(now time.Time, w *Waiter, id string) bool {
	able := b.able(now, b.candidates(now, w).preferred, w.Adapter)
	return slices.ContainsFunc(able, func(k *backend) bool {
		return k.info.GetId() != id && !k.paused(now) && (w.UsesSlotGrants || !now.Before(k.fullUntil) && k.hasRoom())
	})
}

// roomAgain returns when the first of some backend servers has room in its request limit
// again, and false if one of them is not held back by its limit.
func roomAgain(now time.Time, list []*backend) (time.Time, bool) {
	var first time.Time
	for _, k := range list {
		if !k.paused(now) {
			return time.Time{}, false
		}
		if first.IsZero() || k.pausedUntil.Before(first) {
			first = k.pausedUntil
		}
	}
	return first, len(list) > 0
}

// unpaused returns the backend servers of a list whose request limits do not hold them back,
// or all if there are none.
func unpaused(now time.Time, list []*backend) []*backend {
	rest := slices.DeleteFunc(slices.Clone(list), func(k *backend) bool { return k.paused(now) })
	if len(rest) == 0 {
		return list
	}
	return rest
}
