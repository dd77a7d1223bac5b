// Package acceptor serves callers over HTTP/1.1. It parses requests strictly, passes their
// content on byte for byte, and aborts answers that could not be completed.
//
// One goroutine serves a connection; a second one watches for a disconnect of the caller while
// a request is being answered.
package acceptor

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"maps"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"bronzelead.example/pkg/buffersizer"
	"bronzelead.example/pkg/evictor"
	"bronzelead.example/pkg/framer"
	"bronzelead.example/pkg/logger"
	"bronzelead.example/pkg/reserver"
	"bronzelead.example/pkg/socketprober"
)

const (
	readBufferBytes = 4 << 10
	// defaultHeaderBytes and the other defaults apply until a table sets its own.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// bodyTimeout limits the time between two reads of a body, and wholeBodyTimeout the time until its end.
	bodyTimeout      = 5 * time.Second
	wholeBodyTimeout = time.Minute
	// freeHeadBytes and freeBodyBytes of each request are held without a reservation: MaxConnections bounds them.
	freeHeadBytes = 4 << 10
	freeBodyBytes = 4 << 10
	// retryAfterFull is when to come back after a refusal because memory is short, and retryAfterStop after one by a gateway
	// that stops: a new connection leads to another gateway.
	retryAfterFull = time.Second
	retryAfterStop = 20 * time.Millisecond
	// writeTimeout limits how long a caller that does not read may block an answer.
	writeTimeout = 5 * time.Second
	// lingerTimeout is how long bytes after a refused request are read and discarded, so that
	// closing does not reset the connection before the caller has read the answer.
	lingerTimeout = 500 * time.Millisecond
	// disconnectInterval is the interval at which a connection with a full buffer is polled for a disconnect.
	disconnectInterval = 100 * time.Millisecond
	// idleCheckInterval is the interval at which a stop checks whether requests are served.
	idleCheckInterval = 10 * time.Millisecond
)

// Limits are the bounds on what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Request is a complete request.
type Request struct {
	Head *framer.RequestHead
	Body []byte
	// ReceivedAt is when its head was received.
	ReceivedAt time.Time
	// Caller is the caller's address.
	Caller string
	// Reused is set if it is not the first request on its connection.
	Reused bool
	// Conn is the connection that it came on; nil if there is none.
	Conn net.Conn
	// Memory is the memory that it holds until it is answered; nil if that is not limited.
	Memory *reserver.Reservation
}

// Reserve reserves memory for the answer. It returns false if memory is short.
func (r *Request) Reserve(bytes int64) bool { return r.Memory == nil || r.Memory.Grow(bytes) == nil }

// CallerLeft reports whether its caller has disconnected. It is exact where the context of the request
// may not have ended yet, as the goroutine that ends it has to be scheduled.
func (r *Request) CallerLeft() bool {
	return r != nil && r.Conn != nil && socketprober.PeerClosed(r.Conn)
}

// Acceptor serves one address. Set the exported fields, then call Start.
type Acceptor struct {
	Clock   clockwork.Clock
	Log     *slog.Logger
	Address string
	// Handle answers a request. Its context is cancelled when the caller disconnects.
	Handle func(ctx context.Context, req *Request, reply *Reply)
	// CheckHead inspects a request's head before its body is read. If it refuses the request,
	// it answers it and returns true; nil accepts all requests.
	CheckHead func(req *Request, reply *Reply) bool
	// Limits returns the current limits; zero values mean the defaults.
	Limits func() Limits
	// MaxConnections limits the open connections. For a new one, the one that has been waiting for its caller for the
	// longest time is closed; if all serve requests, the new one is.
	MaxConnections int
	// Memory is what all requests may hold together; nil for no limit.
	Memory *reserver.Pool
	// SocketBuffer is the size of the receive buffer of each connection in the kernel, in bytes; 0 for the kernel's choice.
	SocketBuffer int
	// CallerTimeout returns how long a caller waits for the answer to its request, or 0. A body that has not arrived by
	// then is refused; nil for no such limit.
	CallerTimeout func(head *framer.RequestHead) time.Duration
	// EncodeRefusal returns the header of a refusal that says when to come back; the head is nil if it was not read. nil
	// for no header.
	EncodeRefusal func(head *framer.RequestHead, retryAfter time.Duration) framer.Header
	// OnRefusal is called for each request that was refused because it could not be read; nil is not called.
	OnRefusal func(status int)
	// Listen opens the listener at Address; nil opens a TCP socket.
	Listen func(ctx context.Context, address string) (net.Listener, error)
	// Admit reports whether to serve a new connection, or to keep one after an answer; otherwise it is
	// closed without reading a request, so that its caller tries another gateway. nil admits all.
	Admit func() bool

	listener net.Listener
	stopping atomic.Bool
	// refusing is set while bodies are not waited for, and ending while heads are not either.
	refusing, ending atomic.Bool
	evictor          evictor.Evictor
	refusals         logger.Limiter
	mu               sync.Mutex
	conns            map[*conn]struct{}
	active           sync.WaitGroup
	// closed is set once no connection is added any more. mu guards it.
	closed bool
}

