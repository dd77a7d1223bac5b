package buffersizer

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A peer that is not read could leave megabytes in the kernel.
func TestUnreadBytesAreBounded(t *testing.T) {
	const (
		buffer = 16 << 10
		// The kernel counts its own structures, for which it doubles the size, and the sender has a buffer too.
		most = 32 * buffer
	)
	c := qt.New(t)
	config := net.ListenConfig{Control: Control(buffer)}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = listener.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	c.Assert(conn.(*net.TCPConn).SetWriteBuffer(buffer), qt.IsNil)
	accepted, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	defer func() { _ = accepted.Close() }()
	_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
	written, err := conn.Write(make([]byte, 8<<20))
	c.Check(err, qt.IsNotNil)
	c.Check(written <= most, qt.IsTrue, qt.Commentf("%d bytes", written))
	_ = conn.Close()
	read, _ := io.Copy(io.Discard, accepted)
	c.Check(int(read) <= most, qt.IsTrue)
}
