package acceptor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/framer"
	"bronzelead.example/pkg/reserver"
)

// virtual returns an acceptor for virtual connections; connect returns the caller's end of a new one.
func virtual(a *Acceptor) (connect func() net.Conn) {
	a.Clock, a.Log, a.conns = clockwork.NewRealClock(), slog.New(slog.DiscardHandler), map[*conn]struct{}{}
	a.evictor.Max = a.MaxConnections
	if a.Handle == nil {
		a.Handle = func(_ context.Context, _ *Request, reply *Reply) { reply.Send(http.StatusOK, nil, nil) }
	}
	return func() net.Conn {
		ours, theirs := net.Pipe()
		a.add(ours)
		return theirs
	}
}

const (
	ordinaryRequest = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok"
	chunkedHead     = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// statusOf sends an ordinary request and returns the status of its answer, or 0 if there is none.
func statusOf(conn net.Conn, sent string) int {
	if _, err := io.WriteString(conn, sent); err != nil {
		return 0
	}
	return readStatus(conn)
}

func readStatus(conn net.Conn) int {
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// Each connection kept its body within the limit, but nothing added up what all of them held.
func TestUnfinishedBodiesStayWithinMemory(t *testing.T) {
	const (
		clients  = 40
		bodySize = 400 << 10
		capacity = 2 << 20
	)
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		pool := &reserver.Pool{Clock: clockwork.NewRealClock(), Capacity: capacity}
		a := &Acceptor{Memory: pool, EncodeRefusal: func(head *framer.RequestHead, retryAfter time.Duration) framer.Header {
			c.Check(head.Target, qt.Equals, "/")
			return framer.Header{{Name: "Retry-After", Value: fmt.Sprint(retryAfter.Seconds())}}
		}}
		connect := virtual(a)
		var mu sync.Mutex
		statuses := map[int]int{}
		retryAfter := ""
		var all sync.WaitGroup
		for range clients {
			all.Go(func() {
				conn := connect()
				defer func() { _ = conn.Close() }()
				go func() {
					_, _ = fmt.Fprintf(conn, "%s%x\r\n%s\r\n", chunkedHead, bodySize, strings.Repeat("x", bodySize))
				}()
				res, err := http.ReadResponse(bufio.NewReader(conn), nil)
				c.Assert(err, qt.IsNil)
				mu.Lock()
				defer mu.Unlock()
				statuses[res.StatusCode]++
				if res.StatusCode == http.StatusServiceUnavailable {
					retryAfter = res.Header.Get("Retry-After")
				}
			})
		}
		synctest.Wait()
		ordinary := connect()
		c.Check(statusOf(ordinary, ordinaryRequest), qt.Equals, http.StatusOK)
		_ = ordinary.Close()
		all.Wait()
		// Those that found room sent nothing more.
		c.Check(statuses[http.StatusRequestTimeout] > 0, qt.IsTrue)
		c.Check(statuses[http.StatusRequestTimeout]+statuses[http.StatusServiceUnavailable], qt.Equals, clients)
		c.Check(retryAfter, qt.Equals, "1")
		c.Check(pool.Stats().Peak <= capacity, qt.IsTrue)
		synctest.Wait()
		c.Check(pool.Stats().Used, qt.Equals, int64(0))
	})
}

// What requests hold is given back whatever ends them.
func TestMemoryIsGivenBack(t *testing.T) {
	body := strings.Repeat("x", 100<<10)
	whole := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for name, test := range map[string]struct {
		sent   string
		handle func(ctx context.Context, req *Request, reply *Reply)
	}{
		"answered":        {whole, nil},
		"aborted":         {whole, func(_ context.Context, _ *Request, reply *Reply) { reply.Abort() }},
		"panic":           {whole, func(context.Context, *Request, *Reply) { panic("fault") }},
		"caller left":     {whole, func(ctx context.Context, _ *Request, _ *Reply) { <-ctx.Done() }},
		"unfinished":      {whole[:len(whole)-1], nil},
		"malformed":       {chunkedHead + "10000\r\n" + strings.Repeat("x", 1<<16) + "no chunk", nil},
		"unfinished head": {"POST / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 3000), nil},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				pool := &reserver.Pool{Clock: clockwork.NewRealClock(), Capacity: 1 << 20}
				connect := virtual(&Acceptor{Memory: pool, Handle: test.handle})
				conn := connect()
				go func() { _, _ = io.WriteString(conn, test.sent) }()
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				synctest.Wait()
				c.Check(pool.Stats().Peak > 0, qt.IsTrue)
				_ = conn.Close()
				synctest.Wait()
				time.Sleep(time.Minute)
				c.Check(pool.Stats().Used, qt.Equals, int64(0))
			})
		})
	}
}

