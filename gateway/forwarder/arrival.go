package forwarder

import (
	"context"
	"time"
)

// After a power failure of the whole system the gateways restart before the controllers have
// elected a leader. A caller retries only once or twice, and would do so too early, so its
// request waits for the table instead of being refused.
const (
	// maxTableWait is 1.5 times the time from the start of the first gateways to the first
	// table when all instances start at once (0.8 s).
	maxTableWait = 1200 * time.Millisecond
	// tableWaitDivisor gives the part of a client timeout that may pass while waiting.
	tableWaitDivisor = 2
	// tableExpectedWithin is the time after a start in which a table is expected soon. A
	// gateway without one by then is partitioned, and others serve better.
	tableExpectedWithin = 3 * time.Second
	// maxParked bounds the number of waiting requests, and with it their memory.
	maxParked = 512
)

// tableWait returns how long a request may wait for the first table, given the time since the
// gateway's start, the client timeout and the number of requests already waiting.
func tableWait(age, clientTimeout time.Duration, parked int) time.Duration {
	if parked >= maxParked {
		return 0
	}
	wait := min(maxTableWait, max(0, tableExpectedWithin-age))
	if clientTimeout > 0 {
		wait = min(wait, clientTimeout/tableWaitDivisor)
	}
	return wait
}

// awaitTable lets a request wait for the first table. It reports false if its caller has
// disconnected.
func (f *Forwarder) awaitTable(ctx context.Context, j *job) bool {
	select {
	case <-f.tableKnown:
		return true
	default:
	}
	wait := tableWait(f.Clock.Since(f.startedAt), j.meta.ClientTimeout, int(f.parked.Load()))
	if wait == 0 {
		return true
	}
	f.parked.Add(1)
	defer f.parked.Add(-1)
	timer := f.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-f.tableKnown:
	case <-timer.Chan():
	case <-ctx.Done():
		f.handleExpiry(ctx, j)
		return false
	}
	j.waited = f.Clock.Since(j.req.ReceivedAt)
	return true
}
