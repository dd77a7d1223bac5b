package balancer

import (
	"math"
	"time"

	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/paceestimator"
	"bronzelead.example/pkg/wire"
)

const (
	// machineReportAge is how long a gateway reports a machine load: machines are busy for some
	// hundred ms at a time.
	machineReportAge = 500 * time.Millisecond
	// machineHalfLife is the age at which a machine load counts half. Where machines are busy for 100
	// to 300 ms, an engine that is avoided for longer gives no answer that would correct the figure:
	// with 120 or 250 ms, first events came up to 3% later than without the figure.
	machineHalfLife = 60 * time.Millisecond
	// minMachineEffect is the deviation of a machine load from 100 that counts, as a part.
	minMachineEffect = 0.2
	// maxSlowdown bounds what a machine load may add.
	maxSlowdown = 3.0
	// slowdownInterval is the time between two computations of the slowdowns of a service, and
	// paceInterval of its paces.
	slowdownInterval = 20 * time.Millisecond
	paceInterval     = 500 * time.Millisecond
	// pacePenalty is the load that is added for a backend server that takes twice as long for a
	// request of the highest urgency without a prompt, as idle as it may be.
	pacePenalty = 0.1
	// maxDraws bounds the draws of one random choice.
	maxDraws = 8
)

// paces is what is known of the paces of one service's backend servers.
type paces struct {
	estimator   paceestimator.Estimator
	estimatedAt time.Time
	refreshedAt time.Time
}

// ObserveEventPace records the time between two events of a stream, as part of the pace of its
// backend server.
func (b *Balancer) ObserveEventPace(now time.Time, id string, gap time.Duration) {
	if k := b.backends[id]; k != nil {
		k.gaps.Observe(now, gap)
	}
}

// addPace adds to a report what this gateway has observed of a backend server's pace.
func (k *backend) addPace(now time.Time, l *wire.Load) {
	if interval, samples := k.gaps.Interval(now); samples > 0 {
		l.EventIntervalUs, l.EventSamples = uint32(interval.Microseconds()), uint32(samples)
	}
	if k.hasRecentMachineLoad(now) {
		l.MachineLoad, l.MachineLoadAgeMs = uint32(k.machineLoad), uint32(now.Sub(k.machineLoadAt).Milliseconds())
	}
}

// hasRecentMachineLoad reports whether an answer to this gateway has recently named a machine load.
func (k *backend) hasRecentMachineLoad(now time.Time) bool {
	return k.machineLoad > 0 && !k.machineLoadReported && now.Sub(k.machineLoadAt) < machineReportAge
}

// ObserveMachineLoad records how long work takes on a backend server's machine, in percent of the
// usual time, by its answer at now.
func (b *Balancer) ObserveMachineLoad(now time.Time, id string, percent int) {
	if k := b.backends[id]; k != nil && !now.Before(k.machineLoadAt) {
		k.machineLoad, k.machineLoadAt, k.machineLoadReported = percent, now, false
	}
}

// MachineLoad returns the newest machine load of a backend server and its age; 0 if none is known.
func (b *Balancer) MachineLoad(now time.Time, id string) (percent int, age time.Duration) {
	k := b.backends[id]
	if k == nil || k.machineLoad == 0 {
		return 0, 0
	}
	return k.machineLoad, now.Sub(k.machineLoadAt)
}

// ObserveLoads records what other gateways report of the pace of backend servers, and of those that
// are brittle.
func (b *Balancer) ObserveLoads(now time.Time, loads []*wire.Load) {
	for _, l := range loads {
		k := b.backends[l.GetBackend()]
		if k == nil {
			continue
		}
		if l.GetEventSamples() > 0 {
			interval := time.Duration(l.GetEventIntervalUs()) * time.Microsecond
			b.paces(k.info.GetService()).estimator.ObserveOthers(now, l.GetBackend(), interval, int(l.GetEventSamples()))
		}
		b.ObserveBrittle(now, now.Add(-time.Duration(l.GetBrittleAgeMs())*time.Millisecond), l.GetBackend(), int(l.GetBrittle()))
		at := now.Add(-time.Duration(l.GetMachineLoadAgeMs()) * time.Millisecond)
		if l.GetMachineLoad() > 0 && at.After(k.machineLoadAt) {
			k.machineLoad, k.machineLoadAt, k.machineLoadReported = int(l.GetMachineLoad()), at, true
		}
	}
}

