// Package terminator ends requests before their deadlines, when the process ends.
package terminator

import (
	"context"
	"errors"
	"time"
)

// errTerminated is the cause of contexts that were terminated.
var errTerminated = errors.New("terminator: the process ends")

// Context is the context of a request. Terminate ends it like its deadline, so that its caller gets an answer; a caller that
// has disconnected cancels it.
type Context struct {
	context.Context
	cancel context.CancelCauseFunc
}

// WithTimeout returns a context that ends after a time. release frees its resources.
func WithTimeout(parent context.Context, d time.Duration) (c *Context, release func()) {
	parent, cancel := context.WithCancelCause(parent)
	inner, cancelTimer := context.WithTimeout(parent, d)
	return &Context{Context: inner, cancel: cancel}, func() {
		cancelTimer()
		cancel(nil)
	}
}

// Terminate ends the context, unless it has ended.
func (c *Context) Terminate() { c.cancel(errTerminated) }

// Terminated reports whether Terminate ended the context.
func (c *Context) Terminated() bool { return context.Cause(c.Context) == errTerminated }

// Err returns DeadlineExceeded too if the context was terminated.
func (c *Context) Err() error {
	err := c.Context.Err()
	if err != nil && c.Terminated() {
		return context.DeadlineExceeded
	}
	return err
}
