package forwarder

import (
	"context"
	"time"

	"bronzelead.example/gateway/regulator"
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

// isPaced reports whether a request's prompt delays the streams at its engine.
func (j *job) isPaced() bool {
	return j.route.GetPrompts() && j.route.GetRepetition() == wire.Repetition_REPETITION_STREAM && j.about.PromptTokens > 0
}

// admitPrompt waits until a prompt may be sent to the engine that was chosen. It reports
// false when it may not: then another engine may be better by now, or the time is over.
func (f *Forwarder) admitPrompt(ctx context.Context, j *job, backend *wire.Announcement) bool {
	if f.Regulator == nil || !j.isPaced() {
		return true
	}
	began := f.Clock.Now()
	f.mu.Lock()
	eventTime := f.balancer.EventTime(backend.GetId())
	f.mu.Unlock()
	answer := f.Regulator.Ask(ctx, &regulator.Prompt{Backend: backend.GetId(), Ask: pacer.Ask{
		Tokens: j.about.PromptTokens, Urgency: j.route.GetPriority(), ReceivedAt: j.req.ReceivedAt,
		InTimeUntil: j.req.ReceivedAt.Add(milliseconds(j.route.GetObjectiveMs())),
		Pause:       milliseconds(j.route.GetPauseObjectiveMs()), EventTime: eventTime,
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

// noteEvents notes that events of a stream have come.
func (f *Forwarder) noteEvents(j *job) {
	gap := j.course.note(f.Clock.Now())
	first := j.prompt != nil
	f.endPrompt(j, true)
	if gap > 0 && !first && j.isPaced() {
		f.mu.Lock()
		f.balancer.NoteGap(j.last.GetId(), gap)
		f.mu.Unlock()
	}
}

// promptDropped notes that an engine does not read a prompt any more, if it still had to.
func (f *Forwarder) promptDropped(j *job) { f.endPrompt(j, false) }

func (f *Forwarder) endPrompt(j *job, read bool) {
	if j.prompt == nil {
		return
	}
	f.Regulator.End(j.prompt.backend, j.prompt.key, read)
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
		f.giveUp(j, balancer.ReasonTimeout, comeBackAfterRejection)
		return false
	}
	return true
}
