// Package originrecorder remembers which software version began a stream, for the time in which its
// caller may take it up. Its memory is bounded: an origin that had to be dropped is unknown, so that too
// many of them cost refusals and never let a stream go on at another version. It is pure.
package originrecorder

import (
	"crypto/sha256"
	"time"
)

// KeySize is the size of a key in bytes.
const KeySize = 16

// Key identifies a stream by the id of the caller's attempt that brought its first event. Callers choose
// ids of any length.
type Key [KeySize]byte

// KeyOf returns the key of a stream.
func KeyOf(attempt string) Key {
	sum := sha256.Sum256([]byte(attempt))
	return Key(sum[:KeySize])
}

// Origin is where a stream began.
type Origin struct {
	Service         string
	SoftwareVersion string
}

// Knowledge is what is known of an origin.
type Knowledge int

const (
	// Unknown means that no origin is remembered.
	Unknown Knowledge = iota
	// Known means that the origin is certain.
	Known
	// Ambiguous means that two streams with one id began at different versions.
	Ambiguous
)

// entry is an origin until a time.
type entry struct {
	origin    Origin
	ambiguous bool
	until     time.Time
	// order is that of its latest position in the queue.
	order uint64
}

// queued is a position of an entry in the order in which entries were recorded.
type queued struct {
	key   Key
	order uint64
}

// Recorder remembers origins. Set the exported fields before use.
type Recorder struct {
	// Max is the number of origins that are remembered at most. The oldest one gives way.
	Max int

	entries map[Key]*entry
	// queue holds the entries from the oldest on; dropped counts those that gave way.
	queue   []queued
	next    uint64
	dropped int
}

// Record remembers an origin for a time, and longer if it is recorded again.
func (r *Recorder) Record(now time.Time, key Key, origin Origin, d time.Duration) {
	if r.entries == nil {
		r.entries = map[Key]*entry{}
	}
	e := r.entries[key]
	if e != nil && !now.Before(e.until) {
		e = nil
	}
	if e == nil {
		e = &entry{origin: origin}
		r.entries[key] = e
	}
	e.ambiguous = e.ambiguous || e.origin != origin
	if until := now.Add(d); until.After(e.until) {
		e.until = until
	}
	if e.order == 0 {
		r.next++
		e.order = r.next
		r.queue = append(r.queue, queued{key, e.order})
	}
	r.makeRoom()
}

// makeRoom drops the oldest entries while there are too many.
func (r *Recorder) makeRoom() {
	for len(r.entries) > r.Max && len(r.queue) > 0 {
		first := r.queue[0]
		r.queue = r.queue[1:]
		if e := r.entries[first.key]; e != nil && e.order == first.order {
			delete(r.entries, first.key)
			r.dropped++
		}
	}
}

// Find returns the origin of a stream.
func (r *Recorder) Find(now time.Time, key Key) (Origin, Knowledge) {
	e := r.entries[key]
	switch {
	case e == nil || !now.Before(e.until):
		return Origin{}, Unknown
	case e.ambiguous:
		return Origin{}, Ambiguous
	}
	return e.origin, Known
}

// Prune drops the origins whose time is over.
func (r *Recorder) Prune(now time.Time) {
	if len(r.entries) == 0 {
		r.queue = nil
		return
	}
	kept := make([]queued, 0, len(r.entries))
	for _, q := range r.queue {
		e := r.entries[q.key]
		switch {
		case e == nil || e.order != q.order:
		case !now.Before(e.until):
			delete(r.entries, q.key)
		default:
			kept = append(kept, q)
		}
	}
	r.queue = kept
}

// Len returns the number of origins that are remembered.
func (r *Recorder) Len() int { return len(r.entries) }

// TakeDropped returns and clears the number of origins that gave way.
func (r *Recorder) TakeDropped() int {
	n := r.dropped
	r.dropped = 0
	return n
}
