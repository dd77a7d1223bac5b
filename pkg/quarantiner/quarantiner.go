// Package quarantiner finds the requests that crash backend servers, so that they can be
// refused. It is pure: reports of runs go in with the time, decisions come out.
//
// A backend server runs many requests concurrently, and a crash loses all of them: the one that
// caused it, and others that happened to be there. So a request counts as the cause only if
// several incarnations crashed under it, none of its runs was completed since, and no other
// request accounts for these crashes. Crashes without a request to blame, such as a rack that
// loses power, leave each request with one or two of them.
//
// What requests have in common may be the cause as well: a part of their prompts has a fingerprint of
// its own. Parts that many requests share are lost in most crashes, and are distinguished from the cause
// by runs that were completed.
package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"bronzelead.example/pkg/wire"
)

const (
	// QuarantineThreshold is how many incarnations must have crashed under a request. A request
	// that is retried while backend servers fail for other reasons reaches two; each further
	// crash costs the streams of all callers there.
	QuarantineThreshold = 3
	// SuspectThreshold is the number of crashes from which a request counts as suspected: it is
	// not retried unless necessary, and its completed runs are reported.
	SuspectThreshold = 2
	// settleDelay is the wait for reports of the other gateways, which say what else ran there:
	// they come with the next call, some 150 ms later.
	settleDelay = 400 * time.Millisecond
	// concurrentSettleDelay is the same if runs were not sequential. A read that a caller sends
	// many times a second may be at several backend servers that are lost together; it is then
	// completed elsewhere, and this leaves time for that report.
	concurrentSettleDelay = 1500 * time.Millisecond
	// reportSkew is how far apart two gateways may see the same crash.
	reportSkew = 100 * time.Millisecond
	// retention is how long crashes count: longer than callers keep resending requests that
	// fail, since they retry after minutes.
	retention = 10 * time.Minute
	// maxCrashes bounds the stored crashes. Except in outages, no more incarnations exit within
	// the retention at the largest size; beyond it the oldest are discarded.
	maxCrashes = 4096
	// maxCompletionAge is the maximum age of a completion that releases a quarantined request:
	// the report comes with the next call, and quarantined requests run rarely.
	maxCompletionAge = 2 * time.Second
	// decisionRetryInterval is when a decision that has not taken effect is repeated.
	decisionRetryInterval = time.Second
)

// Quarantiner evaluates requests by the runs that all gateways report here. Make one with New.
type Quarantiner struct {
	// crashes are the incarnations that exited while they ran requests, by id.
	crashes map[string]*crash
	// records hold what is known of each request that was lost in a crash, by fingerprint.
	records map[string]*record
	// held are the quarantined requests, by fingerprint.
	held map[string]*wire.HeldRequest
	// trials holds since when requests are on trial.
	trials map[string]time.Time
	// decided holds when a decision was made that has not taken effect yet.
	decided map[string]time.Time
	order   []*crash
	// cleared are quarantined requests that are not the cause, as a completed run or a part shows.
	cleared map[string]bool
	// dropped counts crashes that were discarded early.
	dropped int
	// completions holds the reported completions of runs with parts of prompts.
	completions Completions
}

// crash is the exit of one incarnation with the requests that it ran.
type crash struct {
	backend string
	at      time.Time
	lost    map[string]*loss
	// culprits are the requests that are quarantined for it.
	culprits map[string]bool
	// near are the crashes at about the same time.
	near []*crash
}

// loss is one request's run that was lost in a crash.
type loss struct {
	ran   time.Duration
	begun bool
}

// record is what is known of one request.
type record struct {
	lastReport *wire.RunReport
	crashes    map[string]*crash
	// thresholdAt is when enough crashes had been reported.
	thresholdAt time.Time
	// requests are different requests that were lost with a part, requestsPerPart at most.
	requests []string
}

// New returns an empty quarantiner.
func New() *Quarantiner {
	return &Quarantiner{
		crashes: map[string]*crash{}, records: map[string]*record{}, held: map[string]*wire.HeldRequest{},
		decided: map[string]time.Time{}, trials: map[string]time.Time{}, cleared: map[string]bool{},
	}
}

