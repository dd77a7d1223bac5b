// Package stalldetector detects that a process did not run for a time: its instance was frozen or
// overloaded. What it reads next may have been sent at any moment of that time. It has no side
// effects.
package stalldetector

import "time"

// catchUpDivisor gives the part of a stall's length for which what was sent meanwhile is still being
// read after it.
const catchUpDivisor = 8

// Detector detects stalls by calls that are due in short intervals. Set the exported field before use.
type Detector struct {
	// Threshold is the time between two calls of Tick from which on they are a stall: some times the
	// interval.
	Threshold time.Duration

	tickedAt time.Time
	// stalledAt is when the latest stall began, and caughtUpAt when all that was sent in it has been
	// read.
	stalledAt, caughtUpAt time.Time
}

// Tick records that the process runs.
func (d *Detector) Tick(now time.Time) {
	if gap := now.Sub(d.tickedAt); !d.tickedAt.IsZero() && gap > d.Threshold {
		d.stalledAt, d.caughtUpAt = d.tickedAt, now.Add(gap/catchUpDivisor)
	}
	d.tickedAt = now
}

// SentSince returns the earliest time at which something may have been sent that was read at a time.
func (d *Detector) SentSince(readAt time.Time) time.Time {
	switch {
	case !d.tickedAt.IsZero() && readAt.Sub(d.tickedAt) > d.Threshold:
		// The first call after the stall is still to come.
		return d.tickedAt
	case !readAt.Before(d.stalledAt) && readAt.Before(d.caughtUpAt):
		return d.stalledAt
	}
	return readAt
}
