package server

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"bronzelead.example/pkg/reserver"
)

const (
	defaultBodyTimeout      = 5 * time.Second
	defaultWholeBodyTimeout = time.Minute
	// growingBuffer is the memory that a byte of a body takes at most in a buffer that grows with it.
	growingBuffer = 2
)

var (
	errNoMemory = errors.New("server: memory for requests is short")
	// ErrTooLarge means that a body is longer than its limit.
	ErrTooLarge = errors.New("server: the body is too long")
)

// IsNoMemory reports whether a body was not read since memory is short. The same request may be sent again later.
func IsNoMemory(err error) bool { return errors.Is(err, errNoMemory) || reserver.IsRefusal(err) }

func hasBody(r *http.Request) bool { return r.ContentLength != 0 }

// body is the body of a request, which has to arrive in time and reserves the memory that it takes.
type body struct {
	io.ReadCloser

	conn       *conn
	controller *http.ResponseController
	until      time.Time
	// exact is set if the reader reserves the memory itself.
	exact bool
	ended bool
}

// Read reads a part of the body.
func (b *body) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	deadline := time.Now().Add(b.conn.server.bodyTimeout)
	if b.until.Before(deadline) {
		deadline = b.until
	}
	_ = b.controller.SetReadDeadline(deadline)
	if b.conn.memory.Revoked() {
		// The deadline was set to an earlier time before.
		return 0, b.conn.refuse()
	}
	n, err := b.ReadCloser.Read(p)
	if n > 0 && !b.exact {
		if grown := b.conn.memory.Grow(int64(n) * growingBuffer); grown != nil {
			return 0, b.conn.refuse()
		}
	}
	switch {
	case err == io.EOF:
		return n, b.end()
	case err != nil && b.conn.memory.Revoked():
		return n, b.conn.refuse()
	}
	return n, err
}

// end records that the body has arrived, and returns io.EOF.
func (b *body) end() error {
	b.ended = true
	// net/http watches the connection for its end from now on.
	_ = b.controller.SetReadDeadline(time.Time{})
	if !b.conn.complete() {
		return b.conn.refuse()
	}
	return io.EOF
}

// ReadBody reads the body of a request that this package serves, of at most limit bytes, with little memory beside it. It
// fails with ErrTooLarge, or an error for which IsNoMemory holds.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, ErrTooLarge
	}
	b, ok := r.Body.(*body)
	if !ok {
		return readUnaccounted(r.Body, limit)
	}
	b.exact = true
	content, err := b.conn.memory.ReadAll(b, reserver.Content{Length: r.ContentLength, Limit: limit, TooLong: ErrTooLarge})
	if reserver.IsRefusal(err) {
		return nil, b.conn.refuse()
	}
	return content, err
}

func readUnaccounted(content io.Reader, limit int64) ([]byte, error) {
	read, err := io.ReadAll(io.LimitReader(content, limit+1))
	if err == nil && int64(len(read)) > limit {
		err = ErrTooLarge
	}
	return read, err
}
