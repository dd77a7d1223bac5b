package tunneler

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// minBuffer is the size of the smallest buffers of simulated connections, bufferDoublings how often it is doubled at
	// most, and maxSegment what is delivered at once at most.
	minBuffer       = 512
	bufferDoublings = 6
	maxSegment      = 8 << 10
	// maxLatency bounds the time that a segment takes, in µs.
	maxLatency = 1500
	// unacknowledged is how long sent bytes may stay unacknowledged on connections that were dialed.
	unacknowledged = 2 * time.Second
)

// network connects simulated processes like TCP of Linux does: buffers on both sides belong to the kernel, which goes on
// while a process is frozen, and ends connections of one that was killed.
type network struct {
	mu      sync.Mutex
	changed *sync.Cond
	random  *rand.Rand
	// cut holds the pairs of processes between which nothing is delivered, in the direction from the first.
	cut       map[[2]string]bool
	listeners map[string]*listener
	endpoints []*endpoint
	// breakPercent is the share of connections that break after a drawn number of bytes.
	breakPercent int
	breaks       int
}

func newNetwork(random *rand.Rand) *network {
	n := &network{random: random, cut: map[[2]string]bool{}, listeners: map[string]*listener{}}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// draw returns a number below limit.
func (n *network) draw(limit int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.IntN(limit)
}

// setCut cuts or heals one direction between two hosts. A host is named like its process.
func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.cut[[2]string{from, to}] = true
		return
	}
	delete(n.cut, [2]string{from, to})
	n.resend()
}

// heal ends all cuts.
func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	n.resend()
}

func (n *network) resend() {
	for _, e := range n.endpoints {
		e.schedule()
	}
	n.changed.Broadcast()
}

func (n *network) isCut(from, to *process) bool { return n.cut[[2]string{from.name, to.name}] }

func (n *network) latency() time.Duration {
	return time.Duration(20+n.random.IntN(maxLatency)) * time.Microsecond
}

// process owns connections.
type process struct {
	net  *network
	name string
	// freezeShare is the share of its calls, in hundredths of a percent, after which it is frozen for a time.
	freezeShare int
	frozen      bool
	killed      bool
	// thawing are the calls that take effect once it goes on.
	thawing []func()
}

func (n *network) start(name string) *process { return &process{net: n, name: name} }

// freeze stops a process, as SIGSTOP does, and thaw lets it go on.
func (p *process) freeze(d time.Duration) {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.freezeLocked(d)
}

func (p *process) freezeLocked(d time.Duration) {
	if p.frozen || p.killed {
		return
	}
	p.frozen = true
	time.AfterFunc(d, p.thaw)
}

func (p *process) thaw() {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.frozen = false
	for _, call := range p.thawing {
		call()
	}
	p.thawing = nil
	p.net.changed.Broadcast()
}

// kill ends a process. The kernel closes its connections.
func (p *process) kill() {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.killed, p.frozen = true, false
	if l := p.net.listeners[p.name]; l != nil && l.owner == p {
		delete(p.net.listeners, p.name)
		for _, c := range l.backlog {
			c.reset()
		}
	}
	for _, e := range p.net.endpoints {
		if e.owner == p && !e.closed {
			e.close()
		}
	}
	p.net.changed.Broadcast()
}

// wait blocks a call of a process that is frozen. The caller holds the lock.
func (p *process) wait() {
	for p.frozen {
		p.net.changed.Wait()
	}
}

// leave ends a call of a process, which may be frozen at this point. The caller holds the lock.
func (p *process) leave() {
	if p.freezeShare > 0 && p.net.random.IntN(10_000) < p.freezeShare {
		p.freezeLocked(time.Duration(1+p.net.random.IntN(4000)) * time.Millisecond)
	}
	p.wait()
}

type address string

func (a address) Network() string { return "sim" }
func (a address) String() string  { return string(a) }

// listener accepts connections for a process. Its address is the process's name.
type listener struct {
	owner   *process
	backlog []*endpoint
	closed  bool
}

func (p *process) listen() *listener {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	l := &listener{owner: p}
	p.net.listeners[p.name] = l
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	n := l.owner.net
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		l.owner.wait()
		if l.closed || l.owner.killed {
			return nil, net.ErrClosed
		}
		if len(l.backlog) > 0 {
			c := l.backlog[0]
			l.backlog = l.backlog[1:]
			return c, nil
		}
		n.changed.Wait()
	}
}

func (l *listener) Close() error {
	n := l.owner.net
	n.mu.Lock()
	defer n.mu.Unlock()
	l.closed = true
	n.changed.Broadcast()
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.owner.name) }

