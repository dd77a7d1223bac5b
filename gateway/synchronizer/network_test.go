package synchronizer

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// network is a simulated network in the time of a synctest bubble. Each host sends and receives with a
// bounded rate, one segment after the other; a connection has a window of bytes on their way.
type network struct {
	latency time.Duration
	// running are the links.
	running sync.WaitGroup
	mu      sync.Mutex
	hosts   map[string]*host
}

const (
	segmentBytes = 4 << 10
	windowBytes  = 64 << 10
	// controlBytes is the size of a segment without data.
	controlBytes = 64
)

// host is a machine with one listening address.
type host struct {
	network       *network
	address       string
	egress        *link
	ingress       *link
	accepted      chan net.Conn
	closed        chan struct{}
	closeListener sync.Once
}

func newNetwork(latency time.Duration) *network {
	return &network{latency: latency, hosts: map[string]*host{}}
}

func (n *network) add(ctx context.Context, address string, bytesPerSecond float64) *host {
	h := &host{
		network: n, address: address, egress: newLink(bytesPerSecond), ingress: newLink(bytesPerSecond),
		accepted: make(chan net.Conn, 1024), closed: make(chan struct{}),
	}
	n.mu.Lock()
	n.hosts[address] = h
	n.mu.Unlock()
	n.running.Go(func() { h.egress.run(ctx) })
	n.running.Go(func() { h.ingress.run(ctx) })
	return h
}

// send brings a segment from one host to another; deliver is called as it arrives.
func (n *network) send(from, to *host, size int, dropped func() bool, deliver func()) {
	from.egress.push(segment{size: size, dropped: dropped, deliver: func() {
		time.AfterFunc(n.latency, func() { to.ingress.push(segment{size: size, dropped: dropped, deliver: deliver}) })
	}})
}

// Dial opens a connection from a host.
func (h *host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	h.network.mu.Lock()
	to := h.network.hosts[address]
	h.network.mu.Unlock()
	if to == nil {
		return nil, errors.New("no such host")
	}
	local, remote := newPair(h, to)
	opened := make(chan struct{})
	never := func() bool { return false }
	h.network.send(h, to, controlBytes, never, func() {
		select {
		case <-to.closed:
			return
		case to.accepted <- remote:
		}
		h.network.send(to, h, controlBytes, never, func() { close(opened) })
	})
	select {
	case <-opened:
		return local, nil
	case <-ctx.Done():
		_ = local.Close()
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (h *host) Accept() (net.Conn, error) {
	select {
	case c := <-h.accepted:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *host) Close() error {
	h.closeListener.Do(func() { close(h.closed) })
	return nil
}

// Addr implements net.Listener.
func (h *host) Addr() net.Addr { return addr(h.address) }

type addr string

func (addr) Network() string  { return "tcp" }
func (a addr) String() string { return string(a) }

// segment is a part of a transfer.
type segment struct {
	size    int
	dropped func() bool
	deliver func()
}

// link carries segments one after the other.
type link struct {
	bytesPerSecond float64
	mu             sync.Mutex
	queue          []segment
	pushed         chan struct{}
	frozen         bool
	carried        int
}

// freeze stops or continues what a host sends and receives.
func (h *host) freeze(frozen bool) {
	for _, l := range []*link{h.egress, h.ingress} {
		l.mu.Lock()
		l.frozen = frozen
		l.mu.Unlock()
		l.wake()
	}
}

func newLink(bytesPerSecond float64) *link {
	return &link{bytesPerSecond: bytesPerSecond, pushed: make(chan struct{}, 1)}
}

func (l *link) push(s segment) {
	l.mu.Lock()
	l.queue = append(l.queue, s)
	l.mu.Unlock()
	l.wake()
}

func (l *link) wake() {
	select {
	case l.pushed <- struct{}{}:
	default:
	}
}

func (l *link) pop() (segment, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) == 0 || l.frozen {
		return segment{}, false
	}
	s := l.queue[0]
	l.queue = l.queue[1:]
	if !s.dropped() {
		l.carried += s.size
	}
	return s, true
}

func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		s, ok := l.pop()
		switch {
		case !ok:
			select {
			case <-ctx.Done():
				return
			case <-l.pushed:
			}
		case !s.dropped():
			<-time.After(time.Duration(float64(s.size) / l.bytesPerSecond * float64(time.Second)))
			s.deliver()
		}
	}
}

