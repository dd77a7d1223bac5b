package server

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"bronzelead.example/pkg/reserver"
)

const (
	ordinaryCall = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok"
	chunkedHead  = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	bodyLimit    = 1 << 20
)

// readAll is a handler that reads the body as calls between instances do.
func readAll(w http.ResponseWriter, r *http.Request) {
	if _, err := io.ReadAll(r.Body); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// readBody is a handler that reads the body with ReadBody.
func readBody(w http.ResponseWriter, r *http.Request) {
	if _, err := ReadBody(r, bodyLimit); err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func startServer(c *qt.C, s *Server, handle http.HandlerFunc) {
	s.Address, s.Log, s.Handler = "127.0.0.1:0", slog.New(slog.DiscardHandler), handle
	c.Assert(s.Start(), qt.IsNil)
	c.Cleanup(func() { _ = s.http.Close() })
}

func dial(c *qt.C, s *Server) net.Conn {
	conn, err := net.Dial("tcp", s.Addr())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	return conn
}

// statusOf sends an ordinary call and returns the status of its answer, or 0 if there is none.
func statusOf(conn net.Conn) int {
	if _, err := io.WriteString(conn, ordinaryCall); err != nil {
		return 0
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

func eventually(c *qt.C, what string, condition func() bool) {
	c.Helper()
	for deadline := time.Now().Add(time.Minute); !condition(); {
		if time.Now().After(deadline) {
			c.Fatalf("timed out waiting until %s", what)
		}
		<-time.After(time.Millisecond)
	}
}

// Nothing added up what unfinished requests held.
func TestUnfinishedRequestsStayWithinMemory(t *testing.T) {
	const (
		clients  = 40
		capacity = 4 << 20
	)
	body := strings.Repeat("x", 400<<10)
	for name, test := range map[string]struct {
		handle http.HandlerFunc
		sent   string
	}{
		"bodies":                   {readAll, fmt.Sprintf("%s%x\r\n%s\r\n", chunkedHead, len(body), body)},
		"bodies, exactly reserved": {readBody, fmt.Sprintf("%s%x\r\n%s\r\n", chunkedHead, len(body), body)},
		"heads":                    {readAll, "POST / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 10000)},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			pool := &reserver.Pool{Clock: clockwork.NewRealClock(), Capacity: capacity}
			s := &Server{Memory: pool}
			startServer(c, s, test.handle)
			var conns []net.Conn
			var sending sync.WaitGroup
			for range clients {
				conn := dial(c, s)
				conns = append(conns, conn)
				sending.Go(func() { _, _ = io.WriteString(conn, test.sent) })
			}
			sending.Wait()
			c.Check(statusOf(dial(c, s)), qt.Equals, http.StatusOK)
			for _, conn := range conns {
				_ = conn.Close()
			}
			eventually(c, "memory is given back", func() bool { return pool.Stats().Used == 0 })
			c.Check(pool.Stats().Peak <= capacity, qt.IsTrue)
			c.Check(pool.Stats().Refused+pool.Stats().Revoked > 0, qt.IsTrue)
		})
	}
}

// Connections were not limited at all.
func TestConnectionsAreLimited(t *testing.T) {
	const limit = 3
	for name, sent := range map[string]string{
		"nothing":        "",
		"part of a head": "POST / HTTP/1.1\r\n",
		"part of a body": chunkedHead + "5\r\nx",
		"whole request":  ordinaryCall,
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := &Server{MaxConnections: limit}
			startServer(c, s, readAll)
			for range 3 * limit {
				_, err := io.WriteString(dial(c, s), sent)
				c.Assert(err, qt.IsNil)
			}
			eventually(c, "an ordinary call is answered", func() bool { return statusOf(dial(c, s)) == http.StatusOK })
			c.Check(s.Connections().Open <= limit, qt.IsTrue)
			c.Check(s.Connections().Evicted > 0, qt.IsTrue)
		})
	}
}

// A connection whose call is being answered is not closed for another one.
func TestServingConnectionsAreKept(t *testing.T) {
	for name, sent := range map[string]string{
		"with a body":    ordinaryCall,
		"without a body": "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			started, release := make(chan struct{}), make(chan struct{})
			s := &Server{MaxConnections: 1, MaxBodyBytes: bodyLimit}
			startServer(c, s, func(w http.ResponseWriter, r *http.Request) {
				readAll(w, r)
				close(started)
				<-release
			})
			first := dial(c, s)
			_, err := io.WriteString(first, sent)
			c.Assert(err, qt.IsNil)
			<-started
			c.Check(statusOf(dial(c, s)), qt.Equals, 0)
			close(release)
			res, err := http.ReadResponse(bufio.NewReader(first), nil)
			c.Assert(err, qt.IsNil)
			_ = res.Body.Close()
			c.Check(res.StatusCode, qt.Equals, http.StatusOK)
		})
	}
}

// The limit on the time of a body does not end a call that takes longer to answer.
func TestBodyTimeoutDoesNotEndCalls(t *testing.T) {
	c := qt.New(t)
	s := &Server{bodyTimeout: 50 * time.Millisecond, wholeBodyTimeout: 50 * time.Millisecond}
	startServer(c, s, func(w http.ResponseWriter, r *http.Request) {
		readAll(w, r)
		select {
		case <-r.Context().Done():
			w.WriteHeader(http.StatusGatewayTimeout)
		case <-time.After(200 * time.Millisecond):
		}
	})
	conn := dial(c, s)
	c.Check(statusOf(conn), qt.Equals, http.StatusOK)
	c.Check(statusOf(conn), qt.Equals, http.StatusOK)
}

// The reader of a body that does not come in time can tell this from one that its peer has broken off.
func TestLateBodiesAreTimeouts(t *testing.T) {
	c := qt.New(t)
	late := make(chan bool, 1)
	s := &Server{bodyTimeout: 50 * time.Millisecond, wholeBodyTimeout: time.Minute}
	startServer(c, s, func(_ http.ResponseWriter, r *http.Request) {
		_, err := ReadBody(r, bodyLimit)
		late <- errors.Is(err, os.ErrDeadlineExceeded)
	})
	_, err := io.WriteString(dial(c, s), chunkedHead+"5\r\nx")
	c.Assert(err, qt.IsNil)
	c.Check(<-late, qt.IsTrue)
}

// A body that never ended kept its call, and its goroutine, without end.
func TestBodiesHaveToEnd(t *testing.T) {
	for name, test := range map[string]struct {
		handle  http.HandlerFunc
		trickle bool
	}{
		"nothing more comes": {readAll, false},
		"bytes trickle":      {readAll, true},
		"it is not read":     {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := &Server{bodyTimeout: 100 * time.Millisecond, wholeBodyTimeout: 300 * time.Millisecond}
			startServer(c, s, test.handle)
			conn := dial(c, s)
			_, err := io.WriteString(conn, chunkedHead+"5\r\nx")
			c.Assert(err, qt.IsNil)
			if test.trickle {
				go func() {
					for err == nil {
						<-time.After(20 * time.Millisecond)
						_, err = io.WriteString(conn, "xxxx\r\n5\r\nx")
					}
				}()
			}
			_, _ = io.Copy(io.Discard, conn)
			eventually(c, "the connection is closed", func() bool { return s.Connections().Open == 0 })
		})
	}
}