// dial opens a connection to a process.
func (p *process) dial(ctx context.Context, _, to string) (net.Conn, error) {
	n := p.net
	n.mu.Lock()
	took := n.latency()
	n.mu.Unlock()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(took):
	}
	n.mu.Lock()
	host := &process{net: n, name: to}
	if n.isCut(p, host) || n.isCut(host, p) {
		n.mu.Unlock()
		<-ctx.Done()
		return nil, ctx.Err()
	}
	defer n.mu.Unlock()
	p.wait()
	l := n.listeners[to]
	if p.killed {
		return nil, net.ErrClosed
	}
	if l == nil || l.closed {
		return nil, &net.OpError{Op: "dial", Net: "sim", Err: syscall.ECONNREFUSED}
	}
	local := &endpoint{net: n, owner: p, name: p.name, remote: to, timeout: unacknowledged, budget: -1}
	accepted := &endpoint{net: n, owner: l.owner, name: to, remote: p.name, budget: -1}
	local.peer, accepted.peer = accepted, local
	for _, e := range []*endpoint{local, accepted} {
		e.buffer = minBuffer << n.random.IntN(bufferDoublings+1)
	}
	if n.random.IntN(100) < n.breakPercent {
		[]*endpoint{local, accepted}[n.random.IntN(2)].budget = n.random.IntN(1 << (6 + n.random.IntN(12)))
	}
	n.endpoints = append(n.endpoints, local, accepted)
	l.backlog = append(l.backlog, accepted)
	n.changed.Broadcast()
	return local, nil
}

// endpoint is one end of a connection.
type endpoint struct {
	net          *network
	owner        *process
	peer         *endpoint
	name, remote string
	// buffer is the size of each buffer.
	buffer int
	// timeout is TCP_USER_TIMEOUT; 0 for none.
	timeout time.Duration
	// out are bytes that were written and not delivered, and in those that were delivered and not read.
	out, in []byte
	// budget is how many bytes are delivered before the connection breaks; negative for all.
	budget int
	// ended is set once no more bytes are to be written, and endDelivered once the peer knows. endReceived is set once the
	// peer has ended.
	ended, endDelivered, endReceived bool
	// lost is set while the peer's acknowledgement of delivered bytes has not come.
	lost       bool
	stuckSince time.Time
	scheduled  bool
	// dead is set once the kernel has no connection any more. failure is what the next call returns: the kernel tells
	// it once, and an end from then on.
	dead    bool
	failure error
	// closed is set once the process has closed it, and abortive if that resets it.
	closed, abortive            bool
	readDeadline, writeDeadline time.Time
}

// schedule delivers a segment after the latency. The caller holds the lock, as for all methods below up to Read.
func (e *endpoint) schedule() {
	if !e.scheduled && !e.dead && (len(e.out) > 0 || e.lost || e.ended && !e.endDelivered) {
		e.scheduled = true
		time.AfterFunc(e.net.latency(), e.deliver)
	}
}

func (e *endpoint) deliver() {
	n := e.net
	n.mu.Lock()
	defer n.mu.Unlock()
	defer n.changed.Broadcast()
	e.scheduled = false
	if e.dead {
		return
	}
	if n.isCut(e.owner, e.peer.owner) {
		e.stick()
		return
	}
	if e.peer.dead || e.peer.closed && len(e.out) > 0 {
		// The other host resets a connection on which nobody reads.
		e.peer.dead, e.peer.out = true, nil
		e.peer.sendReset()
		if !e.dead {
			e.stick()
		}
		return
	}
	size := min(len(e.out), e.peer.buffer-len(e.peer.in), 1+n.random.IntN(maxSegment))
	if e.budget >= 0 {
		size = min(size, e.budget)
		e.budget -= size
	}
	e.peer.in = append(e.peer.in, e.out[:size]...)
	e.out = e.out[size:]
	if e.budget == 0 {
		e.breakOff()
		return
	}
	if e.ended && len(e.out) == 0 && !e.endDelivered {
		e.endDelivered, e.peer.endReceived = true, true
	}
	e.lost = n.isCut(e.peer.owner, e.owner)
	if e.lost {
		e.stick()
		return
	}
	e.stuckSince = time.Time{}
	if len(e.out) > 0 && len(e.peer.in) < e.peer.buffer || len(e.out) == 0 {
		e.schedule()
	}
}

// stick ends the connection at this end if its bytes stay unacknowledged for too long.
func (e *endpoint) stick() {
	if e.timeout == 0 || !e.stuckSince.IsZero() {
		return
	}
	since := time.Now()
	e.stuckSince = since
	time.AfterFunc(e.timeout, func() {
		e.net.mu.Lock()
		defer e.net.mu.Unlock()
		if !e.dead && e.stuckSince.Equal(since) {
			e.dead, e.out, e.failure = true, nil, syscall.ETIMEDOUT
			e.net.changed.Broadcast()
		}
	})
}

// breakOff ends the connection at one end or at both, as a host or a device on the way does.
func (e *endpoint) breakOff() {
	e.net.breaks++
	ends := e.net.random.IntN(3)
	if ends != 0 {
		e.receiveReset()
	}
	if ends != 1 {
		e.peer.receiveReset()
	}
}

