package forwarder

import (
	"context"
	"time"

	"bronzelead.example/gateway/regulator"
	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/balancer"
	"bronzelead.example/pkg/pacer"
	"bronzelead.example/pkg/wire"
)

// askFor is how long a prompt waits at one engine before another that holds its adapter is
// looked for: about the reading of two prompts.
const askFor = 150 * time.Millisecond

// prompt is one that was granted, until its engine has read it.
type prompt struct {
	backend string
	key     string
}

// mayBePaced reports whether a request's prompt delays the streams at its engine, and its
// route says how long these may pause.
func (j *job) mayBePaced() bool {
	r := j.route
	isStream := r.GetRepetition() == wire.Repetition_REPETITION_STREAM
	return isStream && r.GetPrompts() && r.GetPauseObjectiveMs() > 0 && j.about.PromptTokens > 0
}

// admitPrompt waits until a prompt may be sent to the engine that was chosen. It reports
// false when it may not: then another engine may be better by now, or the time is over.
func (f *Forwarder) admitPrompt(ctx context.Context, j *job, backend *wire.Announcement) bool {
	if f.Regulator == nil || !j.mayBePaced() || f.Off.Has(ablator.Pacing) {
		return true
	}
	began := f.Clock.Now()
	f.mu.Lock()
	need := f.need(j.service)
	paced, seen := need.Active(began), need.PausesObserved(began)
	eventTime := f.balancer.EventInterval(backend.GetId())
	f.mu.Unlock()
	if !paced {
		return true
	}
	answer := f.Regulator.Acquire(ctx, &regulator.Prompt{Backend: backend.GetId(), PausesObserved: seen, GrantRequest: pacer.GrantRequest{
		Tokens: j.about.PromptTokens, Urgency: j.route.GetPriority(), ReceivedAt: j.req.ReceivedAt,
		OnTimeUntil: j.inTimeUntil(),
		MaxPause:    milliseconds(j.route.GetPauseObjectiveMs()), EventInterval: eventTime,
	}}, min(askFor, max(0, j.sendBy.Sub(began))))
	now := f.Clock.Now()
	j.waited += now.Sub(began)
	f.mu.Lock()
	f.balancer.SetBacklog(now, backend.GetId(), answer.Backlog)
	f.mu.Unlock()
	if !answer.Granted {
		return false
	}
	j.prompt = &prompt{backend: backend.GetId(), key: answer.Key}
	return true
}

// need tells whether prompts for a service are paced. The caller holds the lock.
func (f *Forwarder) need(service string) *pacer.Activation {
	n := f.needs[service]
	if n == nil {
		n = &pacer.Activation{}
		f.needs[service] = n
	}
	return n
}

// ObservePeerPauses notes that another gateway paces prompts for an engine, since it has seen long
// pauses itself.
func (f *Forwarder) ObservePeerPauses(backend, gateway string) {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if service := f.balancer.ServiceOf(backend); service != "" {
		f.need(service).ObservePeer(now, gateway)
	}
}

// noteStream takes a stream that has just paused for too long, or has ended without. A pause
// counts as it comes: after the loss of everything it would take seconds until streams end.
func (f *Forwarder) noteStream(j *job, paused bool) {
	if !j.mayBePaced() || j.course.noted || j.course.resumed || j.course.firstAt.IsZero() {
		return
	}
	j.course.noted = true
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	need := f.need(j.service)
	before := need.PausesObserved(now)
	need.ObserveStream(now, paused)
	if !before && need.PausesObserved(now) {
		f.Log.Info("prompts are paced, since streams pause for too long", "Service", j.service)
	}
}

// noteEvents notes that events of a stream have come.
func (f *Forwarder) noteEvents(j *job) {
	gap := j.course.note(f.Clock.Now())
	first := j.prompt != nil
	f.endPrompt(j, true)
	if gap > milliseconds(j.route.GetPauseObjectiveMs()) {
		f.noteStream(j, true)
	}
	if gap > 0 && !first && j.mayBePaced() {
		f.mu.Lock()
		f.balancer.ObserveEventGap(j.last.GetId(), gap)
		f.mu.Unlock()
	}
}

// promptDropped notes that an engine does not read a prompt any more, if it still had to.
func (f *Forwarder) promptDropped(j *job) { f.endPrompt(j, false) }

func (f *Forwarder) endPrompt(j *job, read bool) {
	if j.prompt == nil {
		return
	}
	f.Regulator.Release(j.prompt.backend, j.prompt.key, read)
	j.prompt = nil
}

// chooseAgain gives up a choice that was not sent, and reports whether there is time for
// another.
func (f *Forwarder) chooseAgain(ctx context.Context, j *job, backend *wire.Announcement) bool {
	f.done(j, backend.GetId(), balancer.Abandoned)
	if ctx.Err() != nil {
		f.expired(ctx, j)
		return false
	}
	if !f.Clock.Now().Before(j.sendBy) {
		f.giveUp(j, balancer.ReasonTimeout, retryAfterRejection)
		return false
	}
	return true
}
