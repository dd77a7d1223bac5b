package forwarder

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/framer"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

func TestResponsesPassUnchanged(t *testing.T) {
	c := qt.New(t)
	b := newBackend(c, "b1", runsAndAnswers(http.StatusOK, "the body"))
	g := call(c, startGateway(c, b), "/once/x%2Fy?q=1", "X-Own: kept", "Connection: X-Hop", "X-Hop: dropped")
	c.Check(g.status, qt.Equals, http.StatusOK)
	c.Check(g.body, qt.Equals, "the body")
	received := platform.DecodeResponse(&framer.ResponseHead{Status: g.status, Header: fields(g.header)})
	c.Check(received.Signed, qt.IsTrue)
	c.Check(received.RequestID, qt.Equals, "r1")
	sent := b.requests()[0]
	c.Check(sent.RequestURI, qt.Equals, "/once/x%2Fy?q=1")
	c.Check(sent.Method, qt.Equals, "POST")
	c.Check(sent.Header.Get("X-Own"), qt.Equals, "kept")
	c.Check(sent.Header.Get("X-Hop"), qt.Equals, "")
	dispatch := platform.DecodeDispatch(fields(sent.Header))
	c.Check(dispatch.Name, qt.Equals, "b1")
	c.Check(dispatch.Remaining > 0 && dispatch.Remaining <= clientTimeout, qt.IsTrue)
}

// How often a request may run follows from its route and from what the failure proves.
func TestFailures(t *testing.T) {
	ok := runsAndAnswers(http.StatusOK, "data: ok\n\n")
	for name, test := range map[string]struct {
		path  string
		first handler
		// status and runs are the caller's answer and the total number of runs.
		status int
		runs   int32
	}{
		"a lost answer, idempotent":         {"/safe/", runsAndBreaks(""), 200, 2},
		"a lost answer, once":               {"/once/", runsAndBreaks(""), 502, 1},
		"an interrupted answer, idempotent": {"/safe/", runsAndBreaks(signed("ID") + "Content-Length: 9\r\n\r\nhalf"), 200, 2},
		"an interrupted answer, once":       {"/once/", runsAndBreaks(signed("ID") + "Content-Length: 9\r\n\r\nhalf"), 502, 1},
		"a malformed answer, once":          {"/once/", runsAndBreaks("rubbish\r\n\r\n"), 502, 1},
		"no signature, once":                {"/once/", runsAndBreaks("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), 502, 1},
		"an encoded body, once":             {"/once/", runsAndBreaks(signed("ID") + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok"), 502, 1},
		"a failure of its own, idempotent":  {"/safe/", runsAndAnswers(500, "no"), 200, 2},
		"a failure of its own, once":        {"/once/", runsAndAnswers(500, "no"), 500, 1},
		"full, once":                        {"/once/", refuses(503), 200, 1},
		"another incarnation, once":         {"/once/", refuses(421), 200, 1},
		"a lost stream":                     {"/stream/", runsAndBreaks(""), 502, 1},
		"a lost stream that resumes":        {"/resumable/", runsAndBreaks(""), 200, 2},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			// Both fail their first request, so that it does not matter which one gets it.
			var calls atomic.Int32
			either := func(b *fakeBackend, req *http.Request, conn net.Conn) bool {
				if calls.Add(1) == 1 {
					return test.first(b, req, conn)
				}
				return ok(b, req, conn)
			}
			b1, b2 := newBackend(c, "b1", either), newBackend(c, "b2", either)
			g := call(c, startGateway(c, b1, b2), test.path)
			c.Check(g.status, qt.Equals, test.status)
			c.Check(b1.runs.Load()+b2.runs.Load(), qt.Equals, test.runs)
			if g.status == http.StatusOK {
				c.Check(g.body, qt.Equals, "data: ok\n\n")
			}
		})
	}
}

func TestRefusalsNameARetryTime(t *testing.T) {
	c := qt.New(t)
	full := newBackend(c, "b1", refuses(503))
	for name, address := range map[string]string{"no backend server": startGateway(c), "all are full": startGateway(c, full)} {
		g := call(c, address, "/once/")
		c.Check(g.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf(name))
		c.Check(platform.RetryAfter(fields(g.header)) > 0, qt.IsTrue, qt.Commentf(name))
	}
	c.Check(call(c, startGateway(c), "/none/").status, qt.Equals, http.StatusNotFound)
}

// A second answer to the previous request must not be taken for this request's.
func TestResponsesToOtherRequestsAreSkipped(t *testing.T) {
	c := qt.New(t)
	b := newBackend(c, "b1", func(b *fakeBackend, req *http.Request, conn net.Conn) bool {
		b.runs.Add(1)
		_, _ = io.WriteString(conn, signed("another")+"Content-Length: 5\r\n\r\nother")
		answer(conn, http.StatusOK, "own", platform.StandInResponse(requestID(req), b.id))
		return true
	})
	g := call(c, startGateway(c, b), "/once/")
	c.Check(g.body, qt.Equals, "own")
	c.Check(b.runs.Load(), qt.Equals, int32(1))
}

// A stopping gateway refuses new requests, and completes those it accepted.
func TestClosedForwarderRefuses(t *testing.T) {
	c := qt.New(t)
	began, release := make(chan struct{}), make(chan struct{})
	b := newBackend(c, "b1", func(b *fakeBackend, req *http.Request, conn net.Conn) bool {
		close(began)
		<-release
		answer(conn, http.StatusOK, "done", platform.StandInResponse(requestID(req), b.id))
		return true
	})
	address, f := startGatewayAndForwarder(c, b)
	taken := make(chan clientResponse, 1)
	go func() { taken <- call(c, address, "/once/") }()
	<-began
	f.Close()
	refused := call(c, address, "/once/")
	c.Check(refused.status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(platform.RetryAfter(fields(refused.header)) > 0, qt.IsTrue)
	close(release)
	c.Check((<-taken).body, qt.Equals, "done")
}

// The retries of all gateways together stay within the slack, however few gateways a new leader
// knows, and before any leader is known.
func TestRetryBudgetIsShared(t *testing.T) {
	for name, test := range map[string]struct {
		reported []uint32
		after    time.Duration
		max      int
	}{
		"nothing received":             {nil, time.Minute, 1},
		"ten gateways":                 {[]uint32{10}, time.Minute, 9},
		"a new leader knows fewer":     {[]uint32{10, 2}, time.Minute, 9},
		"some were added":              {[]uint32{10, 20}, time.Minute, 4},
		"the first leader was elected": {[]uint32{1}, time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			clock := clockwork.NewFakeClock()
			f := &Forwarder{
				Clock: clock, Log: slog.New(slog.DiscardHandler), Meter: meter.New("gateway", "test", "z"),
				Budget: RetryBudget{Window: 10 * time.Second, Ratio: 0.2, Slack: 100},
			}
			f.Init()
			f.endFirstWindow()
			for _, n := range test.reported {
				f.Apply("controller", &wire.SyncResponse{Leads: true, Gateways: n})
			}
			clock.Advance(test.after)
			allowed := 0
			for range 100 {
				if f.mayRetry(&job{service: "s"}) {
					allowed++
				}
			}
			c.Check(allowed <= test.max && allowed >= test.max-1, qt.IsTrue, qt.Commentf("%d repeats", allowed))
		})
	}
}
