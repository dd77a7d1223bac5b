package receiver

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	firstBackOff = 10 * time.Millisecond
	maxBackOff   = time.Second
	maxAttempts  = 5
)

// RetryBudget bounds a gateway's retries to a share of its requests, so that retries
// can't make an overload worse. Set the exported fields before use.
type RetryBudget struct {
	Clock clockwork.Clock
	// RetryRatio is how many retries each request earns.
	RetryRatio float64
	// Burst is how many retries may be saved up.
	Burst float64

	mu     sync.Mutex
	tokens float64
	filled bool
}

// Deposit notes a request.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	b.tokens = min(b.Burst, b.tokens+b.RetryRatio)
}

func (b *RetryBudget) fill() {
	if !b.filled {
		b.tokens, b.filled = b.Burst, true
	}
}

// Withdraw asks for one retry and waits, with full jitter, before it. It reports false
// when there is none to be had or the deadline would pass.
func (b *RetryBudget) Withdraw(ctx context.Context, attempt int, deadline time.Time) bool {
	if attempt >= maxAttempts || !b.take() {
		return false
	}
	wait := rand.N(min(firstBackOff<<attempt, maxBackOff))
	if !b.Clock.Now().Add(wait).Before(deadline) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-b.Clock.After(wait):
		return true
	}
}

func (b *RetryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