// paces returns the paces of a service.
func (b *Balancer) paces(service string) *paces {
	p := b.pacesByService[service]
	if p == nil {
		if b.pacesByService == nil {
			b.pacesByService = map[string]*paces{}
		}
		p = &paces{}
		b.pacesByService[service] = p
	}
	return p
}

// forgetPace drops the pace of a backend server that has left.
func (b *Balancer) forgetPace(removed *backend) {
	if p := b.pacesByService[removed.info.GetService()]; p != nil {
		p.estimator.Forget(removed.info.GetId())
	}
}

// refreshSlowdowns computes how much longer requests are expected to take at each backend server of
// a service, unless it was done recently.
func (b *Balancer) refreshSlowdowns(now time.Time, service string) {
	p := b.paces(service)
	if now.Sub(p.refreshedAt) < slowdownInterval || b.Disabled.Has(ablator.UnevenServers) {
		return
	}
	p.refreshedAt = now
	if now.Sub(p.estimatedAt) >= paceInterval {
		p.estimatedAt = now
		for _, k := range b.byService[service] {
			interval, samples := k.gaps.Interval(now)
			p.estimator.ObserveOwn(now, k.info.GetId(), interval, samples)
		}
		p.estimator.Update(now)
	}
	for _, k := range b.byService[service] {
		k.slowdown = p.estimator.Pace(k.info.GetId())*(1+k.machineEffect(now)) - 1
	}
}

// machineEffect returns by how much more time work is expected to take on the machine of a backend
// server than usual, as a part of that time. An older figure counts less: it changes many times per
// second.
func (k *backend) machineEffect(now time.Time) float64 {
	effect := float64(k.machineLoad)/100 - 1
	if k.machineLoad == 0 || math.Abs(effect) < minMachineEffect {
		return 0
	}
	effect = min(effect, maxSlowdown) * math.Exp2(-float64(now.Sub(k.machineLoadAt))/float64(machineHalfLife))
	if math.Abs(effect) < minMachineEffect/2 {
		return 0
	}
	return effect
}

// pickUneven returns the better scored of two random backend servers that are drawn in proportion
// to the work that they do in the same time. The expected time to the first event grows with the
// load, the slowdown and the prompt; that to the end with the slowdown, also where nothing else
// runs. Requests that are not urgent leave the faster backend servers to those that are.
func (b *Balancer) pickUneven(now time.Time, available []*backend, w *Waiter) *backend {
	if len(available) == 1 {
		return available[0]
	}
	least := math.Inf(1)
	for _, k := range available {
		least = min(least, k.slowdown)
	}
	penalty := pacePenalty * Weight(w.Tokens) / float64(1+w.Urgency)
	urgent := w.Urgency == 0
	first := b.draw(available, least, urgent)
	best := available[first]
	available[first], available[len(available)-1] = available[len(available)-1], available[first]
	rest := available[:len(available)-1]
	other := rest[b.draw(rest, least, urgent)]
	if b.score(now, other)+penalty*other.slowdown < b.score(now, best)+penalty*best.slowdown {
		return other
	}
	return best
}

// draw returns the index of a random backend server, in inverse proportion to the time that it takes
// for the same work, or to the root of that time if the request is not urgent. The least slowdown
// bounds those of the list from below.
func (b *Balancer) draw(list []*backend, least float64, urgent bool) int {
	i := b.intN(len(list))
	for range maxDraws - 1 {
		accepted := (1 + least) / (1 + list[i].slowdown)
		if !urgent {
			accepted = math.Sqrt(accepted)
		}
		if b.float64() < accepted {
			break
		}
		i = b.intN(len(list))
	}
	return i
}

// PaceSummary describes what is known of the paces of a service's backend servers.
type PaceSummary struct {
	paceestimator.Summary
	Service string
	// BusyMachines is the number of backend servers whose machine load makes them slower at the
	// moment.
	BusyMachines int
}

// PaceSummaries returns the summaries of the services whose backend servers differ.
func (b *Balancer) PaceSummaries(now time.Time) []PaceSummary {
	var list []PaceSummary
	for service, p := range b.pacesByService {
		s := PaceSummary{Summary: p.estimator.Summary(), Service: service}
		for _, k := range b.byService[service] {
			if k.machineEffect(now) > 0 {
				s.BusyMachines++
			}
		}
		if s.Slower+s.Faster+s.BusyMachines > 0 {
			list = append(list, s)
		}
	}
	return list
}
