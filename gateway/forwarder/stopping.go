package forwarder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"bronzelead.example/gateway/terminator"
)

// stopping is the state of a planned stop.
type stopping struct {
	// closed is set while new requests are refused.
	closed atomic.Bool

	mu sync.Mutex
	// running are the contexts of the requests that are being served.
	running map[*requestContext]struct{}
	// endsAt is when those that still run are ended; zero before a stop.
	endsAt time.Time
	ended  bool
}

// requestContext is the context of a request.
type requestContext struct {
	*terminator.Context
	// until is when the request ends at the latest, and once is set if it may not be repeated. sent is set while an attempt
	// of it may have run.
	until time.Time
	once  bool
	sent  bool
}

// isFutile reports whether a request is not to be sent any more: it may not be repeated, and may still run when the
// gateway ends. The caller holds the lock.
func (s *stopping) isFutile(c *requestContext) bool {
	return c.once && !s.endsAt.IsZero() && c.until.After(s.endsAt)
}

// newRequestContext returns the context of a request until its deadline. release frees its resources.
func (f *Forwarder) newRequestContext(parent context.Context, j *job) (ctx context.Context, release func()) {
	inner, end := terminator.WithTimeout(parent, j.deadline.Sub(f.Clock.Now()))
	c := &requestContext{Context: inner, until: j.deadline, once: !f.repeatable(j)}
	j.context = c
	f.stop.mu.Lock()
	defer f.stop.mu.Unlock()
	if f.stop.running == nil {
		f.stop.running = map[*requestContext]struct{}{}
	}
	f.stop.running[c] = struct{}{}
	if f.stop.ended || f.stop.isFutile(c) {
		c.Terminate()
	}
	return c, func() {
		f.stop.mu.Lock()
		delete(f.stop.running, c)
		f.stop.mu.Unlock()
		end()
	}
}

// permitDuringStop reports whether a request that has not run may be sent. It ends one that may not.
func (f *Forwarder) permitDuringStop(j *job) bool {
	if j.context == nil {
		return true
	}
	f.stop.mu.Lock()
	defer f.stop.mu.Unlock()
	if j.runs == 0 && f.stop.isFutile(j.context) {
		j.context.Terminate()
		return false
	}
	j.context.sent = true
	return true
}

// recordNotRun records that the latest attempt of a request has certainly not run. During a stop it ends one that may not
// be sent again.
func (f *Forwarder) recordNotRun(j *job) {
	if j.context == nil || j.runs > 0 {
		return
	}
	f.stop.mu.Lock()
	defer f.stop.mu.Unlock()
	j.context.sent = false
	if f.stop.isFutile(j.context) {
		j.context.Terminate()
	}
}

// endsInTime reports whether a new request may be taken during a stop: it may be repeated, or ends before the gateway
// does, by its route and by its caller.
func (f *Forwarder) endsInTime(j *job) bool {
	f.stop.mu.Lock()
	defer f.stop.mu.Unlock()
	return !f.stop.isFutile(&requestContext{until: j.deadline, once: !f.repeatable(j)})
}

// BeginStop announces that End will be called at a time. Requests that may not be repeated and may still run then are
// refused from now on, also those that wait for a backend server.
func (f *Forwarder) BeginStop(endsAt time.Time) {
	f.stop.mu.Lock()
	defer f.stop.mu.Unlock()
	f.stop.endsAt = endsAt
	for c := range f.stop.running {
		if !c.sent && f.stop.isFutile(c) {
			c.Terminate()
		}
	}
}

// Close refuses new requests; those already accepted are completed.
func (f *Forwarder) Close() { f.stop.closed.Store(true) }

// End refuses new requests, and ends those that are still being served: one that may have run fails, one that has not is
// refused, and an answer that has begun is aborted.
func (f *Forwarder) End() {
	f.Close()
	f.stop.mu.Lock()
	defer f.stop.mu.Unlock()
	f.stop.ended = true
	for c := range f.stop.running {
		c.Terminate()
	}
}
