package server

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"bronzelead.example/pkg/evictor"
	"bronzelead.example/pkg/reserver"
)

const (
	// headMemory is the memory that a byte of a head takes at most while net/http parses it.
	headMemory = 32
	// fieldMemory is the memory that a parsed header field takes beside its text.
	fieldMemory = 128
)

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// listener accepts connections that are accounted for.
type listener struct {
	*net.TCPListener

	server *Server
}

// Accept returns the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.AcceptTCP()
		if err != nil {
			return nil, err
		}
		c := &conn{TCPConn: accepted, server: l.server}
		c.memory = l.server.Memory.Open(func() { _ = accepted.SetReadDeadline(expired) })
		c.entry = l.server.evictor.Add(func() { _ = accepted.Close() })
		if c.entry != nil {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// conn is a connection whose requests reserve the memory that they hold.
type conn struct {
	*net.TCPConn

	server *Server
	entry  *evictor.Entry
	memory *reserver.Reservation
	// serving is set while a request is handled; otherwise a head is read.
	serving atomic.Bool
	// headBytes counts the bytes of the current head. It belongs to the goroutine that reads the head.
	headBytes int64
}

// Read reads bytes, and reserves the memory that a head takes.
func (c *conn) Read(p []byte) (int, error) {
	if c.serving.Load() {
		return c.TCPConn.Read(p)
	}
	if c.memory.Revoked() {
		return 0, c.refuse()
	}
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		return 0, err
	}
	if c.headBytes == 0 {
		c.entry.Wait()
	}
	c.headBytes += int64(n)
	if grown := c.memory.Grow(int64(n) * headMemory); grown != nil {
		return 0, c.refuse()
	}
	return n, err
}

// refuse records that there is no memory for a request, and returns the error.
func (c *conn) refuse() error {
	c.server.recordRefusal(c.RemoteAddr())
	return errNoMemory
}

// Close closes the connection.
func (c *conn) Close() error {
	c.entry.Remove()
	if !c.serving.Load() {
		c.memory.Release()
	}
	return c.TCPConn.Close()
}

// begin records that a request is handled from now on. It returns false if the connection was closed for another one, or
// its memory was given to others.
func (c *conn) begin(r *http.Request) bool {
	c.serving.Store(true)
	c.memory.Shrink(c.headBytes*headMemory - headSize(r))
	c.headBytes = 0
	if hasBody(r) {
		return !c.memory.Revoked()
	}
	return c.complete()
}

// headSize returns the memory that a parsed head takes.
func headSize(r *http.Request) int64 {
	size := len(r.RequestURI)
	for name, values := range r.Header {
		size += len(name)
		for _, value := range values {
			size += len(value) + fieldMemory
		}
	}
	return int64(size)
}

// complete records that the whole request has arrived. It returns false if the connection was closed for another one, or
// its memory was given to others.
func (c *conn) complete() bool {
	return c.entry.Busy() && c.memory.Complete()
}

// end records that a request has been handled.
func (c *conn) end() {
	c.memory.Release()
	c.serving.Store(false)
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// observeState records that a connection waits for a request.
func observeState(c net.Conn, state http.ConnState) {
	if served, ok := c.(*conn); ok && state == http.StateIdle {
		served.entry.Wait()
	}
}
