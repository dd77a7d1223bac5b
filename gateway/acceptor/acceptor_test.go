package acceptor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/framer"
)

// start runs an acceptor on loopback whose handler answers 200 with the received request, and
// returns the channel of received requests.
func start(c *qt.C, limits Limits) (*Acceptor, chan *Request) {
	seen := make(chan *Request, 16)
	server := &Acceptor{
		Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Address: "127.0.0.1:0",
		Limits: func() Limits { return limits },
		Handle: func(_ context.Context, req *Request, reply *Reply) {
			seen <- req
			reply.Send(http.StatusOK, nil, []byte(req.Head.Method+" "+req.Head.Target+" "+string(req.Body)))
		},
	}
	c.Assert(server.Start(), qt.IsNil)
	c.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Stop(ctx)
	})
	return server, seen
}

// exchange sends bytes on one connection and returns all answers received on it.
func exchange(c *qt.C, address, sent string) []*http.Response {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, sent)
	c.Assert(err, qt.IsNil)
	c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
	reader := bufio.NewReader(conn)
	var answers []*http.Response
	for {
		res, err := http.ReadResponse(reader, nil)
		if err != nil {
			return answers
		}
		body, err := io.ReadAll(res.Body)
		c.Assert(err, qt.IsNil)
		res.Body = io.NopCloser(strings.NewReader(string(body)))
		answers = append(answers, res)
	}
}

func TestValidRequestsAreAccepted(t *testing.T) {
	for name, test := range map[string]struct{ sent, body string }{
		"no body":                   {"GET /a/b?x=1 HTTP/1.1\r\nHost: h\r\n\r\n", "GET /a/b?x=1 "},
		"a body with a length":      {"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", "POST /a/ abc"},
		"a body in chunks":          {"POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", "POST /a/ abc"},
		"chunks with extensions":    {"POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2;x=y\r\nab\r\n0\r\n\r\n", "POST /a/ ab"},
		"chunks with trailers":      {"POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: y\r\n\r\n", "POST /a/ a"},
		"an empty line comes first": {"\r\nGET /a/ HTTP/1.1\r\nHost: h\r\n\r\n", "GET /a/ "},
		"a target that is escaped":  {"GET /a/%2e%2E/b HTTP/1.1\r\nHost: h\r\n\r\n", "GET /a/%2e%2E/b "},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server, _ := start(c, Limits{})
			answers := exchange(c, server.Addr(), test.sent)
			c.Assert(answers, qt.HasLen, 1)
			body, err := io.ReadAll(answers[0].Body)
			c.Assert(err, qt.IsNil)
			c.Check(answers[0].StatusCode, qt.Equals, http.StatusOK)
			c.Check(string(body), qt.Equals, test.body)
		})
	}
}

