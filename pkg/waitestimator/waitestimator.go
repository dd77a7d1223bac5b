// Package waitestimator keeps what a gateway knows of the waits at the backend servers of plain
// services whose slots are granted by other gateways: the refusals that it received itself, and
// the waits and service times that owners disseminate. It has no side effects.
//
// It handles a load of several times the capacity. Without it each request calls two owners to be
// refused, and the calls starve the owners, the gateways and the requests that could be on time.
// With it a gateway refuses a request itself if all backend servers are known to be too busy.
package waitestimator

import "time"

const (
	// maxAge is how long a report of an owner is used. Waits change within a few service times.
	maxAge = 300 * time.Millisecond
	// maxRefusedFor bounds how long a refusal is used, whatever the owner states.
	maxRefusedFor = 300 * time.Millisecond
	// leftTolerance is the share by which a request may have more time left than the refused one:
	// first attempts differ by the time that they spent in their gateways.
	leftTolerance = 0.1
	// onTimeMargin times the service time must be left for a request to count as able to be on
	// time, as at owners.
	onTimeMargin = 1.3
	// probeInterval is the time between two requests that ask an owner although all backend
	// servers are known to be too busy.
	probeInterval = 250 * time.Millisecond
	// sustained is the time from which a refusal shows that an overload persists: other owners
	// would refuse the request too.
	sustained = 100 * time.Millisecond
	// pruneInterval is the time between two removals of expired knowledge.
	pruneInterval = time.Second
)

// Request is a request that is about to be sent.
type Request struct {
	// Customer is who it is served for, or "".
	Customer string
	// Urgency is its priority; 0 goes first.
	Urgency uint32
	// Left is the time within which its answer would be on time; negative if it is late.
	Left time.Duration
	// Returned is set for a retry of its caller. It goes before requests that arrived later, so
	// that a refusal of one of these does not apply to it while it can be on time.
	Returned bool
}

// Refusal is an owner's refusal of a request.
type Refusal struct {
	// Owner is the gateway that refused it.
	Owner string
	// Urgency and Left are those of the refused request.
	Urgency uint32
	Left    time.Duration
	// For is the time within which the owner refuses requests that are no more urgent and have no
	// more time left.
	For time.Duration
}

// Sustained reports whether the overload persists, so that asking another owner is of no use.
func (r Refusal) Sustained() bool { return r.For >= sustained }

// Report is an owner's wait and service time of a backend server.
type Report struct {
	Wait, ServiceTime time.Duration
	// Age is the time since the owner determined them.
	Age time.Duration
}

// knowledge is what is known of one backend server.
type knowledge struct {
	refusal      Refusal
	refusedUntil time.Time
	report       Report
	reportedAt   time.Time
}

// Estimator holds the knowledge of one gateway. The zero value knows nothing.
type Estimator struct {
	backends map[string]*knowledge
	probedAt time.Time
	prunedAt time.Time
}

// Refused records a refusal of an owner.
func (e *Estimator) Refused(now time.Time, backend string, r Refusal) {
	if r.For <= 0 {
		return
	}
	k := e.knowledge(now, backend)
	if now.Before(k.refusedUntil) && k.refusal.Left > r.Left && k.refusal.Urgency <= r.Urgency {
		// The refusal that is known covers this one.
		return
	}
	k.refusal, k.refusedUntil = r, now.Add(min(r.For, maxRefusedFor))
}

// Granted records that an owner granted a slot: what was known of refusals is out of date.
func (e *Estimator) Granted(backend string) {
	if k := e.backends[backend]; k != nil {
		k.refusedUntil = time.Time{}
	}
}

// Report records a report of an owner, unless a newer one is known.
func (e *Estimator) Report(now time.Time, backend string, r Report) {
	at := now.Add(-r.Age)
	if r.ServiceTime <= 0 || r.Age >= maxAge {
		return
	}
	if k := e.knowledge(now, backend); at.After(k.reportedAt) {
		k.report, k.reportedAt = r, at
	}
}

// ForgetOwner removes the refusals of a gateway that is lost or does not answer.
func (e *Estimator) ForgetOwner(owner string) {
	for _, k := range e.backends {
		if k.refusal.Owner == owner {
			k.refusedUntil = time.Time{}
		}
	}
}

// AppendBusy appends the backend servers that are known to be too busy for a request.
func (e *Estimator) AppendBusy(list []string, now time.Time, r Request) []string {
	for backend, k := range e.backends {
		if k.busy(now, r) {
			list = append(list, backend)
		}
	}
	return list
}

// TakeProbe reports whether a request shall ask an owner although all backend servers are known
// to be too busy, so that the end of an overload is seen. It is true once in a while.
func (e *Estimator) TakeProbe(now time.Time) bool {
	if now.Sub(e.probedAt) < probeInterval {
		return false
	}
	e.probedAt = now
	return true
}

func (k *knowledge) busy(now time.Time, r Request) bool {
	if k.tooLong(now, r.Left) {
		return true
	}
	if !now.Before(k.refusedUntil) || r.Urgency < k.refusal.Urgency {
		return false
	}
	if r.Returned && r.Left > 0 && (!k.reported(now) || r.Left >= k.minLeft()) {
		return false
	}
	return float64(r.Left) <= float64(k.refusal.Left)+leftTolerance*max(0, float64(k.refusal.Left))
}

// tooLong reports whether a request would be late because of the wait that the owner reported. One
// that would be late without any wait may be served outside of an overload, which only a refusal
// shows.
func (k *knowledge) tooLong(now time.Time, left time.Duration) bool {
	if !k.reported(now) || left < k.minLeft() {
		return false
	}
	// The requests ahead have been served since.
	wait := k.report.Wait - now.Sub(k.reportedAt)
	return wait > 0 && left < wait+k.minLeft()
}

// minLeft returns the time that must be left for an answer on time without any wait.
func (k *knowledge) minLeft() time.Duration {
	return time.Duration(onTimeMargin * float64(k.report.ServiceTime))
}

func (k *knowledge) reported(now time.Time) bool { return now.Sub(k.reportedAt) < maxAge }

func (e *Estimator) knowledge(now time.Time, backend string) *knowledge {
	e.prune(now)
	k := e.backends[backend]
	if k == nil {
		k = &knowledge{}
		if e.backends == nil {
			e.backends = map[string]*knowledge{}
		}
		e.backends[backend] = k
	}
	return k
}

// prune removes backend servers of which nothing is known any more.
func (e *Estimator) prune(now time.Time) {
	if now.Sub(e.prunedAt) < pruneInterval {
		return
	}
	e.prunedAt = now
	for backend, k := range e.backends {
		if !k.reported(now) && !now.Before(k.refusedUntil) {
			delete(e.backends, backend)
		}
	}
}