// Start listens and serves in the background.
func (a *Acceptor) Start() error {
	listener, err := a.listen(context.Background())
	if err != nil {
		return errors.Wrapf(err, "acceptor: listen on %s", a.Address)
	}
	a.listener = listener
	a.evictor.Max, a.refusals.Interval = a.MaxConnections, refusalLogInterval
	a.conns = map[*conn]struct{}{}
	go a.accept()
	return nil
}

func (a *Acceptor) listen(ctx context.Context) (net.Listener, error) {
	if a.Listen != nil {
		return a.Listen(ctx, a.Address)
	}
	listen := net.ListenConfig{KeepAlive: -1, Control: buffersizer.Control(a.SocketBuffer)}
	return listen.Listen(ctx, "tcp", a.Address) //nolint:wrapcheck // Start wraps it with the address.
}

// Addr returns the listening address.
func (a *Acceptor) Addr() string { return a.listener.Addr().String() }

// acceptRetryDelay is the delay after a failed accept, such as when file descriptors run out.
const acceptRetryDelay = 20 * time.Millisecond

func (a *Acceptor) accept() {
	for {
		c, err := a.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			a.Log.Warn("failed to accept a connection", "Error", err.Error())
			<-a.Clock.After(acceptRetryDelay)
			continue
		case !a.admit():
			_ = c.Close()
			continue
		}
		a.add(c)
	}
}

func (a *Acceptor) admit() bool { return a.Admit == nil || a.Admit() }

func (a *Acceptor) add(c net.Conn) {
	served := &conn{Conn: c, acceptor: a}
	served.reader = bufio.NewReaderSize(served, readBufferBytes)
	served.memory = a.Memory.Open(func() { _ = c.SetReadDeadline(expired) })
	served.entry = a.evictor.Add(func() { _ = c.Close() })
	if served.entry == nil {
		_ = c.Close()
		return
	}
	a.mu.Lock()
	if a.closed {
		a.mu.Unlock()
		served.entry.Remove()
		_ = c.Close()
		return
	}
	a.conns[served] = struct{}{}
	a.active.Add(1)
	a.mu.Unlock()
	go served.serve()
}

func (a *Acceptor) remove(c *conn) {
	a.mu.Lock()
	delete(a.conns, c)
	a.mu.Unlock()
	c.entry.Remove()
	a.active.Done()
}

// Connections returns the state of the connections.
func (a *Acceptor) Connections() evictor.Stats { return a.evictor.Stats() }

// Quiesce closes each connection after its next answer. New connections are still accepted,
// since the load balancer needs time to switch to other instances.
func (a *Acceptor) Quiesce() { a.stopping.Store(true) }

// Refuse refuses the requests whose bodies are still arriving, and later ones whose bodies do not come with their heads.
// Call it once Handle refuses all requests.
func (a *Acceptor) Refuse() {
	a.refusing.Store(true)
	a.interrupt(readingBody)
}

// End refuses the requests that are still arriving, also those whose heads are. Call it shortly before the process ends.
func (a *Acceptor) End() {
	a.Refuse()
	a.ending.Store(true)
	a.interrupt(readingHead)
}

// interrupt ends the reads of connections in a state. A connection that enters it later reads no further by itself.
func (a *Acceptor) interrupt(s connState) {
	for _, c := range a.list() {
		c.interrupt(s)
	}
}

