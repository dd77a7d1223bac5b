package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/platform"
)

func streamHead() string {
	return signed("ID") + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func TestStreams(t *testing.T) {
	const one, two, three = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	for name, test := range map[string]struct {
		path    string
		written string
		// resumed is the event ID that the second run resumes from, "" for no second run.
		resumed  string
		body     string
		complete bool
	}{
		"whole":                       {"/stream/", streamHead() + chunk(one) + chunk(two+three) + "0\r\n\r\n", "", one + two + three, true},
		"in fragments":                {"/stream/", streamHead() + chunk(one[:4]) + chunk(one[4:]+two[:3]) + chunk(two[3:]) + "0\r\n\r\n", "", one + two, true},
		"interrupted between events":  {"/stream/", streamHead() + chunk(one), "", one, false},
		"interrupted inside an event": {"/stream/", streamHead() + chunk(one+two[:5]), "", one, false},
		"ended inside an event":       {"/stream/", streamHead() + chunk(one+two[:5]) + "0\r\n\r\n", "", one, false},
		"interrupted, then resumed":   {"/resumable/", streamHead() + chunk(one+two[:5]), "1", one + two, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var calls atomic.Int32
			either := func(b *fakeBackend, req *http.Request, conn net.Conn) bool {
				written := test.written
				if calls.Add(1) == 2 {
					c.Check(platform.DecodeDispatch(fields(req.Header)).ResumeAfter, qt.Equals, test.resumed)
					written = streamHead() + chunk(two) + "0\r\n\r\n"
				}
				return runsAndBreaks(written)(b, req, conn)
			}
			g := call(c, startGateway(c, newBackend(c, "b1", either), newBackend(c, "b2", either)), test.path)
			c.Check(g.status, qt.Equals, http.StatusOK)
			c.Check(g.body, qt.Equals, test.body)
			c.Check(g.complete, qt.Equals, test.complete)
			c.Check(calls.Load() == 2, qt.Equals, test.resumed != "")
		})
	}
}

// A caller that disconnects ends the run: the connection to the backend server is closed.
func TestClientDisconnectEndsRun(t *testing.T) {
	c := qt.New(t)
	began, ended := make(chan struct{}), make(chan struct{})
	b := newBackend(c, "b1", func(_ *fakeBackend, _ *http.Request, conn net.Conn) bool {
		close(began)
		_, _ = conn.Read(make([]byte, 1))
		close(ended)
		return false
	})
	conn, err := net.Dial("tcp", startGateway(c, b))
	c.Assert(err, qt.IsNil)
	_, err = io.WriteString(conn, "POST /once/ HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"+lines(platform.StandInRequest("r", clientTimeout))+"\r\n")
	c.Assert(err, qt.IsNil)
	<-began
	c.Assert(conn.Close(), qt.IsNil)
	<-ended
}
