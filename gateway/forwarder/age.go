package forwarder

import (
	"time"

	"bronzelead.example/pkg/ageestimator"
	"bronzelead.example/pkg/wire"
)

// backdate estimates when the caller first sent a request. Callers retry on new connections, so
// that a request on a reused one is a first try.
func (f *Forwarder) backdate(j *job) {
	j.askedAt = j.req.ReceivedAt
	if j.about.ClientTimeout == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.backdaters[j.route.GetName()]
	if b == nil {
		b = &ageestimator.Estimator{}
		f.backdaters[j.route.GetName()] = b
	}
	if j.req.Reused {
		b.Observe(j.about.ClientTimeout)
		return
	}
	j.askedAt = j.req.ReceivedAt.Add(-b.Age(j.about.ClientTimeout))
}

// inTimeUntil is when the caller stops counting an answer as in time.
func (j *job) inTimeUntil() time.Time {
	return j.askedAt.Add(milliseconds(j.route.GetObjectiveMs()))
}

// forgetRoutes drops what is known of routes that a new table does not have. The caller holds
// the lock.
func (f *Forwarder) forgetRoutes(t *wire.RoutingTable) {
	kept := map[string]*ageestimator.Estimator{}
	for _, r := range t.GetRoutes() {
		if b := f.backdaters[r.GetName()]; b != nil {
			kept[r.GetName()] = b
		}
	}
	f.backdaters = kept
}