// Stop stops accepting connections, and waits until no request is served or ctx ends. Until then a connection without a
// request can be used; then it is closed. Answers that are not complete when ctx ends are aborted.
func (a *Acceptor) Stop(ctx context.Context) error {
	a.Quiesce()
	_ = a.listener.Close()
	a.awaitIdle(ctx)
	a.mu.Lock()
	// A connection may have been accepted just before the listener was closed.
	a.closed = true
	a.mu.Unlock()
	done := make(chan struct{})
	go func() {
		a.active.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	for _, c := range a.list() {
		c.abort()
	}
	return errors.Wrap(ctx.Err(), "acceptor: requests still run")
}

// awaitIdle waits until no connection has a request, or ctx ends, and closes those without one.
func (a *Acceptor) awaitIdle(ctx context.Context) {
	// Connections end by real time, whatever the clock is.
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for !a.idle() {
		select {
		case <-ticker.C:
			continue
		case <-ctx.Done():
		}
		break
	}
	for _, c := range a.list() {
		c.closeIfIdle()
	}
}

// idle reports whether no connection has a request.
func (a *Acceptor) idle() bool {
	return !slices.ContainsFunc(a.list(), func(c *conn) bool { return !c.isIdle() })
}

// list returns the open connections.
func (a *Acceptor) list() []*conn {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Collect(maps.Keys(a.conns))
}

func (a *Acceptor) limits() Limits {
	l := Limits{}
	if a.Limits != nil {
		l = a.Limits()
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

// connState is what a connection does.
type connState int

const (
	// awaitingRequest is the state while no byte of a request has been received.
	awaitingRequest connState = iota
	readingHead
	readingBody
	answering
)

// conn is a caller's connection.
type conn struct {
	net.Conn
	acceptor *Acceptor
	reader   *bufio.Reader
	entry    *evictor.Entry
	memory   *reserver.Reservation
	// used is set once a request was read, and kept if the connection stays open after its answer.
	used, kept bool
	// reading is the request whose body is being read; nil while none is. bodyUntil is when the body must have arrived; zero
	// until it is waited for.
	reading   *Request
	bodyUntil time.Time

	mu     sync.Mutex
	state  connState
	closed bool
	// reply is the reply to the request that is being answered; nil while none is.
	reply *Reply
}

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

func (c *conn) serve() {
	defer c.acceptor.remove(c)
	defer c.memory.Release()
	defer func() { _ = c.Close() }()
	defer c.recoverPanic()
	for c.serveRequest() {
		c.memory.Release()
	}
}

// Read reads what the caller sends. While a body arrives, it sets the deadline of each read.
func (c *conn) Read(p []byte) (int, error) {
	if c.reading == nil {
		return c.Conn.Read(p)
	}
	now := time.Now()
	if c.bodyUntil.IsZero() {
		c.bodyUntil = now.Add(c.bodyTime(c.reading))
	}
	until := now.Add(bodyTimeout)
	if c.bodyUntil.Before(until) {
		until = c.bodyUntil
	}
	_ = c.SetReadDeadline(until)
	// The deadline was set to an earlier time before.
	switch {
	case c.memory.Revoked():
		return 0, errRevoked
	case c.acceptor.refusing.Load():
		return 0, errStopping
	}
	return c.Conn.Read(p)
}

func (c *conn) recoverPanic() {
	if fault := recover(); fault != nil {
		c.acceptor.Log.Error("panic while serving a connection", "Fault", fault, "Stack", string(debug.Stack()))
	}
}

// closeIfIdle closes a connection on which no request has begun.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == awaitingRequest {
		c.closed = true
		_ = c.Close()
	}
}

// isIdle reports whether the connection has no request.
func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == awaitingRequest
}

// abort closes a connection whose answer is not complete in such a way that it does not look complete.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reply == nil || c.reply.complete.Load() {
		return
	}
	resetOnClose(c.Conn)
	_ = c.Close()
}

// interrupt ends a read of the connection if it is in a state.
func (c *conn) interrupt(s connState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == s {
		_ = c.SetReadDeadline(expired)
	}
}

