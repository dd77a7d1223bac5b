package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/connector"
)

// An engine's answer without a status counted as its refusal of an order, which it may still carry out.
func TestAnswersWithoutAStatusFail(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20", "101"} {
		t.Run(status, func(t *testing.T) {
			c := qt.New(t)
			dial := func(context.Context, string, string) (net.Conn, error) {
				client, server := net.Pipe()
				go func() {
					defer func() { _ = server.Close() }()
					if _, err := http.ReadRequest(bufio.NewReader(server)); err == nil {
						_, _ = io.WriteString(server, "HTTP/1.1 "+status+" OK\r\nContent-Length: 0\r\n\r\n")
					}
				}()
				return client, nil
			}
			client := &connector.Client{Timeout: 10 * time.Second, Transport: connector.NewTransportWith(dial, nil)}
			req, err := http.NewRequest(http.MethodPost, "http://engine:1/order", nil)
			c.Assert(err, qt.IsNil)
			_, err = client.Do(req)
			c.Check(err, qt.ErrorMatches, ".* is no final status")
		})
	}
}
