package dispatcher

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/translator"
)

// Of an answer without end 64 MiB were buffered, seven times one after the other, since it was requested again.
func TestAnswersWithoutEndAreReadOnce(t *testing.T) {
	const begin, end = `{"id":"cmpl-r","model":"m","text":"`, `"}`
	for name, test := range map[string]struct {
		length int
		whole  bool
	}{
		"the longest":  {maxResponseBytes, true},
		"too long":     {maxResponseBytes + 1, false},
		"far too long": {16 * maxResponseBytes, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var calls atomic.Int32
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasSuffix(r.URL.Path, "/cancel") {
					w.WriteHeader(http.StatusNotFound)
					return
				}
				calls.Add(1)
				text := begin + strings.Repeat("x", test.length-len(begin)-len(end)) + end
				_, _ = io.WriteString(w, text)
			}))
			defer engine.Close()
			d := &Dispatcher{
				Clock: clockwork.NewRealClock(), SessionTransport: &http.Transport{}, UnpooledTransport: &http.Transport{DisableKeepAlives: true},
				SilenceTimeout: time.Minute,
			}
			out := d.Run(context.Background(), &Exchange{
				RequestID: "r", Address: strings.TrimPrefix(engine.URL, "http://"), Path: translator.CompletionsPath, Body: []byte("{}"), Model: "m",
			})
			c.Check(out.Err == nil, qt.Equals, test.whole, qt.Commentf("%v", out.Err))
			c.Check(out.Ran == RanYes, qt.Equals, test.whole)
			c.Check(len(out.Body) == test.length, qt.Equals, test.whole)
			c.Check(calls.Load(), qt.Equals, int32(1))
		})
	}
}
