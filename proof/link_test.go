package proof

import (
	"io"
	"net"
	"sync"
	"sync/atomic"

	qt "github.com/frankban/quicktest"
)

// link is a cable between two processes that a test can pull or let go silent.
type link struct {
	address string
	target  string

	listener net.Listener
	cut      atomic.Bool
	mu       sync.Mutex
	conns    []*linkConn
}

type linkConn struct {
	near, far net.Conn
	silent    atomic.Bool
}

// newLink makes a link to an address.
func newLink(c *qt.C, target string) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l := &link{address: listener.Addr().String(), target: target, listener: listener}
	go l.run()
	c.Cleanup(func() {
		_ = listener.Close()
		l.drop()
	})
	return l
}

func (l *link) run() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		if l.cut.Load() {
			_ = near.Close()
			continue
		}
		far, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		conn := &linkConn{near: near, far: far}
		l.mu.Lock()
		l.conns = append(l.conns, conn)
		l.mu.Unlock()
		go conn.pump(near, far)
		go conn.pump(far, near)
	}
}

func (c *linkConn) pump(from, to net.Conn) {
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
		// Nobody is told: the other end waits for good.
		return
	}
	_ = from.Close()
	_ = to.Close()
}

// pull cuts all connections and takes no new ones until plug.
func (l *link) pull() {
	l.cut.Store(true)
	l.drop()
}

func (l *link) plug() { l.cut.Store(false) }

// silence lets all open connections go silent for good, while new ones work.
func (l *link) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		conn.silent.Store(true)
	}
}

func (l *link) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.conns {
		conn.silent.Store(false)
		_ = conn.near.Close()
		_ = conn.far.Close()
	}
	l.conns = nil
}