// The rest of a request that was refused by its head is discarded, and holds nothing while it is waited for: others that
// wait for its memory would wait as long.
func TestDiscardedRequestsHoldNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		pool := &reserver.Pool{Clock: clockwork.NewRealClock(), Capacity: 1 << 20}
		connect := virtual(&Acceptor{Memory: pool, CheckHead: func(_ *Request, reply *Reply) bool {
			reply.Send(http.StatusUnauthorized, nil, nil)
			return true
		}})
		conn := connect()
		head := "POST / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 3000) + "Content-Length: 2\r\n\r\n"
		c.Check(statusOf(conn, head), qt.Equals, http.StatusUnauthorized)
		synctest.Wait()
		c.Check(pool.Stats().Peak > 0, qt.IsTrue)
		c.Check(pool.Stats().Used, qt.Equals, int64(0))
		_ = conn.Close()
	})
}

// A byte from time to time renewed the limit between two reads without end.
func TestBodiesHaveToEnd(t *testing.T) {
	for name, test := range map[string]struct {
		callerTimeout, want time.Duration
	}{
		"caller that does not say how long it waits": {0, wholeBodyTimeout},
		"caller that waits for a time":               {4 * time.Second, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				connect := virtual(&Acceptor{CallerTimeout: func(*framer.RequestHead) time.Duration { return test.callerTimeout }})
				conn := connect()
				began := time.Now()
				var sending sync.WaitGroup
				defer sending.Wait()
				sending.Go(func() {
					_, err := io.WriteString(conn, chunkedHead)
					for err == nil {
						time.Sleep(time.Second)
						_, err = io.WriteString(conn, "1\r\nx\r\n")
					}
				})
				c.Check(readStatus(conn), qt.Equals, http.StatusRequestTimeout)
				c.Check(time.Since(began), qt.Equals, test.want)
				_ = conn.Close()
			})
		})
	}
}

// Connections that were kept open, with nothing or a part of a request, kept out all others.
func TestNewConnectionsReplaceWaitingOnes(t *testing.T) {
	const limit = 3
	for name, sent := range map[string]string{
		"nothing":        "",
		"part of a head": "POST / HTTP/1.1\r\n",
		"part of a body": chunkedHead + "5\r\nx",
		"whole request":  ordinaryRequest,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				a := &Acceptor{MaxConnections: limit}
				connect := virtual(a)
				var conns []net.Conn
				for range limit {
					conn := connect()
					go func() { _, _ = io.WriteString(conn, sent) }()
					go func() { _, _ = io.Copy(io.Discard, conn) }()
					synctest.Wait()
					conns = append(conns, conn)
				}
				ordinary := connect()
				c.Check(statusOf(ordinary, ordinaryRequest), qt.Equals, http.StatusOK)
				c.Check(a.Connections().Evicted, qt.Equals, int64(1))
				c.Check(a.Connections().Open, qt.Equals, limit)
				for _, conn := range append(conns, ordinary) {
					_ = conn.Close()
				}
				synctest.Wait()
				c.Check(a.Connections().Open, qt.Equals, 0)
			})
		})
	}
}

// A connection on which a request is being answered is not closed for another one.
func TestServingConnectionsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		release := make(chan struct{})
		a := &Acceptor{MaxConnections: 1, Handle: func(_ context.Context, _ *Request, reply *Reply) {
			<-release
			reply.Send(http.StatusOK, nil, nil)
		}}
		connect := virtual(a)
		first := connect()
		_, err := io.WriteString(first, ordinaryRequest)
		c.Assert(err, qt.IsNil)
		synctest.Wait()
		c.Check(readStatus(connect()), qt.Equals, 0)
		close(release)
		c.Check(readStatus(first), qt.Equals, http.StatusOK)
		_ = first.Close()
	})
}

// A request that fits the limits exactly is served, however small its chunks are.
func TestLargestBodyIsServed(t *testing.T) {
	const bodySize = 256 << 10
	for name, sent := range map[string]string{
		"a length":      fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", bodySize, strings.Repeat("x", bodySize)),
		"one chunk":     fmt.Sprintf("%s%x\r\n%s\r\n0\r\n\r\n", chunkedHead, bodySize, strings.Repeat("x", bodySize)),
		"chunks of one": chunkedHead + strings.Repeat("1\r\nx\r\n", bodySize) + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				pool := &reserver.Pool{Clock: clockwork.NewRealClock(), Capacity: 1 << 20}
				received := 0
				connect := virtual(&Acceptor{
					Memory: pool, Limits: func() Limits { return Limits{BodyBytes: bodySize} },
					Handle: func(_ context.Context, req *Request, reply *Reply) {
						received = len(req.Body)
						reply.Send(http.StatusOK, nil, nil)
					},
				})
				conn := connect()
				c.Check(statusOf(conn, sent), qt.Equals, http.StatusOK)
				c.Check(received, qt.Equals, bodySize)
				_ = conn.Close()
			})
		})
	}
}
