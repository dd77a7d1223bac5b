package forwarder

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

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
