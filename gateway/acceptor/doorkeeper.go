// Package doorkeeper serves callers over HTTP/1.1: strict in what it reads, byte for
// byte in what it passes on, and honest about answers that could not be completed.
//
// One goroutine serves a connection, and one more watches it for the caller's leaving
// while a request is being answered.
package acceptor

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"bronzelead.example/pkg/framer"
)

const (
	readBuffer = 4 << 10
	// defaultHeaderBytes and the other defaults hold until a table sets its own.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// bodyTimeout bounds the time between two parts of a body.
	bodyTimeout = 5 * time.Second
	// writeTimeout bounds the time for which a caller that does not read may hold up
	// an answer.
	writeTimeout = 5 * time.Second
	// lingerFor is how long bytes behind a refused request are read and thrown away, so
	// that the close does not reset the connection before the answer has been read.
	lingerFor = 500 * time.Millisecond
)

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Request is a whole request.
type Request struct {
	Head *framer.RequestHead
	Body []byte
	// ReceivedAt is when its head had been read.
	ReceivedAt time.Time
	// Caller is the caller's address.
	Caller string
	// Reused is set if it is not the first request on its connection.
	Reused bool
}

// Acceptor serves one address. Set the exported fields, then call Start.
type Acceptor struct {
	Clock   clockwork.Clock
	Log     *slog.Logger
	Address string
	// Handle answers a request. Its context ends when the caller leaves.
	Handle func(ctx context.Context, req *Request, reply *Reply)
	// CheckHead looks at a request's head before its body is read. It answers a request that it
	// refuses, and reports whether it did; nil lets all pass.
	CheckHead func(req *Request, reply *Reply) bool
	// Limits returns the limits in force; zero values mean the defaults.
	Limits func() Limits
	// MaxConnections bounds the open connections; more are closed at once.
	MaxConnections int

	listener net.Listener
	stopping atomic.Bool
	mu       sync.Mutex
	conns    map[*conn]struct{}
	active   sync.WaitGroup
}

// Start listens and serves in the background.
func (d *Acceptor) Start() error {
	listen := net.ListenConfig{KeepAlive: -1}
	listener, err := listen.Listen(context.Background(), "tcp", d.Address)
	if err != nil {
		return errors.Wrapf(err, "doorkeeper: listen on %s", d.Address)
	}
	d.listener = listener
	d.conns = map[*conn]struct{}{}
	go d.accept()
	return nil
}

// Addr returns the address that is listened on.
func (d *Acceptor) Addr() string { return d.listener.Addr().String() }

// acceptPause is the wait after a failed accept, as when descriptors run out.
const acceptPause = 20 * time.Millisecond

func (d *Acceptor) accept() {
	for {
		c, err := d.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			d.Log.Warn("a connection can't be accepted", "Error", err.Error())
			<-d.Clock.After(acceptPause)
			continue
		}
		d.open(c)
	}
}

func (d *Acceptor) open(c net.Conn) {
	served := &conn{Conn: c, door: d, reader: bufio.NewReaderSize(c, readBuffer)}
	d.mu.Lock()
	if d.MaxConnections > 0 && len(d.conns) >= d.MaxConnections {
		d.mu.Unlock()
		_ = c.Close()
		return
	}
	d.conns[served] = struct{}{}
	d.active.Add(1)
	d.mu.Unlock()
	go served.serve()
}

func (d *Acceptor) closed(c *conn) {
	d.mu.Lock()
	delete(d.conns, c)
	d.mu.Unlock()
	d.active.Done()
}

// Quiesce lets connections end with their next answer. New ones are still taken, since
// the balancer in front needs time to look elsewhere.
func (d *Acceptor) Quiesce() { d.stopping.Store(true) }

// Stop takes no more connections, closes those without a request, and waits for the
// others until ctx ends.
func (d *Acceptor) Stop(ctx context.Context) error {
	d.Quiesce()
	_ = d.listener.Close()
	d.mu.Lock()
	for c := range d.conns {
		c.closeIfIdle()
	}
	d.mu.Unlock()
	done := make(chan struct{})
	go func() {
		d.active.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "doorkeeper: requests still run")
	}
}

func (d *Acceptor) limits() Limits {
	l := Limits{}
	if d.Limits != nil {
		l = d.Limits()
	}
	if l.HeaderBytes == 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.BodyBytes == 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeaderTimeout == 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// conn is one connection of a caller.
type conn struct {
	net.Conn
	door   *Acceptor
	reader *bufio.Reader
	// used is set once a request was read.
	used bool

	mu sync.Mutex
	// idle is set while no byte of a request has come.
	idle bool
	shut bool
}

func (c *conn) serve() {
	defer c.door.closed(c)
	defer func() { _ = c.Close() }()
	defer c.recover()
	for c.next() {
	}
}

func (c *conn) recover() {
	if fault := recover(); fault != nil {
		c.door.Log.Error("a request failed unexpectedly", "Fault", fault, "Stack", string(debug.Stack()))
	}
}

// closeIfIdle closes a connection on which no request has begun.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle {
		c.shut = true
		_ = c.Close()
	}
}

