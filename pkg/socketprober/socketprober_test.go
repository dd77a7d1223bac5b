package socketprober_test

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/socketprober"
)

// connect returns both ends of a connection on loopback.
func connect(c *qt.C) (client, server *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	accepted, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		_ = dialled.Close()
		_ = accepted.Close()
	})
	return dialled.(*net.TCPConn), accepted.(*net.TCPConn)
}

func TestStates(t *testing.T) {
	for name, test := range map[string]struct {
		does func(c *qt.C, peer *net.TCPConn)
		// reads is how many bytes are read before the probe.
		reads      int
		want       socketprober.State
		peerClosed bool
	}{
		"nothing sent": {func(*qt.C, *net.TCPConn) {}, 0, socketprober.Idle, false},
		"bytes and then an end": {func(c *qt.C, peer *net.TCPConn) {
			_, err := peer.Write([]byte("ab"))
			c.Assert(err, qt.IsNil)
			c.Assert(peer.Close(), qt.IsNil)
		}, 1, socketprober.Readable, true},
		"bytes": {func(c *qt.C, peer *net.TCPConn) {
			_, err := peer.Write([]byte("ab"))
			c.Assert(err, qt.IsNil)
		}, 1, socketprober.Readable, false},
		"the end after bytes": {func(c *qt.C, peer *net.TCPConn) {
			_, err := peer.Write([]byte("ab"))
			c.Assert(err, qt.IsNil)
			c.Assert(peer.Close(), qt.IsNil)
		}, 2, socketprober.Closed, true},
		"half closed": {func(c *qt.C, peer *net.TCPConn) { c.Assert(peer.CloseWrite(), qt.IsNil) }, 0, socketprober.Closed, true},
		"reset": {func(c *qt.C, peer *net.TCPConn) {
			c.Assert(peer.SetLinger(0), qt.IsNil)
			c.Assert(peer.Close(), qt.IsNil)
		}, 0, socketprober.Closed, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			peer, conn := connect(c)
			test.does(c, peer)
			buf := make([]byte, 1)
			for range test.reads {
				_, err := conn.Read(buf)
				c.Assert(err, qt.IsNil)
			}
			// Loopback delivers before the sender's call returns.
			c.Check(socketprober.Probe(conn), qt.Equals, test.want)
			c.Check(socketprober.PeerClosed(conn), qt.Equals, test.peerClosed)
		})
	}
}

func TestClosedConnectionIsClosed(t *testing.T) {
	c := qt.New(t)
	_, conn := connect(c)
	c.Assert(conn.Close(), qt.IsNil)
	c.Check(socketprober.Probe(conn), qt.Equals, socketprober.Closed)
}

func TestConnectionsWithoutSocketAreUnknown(t *testing.T) {
	a, b := net.Pipe()
	defer func() { _, _ = a.Close(), b.Close() }()
	qt.New(t).Check(socketprober.Probe(a), qt.Equals, socketprober.Unknown)
}
