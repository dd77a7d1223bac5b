package sender

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// A probe tells whether a process still listens, and what it opens is used: the next request
// there needs no connection of its own.
func TestAProbeKeepsItsConnection(t *testing.T) {
	c := qt.New(t)
	s := &Sender{Clock: clockwork.NewRealClock(), DialTimeout: time.Minute, MaxIdle: time.Minute}
	address, _ := silentServer(c)
	c.Assert(s.Probe(context.Background(), "b", address), qt.IsNil)
	c.Check(s.take("b"), qt.Not(qt.IsNil))
	c.Check(s.take("b"), qt.IsNil)
}

// Only where nothing listens the process has ended; a caller that gives up has learnt nothing.
func TestWhereNothingListensAConnectionIsRefused(t *testing.T) {
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
