package throttler

import (
	"math"
	"time"

	"bronzelead.example/pkg/wire"
)

// Source is how this instance learned of a limit.
type Source string

// The sources, as logged.
const (
	// Answer is a response of the backend server to this gateway.
	Answer Source = "Answer"
	// Follower is a gateway that reports to this instance.
	Follower Source = "Follower"
	// News is a state update from another instance, or from the owner of the limit.
	News Source = "News"
)

// Observation is a limit as a backend server announced it.
type Observation struct {
	Backend string
	Limit   Limit
	// At is when the backend server announced it.
	At     time.Time
	Source Source
}

// Registry holds the request limits that one instance knows. The zero value is empty.
type Registry struct {
	records map[string]*record
	// revision counts the changes that are reported to other instances.
	revision uint64
}

type record struct {
	limit Limit
	// at is when the backend server announced the limit last, and since when it did first.
	at, since time.Time
	source    Source
	// endedRate is the rate of the limit that has ended.
	endedRate RequestRate
}

// Change is a change of a limit.
type Change struct {
	Observation
	Before Limit
}

// Empty reports whether there is no limit, nor one that has ended recently.
func (r *Registry) Empty() bool { return len(r.records) == 0 }

// InForce returns the number of limits in force.
func (r *Registry) InForce() int {
	n := 0
	for _, known := range r.records {
		if known.limit.Named {
			n++
		}
	}
	return n
}

// Revision returns the revision of the list of limits.
func (r *Registry) Revision() uint64 { return r.revision }

// Observe records an observation, and reports whether it changes the limit. An observation
// older than the known one changes nothing, whenever it arrives.
func (r *Registry) Observe(o Observation) (Change, bool) {
	known := r.records[o.Backend]
	if known == nil {
		if !o.Limit.Named {
			return Change{}, false
		}
		if r.records == nil {
			r.records = map[string]*record{}
		}
		r.records[o.Backend] = &record{limit: o.Limit, at: o.At, since: o.At, source: o.Source}
		r.revision++
		return Change{Observation: o}, true
	}
	if !o.At.After(known.at) {
		return Change{}, false
	}
	before := known.limit
	same := before.Named == o.Limit.Named && isNear(before.Rate, o.Limit.Rate)
	if same && o.Source == News {
		// The delay of an update must not make an observation appear newer than it is.
		return Change{}, false
	}
	known.limit, known.at, known.source = o.Limit, o.At, o.Source
	if same {
		return Change{}, false
	}
	known.since = o.At
	if before.Named && !o.Limit.Named {
		known.endedRate = before.Rate
	}
	r.revision++
	return Change{Observation: o, Before: before}, true
}

// isNear reports whether two rates are so close that the change need not be reported.
func isNear(a, b RequestRate) bool {
	return math.Abs(float64(a-b)) <= rateTolerance*math.Max(float64(a), float64(b))
}

// Rate returns the rate at which all gateways together may send requests to a backend server,
// and false if it has no limit.
func (r *Registry) Rate(now time.Time, id string) (RequestRate, bool) {
	known := r.records[id]
	switch {
	case known == nil:
		return 0, false
	case known.limit.Named:
		return max(known.limit.Rate, probeRate), true
	}
	passed := now.Sub(known.since)
	if passed >= rampDuration {
		return 0, false
	}
	doublings := max(0, passed.Seconds()) / rampDoubling.Seconds()
	return max(known.endedRate, minRampRate) * RequestRate(math.Exp2(doublings)), true
}

// Status is the state of a limit, for logs.
type Status struct {
	Limit  Limit
	Since  time.Time
	Source Source
}

// Status returns the state of a backend server's limit.
func (r *Registry) Status(id string) (Status, bool) {
	known := r.records[id]
	if known == nil {
		return Status{}, false
	}
	return Status{Limit: known.limit, Since: known.since, Source: known.source}, true
}

// Forget drops a backend server that was removed, or whose process has restarted.
func (r *Registry) Forget(id string) {
	if r.records[id] != nil {
		delete(r.records, id)
		r.revision++
	}
}

// Prune drops limits that ended long ago, and those of unknown backend servers; isKnown may be
// nil.
func (r *Registry) Prune(now time.Time, isKnown func(id string) bool) {
	for id, known := range r.records {
		if !known.limit.Named && now.Sub(known.at) > endedLimitTTL {
			delete(r.records, id)
		}
		if isKnown != nil && !isKnown(id) {
			r.Forget(id)
		}
	}
}

// Limits returns all limits, for instances that receive state updates from this one.
func (r *Registry) Limits(now time.Time) []*wire.RequestLimit {
	return r.list(now, func(*record) bool { return true })
}

// Report returns the limits that this instance observed or its followers reported. Limits
// received in updates are not sent back to their source.
func (r *Registry) Report(now time.Time) []*wire.RequestLimit {
	return r.list(now, func(r *record) bool { return r.source != News })
}

// Get returns one limit, nil if it is not known.
func (r *Registry) Get(now time.Time, id string) *wire.RequestLimit {
	known := r.records[id]
	if known == nil {
		return nil
	}
	return known.encode(now, id)
}

func (r *Registry) list(now time.Time, include func(*record) bool) []*wire.RequestLimit {
	var list []*wire.RequestLimit
	for id, known := range r.records {
		if include(known) {
			list = append(list, known.encode(now, id))
		}
	}
	return list
}

func (r *record) encode(now time.Time, id string) *wire.RequestLimit {
	return &wire.RequestLimit{
		Backend: id, RequestsPerSecond: float64(r.limit.Rate), Lifted: !r.limit.Named,
		AgeMs: uint32(min(max(0, now.Sub(r.at)), time.Hour).Milliseconds()),
	}
}

// Decode returns the observation of another instance. It reports false for values that no
// backend server can have announced.
func Decode(now time.Time, l *wire.RequestLimit, source Source) (Observation, bool) {
	rate := l.GetRequestsPerSecond()
	if l.GetBackend() == "" || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return Observation{}, false
	}
	o := Observation{
		Backend: l.GetBackend(), At: now.Add(-time.Duration(l.GetAgeMs()) * time.Millisecond), Source: source,
	}
	if !l.GetLifted() {
		o.Limit = LimitOf(RequestRate(rate))
	}
	return o, true
}
