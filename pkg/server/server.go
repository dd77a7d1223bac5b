// Package server serves HTTP with nbhttp, the way that all of bronzelead's
// programs need it: a request's context ends when its connection closes, handlers
// may wait without taking a place in a pool, and a stop waits for what runs.
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

	"github.com/lesismal/nbio/nbhttp"
	"github.com/pkg/errors"
)

const (
	// Partly received headers are bounded by this.
	maxHeaderBytes = 64 << 10
	// A reader that is too slow loses its connection when this much waits for it.
	maxUnsentBytes   = 4 << 20
	defaultIdle      = 75 * time.Second
	defaultBodyBytes = 32 << 20
)

// Server is one listening address. Set the exported fields, then call Start.
type Server struct {
	// Address is an IP number and port; port 0 lets the kernel choose.
	Address string
	Handler http.Handler
	Log     *slog.Logger
	// Idle is how long a connection may take to send a request.
	Idle time.Duration
	// MaxBody is where a body is cut off together with its connection. Handlers
	// refuse earlier, with a clear error.
	MaxBody int

	engine   *nbhttp.Engine
	listener net.Listener
	conns    sync.Map
	stopping atomic.Bool

	mu      sync.Mutex
	running int
	// idle is closed when nothing runs, once Stop waits for it.
	idle chan struct{}
}

// connState is the context of one connection.
type connState struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// Start listens and serves in the background.
func (s *Server) Start() error {
	if s.Idle == 0 {
		s.Idle = defaultIdle
	}
	if s.MaxBody == 0 {
		s.MaxBody = defaultBodyBytes
	}
	listen := net.ListenConfig{}
	listener, err := listen.Listen(context.Background(), "tcp", s.Address)
	if err != nil {
		return errors.Wrapf(err, "server: listen on %s", s.Address)
	}
	s.listener = listener
	s.engine = nbhttp.NewEngine(nbhttp.Config{
		Network:            "tcp",
		Addrs:              []string{s.Address},
		Handler:            http.HandlerFunc(s.serve),
		ServerExecutor:     s.execute,
		KeepaliveTime:      s.Idle,
		ReadLimit:          maxHeaderBytes + s.MaxBody,
		MaxHTTPBodySize:    s.MaxBody,
		MaxWriteBufferSize: maxUnsentBytes,
		SupportServerOnly:  true,
		Listen:             func(string, string) (net.Listener, error) { return listener, nil },
	})
	s.engine.OnOpen(s.opened)
	s.engine.OnClose(s.closed)
	return errors.Wrap(s.engine.Start(), "server: start")
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Stop takes no more connections, waits for the requests that run, and closes. It
// gives up waiting when ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	_ = s.listener.Close()
	s.Quiesce()
	defer s.engine.Stop()
	select {
	case <-s.whenIdle():
		return nil
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

// execute gives each request a goroutine. The library's own pool is bounded, and
// requests that wait in it would hold up quick ones.
func (s *Server) execute(job func()) {
	s.began()
	go func() {
		defer s.ended()
		defer s.recover()
		job()
	}()
}

func (s *Server) recover() {
	if fault := recover(); fault != nil {
		s.Log.Error("a handler panicked", "Fault", fault, "Stack", string(debug.Stack()))
	}
}

func (s *Server) opened(c net.Conn) {
	ctx, cancel := context.WithCancel(context.Background())
	s.conns.Store(c.RemoteAddr().String(), &connState{ctx: ctx, cancel: cancel})
}

func (s *Server) closed(c net.Conn, _ error) {
	if state, ok := s.conns.LoadAndDelete(c.RemoteAddr().String()); ok {
		state.(*connState).cancel()
	}
}

// serve hands a request to the handler under its connection's context. The
// library's read deadline is lifted while the handler runs, or it would cut
// answers that take longer than an idle connection may live.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	state, ok := s.conns.Load(r.RemoteAddr)
	if !ok {
		return
	}
	if res, ok := w.(*nbhttp.Response); ok && res.Parser != nil && res.Parser.Conn != nil {
		_ = res.Parser.Conn.SetReadDeadline(time.Time{})
	}
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	s.Handler.ServeHTTP(w, r.WithContext(state.(*connState).ctx))
}

// Abort closes the connection of an answer that can't be completed, so that the
// caller sees it cut and does not take it for whole.
func Abort(w http.ResponseWriter) {
	if res, ok := w.(*nbhttp.Response); ok && res.Parser != nil && res.Parser.Conn != nil {
		_ = res.Parser.Conn.Close()
		return
	}
	panic(http.ErrAbortHandler)
}
