// Package sequencer passes calls to the one goroutine that owns some state, through a bounded
// queue.
package sequencer

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrBusy is returned when the queue is full.
var ErrBusy = errors.New("sequencer: too many pending calls")

// Sequencer queues calls. Make one with New; the goroutine that owns the state runs what it
// receives from Calls, one after the other.
type Sequencer struct {
	calls chan func(now time.Time)
}

// New returns a sequencer with a queue of the given capacity.
func New(capacity int) *Sequencer { return &Sequencer{calls: make(chan func(time.Time), capacity)} }

// Calls returns the queue of calls to run.
func (s *Sequencer) Calls() <-chan func(now time.Time) { return s.calls }

// Call queues f and waits until it has run. If ctx ends before, f may still run.
func (s *Sequencer) Call(ctx context.Context, f func(now time.Time)) error {
	done := make(chan struct{})
	call := func(now time.Time) {
		f(now)
		close(done)
	}
	select {
	case s.calls <- call:
	default:
		return ErrBusy
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "sequencer")
	}
}

// Post queues f and does not wait until it has run. It blocks while the queue is full.
func (s *Sequencer) Post(f func(now time.Time)) { s.calls <- f }
