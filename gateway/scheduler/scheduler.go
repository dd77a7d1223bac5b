// Package scheduler owns a gateway's decisions: which request goes on, and to which
// backend server. One goroutine holds the admitter, the router and the gateway's
// side of its session; request handlers and the renewer call it through a bounded
// ring.
package scheduler

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"bronzelead.example/gateway/registrar"
	"bronzelead.example/pkg/admitter"
	"bronzelead.example/pkg/router"
	"bronzelead.example/pkg/wire"
)

const (
	callRing  = 16384
	tickEvery = 20 * time.Millisecond
	// driftDivisor is the part of a lease that is given up for clocks that run
	// apart.
	driftDivisor = 10
	noSessionFor = 2 * time.Second
	noBackendFor = 3 * time.Second
)

// Reason tells why a request was refused.
type Reason string

// The reasons for a refusal by the scheduler.
const (
	QueueFull  Reason = "QueueFull"
	TooLate    Reason = "DeadlineTooShort"
	NotAllowed Reason = "NotAllowed"
	NoQuorum   Reason = "NoQuorum"
	NoBackend  Reason = "NoBackend"
	Overloaded Reason = "Overloaded"
	CallerGone Reason = "CallerGone"
	Stopping   Reason = "Stopping"
)

// Refusal is the answer to a request that did not run.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Job is a request on its way through the scheduler.
type Job struct {
	Customer  string
	Priority  int32
	Deadline  time.Time
	Want      router.Request
	BaseModel string

	id       admitter.RequestID
	arrived  time.Time
	admitted time.Time
	assigned time.Time
	phase    phase
	answer   chan verdict
	current  *router.Candidate
}

// QueueWait is how long the job waited for its customer's limit.
func (j *Job) QueueWait() time.Duration { return j.admitted.Sub(j.arrived) }

// LoadStall is how long the job waited for its adapter to be usable somewhere.
func (j *Job) LoadStall() time.Duration { return j.assigned.Sub(j.admitted) }

type phase int

const (
	queued phase = iota
	unassigned
	assigned
	gone
)

type verdict struct {
	candidate *router.Candidate
	refusal   *Refusal
}

// Scheduler makes the gateway's decisions. Set the exported fields, call Init, then
// Run.
type Scheduler struct {
	Clock     clockwork.Clock
	Log       *slog.Logger
	Registrar *registrar.Registrar
	Router    *router.Router
	// RequestRenewal asks for a renewal soon; it must not block.
	RequestRenewal func()

	calls     chan func(now time.Time)
	admitter  *admitter.Admitter
	jobs      map[admitter.RequestID]*Job
	waiting   []*Job
	nextID    uint64
	session   session
	announced map[string]*wire.Backend
	until     atomic.Int64
	current   atomic.Uint64
	origin    time.Time
	stopping  bool
}

// Init prepares the scheduler for calls before Run.
func (s *Scheduler) Init() {
	s.calls = make(chan func(time.Time), callRing)
	s.admitter = &admitter.Admitter{}
	s.jobs = map[admitter.RequestID]*Job{}
	s.announced = map[string]*wire.Backend{}
	s.origin = s.Clock.Now()
}

// Run works until ctx ends.
func (s *Scheduler) Run(ctx context.Context) {
	ticker := s.Clock.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-s.calls:
			call(s.Clock.Now())
		case <-ticker.Chan():
			s.tick(s.Clock.Now())
		}
	}
}

// HasLiveSession reports whether the gateway's session lets it send work. It may be called
// from any goroutine, directly before bytes are written.
func (s *Scheduler) HasLiveSession() bool { return s.liveAt(s.Clock.Now()) }

func (s *Scheduler) liveAt(now time.Time) bool {
	return int64(now.Sub(s.origin)) < s.until.Load()
}

// ErrNoSession is what Guard returns without a live session.
var ErrNoSession = errors.New("scheduler: no live session; nothing was sent")

// CheckSession returns an error unless the session is live.
func (s *Scheduler) CheckSession() error {
	if !s.HasLiveSession() {
		return ErrNoSession
	}
	return nil
}

// Acquire waits until a job may go to a backend server. Exactly one of the results is
// set. After a candidate was returned, Leave must be called.
func (s *Scheduler) Acquire(ctx context.Context, j *Job) (*router.Candidate, *Refusal) {
	j.answer = make(chan verdict, 1)
	if !s.try(func(now time.Time) { s.arrive(now, j) }) {
		return nil, &Refusal{Reason: Overloaded, RetryAfter: time.Second}
	}
	return s.await(ctx, j)
}

// Reassign asks for another backend server for a job whose request did not run at the
// last one. The job keeps its place in the customer's limit.
func (s *Scheduler) Reassign(ctx context.Context, j *Job, failed, missing bool) (*router.Candidate, *Refusal) {
	ok := s.try(func(now time.Time) {
		s.end(now, j, failed, missing)
		j.Want.Avoid = append(j.Want.Avoid, j.current.Backend.GetName())
		j.current = nil
		j.phase = unassigned
		s.place(now, j)
	})
	if !ok {
		return nil, &Refusal{Reason: Overloaded, RetryAfter: time.Second}
	}
	return s.await(ctx, j)
}

func (s *Scheduler) await(ctx context.Context, j *Job) (*router.Candidate, *Refusal) {
	select {
	case v := <-j.answer:
		return v.candidate, v.refusal
	case <-ctx.Done():
	}
	s.call(func(now time.Time) { s.abandon(now, j) })
	return nil, &Refusal{Reason: CallerGone}
}

// Complete ends a job that went to a backend server. Failed marks that server as one
// to try last.
func (s *Scheduler) Complete(j *Job, failed bool) {
	s.call(func(now time.Time) {
		s.end(now, j, failed, false)
		s.leave(now, j)
		s.advance(now)
	})
}

// try passes a call on unless too many wait.
func (s *Scheduler) try(f func(now time.Time)) bool {
	select {
	case s.calls <- f:
		return true
	default:
		return false
	}
}

// call passes on a call that must not be lost.
func (s *Scheduler) call(f func(now time.Time)) { s.calls <- f }
