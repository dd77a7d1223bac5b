package pacer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// endStreams ends a hundred streams within a second, of which every oneOf-th had a long pause;
// none if oneOf is 0.
func endStreams(a *Activation, now time.Time, oneOf int) time.Time {
	for i := range 100 {
		a.ObserveStream(now.Add(time.Duration(i)*10*time.Millisecond), oneOf > 0 && i%oneOf == 0)
	}
	return now.Add(time.Second)
}

func TestPromptsArePacedOnceStreamsPause(t *testing.T) {
	for name, test := range map[string]struct {
		oneOf int
		want  bool
	}{
		"no pauses":          {0, false},
		"one of a hundred":   {100, false},
		"one of three":       {3, true},
		"one of seven":       {7, true},
		"one of twenty-five": {25, false},
	} {
		t.Run(name, func(t *testing.T) {
			var a Activation
			now := begin()
			for range 5 {
				now = endStreams(&a, now, test.oneOf)
			}
			qt.New(t).Check(a.Active(now), qt.Equals, test.want)
		})
	}
}

// Paced streams do not pause, which does not show whether they would without pacing. So pacing
// ends after a while, and lasts longer each time that long pauses recur at once.
func TestPacingEndsAndResumes(t *testing.T) {
	c := qt.New(t)
	var a Activation
	now := begin()
	for _, activeTime := range []time.Duration{minActiveTime, 2 * minActiveTime, 4 * minActiveTime} {
		for !a.Active(now) {
			now = endStreams(&a, now, 3)
		}
		lasted := 0 * time.Second
		for a.Active(now) {
			now = endStreams(&a, now, 0)
			lasted += time.Second
		}
		c.Check(lasted <= activeTime+time.Second && lasted >= activeTime-2*time.Second, qt.IsTrue, qt.Commentf("%v", lasted))
	}
	now = now.Add(time.Hour)
	for !a.Active(now) {
		now = endStreams(&a, now, 3)
	}
	c.Check(a.activeTime <= maxActiveTime, qt.IsTrue)
}

// A gateway that has just started paces if more than one other gateway has observed long
// pauses, and stops when they do.
func TestPeerReportsActivatePacing(t *testing.T) {
	for name, test := range map[string]struct {
		gateways []string
		after    time.Duration
		want     bool
	}{
		"nobody":             {nil, 0, false},
		"one":                {[]string{"a", "a", "a"}, 0, false},
		"two":                {[]string{"a", "b"}, 0, true},
		"two, some time ago": {[]string{"a", "b"}, 4 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var a Activation
			for _, gateway := range test.gateways {
				a.ObservePeer(begin(), gateway)
			}
			c.Check(a.Active(begin().Add(test.after)), qt.Equals, test.want)
			c.Check(a.PausesObserved(begin().Add(test.after)), qt.IsFalse)
		})
	}
}
