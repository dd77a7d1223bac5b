package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/connector"
)

const (
	// maxAnswer is the bound of the tests' answers, and defaultMaxAnswer the one of clients that set none.
	maxAnswer        = 1 << 10
	defaultMaxAnswer = 32 << 20
	// maxSent ends a peer whose bytes are read without end.
	maxSent = 4 * defaultMaxAnswer
)

// startPeer answers a request with a beginning, and then repeats bytes until the connection is closed.
func startPeer(c *qt.C, begin, repeated string) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		n, err := io.WriteString(conn, begin)
		for err == nil && repeated != "" && n < maxSent {
			var more int
			more, err = io.WriteString(conn, repeated)
			n += more
		}
	}()
	return listener.Addr().String()
}

// countingConn counts the bytes that were read.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// newTransport returns a transport and the number of bytes that its connections have read.
func newTransport(c *qt.C) (*http.Transport, *atomic.Int64) {
	read := &atomic.Int64{}
	transport := connector.NewTransportWith(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{conn, read}, err
	}, nil)
	c.Cleanup(transport.CloseIdleConnections)
	return transport, read
}

// A process read whatever a peer sent: a head of 10 MB, and a body until the time of the call was over.
func TestAnswersWithoutEndAreGivenUp(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	// maxRead is twice the bound of a head, and more than the bound of the answer with the buffers of net/http.
	const maxRead = 128 << 10
	block := strings.Repeat("a", 4096)
	for name, test := range map[string]struct{ begin, repeated string }{
		"a head":          {"HTTP/1.1 200 OK\r\n", strings.Repeat("A: b\r\n", 512)},
		"one line":        {"HTTP/1.1 200 OK\r\nA: ", block},
		"interim answers": {"", strings.Repeat("HTTP/1.1 103 X\r\nA: b\r\n\r\n", 128)},
		"chunks":          {chunked, "1000\r\n" + block + "\r\n"},
		"no length":       {"HTTP/1.1 200 OK\r\n\r\n", block},
		"a long length":   {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", block},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address := startPeer(c, test.begin, test.repeated)
			transport, received := newTransport(c)
			client := &connector.Client{Timeout: time.Minute, MaxAnswer: maxAnswer, Transport: transport}
			err := read(c, client, address, maxAnswer)
			c.Check(err, qt.IsNotNil)
			c.Check(received.Load() <= maxRead, qt.IsTrue, qt.Commentf("%d bytes were read of the connection", received.Load()))
		})
	}
}

// An answer of exactly the limit is read, and nothing of what goes beyond it.
func TestLongestAnswers(t *testing.T) {
	for name, test := range map[string]struct {
		limit  int64
		length int
		whole  bool
	}{
		"empty":                     {maxAnswer, 0, true},
		"the longest":               {maxAnswer, maxAnswer, true},
		"too long":                  {maxAnswer, maxAnswer + 1, false},
		"the longest, no limit set": {0, defaultMaxAnswer, true},
		"too long, no limit set":    {0, defaultMaxAnswer + 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address := startPeer(c, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("a", test.length), "")
			transport, _ := newTransport(c)
			client := &connector.Client{Timeout: time.Minute, MaxAnswer: test.limit, Transport: transport}
			err := read(c, client, address, test.length)
			c.Check(err == nil, qt.Equals, test.whole, qt.Commentf("%v", err))
			if !test.whole {
				c.Check(err, qt.ErrorMatches, ".*the answer is too long")
			}
		})
	}
}

// read calls a peer and reads its answer, of at most some bytes.
func read(c *qt.C, client *connector.Client, address string, most int) error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/", nil)
	c.Assert(err, qt.IsNil)
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	n, err := io.Copy(io.Discard, res.Body)
	c.Check(n <= int64(most), qt.IsTrue, qt.Commentf("%d bytes were read", n))
	return err
}
