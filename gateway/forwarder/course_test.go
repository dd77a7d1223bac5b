package forwarder

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

func TestVerdictsOnStreams(t *testing.T) {
	const ms = time.Millisecond
	route := &wire.Route{ObjectiveMs: 1000, PauseObjectiveMs: 300}
	for name, test := range map[string]struct {
		// waited is how long it was not sent, and events when events were passed on.
		waited  time.Duration
		lacked  bool
		resumed bool
		events  []time.Duration
		want    verdict
	}{
		"in time":                 {10 * ms, false, false, []time.Duration{900 * ms, 1200 * ms, 1400 * ms}, inTime},
		"no events":               {10 * ms, false, false, nil, inTime},
		"a pause":                 {10 * ms, false, false, []time.Duration{200 * ms, 501 * ms}, longPause},
		"a pause by another run":  {10 * ms, false, true, []time.Duration{200 * ms, 900 * ms}, resumedLate},
		"late at the server":      {400 * ms, false, false, []time.Duration{1001 * ms}, slowFirstEvent},
		"late by waiting":         {700 * ms, false, false, []time.Duration{1001 * ms}, waitedForPlace},
		"late by a load":          {700 * ms, true, false, []time.Duration{1001 * ms}, waitedForAdapter},
		"late, and a pause later": {700 * ms, true, true, []time.Duration{1001 * ms, 1900 * ms}, waitedForAdapter},
	} {
		t.Run(name, func(t *testing.T) {
			received := time.Unix(1000, 0)
			course := course{lacked: test.lacked, resumed: test.resumed}
			for _, at := range test.events {
				course.note(received.Add(at))
			}
			qt.New(t).Check(course.judge(route, received, test.waited), qt.Equals, test.want)
		})
	}
}
