package pacer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const ms = time.Millisecond

func begin() time.Time { return time.Unix(1000, 0) }

func request(key string, tokens int, change ...func(*GrantRequest)) GrantRequest {
	a := GrantRequest{Key: key, Tokens: tokens, ReceivedAt: begin(), OnTimeUntil: begin().Add(time.Second), MaxPause: 300 * ms}
	for _, c := range change {
		c(&a)
	}
	return a
}

func urgency(u uint32) func(*GrantRequest) { return func(a *GrantRequest) { a.Urgency = u } }
func received(after time.Duration) func(*GrantRequest) {
	return func(a *GrantRequest) { a.ReceivedAt = begin().Add(after) }
}
func late(a *GrantRequest) { a.OnTimeUntil = begin().Add(-ms) }

func keys(requests []GrantRequest) []string {
	list := []string{}
	for _, a := range requests {
		list = append(list, a.Key)
	}
	return list
}

// At the initial rate 10 tokens are read per ms and 2,400 may be unread.
func TestGrants(t *testing.T) {
	for name, test := range map[string]struct {
		requests []GrantRequest
		want     []string
	}{
		"what fits":                  {[]GrantRequest{request("a", 1000), request("b", 1400)}, []string{"a", "b"}},
		"not what doesn't":           {[]GrantRequest{request("a", 1000), request("b", 1401)}, []string{"a"}},
		"a large one, alone":         {[]GrantRequest{request("a", 9000), request("b", 1)}, []string{"a"}},
		"nothing overtakes the next": {[]GrantRequest{request("a", 1000), request("b", 9000), request("c", 1)}, []string{"a"}},
		"urgent ones first":          {[]GrantRequest{request("a", 1500, urgency(1)), request("b", 1500)}, []string{"b"}},
		"the first received one":     {[]GrantRequest{request("a", 1500, received(2*ms)), request("b", 1500, received(ms))}, []string{"b"}},
		"late ones last":             {[]GrantRequest{request("a", 1500, late), request("b", 1500, urgency(3))}, []string{"b"}},
		"late ones in the end":       {[]GrantRequest{request("a", 1500, late)}, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			var p Pacer
			for _, a := range test.requests {
				p.Add(a)
			}
			qt.New(t).Check(keys(p.Next(begin())), qt.DeepEquals, test.want)
		})
	}
}

func TestWhatMakesRoom(t *testing.T) {
	for name, event := range map[string]func(*Pacer) time.Time{
		"its first event":          func(p *Pacer) time.Time { p.MarkRead(begin(), "a"); return p.NextCheck() },
		"its end without one":      func(p *Pacer) time.Time { p.Drop("a"); return begin() },
		"no report of it for long": func(*Pacer) time.Time { return begin().Add(time.Second) },
		"(not before streams have had an event)": func(p *Pacer) time.Time {
			p.MarkRead(begin(), "a")
			return p.NextCheck().Add(-ms)
		},
		"(not another's)":                 func(p *Pacer) time.Time { p.MarkRead(begin(), "x"); p.Drop("y"); return begin() },
		"(not a report of a waiting one)": func(p *Pacer) time.Time { p.MarkRead(begin(), "b"); return begin() },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var p Pacer
			p.Add(request("a", 2000))
			p.Add(request("b", 2000))
			c.Assert(keys(p.Next(begin())), qt.DeepEquals, []string{"a"})
			now := event(&p)
			want := []string{"b"}
			if name[0] == '(' {
				want = []string{}
			}
			c.Check(keys(p.Next(now)), qt.DeepEquals, want)
		})
	}
}

func TestWithdrawnRequestsAreNotGranted(t *testing.T) {
	c := qt.New(t)
	var p Pacer
	p.Add(request("a", 10))
	c.Check(p.Withdraw("a"), qt.IsTrue)
	c.Check(p.Withdraw("a"), qt.IsFalse)
	c.Check(p.Next(begin()), qt.HasLen, 0)
	c.Check(p.Idle(), qt.IsTrue)
}

// engine works in steps: each reads queued prompts up to a bound, and makes a token for all
// running streams. It records the longest time of three steps, which is the pause of a stream
// whose events hold three tokens.
type engine struct {
	queue   []GrantRequest
	left    int
	steps   [3]time.Duration
	longest time.Duration
}

const (
	tokensPerMs   = 19
	tokensPerStep = 4096
	stepTime      = 9 * ms
)

// step returns how long the next step takes, and the prompts that are read in it.
func (e *engine) step() (took time.Duration, read []string) {
	room := tokensPerStep
	for len(e.queue) > 0 && room > 0 {
		part := min(room, e.left)
		room -= part
		e.left -= part
		if e.left > 0 {
			break
		}
		read = append(read, e.queue[0].Key)
		e.queue = e.queue[1:]
		e.begin()
	}
	took = stepTime + time.Duration(tokensPerStep-room)*ms/tokensPerMs
	e.steps = [3]time.Duration{e.steps[1], e.steps[2], took}
	e.longest = max(e.longest, e.steps[0]+e.steps[1]+e.steps[2])
	return took, read
}

