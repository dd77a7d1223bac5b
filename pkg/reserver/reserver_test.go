package reserver

import (
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

func noRevocation() {}

func TestVerdicts(t *testing.T) {
	const kilobyte = 1 << 10
	type holding struct {
		size    int64
		arrived bool
		idle    time.Duration
	}
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		held        []holding
		size, grows int64
		want        verdict
		// revoked are the indices of those that are revoked.
		revoked []int
	}{
		"room":                              {nil, 0, 500 * kilobyte, granted, nil},
		"room for small ones only":          {[]holding{{size: 740 * kilobyte, arrived: true}}, 0, 100 * kilobyte, refused, nil},
		"small":                             {[]holding{{size: 740 * kilobyte, arrived: true}}, 0, 50 * kilobyte, granted, nil},
		"large, arriving":                   {[]holding{{size: 900 * kilobyte}}, 0, 200 * kilobyte, postponed, []int{0}},
		"large, arrived":                    {[]holding{{size: 900 * kilobyte, arrived: true}}, 0, 200 * kilobyte, refused, nil},
		"the largest itself":                {[]holding{{size: 700 * kilobyte}}, 600 * kilobyte, 200 * kilobyte, refused, nil},
		"the largest, others stalled":       {[]holding{{size: 300 * kilobyte, idle: time.Second}}, 600 * kilobyte, 100 * kilobyte, postponed, []int{0}},
		"a stalled one before a larger one": {[]holding{{size: 500 * kilobyte}, {size: 300 * kilobyte, idle: time.Second}}, 0, 200 * kilobyte, postponed, []int{1}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := ledger{capacity: 1000 * kilobyte, holders: map[*holder]struct{}{}}
			var held []*holder
			for _, x := range test.held {
				h := &holder{arriving: !x.arrived, progressAt: now.Add(-x.idle)}
				l.add(h)
				h.size = x.size
				l.used += x.size
				held = append(held, h)
			}
			self := &holder{arriving: true, progressAt: now, size: test.size}
			l.used += test.size
			l.add(self)
			got, victims := l.grow(now, self, test.grows)
			c.Check(got, qt.Equals, test.want)
			c.Check(len(victims), qt.Equals, len(test.revoked))
			for _, i := range test.revoked {
				c.Check(held[i].revoked, qt.IsTrue)
			}
		})
	}
}

// Whatever messages do, what is reserved stays within the capacity, and is given back exactly once.
func TestSumIsZeroAtTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &Pool{Clock: clockwork.NewFakeClock(), Capacity: 1 << 20}
		const messages = 8
		open := make([]*Reservation, messages)
		for i := range open {
			open[i] = p.Open(noRevocation)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r := open[rapid.IntRange(0, messages-1).Draw(t, "message")]
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				// Only grows that need not wait, since one goroutine plays all messages.
				n := rapid.Int64Range(0, 300<<10).Draw(t, "bytes")
				p.mu.Lock()
				p.open(r)
				if !r.holder.revoked {
					p.ledger.grow(p.Clock.Now(), &r.holder, n)
				}
				p.mu.Unlock()
			case 2:
				r.Shrink(rapid.Int64Range(0, 1<<20).Draw(t, "bytes"))
			case 3:
				r.Complete()
			case 4:
				r.Release()
				r.Release()
			}
			if used := p.Stats().Used; used < 0 || used > p.Capacity {
				t.Fatalf("%d of %d bytes are reserved", used, p.Capacity)
			}
		}
		for _, r := range open {
			r.Release()
		}
		if p.ledger.used != 0 || p.ledger.releasing != 0 || len(p.ledger.holders) != 0 {
			t.Fatalf("%+v is left", p.ledger)
		}
	})
}

// Messages that held memory and waited for more of it could have waited for each other.
func TestGrowingMessagesDoNotWaitForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p := &Pool{Clock: clockwork.NewRealClock(), Capacity: 4 << 20}
		var all sync.WaitGroup
		var mu sync.Mutex
		complete := 0
		for range 50 {
			all.Go(func() {
				r := p.Open(noRevocation)
				defer r.Release()
				_, err := r.ReadAll(&slowReader{left: 1 << 20}, Content{Length: UnknownLength, Limit: 1 << 20, TooLong: errTooLong})
				if err != nil {
					c.Check(IsRefusal(err), qt.IsTrue, qt.Commentf("%v", err))
					return
				}
				mu.Lock()
				defer mu.Unlock()
				complete++
			})
		}
		all.Wait()
		c.Check(complete > 0, qt.IsTrue)
		c.Check(p.Stats().Used, qt.Equals, int64(0))
		c.Check(p.Stats().Peak <= p.Capacity, qt.IsTrue)
	})
}

// slowReader yields bytes over time.
type slowReader struct{ left int }

func (s *slowReader) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	n := min(len(p), s.left, 4096)
	s.left -= n
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

var errTooLong = errors.New("too long")

func TestReadAll(t *testing.T) {
	const limit = 300 << 10
	for name, test := range map[string]struct {
		length   int
		capacity int64
		refused  bool
		err      error
	}{
		"empty":              {0, 1 << 20, false, nil},
		"one segment":        {100, 1 << 20, false, nil},
		"a full segment":     {firstSegmentBytes, 1 << 20, false, nil},
		"two segments":       {firstSegmentBytes + segmentBytes, 1 << 20, false, nil},
		"more":               {limit, 1 << 20, false, nil},
		"too long":           {limit + 1, 1 << 20, false, errTooLong},
		"more than there is": {limit, 128 << 10, true, nil},
	} {
		for announced, length := range map[string]int64{"announced": int64(test.length), "not announced": UnknownLength} {
			t.Run(name+"/"+announced, func(t *testing.T) {
				c := qt.New(t)
				p := &Pool{Clock: clockwork.NewRealClock(), Capacity: test.capacity}
				r := p.Open(noRevocation)
				text := strings.Repeat("0123456789abcdefghi", test.length/19+1)[:test.length]
				got, err := r.ReadAll(iotest.HalfReader(strings.NewReader(text)), Content{Length: length, Limit: limit, TooLong: errTooLong})
				switch {
				case test.refused:
					c.Check(IsRefusal(err), qt.IsTrue)
				case test.err != nil:
					c.Check(err, qt.Equals, test.err)
				default:
					c.Assert(err, qt.IsNil)
					c.Check(string(got), qt.Equals, text)
					c.Check(p.Stats().Used >= int64(test.length), qt.IsTrue)
					c.Check(p.Stats().Used <= int64(max(test.length+1, firstSegmentBytes)), qt.IsTrue)
				}
				r.Release()
				c.Check(p.Stats().Used, qt.Equals, int64(0))
			})
		}
	}
}
