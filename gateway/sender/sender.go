// Package sender pools connections to backend servers and sends single requests over them. It
// never sends a request twice, and its errors state exactly what is known of a request.
package sender

import (
	"context"
	"io"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/framer"
	"bronzelead.example/pkg/socketprober"
)

const (
	readBufferSize = 4 << 10
	// maxHeadBytes bounds the head of a backend server's answer.
	maxHeadBytes = 64 << 10
	// maxSkippedResponses is how many answers to earlier requests are skipped before the
	// request's own.
	maxSkippedResponses = 2
	// maxSkippedBytes bounds the body of an answer that is skipped, and maxInterimResponses the interim answers before
	// one: a faulty backend server may send bytes without end.
	maxSkippedBytes     = 256 << 10
	maxInterimResponses = 16
)

// Sender pools connections. Set the exported fields before use.
type Sender struct {
	Clock clockwork.Clock
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// MaxIdle is the maximum time an unused connection is kept.
	MaxIdle time.Duration
	// IdleMargin is subtracted from the idle timeout that a backend server announces, since it
	// may already be closing the connection.
	IdleMargin time.Duration
	// UserTimeout is how long sent bytes may stay unacknowledged before a connection counts as
	// dead.
	UserTimeout time.Duration
	// IsOwnResponse reports whether an answer belongs to the request with an id, and for how
	// long the connection may then stay idle; 0 if unknown.
	IsOwnResponse func(head *framer.ResponseHead, requestID string) (own bool, idle time.Duration)
	// DialContext opens connections; nil is a net.Dialer.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// ObserveDial is called after each attempt to open a direct connection that ctx did not end, and
	// ObserveKept for each answer on a connection that was open before; nil ignores them.
	ObserveDial func(backend string, err error)
	ObserveKept func(backend string)
	// ObserveSkipped is called for each answer to another request that is skipped; nil ignores them.
	ObserveSkipped func(out *Request, status int)
	// Detour opens connections where no direct one can be; nil is none.
	Detour *Detour

	received     *receipts
	receivedOnce sync.Once

	mu   sync.Mutex
	idle map[string][]*connection
	// busy are the connections with a request, for each backend server.
	busy map[string]map[*connection]struct{}
}

// Request is a request to be sent.
type Request struct {
	// Backend and Address identify the backend server.
	Backend string
	Address string
	// RequestID is echoed by the answer.
	RequestID string
	Method    string
	Target    string
	Header    framer.Header
	Body      []byte
	// NewConnection forces a new connection.
	NewConnection bool
	// Used are the connections of earlier attempts of the request, which this one does not use. Send adds its own. nil
	// is none.
	Used *Connections
	// Permitted reports, once there is a connection, whether the request may still be sent; nil
	// permits it.
	Permitted func() bool
}

// Connections are those that the attempts of one request have used. They are not used again: a second copy of the answer
// to one attempt may come at any later time, and has the id of all. The zero value holds none.
type Connections struct{ list []*connection }

func (u *Connections) add(l *connection) {
	if u != nil {
		u.list = append(u.list, l)
	}
}

func (u *Connections) contains(l *connection) bool { return u != nil && slices.Contains(u.list, l) }

// Response is an answer whose head has been read.
type Response struct {
	Head *framer.ResponseHead
	Body *framer.Body

	sender  *Sender
	conn    *connection
	backend string
	idle    time.Duration
	stop    func() bool
	written *bodyWrite
	// Via is the instance that the answer came through; empty if it came directly.
	Via string
}

// Send sends a request and returns the answer's head. When ctx ends the connection is closed,
// which makes the backend server stop; before an answer begins it is reset, so that no bytes of the request
// are delivered any more. The error states what is known of the request.
func (s *Sender) Send(ctx context.Context, out *Request) (*Response, error) {
	l, err := s.connect(ctx, out)
	if err != nil {
		return nil, err
	}
	if out.Permitted != nil && !out.Permitted() {
		s.returnIdle(out.Backend, l)
		return nil, fail(KindWithdrawn, "the request was withdrawn")
	}
	s.markBusy(out.Backend, l)
	l.answered.Store(false)
	l.requestID = out.RequestID
	out.Used.add(l)
	stop := context.AfterFunc(ctx, func() { l.abandon() })
	in, err := s.exchange(l, out)
	if err != nil {
		stop()
		s.unmarkBusy(out.Backend, l)
		l.abandon()
		return nil, err
	}
	l.answered.Store(true)
	in.stop = stop
	return in, nil
}

