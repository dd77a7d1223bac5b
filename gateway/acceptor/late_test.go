package acceptor

import (
	"context"
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// lateListener returns a connection from an Accept that was in progress as it was closed.
type lateListener struct {
	net.Listener
	late    net.Conn
	release chan struct{}
	taken   bool
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.release
	if l.taken {
		return nil, net.ErrClosed
	}
	l.taken = true
	return l.late, nil
}

// A connection that was accepted just before a stop was added while the stop waited for the others: the stop did not wait for
// it, and the process could end in the middle of its request.
func TestConnectionAcceptedDuringAStopIsClosed(t *testing.T) {
	c := qt.New(t)
	caller, late := net.Pipe()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l := &lateListener{Listener: listener, late: late, release: make(chan struct{})}
	server, _ := start(c, Limits{})
	other := &Acceptor{
		Clock: server.Clock, Log: server.Log, Limits: server.Limits, Handle: server.Handle,
		Listen: func(context.Context, string) (net.Listener, error) { return l, nil },
	}
	c.Assert(other.Start(), qt.IsNil)
	c.Assert(other.Stop(context.Background()), qt.IsNil)
	close(l.release)
	_, err = caller.Read(make([]byte, 1))
	c.Check(err, qt.Equals, io.EOF)
	c.Check(other.list(), qt.HasLen, 0)
}
