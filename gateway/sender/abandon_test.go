package sender

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"bronzelead.example/pkg/framer"
)

// The bytes of a request whose caller had left were delivered from the kernel's buffers after its connection was closed.
func TestAbandonedRequestIsNotDelivered(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, _ = conn.Read(make([]byte, 1))
		accepted <- conn
	}()
	s := &Sender{
		Clock: clockwork.NewRealClock(), DialTimeout: time.Minute, MaxIdle: time.Minute,
		IsOwnResponse: func(*framer.ResponseHead, string) (bool, time.Duration) { return true, 0 },
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	body := make([]byte, 1<<20)
	go func() {
		defer close(ended)
		_, _ = s.Send(ctx, &Request{Backend: "b", Address: listener.Addr().String(), Method: "POST", Target: "/", Body: body})
	}()
	conn := <-accepted
	c.Cleanup(func() { _ = conn.Close() })
	cancel()
	<-ended
	_, err = io.Copy(io.Discard, conn)
	var reset *net.OpError
	c.Check(errors.As(err, &reset), qt.IsTrue, qt.Commentf("the connection was not reset: %v", err))
}
