package acceptor

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// Requests that were still arriving when the process ended were cut with no answer.
func TestUnfinishedRequestsAreRefusedAtTheEnd(t *testing.T) {
	for name, test := range map[string]struct {
		sent string
		end  func(a *Acceptor)
	}{
		"part of a head":                     {"POST / HTTP/1.1\r\nHo", (*Acceptor).End},
		"part of a body":                     {ordinaryRequest[:len(ordinaryRequest)-1], (*Acceptor).End},
		"part of a body after the last take": {ordinaryRequest[:len(ordinaryRequest)-1], (*Acceptor).Refuse},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				a := &Acceptor{}
				connect := virtual(a)
				for range 2 {
					conn := connect()
					began := time.Now()
					go func() { _, _ = io.WriteString(conn, test.sent) }()
					// The second connection sends its request after the end has begun.
					time.AfterFunc(time.Second, func() { test.end(a) })
					c.Check(readStatus(conn), qt.Equals, http.StatusServiceUnavailable)
					c.Check(time.Since(began) <= time.Second, qt.IsTrue)
					_ = conn.Close()
					synctest.Wait()
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// An answer that ends with its connection looked complete when the process ended in the middle of it.
func TestUnfinishedAnswersAreAbortedAtTheEnd(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	defer close(release)
	a := &Acceptor{
		Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Address: "127.0.0.1:0",
		Handle: func(_ context.Context, _ *Request, reply *Reply) {
			c.Check(reply.Begin(http.StatusOK, nil), qt.IsNil)
			c.Check(reply.Write([]byte("part")), qt.IsNil)
			<-release
		},
	}
	c.Assert(a.Start(), qt.IsNil)
	conn, err := net.Dial("tcp", a.Addr())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	_, err = io.WriteString(conn, "POST / HTTP/1.0\r\nHost: h\r\nContent-Length: 2\r\n\r\nok")
	c.Assert(err, qt.IsNil)
	c.Assert(readStatus(conn), qt.Equals, http.StatusOK)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	c.Check(a.Stop(ctx), qt.ErrorIs, context.DeadlineExceeded)
	_, err = io.Copy(io.Discard, conn)
	c.Check(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
}

// Connections that callers kept open were closed while requests of others were still being answered.
func TestConnectionsStayUsableDuringAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		a := &Acceptor{
			Handle: func(_ context.Context, req *Request, reply *Reply) {
				if req.Head.Target == "/long" {
					time.Sleep(3 * time.Second)
				}
				reply.Send(http.StatusOK, nil, nil)
			},
		}
		connect := virtual(a)
		a.listener = noListener{}
		long, kept, unused := connect(), connect(), connect()
		answered := make(chan int, 1)
		go func() { answered <- statusOf(long, "POST /long"+ordinaryRequest[len("POST /"):]) }()
		synctest.Wait()
		stopped := make(chan error, 1)
		go func() { stopped <- a.Stop(context.Background()) }()
		time.Sleep(2 * time.Second)
		c.Check(statusOf(kept, ordinaryRequest), qt.Equals, http.StatusOK)
		c.Check(<-answered, qt.Equals, http.StatusOK)
		c.Check(<-stopped, qt.IsNil)
		c.Check(readStatus(unused), qt.Equals, 0)
	})
}

// noListener is the listener of an acceptor of virtual connections.
type noListener struct{ net.Listener }

func (noListener) Close() error { return nil }
