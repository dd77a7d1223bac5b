package tunneler

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// The kernel told the reset of a backend server to the write of a request, so that the read of the answer saw an end: a part
// of an answer that ends with its connection looked complete.
func TestResetDuringRequestIsNoEnd(t *testing.T) {
	for range 100 {
		c := qt.New(t)
		s := newSite(t)
		other, downstream := connect(c)
		upstream, backend := connect(c)
		go (&served{downstream: downstream, upstream: upstream}).serve(s.peer)
		written := make(chan error, 1)
		go func() {
			_, err := other.Write(make([]byte, 16<<20))
			written <- err
		}()
		_, err := backend.Read(make([]byte, 1))
		c.Assert(err, qt.IsNil)
		_, err = io.WriteString(backend, "half of the answer")
		c.Assert(err, qt.IsNil)
		c.Assert(backend.SetLinger(0), qt.IsNil)
		c.Assert(backend.Close(), qt.IsNil)
		_, err = io.ReadAll(other)
		// Here too, the write may be told in place of the read.
		err = errors.Join(err, <-written)
		c.Assert(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
	}
}

// A backend server answered before the end of a long body and closed its connection: the tunnel was reset as the rest of the
// body could not be written, and the answer was lost.
func TestAnswerBeforeTheEndOfTheRequestPasses(t *testing.T) {
	rejection := strings.Repeat("rejection\n", 1<<15)
	for range 20 {
		c := qt.New(t)
		s := newSite(t)
		other, downstream := connect(c)
		upstream, backend := connect(c)
		taken := &countingConn{TCPConn: upstream}
		go (&served{downstream: downstream, upstream: taken}).serve(s.peer)
		// The gateway that serves the tunnel takes all of the answer before the other one does.
		c.Assert(downstream.SetWriteBuffer(1<<20), qt.IsNil)
		c.Assert(other.SetReadBuffer(64<<10), qt.IsNil)
		go func() { _, _ = other.Write(make([]byte, 16<<20)) }()
		_, err := backend.Read(make([]byte, 1))
		c.Assert(err, qt.IsNil)
		go func() {
			_, _ = io.WriteString(backend, rejection)
			_ = backend.CloseWrite()
			for taken.bytes.Load() < int64(len(rejection)) {
				time.Sleep(time.Millisecond)
			}
			_ = backend.Close()
		}()
		time.Sleep(30 * time.Millisecond)
		answer, err := io.ReadAll(other)
		c.Assert(err, qt.IsNil)
		c.Assert(string(answer) == rejection, qt.IsTrue, qt.Commentf("%d of %d bytes", len(answer), len(rejection)))
	}
}

// countingConn counts the bytes that are read from it.
type countingConn struct {
	*net.TCPConn
	bytes atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// A tunnel was reset in the middle of a stream, five minutes after the last byte of its request.
func TestLongStreamKeepsItsTunnel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newSeries(0, nil)
		gateway, relay, backend := s.net.start("gateway"), s.net.start("relay"), s.net.start("backend")
		mesh, listening := relay.listen(), backend.listen()
		dial := func(from *process, l *listener) (dialed, accepted net.Conn) {
			dialed, err := from.dial(context.Background(), "", l.owner.name)
			c.Assert(err, qt.IsNil)
			accepted, err = l.Accept()
			c.Assert(err, qt.IsNil)
			return dialed, accepted
		}
		s.net.breakPercent, s.net.random = 0, rand.New(rand.NewPCG(1, 1))
		other, downstream := dial(gateway, mesh)
		upstream, server := dial(relay, listening)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			(&served{downstream: downstream, upstream: upstream}).serve(s.newTunneler(relay))
		}()
		buf := make([]byte, 1)
		_, err := other.Write(buf)
		c.Assert(err, qt.IsNil)
		for range 10 {
			_, err = server.Write(buf)
			c.Assert(err, qt.IsNil)
			_, err = other.Read(buf)
			c.Assert(err, qt.IsNil)
			time.Sleep(tunnelIdleTimeout / 4)
		}
		// One that carries nothing ends.
		time.Sleep(2 * tunnelIdleTimeout)
		<-ended
	})
}
