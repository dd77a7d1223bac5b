package forwarder

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

func TestClassifyStream(t *testing.T) {
	const ms = time.Millisecond
	route := &wire.Route{ObjectiveMs: 1000, PauseObjectiveMs: 300}
	for name, test := range map[string]struct {
		// waited is the time before it was sent, and events are the times when events were
		// relayed.
		waited         time.Duration
		adapterMissing bool
		resumed        bool
		events         []time.Duration
		want           streamOutcome
	}{
		"on time":                 {10 * ms, false, false, []time.Duration{900 * ms, 1200 * ms, 1400 * ms}, streamOnTime},
		"no events":               {10 * ms, false, false, nil, streamOnTime},
		"a pause":                 {10 * ms, false, false, []time.Duration{200 * ms, 501 * ms}, streamLongPause},
		"a pause by a resumption": {10 * ms, false, true, []time.Duration{200 * ms, 900 * ms}, streamResumedLate},
		"late at the server":      {400 * ms, false, false, []time.Duration{1001 * ms}, streamSlowFirstEvent},
		"late by waiting":         {700 * ms, false, false, []time.Duration{1001 * ms}, streamWaitedForSlot},
		"late by a load":          {700 * ms, true, false, []time.Duration{1001 * ms}, streamWaitedForAdapter},
		"late, and a pause later": {700 * ms, true, true, []time.Duration{1001 * ms, 1900 * ms}, streamWaitedForAdapter},
	} {
		t.Run(name, func(t *testing.T) {
			received := time.Unix(1000, 0)
			progress := streamProgress{adapterMissing: test.adapterMissing, resumed: test.resumed}
			for _, at := range test.events {
				progress.observeEvents(received.Add(at))
			}
			qt.New(t).Check(progress.classify(route, received, test.waited), qt.Equals, test.want)
		})
	}
}
