// Package quarantiner finds the requests under which backend servers end, so that they can
// be refused. It is pure: reports of how runs ended go in with the time, verdicts come out.
//
// A backend server runs many requests at once, and all of them are lost with its process:
// the one that ended it, and others that happened to be there. So a request counts as the
// cause only if several starts ended under it, none of its runs was completed since, and
// nothing else explains these ends. Ends without a request to blame, as when a rack loses
// its power, leave each request with one or two of them.
package quarantiner

import (
	"maps"
	"slices"
	"time"

	"bronzelead.example/pkg/wire"
)

const (
	// QuarantineThreshold is how many starts must have ended under a request. Two happen to a
	// request that is repeated while backend servers fail for other reasons; each further
	// one costs the streams of all callers there.
	QuarantineThreshold = 3
	// SuspectThreshold is from how many on a request counts as suspect: it is not repeated
	// without need, and runs that it completes are told of.
	SuspectThreshold = 2
	// settle is how long reports of the other gateways are waited for, which tell what else
	// ran there: they come with the next call, some 150 ms later.
	settle = 400 * time.Millisecond
	// settleTogether is the same if runs were not one after the other. A read that a caller
	// sends many times a second may be at several backend servers that are lost at once; it
	// is then completed elsewhere, which has the time to be told.
	settleTogether = 1500 * time.Millisecond
	// reportSkew is how far apart two gateways may see the same end.
	reportSkew = 100 * time.Millisecond
	// memory is how long ends count: longer than callers go on sending what they do not get
	// served, as they come back after minutes.
	memory = 10 * time.Minute
	// maxEnds bounds the ends that are kept. At most so many starts end in memory at the
	// largest size, but for outages; of more the oldest are forgotten.
	maxEnds = 4096
	// freshCompletion is how old the report of a completed run may be that ends a hold: it comes
	// with the next call, and runs of what is held are few.
	freshCompletion = 2 * time.Second
	// repeatVerdict is when a verdict is given again that has not come into force.
	repeatVerdict = time.Second
)

// Quarantiner judges requests by the runs of all gateways that report here. Make one with
// New.
type Quarantiner struct {
	// ends are the starts that ended while they ran requests, by id.
	ends map[string]*end
	// runs are what is known of each request that was lost with a start.
	runs map[string]*record
	// held are the requests that are refused, by fingerprint.
	held map[string]*wire.HeldRequest
	// trials is since when requests are on trial.
	trials map[string]time.Time
	// given is when a verdict was given that is not in force yet.
	given map[string]time.Time
	order []*end
	// cleared are requests that were completed though they are held.
	cleared map[string]bool
	// dropped counts ends that were forgotten early.
	dropped int
}

// end is the end of one start.
type end struct {
	backend string
	at      time.Time
	lost    map[string]*loss
	// culprits are the requests that are held for it.
	culprits map[string]bool
}

// loss is one request's part in an end.
type loss struct {
	ran   time.Duration
	begun bool
}

// record is what is known of one request.
type record struct {
	about *wire.RunReport
	ends  map[string]*end
	// enoughAt is when enough ends had been reported.
	enoughAt time.Time
}

// New returns a quarantiner that knows nothing.
func New() *Quarantiner {
	return &Quarantiner{
		ends: map[string]*end{}, runs: map[string]*record{}, held: map[string]*wire.HeldRequest{},
		given: map[string]time.Time{}, trials: map[string]time.Time{}, cleared: map[string]bool{},
	}
}

// Observe takes a report. Reports that come twice, or late, count once.
func (q *Quarantiner) Observe(now time.Time, r *wire.RunReport) {
	switch {
	case r.GetFingerprint() == "" || r.GetBackend() == "":
	case r.GetCompleted():
		q.complete(now, r)
	default:
		q.lose(now, r)
	}
}

// complete lets a run that was answered whole speak for its request: against the ends before
// it, and, if it has just been answered, against its being held. Reports are told again to
// whoever has started anew, and old ones must not undo what was found out since.
func (q *Quarantiner) complete(now time.Time, r *wire.RunReport) {
	fingerprint, age := r.GetFingerprint(), time.Duration(r.GetAgoMs())*time.Millisecond
	if q.held[fingerprint] != nil && age <= freshCompletion {
		q.cleared[fingerprint] = true
	}
	q.forgetRunsUntil(fingerprint, now.Add(-age))
}

// forgetRunsUntil lets the ends until then no longer speak against a request.
func (q *Quarantiner) forgetRunsUntil(fingerprint string, until time.Time) {
	known := q.runs[fingerprint]
	if known == nil {
		return
	}
	for backend, e := range known.ends {
		if !e.at.After(until) {
			delete(e.lost, fingerprint)
			delete(known.ends, backend)
		}
	}
	switch {
	case len(known.ends) == 0:
		delete(q.runs, fingerprint)
		delete(q.given, fingerprint)
	case len(known.ends) < q.enough(fingerprint):
		known.enoughAt = time.Time{}
	}
}

