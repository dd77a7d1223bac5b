package forwarder

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/platform"
)

// A prompt that does not fit beside another is sent once the other's first event has arrived,
// or once the other has ended in any other way.
func TestPromptsArePaced(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	large := strings.TrimSuffix(lines(platform.StandInPrompt(4000)), "\r\n")
	for name, first := range map[string]string{
		"its first event":     streamHead() + chunk(event),
		"a failure":           wholeResponse("500 X", lines(platform.StandInResponse("ID", "x")), "no"),
		"a refusal":           wholeResponse("503 X", lines(platform.StandInRefusal("ID")), ""),
		"a closed connection": "",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			arrived, proceed := make(chan struct{}, 16), make(chan struct{})
			b := newBackend(c, "b1", func(_ *fakeBackend, req *http.Request, conn net.Conn) bool {
				arrived <- struct{}{}
				<-proceed
				_, _ = io.WriteString(conn, strings.ReplaceAll(first, "ID", requestID(req)))
				if strings.HasPrefix(first, streamHead()) {
					<-proceed
				}
				// A connection that is closed behind a complete answer may be reused once
				// before the gateway notices, and a request sent on it is lost.
				return strings.Contains(first, "Content-Length")
			})
			address, f := startGatewayAndForwarder(c, b)
			activation := f.pacingActivation("s")
			for range 100 {
				activation.ObserveStream(f.Clock.Now(), true)
			}
			ended := make(chan clientResponse, 2)
			go func() { ended <- callFor(c, time.Hour, address, "/prompt/", large) }()
			<-arrived
			go func() { ended <- callFor(c, time.Hour, address, "/prompt/", large) }()
			for f.Regulator.Waiting() == 0 {
				// The second waits for the first, and was not sent to the engine.
				c.Assert(arrived, qt.HasLen, 0)
			}
			proceed <- struct{}{}
			<-arrived
			close(proceed)
			<-ended
			<-ended
		})
	}
}