// Requests that two parsers could read differently must not reach a backend server, and nothing
// that follows on the connection may be parsed as a request.
func TestAmbiguousRequestsAreRefused(t *testing.T) {
	const next = "GET /smuggled/ HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, sent := range map[string]string{
		"a length beside chunks":     "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"two lengths":                "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 3\r\n\r\n",
		"two equal lengths":          "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n",
		"a list of lengths":          "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 0, 0\r\n\r\n",
		"a signed length":            "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: +0\r\n\r\n",
		"a length in other digits":   "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 0x0\r\n\r\n",
		"an empty length":            "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n\r\n",
		"another encoding":           "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: identity\r\n\r\n",
		"two encodings":              "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"an encoding twice":          "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"chunks in HTTP/1.0":         "POST /a/ HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"a space before the colon":   "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
		"a folded line":              "GET /a/ HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n",
		"a NUL in a field":           "GET /a/ HTTP/1.1\r\nHost: h\r\nX: a\x00b\r\n\r\n",
		"a bare CR in a field":       "GET /a/ HTTP/1.1\r\nHost: h\r\nX: a\rb\r\n\r\n",
		"a bare LF in the head":      "GET /a/ HTTP/1.1\r\nHost: h\nX: a\r\n\r\n",
		"bare LFs at the end":        "GET /a/ HTTP/1.1\r\nHost: h\n\n\r\n\r\n",
		"no host":                    "GET /a/ HTTP/1.1\r\nX: a\r\n\r\n",
		"two hosts":                  "GET /a/ HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
		"a space in the target":      "GET /a b/ HTTP/1.1\r\nHost: h\r\n\r\n",
		"an absolute target":         "GET http://h/a/ HTTP/1.1\r\nHost: h\r\n\r\n",
		"another version":            "GET /a/ HTTP/2.0\r\nHost: h\r\n\r\n",
		"a size that is no number":   "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n",
		"a signed size":              "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n+1\r\na\r\n0\r\n\r\n",
		"a size ended by LF":         "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\na\r\n0\r\n\r\n",
		"a chunk beyond its size":    "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n",
		"a trailer that is no field": "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nGET / HTTP/1.1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server, seen := start(c, Limits{})
			answers := exchange(c, server.Addr(), sent+next)
			c.Assert(answers, qt.HasLen, 1)
			c.Check(answers[0].StatusCode, qt.Equals, http.StatusBadRequest)
			c.Check(answers[0].Close, qt.IsTrue)
			c.Check(seen, qt.HasLen, 0)
		})
	}
}

func TestLimits(t *testing.T) {
	for name, test := range map[string]struct {
		sent   string
		status int
	}{
		"a long head":      {"GET /a/ HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("a", 600) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"a long body":      {"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n" + strings.Repeat("a", 100), http.StatusRequestEntityTooLarge},
		"many chunks":      {"POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\na\r\n", 100) + "0\r\n\r\n", http.StatusRequestEntityTooLarge},
		"within the limit": {"POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n" + strings.Repeat("a", 50), http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server, _ := start(c, Limits{HeaderBytes: 512, BodyBytes: 64})
			answers := exchange(c, server.Addr(), test.sent)
			c.Assert(answers, qt.HasLen, 1)
			c.Check(answers[0].StatusCode, qt.Equals, test.status)
		})
	}
}

// A request whose bytes arrive while its idle connection is being closed must not be passed on:
// its caller sees a closed connection and assumes that it did not run.
func TestClosedConnectionTakesNoRequest(t *testing.T) {
	c := qt.New(t)
	ours, theirs := net.Pipe()
	defer func() { _ = theirs.Close() }()
	served := &conn{Conn: ours}
	served.reader = bufio.NewReader(readerFunc(func(b []byte) (int, error) {
		// The stop happens after the bytes arrive and before they are parsed.
		served.closeIfIdle()
		return copy(b, "GET / HTTP/1.1\r\n\r\n"), nil
	}))
	c.Check(served.awaitRequest(Limits{IdleTimeout: time.Minute}), qt.IsFalse)
}

