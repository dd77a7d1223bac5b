// Package scheduler makes a gateway's decisions: which request is admitted, and to which
// backend server it is sent. One goroutine owns the admitter, the router and the gateway's side
// of its session; request handlers and the renewer call it through a bounded channel.
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
	callQueueSize = 16384
	tickInterval  = 20 * time.Millisecond
	// clockDriftDivisor is the divisor for the part of a lease that is not used, as clocks may
	// drift apart.
	clockDriftDivisor   = 10
	retryWithoutSession = 2 * time.Second
	retryWithoutBackend = 3 * time.Second
)

// Reason is why a request was refused.
type Reason string

// Reasons for a refusal by the scheduler.
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

// Job is a request in the scheduler.
type Job struct {
	Customer  string
	Priority  int32
	Deadline  time.Time
	Want      router.Request
	BaseModel string

	id        admitter.RequestID
	arrived   time.Time
	admitted  time.Time
	assigned  time.Time
	phase     phase
	decided   chan decision
	candidate *router.Candidate
}

// QueueWait is how long the job waited for its customer's limit.
func (j *Job) QueueWait() time.Duration { return j.admitted.Sub(j.arrived) }

// LoadStall is how long the job waited for its adapter to be usable at a backend server.
func (j *Job) LoadStall() time.Duration { return j.assigned.Sub(j.admitted) }

type phase int

const (
	queued phase = iota
	unassigned
	assigned
	finished
)

type decision struct {
	candidate *router.Candidate
	refusal   *Refusal
}

// Scheduler makes the gateway's decisions. Set the exported fields, call Init, then Run.
type Scheduler struct {
	Clock     clockwork.Clock
	Log       *slog.Logger
	Registrar *registrar.Registrar
	Router    *router.Router
	// RequestRenewal requests an early renewal; it must not block.
	RequestRenewal func()

	calls     chan func(now time.Time)
	admitter  *admitter.Admitter
	jobs      map[admitter.RequestID]*Job
	waiting   []*Job
	nextID    uint64
	session   session
	announced map[string]*wire.Backend
	liveUntil atomic.Int64
	sessionID atomic.Uint64
	origin    time.Time
	stopping  bool
}

// Init prepares the scheduler for calls before Run.
func (s *Scheduler) Init() {
	s.calls = make(chan func(time.Time), callQueueSize)
	s.admitter = &admitter.Admitter{}
	s.jobs = map[admitter.RequestID]*Job{}
	s.announced = map[string]*wire.Backend{}
	s.origin = s.Clock.Now()
}

// Run processes calls until ctx ends.
func (s *Scheduler) Run(ctx context.Context) {
	ticker := s.Clock.NewTicker(tickInterval)
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

// HasLiveSession reports whether the gateway's session allows it to send work. It may be called
// from any goroutine, directly before bytes are written.
func (s *Scheduler) HasLiveSession() bool { return s.liveAt(s.Clock.Now()) }

func (s *Scheduler) liveAt(now time.Time) bool {
	return int64(now.Sub(s.origin)) < s.liveUntil.Load()
}

// ErrNoSession is what CheckSession returns without a live session.
var ErrNoSession = errors.New("scheduler: no live session; nothing was sent")

// CheckSession returns an error unless the session is live.
func (s *Scheduler) CheckSession() error {
	if !s.HasLiveSession() {
		return ErrNoSession
	}
	return nil
}

// Acquire waits until a job may be sent to a backend server. Exactly one of the results is set.
// After a candidate was returned, Complete must be called.
func (s *Scheduler) Acquire(ctx context.Context, j *Job) (*router.Candidate, *Refusal) {
	j.decided = make(chan decision, 1)
	if !s.tryCall(func(now time.Time) { s.submit(now, j) }) {
		return nil, &Refusal{Reason: Overloaded, RetryAfter: time.Second}
	}
	return s.await(ctx, j)
}

// Reassign requests another backend server for a job that did not run at the last one. The job
// still counts against the customer's limit.
func (s *Scheduler) Reassign(ctx context.Context, j *Job, failed, missing bool) (*router.Candidate, *Refusal) {
	ok := s.tryCall(func(now time.Time) {
		s.completeAttempt(now, j, failed, missing)
		j.Want.Avoid = append(j.Want.Avoid, j.candidate.Backend.GetName())
		j.candidate = nil
		j.phase = unassigned
		s.place(now, j)
	})
	if !ok {
		s.Complete(j, failed)
		return nil, &Refusal{Reason: Overloaded, RetryAfter: time.Second}
	}
	return s.await(ctx, j)
}

func (s *Scheduler) await(ctx context.Context, j *Job) (*router.Candidate, *Refusal) {
	select {
	case v := <-j.decided:
		return v.candidate, v.refusal
	case <-ctx.Done():
	}
	s.call(func(now time.Time) { s.cancel(now, j) })
	return nil, &Refusal{Reason: CallerGone}
}

// Complete ends a job that was sent to a backend server. Failed marks that server as a last
// choice.
func (s *Scheduler) Complete(j *Job, failed bool) {
	s.call(func(now time.Time) {
		s.completeAttempt(now, j, failed, false)
		s.release(now, j)
		s.admitQueued(now)
	})
}

// tryCall queues a call unless the queue is full.
func (s *Scheduler) tryCall(f func(now time.Time)) bool {
	select {
	case s.calls <- f:
		return true
	default:
		return false
	}
}

// call queues a call that must not be lost.
func (s *Scheduler) call(f func(now time.Time)) { s.calls <- f }
