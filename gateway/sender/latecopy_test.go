package sender

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/framer"
)

// The second copy of a rejection came as the repeat of the same request was sent on the same connection, also behind the
// answer to another request, and passed for its answer: the request ran, and was sent again, or refused.
func TestLateCopyOfRejectionIsNotTheAnswerToTheRepeat(t *testing.T) {
	for name, test := range map[string]struct {
		// between is a request that is sent before the repeat; empty for none.
		between string
		// copyAt is the request on the connection before whose answer the copy comes, counted from 0.
		copyAt int
	}{
		"at once":                        {"", 1},
		"before another answer":          {"r2", 1},
		"behind another answer":          {"r2", 2},
		"behind an answer without an id": {"-", 2},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			address, accepted := rejectingServer(c, test.copyAt)
			s := &Sender{
				Clock: clockwork.NewRealClock(), DialTimeout: time.Minute, MaxIdle: time.Minute,
				IsOwnResponse: func(head *framer.ResponseHead, id string) (bool, time.Duration) {
					return head.Header.Get("Id") == id, 0
				},
			}
			send := func(id string, used *Connections) int {
				in, err := s.Send(context.Background(), &Request{
					Backend: "b", Address: address, RequestID: id, Method: "POST", Target: "/", Header: framer.Header{{Name: "Id", Value: id}},
					Used: used,
				})
				c.Assert(err, qt.IsNil)
				_, err = io.Copy(io.Discard, in.Body)
				c.Assert(err, qt.IsNil)
				in.Close()
				return in.Head.Status
			}
			used := &Connections{}
			c.Check(send("r1", used), qt.Equals, http.StatusServiceUnavailable)
			if test.between != "" {
				c.Check(send(test.between, nil), qt.Equals, http.StatusOK)
			}
			c.Check(send("r1", used), qt.Equals, http.StatusOK)
			c.Check(len(accepted), qt.Equals, 2)
		})
	}
}

// rejectingServer rejects its first request, and sends a copy of the rejection before the answer to a later request on that
// connection. It serves all others, and adds each connection to accepted.
func rejectingServer(c *qt.C, copyAt int) (address string, accepted chan struct{}) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	accepted = make(chan struct{}, 8)
	go func() {
		first := true
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- struct{}{}
			rejects := first
			first = false
			go serveRejecting(conn, rejects, copyAt)
		}
	}()
	return listener.Addr().String(), accepted
}

func serveRejecting(conn net.Conn, rejects bool, copyAt int) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	rejection := ""
	for n := 0; ; n++ {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: " + req.Header.Get("Id") + "\r\n\r\n"
		switch {
		case n == 0 && rejects:
			rejection = "HTTP/1.1 " + strconv.Itoa(http.StatusServiceUnavailable) + " X\r\nContent-Length: 0\r\nId: " + req.Header.Get("Id") + "\r\n\r\n"
			answer = rejection
		case n == copyAt:
			answer = rejection + answer
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}
