package acceptor

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Requests that were still arriving when the process ended were cut with no answer.
func TestUnfinishedRequestsAreRefusedAtTheEnd(t *testing.T) {
	for name, test := range map[string]struct {
		sent string
		end  func(a *Acceptor)
	}{
		"part of a head":                     {"POST / HTTP/1.1\r\nHo", (*Acceptor).End},
		"part of a body":                     {ordinaryRequest[:len(ordinaryRequest)-1], (*Acceptor).End},
		"part of a body after the last take": {ordinaryRequest[:len(ordinaryRequest)-1], (*Acceptor).Refuse},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				a := &Acceptor{}
				connect := virtual(a)
				for range 2 {
					conn := connect()
					began := time.Now()
					go func() { _, _ = io.WriteString(conn, test.sent) }()
					// The second connection sends its request after the end has begun.
					time.AfterFunc(time.Second, func() { test.end(a) })
					c.Check(readStatus(conn), qt.Equals, http.StatusServiceUnavailable)
					c.Check(time.Since(began) <= time.Second, qt.IsTrue)
					_ = conn.Close()
					synctest.Wait()
				}
				time.Sleep(time.Second)
			})
		})
	}
}