// sendReset tells the peer that this end is gone. It is told once, also if the message is lost.
func (e *endpoint) sendReset() {
	if !e.net.isCut(e.owner, e.peer.owner) {
		e.peer.receiveReset()
	}
}

// receiveReset ends this end. What has been delivered to it stays readable.
func (e *endpoint) receiveReset() {
	if e.dead {
		return
	}
	e.dead, e.out, e.failure = true, nil, syscall.ECONNRESET
	if e.endReceived {
		e.failure = syscall.EPIPE
	}
	e.net.changed.Broadcast()
}

// reset ends the connection, and drops what is still to be sent.
func (e *endpoint) reset() {
	if e.dead {
		return
	}
	e.dead, e.out = true, nil
	time.AfterFunc(e.net.latency(), func() {
		e.net.mu.Lock()
		defer e.net.mu.Unlock()
		e.sendReset()
	})
}

// close closes the connection, as the kernel does when the process calls for it or exits.
func (e *endpoint) close() {
	if e.closed {
		return
	}
	e.closed = true
	if e.abortive || len(e.in) > 0 {
		e.reset()
	} else {
		e.ended = true
		e.schedule()
	}
	e.net.changed.Broadcast()
}

func (e *endpoint) error(op string, err error) error {
	return &net.OpError{Op: op, Net: "sim", Source: address(e.name), Addr: address(e.remote), Err: err}
}

func passed(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

func (e *endpoint) Read(b []byte) (int, error) {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	defer e.owner.leave()
	for {
		e.owner.wait()
		switch {
		case e.closed:
			return 0, e.error("read", net.ErrClosed)
		case passed(e.readDeadline):
			return 0, e.error("read", os.ErrDeadlineExceeded)
		case len(e.in) > 0:
			n := copy(b, e.in)
			e.in = e.in[n:]
			e.peer.schedule()
			return n, nil
		case e.endReceived:
			return 0, io.EOF
		case e.failure != nil:
			err := e.failure
			e.failure = nil
			return 0, e.error("read", err)
		case e.dead:
			return 0, io.EOF
		}
		e.net.changed.Wait()
	}
}

func (e *endpoint) Write(b []byte) (int, error) {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	defer e.owner.leave()
	written := 0
	for {
		e.owner.wait()
		switch room := e.buffer - len(e.out); {
		case e.closed:
			return written, e.error("write", net.ErrClosed)
		case passed(e.writeDeadline):
			return written, e.error("write", os.ErrDeadlineExceeded)
		case e.failure != nil:
			err := e.failure
			e.failure = nil
			return written, e.error("write", err)
		case e.dead, e.ended:
			return written, e.error("write", syscall.EPIPE)
		case room > 0:
			n := min(room, len(b)-written)
			e.out = append(e.out, b[written:written+n]...)
			written += n
			e.schedule()
			if written == len(b) {
				return written, nil
			}
		}
		e.net.changed.Wait()
	}
}

func (e *endpoint) Close() error {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	switch {
	case e.closed:
		return e.error("close", net.ErrClosed)
	case e.owner.frozen:
		// It does not block, since callers hold locks, which would stop virtual time.
		e.owner.thawing = append(e.owner.thawing, e.close)
	default:
		e.close()
	}
	return nil
}

// CloseWrite ends the bytes of this end.
func (e *endpoint) CloseWrite() error {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	e.owner.wait()
	if e.closed {
		return e.error("close", net.ErrClosed)
	}
	e.ended = true
	e.schedule()
	e.net.changed.Broadcast()
	return nil
}

// SetLinger makes Close reset the connection if sec is 0.
func (e *endpoint) SetLinger(sec int) error {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	if e.closed {
		return e.error("set", net.ErrClosed)
	}
	e.abortive = sec == 0
	return nil
}

// peerClosed is socketprober.PeerClosed.
func peerClosed(c net.Conn) bool {
	e := c.(*endpoint)
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	defer e.owner.leave()
	e.owner.wait()
	return e.closed || e.dead || e.endReceived
}

func (e *endpoint) LocalAddr() net.Addr  { return address(e.name) }
func (e *endpoint) RemoteAddr() net.Addr { return address(e.remote) }

func (e *endpoint) SetDeadline(t time.Time) error {
	return errors.Join(e.SetReadDeadline(t), e.SetWriteDeadline(t))
}

func (e *endpoint) SetReadDeadline(t time.Time) error  { return e.setDeadline(&e.readDeadline, t) }
func (e *endpoint) SetWriteDeadline(t time.Time) error { return e.setDeadline(&e.writeDeadline, t) }

func (e *endpoint) setDeadline(field *time.Time, t time.Time) error {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	if e.closed {
		return e.error("set", net.ErrClosed)
	}
	*field = t
	e.net.changed.Broadcast()
	if wait := time.Until(t); !t.IsZero() && wait > 0 {
		time.AfterFunc(wait, func() {
			e.net.mu.Lock()
			defer e.net.mu.Unlock()
			e.net.changed.Broadcast()
		})
	}
	return nil
}
