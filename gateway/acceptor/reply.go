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
)

var (
	errTooLong = framer.TooLarge("the body is too long")
	errBegun   = errors.New("doorkeeper: the answer has begun already")
)

// Reply answers one request. Either Send is called, or Begin, then Write for each part,
// and End or Abort. A second head is never written: a caller whose answer has begun would
// take it for a part of that answer. The answer is aborted instead.
type Reply struct {
	conn     net.Conn
	log      *slog.Logger
	method   string
	minor    int
	keep     bool
	stopping *atomic.Bool

	begun   bool
	done    bool
	aborted bool
	chunked bool
	buf     []byte
}

// Begun reports whether the answer's head has been sent.
func (r *Reply) Begun() bool { return r.begun }

// Send sends a whole answer.
func (r *Reply) Send(status int, header framer.Header, body []byte) {
	if r.head(status, header) != nil {
		return
	}
	r.field("Content-Length", strconv.Itoa(len(body)))
	r.buf = append(r.buf, "\r\n"...)
	if r.method != http.MethodHead {
		r.buf = append(r.buf, body...)
	}
	r.done = r.flush() == nil
}

// SendHead sends an answer that by its status or method has no body, with the header as
// it is.
func (r *Reply) SendHead(status int, header framer.Header) {
	if r.head(status, header) != nil {
		return
	}
	r.buf = append(r.buf, "\r\n"...)
	r.done = r.flush() == nil
}

// Begin sends the head of an answer whose length is not known.
func (r *Reply) Begin(status int, header framer.Header) error {
	if !r.begun {
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
		r.done = r.flush() == nil
		return
	}
	r.done = true
}

// Abort leaves the answer incomplete: the connection is reset, so that also an answer
// that ends with its connection does not look whole.
func (r *Reply) Abort() {
	r.aborted, r.keep = true, false
	if tcp, ok := r.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = r.conn.Close()
}

// finish closes the connection of an answer that never came to its end.
func (r *Reply) finish() {
	if !r.done && !r.aborted {
		r.Abort()
	}
}

// head prepares the head of the answer, or aborts an answer that has one.
func (r *Reply) head(status int, header framer.Header) error {
	if r.begun {
		r.log.Error("a second answer to one request was held back", "Caller", r.conn.RemoteAddr().String(), "Status", status)
		r.Abort()
		return errBegun
	}
	r.begun = true
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
	_ = r.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := r.conn.Write(r.buf)
	r.buf = r.buf[:0]
	return errors.Wrap(err, "doorkeeper: write")
}
