package receiver

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/gateway/dispatcher"
	"bronzelead.example/gateway/scheduler"
	"bronzelead.example/pkg/wire"
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

// A service's 503 was kept for the key of a request that had run, and sent to each repeat as the promise that it had not.
func TestKeptAnswerDoesNotPromiseNotRun(t *testing.T) {
	for status, want := range map[int]int{
		http.StatusOK: http.StatusOK, http.StatusBadRequest: http.StatusBadRequest, http.StatusInternalServerError: http.StatusInternalServerError,
		http.StatusServiceUnavailable: http.StatusConflict, http.StatusTooManyRequests: http.StatusConflict,
		http.StatusRequestTimeout: http.StatusConflict, http.StatusMisdirectedRequest: http.StatusConflict,
	} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			w := httptest.NewRecorder()
			if p := claimOutcome(&wire.Outcome{Status: int32(status)}).respond(w, "r"); p != nil {
				p.write(w, "r")
			}
			qt.New(t).Check(w.Code, qt.Equals, want)
		})
	}
}

// The caller of a service that answers 503 without proof hears that the request may have run, and when to come back.
func TestUnprovedServiceRefusalIsReportedAsUnknown(t *testing.T) {
	c := qt.New(t)
	p := unproved(&dispatcher.ServiceResponse{
		Ran: dispatcher.RanUnknown, Status: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {"7"}},
	})
	w := httptest.NewRecorder()
	p.write(w, "r")
	c.Check(w.Code, qt.Equals, http.StatusBadGateway)
	c.Check(p.Ran, qt.Equals, dispatcher.RanUnknown)
	c.Check(p.Kind, qt.Equals, kindMayHaveRun)
	c.Check(w.Header().Get("Retry-After"), qt.Equals, "7")
}
