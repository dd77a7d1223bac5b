package forwarder

import (
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/platform"
)

const (
	eventOne = "id: 1\ndata: a\n\n"
	eventTwo = "id: 2\ndata: b\n\n"
)

// newVersionedBackend starts a backend server of a software version. It breaks off new streams after
// their first event, and ends those that it resumes.
func newVersionedBackend(c *qt.C, id, version string) *fakeBackend {
	b := newBackend(c, id, func(b *fakeBackend, req *http.Request, conn net.Conn) bool {
		written := streamHead() + chunk(eventOne)
		if platform.DecodeDispatch(fields(req.Header)).ResumeAfter != "" {
			written = streamHead() + chunk(eventTwo) + "0\r\n\r\n"
		}
		return runsAndBreaks(written)(b, req, conn)
	})
	b.version = version
	return b
}

// The log tells the ways in which streams go on apart, and at which versions.
func TestResumedStreamsAreLogged(t *testing.T) {
	c := qt.New(t)
	var out lockedBuffer
	address, f := newLoggingGateway(c, clockwork.NewRealClock(), &out)
	f.Apply("controller", firstTable(newVersionedBackend(c, "b1", "v1"), newVersionedBackend(c, "b2", "v1")))
	f.endGatewayCountDelay()
	c.Check(call(c, address, "/resumable/").complete, qt.IsTrue)
	c.Check(out.count("How=InAnswer Version=Same"), qt.Equals, 1)
	f.logResumptions()
	c.Check(out.count("InAnswer=map[Same:1]"), qt.Equals, 1)
}
