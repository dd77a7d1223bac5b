package dispatcher

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/translator"
)

// serveBroken answers each connection with some bytes once it has read the beginning of a request, and then closes or resets it.
func serveBroken(c *qt.C, answer string, reset bool) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			_, _ = io.WriteString(conn, answer)
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// callService calls a service as the gateway does, and returns the answer's error or that of its body.
func callService(address string, body []byte, maxBuffered int) (*ServiceResponse, error) {
	d := newDispatcher()
	transport := connector.NewTransport(nil)
	transport.DisableKeepAlives = true
	d.UnpooledSessionTransport = transport
	a := d.Call(context.Background(), &ServiceCall{
		RequestID: "r", Address: address, Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: body, MaxBuffered: maxBuffered,
	})
	if a.Err != nil || a.Rest == nil {
		return a, a.Err
	}
	defer func() { _ = a.Rest.Close() }()
	_, err := io.Copy(io.Discard, a.Rest)
	return a, err
}

// A service answered a long upload at once, without a length, and reset the connection while the upload was still written: the
// part of the answer that had come counted as a complete one.
func TestResetDuringUploadIsNoCompleteAnswer(t *testing.T) {
	for name, maxBuffered := range map[string]int{"buffered": 1 << 20, "relayed": 4} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address := serveBroken(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of the answer", true)
			for range 100 {
				a, err := callService(address, make([]byte, 16<<20), maxBuffered)
				c.Assert(err, qt.Not(qt.IsNil))
				c.Assert(a.Ran, qt.Not(qt.Equals), RanNo)
			}
		})
	}
}

// An answer with a status such as 000 was passed on to the caller. 101 answers a request to change protocols, which none is.
func TestAnswerWithoutAStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "0", "20", "2000", "101", "+20", "-20", "2 0", "OK", ""} {
		t.Run(status, func(t *testing.T) {
			c := qt.New(t)
			address := serveBroken(c, fmt.Sprintf("HTTP/1.1 %s OK\r\nContent-Length: 2\r\n\r\nok", status), false)
			a, err := callService(address, nil, 100)
			c.Check(err, qt.Not(qt.IsNil))
			c.Check(a.Ran, qt.Equals, RanUnknown)
			out := newDispatcher().Run(context.Background(), &Exchange{RequestID: "r", Address: address, Path: translator.CompletionsPath, Body: []byte("{}")})
			c.Check(out.Err, qt.Not(qt.IsNil))
			c.Check(out.Ran, qt.Equals, RanUnknown)
			c.Check(out.Status, qt.Equals, 0)
		})
	}
}

// A service that stops in the middle of its answer's head, or of its body, gives no complete answer.
func TestAnswerThatStopsIsNoAnswer(t *testing.T) {
	for name, answer := range map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\nanswer",
		"in chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", reset: ", reset), func(t *testing.T) {
				c := qt.New(t)
				for cut := range len(answer) {
					_, err := callService(serveBroken(c, answer[:cut], reset), nil, 100)
					c.Check(err, qt.Not(qt.IsNil), qt.Commentf("after %q", answer[:cut]))
				}
			})
		}
	}
}
