package forwarder

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// simNetwork is a network in the time of a synctest bubble. Bytes arrive in order after a latency and wait in the buffer
// of the receiving host, also while its process is frozen or after the sender has reset the connection.
type simNetwork struct {
	mu     sync.Mutex
	random *rand.Rand
	hosts  map[string]*simHost
}

const simLatency = time.Millisecond

func newSimNetwork(seed uint64) *simNetwork {
	return &simNetwork{random: rand.New(rand.NewPCG(seed, 7)), hosts: map[string]*simHost{}}
}

// draw returns a number below n.
func (n *simNetwork) draw(below int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.IntN(below)
}

// simHost is a process with one listening address.
type simHost struct {
	network  *simNetwork
	address  string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once

	mu sync.Mutex
	// thawed is open while the process is frozen.
	thawed chan struct{}
	conns  map[*simConn]struct{}
	// breakOneIn is how many writes there are for one that breaks its connection after any of its bytes; 0 for none.
	breakOneIn int
}

func (n *simNetwork) add(address string) *simHost {
	h := &simHost{network: n, address: address, accepted: make(chan net.Conn, 1024), closed: make(chan struct{}), conns: map[*simConn]struct{}{}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts[address] = h
	return h
}

// freeze stops the process for a time: it neither reads nor writes, and its buffers fill.
func (h *simHost) freeze(d time.Duration) {
	thawed := make(chan struct{})
	h.mu.Lock()
	h.thawed = thawed
	h.mu.Unlock()
	<-time.After(d)
	h.mu.Lock()
	h.thawed = nil
	h.mu.Unlock()
	close(thawed)
}

func (h *simHost) awaitThaw() {
	h.mu.Lock()
	thawed := h.thawed
	h.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

// resetAll resets all connections, as the end of the process does.
func (h *simHost) resetAll() {
	h.mu.Lock()
	conns := h.conns
	h.conns = map[*simConn]struct{}{}
	h.mu.Unlock()
	for c := range conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

// dial opens a connection from a host.
func (h *simHost) dial(ctx context.Context, _, address string) (net.Conn, error) {
	h.network.mu.Lock()
	to := h.network.hosts[address]
	h.network.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(2 * simLatency):
	}
	if to == nil {
		return nil, syscall.ECONNREFUSED
	}
	local, remote := newSimPair(h, to)
	to.mu.Lock()
	to.conns[remote] = struct{}{}
	to.mu.Unlock()
	select {
	case <-to.closed:
		return nil, syscall.ECONNREFUSED
	case to.accepted <- remote:
		return local, nil
	}
}

// Accept implements net.Listener.
func (h *simHost) Accept() (net.Conn, error) {
	select {
	case c := <-h.accepted:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *simHost) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr implements net.Listener.
func (h *simHost) Addr() net.Addr { return simAddr(h.address) }

type simAddr string

func (simAddr) Network() string  { return "tcp" }
func (a simAddr) String() string { return string(a) }

// simConn is one end of a connection.
type simConn struct {
	host *simHost
	peer *simConn

	mu       sync.Mutex
	changed  chan struct{}
	received []byte
	// end is what follows the received bytes: io.EOF, a reset, or nil while more may come.
	end      error
	closed   bool
	reset    bool
	deadline time.Time
	// arriving are segments on their way to this end.
	arriving []simSegment
}

// simSegment is data, or the end of the connection.
type simSegment struct {
	data []byte
	end  error
}

func newSimPair(a, b *simHost) (local, remote *simConn) {
	local, remote = &simConn{host: a, changed: make(chan struct{})}, &simConn{host: b, changed: make(chan struct{})}
	local.peer, remote.peer = remote, local
	return local, remote
}

// update changes the state of an end.
func (e *simConn) update(change func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change()
	close(e.changed)
	e.changed = make(chan struct{})
}

// transmit sends a segment to the peer.
func (e *simConn) transmit(s simSegment) {
	p := e.peer
	p.mu.Lock()
	p.arriving = append(p.arriving, s)
	p.mu.Unlock()
	time.AfterFunc(simLatency, func() { p.update(p.arrive) })
}

// arrive delivers the next segment. The caller holds the lock.
func (e *simConn) arrive() {
	s := e.arriving[0]
	e.arriving = e.arriving[1:]
	if e.end == nil {
		e.received = append(e.received, s.data...)
		e.end = s.end
	}
}

// Read implements net.Conn.
func (e *simConn) Read(b []byte) (int, error) {
	for {
		e.host.awaitThaw()
		e.mu.Lock()
		changed, deadline := e.changed, e.deadline
		switch {
		case e.closed:
			e.mu.Unlock()
			return 0, net.ErrClosed
		case len(e.received) > 0:
			n := copy(b, e.received)
			e.received = e.received[n:]
			e.mu.Unlock()
			return n, nil
		case e.end != nil:
			e.mu.Unlock()
			return 0, e.end
		case !deadline.IsZero() && !time.Now().Before(deadline):
			e.mu.Unlock()
			return 0, os.ErrDeadlineExceeded
		}
		e.mu.Unlock()
		waitForChange(changed, deadline)
	}
}

func waitForChange(changed <-chan struct{}, deadline time.Time) {
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

// Write implements net.Conn. The returned number of bytes is what the kernel has accepted, and reaches the peer's host.
func (e *simConn) Write(b []byte) (int, error) {
	e.host.awaitThaw()
	e.mu.Lock()
	closed, end := e.closed, e.end
	e.mu.Unlock()
	switch {
	case closed:
		return 0, net.ErrClosed
	case end != nil && !errors.Is(end, io.EOF):
		return 0, end
	}
	if oneIn := e.host.breakOneIn; oneIn > 0 && e.host.network.draw(oneIn) == 0 {
		accepted := e.host.network.draw(len(b) + 1)
		e.transmit(simSegment{data: append([]byte(nil), b[:accepted]...), end: syscall.ECONNRESET})
		e.update(func() { e.received, e.end = nil, syscall.ECONNRESET })
		if accepted == len(b) {
			return accepted, nil
		}
		return accepted, syscall.ECONNRESET
	}
	e.transmit(simSegment{data: append([]byte(nil), b...)})
	return len(b), nil
}

// SetLinger implements the method of net.TCPConn.
func (e *simConn) SetLinger(seconds int) error {
	e.update(func() { e.reset = seconds == 0 })
	return nil
}

// Close implements net.Conn.
func (e *simConn) Close() error {
	already, end := false, io.EOF
	e.update(func() {
		already = e.closed
		e.closed = true
		if e.reset || len(e.received) > 0 {
			end = syscall.ECONNRESET
		}
	})
	if already {
		return nil
	}
	e.host.mu.Lock()
	delete(e.host.conns, e)
	e.host.mu.Unlock()
	e.transmit(simSegment{end: end})
	return nil
}

// CloseWrite implements the method of net.TCPConn.
func (e *simConn) CloseWrite() error {
	e.transmit(simSegment{end: io.EOF})
	return nil
}

// LocalAddr implements net.Conn.
func (e *simConn) LocalAddr() net.Addr { return simAddr(e.host.address) }

// RemoteAddr implements net.Conn.
func (e *simConn) RemoteAddr() net.Addr { return simAddr(e.peer.host.address) }

// SetDeadline implements net.Conn.
func (e *simConn) SetDeadline(t time.Time) error { return e.SetReadDeadline(t) }

// SetReadDeadline implements net.Conn.
func (e *simConn) SetReadDeadline(t time.Time) error {
	e.update(func() { e.deadline = t })
	return nil
}

// SetWriteDeadline implements net.Conn.
func (e *simConn) SetWriteDeadline(time.Time) error { return nil }
