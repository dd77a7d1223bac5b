// Package server serves HTTP the way that all of bronzelead's programs need it: a
// request's context ends when its connection closes, a caller that takes no bytes is
// given up, and a stop waits for what runs without closing connections in use.
//
// It is net/http. With nbhttp 1.6.8, which the house style prefers, calls with bodies
// were decoded wrongly or got no answer: TestCallsOfAllSizes shows it.
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
)

const (
	// maxHeaderBytes bounds partly received heads.
	maxHeaderBytes = 64 << 10
	// headerTimeout is how long a caller may take to send a head.
	headerTimeout = 3 * time.Second
	// stalledReader is how long a caller may leave written bytes untaken.
	stalledReader = 30 * time.Second
	defaultIdle   = 75 * time.Second
)

// Server is one listening address. Set the exported fields, then call Start.
type Server struct {
	// Address is an IP number and port; port 0 lets the kernel choose.
	Address string
	Handler http.Handler
	Log     *slog.Logger
	// IdleTimeout is how long a connection may take to send a request.
	IdleTimeout time.Duration
	// MaxBodyBytes is the number of bytes after which a body is cut off; 0 for no bound.
	// Handlers refuse earlier, with a clear error.
	MaxBodyBytes int64

	http     *http.Server
	listener net.Listener
	stopping atomic.Bool

	mu      sync.Mutex
	running int
	// idle is closed when nothing runs, once Stop waits for it.
	idle chan struct{}
}

// Start listens and serves in the background.
func (s *Server) Start() error {
	if s.IdleTimeout == 0 {
		s.IdleTimeout = defaultIdle
	}
	listen := net.ListenConfig{}
	listener, err := listen.Listen(context.Background(), "tcp", s.Address)
	if err != nil {
		return errors.Wrapf(err, "server: listen on %s", s.Address)
	}
	s.listener = listener
	s.http = &http.Server{
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
	s.Log.Error("the server ends", "Address", s.Address, "Error", err.Error())
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Stop takes no more connections, waits for the requests that run, and closes. It
// gives up waiting when ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	s.Quiesce()
	_ = s.listener.Close()
	defer func() { _ = s.http.Close() }()
	select {
	case <-s.whenIdle():
		// Shutdown waits until the last answers are written, and for nothing else now.
		err := s.http.Shutdown(ctx)
		if errors.Is(err, net.ErrClosed) {
			// The listener was closed above, and Serve has not noticed yet.
			return nil
		}
		return errors.Wrap(err, "server: answers are not taken")
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "server: requests still run")
	}
}

// Quiesce asks callers to close their connections with the answers from here on, so
// that a stop finds none in use.
func (s *Server) Quiesce() { s.stopping.Store(true) }

func (s *Server) whenIdle() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = make(chan struct{})
	if s.running == 0 {
		close(s.idle)
	}
	return s.idle
}

func (s *Server) began() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
}

func (s *Server) ended() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.running != 0 || s.idle == nil {
		return
	}
	select {
	case <-s.idle:
	default:
		close(s.idle)
	}
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.began()
	defer s.ended()
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if s.MaxBodyBytes > 0 {
		r.Body = http.MaxBytesReader(w, r.Body, s.MaxBodyBytes)
	}
	out := &writer{ResponseWriter: w, control: http.NewResponseController(w)}
	s.handle(out, r)
	if out.aborted {
		panic(http.ErrAbortHandler)
	}
}

// handle logs what ends a handler unexpectedly; its caller sees a cut connection.
func (s *Server) handle(w *writer, r *http.Request) {
	defer func() {
		if fault := recover(); fault != nil {
			s.Log.Error("a handler panicked", "Fault", fault, "Stack", string(debug.Stack()))
			w.aborted = true
		}
	}()
	s.Handler.ServeHTTP(w, r)
}

// Abort closes the connection of an answer that can't be completed, once its handler has
// returned, so that the caller sees it cut and does not take it for whole.
func Abort(w http.ResponseWriter) {
	if out, ok := w.(*writer); ok {
		out.aborted = true
		return
	}
	panic(http.ErrAbortHandler)
}

// writer gives up a caller that takes no bytes, or its request would never end.
type writer struct {
	http.ResponseWriter

	control *http.ResponseController
	aborted bool
}

// Write sends bytes of the body.
func (w *writer) Write(b []byte) (int, error) {
	if err := w.control.SetWriteDeadline(time.Now().Add(stalledReader)); err != nil {
		return 0, errors.Wrap(err, "server: deadline")
	}
	n, err := w.ResponseWriter.Write(b)
	return n, errors.WithStack(err)
}

// Flush sends what has been written.
func (w *writer) Flush() { _ = w.control.Flush() }

// Unwrap returns the writer of the library.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }
