package regulator

import (
	"math/rand/v2"
	"slices"
	"time"

	"bronzelead.example/pkg/waitestimator"
	"bronzelead.example/pkg/wire"
)

// reportedFor is how long after its latest request the wait at a backend server is reported to the
// other gateways: later it is none, or another gateway owns the backend server.
const reportedFor = time.Second

// refusal returns the refusal of a request.
func (p *Prompt) refusal(now time.Time, owner string, duration time.Duration) waitestimator.Refusal {
	return waitestimator.Refusal{Owner: owner, Urgency: p.Urgency, Left: p.OnTimeUntil.Sub(now), For: duration}
}

// learn records what an owner's answer to a slot request says of its backend server.
func (r *Regulator) learn(p *Prompt, result Result) {
	if p.Slots == 0 {
		return
	}
	now := r.Clock.Now()
	r.waitsMu.Lock()
	defer r.waitsMu.Unlock()
	waits := r.waitsOf(p.Customer)
	if result.Granted {
		waits.Granted(p.Backend)
		return
	}
	waits.Refused(now, p.Backend, result.Refusal)
	report := waitestimator.Report{Wait: result.Backlog, ServiceTime: result.ServiceTime}
	if p.Customer != "" {
		report.Wait = 0
	}
	if !result.Slow {
		waits.Report(now, p.Backend, report)
	}
}

// waitsOf returns what is known for the requests of a customer. The waits that owners report are kept
// for those without a customer alone: a customer within its share does not wait behind the others. The caller
// holds waitsMu.
func (r *Regulator) waitsOf(customer string) *waitestimator.Estimator {
	if r.waits == nil {
		r.waits = map[string]*waitestimator.Estimator{}
	}
	waits := r.waits[customer]
	if waits == nil {
		waits = &waitestimator.Estimator{}
		r.waits[customer] = waits
	}
	return waits
}

// AppendBusy appends the backend servers of plain services that are known to be too busy for a
// request.
func (r *Regulator) AppendBusy(list []string, request waitestimator.Request) []string {
	now := r.Clock.Now()
	r.waitsMu.Lock()
	defer r.waitsMu.Unlock()
	return r.waitsOf(request.Customer).AppendBusy(list, now, request)
}

// TakeProbe reports whether a request shall ask an owner although all backend servers are known to
// be too busy for the requests of its customer.
func (r *Regulator) TakeProbe(customer string) bool {
	now := r.Clock.Now()
	r.waitsMu.Lock()
	defer r.waitsMu.Unlock()
	return r.waitsOf(customer).TakeProbe(now)
}

// RetryAfter returns when a request shall return that some backend servers are too busy for, whose
// caller leaves after the given time.
func (r *Regulator) RetryAfter(backends []string, request waitestimator.Request, remaining time.Duration) time.Duration {
	now := r.Clock.Now()
	r.waitsMu.Lock()
	defer r.waitsMu.Unlock()
	return r.waitsOf(request.Customer).RetryAfter(now, backends, request, remaining, rand.Float64())
}

// ReceiveLoads receives the waits at backend servers that other gateways report.
func (r *Regulator) ReceiveLoads(loads []*wire.Load) {
	now := r.Clock.Now()
	r.waitsMu.Lock()
	defer r.waitsMu.Unlock()
	for _, l := range loads {
		r.waitsOf("").Report(now, l.GetBackend(), waitestimator.Report{
			Wait: microseconds(l.GetWaitUs()), ServiceTime: microseconds(l.GetServiceUs()), Age: milliseconds(l.GetOwnerAgeMs()),
		})
	}
}

// AddWaits adds the waits at the backend servers that this gateway owns to the loads that it
// reports.
func (r *Regulator) AddWaits(loads []*wire.Load) []*wire.Load {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for backend, e := range r.engines {
		service := e.granter.ServiceTime()
		if service == 0 || now.Sub(e.lastRequestAt) > reportedFor || r.ownerOf(now, backend) != r.Self {
			continue
		}
		i := slices.IndexFunc(loads, func(l *wire.Load) bool { return l.GetBackend() == backend })
		if i < 0 {
			i, loads = len(loads), append(loads, &wire.Load{Backend: backend})
		}
		loads[i].WaitUs, loads[i].ServiceUs = uint32(e.granter.Backlog().Microseconds()), uint32(service.Microseconds())
		loads[i].OwnerAgeMs = 0
	}
	return loads
}

func microseconds(n uint32) time.Duration { return time.Duration(n) * time.Microsecond }

// forgetOwner removes what was learned from the refusals of a gateway.
func (r *Regulator) forgetOwner(address string) {
	r.waitsMu.Lock()
	defer r.waitsMu.Unlock()
	for _, waits := range r.waits {
		waits.ForgetOwner(address)
	}
}
