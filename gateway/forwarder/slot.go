package forwarder

import (
	"context"
	"time"

	"bronzelead.example/gateway/regulator"
	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/balancer"
	"bronzelead.example/pkg/pacer"
	"bronzelead.example/pkg/waitestimator"
	"bronzelead.example/pkg/wire"
)

const (
	// defaultSlots is used where a backend server does not state its number of slots.
	defaultSlots = 8
	// maxSlotRequests is the maximum number of backend servers that are asked for a slot.
	maxSlotRequests = 2
	// maxSlowSlotRequests is how many more are asked because others are too slow.
	maxSlowSlotRequests = 2
	// reasonOverloaded is sent to a caller whose request would be late at all of them.
	reasonOverloaded = "the backend servers have too much to do for an answer in time"
)

// needsSlotGrant reports whether the slots of a request's backend servers are granted: gateways
// have much work for a plain service, or its backend servers are brittle.
func (f *Forwarder) needsSlotGrant(j *job) bool {
	if f.Regulator == nil || f.Disabled.Has(ablator.Dispensing) {
		return false
	}
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.Brittle(now, j.service) > 0 || !j.atEngine && f.balancer.Contended(now, j.service)
}

// allBusy determines which backend servers are known to be too busy for a request whose slots are
// granted, and reports whether that is true of all. Once in a while it does not although it is.
func (f *Forwarder) allBusy(j *job) bool {
	j.busy = j.busy[:0]
	if !j.usesSlotGrants || f.Disabled.Has(ablator.LocalRefusals) {
		return false
	}
	now := f.Clock.Now()
	j.busy = f.Regulator.AppendBusy(j.busy, f.waitRequest(now, j))
	if len(j.busy) == 0 {
		return false
	}
	f.mu.Lock()
	all := f.balancer.AllAmong(j.service, j.pin(), j.busy)
	f.mu.Unlock()
	if !all {
		return false
	}
	if f.Regulator.TakeProbe(f.sharingCustomer(j)) {
		f.countSlotOutcome(slotProbe)
		j.busy = j.busy[:0]
		return false
	}
	return true
}

// waitRequest returns a request as the waits at its backend servers concern it.
func (f *Forwarder) waitRequest(now time.Time, j *job) waitestimator.Request {
	return waitestimator.Request{Customer: f.sharingCustomer(j), Urgency: j.urgency(), Left: j.onTimeUntil().Sub(now), Returned: j.firstSentAt.Before(j.req.ReceivedAt)}
}

// acquireSlot waits for a slot of a plain service's backend server. It reports false where the
// request is refused there, because it would be late or of no use.
func (f *Forwarder) acquireSlot(ctx context.Context, j *job, backend *wire.Announcement) bool {
	began := f.Clock.Now()
	slots := int(backend.GetSlots())
	if slots == 0 {
		slots = defaultSlots
	}
	answer := f.Regulator.Acquire(ctx, &regulator.Prompt{
		Backend: backend.GetId(), Slots: slots, Deadline: j.sendBy, HasAlternative: f.hasAlternativeSlot(j, backend.GetId(), began),
		Customer: f.sharingCustomer(j), Brittle: f.isBrittle(j.service), GrantRequest: pacer.GrantRequest{
			Urgency: j.urgency(), ReceivedAt: j.req.ReceivedAt,
			OnTimeUntil: f.slotOnTimeUntil(j),
		},
	}, j.slotWait(began))
	j.waited += f.Clock.Since(began)
	if answer.Granted {
		f.countSlotOutcome(slotGranted)
		j.slot = &grantedPrompt{backend: backend.GetId(), key: answer.Key}
		return true
	}
	if answer.Slow {
		f.countSlotOutcome(slotSlow)
	} else {
		f.countSlotOutcome(slotRefusedByOwner)
	}
	switch {
	case answer.Slow:
		j.slowSlotRequests++
	case answer.Refusal.Sustained() && !f.Disabled.Has(ablator.LocalRefusals):
		j.slotRequests = maxSlotRequests
	default:
		j.slotRequests++
	}
	j.avoid = append(j.avoid, backend.GetId())
	return false
}

// recordSlotRun records how long the answer to a request took whose slot was granted.
func (f *Forwarder) recordSlotRun(j *job) {
	if j.slot != nil {
		f.Regulator.RecordRun(j.slot.backend, f.Clock.Since(j.sentAt))
	}
}

// endSlot releases the slot of a request's attempt, if it has one; ran is set if it was answered.
func (f *Forwarder) endSlot(j *job, ran bool) {
	if j.slot == nil {
		return
	}
	if j.rejected {
		f.Regulator.Reject(j.slot.backend, j.slot.key)
	} else {
		f.Regulator.Release(j.slot.backend, j.slot.key, ran)
	}
	j.slot = nil
}

// streamedAnswer is longer than any stream lasts.
const streamedAnswer = time.Hour

// slotOnTimeUntil returns until when a slot has to be free again for the answer to be on time. An
// answer of an engine counts by its first event, and its slot is taken until the last.
func (f *Forwarder) slotOnTimeUntil(j *job) time.Time {
	if j.atEngine {
		return j.onTimeUntil().Add(streamedAnswer)
	}
	return j.onTimeUntil()
}

// slotWait returns how long a request waits for a slot of one backend server: while it can be
// on time, no longer than that, so that an unresponsive owner costs one objective and not all
// of the request's time.
func (j *job) slotWait(now time.Time) time.Duration {
	if onTime := j.onTimeUntil(); now.Before(onTime) && onTime.Before(j.sendBy) {
		return onTime.Sub(now)
	}
	return max(0, j.sendBy.Sub(now))
}

// hasAlternativeSlot reports whether another backend server can be asked for a slot next, where
// the request may be on time. A request with less than half of its objective left is late itself:
// backend servers that appear too slow for it are no slower than others, and its caller would wait
// for the refusals of several owners.
func (f *Forwarder) hasAlternativeSlot(j *job, backend string, now time.Time) bool {
	if j.slowSlotRequests >= maxSlowSlotRequests || j.onTimeUntil().Sub(now) < milliseconds(j.route.GetObjectiveMs())/2 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &balancer.Waiter{Service: j.service, Adapter: j.adapter, Avoid: j.avoid, Pin: j.pin(), UsesSlotGrants: true}
	return f.balancer.HasAlternative(now, w, backend)
}

// refuseSlot drops a choice whose backend server had no slot, and reports whether to ask
// another one.
func (f *Forwarder) refuseSlot(ctx context.Context, j *job, backend *wire.Announcement) bool {
	if j.slotRequests < maxSlotRequests || ctx.Err() != nil {
		return f.chooseAgain(ctx, j, backend)
	}
	f.recordUnsent(j, backend.GetId())
	f.refuseOverloaded(j, slotRefusedByOwner)
	return false
}