// readerFunc implements io.Reader by a function.
type readerFunc func(b []byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

// A stop lets a request in progress finish, and its answer announces the close of the
// connection.
func TestStopWaitsForRequests(t *testing.T) {
	c := qt.New(t)
	entered, release := make(chan struct{}), make(chan struct{})
	server := &Acceptor{
		Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Address: "127.0.0.1:0",
		Handle: func(_ context.Context, _ *Request, reply *Reply) {
			close(entered)
			<-release
			reply.Send(http.StatusOK, framer.Header{{Name: "X", Value: "y"}}, []byte("done"))
		},
	}
	c.Assert(server.Start(), qt.IsNil)
	conn, err := net.Dial("tcp", server.Addr())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	<-entered
	stopped := make(chan error, 1)
	server.Quiesce()
	go func() { stopped <- server.Stop(context.Background()) }()
	close(release)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	defer func() { _ = res.Body.Close() }()
	c.Check(res.Close, qt.IsTrue)
	body, err := io.ReadAll(res.Body)
	c.Assert(err, qt.IsNil)
	c.Check(string(body), qt.Equals, "done")
	c.Assert(<-stopped, qt.IsNil)
}

// A disconnect of the caller cancels the context of its request.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	c := qt.New(t)
	entered, ended := make(chan struct{}), make(chan struct{})
	server := &Acceptor{
		Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Address: "127.0.0.1:0",
		Handle: func(ctx context.Context, _ *Request, reply *Reply) {
			close(entered)
			<-ctx.Done()
			reply.Abort()
			close(ended)
		},
	}
	c.Assert(server.Start(), qt.IsNil)
	conn, err := net.Dial("tcp", server.Addr())
	c.Assert(err, qt.IsNil)
	_, err = io.WriteString(conn, "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
	c.Assert(err, qt.IsNil)
	<-entered
	c.Assert(conn.Close(), qt.IsNil)
	<-ended
	c.Assert(server.Stop(context.Background()), qt.IsNil)
}

// Whatever the handler does, no second head is sent after an answer has begun; the answer stays
// incomplete.
func TestOneHeadPerRequest(t *testing.T) {
	for name, again := range map[string]func(*Reply){
		"a whole answer": func(r *Reply) { r.Send(http.StatusBadGateway, nil, []byte("no")) },
		"a head alone":   func(r *Reply) { r.SendHead(http.StatusNoContent, nil) },
		"another beginning": func(r *Reply) {
			if r.Begin(http.StatusOK, nil) == nil {
				r.End()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server, _ := start(c, Limits{})
			server.Handle = func(_ context.Context, _ *Request, reply *Reply) {
				c.Check(reply.Begin(http.StatusOK, nil), qt.IsNil)
				c.Check(reply.Write([]byte("begun")), qt.IsNil)
				again(reply)
			}
			conn, err := net.Dial("tcp", server.Addr())
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			c.Assert(err, qt.IsNil)
			// A reset may discard the first bytes.
			received, _ := io.ReadAll(conn)
			c.Check(strings.Count(string(received), "HTTP/1.1 ") <= 1, qt.IsTrue)
			c.Check(strings.HasSuffix(string(received), "0\r\n\r\n"), qt.IsFalse)
		})
	}
}

// The connection of a request that is refused by its head stays usable if the end of its body
// can be determined.
func TestRequestsRefusedByHead(t *testing.T) {
	const next = "GET /b/ HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, test := range map[string]struct {
		sent string
		want []int
	}{
		"no body":             {"GET /no/ HTTP/1.1\r\nHost: h\r\n\r\n" + next, []int{401, 200}},
		"a body":              {"POST /no/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" + next, []int{401, 200}},
		"a body in chunks":    {"POST /no/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n" + next, []int{401, 200}},
		"a body awaiting 100": {"POST /no/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nExpect: 100-continue\r\n\r\n" + next, []int{401}},
		"a body that is long": {"POST /no/ HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n" + next, []int{401}},
		"a truncated body":    {"POST /no/ HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc", []int{401}},
		"malformed chunks":    {"POST /no/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nxy\r\n" + next, []int{401}},
		"two":                 {"GET /no/ HTTP/1.1\r\nHost: h\r\n\r\nGET /no/ HTTP/1.1\r\nHost: h\r\n\r\n" + next, []int{401, 401, 200}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server, seen := start(c, Limits{BodyBytes: 20})
			server.CheckHead = func(req *Request, reply *Reply) bool {
				if !strings.HasPrefix(req.Head.Target, "/no/") {
					return false
				}
				reply.Send(http.StatusUnauthorized, nil, nil)
				return true
			}
			var statuses []int
			for _, res := range exchange(c, server.Addr(), test.sent) {
				statuses = append(statuses, res.StatusCode)
			}
			c.Check(statuses, qt.DeepEquals, test.want)
			c.Check(len(seen), qt.Equals, strings.Count(fmt.Sprint(statuses), "200"))
		})
	}
}
