// Package server serves HTTP as all of bronzelead's programs need it: a request's context ends
// when its connection closes, a caller that does not read is disconnected, and a stop waits for
// running requests without closing connections in use.
//
// It uses net/http. With nbhttp 1.6.8, which the house style prefers, calls with bodies were
// decoded incorrectly or not answered: see TestCallsOfAllSizes.
package server

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bronzelead.example/pkg/buffersizer"
	"bronzelead.example/pkg/evictor"
	"bronzelead.example/pkg/logger"
	"bronzelead.example/pkg/reserver"
)

const (
	// maxHeaderBytes limits request heads.
	maxHeaderBytes = 64 << 10
	// headerTimeout is how long a caller may take to send a head.
	headerTimeout = 3 * time.Second
	// writeTimeout is how long a write may be blocked by a caller that does not read.
	writeTimeout       = 30 * time.Second
	defaultIdleTimeout = 75 * time.Second
	// refusalLogInterval is the shortest time between two log lines on refused requests.
	refusalLogInterval = time.Second
)

// Server serves one listening address. Set the exported fields, then call Start.
type Server struct {
	// Address is an IP number and port; port 0 lets the kernel choose.
	Address string
	Handler http.Handler
	Log     *slog.Logger
	// IdleTimeout is how long a connection may stay open without a request.
	IdleTimeout time.Duration
	// MaxBodyBytes is the size at which reading a body fails; 0 for no limit. Handlers refuse
	// at a lower size, with a clear error.
	MaxBodyBytes int64
	// MaxConnections limits the open connections; 0 for no limit. For a new one, the one that has been waiting for its
	// caller for the longest time is closed; if all serve requests, the new one is.
	MaxConnections int
	// Memory is what all requests may hold together; nil for no limit.
	Memory *reserver.Pool
	// SocketBuffer is the size of the receive buffer of each connection in the kernel, in bytes; 0 for the kernel's choice.
	SocketBuffer int

	http     *http.Server
	listener net.Listener
	// bodyTimeout limits the time between two reads of a body, and wholeBodyTimeout the time until its end.
	bodyTimeout, wholeBodyTimeout time.Duration

	evictor  evictor.Evictor
	refusals logger.Limiter
	stopping atomic.Bool

	mu             sync.Mutex
	activeRequests int
	// idle is closed when no request is active, once Stop waits for it.
	idle chan struct{}
}

// Start listens and serves in the background.
func (s *Server) Start() error {
	if s.IdleTimeout == 0 {
		s.IdleTimeout = defaultIdleTimeout
	}
	if s.bodyTimeout == 0 {
		s.bodyTimeout, s.wholeBodyTimeout = defaultBodyTimeout, defaultWholeBodyTimeout
	}
	listen := net.ListenConfig{Control: buffersizer.Control(s.SocketBuffer)}
	listening, err := listen.Listen(context.Background(), "tcp", s.Address)
	if err != nil {
		return errors.Wrapf(err, "server: listen on %s", s.Address)
	}
	s.evictor.Max, s.refusals.Interval = s.MaxConnections, refusalLogInterval
	s.listener = &listener{TCPListener: listening.(*net.TCPListener), server: s}
	s.http = &http.Server{
		ConnContext: withConn, ConnState: observeState,
		Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: s.IdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(s.Log.Handler(), slog.LevelDebug),
	}
	go s.accept()
	return nil
}

func (s *Server) accept() {
	err := s.http.Serve(s.listener)
	if s.stopping.Load() || errors.Is(err, http.ErrServerClosed) {
		return
	}
	s.Log.Error("HTTP server stopped unexpectedly", "Address", s.Address, "Error", err.Error())
}

// recordRefusal logs that there is no memory for a request.
func (s *Server) recordRefusal(peer net.Addr) {
	if omitted, ok := s.refusals.Take(time.Now()); ok {
		s.Log.Warn("refused a request: memory for requests is short", "Address", s.Address, "Peer", peer.String(),
			"Reserved", s.Memory.Stats().Used, "NotLogged", omitted)
	}
}

// Connections returns the state of the connections.
func (s *Server) Connections() evictor.Stats { return s.evictor.Stats() }

// Addr returns the listening address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Stop stops accepting connections, waits for active requests, and closes the server. It stops
// waiting when ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	s.Quiesce()
	_ = s.listener.Close()
	defer func() { _ = s.http.Close() }()
	select {
	case <-s.whenIdle():
		// No request is active, so Shutdown waits only until the last answers are written.
		err := s.http.Shutdown(ctx)
		if errors.Is(err, net.ErrClosed) {
			// The listener was closed above, and Serve has not noticed yet.
			return nil
		}
		return errors.Wrap(err, "server: pending responses not delivered")
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "server: requests still running")
	}
}

// Quiesce makes all further answers ask callers to close their connections, so that a stop
// finds none in use.
func (s *Server) Quiesce() { s.stopping.Store(true) }

func (s *Server) whenIdle() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = make(chan struct{})
	if s.activeRequests == 0 {
		close(s.idle)
	}
	return s.idle
}

func (s *Server) requestStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeRequests++
}

func (s *Server) requestDone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.activeRequests--
	if s.activeRequests != 0 || s.idle == nil {
		return
	}
	select {
	case <-s.idle:
	default:
		close(s.idle)
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.requestStarted()
	defer s.requestDone()
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if s.MaxBodyBytes > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, s.MaxBodyBytes)
	}
	out := &deadlineWriter{ResponseWriter: w, controller: http.NewResponseController(w)}
	if c := connOf(r); c != nil {
		defer c.end()
		if !c.begin(r) {
			panic(http.ErrAbortHandler)
		}
		if hasBody(r) {
			r.Body = &body{ReadCloser: r.Body, conn: c, controller: out.controller, until: time.Now().Add(s.wholeBodyTimeout)}
			// It also limits how long net/http waits for the rest of a body that its handler does not read.
			_ = out.controller.SetReadDeadline(time.Now().Add(s.bodyTimeout))
		}
	}
	s.handle(out, r)
	if out.aborted {
		panic(http.ErrAbortHandler)
	}
}

// handle logs the panic of a handler and aborts its answer.
func (s *Server) handle(w *deadlineWriter, r *http.Request) {
	defer func() {
		if fault := recover(); fault != nil {
			s.Log.Error("request handler panicked", "Fault", fault, "Stack", string(debug.Stack()))
			w.aborted = true
		}
	}()
	s.Handler.ServeHTTP(w, r)
}

// Abort closes the connection of an answer that can't be completed once its handler has
// returned, so that the caller does not take the answer for complete.
func Abort(w http.ResponseWriter) {
	if out, ok := w.(*deadlineWriter); ok {
		out.aborted = true
		return
	}
	panic(http.ErrAbortHandler)
}

// deadlineWriter sets a deadline for each write: without it, the request of a caller that does
// not read would never end.
type deadlineWriter struct {
	http.ResponseWriter

	controller *http.ResponseController
	aborted    bool
}

// Write sends bytes of the body.
func (w *deadlineWriter) Write(b []byte) (int, error) {
	if err := w.controller.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, errors.Wrap(err, "server: deadline")
	}
	n, err := w.ResponseWriter.Write(b)
	return n, errors.WithStack(err)
}

// Flush sends what has been written.
func (w *deadlineWriter) Flush() { _ = w.controller.Flush() }

// Unwrap returns the underlying writer of net/http.
func (w *deadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
