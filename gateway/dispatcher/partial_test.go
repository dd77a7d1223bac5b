package dispatcher

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/gateway/scheduler"
	"bronzelead.example/pkg/connector"
)

// A service sent an interim answer while a long body was written, and the gateway's session ended: the rest of the body was
// not written, and the request counted as one of which nothing had been sent, though the service had begun to run it.
func TestRequestThatBeganIsNotReportedAsUnsent(t *testing.T) {
	const length = 4 << 20
	c := qt.New(t)
	var ended atomic.Bool
	dial := func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer func() { _ = server.Close() }()
			reader := bufio.NewReader(server)
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = io.WriteString(server, "HTTP/1.1 103 Early Hints\r\n\r\n")
			ended.Store(true)
			_, _ = io.CopyN(io.Discard, reader, length)
		}()
		return client, nil
	}
	d := newDispatcher()
	transport := connector.NewTransportWith(dial, func() error {
		if ended.Load() {
			return scheduler.ErrNoSession
		}
		return nil
	})
	transport.DisableKeepAlives = true
	d.UnpooledSessionTransport = transport
	a := d.Call(context.Background(), &ServiceCall{
		RequestID: "r", Address: "service:1", Method: http.MethodPost, Path: "/", Header: http.Header{}, Body: make([]byte, length), MaxBuffered: 100,
	})
	c.Check(a.Ran, qt.Equals, RanUnknown, qt.Commentf("%v", a.Err))
}
