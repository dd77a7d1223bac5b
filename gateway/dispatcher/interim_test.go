package dispatcher

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/scheduler"
	"bronzelead.example/pkg/connector"
)

// pipeListener accepts the connections that a test opens.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	close(l.done)
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// An engine sent an interim answer within a long body, and the gateway's session ended: the rest of the body was not written on a
// connection that stays open for further requests, and the request counted as unsent while it ran.
func TestInterimAnswerOfAnEngineDoesNotMakeARequestUnsent(t *testing.T) {
	for name, interim := range map[string]bool{"no interim answer": false, "one within the body": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var ended, ran atomic.Bool
			listener := &pipeListener{conns: make(chan net.Conn, 1), done: make(chan struct{})}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				ran.Store(true)
				_, _ = io.ReadFull(r.Body, make([]byte, 100))
				ended.Store(true)
				if interim {
					w.WriteHeader(http.StatusEarlyHints)
				}
				_, _ = io.Copy(io.Discard, r.Body)
			})}
			go func() { _ = server.Serve(listener) }()
			c.Cleanup(func() { _ = server.Close() })
			dial := func(context.Context, string, string) (net.Conn, error) {
				local, remote := net.Pipe()
				listener.conns <- remote
				return local, nil
			}
			guard := func() error {
				if ended.Load() {
					return scheduler.ErrNoSession
				}
				return nil
			}
			d := &Dispatcher{
				Clock: clockwork.NewRealClock(), SilenceTimeout: time.Second, SessionTransport: connector.NewTransportWith(dial, guard),
				UnpooledTransport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return nil, io.EOF }},
			}
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			out := d.Run(ctx, &Exchange{
				RequestID: "r", Address: "engine:1", Incarnation: "first", Path: "/v1/completions", Body: bytes.Repeat([]byte("x"), 1<<20),
			})
			c.Check(ran.Load(), qt.IsTrue)
			c.Check(out.Ran, qt.Not(qt.Equals), RanNo, qt.Commentf("%v", out.Err))
		})
	}
}
