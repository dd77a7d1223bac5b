package renewer

import (
	"time"

	"bronzelead.example/gateway/isolator"
	"bronzelead.example/pkg/wire"
)

// neverContactedAge is the age of a leader's state before the first contact.
const neverContactedAge = time.Hour

// LeaderAge returns the age of the leader's state. It may be called from any goroutine.
func (r *Renewer) LeaderAge() time.Duration {
	lastContact := r.lastContactAt.Load()
	if lastContact == 0 {
		return neverContactedAge
	}
	return r.Clock.Since(time.Unix(0, lastContact))
}

// addReports adds the reports of lost runs that the leader does not have yet to a renewal, and
// returns the number of the last one.
func (r *Renewer) addReports(req *wire.RenewRequest) uint64 {
	reports, last := r.Isolator.Reports(r.lastReport)
	req.RunReports, req.SuspectsRevision = reports, r.Isolator.SuspectsRevision()
	return last
}

// applyResponse applies a leader's state of requests and backend servers. A new leader has none
// of the reports except those of this renewal, so all are sent again.
func (r *Renewer) applyResponse(res *wire.RenewResponse, reported uint64) {
	r.lastContactAt.Store(r.Clock.Now().UnixNano())
	if res.GetTerm() != r.term {
		r.term, reported = res.GetTerm(), 0
	}
	r.lastReport = reported
	if res.GetSuspectsRevision() != 0 {
		r.Isolator.SetSuspects(res.GetSuspectsRevision(), res.GetSuspects())
	}
	for _, b := range res.GetBackends() {
		r.observeBackend(b)
	}
}

// observeBackend records an announced backend server. A new incarnation means that the previous
// one has exited.
func (r *Renewer) observeBackend(b *wire.Backend) {
	if r.incarnations == nil {
		r.incarnations = map[string]string{}
	}
	previous := r.incarnations[b.GetName()]
	if previous != "" && previous != b.GetIncarnation() {
		r.Isolator.ObserveAnnouncement(&wire.Announcement{Id: isolator.IncarnationID(b.GetName(), previous), Gone: true})
	}
	r.incarnations[b.GetName()] = b.GetIncarnation()
	if b.GetLeaving() {
		r.Isolator.ObserveAnnouncement(&wire.Announcement{Id: isolator.IncarnationID(b.GetName(), b.GetIncarnation()), Draining: true})
	}
}
