package stalldetector

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSentSince(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	for name, test := range map[string]struct {
		ticks  []int
		readAt int
		want   int
	}{
		"no call yet":                              {nil, 50, 50},
		"calls in time":                            {[]int{0, 20, 40}, 50, 50},
		"a call is late by less than a stall":      {[]int{0, 20, 200}, 210, 210},
		"read before the first call after a stall": {[]int{0, 20}, 4020, 20},
		"read soon after a stall":                  {[]int{0, 20, 4020}, 4100, 20},
		"read before a stall":                      {[]int{0, 20, 4020}, 15, 15},
		"all of a stall was read":                  {[]int{0, 20, 4020, 4200, 4400}, 4520, 4520},
		"a second stall":                           {[]int{0, 4000, 4020, 8020}, 8030, 4020},
	} {
		t.Run(name, func(t *testing.T) {
			d := &Detector{Threshold: 200 * time.Millisecond}
			for _, tick := range test.ticks {
				d.Tick(at(tick))
			}
			qt.New(t).Check(d.SentSince(at(test.readAt)), qt.Equals, at(test.want))
		})
	}
}