// setIdle notes whether a request has begun. It reports false when the connection was
// closed before: a request whose bytes had come by then is not taken, so that its caller
// can tell that it did not run.
func (c *conn) setIdle(idle bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
	return !c.shut
}

// next serves one request and reports whether the connection may be used again.
func (c *conn) next() bool {
	limits := c.door.limits()
	if !c.awaitRequest(limits) {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	raw, err := framer.ReadHead(c.reader, limits.HeaderBytes)
	if err != nil {
		c.refuse(err, statusHeaderTooLarge)
		return false
	}
	head, err := framer.ParseRequest(raw)
	if err != nil {
		c.refuse(err, statusHeaderTooLarge)
		return false
	}
	req := &Request{Head: head, ReceivedAt: c.door.Clock.Now(), Caller: c.RemoteAddr().String(), Reused: c.used}
	c.used = true
	if refused, keep := c.screen(req, limits); refused {
		return keep
	}
	if !c.readBody(req, limits) {
		return false
	}
	return c.answer(req)
}

// screen lets a request be refused by its head alone. It reports whether it was, and
// whether the connection may be used again: the body is read and thrown away then.
func (c *conn) screen(req *Request, limits Limits) (refused, keep bool) {
	if c.door.CheckHead == nil {
		return false, false
	}
	reply := c.reply(req)
	// A caller that waits for leave to send its body may or may not send it now.
	reply.keep = reply.keep && !req.Head.Header.Has("Expect")
	if !c.door.CheckHead(req, reply) {
		return false, false
	}
	if !reply.keep || !reply.done {
		c.linger()
		return true, false
	}
	return true, c.discardBody(req, limits)
}

// discardBody reads the body of a request that was answered already, and reports whether
// the next request begins behind it.
func (c *conn) discardBody(req *Request, limits Limits) bool {
	body, err := framer.RequestBody(c.reader, req.Head)
	if err != nil || body.Length > int64(limits.BodyBytes) {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
	_, err = io.Copy(io.Discard, io.LimitReader(body, int64(limits.BodyBytes)))
	return err == nil && body.Complete()
}

// reply returns what a request is answered through.
func (c *conn) reply(req *Request) *Reply {
	keep := req.Head.KeepAlive() && !c.door.stopping.Load()
	return &Reply{
		conn: c.Conn, log: c.door.Log, keep: keep, method: req.Head.Method, minor: req.Head.Minor, stopping: &c.door.stopping,
	}
}

// awaitRequest waits for the first byte of a request.
func (c *conn) awaitRequest(limits Limits) bool {
	c.setIdle(true)
	_ = c.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	_, err := c.reader.Peek(1)
	open := c.setIdle(false)
	return err == nil && open
}

func (c *conn) readBody(req *Request, limits Limits) bool {
	body, err := framer.RequestBody(c.reader, req.Head)
	if err != nil {
		c.refuse(err, statusBodyTooLarge)
		return false
	}
	if body.Length > int64(limits.BodyBytes) {
		c.refuse(errTooLong, statusBodyTooLarge)
		return false
	}
	if req.Head.Header.HasToken("Expect", "100-continue") && !body.Complete() {
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return false
		}
	}
	buf := make([]byte, 0, min(max(body.Length, 512), 64<<10))
	for {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case err == io.EOF:
			req.Body = buf
			return true
		case err != nil:
			c.refuse(err, statusBodyTooLarge)
			return false
		case len(buf) > limits.BodyBytes:
			c.refuse(errTooLong, statusBodyTooLarge)
			return false
		}
	}
}

// answer lets the request be handled while the connection is watched.
func (c *conn) answer(req *Request) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_ = c.SetReadDeadline(time.Time{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		// Bytes of a next request stay in the buffer; an end means that the caller left.
		if _, err := c.reader.Peek(1); err != nil {
			cancel()
		}
	}()
	reply := c.reply(req)
	c.door.Handle(ctx, req, reply)
	reply.finish()
	_ = c.SetReadDeadline(time.Unix(1, 0))
	<-watched
	return reply.keep && reply.done
}

// refuse answers a request that is malformed or too large. A caller that was merely cut
// off or too slow gets no answer but 408.
func (c *conn) refuse(err error, tooLarge int) {
	status := 0
	var timeout net.Error
	switch {
	case framer.Is(err, framer.KindMalformed):
		status = statusBadRequest
	case framer.Is(err, framer.KindTooLarge):
		status = tooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		status = statusTimeout
	}
	if status == 0 {
		return
	}
	c.door.Log.Info("a request was refused unread", "Caller", c.RemoteAddr().String(), "Status", status, "Reason", err.Error())
	reply := &Reply{conn: c.Conn, log: c.door.Log, minor: 1}
	reply.Send(status, nil, nil)
	c.linger()
}

// linger reads what the caller still sends, for a while.
func (c *conn) linger() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerFor))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, defaultBodyBytes))
}
