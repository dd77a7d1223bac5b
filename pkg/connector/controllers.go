package connector

import (
	"context"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
)

// Controllers selects the controller to call: the one that answered last, and after a failure
// the next. Any controller forwards a call to the leader.
type Controllers struct {
	// Addresses are those of all controllers.
	Addresses []string

	current atomic.Uint64
}

// Current returns the address to call now.
func (c *Controllers) Current() string {
	return c.Addresses[c.current.Load()%uint64(len(c.Addresses))]
}

// MarkFailed switches to the next address, unless another caller did so already.
func (c *Controllers) MarkFailed(address string) {
	n := c.current.Load()
	if c.Addresses[n%uint64(len(c.Addresses))] == address {
		c.current.CompareAndSwap(n, n+1)
	}
}

// IsPermanent reports whether an error is an answer that another controller would give too, so
// that a retry is of no use.
func IsPermanent(err error) bool {
	var answer twirp.Error
	if !errors.As(err, &answer) {
		return false
	}
	switch answer.Code() {
	case twirp.InvalidArgument, twirp.NotFound, twirp.Unauthenticated, twirp.FailedPrecondition, twirp.AlreadyExists:
		return true
	}
	return false
}

// Try calls f with one address after the other, until it succeeds, fails permanently, or ctx
// ends. Pause waits between attempts and returns false when ctx has ended.
func (c *Controllers) Try(ctx context.Context, pause func(attempt int) bool, f func(address string) error) error {
	for attempt := 0; ; attempt++ {
		address := c.Current()
		err := f(address)
		if err == nil || IsPermanent(err) {
			return err
		}
		c.MarkFailed(address)
		if ctx.Err() != nil || !pause(attempt) {
			return err
		}
	}
}
