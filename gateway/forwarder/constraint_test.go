package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/balancer"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// rejectsFor rejects all requests and asks for a backoff.
func rejectsFor(backoff time.Duration) handler {
	return func(_ *fakeBackend, req *http.Request, conn net.Conn) bool {
		answer(conn, 503, "", append(platform.StandInRefusal(requestID(req)), platform.StandInBackoff(backoff)))
		return true
	}
}

// A backend server that rejects requests until a later time was tried again every 100 ms.
func TestBackendGetsNoRequestsDuringBackoff(t *testing.T) {
	const backoff, step = 3 * time.Second, 50 * time.Millisecond
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	busy, other := newBackend(c, "busy", rejectsFor(backoff)), newBackend(c, "other", runsAndAnswers(200, "y"))
	address, f := newGateway(c, clock)
	f.Apply("controller", firstTable(busy, other))
	for len(busy.requests()) == 0 {
		c.Assert(call(c, address, "/safe/").status, qt.Equals, 200)
	}
	for range backoff/step - 1 {
		clock.Advance(step)
		c.Check(call(c, address, "/safe/").status, qt.Equals, 200)
	}
	c.Check(len(busy.requests()), qt.Equals, 1)
	clock.Advance(backoff)
	for len(busy.requests()) == 1 {
		c.Assert(call(c, address, "/safe/").status, qt.Equals, 200)
	}
}

// A rejected request was sent to the only backend server that could run it three more times.
func TestRejectedRequestIsNotRetriedDuringBackoff(t *testing.T) {
	c := qt.New(t)
	busy := newBackend(c, "busy", rejectsFor(time.Minute))
	address, _ := startGatewayAndForwarder(c, busy)
	for range 3 {
		res := call(c, address, "/once/")
		c.Check(res.status, qt.Equals, 503)
		retryAfter := platform.RetryAfter(fields(res.header))
		c.Check(retryAfter > clientTimeout && retryAfter <= time.Minute, qt.IsTrue, qt.Commentf("%v", retryAfter))
	}
	c.Check(len(busy.requests()), qt.Equals, 1)
}

// Only answers that are certainly the backend server's, and of the incarnation that was asked,
// constrain it.
func TestWhichAnswersConstrainABackend(t *testing.T) {
	const minute = time.Minute
	for name, test := range map[string]struct {
		status int
		answer platform.Response
		want   balancer.Constraint
	}{
		"a rejection":                     {503, platform.Response{NotRun: true, Backoff: minute}, balancer.BackingOff},
		"too many":                        {429, platform.Response{NotRun: true, Backoff: minute}, balancer.BackingOff},
		"a failure of its own":            {503, platform.Response{Signed: true, Backoff: minute}, balancer.BackingOff},
		"a rejection without a time":      {503, platform.Response{NotRun: true}, balancer.Unconstrained},
		"an unreadable time":              {503, platform.Response{NotRun: true, BackoffFault: "NotDecimal"}, balancer.Unconstrained},
		"of another incarnation":          {421, platform.Response{NotRun: true, Backoff: minute, Leaving: true}, balancer.Unconstrained},
		"not the backend server's":        {503, platform.Response{Backoff: minute, Leaving: true}, balancer.Unconstrained},
		"it leaves":                       {200, platform.Response{Signed: true, Leaving: true}, balancer.Leaving},
		"a rejection of one that leaves":  {503, platform.Response{NotRun: true, Backoff: minute, Leaving: true}, balancer.BackingOff},
		"a failure of one that leaves":    {500, platform.Response{Signed: true, Leaving: true}, balancer.Leaving},
		"an answer to an earlier attempt": {200, platform.Response{Signed: true}, balancer.Unconstrained},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newBackend(c, "b", refuses(503))
			_, f := startGatewayAndForwarder(c, b)
			f.observeConstraints(&job{lastBackend: b.announcement()}, test.status, test.answer)
			c.Check(f.permitSend(&job{}, "b"), qt.Equals, test.want != balancer.BackingOff)
			f.mu.Lock()
			defer f.mu.Unlock()
			got, _, _ := f.balancer.ConstraintOf(f.Clock.Now(), "b")
			c.Check(got, qt.Equals, test.want)
		})
	}
}

// A stream's head said that its backend server was leaving, and new requests still went there
// until the stream had ended.
func TestLeavingIsObservedAtTheHeadOfAStream(t *testing.T) {
	c := qt.New(t)
	finish := make(chan struct{})
	leaving := newBackend(c, "leaving", func(b *fakeBackend, req *http.Request, conn net.Conn) bool {
		b.runs.Add(1)
		head := append(platform.StandInResponse(requestID(req), b.id), platform.StandInLeaving())
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"+lines(head)+"\r\nid: 1\ndata: x\n\n")
		<-finish
		return false
	})
	address, f := startGatewayAndForwarder(c, leaving)
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /stream/ HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"+lines(platform.StandInRequest("r1", clientTimeout))+"\r\n")
	c.Assert(err, qt.IsNil)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	defer func() { _ = res.Body.Close() }()
	defer close(finish)
	c.Check(res.StatusCode, qt.Equals, 200)
	c.Check(fields(res.Header).Has(platform.StandInLeaving().Name), qt.IsFalse)

	other := newBackend(c, "other", runsAndAnswers(200, "y"))
	f.Apply("controller", &wire.SyncResponse{
		Announcements: []*wire.Announcement{other.announcement()},
		// It would be the second choice.
		HasLoads: true, Loads: []*wire.Load{{Backend: "other", Requests: 3}},
	})
	for range 20 {
		c.Check(call(c, address, "/safe/").body, qt.Equals, "y")
	}
	c.Check(leaving.runs.Load(), qt.Equals, int32(1))
}
