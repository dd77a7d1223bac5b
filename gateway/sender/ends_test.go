package sender

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/framer"
)

// The kernel told the reset of a connection to the write of a long body, so that the read of the answer saw an end: a part of
// an answer that ends with its connection looked complete.
func TestResetDuringLongBodyIsNoEnd(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 1))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of the answer")
			time.Sleep(time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	s := &Sender{
		Clock: clockwork.NewRealClock(), DialTimeout: time.Minute, MaxIdle: time.Minute,
		IsOwnResponse: func(*framer.ResponseHead, string) (bool, time.Duration) { return true, 0 },
	}
	body := make([]byte, 16<<20)
	for range 100 {
		in, err := s.Send(context.Background(), &Request{Backend: "b", Address: listener.Addr().String(), Method: "POST", Target: "/", Body: body})
		if err != nil {
			// The reset came before the answer was read.
			continue
		}
		_, err = io.ReadAll(in.Body)
		c.Check(err, qt.Not(qt.IsNil))
		c.Check(in.Body.Complete(), qt.IsFalse)
		in.Close()
	}
}
