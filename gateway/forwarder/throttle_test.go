package forwarder

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/framer"
	"bronzelead.example/pkg/throttler"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// respondWithLimit runs requests and announces a limit in its answers.
func respondWithLimit(status int, field framer.Field) handler {
	return func(b *fakeBackend, req *http.Request, conn net.Conn) bool {
		b.runs.Add(1)
		answer(conn, status, "x", append(platform.StandInResponse(requestID(req), b.id), field))
		return true
	}
}

// A backend server that currently accepts no requests gets none while another one can serve
// them, whatever kind of answer announced the limit.
func TestRequestsUseOtherBackendWithoutGrant(t *testing.T) {
	for name, handle := range map[string]handler{
		"an answer":            respondWithLimit(200, platform.StandInRequestLimit(0)),
		"a failure of its own": respondWithLimit(500, platform.StandInRequestLimit(0)),
		"a refusal": func(_ *fakeBackend, req *http.Request, conn net.Conn) bool {
			answer(conn, 503, "", append(platform.StandInRefusal(requestID(req)), platform.StandInRequestLimit(0)))
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			limited, other := newBackend(c, "limited", handle), newBackend(c, "other", runsAndAnswers(200, "y"))
			address, f := startGatewayAndForwarder(c, limited, other)
			eventually(c, func() bool {
				call(c, address, "/safe/")
				return f.Granter.Limited("limited")
			})
			before := len(limited.requests())
			for range 20 {
				res := call(c, address, "/once/")
				c.Check(res.status, qt.Equals, 200)
				c.Check(res.body, qt.Equals, "y")
			}
			c.Check(len(limited.requests()), qt.Equals, before)
		})
	}
}

// Where no other backend server can serve it, a request is refused at once with a retry time.
func TestRequestsBeyondTheLimitOfAllAreRefused(t *testing.T) {
	c := qt.New(t)
	b := newBackend(c, "b", respondWithLimit(200, platform.StandInRequestLimit(0)))
	address, f := startGatewayAndForwarder(c, b)
	f.Granter.Self = "self"
	f.Granter.Ranked = func(string) (owner, deputy string) { return "self", "" }
	c.Assert(call(c, address, "/once/").status, qt.Equals, 200)
	c.Assert(f.Granter.Limited("b"), qt.IsTrue)
	// The next request is granted after two seconds.
	res := callFor(c, 500*time.Millisecond, address, "/once/")
	c.Check(res.status, qt.Equals, 503)
	c.Check(platform.RetryAfter(fields(res.header)) > 0, qt.IsTrue)
	c.Check(len(b.requests()), qt.Equals, 1)
}

// An unreadable limit changes nothing, nor does an answer of another incarnation.
func TestWhichAnswersNameALimit(t *testing.T) {
	for name, test := range map[string]struct {
		status int
		answer platform.Response
		want   throttler.Limit
	}{
		"signed, another value":  {200, platform.Response{Signed: true, RequestLimit: throttler.LimitOf(7)}, throttler.LimitOf(7)},
		"signed, none":           {200, platform.Response{Signed: true}, throttler.Limit{}},
		"signed, unreadable":     {200, platform.Response{Signed: true, LimitFault: "NotDecimal"}, throttler.LimitOf(5)},
		"a refusal with one":     {503, platform.Response{NotRun: true, RequestLimit: throttler.LimitOf(7)}, throttler.LimitOf(7)},
		"a refusal without":      {503, platform.Response{NotRun: true}, throttler.LimitOf(5)},
		"of another incarnation": {421, platform.Response{NotRun: true, RequestLimit: throttler.LimitOf(7)}, throttler.LimitOf(5)},
		"not signed":             {200, platform.Response{RequestLimit: throttler.LimitOf(7)}, throttler.LimitOf(5)},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, f := startGatewayAndForwarder(c)
			f.Granter.Observe("b", throttler.LimitOf(5), "r", 0)
			f.observeLimit(&job{lastBackend: &wire.Announcement{Id: "b"}}, test.status, test.answer)
			status, _ := f.Granter.Status("b")
			c.Check(status.Limit, qt.Equals, test.want)
		})
	}
}
