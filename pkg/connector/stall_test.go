package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/connector"
)

// An answer that was still coming was cut off when the time of its call was over, and requested again from its beginning.
func TestAnswersThatKeepComingAreReadToTheirEnd(t *testing.T) {
	const size = 10
	for name, test := range map[string]struct {
		stall, gap time.Duration
		want       int
	}{
		"as long as parts come":       {time.Second, 900 * time.Millisecond, size},
		"until one does not come":     {time.Second, 1100 * time.Millisecond, 0},
		"for a bounded time":          {5 * time.Second, 4 * time.Second, 2},
		"as a whole without a bound":  {0, 900 * time.Millisecond, 1},
		"at once, without such bound": {0, 0, size},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				var server sync.WaitGroup
				transport := connector.NewTransportWith(func(context.Context, string, string) (net.Conn, error) {
					client, conn := net.Pipe()
					server.Go(func() { writeSlowly(conn, size, test.gap) })
					return client, nil
				}, nil)
				defer transport.CloseIdleConnections()
				client := &connector.Client{Timeout: time.Second, Stall: test.stall, Transport: transport}
				req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://peer/", nil)
				c.Assert(err, qt.IsNil)
				res, err := client.Do(req)
				c.Assert(err, qt.IsNil)
				data, err := io.ReadAll(res.Body)
				c.Check(data, qt.HasLen, test.want)
				c.Check(err == nil, qt.Equals, test.want == size)
				_ = res.Body.Close()
				server.Wait()
			})
		})
	}
}

// writeSlowly answers a request with a body of a size, each byte after a gap.
func writeSlowly(conn net.Conn, size int, gap time.Duration) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n")
	for range size {
		if err != nil {
			return
		}
		<-time.After(gap)
		_, err = io.WriteString(conn, "a")
	}
}