// endpoint is one end of a connection.
type endpoint struct {
	host *host
	peer *endpoint

	mu sync.Mutex
	// changed is closed and replaced at each change.
	changed  chan struct{}
	received []byte
	// unread counts the bytes that are on their way to this end or not yet read.
	unread   int
	ended    bool
	closed   bool
	deadline time.Time
}

func newPair(a, b *host) (local, remote *endpoint) {
	local, remote = &endpoint{host: a, changed: make(chan struct{})}, &endpoint{host: b, changed: make(chan struct{})}
	local.peer, remote.peer = remote, local
	return local, remote
}

// update changes the state of an end.
func (e *endpoint) update(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *endpoint) isClosed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.closed
}

// Read implements net.Conn.
func (e *endpoint) Read(b []byte) (int, error) {
	for {
		e.mu.Lock()
		changed, deadline := e.changed, e.deadline
		switch {
		case e.closed:
			e.mu.Unlock()
			return 0, net.ErrClosed
		case len(e.received) > 0:
			n := copy(b, e.received)
			e.received = e.received[n:]
			e.unread -= n
			close(e.changed)
			e.changed = make(chan struct{})
			e.mu.Unlock()
			return n, nil
		case e.ended:
			e.mu.Unlock()
			return 0, io.EOF
		case !deadline.IsZero() && !time.Now().Before(deadline):
			e.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		e.mu.Unlock()
		waitFor(changed, deadline)
	}
}

func waitFor(changed <-chan struct{}, deadline time.Time) {
	if deadline.IsZero() {
		<-changed
		return
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

// Write implements net.Conn. Bytes that have not arrived when either end closes are lost.
func (e *endpoint) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		part := b[written:min(len(b), written+segmentBytes)]
		if err := e.awaitWindow(len(part)); err != nil {
			return written, err
		}
		data := append([]byte(nil), part...)
		e.host.network.send(e.host, e.peer.host, len(data)+controlBytes, e.peer.isClosed, func() {
			e.peer.update(func() { e.peer.received = append(e.peer.received, data...) })
		})
		written += len(part)
	}
	return written, nil
}

// awaitWindow waits until a segment of a size may be on its way.
func (e *endpoint) awaitWindow(size int) error {
	for {
		if e.isClosed() {
			return net.ErrClosed
		}
		e.peer.mu.Lock()
		changed := e.peer.changed
		if e.peer.closed {
			e.peer.mu.Unlock()
			return errors.New("connection reset by peer")
		}
		if e.peer.unread < windowBytes {
			e.peer.unread += size
			e.peer.mu.Unlock()
			return nil
		}
		e.peer.mu.Unlock()
		e.mu.Lock()
		own := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-own:
		}
	}
}

// Close implements net.Conn.
func (e *endpoint) Close() error {
	if e.isClosed() {
		return nil
	}
	e.update(func() { e.closed = true })
	e.host.network.send(e.host, e.peer.host, controlBytes, e.peer.isClosed, func() { e.peer.update(func() { e.peer.ended = true }) })
	return nil
}

// LocalAddr implements net.Conn.
func (e *endpoint) LocalAddr() net.Addr { return addr(e.host.address) }

// RemoteAddr implements net.Conn.
func (e *endpoint) RemoteAddr() net.Addr { return addr(e.peer.host.address) }

// SetDeadline implements net.Conn.
func (e *endpoint) SetDeadline(t time.Time) error { return e.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (e *endpoint) SetReadDeadline(t time.Time) error {
	e.update(func() { e.deadline = t })
	return nil
}

// SetWriteDeadline implements net.Conn.
func (e *endpoint) SetWriteDeadline(time.Time) error { return nil }
