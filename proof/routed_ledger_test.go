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

// ledger holds what callers and backend servers have seen, and what was wrong with it.
type ledger struct {
	mu     sync.Mutex
	sent   map[string]string
	runs   map[string]int
	refuse map[string]int
	// whole and good are the requests whose callers got a whole answer, and one with 200.
	whole  map[string]bool
	good   map[string]bool
	served int
	faults []string
	// customers are the times at which requests of each ran.
	customers map[string][]time.Time
}

func newLedger() *ledger {
	return &ledger{sent: map[string]string{}, runs: map[string]int{}, refuse: map[string]int{}, whole: map[string]bool{}, good: map[string]bool{}, customers: map[string][]time.Time{}}
}

func (l *ledger) fault(format string, v ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, v...))
}

func (l *ledger) asked(id, what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = what
}

// ranFor notes that a backend server runs a request of a customer.
func (l *ledger) ranFor(customer string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.customers[customer] = append(l.customers[customer], at)
}

func (l *ledger) countOf(customer string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.customers[customer])
}

// mostInWindow returns the most requests of a customer that ran within a time.
func (l *ledger) mostInWindow(customer string, window time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	times := slices.Clone(l.customers[customer])
	slices.SortFunc(times, time.Time.Compare)
	most, from := 0, 0
	for i, at := range times {
		for at.Sub(times[from]) > window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// ran notes that a backend server runs a request.
func (l *ledger) ran(id, what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	if l.sent[id] != what {
		l.faults = append(l.faults, fmt.Sprintf("%s ran as %s and was sent as %s", id, strconv.Quote(what), strconv.Quote(l.sent[id])))
	}
}

func (l *ledger) answered(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.whole[id] = true
	switch status {
	case http.StatusOK:
		l.served++
		l.good[id] = true
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout:
		l.refuse[id] = status
	}
}

func (l *ledger) servedSoFar() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.served
}

// check judges the whole history.
func (l *ledger) check(c *qt.C) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, fault := range l.faults {
		c.Errorf("%s", fault)
	}
	for id, status := range l.refuse {
		if l.runs[id] > 0 {
			c.Errorf("%s was refused with %d and ran", id, status)
		}
	}
	for id, runs := range l.runs {
		if kindOfPath(pathOf(l.sent[id])) != idempotent && runs > 1 {
			c.Errorf("%s ran %d times", id, runs)
		}
	}
	c.Logf("%d requests, %d served, %d refused", len(l.sent), l.served, len(l.refuse))
}

// lost returns the orders that ran and whose callers were told of a failure.
func (l *ledger) lost() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for id := range l.runs {
		if kindOfPath(pathOf(l.sent[id])) == once && l.whole[id] && !l.good[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// unanswered returns the requests that ran and whose callers got no whole answer.
func (l *ledger) unanswered() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var ids []string
	for id := range l.runs {
		if !l.whole[id] {
			ids = append(ids, id)
		}
	}
	return ids
}
