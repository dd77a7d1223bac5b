package receiver

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/gateway/dispatcher"
	"bronzelead.example/gateway/scheduler"
)

// The final refusal of a request after an attempt that may have run must not claim that the
// request did not run.
func TestRefusalAfterLostAttemptReportsUnknown(t *testing.T) {
	for name, test := range map[string]struct {
		maybeRan bool
		want     dispatcher.Ran
	}{
		"no attempt may have run":  {false, dispatcher.RanNo},
		"one attempt may have run": {true, dispatcher.RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			p := refusalOrUnknown(context.Background(), test.maybeRan, refused(&scheduler.Refusal{Reason: scheduler.NoBackend}))
			qt.New(t).Check(p.Ran, qt.Equals, test.want)
		})
	}
}
