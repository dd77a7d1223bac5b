package retrylimiter

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// window and ratio are those of the budget in all tests.
const (
	window = 10 * time.Second
	ratio  = 0.2
)

func begin() time.Time { return time.Unix(1000, 0) }

// retry sends a retry at once if it is allowed.
func (l *Limiter) retry(now time.Time, slack float64) bool {
	allowed := l.AllowRetry(now, slack)
	if allowed {
		l.RecordSent(now)
	}
	return allowed
}

func TestRetriesAreAShareOfTheRequests(t *testing.T) {
	c := qt.New(t)
	l := &Limiter{Window: window, Ratio: ratio}
	for range 100 {
		l.RecordRequest(begin(), begin())
	}
	allowed := 0
	for range 100 {
		if l.retry(begin(), 5) {
			allowed++
		}
	}
	c.Assert(allowed, qt.Equals, 25)
}

func TestSlackAllowsRetriesWithoutRequests(t *testing.T) {
	c := qt.New(t)
	l := &Limiter{Window: window, Ratio: ratio}
	c.Check(l.retry(begin(), 2), qt.IsTrue)
	c.Check(l.retry(begin(), 2), qt.IsTrue)
	c.Check(l.retry(begin(), 2), qt.IsFalse)
	c.Check(l.retry(begin().Add(5*time.Second), 2), qt.IsFalse)
	c.Check(l.retry(begin().Add(12*time.Second), 2), qt.IsTrue)
}

// Requests that were sent before count for the windows in which they were sent.
func TestRequestsCountFromWhenTheyWereSent(t *testing.T) {
	for name, test := range map[string]struct {
		age, later time.Duration
		allowed    bool
	}{
		"sent now":                          {0, 8 * time.Second, true},
		"sent some seconds ago":             {4 * time.Second, 0, true},
		"no longer in the window":           {4 * time.Second, 8 * time.Second, false},
		"not in the window when it is read": {12 * time.Second, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := &Limiter{Window: window, Ratio: 1}
			l.RecordRequest(begin(), begin().Add(-test.age))
			qt.New(t).Check(l.retry(begin().Add(test.later), 0), qt.Equals, test.allowed)
		})
	}
}

// In no window, wherever it begins, may there be more retries than the ratio of the requests in
// it or in the one before it, plus the slack. Traffic is bursty, and up to three retries are
// attempted for each request.
func TestNoWindowHasTooManyRetries(t *testing.T) {
	const slack = 5.0
	for seed := range uint64(20) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(seed, 1))
		l := &Limiter{Window: window, Ratio: ratio}
		var requests, retries []time.Time
		now := begin()
		for range 3000 {
			now = now.Add(time.Duration(random.ExpFloat64() * float64(20*time.Millisecond)))
			if random.IntN(200) == 0 {
				now = now.Add(time.Duration(random.IntN(8000)) * time.Millisecond)
			}
			l.RecordRequest(now, now)
			requests = append(requests, now)
			for range random.IntN(4) {
				if l.retry(now, slack) {
					retries = append(retries, now)
				}
			}
		}
		checkWindows(c, requests, retries, slack)
	}
}

// checkWindows checks all windows that end with a retry.
func checkWindows(c *qt.C, requests, retries []time.Time, slack float64) {
	for _, end := range retries {
		from := end.Add(-window)
		count := between(retries, from, end)
		most := max(between(requests, from, end), between(requests, from.Add(-window), from),
			between(requests, from.Add(-window/2), end.Add(-window/2)))
		c.Assert(float64(count) <= ratio*float64(most)+slack, qt.IsTrue, qt.Commentf("%d retries for %d requests", count, most))
	}
}

// between returns how many of some times, in order, lie after one and not after another.
func between(times []time.Time, from, to time.Time) int {
	after := func(limit time.Time) int {
		return sort.Search(len(times), func(i int) bool { return times[i].After(limit) })
	}
	return after(to) - after(from)
}

// A process that was started again used its whole share a second time in the same window. Here it is
// killed again and again, and each start follows at once.
func TestNoWindowHasTooManyRetriesAcrossRestarts(t *testing.T) {
	const slack = 5.0
	for seed := range uint64(20) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(seed, 2))
		now := begin()
		l := &Limiter{Window: window, Ratio: ratio}
		var requests, retries []time.Time
		for range 5000 {
			now = now.Add(time.Duration(random.ExpFloat64() * float64(20*time.Millisecond)))
			if random.IntN(800) == 0 {
				l = &Limiter{Window: window, Ratio: ratio, Since: now}
			}
			l.RecordRequest(now, now)
			requests = append(requests, now)
			if l.retry(now, slack) {
				retries = append(retries, now)
			}
		}
		c.Assert(len(retries) > 0, qt.IsTrue)
		checkWindows(c, requests, retries, slack)
	}
}

// Retries wait for a backend server, some for seconds. Those that were allowed in two windows arrived in
// one.
func TestNoWindowHasTooManyRetriesAfterWaits(t *testing.T) {
	const slack = 5.0
	for seed := range uint64(20) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(seed, 3))
		now := begin()
		l := &Limiter{Window: window, Ratio: ratio}
		var requests, retries []time.Time
		waiting := 0
		for i := range 5000 {
			now = now.Add(50 * time.Millisecond)
			l.RecordRequest(now, now)
			requests = append(requests, now)
			if l.AllowRetry(now, slack) {
				waiting++
			}
			if i%400 >= 200 {
				// No backend server is free for 10 s.
				continue
			}
			for ; waiting > 0; waiting-- {
				if random.IntN(10) == 0 {
					l.Withdraw()
					continue
				}
				l.RecordSent(now)
				retries = append(retries, now)
			}
		}
		c.Assert(len(retries) > 0, qt.IsTrue)
		checkWindows(c, requests, retries, slack)
	}
}
