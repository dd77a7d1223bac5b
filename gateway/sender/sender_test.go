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

// newUnresponsiveServer accepts connections, reports each request that begins, and never
// answers.
func newUnresponsiveServer(c *qt.C) (address string, began <-chan struct{}) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	requests := make(chan struct{}, 8)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = conn.Read(make([]byte, 1))
				requests <- struct{}{}
				_, _ = io.Copy(io.Discard, conn)
			}()
		}
	}()
	return listener.Addr().String(), requests
}

// An incarnation that was replaced without an exit notice never answers. Its requests must fail
// when the gateway learns of the replacement, not at their deadline; those of other
// incarnations continue.
func TestRequestsOfReplacedIncarnationFail(t *testing.T) {
	c := qt.New(t)
	s := &Sender{
		Clock: clockwork.NewRealClock(), DialTimeout: time.Minute, MaxIdle: time.Minute,
		IsOwnResponse: func(*framer.ResponseHead, string) (bool, time.Duration) { return true, 0 },
	}
	address, began := newUnresponsiveServer(c)
	ctx, cancel := context.WithCancel(context.Background())
	send := func(backend string) <-chan Kind {
		ended := make(chan Kind, 1)
		go func() {
			_, err := s.Send(ctx, &Request{Backend: backend, Address: address, Method: "POST", Target: "/"})
			ended <- KindOf(err)
		}()
		<-began
		return ended
	}
	earlier, other := send("i-1~1"), send("i-2~1")
	s.CloseAll("i-1~1")
	// It may have run; only the loss of its answer is certain.
	c.Check(<-earlier, qt.Equals, KindLost)
	select {
	case <-other:
		c.Error("the request of another incarnation has ended")
	default:
	}
	cancel()
	<-other
	c.Check(s.busy, qt.HasLen, 0)
}

// A request that must not be sent any more once its connection is open leaves nothing on it,
// and the next request uses the connection.
func TestWithdrawnRequestIsNotSent(t *testing.T) {
	c := qt.New(t)
	s := &Sender{
		Clock: clockwork.NewRealClock(), DialTimeout: time.Minute, MaxIdle: time.Minute,
		IsOwnResponse: func(*framer.ResponseHead, string) (bool, time.Duration) { return true, 0 },
	}
	address, began := newUnresponsiveServer(c)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_, err := s.Send(ctx, &Request{Backend: "b", Address: address, Method: "POST", Target: "/", Permitted: func() bool { return false }})
	c.Check(KindOf(err), qt.Equals, KindWithdrawn)
	c.Assert(s.idle["b"], qt.HasLen, 1)
	unused := s.idle["b"][0]
	ended := make(chan error, 1)
	go func() {
		_, err := s.Send(ctx, &Request{Backend: "b", Address: address, Method: "POST", Target: "/", Permitted: func() bool { return true }})
		ended <- err
	}()
	<-began
	s.mu.Lock()
	_, used := s.busy["b"][unused]
	s.mu.Unlock()
	c.Check(used, qt.IsTrue)
	cancel()
	c.Check(KindOf(<-ended), qt.Equals, KindLost)
}
