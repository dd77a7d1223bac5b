package renewer

import (
	"time"

	"bronzelead.example/gateway/isolator"
	"bronzelead.example/pkg/wire"
)

// never is the age of a leader's word before the first.
const never = time.Hour

// LeaderAge returns how old the leader's word is. It may be called from any goroutine.
func (r *Renewer) LeaderAge() time.Duration {
	heard := r.heard.Load()
	if heard == 0 {
		return never
	}
	return r.Clock.Since(time.Unix(0, heard))
}

// report adds to a renewal what the leader has not been told of runs that ended, and returns
// the number of the last report in it.
func (r *Renewer) report(req *wire.RenewRequest) uint64 {
	reports, last := r.Isolator.Reports(r.reported)
	req.RunReports, req.SuspectsRevision = reports, r.Isolator.SuspectsRevision()
	return last
}

// noteAnswer takes what a leader says of requests and backend servers. Another leader than
// before knows none of the reports but those of this renewal, so that all are told again.
func (r *Renewer) noteAnswer(res *wire.RenewResponse, reported uint64) {
	r.heard.Store(r.Clock.Now().UnixNano())
	if res.GetTerm() != r.term {
		r.term, reported = res.GetTerm(), 0
	}
	r.reported = reported
	if res.GetSuspectsRevision() != 0 {
		r.Isolator.SetSuspects(res.GetSuspectsRevision(), res.GetSuspects())
	}
	for _, b := range res.GetBackends() {
		r.noteStart(b)
	}
}

// noteStart takes what is announced of a backend server. A new incarnation means that the
// one before it has ended.
func (r *Renewer) noteStart(b *wire.Backend) {
	if r.starts == nil {
		r.starts = map[string]string{}
	}
	before := r.starts[b.GetName()]
	if before != "" && before != b.GetIncarnation() {
		r.Isolator.ObserveAnnouncement(&wire.Announcement{Id: isolator.IncarnationID(b.GetName(), before), Gone: true})
	}
	r.starts[b.GetName()] = b.GetIncarnation()
	if b.GetLeaving() {
		r.Isolator.ObserveAnnouncement(&wire.Announcement{Id: isolator.IncarnationID(b.GetName(), b.GetIncarnation()), Draining: true})
	}
}
