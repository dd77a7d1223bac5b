package forwarder

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/acceptor"
	"bronzelead.example/platform"
)

// A gateway that was late read requests whose callers had left by then, and sent them to backend servers before it
// noticed.
func TestRequestsOfDisconnectedCallersAreNotSent(t *testing.T) {
	c := qt.New(t)
	b := newBackend(c, "b", runsAndAnswers(200, "x"))
	address, f := startGatewayAndForwarder(c, b)
	// The connection to the backend server is kept, so that the next requests wait for nothing.
	c.Assert(call(c, address, "/once/").status, qt.Equals, 200)
	received, left, handled := make(chan struct{}), make(chan struct{}), make(chan struct{})
	slow := &acceptor.Acceptor{
		Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Address: "127.0.0.1:0",
		CheckHead: func(req *acceptor.Request, reply *acceptor.Reply) bool {
			received <- struct{}{}
			<-left
			return f.CheckHead(req, reply)
		},
		Handle: func(ctx context.Context, req *acceptor.Request, reply *acceptor.Reply) {
			f.Handle(ctx, req, reply)
			handled <- struct{}{}
		},
	}
	c.Assert(slow.Start(), qt.IsNil)
	c.Cleanup(func() { _ = slow.Stop(context.Background()) })
	for range 50 {
		conn, err := net.Dial("tcp", slow.Addr())
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(conn, "POST /once/ HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"+lines(platform.StandInRequest("r", clientTimeout))+"\r\nhi")
		c.Assert(err, qt.IsNil)
		<-received
		c.Assert(conn.Close(), qt.IsNil)
		left <- struct{}{}
		<-handled
	}
	c.Check(b.runs.Load(), qt.Equals, int32(1))
}
