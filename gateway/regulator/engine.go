package regulator

import (
	"time"

	"bronzelead.example/pkg/pacer"
	"bronzelead.example/pkg/slotgranter"
	"bronzelead.example/pkg/wire"
)

// engine is an engine or backend server that this gateway owns, or did.
type engine struct {
	// scheduleGrant schedules a check for when a prompt may be granted without any event.
	scheduleGrant func(at time.Time)
	pacer         pacer.Pacer
	// granter grants the slots of a plain service's backend server.
	granter slotgranter.Granter
	// waiting are the channels on which waiting grant requests receive their decision.
	waiting       map[string]chan bool
	lastRequestAt time.Time
	// nextCheck is the time of the next scheduled check.
	nextCheck time.Time
	// loggedAt is when the statistics of its slots were last logged.
	loggedAt time.Time
}

// add queues a request of a customer with a weight, and reports whether it did.
func (e *engine) add(now time.Time, p *Prompt, weight float64) bool {
	if p.Slots > 0 {
		a := p.slotRequest()
		a.Weight = weight
		return e.granter.Add(now, a)
	}
	e.pacer.Add(p.GrantRequest)
	return true
}

func (e *engine) backlog(p *Prompt) time.Duration {
	if p.Slots > 0 {
		return e.granter.Backlog()
	}
	return e.pacer.Backlog()
}

// complete handles completed requests, before the requests that compete for the lock.
func (r *Regulator) complete(list []*wire.PromptEnd) {
	r.completionsMu.Lock()
	r.completions = append(r.completions, list...)
	r.completionsMu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.handleCompletions(r.Clock.Now())
}

// handleCompletions handles all reported completions. The caller holds the lock.
func (r *Regulator) handleCompletions(now time.Time) {
	r.completionsMu.Lock()
	list := r.completions
	r.completions = nil
	r.completionsMu.Unlock()
	for _, p := range list {
		e := r.engines[p.GetBackend()]
		if e == nil {
			continue
		}
		if p.GetRejected() {
			e.granter.Reject(now, p.GetKey())
		} else {
			e.granter.Release(now, p.GetKey(), p.GetRead())
		}
		if p.GetRead() {
			e.pacer.MarkRead(now, p.GetKey())
		} else {
			e.pacer.Drop(p.GetKey())
		}
		e.grant(now)
	}
}

// engine returns the state of an engine. The caller holds the lock.
func (r *Regulator) engine(backend string) *engine {
	e := r.engines[backend]
	if e == nil {
		e = &engine{waiting: map[string]chan bool{}}
		e.scheduleGrant = func(at time.Time) { r.scheduleGrant(e, at) }
		r.engines[backend] = e
	}
	return e
}

// scheduleGrant checks an engine at a time. The caller holds the lock.
func (r *Regulator) scheduleGrant(e *engine, at time.Time) {
	if e.nextCheck.Equal(at) {
		return
	}
	e.nextCheck = at
	r.Clock.AfterFunc(at.Sub(r.Clock.Now()), func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		e.grant(r.Clock.Now())
	})
}

func (e *engine) grant(now time.Time) {
	defer func() {
		if at := e.pacer.NextCheck(); !at.IsZero() {
			e.scheduleGrant(at)
		}
	}()
	for _, a := range e.pacer.Next(now) {
		e.notify(a.Key, true)
	}
	for _, a := range e.granter.Evict(now) {
		e.notify(a.Key, false)
	}
	for _, a := range e.granter.Next(now) {
		e.notify(a.Key, true)
	}
}

// notify sends a request its decision.
func (e *engine) notify(key string, granted bool) {
	// Duplicate calls of a peer share one key and one waiter.
	if decided, ok := e.waiting[key]; ok {
		decided <- granted
		delete(e.waiting, key)
	}
}
