package sender

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"
)

func (s *Sender) dial(ctx context.Context, backend, address string) (*connection, error) {
	c, err := s.open(ctx, address)
	if s.ObserveDial != nil && (err == nil || ctx.Err() == nil) {
		s.ObserveDial(backend, err)
	}
	if err != nil {
		return nil, wrap("Dial", KindNotSent, err)
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		setUserTimeout(tcp, s.UserTimeout)
	}
	return &connection{Conn: c, reader: bufio.NewReaderSize(c, readBufferSize)}, nil
}

// open opens a connection within DialTimeout.
func (s *Sender) open(ctx context.Context, address string) (net.Conn, error) {
	if s.DialContext == nil {
		dialer := &net.Dialer{Timeout: s.DialTimeout, KeepAlive: -1}
		return dialer.DialContext(ctx, "tcp", address)
	}
	ctx, cancel := context.WithTimeout(ctx, s.DialTimeout)
	defer cancel()
	return s.DialContext(ctx, "tcp", address)
}

// Probe opens a connection to a backend server, which the next request there uses.
func (s *Sender) Probe(ctx context.Context, backend, address string) error {
	l, err := s.dial(ctx, backend, address)
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
