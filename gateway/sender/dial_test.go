package sender

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// A probe checks whether a process still listens, and its connection is reused: the next
// request there needs no new one.
func TestProbedConnectionIsReused(t *testing.T) {
	c := qt.New(t)
	s := &Sender{Clock: clockwork.NewRealClock(), DialTimeout: time.Minute, MaxIdle: time.Minute}
	address, _ := newUnresponsiveServer(c)
	c.Assert(s.Probe(context.Background(), "b", address), qt.IsNil)
	c.Check(s.takeIdle(&Request{Backend: "b"}), qt.Not(qt.IsNil))
	c.Check(s.takeIdle(&Request{Backend: "b"}), qt.IsNil)
}

// Only a refused connection proves that the process has exited; a canceled dial proves nothing.
func TestConnectionRefusedWithoutListener(t *testing.T) {
	c := qt.New(t)
	s := &Sender{Clock: clockwork.NewRealClock(), DialTimeout: time.Minute, MaxIdle: time.Minute}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	c.Assert(listener.Close(), qt.IsNil)
	refused := s.Probe(context.Background(), "b", address)
	c.Check(IsConnectionRefused(refused), qt.IsTrue)
	c.Check(KindOf(refused), qt.Equals, KindNotSent)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	c.Check(IsConnectionRefused(s.Probe(ended, "b", address)), qt.IsFalse)
}
