package receiver

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/gateway/dispatcher"
	"bronzelead.example/gateway/scheduler"
	"bronzelead.example/platform"
)

// A refusal whose "not run" could not be verified for the request's key kept its status, which promises the same.
func TestUnknownOutcomeHasNoStatusThatPromisesNotRun(t *testing.T) {
	for _, reason := range []scheduler.Reason{
		scheduler.QueueFull, scheduler.TooLate, scheduler.NotAllowed, scheduler.NoQuorum, scheduler.NoBackend,
		scheduler.Overloaded, scheduler.Stopping, scheduler.CallerGone,
	} {
		t.Run(string(reason), func(t *testing.T) {
			c := qt.New(t)
			p := markRanUnknown(refused(&scheduler.Refusal{Reason: reason}))
			c.Check(p.Ran, qt.Equals, dispatcher.RanUnknown)
			c.Check(platform.PromisesNotRun(p.Status), qt.IsFalse, qt.Commentf("%d", p.Status))
			c.Check(p.Kind, qt.Equals, string(reason))
		})
	}
}
