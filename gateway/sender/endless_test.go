package sender

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/framer"
)

// Bytes that are no answer may come without end; a request was held by them until its deadline.
func TestBytesWithoutEndAreGivenUp(t *testing.T) {
	for name, test := range map[string]struct {
		begin, repeated string
		want            Kind
	}{
		"a head":                      {"HTTP/1.1 200 OK\r\n", "A: b\r\n", KindMalformed},
		"one line":                    {"HTTP/1.1 200 OK\r\nA: ", "bbbb", KindMalformed},
		"no head":                     {"", "\x00\x01\x02\x03", KindMalformed},
		"interim answers":             {"", "HTTP/1.1 100 Continue\r\n\r\n", KindMalformed},
		"another answer, in chunks":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", KindLost},
		"another answer, no length":   {"HTTP/1.1 200 OK\r\n\r\n", "aaaa", KindLost},
		"another answer, a long one":  {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "aaaa", KindLost},
		"other answers, each of them": {"", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", KindLost},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { _ = listener.Close() })
			closed := make(chan struct{})
			go func() {
				defer close(closed)
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				_, err = io.WriteString(conn, test.begin)
				for err == nil {
					_, err = io.WriteString(conn, test.repeated)
				}
			}()
			s := &Sender{
				Clock: clockwork.NewRealClock(), DialTimeout: time.Minute, MaxIdle: time.Minute,
				IsOwnResponse: func(*framer.ResponseHead, string) (bool, time.Duration) { return false, 0 },
			}
			_, err = s.Send(context.Background(), &Request{Backend: "b", Address: listener.Addr().String(), RequestID: "r", Method: "POST", Target: "/"})
			c.Check(KindOf(err), qt.Equals, test.want)
			<-closed
		})
	}
}
