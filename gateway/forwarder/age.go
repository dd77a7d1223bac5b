package forwarder

import (
	"time"

	"bronzelead.example/pkg/ageestimator"
	"bronzelead.example/pkg/wire"
)

// estimateFirstSent estimates when the caller first sent a request. Callers retry on new
// connections, so a request on a reused connection is a first attempt.
func (f *Forwarder) estimateFirstSent(j *job) {
	j.firstSentAt = j.req.ReceivedAt
	if j.meta.ClientTimeout == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.ageEstimators[j.route.GetName()]
	if b == nil {
		b = &ageestimator.Estimator{}
		f.ageEstimators[j.route.GetName()] = b
	}
	if j.req.Reused {
		b.Observe(j.meta.ClientTimeout)
		return
	}
	j.firstSentAt = j.req.ReceivedAt.Add(-b.Age(j.meta.ClientTimeout))
}

// onTimeUntil returns when an answer stops counting as on time for the caller.
func (j *job) onTimeUntil() time.Time {
	return j.firstSentAt.Add(milliseconds(j.route.GetObjectiveMs()))
}

// pruneAgeEstimators removes the estimators of routes that a new table does not have. The
// caller holds the lock.
func (f *Forwarder) pruneAgeEstimators(t *wire.RoutingTable) {
	retained := map[string]*ageestimator.Estimator{}
	for _, r := range t.GetRoutes() {
		if b := f.ageEstimators[r.GetName()]; b != nil {
			retained[r.GetName()] = b
		}
	}
	f.ageEstimators = retained
}
