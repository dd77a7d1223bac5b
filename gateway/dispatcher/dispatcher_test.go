package dispatcher

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/translator"
)

// An engine exited while it ran a completion, and its next incarnation, which never received
// it, stated that it did not run. Only the incarnation that received the request can know.
func TestOnlyTheReceivingIncarnationConfirmsNotRun(t *testing.T) {
	for name, test := range map[string]struct {
		cancelled string
		want      Ran
	}{
		"the same incarnation": {`{"Ran":"no","Incarnation":"first","RequestId":"r","RemembersAll":true}`, RanNo},
		"a later incarnation":  {`{"Ran":"no","Incarnation":"second","RequestId":"r","RemembersAll":true}`, RanUnknown},
		"no incarnation named": {`{"Ran":"no","RequestId":"r","RemembersAll":true}`, RanUnknown},
		"it ran":               {`{"Ran":"partly","Incarnation":"first","RequestId":"r","RemembersAll":true}`, RanUnknown},
		"a malformed answer":   {`no`, RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch {
				case strings.HasSuffix(r.URL.Path, "/cancel"):
					_, _ = w.Write([]byte(test.cancelled))
				case r.Method == http.MethodGet:
					w.WriteHeader(http.StatusNotFound)
				default:
					panic(http.ErrAbortHandler)
				}
			}))
			defer engine.Close()
			d := &Dispatcher{
				Clock: clockwork.NewRealClock(), SessionTransport: &http.Transport{}, UnpooledTransport: &http.Transport{DisableKeepAlives: true},
				SilenceTimeout: time.Minute,
			}
			out := d.Run(context.Background(), &Exchange{
				RequestID: "r", Address: strings.TrimPrefix(engine.URL, "http://"), Incarnation: "first",
				Path: translator.CompletionsPath, Body: []byte("{}"),
			})
			qt.New(t).Check(out.Ran, qt.Equals, test.want)
		})
	}
}
