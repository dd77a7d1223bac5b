package receiver

import (
	"encoding/json"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/gateway/dispatcher"
	"bronzelead.example/gateway/scheduler"
)

// TestKindsAreDocumented checks that docs/API.md lists every problem kind and header.
func TestKindsAreDocumented(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/API.md")
	c.Assert(err, qt.IsNil)
	kinds := []string{
		kindUnauthenticated, kindMalformed, kindTooLarge, kindUnknownModel, kindUnknownService, kindUnknownPath,
		kindKeyReused, kindInProgress, kindMayHaveRun, kindAnswerNotKept, kindNoKey,
		string(scheduler.QueueFull), string(scheduler.TooLate), string(scheduler.NotAllowed), string(scheduler.NoQuorum),
		string(scheduler.NoBackend), string(scheduler.Overloaded), string(scheduler.Stopping),
	}
	for _, kind := range kinds {
		c.Check(string(page), qt.Contains, kind)
	}
	for _, header := range []string{ClassHeader, DeadlineHeader, IdempotencyKeyHeader, RequestIDHeader} {
		c.Check(string(page), qt.Contains, "`"+header+"`")
	}
}

func TestProblemHasTheErrorForm(t *testing.T) {
	c := qt.New(t)
	w := httptest.NewRecorder()
	p := refused(&scheduler.Refusal{Reason: scheduler.QueueFull, RetryAfter: 1500 * time.Millisecond})
	p.write(w, "entry-1-7")
	c.Assert(w.Code, qt.Equals, 429)
	c.Assert(w.Header().Get("Retry-After"), qt.Equals, "2")
	body := problemBody{}
	c.Assert(json.Unmarshal(w.Body.Bytes(), &body), qt.IsNil)
	c.Assert(body.Error.Ran, qt.Equals, dispatcher.RanNo)
	c.Assert(body.Error.RequestID, qt.Equals, "entry-1-7")
	c.Assert(body.Error.Code, qt.Equals, "QueueFull")
}

func TestParseDeadline(t *testing.T) {
	cases := map[string]struct {
		text string
		want time.Duration
		ok   bool
	}{
		"a duration":         {text: "1500ms", want: 1500 * time.Millisecond, ok: true},
		"seconds":            {text: "2.5", want: 2500 * time.Millisecond, ok: true},
		"nothing left":       {text: "0", ok: true},
		"a negative one":     {text: "-1s"},
		"negative seconds":   {text: "-1"},
		"words":              {text: "soon"},
		"too large a number": {text: "1e300"},
		"not a number":       {text: "NaN"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			got, ok := parseDeadline(tc.text)
			c.Assert(ok, qt.Equals, tc.ok)
			c.Assert(got, qt.Equals, tc.want)
		})
	}
}
