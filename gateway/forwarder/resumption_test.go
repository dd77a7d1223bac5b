package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/platform"
)

// eventOf is an event of a stream that a software version wrote.
func eventOf(number int, version string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", number, version)
}

// newVersionedBackend starts a backend server of a software version. It breaks off new streams after
// their first event, and ends those that it resumes. It keeps the connection of a complete answer: a
// gateway may use that again.
func newVersionedBackend(c *qt.C, id, version string) *fakeBackend {
	b := newBackend(c, id, func(b *fakeBackend, req *http.Request, conn net.Conn) bool {
		if platform.DecodeDispatch(fields(req.Header)).ResumeAfter != "" {
			return writeResponse(streamHead()+chunk(eventOf(2, version))+"0\r\n\r\n", true)(b, req, conn)
		}
		return runsAndBreaks(streamHead()+chunk(eventOf(1, version)))(b, req, conn)
	})
	b.version = version
	return b
}

// startVersions starts a gateway with a backend server of each of the given software versions. It
// resumes streams itself, or leaves that to callers.
func startVersions(c *qt.C, resumes bool, versions ...string) string {
	var backends []*fakeBackend
	for i, version := range versions {
		backends = append(backends, newVersionedBackend(c, fmt.Sprint("b", i), version))
	}
	address, f := newGateway(c, clockwork.NewRealClock())
	state := firstTable(backends...)
	for _, r := range state.GetTable().GetRoutes() {
		if !resumes {
			r.MaxAttempts = 1
		}
	}
	f.Apply("controller", state)
	f.endGatewayCountDelay()
	return address
}

// versionedStreams is how many streams the tests send for each case: by chance alone, none of them
// goes on at another version in one of a million runs at most.
const versionedStreams = 20

// A stream that lost its backend server went on in the same answer at another software version.
func TestStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	for name, test := range map[string]struct {
		versions []string
	}{
		"another of its version":    {[]string{"v1", "v1", "v2", "v2"}},
		"none other of its version": {[]string{"v1", "v2", "v3"}},
		"one that states none":      {[]string{"v1", ""}},
		"versions without order":    {[]string{"v10", "v9", "main-a"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address := startVersions(c, true, test.versions...)
			for i := range versionedStreams {
				g := callAs(c, fmt.Sprint("r", i), clientTimeout, address, "/resumable/")
				c.Check(g.status, qt.Equals, http.StatusOK)
				c.Check(g.complete, qt.IsTrue)
				checkOneVersion(c, g.body, test.versions)
			}
		})
	}
}

// A stream whose software version has no backend server left ends as incomplete, and the others get
// nothing of it.
func TestStreamOfAVersionThatIsGoneEndsIncomplete(t *testing.T) {
	c := qt.New(t)
	address, f := newGateway(c, clockwork.NewRealClock())
	var first, other *fakeBackend
	first = newBackend(c, "b1", func(_ *fakeBackend, req *http.Request, conn net.Conn) bool {
		state := firstTable(other)
		gone := first.announcement()
		gone.Gone, gone.Sequence = true, gone.GetSequence()+1
		state.Announcements = append(state.Announcements, gone)
		_, _ = io.WriteString(conn, strings.ReplaceAll(streamHead()+chunk(eventOf(1, "v1")), "ID", requestID(req)))
		f.Apply("controller", state)
		return false
	})
	first.version = "v1"
	other = newVersionedBackend(c, "b2", "v2")
	f.Apply("controller", firstTable(first))
	f.endGatewayCountDelay()
	g := call(c, address, "/resumable/")
	c.Check(g.body, qt.Equals, eventOf(1, "v1"))
	c.Check(g.complete, qt.IsFalse)
	c.Check(other.runs.Load(), qt.Equals, int32(0))
}

// checkOneVersion checks that a stream holds events of one version only.
func checkOneVersion(c *qt.C, body string, versions []string) {
	for _, version := range versions {
		if whole := eventOf(1, version) + eventOf(2, version); body == whole || body == eventOf(1, version) {
			return
		}
	}
	c.Errorf("the stream has events of several versions: %q", body)
}

// A stream that its caller took up again went on at another software version.
func TestStreamTakenUpByItsCallerGoesOnAtItsSoftwareVersion(t *testing.T) {
	c := qt.New(t)
	versions := []string{"v1", "v2", "v3"}
	address := startVersions(c, false, versions...)
	for i := range versionedStreams {
		first := fmt.Sprint("first", i)
		begun := callAs(c, first, clientTimeout, address, "/resumable/")
		c.Assert(begun.complete, qt.IsFalse)
		rest := callAs(c, fmt.Sprint("second", i), clientTimeout, address, "/resumable/", strings.TrimSpace(lines(platform.StandInResumption(first, "1"))))
		c.Check(rest.status, qt.Equals, http.StatusOK)
		c.Check(rest.complete, qt.IsTrue)
		checkOneVersion(c, begun.body+rest.body, versions)
	}
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
