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

// lateListener notices that it was closed only when it is closed again, as one whose
// goroutine has no turn on a busy machine.
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

// A stop closes the listener before it waits for requests. That the server closes it once
// more, since it has not noticed yet, is no failure of the stop.
func TestStopOfAServerThatHasNotNoticed(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	late := &lateListener{Listener: listener, accepting: make(chan struct{}), again: make(chan struct{})}
	s := &Server{Log: slog.New(slog.DiscardHandler), listener: late, http: &http.Server{Handler: http.NotFoundHandler()}}
	go s.accept()
	<-late.accepting
	c.Check(s.Stop(context.Background()), qt.IsNil)
}
