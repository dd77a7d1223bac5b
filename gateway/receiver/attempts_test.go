package receiver

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/gateway/dispatcher"
	"bronzelead.example/gateway/scheduler"
)

// A request that may run again is refused at last, after a try that may have run: the answer
// must not say that it did not.
func TestARefusalAfterALostTryPromisesNothing(t *testing.T) {
	for name, test := range map[string]struct {
		unsure bool
		want   dispatcher.Ran
	}{
		"no try may have run":  {false, dispatcher.RanNo},
		"one try may have run": {true, dispatcher.RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			p := unlessRun(context.Background(), test.unsure, refused(&scheduler.Refusal{Reason: scheduler.NoBackend}))
			qt.New(t).Check(p.Ran, qt.Equals, test.want)
		})
	}
}
