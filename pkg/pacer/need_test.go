package pacer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// streams lets a hundred streams end in a second, one of several of them with a long pause;
// none if one of 0.
func streams(n *Activation, now time.Time, oneOf int) time.Time {
	for i := range 100 {
		n.ObserveStream(now.Add(time.Duration(i)*10*time.Millisecond), oneOf > 0 && i%oneOf == 0)
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
			var n Activation
			now := begin()
			for range 5 {
				now = streams(&n, now, test.oneOf)
			}
			qt.New(t).Check(n.Active(now), qt.Equals, test.want)
		})
	}
}

// Paced streams do not pause, which says nothing of what they would do otherwise. So pacing
// ends after a while, longer each time that the pauses come back at once.
func TestPacingEndsAndComesBack(t *testing.T) {
	c := qt.New(t)
	var n Activation
	now := begin()
	for _, hold := range []time.Duration{firstHold, 2 * firstHold, 4 * firstHold} {
		for !n.Active(now) {
			now = streams(&n, now, 3)
		}
		ends := 0 * time.Second
		for n.Active(now) {
			now = streams(&n, now, 0)
			ends += time.Second
		}
		c.Check(ends <= hold+time.Second && ends >= hold-2*time.Second, qt.IsTrue, qt.Commentf("%v", ends))
	}
	now = now.Add(time.Hour)
	for !n.Active(now) {
		now = streams(&n, now, 3)
	}
	c.Check(n.hold <= longestHold, qt.IsTrue)
}

// A gateway that has just started paces as others do, if more than one has seen pauses, and
// ends with them.
func TestOthersAreBelieved(t *testing.T) {
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
			var n Activation
			for _, gateway := range test.gateways {
				n.ObservePeer(begin(), gateway)
			}
			c.Check(n.Active(begin().Add(test.after)), qt.Equals, test.want)
			c.Check(n.PausesObserved(begin().Add(test.after)), qt.IsFalse)
		})
	}
}