func (s *Sender) exchange(l *connection, out *Request) (*Response, error) {
	written, err := write(l, out)
	if err != nil {
		return nil, err
	}
	for range maxSkippedResponses + 1 {
		in, own, err := s.receive(l, out)
		if err != nil {
			return nil, err
		}
		if own {
			in.written = written
			if l.kept && s.ObserveKept != nil {
				s.ObserveKept(out.Backend)
			}
			return in, nil
		}
		// A second answer to an earlier request, in place of this request's answer.
		if s.ObserveSkipped != nil {
			s.ObserveSkipped(out, in.Head.Status)
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(in.Body, maxSkippedBytes)); err != nil || !in.Body.Complete() {
			return nil, fail(KindLost, "an answer to another request ended early, or did not end")
		}
	}
	return nil, fail(KindLost, "only answers to other requests came")
}

// asyncBodySize is the size above which a body is written concurrently with reading, since an
// answer may arrive before the whole body was read.
const asyncBodySize = 16 << 10

// bodyWrite is the write of a body that goes on while the answer is read.
type bodyWrite struct {
	// ended is closed at its end, and err is its error then.
	ended chan struct{}
	err   error
}

func write(l *connection, out *Request) (*bodyWrite, error) {
	head := encode(out)
	l.body = nil
	if len(out.Body) <= asyncBodySize {
		n, err := l.Write(append(head, out.Body...))
		if err != nil && n == 0 {
			return nil, fail(KindNotSent, "%v", err)
		}
		if err != nil {
			return nil, fail(KindLost, "%v", err)
		}
		return nil, nil
	}
	if n, err := l.Write(head); err != nil {
		if n == 0 {
			return nil, fail(KindNotSent, "%v", err)
		}
		return nil, fail(KindLost, "%v", err)
	}
	written := &bodyWrite{ended: make(chan struct{})}
	l.body = written
	go func() {
		defer close(written.ended)
		_, written.err = l.Write(out.Body)
	}()
	return written, nil
}

func encode(out *Request) []byte {
	buf := make([]byte, 0, 1024+min(len(out.Body), asyncBodySize))
	buf = append(buf, out.Method...)
	buf = append(buf, ' ')
	buf = append(buf, out.Target...)
	buf = append(buf, " HTTP/1.1\r\n"...)
	for _, f := range out.Header {
		buf = append(buf, f.Name...)
		buf = append(buf, ": "...)
		buf = append(buf, f.Value...)
		buf = append(buf, "\r\n"...)
	}
	if len(out.Body) > 0 || out.Method != "GET" && out.Method != "HEAD" && out.Method != "DELETE" {
		buf = append(buf, "Content-Length: "...)
		buf = strconv.AppendInt(buf, int64(len(out.Body)), 10)
		buf = append(buf, "\r\n"...)
	}
	return append(buf, "\r\n"...)
}

// receive reads one head, skipping interim answers.
func (s *Sender) receive(l *connection, out *Request) (*Response, bool, error) {
	for range maxInterimResponses + 1 {
		raw, err := framer.ReadHead(l.reader, maxHeadBytes)
		if err != nil {
			return nil, false, wrap("Send", readErrorKind(err), err)
		}
		head, err := framer.ParseResponse(raw)
		if err != nil {
			return nil, false, wrap("Send", KindMalformed, err)
		}
		if head.Status < 200 {
			continue
		}
		body, err := framer.ResponseBody(l.reader, head, out.Method)
		if err != nil {
			return nil, false, wrap("Send", KindMalformed, err)
		}
		own, idle := s.IsOwnResponse(head, out.RequestID)
		return &Response{Head: head, Body: body, Via: l.via, sender: s, conn: l, backend: out.Backend, idle: idle}, own, nil
	}
	return nil, false, fail(KindMalformed, "only interim answers came")
}

func readErrorKind(err error) Kind {
	if framer.Is(err, framer.KindMalformed) || framer.Is(err, framer.KindTooLarge) {
		return KindMalformed
	}
	return KindLost
}

// Close returns the connection to the pool if the answer was read to its end and no other data
// followed, and closes it otherwise.
func (in *Response) Close() {
	running := in.stop()
	in.sender.unmarkBusy(in.backend, in.conn)
	reusable := running && in.Body.Complete() && in.Body.Framing != framer.FramingClose &&
		in.Head.KeepAlive() && in.conn.reader.Buffered() == 0 && in.bodyWritten()
	if !reusable {
		_ = in.conn.Close()
		return
	}
	in.sender.keepIdle(in.backend, in.conn, in.idle)
}

