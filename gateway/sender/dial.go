package sender

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"
)

func (s *Sender) dial(ctx context.Context, address string) (*connection, error) {
	dialer := &net.Dialer{Timeout: s.DialTimeout, KeepAlive: -1}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, wrap("Dial", KindNotSent, err)
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		setUserTimeout(tcp, s.UserTimeout)
	}
	return &connection{Conn: c, reader: bufio.NewReaderSize(c, readBufferSize)}, nil
}

// Probe opens a connection to a backend server, which the next request there uses.
func (s *Sender) Probe(ctx context.Context, backend, address string) error {
	l, err := s.dial(ctx, address)
	if err != nil {
		return err
	}
	s.keepIdle(backend, l, 0)
	return nil
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall doesn't name.
const tcpUserTimeout = 18

func setUserTimeout(c *net.TCPConn, d time.Duration) {
	raw, err := c.SyscallConn()
	if err != nil || d == 0 {
		return
	}
	// Without the option a dead connection is only detected later.
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
}