// Observe takes a report. Duplicate and delayed reports count once.
func (q *Quarantiner) Observe(now time.Time, r *wire.RunReport) {
	switch {
	case r.GetFingerprint() == "":
	case r.GetCompleted():
		q.recordCompletion(now, r)
	case r.GetBackend() == "":
	default:
		q.recordLoss(now, r)
	}
}

// recordCompletion clears a request of the crashes before a completed run, and, if the run has
// just been completed, marks a quarantined request as cleared. Reports are sent again to
// restarted controllers, and old ones must not undo later findings.
func (q *Quarantiner) recordCompletion(now time.Time, r *wire.RunReport) {
	fingerprint, age := r.GetFingerprint(), time.Duration(r.GetAgoMs())*time.Millisecond
	if IsPart(fingerprint) {
		q.completions.Record(now.Add(-age), fingerprint)
	}
	if q.held[fingerprint] != nil && age <= maxCompletionAge {
		q.cleared[fingerprint] = true
	}
	q.discardCrashesUntil(fingerprint, now.Add(-age))
}

// discardCrashesUntil removes the crashes up to a time from the evidence against a request.
func (q *Quarantiner) discardCrashesUntil(fingerprint string, until time.Time) {
	known := q.records[fingerprint]
	if known == nil {
		return
	}
	for backend, e := range known.crashes {
		if !e.at.After(until) {
			delete(e.lost, fingerprint)
			delete(known.crashes, backend)
		}
	}
	switch {
	case len(known.crashes) == 0:
		delete(q.records, fingerprint)
		delete(q.decided, fingerprint)
	case len(known.crashes) < q.threshold(fingerprint):
		known.thresholdAt = time.Time{}
	}
}

// discardCrashes removes all crashes so far from the evidence against a request.
func (q *Quarantiner) discardCrashes(fingerprint string) {
	known := q.records[fingerprint]
	if known == nil {
		return
	}
	for _, e := range known.crashes {
		delete(e.lost, fingerprint)
	}
	delete(q.records, fingerprint)
}

func (q *Quarantiner) recordLoss(now time.Time, r *wire.RunReport) {
	at := now.Add(-time.Duration(r.GetAgoMs()) * time.Millisecond)
	if now.Sub(at) > retention || q.beforeTrial(at, r) {
		return
	}
	e := q.crashes[r.GetBackend()]
	if e == nil {
		e = &crash{backend: r.GetBackend(), at: at, lost: map[string]*loss{}, culprits: map[string]bool{}}
		q.crashes[e.backend] = e
		q.linkNear(e)
		q.order = append(q.order, e)
		q.trim()
	}
	if earlier := e.lost[r.GetFingerprint()]; earlier != nil {
		// Several requests with a part may be lost in one crash.
		earlier.begun = earlier.begun || r.GetBegun()
		if known := q.records[r.GetFingerprint()]; known != nil {
			known.addRequest(r.GetRequest())
		}
		return
	}
	e.lost[r.GetFingerprint()] = &loss{ran: time.Duration(r.GetRanMs()) * time.Millisecond, begun: r.GetBegun()}
	if q.held[r.GetFingerprint()] != nil {
		e.culprits[r.GetFingerprint()] = true
	}
	known := q.records[r.GetFingerprint()]
	if known == nil {
		known = &record{crashes: map[string]*crash{}}
		q.records[r.GetFingerprint()] = known
	}
	known.lastReport = r
	known.crashes[e.backend] = e
	known.addRequest(r.GetRequest())
	if known.thresholdAt.IsZero() && len(known.crashes) >= q.threshold(r.GetFingerprint()) {
		known.thresholdAt = now
	}
}

// linkNear links a crash with those at about the same time.
func (q *Quarantiner) linkNear(e *crash) {
	for _, other := range q.order {
		if e.at.Sub(other.at).Abs() <= outageWindow {
			e.near, other.near = append(e.near, other), append(other.near, e)
		}
	}
}

// addRequest adds a request that was lost with a part.
func (k *record) addRequest(request string) {
	if request != "" && len(k.requests) < requestsPerPart && !slices.Contains(k.requests, request) {
		k.requests = append(k.requests, request)
	}
}

