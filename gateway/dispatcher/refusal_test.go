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

// runAgainst sends the request "r" to an engine that answers it with complete, knows no request, and cancels none.
func runAgainst(complete http.HandlerFunc) Outcome {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == translator.CompletionsPath:
			complete(w, r)
		case strings.HasSuffix(r.URL.Path, "/cancel"):
			w.WriteHeader(http.StatusInternalServerError)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	defer engine.Close()
	return newDispatcher().Run(context.Background(), &Exchange{
		RequestID: "r", Address: strings.TrimPrefix(engine.URL, "http://"), Incarnation: "first",
		Path: translator.CompletionsPath, Body: []byte("{}"), Model: "m",
	})
}

func newDispatcher() *Dispatcher {
	return &Dispatcher{
		Clock: clockwork.NewRealClock(), SessionTransport: &http.Transport{}, UnpooledTransport: &http.Transport{DisableKeepAlives: true},
		UnpooledSessionTransport: &http.Transport{DisableKeepAlives: true}, SilenceTimeout: time.Minute,
	}
}

// refuses answers with a marker that says "not run", for the request with the given id; "" sends no id.
func refuses(status int, id string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(translator.RanHeader, translator.RanNo)
		if id != "" {
			w.Header().Set(translator.RequestIDHeader, id)
		}
		w.WriteHeader(status)
	}
}

// A refusal without an id, which may be that of another request or of an intermediary, counted as the engine's word for
// the request, which ran.
func TestRefusalWithoutAnIDDoesNotProveNotRun(t *testing.T) {
	for name, test := range map[string]struct {
		id   string
		want Ran
	}{
		"the request's id": {"r", RanNo},
		"no id":            {"", RanUnknown},
		"another id":       {"r-0", RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Check(runAgainst(refuses(http.StatusServiceUnavailable, test.id)).Ran, qt.Equals, test.want)
		})
	}
}

// An answer with the marker and a success status counted as a refusal. It contradicts itself and proves nothing: the
// request had been accepted, and ran.
func TestMarkerWithSuccessStatusDoesNotProveNotRun(t *testing.T) {
	for status, want := range map[int]Ran{
		http.StatusCreated: RanUnknown, http.StatusAccepted: RanUnknown, http.StatusNoContent: RanUnknown, http.StatusFound: RanUnknown,
		http.StatusBadRequest: RanNo, http.StatusMisdirectedRequest: RanNo, http.StatusServiceUnavailable: RanNo,
	} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			qt.New(t).Check(runAgainst(refuses(status, "r")).Ran, qt.Equals, want)
		})
	}
}

// A refusal of the call that resumes an answer counted as a refusal of the request, which was running.
func TestRefusalToResumeDoesNotProveNotRun(t *testing.T) {
	c := qt.New(t)
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == translator.CompletionsPath:
			panic(http.ErrAbortHandler)
		case strings.HasSuffix(r.URL.Path, "/cancel"):
			w.WriteHeader(http.StatusInternalServerError)
		default:
			refuses(http.StatusServiceUnavailable, "r")(w, r)
		}
	}))
	defer engine.Close()
	x := &Exchange{
		RequestID: "r", Address: strings.TrimPrefix(engine.URL, "http://"), Incarnation: "first",
		Path: translator.CompletionsPath, Body: []byte("{}"), Model: "m",
	}
	c.Check(newDispatcher().Run(context.Background(), x).Ran, qt.Equals, RanUnknown)
	c.Check(newDispatcher().Recover(context.Background(), x).Ran, qt.Equals, RanUnknown)
}
