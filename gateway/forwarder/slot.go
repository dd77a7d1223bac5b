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

const (
	// assumedSlots is used where a backend server does not say how many it has.
	assumedSlots = 8
	// maxSlotAsks is how many backend servers are asked for a slot at most.
	maxSlotAsks = 2
	// maxSlowAsks is how many more are asked because others are too slow.
	maxSlowAsks = 2
	// reasonCrowded is what a caller hears whose request would be late at all of them.
	reasonCrowded = "the backend servers have too much to do for an answer in time"
	// retryWhenCrowded is the retry time then: later than what waits now.
	retryWhenCrowded = 250 * time.Millisecond
)

// dispensed reports whether the slots of a request's backend servers are given out: gateways
// have much work for a plain service.
func (f *Forwarder) dispensed(j *job) bool {
	if f.Regulator == nil || f.Off.Has(ablator.Dispensing) || f.isEngine(j.service) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.balancer.Contended(f.Clock.Now(), j.service)
}

// admitSlot waits for a slot of a plain service's backend server. It reports false where the
// request is refused there, so that it would be late or no use.
func (f *Forwarder) admitSlot(ctx context.Context, j *job, backend *wire.Announcement) bool {
	began := f.Clock.Now()
	slots := int(backend.GetSlots())
	if slots == 0 {
		slots = assumedSlots
	}
	answer := f.Regulator.Acquire(ctx, &regulator.Prompt{
		Backend: backend.GetId(), Slots: slots, Deadline: j.sendBy, HasAlternative: f.maySlotElsewhere(j, backend.GetId(), began), GrantRequest: pacer.GrantRequest{
			Urgency: j.urgency(), ReceivedAt: j.req.ReceivedAt,
			OnTimeUntil: j.inTimeUntil(),
		},
	}, j.slotWait(began))
	j.waited += f.Clock.Since(began)
	if answer.Granted {
		j.prompt = &prompt{backend: backend.GetId(), key: answer.Key}
		return true
	}
	if answer.Slow {
		j.slowAsks++
	} else {
		j.slotAsks++
	}
	j.avoid = append(j.avoid, backend.GetId())
	return false
}

// slotWait returns how long a request waits for a slot of one backend server: while it can be in
// time no longer than that, so that an owner which does not answer costs one objective and not
// all of the request's time.
func (j *job) slotWait(now time.Time) time.Duration {
	if inTime := j.inTimeUntil(); now.Before(inTime) && inTime.Before(j.sendBy) {
		return inTime.Sub(now)
	}
	return max(0, j.sendBy.Sub(now))
}

// maySlotElsewhere reports whether another backend server can be asked for a slot next, where the
// request may be in time.
func (f *Forwarder) maySlotElsewhere(j *job, backend string, now time.Time) bool {
	if j.slowAsks >= maxSlowAsks || !now.Before(j.inTimeUntil()) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	w := &balancer.Waiter{Service: j.service, Adapter: j.adapter, Avoid: j.avoid, UsesSlotGrants: true}
	return f.balancer.HasAlternative(now, w, backend)
}

// refuseSlot gives up a choice whose backend server had no slot, and reports whether another
// one is to be asked.
func (f *Forwarder) refuseSlot(ctx context.Context, j *job, backend *wire.Announcement) bool {
	if j.slotAsks < maxSlotAsks || ctx.Err() != nil {
		return f.chooseAgain(ctx, j, backend)
	}
	f.done(j, backend.GetId(), balancer.Abandoned)
	f.giveUp(j, reasonCrowded, retryWhenCrowded)
	return false
}
