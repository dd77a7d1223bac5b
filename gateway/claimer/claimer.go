// Package claimer claims, at the controllers, the right to run a request once, and stores its
// outcome.
package claimer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/wire"
)

const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
	queueSize      = 8192
	// storeTimeout bounds the attempts to store the outcome of a request.
	storeTimeout = 2 * time.Minute
	workers      = 16
)

// Claimer calls the controllers about claims. Set the exported fields, call Init, then Run.
type Claimer struct {
	Clock       clockwork.Clock
	Log         *slog.Logger
	Controllers *connector.Controllers
	Client      *connector.Client

	queue   chan func(ctx context.Context)
	pending sync.WaitGroup
}

// Init prepares the claimer for calls before Run.
func (c *Claimer) Init() { c.queue = make(chan func(context.Context), queueSize) }

// Run stores outcomes and releases claims in the background until ctx ends.
func (c *Claimer) Run(ctx context.Context) {
	for range workers {
		go c.work(ctx)
	}
	<-ctx.Done()
}

func (c *Claimer) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.queue:
			limited, cancel := context.WithTimeout(ctx, storeTimeout)
			f(limited)
			cancel()
			c.pending.Done()
		}
	}
}

// Drain waits until all queued outcomes and releases are processed, or ctx ends.
func (c *Claimer) Drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		c.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Claim requests the right to run a request. Repeating it is safe: a claim names its request
// and attempt, so the answer to a repeat identifies the claim as one's own.
func (c *Claimer) Claim(ctx context.Context, cmd *wire.ClaimCommand) (*wire.ClaimResponse, error) {
	var res *wire.ClaimResponse
	err := c.Controllers.Try(ctx, c.backoff(ctx), func(address string) error {
		var err error
		res, err = c.controlClient(address).Claim(ctx, &wire.ClaimRequest{Command: cmd})
		return err
	})
	return res, err
}

// Lookup returns the claim of a key without claiming it, or nil when there is none.
func (c *Claimer) Lookup(ctx context.Context, customer, key string) (*wire.Claim, error) {
	var res *wire.LookupResponse
	err := c.Controllers.Try(ctx, c.backoff(ctx), func(address string) error {
		var err error
		res, err = c.controlClient(address).Lookup(ctx, &wire.LookupRequest{Customer: customer, Key: key})
		return err
	})
	return res.GetClaim(), err
}

// Finish stores an outcome and returns the one in force.
func (c *Claimer) Finish(ctx context.Context, cmd *wire.FinishCommand) (*wire.Outcome, error) {
	var res *wire.FinishResponse
	err := c.Controllers.Try(ctx, c.backoff(ctx), func(address string) error {
		var err error
		res, err = c.controlClient(address).Finish(ctx, &wire.FinishRequest{Command: cmd})
		return err
	})
	return res.GetOutcome(), err
}

// Release releases a claim whose request did not run, and waits until that is in the log.
func (c *Claimer) Release(ctx context.Context, cmd *wire.ReleaseCommand) error {
	return c.Controllers.Try(ctx, c.backoff(ctx), func(address string) error {
		_, err := c.controlClient(address).Release(ctx, &wire.ReleaseRequest{Command: cmd})
		return err
	})
}

// FinishAsync stores an outcome in the background, so that the caller need not wait for it.
// Until it is stored a retry is answered that the request is in progress.
func (c *Claimer) FinishAsync(cmd *wire.FinishCommand) {
	c.enqueue(func(ctx context.Context) {
		if _, err := c.Finish(ctx, cmd); err != nil {
			c.Log.Warn("could not store an outcome", "RequestId", cmd.GetRequestId(), "Error", err.Error())
		}
	})
}

// ReleaseAsync releases a claim in the background.
func (c *Claimer) ReleaseAsync(cmd *wire.ReleaseCommand) {
	c.enqueue(func(ctx context.Context) {
		if err := c.Release(ctx, cmd); err != nil {
			c.Log.Warn("could not release a claim", "RequestId", cmd.GetRequestId(), "Error", err.Error())
		}
	})
}

func (c *Claimer) enqueue(f func(context.Context)) {
	c.pending.Add(1)
	select {
	case c.queue <- f:
	default:
		c.pending.Done()
		// The claim then remains, and no retry can mistake it for "not run".
		c.Log.Warn("the queue of outcomes and releases is full")
	}
}

// backoff waits longer after each attempt, with full jitter.
func (c *Claimer) backoff(ctx context.Context) func(attempt int) bool {
	return func(attempt int) bool {
		limit := min(initialBackoff<<min(attempt, 5), maxBackoff)
		select {
		case <-ctx.Done():
			return false
		case <-c.Clock.After(rand.N(limit)):
			return true
		}
	}
}

func (c *Claimer) controlClient(address string) wire.Control {
	return wire.NewControlProtobufClient("http://"+address, c.Client)
}
