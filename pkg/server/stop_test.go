package server

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// lateListener notices only when it is released that it was closed, as one whose goroutine
// has no turn on a busy machine.
type lateListener struct {
	net.Listener
	accepting chan struct{}
	released  chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	close(l.accepting)
	<-l.released
	return l.Listener.Accept()
}

// A stop closes the listener before it waits for requests. That the server closes it once
// more, since it has not noticed yet, is no failure of the stop.
func TestStopOfAServerThatHasNotNoticed(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	late := &lateListener{Listener: listener, accepting: make(chan struct{}), released: make(chan struct{})}
	s := &Server{Log: slog.New(slog.DiscardHandler), listener: late, http: &http.Server{Handler: http.NotFoundHandler()}}
	go s.accept()
	<-late.accepting
	c.Check(s.Stop(context.Background()), qt.IsNil)
	close(late.released)
}
