package tunneler

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/repeater"
	"bronzelead.example/pkg/socketprober"
	"bronzelead.example/pkg/wire"
)

const (
	// copyBufferSize is the size of the two buffers of a tunnel.
	copyBufferSize = 8 << 10
	// tunnelIdleTimeout is how long a tunnel may carry nothing: longer than any request waits for
	// its answer, so that it only ends tunnels whose gateway is gone.
	tunnelIdleTimeout = 5 * time.Minute
	// quietTime is how long a tunnel carries nothing after an answer before a gateway that is stopping
	// closes it: longer than a stream pauses while its engine reads the prompt of another one.
	quietTime = time.Second
)

// served is a tunnel for another gateway.
type served struct {
	backend string
	// gateway is the address of the other gateway.
	gateway string
	// downstream leads to the other gateway, and upstream to the backend server.
	downstream, upstream net.Conn
	// usedAt is when it carried bytes last, in ns of Unix time.
	usedAt atomic.Int64
	// reads counts the reads of both directions that got bytes.
	reads atomic.Uint64
	// awaiting is set while the last bytes were those of a request.
	awaiting atomic.Bool
	// writing holds an element while a request is written upstream, and guards writeError, the first error of that.
	writing    chan struct{}
	writeError error
}

// Server serves tunnels and calls of other gateways.
type Server struct {
	Tunneler *Tunneler
}

// ServeHTTP opens a tunnel for another gateway and serves it until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	t := s.Tunneler
	backend, address := r.URL.Query().Get(paramBackend), r.URL.Query().Get(paramAddress)
	if r.Method != http.MethodGet || r.Header.Get("Upgrade") != protocolName {
		http.Error(w, "a request for a tunnel names its protocol", http.StatusBadRequest)
		return
	}
	if !t.serves(backend, address) {
		http.Error(w, "no connections to this backend server are opened here", http.StatusServiceUnavailable)
		return
	}
	upstream, err := t.Dial(r.Context(), backend, address)
	if err != nil {
		http.Error(w, err.Error(), statusOf(reachOf(err)))
		return
	}
	downstream, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		_ = upstream.Close()
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	resetOnClose(downstream)
	tunnel := &served{backend: backend, gateway: r.Header.Get(headerGateway), downstream: downstream, upstream: upstream}
	if buffered.Reader.Buffered() > 0 || !t.add(tunnel) {
		tunnel.reset()
		return
	}
	defer t.remove(tunnel)
	_, err = io.WriteString(downstream, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocolName+"\r\n\r\n")
	if err != nil {
		tunnel.reset()
		return
	}
	t.Meter.Increment("tunnels", "gateway", tunnel.gateway)
	tunnel.serve(t)
}

// Check opens a connection to a backend server and reports the outcome.
func (s *Server) Check(ctx context.Context, req *wire.CheckRequest) (*wire.CheckResponse, error) {
	t := s.Tunneler
	if !t.serves(req.GetBackend(), req.GetAddress()) {
		return &wire.CheckResponse{}, nil
	}
	return &wire.CheckResponse{Reach: reachOf(t.Probe(ctx, req.GetBackend(), req.GetAddress()))}, nil
}

// Constrain applies a backoff that another gateway was asked for.
func (s *Server) Constrain(_ context.Context, req *wire.ConstrainRequest) (*wire.ConstrainResponse, error) {
	t := s.Tunneler
	d := time.Duration(req.GetBackoffMs()) * time.Millisecond
	if t.BackOff(req.GetBackend(), d) {
		t.ShareBackOff(req.GetBackend(), d, "", req.GetGateway())
	}
	return &wire.ConstrainResponse{}, nil
}

// serves reports whether connections to the incarnation at an address are opened for others.
func (t *Tunneler) serves(backend, address string) bool {
	known, _ := t.Resolve(backend)
	t.mu.Lock()
	full := t.stopping || t.MaxTunnels > 0 && len(t.served) >= t.MaxTunnels
	t.mu.Unlock()
	return known != "" && known == address && !full && !t.Declines(backend)
}

func reachOf(err error) wire.Reach {
	var timeout net.Error
	switch {
	case err == nil:
		return wire.Reach_REACH_CONNECTED
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return wire.Reach_REACH_REFUSED
	case errors.As(err, &timeout) && timeout.Timeout():
		return wire.Reach_REACH_TIMED_OUT
	}
	return wire.Reach_REACH_UNKNOWN
}

func statusOf(r wire.Reach) int {
	switch r {
	case wire.Reach_REACH_REFUSED:
		return http.StatusBadGateway
	case wire.Reach_REACH_TIMED_OUT:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// add adds a tunnel, unless there are too many.
func (t *Tunneler) add(s *served) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping || t.MaxTunnels > 0 && len(t.served) >= t.MaxTunnels {
		return false
	}
	s.usedAt.Store(t.Clock.Now().UnixNano())
	t.served[s] = struct{}{}
	return true
}

func (t *Tunneler) remove(s *served) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.served, s)
}

