// Package explainer remembers what was decided for recent requests and why, for
// operators. It holds a bounded number of requests and no prompts or keys.
package explainer

import (
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	maxRequests = 20_000
	maxSteps    = 40
)

// Step is one decision.
type Step struct {
	At   time.Time
	What string
}

// Trace is all that was decided for one request.
type Trace struct {
	RequestID string
	Customer  string
	Steps     []Step
}

// Explainer keeps the latest accounts. Set Clock before use.
type Explainer struct {
	Clock clockwork.Clock

	mu       sync.Mutex
	accounts map[string]*Trace
	order    []string
	next     int
}

// Record adds a decision to a request's account.
func (e *Explainer) Record(requestID, customer, format string, args ...any) {
	step := Step{At: e.Clock.Now(), What: fmt.Sprintf(format, args...)}
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.accounts[requestID]
	if a == nil {
		a = &Trace{RequestID: requestID, Customer: customer}
		e.remember(requestID, a)
	}
	if len(a.Steps) < maxSteps {
		a.Steps = append(a.Steps, step)
	}
}

func (e *Explainer) remember(requestID string, a *Trace) {
	if e.accounts == nil {
		e.accounts = map[string]*Trace{}
	}
	e.accounts[requestID] = a
	if len(e.order) < maxRequests {
		e.order = append(e.order, requestID)
		return
	}
	delete(e.accounts, e.order[e.next])
	e.order[e.next] = requestID
	e.next = (e.next + 1) % maxRequests
}

// Get returns a copy of a request's account.
func (e *Explainer) Get(requestID string) (Trace, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.accounts[requestID]
	if a == nil {
		return Trace{}, false
	}
	copied := *a
	copied.Steps = append([]Step(nil), a.Steps...)
	return copied, true
}
