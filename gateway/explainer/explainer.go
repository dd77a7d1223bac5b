// Package explainer records the decisions on recent requests and their reasons for operators.
// The number of requests is bounded; no prompts or keys are recorded.
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

// Trace is the list of decisions on one request.
type Trace struct {
	RequestID string
	Customer  string
	Steps     []Step
}

// Explainer stores the most recent traces. Set Clock before use.
type Explainer struct {
	Clock clockwork.Clock

	mu     sync.Mutex
	traces map[string]*Trace
	order  []string
	next   int
}

// Record appends a decision to a request's trace.
func (e *Explainer) Record(requestID, customer, format string, args ...any) {
	step := Step{At: e.Clock.Now(), What: fmt.Sprintf(format, args...)}
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.traces[requestID]
	if a == nil {
		a = &Trace{RequestID: requestID, Customer: customer}
		e.insert(requestID, a)
	}
	if len(a.Steps) < maxSteps {
		a.Steps = append(a.Steps, step)
	}
}

func (e *Explainer) insert(requestID string, a *Trace) {
	if e.traces == nil {
		e.traces = map[string]*Trace{}
	}
	e.traces[requestID] = a
	if len(e.order) < maxRequests {
		e.order = append(e.order, requestID)
		return
	}
	delete(e.traces, e.order[e.next])
	e.order[e.next] = requestID
	e.next = (e.next + 1) % maxRequests
}

// Get returns a copy of a request's trace.
func (e *Explainer) Get(requestID string) (Trace, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.traces[requestID]
	if a == nil {
		return Trace{}, false
	}
	copied := *a
	copied.Steps = append([]Step(nil), a.Steps...)
	return copied, true
}
