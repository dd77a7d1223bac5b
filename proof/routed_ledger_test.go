package proof

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
)

// history records what callers and backend servers observed, and the violations.
type history struct {
	mu      sync.Mutex
	sent    map[string]string
	runs    map[string]int
	refused map[string]int
	// complete holds the requests whose callers received a complete answer, succeeded those
	// with 200.
	complete   map[string]bool
	succeeded  map[string]bool
	served     int
	violations []string
	// origins holds, for each request, the gateway that it was sent to and when.
	origins map[string]origin
	// customerRunTimes holds the times at which each customer's requests ran.
	customerRunTimes map[string][]time.Time
}

func newHistory() *history {
	return &history{sent: map[string]string{}, runs: map[string]int{}, refused: map[string]int{}, complete: map[string]bool{}, succeeded: map[string]bool{}, customerRunTimes: map[string][]time.Time{}, origins: map[string]origin{}}
}

// origin is where and when a caller sent a request.
type origin struct {
	gateway *instance
	at      time.Time
}

func (l *history) addViolation(format string, v ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, fmt.Sprintf(format, v...))
}

func (l *history) recordSent(id, what string, to *instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = what
	l.origins[id] = origin{to, time.Now()}
}

func (l *history) originOf(id string) origin {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.origins[id]
}

// recordCustomerRun records that a backend server runs a customer's request.
func (l *history) recordCustomerRun(customer string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.customerRunTimes[customer] = append(l.customerRunTimes[customer], at)
}

func (l *history) customerRuns(customer string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.customerRunTimes[customer])
}

// maxInWindow returns the highest number of a customer's requests that ran within a window.
func (l *history) maxInWindow(customer string, window time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	times := slices.Clone(l.customerRunTimes[customer])
	slices.SortFunc(times, time.Time.Compare)
	peak, from := 0, 0
	for i, at := range times {
		for at.Sub(times[from]) > window {
			from++
		}
		peak = max(peak, i-from+1)
	}
	return peak
}

// recordRun records that a backend server runs a request.
func (l *history) recordRun(id, what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	if l.sent[id] != what {
		l.violations = append(l.violations, fmt.Sprintf("%s ran as %s and was sent as %s", id, strconv.Quote(what), strconv.Quote(l.sent[id])))
	}
}

func (l *history) recordAnswer(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.complete[id] = true
	switch status {
	case http.StatusOK:
		l.served++
		l.succeeded[id] = true
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout:
		l.refused[id] = status
	}
}

func (l *history) servedCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.served
}

// check evaluates the whole history.
func (l *history) check(c *qt.C) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, fault := range l.violations {
		c.Errorf("%s", fault)
	}
	for id, status := range l.refused {
		if l.runs[id] > 0 {
			c.Errorf("%s was refused with %d and ran", id, status)
		}
	}
	for id, runs := range l.runs {
		if kind := routeKindOf(pathOf(l.sent[id])); kind != idempotent && kind != resumable && runs > 1 {
			c.Errorf("%s ran %d times", id, runs)
		}
	}
	c.Logf("%d requests, %d served, %d refused", len(l.sent), l.served, len(l.refused))
}

// failedAfterRun returns the run-once orders that ran and whose callers received a failure.
func (l *history) failedAfterRun() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for id := range l.runs {
		if routeKindOf(pathOf(l.sent[id])) == once && l.complete[id] && !l.succeeded[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// unanswered returns the requests that ran and whose callers received no complete answer.
func (l *history) unanswered() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for id := range l.runs {
		if !l.complete[id] {
			ids = append(ids, id)
		}
	}
	return ids
}
