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

// grantTimeout is how long a prompt waits at one engine before another that holds its adapter
// is chosen: about the reading of two prompts.
const grantTimeout = 150 * time.Millisecond

// grantedPrompt is a prompt that was granted, until its engine has read it.
type grantedPrompt struct {
	backend string
	key     string
}

// canBePaced reports whether a request's prompt delays the streams at its engine, and its route
// states how long these may pause.
func (j *job) canBePaced() bool {
	r := j.route
	isStream := r.GetRepetition() == wire.Repetition_REPETITION_STREAM
	return isStream && r.GetPrompts() && r.GetPauseObjectiveMs() > 0 && j.meta.PromptTokens > 0
}

// admitPrompt waits until a prompt may be sent to the chosen engine. It reports false when it
// may not: then another engine may be better by now, or the deadline has passed.
func (f *Forwarder) admitPrompt(ctx context.Context, j *job, backend *wire.Announcement) bool {
	if f.Regulator == nil || !j.canBePaced() || f.Disabled.Has(ablator.Pacing) {
		return true
	}
	began := f.Clock.Now()
	f.mu.Lock()
	activation := f.pacingActivation(j.service)
	paced, pausesObserved := activation.Active(began), activation.PausesObserved(began)
	eventInterval := f.balancer.EventInterval(backend.GetId())
	f.mu.Unlock()
	if !paced {
		return true
	}
	answer := f.Regulator.Acquire(ctx, &regulator.Prompt{Backend: backend.GetId(), PausesObserved: pausesObserved, GrantRequest: pacer.GrantRequest{
		Tokens: j.meta.PromptTokens, Urgency: j.route.GetPriority(), ReceivedAt: j.req.ReceivedAt,
		OnTimeUntil: j.onTimeUntil(),
		MaxPause:    milliseconds(j.route.GetPauseObjectiveMs()), EventInterval: eventInterval,
	}}, min(grantTimeout, max(0, j.sendBy.Sub(began))))
	now := f.Clock.Now()
	j.waited += now.Sub(began)
	f.mu.Lock()
	f.balancer.SetBacklog(now, backend.GetId(), answer.Backlog)
	f.mu.Unlock()
	if !answer.Granted {
		return false
	}
	j.prompt = &grantedPrompt{backend: backend.GetId(), key: answer.Key}
	return true
}

// pacingActivation returns the pacing state of a service. The caller holds the lock.
func (f *Forwarder) pacingActivation(service string) *pacer.Activation {
	n := f.pacingActivations[service]
	if n == nil {
		n = &pacer.Activation{}
		f.pacingActivations[service] = n
	}
	return n
}

// ObservePeerPauses records that another gateway paces prompts for an engine, since it has
// observed long pauses itself.
func (f *Forwarder) ObservePeerPauses(backend, gateway string) {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if service := f.balancer.ServiceOf(backend); service != "" {
		f.pacingActivation(service).ObservePeer(now, gateway)
	}
}

// observeStream records a stream that has just paused for too long, or has ended without such a
// pause. A pause counts when it occurs: after a total outage it would take seconds until
// streams end.
func (f *Forwarder) observeStream(j *job, paused bool) {
	if !j.canBePaced() || j.progress.counted || j.progress.resumed || j.progress.firstAt.IsZero() {
		return
	}
	j.progress.counted = true
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	activation := f.pacingActivation(j.service)
	before := activation.PausesObserved(now)
	activation.ObserveStream(now, paused)
	if !before && activation.PausesObserved(now) {
		f.Log.Info("pacing prompts, since streams pause for too long", "Service", j.service)
	}
}

// observeEvents records that events of a stream have arrived.
func (f *Forwarder) observeEvents(j *job) {
	gap := j.progress.observeEvents(f.Clock.Now())
	first := j.prompt != nil
	f.endPrompt(j, true)
	if gap > milliseconds(j.route.GetPauseObjectiveMs()) {
		f.observeStream(j, true)
	}
	if gap > 0 && !first && j.canBePaced() {
		f.mu.Lock()
		f.balancer.ObserveEventGap(j.lastBackend.GetId(), gap)
		f.balancer.ObserveEventPace(f.Clock.Now(), j.lastBackend.GetId(), gap)
		f.mu.Unlock()
	}
}

// abandonPrompt records that an engine no longer reads a prompt, if it still had to.
func (f *Forwarder) abandonPrompt(j *job) { f.endPrompt(j, false) }

func (f *Forwarder) endPrompt(j *job, read bool) {
	if j.prompt == nil {
		return
	}
	f.Regulator.Release(j.prompt.backend, j.prompt.key, read)
	j.prompt = nil
}

// chooseAgain drops a choice that was not sent, and reports whether there is time for another.
func (f *Forwarder) chooseAgain(ctx context.Context, j *job, backend *wire.Announcement) bool {
	f.recordUnsent(j, backend.GetId())
	if ctx.Err() != nil {
		f.handleExpiry(ctx, j)
		return false
	}
	if !f.Clock.Now().Before(j.sendBy) {
		f.refuseOrFail(j, balancer.ReasonTimeout, retryAfterRejection)
		return false
	}
	return true
}