func (e *engine) begin() {
	if len(e.queue) > 0 {
		e.left = e.queue[0].Tokens
	}
}

func (e *engine) take(a GrantRequest) {
	e.queue = append(e.queue, a)
	if len(e.queue) == 1 {
		e.begin()
	}
}

// At a load of prompts of 1,460 tokens on average, some of them large, an engine reads for 40%
// of the time. Sent at once, prompts coincide and delay all streams for more than 300 ms. With
// pacing they don't, and wait little.
func TestPacedPromptsDoNotCoincide(t *testing.T) {
	for name, test := range map[string]struct {
		paced bool
		check func(c *qt.C, longest, wait time.Duration)
	}{
		"sent at once": {false, func(c *qt.C, longest, _ time.Duration) {
			c.Check(longest > 500*ms, qt.IsTrue, qt.Commentf("%v", longest))
		}},
		"paced": {true, func(c *qt.C, longest, wait time.Duration) {
			c.Check(longest < 310*ms, qt.IsTrue, qt.Commentf("a pause of %v", longest))
			c.Check(wait < 150*ms, qt.IsTrue, qt.Commentf("waits %v on the mean", wait))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			longest, wait := simulate(test.paced)
			test.check(qt.New(t), longest, wait)
		})
	}
}

// simulate sends a minute of prompts to an engine, and returns the longest pause of a stream
// there and the mean wait. First events follow the step that reads the prompt.
func simulate(paced bool) (longest, wait time.Duration) {
	const perSecond = 5.3
	random := rand.New(rand.NewPCG(1, 2))
	var p Pacer
	var e engine
	var readBefore []string
	next, count := begin(), 0
	for now := begin(); now.Before(begin().Add(time.Minute)); {
		for !next.After(now) {
			size := min(350+int(1110*random.ExpFloat64()), 4140)
			p.Add(request(fmt.Sprint(count), size, func(a *GrantRequest) { a.ReceivedAt = next }))
			count++
			next = next.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		}
		for _, key := range readBefore {
			p.MarkRead(now, key)
		}
		granted := p.Next(now)
		if !paced {
			granted = append(granted, p.waiting...)
			p.waiting = nil
		}
		for _, a := range granted {
			wait += now.Sub(a.ReceivedAt)
			e.take(a)
		}
		took, read := e.step()
		readBefore = read
		now = now.Add(took)
	}
	return e.longest, wait / time.Duration(count)
}

// The rate is learnt from first events, also when it changes, and independently of the round
// trip.
func TestReadRateIsLearnt(t *testing.T) {
	const roundTrip = 30 * ms
	for name, test := range map[string]struct {
		sizes []int
		// perSecond are the successive rates, each for a hundred prompts.
		perSecond []float64
		minRate   float64
		maxRate   float64
	}{
		"many sizes":          {[]int{300, 1500, 700, 4000, 2200}, []float64{20000}, 17500, 20000},
		"it slows down":       {[]int{300, 1500, 700, 4000, 2200}, []float64{20000, 5000}, 4700, 5500},
		"one size, too low":   {[]int{2000}, []float64{20000}, 14000, 20000},
		"small, not too high": {[]int{50, 60, 300}, []float64{20000}, 1000, 20000},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var p rateEstimator
			c.Check(math.Round(p.tokensPerSecond()), qt.Equals, float64(initialRate))
			for _, perSecond := range test.perSecond {
				for i := range 100 {
					tokens := test.sizes[i%len(test.sizes)]
					p.observe(tokens, roundTrip+time.Duration(float64(tokens)/perSecond*float64(time.Second)))
				}
			}
			learnt := p.tokensPerSecond()
			c.Check(learnt >= test.minRate && learnt <= test.maxRate, qt.IsTrue, qt.Commentf("%v", learnt))
			p.observe(0, time.Second)
			p.observe(2000, 0)
			c.Check(p.tokensPerSecond(), qt.Equals, learnt)
			c.Check(p.readTime(int(learnt)).Round(10*ms), qt.Equals, time.Second)
		})
	}
}

// After all state was lost callers send their prompts again, and engines have them cached:
// their first events come at once, which does not show the rate.
func TestCachedPromptsDoNotLookLikeAFastEngine(t *testing.T) {
	c := qt.New(t)
	var p rateEstimator
	for _, tokens := range []int{1500, 2600, 900, 4000} {
		p.observe(tokens, 30*ms)
	}
	c.Check(p.tokensPerSecond() < 22000, qt.IsTrue, qt.Commentf("%v", p.tokensPerSecond()))
	for range 50 {
		p.observe(1500, 105*ms)
		p.observe(3000, 184*ms)
	}
	c.Check(p.tokensPerSecond() > 14000 && p.tokensPerSecond() < 20000, qt.IsTrue, qt.Commentf("%v", p.tokensPerSecond()))
}
