package acceptor

import (
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bronzelead.example/pkg/framer"
)

const (
	statusBadRequest     = http.StatusBadRequest
	statusTimeout        = http.StatusRequestTimeout
	statusBodyTooLarge   = http.StatusRequestEntityTooLarge
	statusHeaderTooLarge = http.StatusRequestHeaderFieldsTooLarge
	statusUnavailable    = http.StatusServiceUnavailable
	// maxCopiedBody is the size up to which a body is sent together with its head.
	maxCopiedBody = 16 << 10
)

var (
	errBodyTooLarge = framer.TooLarge("the body is too long")
	errHeadSent     = errors.New("acceptor: the answer has begun already")
	errStopping     = errors.New("acceptor: the gateway stops")
	errRevoked      = errors.New("acceptor: the memory of the request was revoked for others")
)

// Reply answers one request. Call either Send, or Begin, then Write for each part, and End or
// Abort. A second head is never written, since the caller would take it for a part of the first
// answer; the answer is aborted instead.
type Reply struct {
	conn     net.Conn
	log      *slog.Logger
	method   string
	minor    int
	keep     bool
	stopping *atomic.Bool

	headSent bool
	complete atomic.Bool
	aborted  bool
	chunked  bool
	buf      []byte
}

// Begun reports whether the answer's head has been sent.
func (r *Reply) Begun() bool { return r.headSent }

// Send sends a complete answer.
func (r *Reply) Send(status int, header framer.Header, body []byte) {
	if r.head(status, header) != nil {
		return
	}
	r.field("Content-Length", strconv.Itoa(len(body)))
	r.buf = append(r.buf, "\r\n"...)
	if r.method == http.MethodHead {
		body = nil
	}
	if len(body) > maxCopiedBody {
		r.complete.Store(r.flush() == nil && r.send(body) == nil)
		return
	}
	r.buf = append(r.buf, body...)
	r.complete.Store(r.flush() == nil)
}

// SendHead sends an answer that has no body because of its status or method; the header is sent
// unchanged.
func (r *Reply) SendHead(status int, header framer.Header) {
	if r.head(status, header) != nil {
		return
	}
	r.buf = append(r.buf, "\r\n"...)
	r.complete.Store(r.flush() == nil)
}

// Begin sends the head of an answer of unknown length.
func (r *Reply) Begin(status int, header framer.Header) error {
	if !r.headSent {
		r.chunked = r.minor == 1
		r.keep = r.keep && r.chunked
	}
	if err := r.head(status, header); err != nil {
		return err
	}
	if r.chunked {
		r.field("Transfer-Encoding", "chunked")
	}
	r.buf = append(r.buf, "\r\n"...)
	return r.flush()
}

// Write sends a part of the body.
func (r *Reply) Write(part []byte) error {
	if len(part) == 0 {
		return nil
	}
	if r.chunked {
		r.buf = strconv.AppendInt(r.buf, int64(len(part)), 16)
		r.buf = append(r.buf, "\r\n"...)
	}
	r.buf = append(r.buf, part...)
	if r.chunked {
		r.buf = append(r.buf, "\r\n"...)
	}
	return r.flush()
}

// End completes the answer.
func (r *Reply) End() {
	if r.chunked {
		r.buf = append(r.buf, "0\r\n\r\n"...)
		r.complete.Store(r.flush() == nil)
		return
	}
	r.complete.Store(true)
}

// Abort leaves the answer incomplete. The connection is reset, so that an answer that ends with
// its connection does not look complete either.
func (r *Reply) Abort() {
	r.aborted, r.keep = true, false
	resetOnClose(r.conn)
	_ = r.conn.Close()
}

// resetOnClose lets a connection be reset when it is closed.
func resetOnClose(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
}

// finish aborts an answer that was not completed.
func (r *Reply) finish() {
	if !r.complete.Load() && !r.aborted {
		r.Abort()
	}
}

// head writes the head of the answer into the buffer, or aborts an answer that already has one.
func (r *Reply) head(status int, header framer.Header) error {
	if r.headSent {
		r.log.Error("suppressed a second response to a request", "Caller", r.conn.RemoteAddr().String(), "Status", status)
		r.Abort()
		return errHeadSent
	}
	r.headSent = true
	if r.stopping != nil && r.stopping.Load() {
		r.keep = false
	}
	r.buf = append(r.buf[:0], "HTTP/1.1 "...)
	r.buf = strconv.AppendInt(r.buf, int64(status), 10)
	r.buf = append(r.buf, ' ')
	r.buf = append(r.buf, http.StatusText(status)...)
	r.buf = append(r.buf, "\r\n"...)
	for _, f := range header {
		r.field(f.Name, f.Value)
	}
	switch {
	case !r.keep:
		r.field("Connection", "close")
	case r.minor == 0:
		r.field("Connection", "keep-alive")
	}
	return nil
}

func (r *Reply) field(name, value string) {
	r.buf = append(r.buf, name...)
	r.buf = append(r.buf, ": "...)
	r.buf = append(r.buf, value...)
	r.buf = append(r.buf, "\r\n"...)
}

func (r *Reply) flush() error {
	err := r.send(r.buf)
	r.buf = r.buf[:0]
	return err
}

func (r *Reply) send(b []byte) error {
	_ = r.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := r.conn.Write(b)
	return errors.Wrap(err, "acceptor: write")
}
