package retrylimiter

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func begin() time.Time { return time.Unix(1000, 0) }

func TestRepeatsAreAPartOfTheRequests(t *testing.T) {
	c := qt.New(t)
	b := &Limiter{Window: 10 * time.Second, Ratio: 0.2}
	for range 100 {
		b.RecordRequest(begin())
	}
	allowed := 0
	for range 100 {
		if b.AllowRetry(begin(), 5) {
			allowed++
		}
	}
	c.Assert(allowed, qt.Equals, 25)
}

func TestTheSlackHoldsWithoutRequests(t *testing.T) {
	c := qt.New(t)
	b := &Limiter{Window: 10 * time.Second, Ratio: 0.2}
	c.Check(b.AllowRetry(begin(), 2), qt.IsTrue)
	c.Check(b.AllowRetry(begin(), 2), qt.IsTrue)
	c.Check(b.AllowRetry(begin(), 2), qt.IsFalse)
	c.Check(b.AllowRetry(begin().Add(5*time.Second), 2), qt.IsFalse)
	c.Check(b.AllowRetry(begin().Add(12*time.Second), 2), qt.IsTrue)
}

// In no window, wherever it begins, may there be more repeats than the ratio of the
// requests in it or in the one before it, and the slack. Traffic comes in bursts and
// pauses, and everything is tried again.
func TestNoWindowHasTooManyRepeats(t *testing.T) {
	const window, slack, ratio = 10 * time.Second, 5.0, 0.2
	for seed := range uint64(20) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(seed, 1))
		b := &Limiter{Window: window, Ratio: ratio}
		var requests, repeats []time.Time
		now := begin()
		for range 3000 {
			now = now.Add(time.Duration(random.ExpFloat64() * float64(20*time.Millisecond)))
			if random.IntN(200) == 0 {
				now = now.Add(time.Duration(random.IntN(8000)) * time.Millisecond)
			}
			b.RecordRequest(now)
			requests = append(requests, now)
			for range random.IntN(4) {
				if b.AllowRetry(now, slack) {
					repeats = append(repeats, now)
				}
			}
		}
		for _, end := range repeats {
			from := end.Add(-window)
			count := between(repeats, from, end)
			most := max(between(requests, from, end), between(requests, from.Add(-window), from),
				between(requests, from.Add(-window/2), end.Add(-window/2)))
			c.Assert(float64(count) <= ratio*float64(most)+slack, qt.IsTrue, qt.Commentf("seed %d: %d repeats for %d requests", seed, count, most))
		}
	}
}

func between(times []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range times {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}
