// Package caller carries calls into the one goroutine that owns some state, through a
// bounded ring.
package sequencer

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// ErrBusy is returned when too many calls wait.
var ErrBusy = errors.New("caller: too many calls wait")

// Sequencer takes calls. Make one with New; the goroutine that owns the state carries out
// what comes from Calls, one after the other.
type Sequencer struct {
	calls chan func(now time.Time)
}

// New returns a caller for which so many calls may wait.
func New(ring int) *Sequencer { return &Sequencer{calls: make(chan func(time.Time), ring)} }

// Calls brings the calls to be carried out.
func (c *Sequencer) Calls() <-chan func(now time.Time) { return c.calls }

// Call has f carried out and waits for it. When ctx ends before, f may still be carried out.
func (c *Sequencer) Call(ctx context.Context, f func(now time.Time)) error {
	done := make(chan struct{})
	call := func(now time.Time) {
		f(now)
		close(done)
	}
	select {
	case c.calls <- call:
	default:
		return ErrBusy
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "caller")
	}
}

// Post has f carried out in its turn. It waits while the ring is full.
func (c *Sequencer) Post(f func(now time.Time)) { c.calls <- f }