// setState records what the connection does. It returns false if the connection was closed
// before: a request whose bytes had arrived by then is not accepted, so that its caller can
// tell that it did not run.
func (c *conn) setState(s connState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
	return !c.closed
}

func (c *conn) setReply(reply *Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reply = reply
}

// serveRequest serves one request and reports whether the connection may be reused.
func (c *conn) serveRequest() bool {
	limits := c.acceptor.limits()
	if !c.awaitRequest(limits) {
		return false
	}
	c.entry.Wait()
	head, err := c.readHead(limits)
	if err != nil {
		c.refuse(nil, err, statusHeaderTooLarge)
		return false
	}
	req := &Request{
		Head: head, ReceivedAt: c.acceptor.Clock.Now(), Caller: c.RemoteAddr().String(), Reused: c.used, Conn: c.Conn, Memory: c.memory,
	}
	c.used, c.kept = true, c.acceptor.admit()
	if refused, keep := c.checkHead(req, limits); refused {
		return keep
	}
	if !c.readBody(req, limits) {
		return false
	}
	if !c.entry.Busy() {
		// The connection was closed for another one.
		return false
	}
	return c.answer(req)
}

// readHead reads a request's head.
func (c *conn) readHead(limits Limits) (*framer.RequestHead, error) {
	_ = c.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	if c.acceptor.ending.Load() {
		// What has arrived is still read.
		_ = c.SetReadDeadline(expired)
	}
	reserved := freeHeadBytes
	reserve := func(size int) error {
		grows := size - reserved
		if grows <= 0 {
			return nil
		}
		reserved = size
		return c.memory.Grow(int64(grows))
	}
	raw, err := framer.ReadHeadReserving(c.reader, limits.HeaderBytes, reserve)
	if err != nil {
		return nil, err
	}
	if err := reserve(cap(raw) + framer.ParsedSize(raw)); err != nil {
		return nil, err
	}
	return framer.ParseRequest(raw)
}

// checkHead lets CheckHead refuse a request by its head. It reports whether the request was
// refused, and whether the connection may be reused: its body is then read and discarded.
func (c *conn) checkHead(req *Request, limits Limits) (refused, keep bool) {
	if c.acceptor.CheckHead == nil {
		return false, false
	}
	reply := c.newReply(req)
	// A caller that waits for "100 Continue" may or may not send its body after a refusal.
	reply.keep = reply.keep && !req.Head.Header.Has("Expect")
	if !c.acceptor.CheckHead(req, reply) {
		return false, false
	}
	// What follows is discarded, and takes no memory.
	c.memory.Release()
	if !reply.keep || !reply.complete.Load() {
		c.linger()
		return true, false
	}
	return true, c.discardBody(req, limits)
}

// discardBody reads the body of a request that was already answered, and reports whether the
// next request starts after it.
func (c *conn) discardBody(req *Request, limits Limits) bool {
	body, err := framer.RequestBody(c.reader, req.Head)
	if err != nil || body.Length > int64(limits.BodyBytes) {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
	_, err = io.Copy(io.Discard, io.LimitReader(body, int64(limits.BodyBytes)))
	return err == nil && body.Complete()
}

// newReply returns the reply for a request.
func (c *conn) newReply(req *Request) *Reply {
	keep := req.Head.KeepAlive() && !c.acceptor.stopping.Load() && c.kept
	return &Reply{
		conn: c.Conn, log: c.acceptor.Log, keep: keep, method: req.Head.Method, minor: req.Head.Minor, stopping: &c.acceptor.stopping,
	}
}

// awaitRequest waits for the first byte of a request.
func (c *conn) awaitRequest(limits Limits) bool {
	c.setState(awaitingRequest)
	c.entry.Wait()
	_ = c.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	_, err := c.reader.Peek(1)
	open := c.setState(readingHead)
	return err == nil && open
}

func (c *conn) readBody(req *Request, limits Limits) bool {
	body, err := framer.RequestBody(c.reader, req.Head)
	if err != nil {
		c.refuse(req.Head, err, statusBodyTooLarge)
		return false
	}
	if body.Length > int64(limits.BodyBytes) {
		c.refuse(req.Head, errBodyTooLarge, statusBodyTooLarge)
		return false
	}
	if req.Head.Header.HasToken("Expect", "100-continue") && !body.Complete() && !c.acceptor.refusing.Load() {
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return false
		}
	}
	content := reserver.Content{
		Length: reserver.UnknownLength, Limit: int64(limits.BodyBytes), TooLong: errBodyTooLarge, Free: freeBodyBytes,
	}
	if body.Framing != framer.FramingChunked {
		content.Length = body.Length
	}
	c.reading, c.bodyUntil = req, time.Time{}
	c.setState(readingBody)
	req.Body, err = c.memory.ReadAll(body, content)
	c.reading = nil
	if err == nil && !c.memory.Complete() {
		err = errRevoked
	}
	if err != nil {
		c.refuse(req.Head, err, statusBodyTooLarge)
		return false
	}
	return true
}

