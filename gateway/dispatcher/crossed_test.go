package dispatcher

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/translator"
)

// The refusal of an earlier attempt came once more as the next one was sent on the same connection, and passed for the
// refusal of that one, which ran.
func TestLateCopyOfRefusalIsNotTheAnswerToTheNextAttempt(t *testing.T) {
	c := qt.New(t)
	address, ran := refusingEngine(c)
	d := &Dispatcher{
		Clock: clockwork.NewRealClock(), SessionTransport: &http.Transport{}, UnpooledTransport: &http.Transport{DisableKeepAlives: true},
		SilenceTimeout: time.Minute,
	}
	run := func(id string) Outcome {
		return d.Run(context.Background(), &Exchange{RequestID: id, Address: address, Path: translator.CompletionsPath, Body: []byte("{}"), Model: "m"})
	}
	c.Check(run("r-0").Ran, qt.Equals, RanNo)
	c.Check(run("r-1").Ran, qt.Equals, RanYes)
	c.Check(<-ran, qt.Equals, "r-1")
}

// refusingEngine refuses the first request, sends the refusal once more before the next answer on that connection, and
// runs all further requests. Answers can be resumed. The ids of requests that ran are sent to ran.
func refusingEngine(c *qt.C) (address string, ran chan string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	ran = make(chan string, 8)
	go func() {
		for refuses := true; ; refuses = false {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRefusing(conn, refuses, ran)
		}
	}()
	return listener.Addr().String(), ran
}

func serveRefusing(conn net.Conn, refuses bool, ran chan<- string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	refusal := ""
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get(translator.RequestIDHeader)
		body := fmt.Sprintf(`{"id":%q,"model":"m"}`, translator.AnswerID(translator.CompletionsPath, id))
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", translator.RequestIDHeader, id, len(body), body)
		switch {
		case req.Method == http.MethodGet:
		case refuses && refusal == "":
			refusal = fmt.Sprintf("HTTP/1.1 503 X\r\n%s: %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", translator.RequestIDHeader, id, translator.RanHeader, translator.RanNo)
			answer = refusal
		default:
			ran <- id
			answer = refusal + answer
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}