// beforeTrial reports whether a run was sent before its request was put on trial: it is no
// evidence about the trial, however late it is reported.
func (q *Quarantiner) beforeTrial(at time.Time, r *wire.RunReport) bool {
	since, onTrial := q.trials[r.GetFingerprint()]
	return onTrial && at.Add(-time.Duration(r.GetRanMs())*time.Millisecond).Before(since)
}

// trim discards the oldest crashes when there are too many.
func (q *Quarantiner) trim() {
	for len(q.order) > maxCrashes {
		q.dropped++
		q.discard(q.order[0])
		q.order = q.order[1:]
	}
}

// Empty reports whether no crash is known.
func (q *Quarantiner) Empty() bool { return len(q.crashes) == 0 }

// Dropped returns how many crashes were discarded early to stay within maxCrashes.
func (q *Quarantiner) Dropped() int { return q.dropped }

func (q *Quarantiner) discard(e *crash) {
	delete(q.crashes, e.backend)
	for fingerprint := range e.lost {
		known := q.records[fingerprint]
		delete(known.crashes, e.backend)
		if len(known.crashes) == 0 {
			delete(q.records, fingerprint)
		}
	}
}

// Tick discards expired crashes and decisions.
func (q *Quarantiner) Tick(now time.Time) {
	for len(q.order) > 0 && now.Sub(q.order[0].at) > retention {
		q.discard(q.order[0])
		q.order = q.order[1:]
	}
	for fingerprint, at := range q.decided {
		if now.Sub(at) > decisionRetryInterval {
			delete(q.decided, fingerprint)
		}
	}
}

// SetHeld sets the quarantined requests from the replicated state.
func (q *Quarantiner) SetHeld(now time.Time, list []*wire.HeldRequest) {
	before := q.held
	defer q.discardReleased(before)
	q.held = make(map[string]*wire.HeldRequest, len(list))
	for _, h := range list {
		fingerprint := h.GetFingerprint()
		q.held[fingerprint] = h
		switch {
		case !h.GetOnTrial():
			delete(q.trials, fingerprint)
		case !before[fingerprint].GetOnTrial():
			q.trials[fingerprint] = now
			q.discardCrashes(fingerprint)
			delete(q.decided, fingerprint)
		}
		for _, backend := range h.GetBackends() {
			if e := q.crashes[backend]; e != nil {
				e.culprits[fingerprint] = true
			}
		}
	}
}

// discardReleased removes the evidence against requests that are no longer quarantined.
func (q *Quarantiner) discardReleased(before map[string]*wire.HeldRequest) {
	for fingerprint := range before {
		if q.held[fingerprint] == nil {
			q.discardCrashes(fingerprint)
			delete(q.trials, fingerprint)
			delete(q.cleared, fingerprint)
		}
	}
}

// TakeCleared returns and clears the quarantined requests that are not the cause: a run was completed, or a
// part accounts for the crashes.
func (q *Quarantiner) TakeCleared() []string {
	list := slices.Sorted(maps.Keys(q.cleared))
	clear(q.cleared)
	return list
}

// Crashes returns the number of crashes that are evidence against a request.
func (q *Quarantiner) Crashes(fingerprint string) int {
	known := q.records[fingerprint]
	if known == nil {
		return 0
	}
	return len(q.evidenceAgainst(fingerprint, known).crashes)
}

// Suspects returns the suspected requests and parts, sorted by fingerprint. Of the parts these are the
// ones with the most crashes.
func (q *Quarantiner) Suspects() []string {
	var requests, parts []string
	crashes := map[string]int{}
	for fingerprint, known := range q.records {
		if len(known.crashes) < SuspectThreshold {
			continue
		}
		if n := q.Crashes(fingerprint); n < SuspectThreshold {
			continue
		} else if IsPart(fingerprint) {
			crashes[fingerprint] = n
			parts = append(parts, fingerprint)
		} else {
			requests = append(requests, fingerprint)
		}
	}
	slices.SortFunc(parts, func(a, b string) int { return cmp.Or(cmp.Compare(crashes[b], crashes[a]), cmp.Compare(a, b)) })
	list := slices.Concat(requests, parts[:min(len(parts), maxPartSuspects)])
	slices.Sort(list)
	return list
}