// Stop serves no further tunnels, and waits until the others have ended or ctx ends. Those that
// carry nothing are closed.
func (t *Tunneler) Stop(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t.mu.Lock()
	t.stopping = true
	t.mu.Unlock()
	if t.closeQuiet() == 0 {
		return
	}
	repeater.Run(ctx, t.Clock, quietTime/4, func() {
		if t.closeQuiet() == 0 {
			cancel()
		}
	})
}

// closeQuiet closes the tunnels that have carried nothing for a time and wait for no answer, and
// returns the number of the others.
func (t *Tunneler) closeQuiet() int {
	since := t.Clock.Now().Add(-quietTime).UnixNano()
	t.mu.Lock()
	defer t.mu.Unlock()
	open := 0
	for s := range t.served {
		if s.awaiting.Load() || s.usedAt.Load() >= since {
			open++
			continue
		}
		s.reset()
	}
	return open
}

// serve copies bytes both ways until the tunnel ends.
func (s *served) serve(t *Tunneler) {
	s.writing = make(chan struct{}, 1)
	var answers sync.WaitGroup
	answers.Go(func() { s.copyAnswers(t) })
	s.copyRequests(t)
	answers.Wait()
	_ = s.downstream.Close()
	_ = s.upstream.Close()
}

// copyRequests copies bytes to the backend server. The other gateway never ends its bytes alone, so that an end there ends the
// tunnel. Bytes that the backend server does not take any more are dropped, since the answer may be under way.
func (s *served) copyRequests(t *Tunneler) {
	buf := make([]byte, copyBufferSize)
	for {
		n, err := s.read(s.downstream, buf)
		if n > 0 {
			if t.peerClosed(s.downstream) {
				// The other gateway gave up the request.
				s.reset()
				return
			}
			s.use(t, true)
			s.writeRequest(buf[:n])
		}
		switch {
		case err == io.EOF:
			_ = s.upstream.Close()
			return
		case err != nil:
			s.reset()
			return
		}
	}
}

// writeRequest writes a part of a request to the backend server, unless that has failed before.
func (s *served) writeRequest(b []byte) {
	s.writing <- struct{}{}
	defer func() { <-s.writing }()
	if s.writeError == nil {
		_, s.writeError = s.upstream.Write(b)
	}
}

// copyAnswers copies bytes from the backend server. Their end is passed on, so that an answer that ends with its connection
// stays complete; a reset is passed on as one.
func (s *served) copyAnswers(t *Tunneler) {
	buf := make([]byte, copyBufferSize)
	for {
		n, err := s.read(s.upstream, buf)
		if n > 0 {
			s.use(t, false)
			if _, err := s.downstream.Write(buf[:n]); err != nil {
				s.reset()
				return
			}
		}
		switch {
		case err == io.EOF && s.backendEnded():
			closeWrite(s.downstream)
			return
		case err != nil:
			s.reset()
			return
		}
	}
}

// backendEnded reports whether an end of the backend server's bytes is its own. The kernel tells a reset once: if a write gets
// it, the read sees an end.
func (s *served) backendEnded() bool {
	_ = s.upstream.SetWriteDeadline(time.Unix(1, 0))
	s.writing <- struct{}{}
	defer func() { <-s.writing }()
	return connector.EndedBefore(s.writeError)
}

// read reads bytes, and fails once the tunnel has carried nothing for too long in either direction.
func (s *served) read(from net.Conn, buf []byte) (int, error) {
	for {
		before := s.reads.Load()
		_ = from.SetReadDeadline(time.Now().Add(tunnelIdleTimeout))
		n, err := from.Read(buf)
		if n > 0 {
			s.reads.Add(1)
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || s.reads.Load() == before {
			return n, err
		}
	}
}

// use records that the tunnel carries bytes of a request or of an answer.
func (s *served) use(t *Tunneler, request bool) {
	s.usedAt.Store(t.Clock.Now().UnixNano())
	s.awaiting.Store(request)
}

func (t *Tunneler) peerClosed(c net.Conn) bool {
	if t.PeerClosed == nil {
		return socketprober.PeerClosed(c)
	}
	return t.PeerClosed(c)
}

func closeWrite(c net.Conn) {
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
}

// reset ends the tunnel at both ends, so that an answer in progress does not look complete.
func (s *served) reset() {
	for _, c := range []net.Conn{s.downstream, s.upstream} {
		resetOnClose(c)
		_ = c.Close()
	}
}

// resetOnClose lets a connection be reset when it is closed, also by the kernel after a crash of
// this process. Its end is only passed on by closeWrite.
func resetOnClose(c net.Conn) {
	if tcp, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
}
