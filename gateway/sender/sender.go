// Package sender keeps connections to backend servers and sends single requests over
// them. It never sends a request twice, and tells exactly what is known of its fate.
package sender

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"bronzelead.example/pkg/framer"
)

const (
	readBuffer = 4 << 10
	// maxHeadBytes bounds the head of a backend server's answer.
	maxHeadBytes = 64 << 10
	// maxSkipped is how many answers to earlier requests are skipped before one's own.
	maxSkipped = 2
)

// Sender keeps connections. Set the exported fields before use.
type Sender struct {
	Clock clockwork.Clock
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// MaxIdle is how long an unused connection is kept at most.
	MaxIdle time.Duration
	// IdleMargin is taken off the time for which a backend server says that it keeps a
	// connection, since its close may already be on the way.
	IdleMargin time.Duration
	// UserTimeout is how long sent bytes may stay unacknowledged before a connection
	// counts as dead.
	UserTimeout time.Duration
	// IsOwnResponse reports whether an answer belongs to the request with an id, and for how
	// long the connection may then stay idle; 0 if unknown.
	IsOwnResponse func(head *framer.ResponseHead, requestID string) (own bool, idle time.Duration)

	mu   sync.Mutex
	idle map[string][]*link
	// busy are the connections with a request, for each backend server.
	busy map[string]map[*link]struct{}
}

// link is one connection to a backend server.
type link struct {
	net.Conn
	reader *bufio.Reader
	until  time.Time
}

// Request is a request to be sent.
type Request struct {
	// Backend and Address name the backend server.
	Backend string
	Address string
	// RequestID is echoed by the answer.
	RequestID string
	Method    string
	Target    string
	Header    framer.Header
	Body      []byte
	// NewConnection asks for a connection of its own.
	NewConnection bool
}

// Response is an answer that has begun.
type Response struct {
	Head *framer.ResponseHead
	Body *framer.Body

	sender  *Sender
	link    *link
	backend string
	idle    time.Duration
	stop    func() bool
	written <-chan error
}

// Send sends a request and returns the answer's head. When ctx ends the connection is
// closed, which tells the backend server to stop. The error says what is known of the
// request.
func (s *Sender) Send(ctx context.Context, out *Request) (*Response, error) {
	l, err := s.connect(ctx, out)
	if err != nil {
		return nil, err
	}
	s.begin(out.Backend, l)
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	in, err := s.exchange(l, out)
	if err != nil {
		stop()
		s.end(out.Backend, l)
		_ = l.Close()
		return nil, err
	}
	in.stop = stop
	return in, nil
}

func (s *Sender) exchange(l *link, out *Request) (*Response, error) {
	written, err := write(l, out)
	if err != nil {
		return nil, err
	}
	for range maxSkipped + 1 {
		in, own, err := s.receive(l, out)
		if err != nil {
			return nil, err
		}
		if own {
			in.written = written
			return in, nil
		}
		// A second answer to an earlier request, which comes where this one's was due.
		if _, err := io.Copy(io.Discard, in.Body); err != nil || !in.Body.Ended() {
			return nil, fail(KindLost, "an answer to another request ended early")
		}
	}
	return nil, fail(KindLost, "only answers to other requests came")
}

// largeBody is the size from which a body is written beside the reading, since an
// answer may come before the body was taken in.
const largeBody = 16 << 10

func write(l *link, out *Request) (<-chan error, error) {
	head := encode(out)
	if len(out.Body) <= largeBody {
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
	done := make(chan error, 1)
	go func() {
		_, err := l.Write(out.Body)
		done <- err
	}()
	return done, nil
}

func encode(out *Request) []byte {
	buf := make([]byte, 0, 1024+min(len(out.Body), largeBody))
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
func (s *Sender) receive(l *link, out *Request) (*Response, bool, error) {
	for {
		raw, err := framer.ReadHead(l.reader, maxHeadBytes)
		if err != nil {
			return nil, false, wrap("Send", kindOf(err), err)
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
		return &Response{Head: head, Body: body, sender: s, link: l, backend: out.Backend, idle: idle}, own, nil
	}
}

func kindOf(err error) Kind {
	if framer.Is(err, framer.KindMalformed) || framer.Is(err, framer.KindTooLarge) {
		return KindMalformed
	}
	return KindLost
}

// Close gives the connection back if the answer was read to its end and nothing else
// came with it, and closes it otherwise.
func (in *Response) Close() {
	running := in.stop()
	in.sender.end(in.backend, in.link)
	reusable := running && in.Body.Ended() && in.Body.Framing != framer.FramingClose &&
		in.Head.KeepAlive() && in.link.reader.Buffered() == 0 && in.bodyWritten()
	if !reusable {
		_ = in.link.Close()
		return
	}
	in.sender.keep(in.backend, in.link, in.idle)
}

func (in *Response) bodyWritten() bool {
	if in.written == nil {
		return true
	}
	select {
	case err := <-in.written:
		return err == nil
	default:
		// The backend server answered before it had the whole body.
		return false
	}
}

func (s *Sender) connect(ctx context.Context, out *Request) (*link, error) {
	if !out.NewConnection {
		if l := s.take(out.Backend); l != nil {
			return l, nil
		}
	}
	return s.dial(ctx, out.Address)
}

// take returns the connection that was used last, if it is still alive.
func (s *Sender) take(backend string) *link {
	now := s.Clock.Now()
	for {
		s.mu.Lock()
		links := s.idle[backend]
		if len(links) == 0 {
			s.mu.Unlock()
			return nil
		}
		l := links[len(links)-1]
		s.idle[backend] = links[:len(links)-1]
		s.mu.Unlock()
		if now.Before(l.until) && isQuiet(l.Conn) {
			return l
		}
		_ = l.Close()
	}
}

// isQuiet reports whether a connection is open and nothing unasked has come.
func isQuiet(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = raw.Control(func(fd uintptr) {
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && quiet
}

func (s *Sender) keep(backend string, l *link, announced time.Duration) {
	idle := s.MaxIdle
	if announced > 0 {
		idle = min(idle, announced-s.IdleMargin)
	}
	if idle <= 0 {
		_ = l.Close()
		return
	}
	l.until = s.Clock.Now().Add(idle)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle == nil {
		s.idle = map[string][]*link{}
	}
	s.idle[backend] = append(s.idle[backend], l)
}

// CloseExpired closes connections that have been idle for too long. Call it now and then.
func (s *Sender) CloseExpired() {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for backend, links := range s.idle {
		kept := links[:0]
		for _, l := range links {
			if now.Before(l.until) {
				kept = append(kept, l)
				continue
			}
			_ = l.Close()
		}
		s.idle[backend] = kept
		if len(kept) == 0 {
			delete(s.idle, backend)
		}
	}
}

func (s *Sender) begin(backend string, l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy == nil {
		s.busy = map[string]map[*link]struct{}{}
	}
	if s.busy[backend] == nil {
		s.busy[backend] = map[*link]struct{}{}
	}
	s.busy[backend][l] = struct{}{}
}

func (s *Sender) end(backend string, l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy[backend], l)
	if len(s.busy[backend]) == 0 {
		delete(s.busy, backend)
	}
}

// CloseAll closes all connections to a start of a backend server that has ended, also those
// with a request: nothing more comes on them, and without a reset a request would wait for
// it until its time is over.
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
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.idle[backend] {
		_ = l.Close()
	}
	delete(s.idle, backend)
}
