package forwarder

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
)

// errGatewayEnds is why the contexts of requests end that still run when the gateway ends.
var errGatewayEnds = errors.New("forwarder: the gateway ends")

// stopping is the state of a planned stop.
type stopping struct {
	// closed is set while new requests are refused.
	closed atomic.Bool

	mu sync.Mutex
	// running are the contexts of the requests that are being served.
	running map[*requestContext]struct{}
	ended   bool
}

// requestContext is the context of a request. An end of the gateway ends it like its deadline, so that its caller gets an
// answer; a caller that has disconnected cancels it.
type requestContext struct {
	context.Context
	cancel context.CancelCauseFunc
}

// Err returns DeadlineExceeded too if the gateway ends.
func (c *requestContext) Err() error {
	err := c.Context.Err()
	if err != nil && context.Cause(c.Context) == errGatewayEnds {
		return context.DeadlineExceeded
	}
	return err
}

// newRequestContext returns the context of a request until its deadline. release frees its resources.
func (f *Forwarder) newRequestContext(parent context.Context, j *job) (ctx context.Context, release func()) {
	parent, cancel := context.WithCancelCause(parent)
	inner, cancelTimer := context.WithTimeout(parent, j.deadline.Sub(f.Clock.Now()))
	c := &requestContext{Context: inner, cancel: cancel}
	f.stop.mu.Lock()
	if f.stop.running == nil {
		f.stop.running = map[*requestContext]struct{}{}
	}
	f.stop.running[c] = struct{}{}
	ended := f.stop.ended
	f.stop.mu.Unlock()
	if ended {
		cancel(errGatewayEnds)
	}
	return c, func() {
		f.stop.mu.Lock()
		delete(f.stop.running, c)
		f.stop.mu.Unlock()
		cancelTimer()
		cancel(nil)
	}
}

// Close refuses new requests; those already accepted are completed.
func (f *Forwarder) Close() { f.stop.closed.Store(true) }

// End refuses new requests, and ends those that are still being served: one that may have run fails, one that has not is
// refused, and an answer that has begun is aborted.
func (f *Forwarder) End() {
	f.Close()
	f.stop.mu.Lock()
	defer f.stop.mu.Unlock()
	f.stop.ended = true
	for c := range f.stop.running {
		c.cancel(errGatewayEnds)
	}
}
