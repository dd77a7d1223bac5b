package proof

import (
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"
)

// tcpProxy forwards TCP connections; a test can partition it or stop forwarding without
// closing.
type tcpProxy struct {
	address string
	target  string

	listener    net.Listener
	partitioned atomic.Bool
	mu          sync.Mutex
	conns       []*proxyConn
	// cuts are when open connections were closed or silenced.
	cuts []time.Time
}

type proxyConn struct {
	downstream, upstream net.Conn
	silent               atomic.Bool
}

// newTCPProxy starts a proxy for an address.
func newTCPProxy(c *qt.C, target string) *tcpProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l := &tcpProxy{address: listener.Addr().String(), target: target, listener: listener}
	go l.serve()
	c.Cleanup(func() {
		_ = listener.Close()
		l.closeConns()
	})
	return l
}

func (l *tcpProxy) serve() {
	for {
		downstream, err := l.listener.Accept()
		if err != nil {
			return
		}
		if l.partitioned.Load() {
			_ = downstream.Close()
			continue
		}
		upstream, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = downstream.Close()
			continue
		}
		conn := &proxyConn{downstream: downstream, upstream: upstream}
		l.mu.Lock()
		l.conns = append(l.conns, conn)
		l.mu.Unlock()
		go conn.forward(downstream, upstream)
		go conn.forward(upstream, downstream)
	}
}

func (c *proxyConn) forward(from, to net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !c.silent.Load() {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err == io.EOF || err != nil {
			break
		}
	}
	if c.silent.Load() {
		// Leave both ends open, so that the peer waits forever.
		return
	}
	_ = from.Close()
	_ = to.Close()
}

// partition closes all connections and refuses new ones until heal.
func (l *tcpProxy) partition() {
	l.partitioned.Store(true)
	l.closeConns()
}

func (l *tcpProxy) heal() { l.partitioned.Store(false) }

// blackhole stops all forwarding on the open connections for good; new connections work.
func (l *tcpProxy) blackhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts = append(l.cuts, time.Now())
	for _, conn := range l.conns {
		conn.silent.Store(true)
	}
}

func (l *tcpProxy) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts = append(l.cuts, time.Now())
	for _, conn := range l.conns {
		conn.silent.Store(false)
		_ = conn.downstream.Close()
		_ = conn.upstream.Close()
	}
	l.conns = nil
}

// cutNear reports whether answers that were sent at a time may have been lost in the proxy.
func (l *tcpProxy) cutNear(at time.Time) bool {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.cuts, func(cut time.Time) bool { return cut.Sub(at).Abs() < backoffGrace })
}
