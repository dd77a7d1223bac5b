package forwarder

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/platform"
)

// writeResponse runs the request and writes some bytes, in which ID stands for the request's.
func writeResponse(written string, keep bool) handler {
	return func(b *fakeBackend, req *http.Request, conn net.Conn) bool {
		b.runs.Add(1)
		_, _ = io.WriteString(conn, strings.ReplaceAll(written, "ID", requestID(req)))
		return keep
	}
}

// wholeResponse returns a complete answer with its length.
func wholeResponse(status, signature, body string) string {
	return "HTTP/1.1 " + status + "\r\n" + signature + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// A stream breaks off and is resumed at another engine. Only further events of that stream may
// follow what the caller already has, whatever the second engine answers: the answer ends
// incomplete, or is resumed at yet another engine.
func TestBegunStreamReceivesOnlyItsEvents(t *testing.T) {
	const one, two = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	interrupted := streamHead() + chunk(one)
	own := lines(platform.StandInResponse("ID", "x"))
	for name, second := range map[string]handler{
		"a failure of its own":                writeResponse(wholeResponse("500 X", own, "no"), true),
		"a refusal of its own":                writeResponse(wholeResponse("404 X", own, "no"), true),
		"a success that is no stream":         writeResponse(wholeResponse("200 OK", own+"Content-Type: text/plain\r\n", "a body\n\n"), true),
		"a success of no stated type":         writeResponse(wholeResponse("200 OK", own, "a body\n\n"), true),
		"another success":                     writeResponse(wholeResponse("204 X", own, ""), true),
		"an answer that is not signed":        writeResponse(wholeResponse("200 OK", "", one), true),
		"a body that is encoded":              writeResponse(wholeResponse("200 OK", own+"Content-Encoding: gzip\r\n", "x"), true),
		"a long failure":                      writeResponse(wholeResponse("500 X", own, strings.Repeat("x", maxBufferedBody+9)), true),
		"a long success":                      writeResponse(wholeResponse("200 OK", own, strings.Repeat("x", maxBufferedBody+9)), true),
		"a failure without a length":          writeResponse("HTTP/1.1 500 X\r\n"+own+"\r\nno", false),
		"a malformed answer":                  writeResponse("rubbish\r\n\r\n", false),
		"a closed connection":                 writeResponse("", false),
		"a refusal for lack of room":          refuses(http.StatusServiceUnavailable),
		"another incarnation at this address": refuses(http.StatusMisdirectedRequest),
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var calls atomic.Int32
			either := func(b *fakeBackend, req *http.Request, conn net.Conn) bool {
				if calls.Add(1) == 1 {
					return writeResponse(interrupted, false)(b, req, conn)
				}
				return second(b, req, conn)
			}
			g := call(c, startGateway(c, newBackend(c, "b1", either), newBackend(c, "b2", either)), "/resumable/")
			c.Check(g.status, qt.Equals, http.StatusOK)
			c.Check(g.body, qt.Equals, one)
			c.Check(g.complete, qt.IsFalse)
			c.Check(g.heads, qt.Equals, 1)
			c.Check(calls.Load() >= 2, qt.IsTrue)
		})
	}
	t.Run("a refusal, and then its events", func(t *testing.T) {
		c := qt.New(t)
		var calls atomic.Int32
		either := func(b *fakeBackend, req *http.Request, conn net.Conn) bool {
			switch calls.Add(1) {
			case 1:
				return writeResponse(interrupted, false)(b, req, conn)
			case 2:
				return refuses(http.StatusServiceUnavailable)(b, req, conn)
			default:
				return writeResponse(streamHead()+chunk(two)+"0\r\n\r\n", false)(b, req, conn)
			}
		}
		backends := []*fakeBackend{newBackend(c, "b1", either), newBackend(c, "b2", either), newBackend(c, "b3", either)}
		g := call(c, startGateway(c, backends...), "/resumable/")
		c.Check(g.body, qt.Equals, one+two)
		c.Check(g.complete, qt.IsTrue)
	})
}
