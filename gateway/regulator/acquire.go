package regulator

import (
	"context"
	"strconv"
	"time"

	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/wire"
)

// lastRun is how long a request took at a backend server, and when it completed.
type lastRun struct {
	took time.Duration
	at   time.Time
}

// Acquire waits until the prompt may be sent, or for a time at most.
func (r *Regulator) Acquire(ctx context.Context, p *Prompt, wait time.Duration) Result {
	// Callers choose request ids, which need not be unique.
	p.Key = r.Self + "/" + strconv.FormatUint(r.requestCount.Add(1), 10)
	p.Gateway = r.Self
	if p.Slots > 0 {
		p.LastRun = r.takeLastRun(p.Backend)
	}
	for range maxAttempts {
		address := r.owner(p.Backend)
		if address == r.Self || address == "" || ctx.Err() != nil {
			break
		}
		if result, ok := r.acquireFromPeer(ctx, address, p, wait); ok {
			r.learn(p, result)
			return result
		}
	}
	if ctx.Err() != nil {
		// Its caller has left. A grant of this gateway, which may not be the owner, would say nothing.
		return Result{}
	}
	result := r.acquireLocally(ctx, p, wait)
	r.learn(p, result)
	return result
}

// RecordRun records how long a request of a plain service took at its backend server, from its
// sending to the answer. Owners tell by it how much of the time until the completion is reported
// is due to messages.
func (r *Regulator) RecordRun(backend string, took time.Duration) {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastRuns[backend] = lastRun{took: took, at: now}
}

func (r *Regulator) takeLastRun(backend string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	took := r.lastRuns[backend].took
	delete(r.lastRuns, backend)
	return took
}

// acquireLocally is Acquire at the owner.
func (r *Regulator) acquireLocally(ctx context.Context, p *Prompt, wait time.Duration) Result {
	decided := make(chan bool, 1)
	r.mu.Lock()
	e := r.engine(p.Backend)
	e.lastRequestAt = r.Clock.Now()
	r.handleCompletions(e.lastRequestAt)
	if !e.add(e.lastRequestAt, p, r.weights[p.Customer]) {
		defer r.mu.Unlock()
		return r.refused(e, p)
	}
	e.waiting[p.Key] = decided
	e.grant(e.lastRequestAt)
	backlog := e.backlog(p)
	r.mu.Unlock()
	select {
	case granted := <-decided:
		return r.decided(e, p, granted, backlog)
	default:
	}
	timer := r.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case granted := <-decided:
		return r.decided(e, p, granted, backlog)
	case <-ctx.Done():
	case <-timer.Chan():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !e.pacer.Withdraw(p.Key) && !e.granter.Withdraw(p.Key) {
		// It was decided meanwhile, or a duplicate call has replaced it.
		select {
		case granted := <-decided:
			return Result{Granted: granted, Key: p.Key, Backlog: backlog}
		default:
			return Result{Granted: true, Key: p.Key, Backlog: backlog}
		}
	}
	delete(e.waiting, p.Key)
	return Result{Backlog: e.backlog(p)}
}

// decided returns the result of a request that was granted or evicted.
func (r *Regulator) decided(e *engine, p *Prompt, granted bool, backlog time.Duration) Result {
	if granted || p.Slots == 0 {
		return Result{Granted: granted, Key: p.Key, Backlog: backlog}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.overloaded(e, p)
}

// refused returns the result of a request that was refused at once. The caller holds the lock.
func (r *Regulator) refused(e *engine, p *Prompt) Result {
	if p.HasAlternative && e.granter.TooSlow(r.Clock.Now(), p.slotRequest()) {
		return Result{Backlog: e.backlog(p), ServiceTime: e.granter.ServiceTime(), Slow: true}
	}
	return r.overloaded(e, p)
}

// overloaded returns the result of a request that was refused or evicted because of the others. The
// caller holds the lock.
func (r *Regulator) overloaded(e *engine, p *Prompt) Result {
	now := r.Clock.Now()
	return Result{
		Backlog: e.backlog(p), ServiceTime: e.granter.ServiceTime(),
		Refusal: p.refusal(now, r.Self, e.granter.RefusedFor(now, p.slotRequest())),
	}
}

// acquireFromPeer requests a grant from another gateway. It returns false if the call failed.
func (r *Regulator) acquireFromPeer(ctx context.Context, address string, p *Prompt, wait time.Duration) (Result, bool) {
	now := r.Clock.Now()
	eventTime := p.EventInterval
	if p.Slots > 0 {
		eventTime = p.LastRun
	}
	client := &connector.Client{Timeout: wait + answerMargin, Transport: r.peer(address).transport}
	res, err := wire.NewPacingProtobufClient("http://"+address, client).Admit(ctx, &wire.AdmitRequest{
		Backend: p.Backend, Key: p.Key, Tokens: uint32(p.Tokens), Urgency: p.Urgency,
		AgeMs: uint32(now.Sub(p.ReceivedAt).Milliseconds()), InTimeForMs: int32(p.OnTimeUntil.Sub(now).Milliseconds()),
		PauseMs: uint32(p.MaxPause.Milliseconds()), WaitMs: uint32(wait.Milliseconds()),
		EventUs: uint32(eventTime.Microseconds()), Gateway: r.Self, Seen: p.PausesObserved,
		Slots: uint32(p.Slots), GiveUpMs: uint32(max(0, p.Deadline.Sub(now).Milliseconds())), Elsewhere: p.HasAlternative,
		Customer: p.Customer, Brittle: p.Brittle,
	})
	if err != nil {
		r.recordFailure(ctx, address, err)
		return Result{}, false
	}
	r.recordSuccess(address)
	return Result{
		Granted: res.GetGranted(), Key: p.Key, Backlog: milliseconds(res.GetBacklogMs()), Slow: res.GetSlow(),
		ServiceTime: time.Duration(res.GetServiceUs()) * time.Microsecond,
		// The refusal is as of now: the request may have waited for it.
		Refusal: p.refusal(r.Clock.Now(), address, milliseconds(res.GetRefusedForMs())),
	}, true
}
