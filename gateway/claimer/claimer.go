// Package claimer claims, at the controllers, the right to run a request once, and
// stores what came of it.
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
	firstPause = 20 * time.Millisecond
	maxPause   = 500 * time.Millisecond
	ringSize   = 8192
	// How long the outcome of a request is tried to be stored.
	storeFor = 2 * time.Minute
	workers  = 16
)

// Claimer talks to the controllers about claims. Set the exported fields, call Init,
// then Run.
type Claimer struct {
	Clock       clockwork.Clock
	Log         *slog.Logger
	Controllers *connector.Controllers
	Client      *connector.Client

	later   chan func(ctx context.Context)
	pending sync.WaitGroup
}

// Init prepares the claimer for calls before Run.
func (c *Claimer) Init() { c.later = make(chan func(context.Context), ringSize) }

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
		case f := <-c.later:
			limited, cancel := context.WithTimeout(ctx, storeFor)
			f(limited)
			cancel()
			c.pending.Done()
		}
	}
}

// Drain waits until all that was to be stored is stored, or ctx ends.
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

// Claim asks for the right to run a request. Repeating it is safe: a claim names its
// request and attempt, so that the answer to a repeat tells that it is one's own.
func (c *Claimer) Claim(ctx context.Context, cmd *wire.ClaimCommand) (*wire.ClaimResponse, error) {
	var res *wire.ClaimResponse
	err := c.Controllers.Try(ctx, c.pause(ctx), func(address string) error {
		var err error
		res, err = c.control(address).Claim(ctx, &wire.ClaimRequest{Command: cmd})
		return err
	})
	return res, err
}

// Lookup tells what is known of a key, without claiming it. The claim is nil when
// nobody has claimed the key.
func (c *Claimer) Lookup(ctx context.Context, customer, key string) (*wire.Claim, error) {
	var res *wire.LookupResponse
	err := c.Controllers.Try(ctx, c.pause(ctx), func(address string) error {
		var err error
		res, err = c.control(address).Lookup(ctx, &wire.LookupRequest{Customer: customer, Key: key})
		return err
	})
	return res.GetClaim(), err
}

// Finish stores an outcome and returns the one that stands.
func (c *Claimer) Finish(ctx context.Context, cmd *wire.FinishCommand) (*wire.Outcome, error) {
	var res *wire.FinishResponse
	err := c.Controllers.Try(ctx, c.pause(ctx), func(address string) error {
		var err error
		res, err = c.control(address).Finish(ctx, &wire.FinishRequest{Command: cmd})
		return err
	})
	return res.GetOutcome(), err
}

// Release gives back a claim whose request did not run, and waits until that is in
// the log.
func (c *Claimer) Release(ctx context.Context, cmd *wire.ReleaseCommand) error {
	return c.Controllers.Try(ctx, c.pause(ctx), func(address string) error {
		_, err := c.control(address).Release(ctx, &wire.ReleaseRequest{Command: cmd})
		return err
	})
}

// FinishAsync stores an outcome in the background, so that the caller need not wait
// for it. Until it is stored a retry hears that the request is in progress.
func (c *Claimer) FinishAsync(cmd *wire.FinishCommand) {
	c.enqueue(func(ctx context.Context) {
		if _, err := c.Finish(ctx, cmd); err != nil {
			c.Log.Warn("an outcome was not stored", "RequestId", cmd.GetRequestId(), "Error", err.Error())
		}
	})
}

// ReleaseAsync gives a claim back in the background.
func (c *Claimer) ReleaseAsync(cmd *wire.ReleaseCommand) {
	c.enqueue(func(ctx context.Context) {
		if err := c.Release(ctx, cmd); err != nil {
			c.Log.Warn("a claim was not released", "RequestId", cmd.GetRequestId(), "Error", err.Error())
		}
	})
}

func (c *Claimer) enqueue(f func(context.Context)) {
	c.pending.Add(1)
	select {
	case c.later <- f:
	default:
		c.pending.Done()
		// The claim then stays as it is, which no retry can take for "not run".
		c.Log.Warn("too many outcomes wait to be stored")
	}
}

// pause waits longer each time, with full jitter.
func (c *Claimer) pause(ctx context.Context) func(attempt int) bool {
	return func(attempt int) bool {
		limit := min(firstPause<<min(attempt, 5), maxPause)
		select {
		case <-ctx.Done():
			return false
		case <-c.Clock.After(rand.N(limit)):
			return true
		}
	}
}

func (c *Claimer) control(address string) wire.Control {
	return wire.NewControlProtobufClient("http://"+address, c.Client)
}
