package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/framer"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// fakeBackend answers each request on a connection with a function that takes the request and
// the connection to write to. It counts the requests that it ran.
type fakeBackend struct {
	id       string
	listener net.Listener
	// version is its software version.
	version string
	runs    atomic.Int32
	mu      sync.Mutex
	heads   []*http.Request
}

type handler func(b *fakeBackend, req *http.Request, conn net.Conn) (keep bool)

func newBackend(c *qt.C, id string, handle handler) *fakeBackend {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	b := &fakeBackend{id: id, listener: listener}
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn, handle)
		}
	}()
	return b
}

func (b *fakeBackend) serve(conn net.Conn, handle handler) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		b.mu.Lock()
		b.heads = append(b.heads, req)
		b.mu.Unlock()
		if !handle(b, req, conn) {
			return
		}
	}
}

func (b *fakeBackend) announcement() *wire.Announcement {
	return &wire.Announcement{Id: b.id, Name: b.id, Service: "s", Address: b.listener.Addr().String(), Slots: 4, Sequence: 1, SoftwareVersion: b.version}
}

func (b *fakeBackend) requests() []*http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.heads
}

// fields returns the header of a request or an answer in the framer's type.
func fields(h http.Header) framer.Header {
	var all framer.Header
	for name, values := range h {
		for _, value := range values {
			all = append(all, framer.Field{Name: name, Value: value})
		}
	}
	return all
}

func requestID(req *http.Request) string { return platform.DecodeRequest(fields(req.Header)).ID }

// lines returns a header as sent on the wire.
func lines(h framer.Header) string {
	text := ""
	for _, f := range h {
		text += f.Name + ": " + f.Value + "\r\n"
	}
	return text
}

// signed begins an answer of a backend server; ID stands for the request's.
func signed(id string) string {
	return "HTTP/1.1 200 OK\r\n" + lines(platform.StandInResponse(id, "x"))
}

// answer writes a complete answer of a backend server.
func answer(conn net.Conn, status int, body string, header framer.Header) {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n", status, len(body))
	_, _ = io.WriteString(conn, head+lines(header)+"\r\n"+body)
}

func runsAndAnswers(status int, body string) handler {
	return func(b *fakeBackend, req *http.Request, conn net.Conn) bool {
		b.runs.Add(1)
		answer(conn, status, body, platform.StandInResponse(requestID(req), b.id))
		return true
	}
}

func refuses(status int) handler {
	return func(_ *fakeBackend, req *http.Request, conn net.Conn) bool {
		answer(conn, status, "", platform.StandInRefusal(requestID(req)))
		return true
	}
}

// runsAndBreaks runs the request and closes after having written some bytes.
func runsAndBreaks(written string) handler {
	return func(b *fakeBackend, req *http.Request, conn net.Conn) bool {
		b.runs.Add(1)
		_, _ = io.WriteString(conn, strings.ReplaceAll(written, "ID", requestID(req)))
		return false
	}
}
