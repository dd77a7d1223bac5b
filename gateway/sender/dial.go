package sender

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"bronzelead.example/pkg/connector"
)

// Detour opens connections to backend servers that can't be reached directly.
type Detour struct {
	// Needed reports whether a connection to a backend server is to be opened this way. It is
	// asked before a direct one is opened, and again after that has failed.
	Needed func(backend string) bool
	// Open opens a connection, and returns the instance that it leads through.
	Open func(ctx context.Context, backend, address string) (c net.Conn, via string, err error)
}

// connection is one connection to a backend server.
type connection struct {
	net.Conn
	reader    *bufio.Reader
	idleUntil time.Time
	// kept is set once it was idle.
	kept bool
	// via is the instance that it leads through; empty for a direct one.
	via string
	// requestID is the id of its latest request, and sentAt when that was sent.
	requestID string
	sentAt    time.Time
	// received counts the receipts of all connections.
	received *receipts
	// body is the write of its latest request's body, if that goes on while the answer is read.
	body *bodyWrite
	// answered is set once the answer to its latest request has begun.
	answered atomic.Bool
}

// abandon closes the connection of a request that is given up.
func (l *connection) abandon() {
	if tcp, ok := l.Conn.(interface{ SetLinger(sec int) error }); ok && !l.answered.Load() {
		_ = tcp.SetLinger(0)
	}
	_ = l.Close()
}

// receipts records when anything was last received from backend servers.
type receipts struct {
	now func() time.Time
	// at is in ns of Unix time.
	at atomic.Int64
}

// Read records what is received.
func (l *connection) Read(b []byte) (int, error) {
	n, err := l.Conn.Read(b)
	if n > 0 {
		l.received.at.Store(l.received.now().UnixNano())
	}
	if err == io.EOF && l.body != nil {
		err = l.endOfAnswer()
	}
	return n, err
}

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// endOfAnswer returns io.EOF if the backend server has ended its answer, or the error of the connection. The kernel tells a
// reset once: if the write of the body gets it, the read sees an end, and a part of an answer would look complete.
func (l *connection) endOfAnswer() error {
	_ = l.SetWriteDeadline(expired)
	<-l.body.ended
	if !connector.EndedBefore(l.body.err) {
		return l.body.err
	}
	return io.EOF
}

// dial opens a connection to a backend server, directly or by the detour.
func (s *Sender) dial(ctx context.Context, backend, address string) (*connection, error) {
	if s.needsDetour(backend) {
		return s.dialDetour(ctx, backend, address)
	}
	l, err := s.dialDirect(ctx, backend, address)
	if err != nil && ctx.Err() == nil && s.needsDetour(backend) {
		return s.dialDetour(ctx, backend, address)
	}
	return l, err
}

func (s *Sender) needsDetour(backend string) bool { return s.Detour != nil && s.Detour.Needed(backend) }

func (s *Sender) dialDetour(ctx context.Context, backend, address string) (*connection, error) {
	c, via, err := s.Detour.Open(ctx, backend, address)
	if err != nil {
		return nil, wrap("DialDetour", KindNotSent, err)
	}
	setUserTimeout(c, s.UserTimeout)
	return s.newConnection(c, via), nil
}

func (s *Sender) dialDirect(ctx context.Context, backend, address string) (*connection, error) {
	c, err := s.Dial(ctx, backend, address)
	if err != nil {
		return nil, wrap("Dial", KindNotSent, err)
	}
	return s.newConnection(c, ""), nil
}

// Dial opens a direct connection to a backend server for another use. Its outcome is observed.
func (s *Sender) Dial(ctx context.Context, backend, address string) (net.Conn, error) {
	c, err := s.open(ctx, address)
	if err == nil {
		setUserTimeout(c, s.UserTimeout)
	}
	if s.ObserveDial != nil && (err == nil || ctx.Err() == nil) {
		s.ObserveDial(backend, err)
	}
	return c, err
}

// open opens a direct connection within DialTimeout.
func (s *Sender) open(ctx context.Context, address string) (net.Conn, error) {
	if s.DialContext == nil {
		dialer := &net.Dialer{Timeout: s.DialTimeout, KeepAlive: -1}
		return dialer.DialContext(ctx, "tcp", address)
	}
	ctx, cancel := context.WithTimeout(ctx, s.DialTimeout)
	defer cancel()
	return s.DialContext(ctx, "tcp", address)
}

func (s *Sender) newConnection(c net.Conn, via string) *connection {
	l := &connection{Conn: c, via: via, received: s.receipts()}
	l.reader = bufio.NewReaderSize(l, readBufferSize)
	return l
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

// ProbeDirect is Probe without a detour.
func (s *Sender) ProbeDirect(ctx context.Context, backend, address string) error {
	l, err := s.dialDirect(ctx, backend, address)
	if err != nil {
		return err
	}
	s.keepIdle(backend, l, 0)
	return nil
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which package syscall doesn't name.
const tcpUserTimeout = 18

// setUserTimeout limits how long sent bytes may stay unacknowledged. No keep-alive probes are sent on
// these connections, which the option would bound too.
func setUserTimeout(c net.Conn, d time.Duration) {
	tcp, ok := c.(syscall.Conn)
	if !ok || d == 0 {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	// Without the option a dead connection is only detected later.
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d.Milliseconds()))
	})
}
