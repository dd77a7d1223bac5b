// Package paceestimator estimates how fast the backend servers of a service work, relative to each
// other. It is pure: observations go in with the time.
//
// It handles sites whose engines differ in pace without announcing it, and at which a gateway sends
// each engine a stream in several seconds, so that no gateway can learn the paces alone.
package paceestimator

import (
	"slices"
	"time"
)

const (
	// windowSize is the number of gaps that a window keeps: about those of two streams of ten
	// events each.
	windowSize = 20
	// gapRank is the rank, among the sorted gaps of a full window, of the one that counts as the
	// event interval. Prompts that are read between two events make gaps longer, at a loaded engine
	// most of them; events that arrive together make a few shorter.
	gapRank = 3
	// gapLease is how long a gap counts. A gateway sends an engine of a large site one stream in
	// about 9 s.
	gapLease = 20 * time.Second
	// minGap is the gap below which two events count as one.
	minGap = 2 * time.Millisecond
	// maxGap bounds the gaps that count: longer ones are pauses.
	maxGap = 10 * time.Second
)

// Window keeps the latest gaps between events of streams at one engine, as one gateway observed
// them. The zero value is empty.
type Window struct {
	gaps  [windowSize]gap
	next  int
	count int
}

type gap struct {
	length time.Duration
	at     time.Time
}

// Observe records the time between two events of a stream, the later of which arrived at now.
func (w *Window) Observe(now time.Time, length time.Duration) {
	if length < minGap || length > maxGap {
		return
	}
	w.gaps[w.next] = gap{length: length, at: now}
	w.next = (w.next + 1) % windowSize
	w.count = min(w.count+1, windowSize)
}

// Interval returns about the time between two events while no prompt is read, and the number of
// gaps that it rests on; 0 if there is none.
func (w *Window) Interval(now time.Time) (interval time.Duration, samples int) {
	var sorted [windowSize]time.Duration
	for _, g := range w.gaps[:w.count] {
		if now.Sub(g.at) < gapLease {
			sorted[samples] = g.length
			samples++
		}
	}
	if samples == 0 {
		return 0, 0
	}
	slices.Sort(sorted[:samples])
	return sorted[gapRank*samples/windowSize], samples
}
