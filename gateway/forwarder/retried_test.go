package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/platform"
)

const (
	longObjective = 20 * time.Second
	fullTimeout   = 60 * time.Second
	// remainingTimeout is left to a caller that first sent its request longer ago than the
	// objective.
	remainingTimeout = 35 * time.Second
)

// persistentClient sends requests over one connection, each with its full timeout.
type persistentClient struct {
	c      *qt.C
	conn   net.Conn
	reader *bufio.Reader
}

func newPersistentClient(c *qt.C, address string) *persistentClient {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return &persistentClient{c: c, conn: conn, reader: bufio.NewReader(conn)}
}

func (k *persistentClient) send(path string) {
	_, err := io.WriteString(k.conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n"+lines(platform.StandInRequest("r1", fullTimeout))+"\r\n")
	k.c.Assert(err, qt.IsNil)
}

func (k *persistentClient) call(path string) int {
	k.send(path)
	res, err := http.ReadResponse(k.reader, nil)
	k.c.Assert(err, qt.IsNil)
	_, err = io.Copy(io.Discard, res.Body)
	k.c.Assert(err, qt.IsNil)
	return res.StatusCode
}

// newBlockingBackend blocks requests for the given paths until they are released by their path.
func newBlockingBackend(c *qt.C, paths ...string) (b *fakeBackend, release map[string]chan struct{}) {
	release = map[string]chan struct{}{}
	for _, path := range paths {
		release[path] = make(chan struct{})
	}
	return newBackend(c, "b", func(b *fakeBackend, req *http.Request, conn net.Conn) bool {
		b.runs.Add(1)
		if blocked := release[req.URL.Path]; blocked != nil {
			<-blocked
		}
		answer(conn, 200, "x", platform.StandInResponse(requestID(req), b.id))
		return true
	}), release
}

// A retry whose answer would be late for its caller must not take a slot from a request that
// can still be on time.
func TestLateRetriesDoNotDisplaceFirstAttempts(t *testing.T) {
	c := qt.New(t)
	b, release := newBlockingBackend(c, "/safe/held/1", "/safe/held/2", "/safe/held/3", "/safe/retry", "/safe/first")
	address, f := newGateway(c, clockwork.NewRealClock())
	table := firstTable(b)
	table.Announcements[0].Slots = 1
	for _, r := range table.GetTable().GetRoutes() {
		r.ObjectiveMs, r.TimeoutMs = uint32(longObjective.Milliseconds()), uint32(2*fullTimeout.Milliseconds())
	}
	f.Apply("controller", table)
	released := map[string]bool{}
	free := func(path string) {
		if !released[path] {
			released[path] = true
			close(release[path])
		}
	}
	c.Cleanup(func() {
		for path := range release {
			free(path)
		}
	})

	first := newPersistentClient(c, address)
	for range 50 {
		c.Assert(first.call("/safe/short"), qt.Equals, 200)
	}
	arrived := func(n int) func() bool { return func() bool { return len(b.requests()) == n } }
	for i, path := range []string{"/safe/held/1", "/safe/held/2", "/safe/held/3"} {
		newPersistentClient(c, address).send(path)
		eventually(c, arrived(51+i))
	}
	go func() { callFor(c, remainingTimeout, address, "/safe/retry") }()
	eventually(c, func() bool { return f.Regulator.Waiting() == 1 })
	first.send("/safe/first")
	eventually(c, func() bool { return f.Regulator.Waiting() == 2 })

	free("/safe/held/2")
	eventually(c, arrived(54))
	c.Check(strings.TrimPrefix(b.requests()[53].URL.Path, "/safe/"), qt.Equals, "first")
}
