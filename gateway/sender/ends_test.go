package sender

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
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
	address := serveEach(c, func(conn *net.TCPConn) {
		_, _ = conn.Read(make([]byte, 1))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of the answer")
		time.Sleep(time.Millisecond)
		_ = conn.SetLinger(0)
	})
	s := newEndsSender()
	body := make([]byte, 16<<20)
	for range 100 {
		in, err := s.Send(context.Background(), &Request{Backend: "b", Address: address, Method: "POST", Target: "/", Body: body})
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

// serveEach serves each connection and then closes it.
func serveEach(c *qt.C, serve func(conn *net.TCPConn)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			serve(conn.(*net.TCPConn))
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

func newEndsSender() *Sender {
	return &Sender{
		Clock: clockwork.NewRealClock(), DialTimeout: time.Minute, MaxIdle: time.Minute,
		IsOwnResponse: func(*framer.ResponseHead, string) (bool, time.Duration) { return true, 0 },
	}
}

// fetch sends a request and reads its answer. It reports whether a complete one came.
func fetch(s *Sender, address string) bool {
	in, err := s.Send(context.Background(), &Request{Backend: "b", Address: address, Method: "GET", Target: "/", NewConnection: true})
	if err != nil {
		return false
	}
	defer in.Close()
	_, err = io.ReadAll(in.Body)
	return err == nil && in.Body.Complete()
}

// A backend server that stops in the middle of its answer's head, or of its body, gives no complete answer.
func TestAnswerThatStopsIsNotComplete(t *testing.T) {
	for name, answer := range map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nanswer",
		"in chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", reset: ", reset), func(t *testing.T) {
				c := qt.New(t)
				var cut atomic.Int64
				address := serveEach(c, func(conn *net.TCPConn) {
					_, _ = conn.Read(make([]byte, 4096))
					_, _ = io.WriteString(conn, answer[:cut.Load()])
					if reset {
						_ = conn.SetLinger(0)
					}
				})
				s := newEndsSender()
				for i := range len(answer) {
					cut.Store(int64(i))
					c.Check(fetch(s, address), qt.IsFalse, qt.Commentf("after %q", answer[:i]))
				}
			})
		}
	}
}

// A status such as 000 is none.
func TestAnswerWithoutAStatusIsMalformed(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "0", "20", "2000", "+20", "-20", "2 0", "OK", ""} {
		t.Run(status, func(t *testing.T) {
			c := qt.New(t)
			address := serveEach(c, func(conn *net.TCPConn) {
				_, _ = conn.Read(make([]byte, 4096))
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" OK\r\nContent-Length: 2\r\n\r\nok")
			})
			_, err := newEndsSender().Send(context.Background(), &Request{Backend: "b", Address: address, Method: "GET", Target: "/"})
			c.Check(KindOf(err), qt.Equals, KindMalformed)
		})
	}
}
