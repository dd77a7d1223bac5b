package acceptor

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
)

// A gateway did not notice that a caller had left if bytes stood behind its request.
func TestDisconnectBehindFurtherBytesIsNoticed(t *testing.T) {
	const request = "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n"
	ends := map[string]func(conn *net.TCPConn) error{
		"closed": (*net.TCPConn).Close,
		"reset": func(conn *net.TCPConn) error {
			_ = conn.SetLinger(0)
			return conn.Close()
		},
	}
	for name, behind := range map[string]string{
		"nothing":                  "",
		"a byte":                   "\r",
		"a second request":         request,
		"as much as is read ahead": strings.Repeat("a", readBufferBytes),
		"more than is read ahead":  strings.Repeat("a", 4*readBufferBytes),
	} {
		for end, leave := range ends {
			t.Run(name+", "+end, func(t *testing.T) {
				c := qt.New(t)
				handling, noticed := make(chan struct{}), make(chan struct{}, 2)
				server := &Acceptor{
					Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Address: "127.0.0.1:0",
					Handle: func(ctx context.Context, _ *Request, reply *Reply) {
						close(handling)
						<-ctx.Done()
						reply.Abort()
						noticed <- struct{}{}
					},
				}
				c.Assert(server.Start(), qt.IsNil)
				conn, err := net.Dial("tcp", server.Addr())
				c.Assert(err, qt.IsNil)
				_, err = io.WriteString(conn, request+behind)
				c.Assert(err, qt.IsNil)
				<-handling
				c.Assert(leave(conn.(*net.TCPConn)), qt.IsNil)
				<-noticed
				c.Assert(server.Stop(context.Background()), qt.IsNil)
			})
		}
	}
}

// The bytes that are read ahead while a request is answered are those of the next ones.
func TestRequestsThatAreReadAheadAreServed(t *testing.T) {
	c := qt.New(t)
	server, seen := start(c, Limits{})
	body := strings.Repeat("b", 3*readBufferBytes)
	sent := strings.Repeat("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 12288\r\n\r\n"+body, 8)
	answers := exchange(c, server.Addr(), sent)
	c.Assert(answers, qt.HasLen, 8)
	for _, a := range answers {
		c.Check(a.StatusCode, qt.Equals, http.StatusOK)
		c.Check(string((<-seen).Body), qt.Equals, body)
	}
}