// forgetRuns lets the ends so far no longer speak against a request.
func (q *Quarantiner) forgetRuns(fingerprint string) {
	known := q.runs[fingerprint]
	if known == nil {
		return
	}
	for _, e := range known.ends {
		delete(e.lost, fingerprint)
	}
	delete(q.runs, fingerprint)
}

func (q *Quarantiner) lose(now time.Time, r *wire.RunReport) {
	at := now.Add(-time.Duration(r.GetAgoMs()) * time.Millisecond)
	if now.Sub(at) > memory || q.beforeTrial(at, r) {
		return
	}
	e := q.ends[r.GetBackend()]
	if e == nil {
		e = &end{backend: r.GetBackend(), at: at, lost: map[string]*loss{}, culprits: map[string]bool{}}
		q.ends[e.backend] = e
		q.order = append(q.order, e)
		q.bound()
	}
	if e.lost[r.GetFingerprint()] != nil {
		return
	}
	e.lost[r.GetFingerprint()] = &loss{ran: time.Duration(r.GetRanMs()) * time.Millisecond, begun: r.GetBegun()}
	if q.held[r.GetFingerprint()] != nil {
		e.culprits[r.GetFingerprint()] = true
	}
	known := q.runs[r.GetFingerprint()]
	if known == nil {
		known = &record{ends: map[string]*end{}}
		q.runs[r.GetFingerprint()] = known
	}
	known.about = r
	known.ends[e.backend] = e
	if known.enoughAt.IsZero() && len(known.ends) >= q.enough(r.GetFingerprint()) {
		known.enoughAt = now
	}
}

// beforeTrial reports whether a run was sent before its request was put on trial: it says
// nothing of the trial, however late it is reported.
func (q *Quarantiner) beforeTrial(at time.Time, r *wire.RunReport) bool {
	since, onTrial := q.trials[r.GetFingerprint()]
	return onTrial && at.Add(-time.Duration(r.GetRanMs())*time.Millisecond).Before(since)
}

// bound forgets the oldest ends when there are too many.
func (q *Quarantiner) bound() {
	for len(q.order) > maxEnds {
		q.dropped++
		q.forget(q.order[0])
		q.order = q.order[1:]
	}
}

// Empty reports whether it knows of no end.
func (q *Quarantiner) Empty() bool { return len(q.ends) == 0 }

// Dropped returns how many ends were forgotten early for want of room.
func (q *Quarantiner) Dropped() int { return q.dropped }

func (q *Quarantiner) forget(e *end) {
	delete(q.ends, e.backend)
	for fingerprint := range e.lost {
		known := q.runs[fingerprint]
		delete(known.ends, e.backend)
		if len(known.ends) == 0 {
			delete(q.runs, fingerprint)
		}
	}
}

// Tick forgets what is too old to count.
func (q *Quarantiner) Tick(now time.Time) {
	for len(q.order) > 0 && now.Sub(q.order[0].at) > memory {
		q.forget(q.order[0])
		q.order = q.order[1:]
	}
	for fingerprint, at := range q.given {
		if now.Sub(at) > repeatVerdict {
			delete(q.given, fingerprint)
		}
	}
}

// SetHeld takes the requests that are refused, as the replicated state has them.
func (q *Quarantiner) SetHeld(now time.Time, list []*wire.HeldRequest) {
	before := q.held
	defer q.released(before)
	q.held = make(map[string]*wire.HeldRequest, len(list))
	for _, h := range list {
		fingerprint := h.GetFingerprint()
		q.held[fingerprint] = h
		switch {
		case !h.GetOnTrial():
			delete(q.trials, fingerprint)
		case !before[fingerprint].GetOnTrial():
			q.trials[fingerprint] = now
			q.forgetRuns(fingerprint)
			delete(q.given, fingerprint)
		}
		for _, backend := range h.GetBackends() {
			if e := q.ends[backend]; e != nil {
				e.culprits[fingerprint] = true
			}
		}
	}
}

// released lets the ends of requests no longer count that were held and are so no more.
func (q *Quarantiner) released(before map[string]*wire.HeldRequest) {
	for fingerprint := range before {
		if q.held[fingerprint] == nil {
			q.forgetRuns(fingerprint)
			delete(q.trials, fingerprint)
			delete(q.cleared, fingerprint)
		}
	}
}

// TakeCleared returns the requests that were answered whole though they are held: they are
// not the cause.
func (q *Quarantiner) TakeCleared() []string {
	list := slices.Sorted(maps.Keys(q.cleared))
	clear(q.cleared)
	return list
}

// Crashes returns how many ends of starts speak against a request.
func (q *Quarantiner) Crashes(fingerprint string) int {
	known := q.runs[fingerprint]
	if known == nil {
		return 0
	}
	return len(q.against(fingerprint, known).ends)
}

// Suspects returns the requests that may turn out to be a cause, in the order of their
// fingerprints.
func (q *Quarantiner) Suspects() []string {
	var list []string
	for _, fingerprint := range slices.Sorted(maps.Keys(q.runs)) {
		if len(q.runs[fingerprint].ends) >= SuspectThreshold && q.Crashes(fingerprint) >= SuspectThreshold {
			list = append(list, fingerprint)
		}
	}
	return list
}
