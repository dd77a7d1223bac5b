package forwarder

import (
	"context"
	"time"
)

// When everything has lost its power, the gateways are back before the controllers have
// elected a leader. A caller comes back only once or twice, and would do so too early: so
// its request waits for the table instead of being refused.
const (
	// longestTableWait is about the time from the start of the first gateways to the first
	// table when all instances start at once (0.8 s measured), and half as long again.
	longestTableWait = 1200 * time.Millisecond
	// tableWaitShare is the part, as a divisor, of a caller's patience that may pass.
	tableWaitShare = 2
	// tableExpectedWithin is the time after a start in which a table is expected soon. A
	// gateway that has none by then is cut off, and others serve better.
	tableExpectedWithin = 3 * time.Second
	// maxParked bounds the requests that wait, and with them their memory.
	maxParked = 512
)

// tableWait returns how long a request may wait for the first table, at a gateway that
// started some time ago and at which others wait.
func tableWait(age, patience time.Duration, parked int) time.Duration {
	if parked >= maxParked {
		return 0
	}
	wait := min(longestTableWait, max(0, tableExpectedWithin-age))
	if patience > 0 {
		wait = min(wait, patience/tableWaitShare)
	}
	return wait
}

// awaitTable lets a request wait for the first table. It reports false if its caller has
// left.
func (f *Forwarder) awaitTable(ctx context.Context, j *job) bool {
	select {
	case <-f.tableKnown:
		return true
	default:
	}
	wait := tableWait(f.Clock.Since(f.startedAt), j.about.ClientTimeout, int(f.parked.Load()))
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
		f.expired(ctx, j)
		return false
	}
	j.waited = f.Clock.Since(j.req.ReceivedAt)
	return true
}
