package tunneler

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A gateway passed on the request of a tunnel that the other gateway had closed since, as its caller had left.
func TestRequestOfClosedTunnelIsNotPassedOn(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn) error{
		"closed": (*net.TCPConn).Close,
		"reset": func(c *net.TCPConn) error {
			_ = c.SetLinger(0)
			return c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t)
			other, downstream := connect(s.c)
			upstream, backend := connect(s.c)
			_, err := io.WriteString(other, "request\n")
			s.c.Assert(err, qt.IsNil)
			s.c.Assert(end(other), qt.IsNil)
			(&served{downstream: downstream, upstream: upstream}).serve(s.peer)
			passed, _ := io.ReadAll(backend)
			s.c.Check(string(passed), qt.Equals, "")
		})
	}
}

// connect returns both ends of a connection.
func connect(c *qt.C) (dialled, accepted *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	server, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _, _ = client.Close(), server.Close() })
	return client.(*net.TCPConn), server.(*net.TCPConn)
}
