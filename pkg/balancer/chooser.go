package balancer

import (
	"cmp"
	"slices"
	"time"

	"bronzelead.example/pkg/ablator"
)

// choose returns the backend server to send to, or nil, and those that could serve the request
// if they had room.
func (b *Balancer) choose(now time.Time, w *Waiter, c candidates) (best *backend, holders []*backend) {
	for _, list := range [][]*backend{c.preferred, c.alreadyTried, c.suspected} {
		eligible := b.eligible(now, list, w.Adapter)
		if best := b.pick(now, eligible, w); best != nil {
			return best, append(holders, eligible...)
		}
		holders = append(holders, eligible...)
		if len(holders) > 0 && len(c.suspected) == 0 && !b.Disabled.Has(ablator.FullHolder) {
			// A holder without room is no reason to use one where an attempt has failed.
			return nil, holders
		}
	}
	return nil, holders
}

// candidates are the backend servers that may get a request, full or not, in the order in which
// they are considered.
type candidates struct {
	preferred []*backend
	// alreadyTried have failed this request, but are healthy otherwise. If the only engine that
	// holds an adapter is among them, a retry there is better than a load.
	alreadyTried []*backend
	// suspected are used only while the healthy ones are full and a minority: when most appear
	// to fail, the fault may be on the gateway's side.
	suspected []*backend
}

func (b *Balancer) candidates(now time.Time, w *Waiter) candidates {
	var c candidates
	for _, k := range b.byService[w.Service] {
		switch {
		case !k.accepting(), !w.Pin.allows(k):
		case k.silent(now), k.ejected(now) && !b.Disabled.Has(ablator.Ejection):
			c.suspected = append(c.suspected, k)
		case slices.Contains(w.Avoid, k.info.GetId()):
			c.alreadyTried = append(c.alreadyTried, k)
		default:
			c.preferred = append(c.preferred, k)
		}
	}
	healthy := accepting(now, c.preferred) + accepting(now, c.alreadyTried)
	if healthy*minInUseDivisor >= healthy+accepting(now, c.suspected) {
		c.suspected = nil
	}
	return c
}

// accepting returns how many backend servers of a list are not in a backoff.
func accepting(now time.Time, list []*backend) int {
	n := 0
	for _, k := range list {
		if !k.backoff.active(now) {
			n++
		}
	}
	return n
}

// eligible returns those that have what a request needs: its adapter, or the base model.
func (b *Balancer) eligible(now time.Time, list []*backend, adapter string) []*backend {
	if adapter == "" {
		return withModel(now, list)
	}
	return b.withAdapter(now, list, adapter)
}

// withModel returns those that have not recently reported their base model as absent.
func withModel(now time.Time, from []*backend) []*backend {
	return slices.DeleteFunc(slices.Clone(from), func(k *backend) bool { return now.Before(k.absentUntil[""]) })
}

// withAdapter returns those that hold the adapter in the required version.
func (b *Balancer) withAdapter(now time.Time, from []*backend, adapter string) []*backend {
	version := b.versions[adapter]
	var holders []*backend
	for _, k := range from {
		held, ok := k.adapters[adapter]
		if ok && (version == 0 || held >= version) && !now.Before(k.absentUntil[adapter]) {
			holders = append(holders, k)
		}
	}
	return holders
}

// pick returns the better scored of two random backend servers with room, or nil. The known
// loads of the other gateways are up to a few hundred milliseconds old: if all gateways chose
// the least loaded backend server, their requests would collide there.
func (b *Balancer) pick(now time.Time, from []*backend, w *Waiter) *backend {
	uneven := false
	available := make([]*backend, 0, len(from))
	for _, k := range from {
		if !k.paused(now) && (w.UsesSlotGrants || !now.Before(k.fullUntil) && k.hasRoom() && k.own+k.others+b.reserve(now, k) < k.slots()) {
			available = append(available, k)
			uneven = uneven || k.slowdown != 0
		}
	}
	if len(available) == 0 {
		return nil
	}
	score := b.score
	if w.UsesSlotGrants {
		score = b.scoreForSlotGrant
	}
	if b.Disabled.Has(ablator.TwoChoices) {
		return slices.MinFunc(available, func(one, other *backend) int { return cmp.Compare(score(now, one), score(now, other)) })
	}
	if uneven && !w.UsesSlotGrants {
		return b.pickUneven(now, available, w)
	}
	first := b.intN(len(available))
	best := available[first]
	if len(available) == 1 {
		return best
	}
	other := available[(first+1+b.intN(len(available)-1))%len(available)]
	if score(now, other) < score(now, best) {
		return other
	}
	return best
}

// score returns the load of a backend server plus the penalties for failures, unread prompts
// and another zone.
func (b *Balancer) score(now time.Time, k *backend) float64 {
	score := k.load() + k.currentFailureRate(now)*failurePenalty + b.float64()*jitter
	score += float64(k.remainingBacklog(now)) / float64(fullBacklog)
	if k.info.GetZone() != b.Zone && !b.Disabled.Has(ablator.ZonePenalty) {
		score += zonePenalty
	}
	return score
}

// scoreForSlotGrant is the score of a backend server whose slots are granted by an owner. The
// known loads are older than a request takes: with them, all gateways would choose the same
// backend servers while slots of others are idle.
func (b *Balancer) scoreForSlotGrant(now time.Time, k *backend) float64 {
	return k.currentFailureRate(now)*failurePenalty + b.float64()*jitter
}

const (
	// contendedLoad is the fraction of a service's slots in use from which its backend servers'
	// slots are granted by owners: below it, requests rarely collide.
	contendedLoad = 0.55
	// contendedDuration is how long a service counts as contended after that.
	contendedDuration = 2 * time.Second
)

// Contended reports whether gateways send so much work to the backend servers of a service that
// their requests would collide.
func (b *Balancer) Contended(now time.Time, service string) bool {
	b.expireLoads(now)
	taken, slots := 0.0, 0.0
	for _, k := range b.byService[service] {
		if k.accepting() && !k.silent(now) && !k.ejected(now) && !k.backoff.active(now) {
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
	return ok && now.Sub(at) < contendedDuration
}

// without returns the backend servers of a list that are not in another.
func without(list, others []*backend) []*backend {
	return slices.DeleteFunc(slices.Clone(list), func(k *backend) bool { return slices.Contains(others, k) })
}

// HasAlternative reports whether a request could be sent at once to a backend server other than
// the one with the id.
func (b *Balancer) HasAlternative(now time.Time, w *Waiter, id string) bool {
	eligible := b.eligible(now, b.candidates(now, w).preferred, w.Adapter)
	return slices.ContainsFunc(eligible, func(k *backend) bool {
		return k.info.GetId() != id && !k.paused(now) && (w.UsesSlotGrants || !now.Before(k.fullUntil) && k.hasRoom())
	})
}

// earliestPaused returns the backend server whose pause ends first, or nil if one of them is not
// paused.
func earliestPaused(now time.Time, list []*backend) *backend {
	var first *backend
	for _, k := range list {
		if !k.paused(now) {
			return nil
		}
		if first == nil || k.pauseEnd().Before(first.pauseEnd()) {
			first = k
		}
	}
	return first
}

// unpaused returns the backend servers of a list that are not paused, or all if there are none.
func unpaused(now time.Time, list []*backend) []*backend {
	rest := slices.DeleteFunc(slices.Clone(list), func(k *backend) bool { return k.paused(now) })
	if len(rest) == 0 {
		return list
	}
	return rest
}