// Discard closes the connection: the answer does not tell what may follow it there.
func (in *Response) Discard() {
	in.stop()
	in.sender.unmarkBusy(in.backend, in.conn)
	_ = in.conn.Close()
}

func (in *Response) bodyWritten() bool {
	if in.written == nil {
		return true
	}
	select {
	case <-in.written.ended:
		return in.written.err == nil
	default:
		// The backend server answered before it had the whole body.
		return false
	}
}

func (s *Sender) connect(ctx context.Context, out *Request) (*connection, error) {
	if !out.NewConnection {
		if l := s.takeIdle(out); l != nil {
			return l, nil
		}
	}
	return s.dial(ctx, out.Backend, out.Address)
}

// takeIdle returns the most recently used idle connection that is still usable by a request.
func (s *Sender) takeIdle(out *Request) *connection {
	now := s.Clock.Now()
	for {
		l := s.popIdle(out)
		if l == nil || now.Before(l.idleUntil) && isUsable(l.Conn) {
			return l
		}
		_ = l.Close()
	}
}

// popIdle removes the most recently used idle connection that no attempt of a request has used. Its callers may repeat it
// under the same id, so that its id must not be the latest one either.
func (s *Sender) popIdle(out *Request) *connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	links := s.idle[out.Backend]
	for i, l := range slices.Backward(links) {
		if !out.Used.contains(l) && (out.RequestID == "" || l.requestID != out.RequestID) {
			s.idle[out.Backend] = slices.Delete(links, i, i+1)
			return l
		}
	}
	return nil
}

// isUsable reports whether a connection is open and has received no unsolicited data.
func isUsable(c net.Conn) bool {
	state := socketprober.Probe(c)
	return state == socketprober.Idle || state == socketprober.Unknown
}

func (s *Sender) keepIdle(backend string, l *connection, announced time.Duration) {
	idle := s.MaxIdle
	if announced > 0 {
		idle = min(idle, announced-s.IdleMargin)
	}
	if idle <= 0 || l.via != "" && !s.needsDetour(backend) {
		_ = l.Close()
		return
	}
	l.idleUntil = s.Clock.Now().Add(idle)
	s.addIdle(backend, l)
}

// returnIdle returns a connection that was not used. The time that it may stay idle goes on.
func (s *Sender) returnIdle(backend string, l *connection) {
	if l.idleUntil.IsZero() {
		s.keepIdle(backend, l, 0)
		return
	}
	s.addIdle(backend, l)
}

func (s *Sender) addIdle(backend string, l *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.kept = true
	if s.idle == nil {
		s.idle = map[string][]*connection{}
	}
	s.idle[backend] = append(s.idle[backend], l)
}

// CloseExpired closes connections that have been idle for too long. Call it periodically.
func (s *Sender) CloseExpired() {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for backend, links := range s.idle {
		open := links[:0]
		for _, l := range links {
			if now.Before(l.idleUntil) {
				open = append(open, l)
				continue
			}
			_ = l.Close()
		}
		s.idle[backend] = open
		if len(open) == 0 {
			delete(s.idle, backend)
		}
	}
}

func (s *Sender) markBusy(backend string, l *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy == nil {
		s.busy = map[string]map[*connection]struct{}{}
	}
	if s.busy[backend] == nil {
		s.busy[backend] = map[*connection]struct{}{}
	}
	l.sentAt = s.Clock.Now()
	s.busy[backend][l] = struct{}{}
}

func (s *Sender) unmarkBusy(backend string, l *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy[backend], l)
	if len(s.busy[backend]) == 0 {
		delete(s.busy, backend)
	}
}

// CloseAll closes all connections to an exited incarnation of a backend server, also those with
// a request: no more data arrives on them, and without a reset a request would wait until its
// deadline.
func (s *Sender) CloseAll(backend string) {
	s.CloseIdle(backend)
	s.mu.Lock()
	defer s.mu.Unlock()
	for l := range s.busy[backend] {
		_ = l.Close()
	}
}

// CloseIdle closes the idle connections to a backend server.
func (s *Sender) CloseIdle(backend string) {
	s.closeIdle(backend, func(*connection) bool { return true })
}
