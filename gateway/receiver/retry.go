package receiver

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	initialBackoff = 10 * time.Millisecond
	maxBackoff     = time.Second
	maxAttempts    = 5
)

// RetryBudget limits a gateway's retries to a share of its requests, so that retries can't
// amplify an overload. Set the exported fields before use.
type RetryBudget struct {
	Clock clockwork.Clock
	// RetryRatio is how many retries each request adds to the budget.
	RetryRatio float64
	// Burst is how many retries may accumulate.
	Burst float64

	mu     sync.Mutex
	tokens float64
	filled bool
}

// Deposit adds the share of one request to the budget.
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

// Withdraw takes one retry from the budget and then waits with full jitter. It returns false if
// the budget or the attempts are used up, the deadline would pass, or ctx ends.
func (b *RetryBudget) Withdraw(ctx context.Context, attempt int, deadline time.Time) bool {
	if attempt >= maxAttempts || !b.takeToken() {
		return false
	}
	wait := rand.N(min(initialBackoff<<attempt, maxBackoff))
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

func (b *RetryBudget) takeToken() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
