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

func ask(key string, tokens int, change ...func(*GrantRequest)) GrantRequest {
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

func keys(asks []GrantRequest) []string {
	list := []string{}
	for _, a := range asks {
		list = append(list, a.Key)
	}
	return list
}

// The pace is not known yet, so that 10 tokens are read in a ms and 2,400 may be unread.
func TestGrants(t *testing.T) {
	for name, test := range map[string]struct {
		asks []GrantRequest
		want []string
	}{
		"what fits":                  {[]GrantRequest{ask("a", 1000), ask("b", 1400)}, []string{"a", "b"}},
		"not what doesn't":           {[]GrantRequest{ask("a", 1000), ask("b", 1401)}, []string{"a"}},
		"a large one, alone":         {[]GrantRequest{ask("a", 9000), ask("b", 1)}, []string{"a"}},
		"nothing overtakes the next": {[]GrantRequest{ask("a", 1000), ask("b", 9000), ask("c", 1)}, []string{"a"}},
		"urgent ones first":          {[]GrantRequest{ask("a", 1500, urgency(1)), ask("b", 1500)}, []string{"b"}},
		"who came first":             {[]GrantRequest{ask("a", 1500, received(2*ms)), ask("b", 1500, received(ms))}, []string{"b"}},
		"late ones last":             {[]GrantRequest{ask("a", 1500, late), ask("b", 1500, urgency(3))}, []string{"b"}},
		"late ones in the end":       {[]GrantRequest{ask("a", 1500, late)}, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			var p Pacer
			for _, a := range test.asks {
				p.Add(a)
			}
			qt.New(t).Check(keys(p.Next(begin())), qt.DeepEquals, test.want)
		})
	}
}

func TestWhatMakesRoom(t *testing.T) {
	for name, happens := range map[string]func(*Pacer) time.Time{
		"its first event":        func(p *Pacer) time.Time { p.Read(begin(), "a"); return p.LookAt() },
		"its end without one":    func(p *Pacer) time.Time { p.Drop("a"); return begin() },
		"no word of it for long": func(*Pacer) time.Time { return begin().Add(time.Second) },
		"(not before streams have had an event)": func(p *Pacer) time.Time {
			p.Read(begin(), "a")
			return p.LookAt().Add(-ms)
		},
		"(not another's)":            func(p *Pacer) time.Time { p.Read(begin(), "x"); p.Drop("y"); return begin() },
		"(not a word of it waiting)": func(p *Pacer) time.Time { p.Read(begin(), "b"); return begin() },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var p Pacer
			p.Add(ask("a", 2000))
			p.Add(ask("b", 2000))
			c.Assert(keys(p.Next(begin())), qt.DeepEquals, []string{"a"})
			now := happens(&p)
			want := []string{"b"}
			if name[0] == '(' {
				want = []string{}
			}
			c.Check(keys(p.Next(now)), qt.DeepEquals, want)
		})
	}
}

func TestWithdrawnAsksAreNotGranted(t *testing.T) {
	c := qt.New(t)
	var p Pacer
	p.Add(ask("a", 10))
	c.Check(p.Withdraw("a"), qt.IsTrue)
	c.Check(p.Withdraw("a"), qt.IsFalse)
	c.Check(p.Next(begin()), qt.HasLen, 0)
	c.Check(p.Idle(), qt.IsTrue)
}

// engine works in steps: each reads what is queued of prompts, up to a bound, and makes a
// token for all that run. It notes the longest time of three steps, which is the pause of a
// stream whose events hold three tokens.
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

// step returns how long the next step takes, and the prompts that are read with it.
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

// A load like that of streams with prompts of 1,460 tokens on the mean, large ones among
// them, for which an engine reads 40% of the time. Sent as they come, prompts meet and hold
// up all streams beyond 300 ms. Paced, they don't, and wait little.
func TestPromptsDoNotMeet(t *testing.T) {
	for name, test := range map[string]struct {
		paced bool
		check func(c *qt.C, longest, wait time.Duration)
	}{
		"sent as they come": {false, func(c *qt.C, longest, _ time.Duration) {
			c.Check(longest > 500*ms, qt.IsTrue, qt.Commentf("%v", longest))
		}},
		"paced": {true, func(c *qt.C, longest, wait time.Duration) {
			c.Check(longest < 310*ms, qt.IsTrue, qt.Commentf("a pause of %v", longest))
			c.Check(wait < 150*ms, qt.IsTrue, qt.Commentf("waits %v on the mean", wait))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			longest, wait := play(test.paced)
			test.check(qt.New(t), longest, wait)
		})
	}
}

// play sends a minute of prompts to an engine, and returns the longest pause of a stream
// there and the mean wait. First events come with the step that reads the prompt.
func play(paced bool) (longest, wait time.Duration) {
	const perSecond = 5.3
	random := rand.New(rand.NewPCG(1, 2))
	var p Pacer
	var e engine
	var readBefore []string
	next, count := begin(), 0
	for now := begin(); now.Before(begin().Add(time.Minute)); {
		for !next.After(now) {
			size := min(350+int(1110*random.ExpFloat64()), 4140)
			p.Add(ask(fmt.Sprint(count), size, func(a *GrantRequest) { a.ReceivedAt = next }))
			count++
			next = next.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		}
		for _, key := range readBefore {
			p.Read(now, key)
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

// The pace is learnt from first events, also when it changes, and whatever time each takes
// for the way.
func TestPaceIsLearnt(t *testing.T) {
	const way = 30 * ms
	for name, test := range map[string]struct {
		sizes []int
		// perSecond are the paces in their order, each for a hundred prompts.
		perSecond []float64
		least     float64
		most      float64
	}{
		"many sizes":          {[]int{300, 1500, 700, 4000, 2200}, []float64{20000}, 17500, 20000},
		"it slows down":       {[]int{300, 1500, 700, 4000, 2200}, []float64{20000, 5000}, 4700, 5500},
		"one size, too low":   {[]int{2000}, []float64{20000}, 14000, 20000},
		"small, not too high": {[]int{50, 60, 300}, []float64{20000}, 1000, 20000},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var p pace
			c.Check(math.Round(p.perSecond()), qt.Equals, float64(firstPace))
			for _, perSecond := range test.perSecond {
				for i := range 100 {
					tokens := test.sizes[i%len(test.sizes)]
					p.note(tokens, way+time.Duration(float64(tokens)/perSecond*float64(time.Second)))
				}
			}
			learnt := p.perSecond()
			c.Check(learnt >= test.least && learnt <= test.most, qt.IsTrue, qt.Commentf("%v", learnt))
			p.note(0, time.Second)
			p.note(2000, 0)
			c.Check(p.perSecond(), qt.Equals, learnt)
			c.Check(p.time(int(learnt)).Round(10*ms), qt.Equals, time.Second)
		})
	}
}

// After the loss of everything callers send their prompts again, and engines have kept them:
// their first events come at once, which says nothing of the pace.
func TestKeptPromptsDoNotLookLikeAFastEngine(t *testing.T) {
	c := qt.New(t)
	var p pace
	for _, tokens := range []int{1500, 2600, 900, 4000} {
		p.note(tokens, 30*ms)
	}
	c.Check(p.perSecond() < 22000, qt.IsTrue, qt.Commentf("%v", p.perSecond()))
	for range 50 {
		p.note(1500, 105*ms)
		p.note(3000, 184*ms)
	}
	c.Check(p.perSecond() > 14000 && p.perSecond() < 20000, qt.IsTrue, qt.Commentf("%v", p.perSecond()))
}