// bodyTime returns how long the body of a request may take to arrive.
func (c *conn) bodyTime(req *Request) time.Duration {
	limit := wholeBodyTimeout
	if c.acceptor.CallerTimeout == nil {
		return limit
	}
	if timeout := c.acceptor.CallerTimeout(req.Head); timeout > 0 {
		limit = min(limit, timeout)
	}
	return limit
}

// answer runs the handler while watching the connection for a disconnect.
func (c *conn) answer(req *Request) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.setState(answering)
	_ = c.SetReadDeadline(time.Time{})
	answered, watched := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(watched)
		c.awaitDisconnect(answered)
		cancel()
	}()
	reply := c.newReply(req)
	c.setReply(reply)
	defer c.setReply(nil)
	c.acceptor.Handle(ctx, req, reply)
	reply.finish()
	close(answered)
	_ = c.SetReadDeadline(expired)
	<-watched
	return reply.keep && reply.complete.Load()
}

// awaitDisconnect returns once the caller has disconnected, or after answered is closed and the read
// deadline has passed. Bytes of further requests stay in the buffer; once it is full the socket is polled,
// so that a caller can't fill memory.
func (c *conn) awaitDisconnect(answered <-chan struct{}) {
	err := error(nil)
	for err == nil {
		_, err = c.reader.Peek(c.reader.Buffered() + 1)
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return
	}
	ticker := c.acceptor.Clock.NewTicker(disconnectInterval)
	defer ticker.Stop()
	for !socketprober.PeerClosed(c.Conn) {
		select {
		case <-answered:
			return
		case <-ticker.Chan():
		}
	}
}

// refuse answers a request that is malformed or too large, one that timed out with 408, and one for which there is no
// memory or that does not arrive before a stop with 503. A truncated request gets no answer.
func (c *conn) refuse(head *framer.RequestHead, err error, tooLarge int) {
	status := 0
	var timeout net.Error
	timedOut := errors.As(err, &timeout) && timeout.Timeout()
	retryAfter := time.Duration(0)
	switch {
	case reserver.IsRefusal(err) || c.memory.Revoked():
		status, retryAfter = statusUnavailable, retryAfterFull
	case errors.Is(err, errStopping), timedOut && c.interrupted(head):
		status, retryAfter = statusUnavailable, retryAfterStop
	case framer.Is(err, framer.KindMalformed):
		status = statusBadRequest
	case framer.Is(err, framer.KindTooLarge):
		status = tooLarge
	case timedOut:
		status = statusTimeout
	}
	header := framer.Header(nil)
	if retryAfter > 0 && c.acceptor.EncodeRefusal != nil {
		header = c.acceptor.EncodeRefusal(head, retryAfter)
	}
	// Others may use the memory while the refusal is sent.
	c.memory.Release()
	if status == 0 {
		return
	}
	c.acceptor.recordRefusal(c, status, err)
	reply := &Reply{conn: c.Conn, log: c.acceptor.Log, minor: 1}
	reply.Send(status, header, nil)
	c.linger()
}

// interrupted reports whether reads of a request end since the process stops; the head is nil while it is read.
func (c *conn) interrupted(head *framer.RequestHead) bool {
	if head == nil {
		return c.acceptor.ending.Load()
	}
	return c.acceptor.refusing.Load()
}

// linger reads and discards what the caller still sends, for at most lingerTimeout.
func (c *conn) linger() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, defaultBodyBytes))
}
