package server

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// lateListener notices its closing only at the second Close, like one whose goroutine is not
// scheduled on a busy machine.
type lateListener struct {
	net.Listener
	accepting chan struct{}
	again     chan struct{}
	closed    atomic.Int32
}

func (l *lateListener) Close() error {
	if l.closed.Add(1) == 2 {
		close(l.again)
	}
	return l.Listener.Close()
}

func (l *lateListener) Accept() (net.Conn, error) {
	close(l.accepting)
	<-l.again
	return l.Listener.Accept()
}

// Stop closes the listener before it waits for requests. That the HTTP server closes it again,
// since Serve has not noticed yet, must not make Stop fail.
func TestStopBeforeServeSeesClosedListener(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	late := &lateListener{Listener: listener, accepting: make(chan struct{}), again: make(chan struct{})}
	s := &Server{Log: slog.New(slog.DiscardHandler), listener: late, http: &http.Server{Handler: http.NotFoundHandler()}}
	go s.accept()
	<-late.accepting
	c.Check(s.Stop(context.Background()), qt.IsNil)
}
