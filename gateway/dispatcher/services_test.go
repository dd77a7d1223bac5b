package dispatcher

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/translator"
)

// A plain service's answer with the marker, but for no request, counted as its word that this request did not run.
func TestServiceRefusalWithoutAnIDDoesNotProveNotRun(t *testing.T) {
	for name, test := range map[string]struct {
		id   string
		want Ran
	}{
		"the request's id": {"r", RanNo},
		"no id":            {"", RanUnknown},
		"another id":       {"r-0", RanUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			service := httptest.NewServer(refuses(http.StatusServiceUnavailable, test.id))
			defer service.Close()
			a := newDispatcher().Call(context.Background(), &ServiceCall{
				RequestID: "r", Address: strings.TrimPrefix(service.URL, "http://"), Method: http.MethodPost, Path: "/", Header: http.Header{}, MaxBuffered: 100,
			})
			qt.New(t).Check(a.Ran, qt.Equals, test.want)
		})
	}
}

// A service's 503 was passed on to callers, who take it to mean that the request has not run, though the service had not
// said so; its X-Ran was passed on too.
func TestServiceStatusThatPromisesNotRunNeedsProof(t *testing.T) {
	for name, test := range map[string]struct {
		status int
		marked bool
		want   Ran
	}{
		"503":                {http.StatusServiceUnavailable, false, RanUnknown},
		"429":                {http.StatusTooManyRequests, false, RanUnknown},
		"408":                {http.StatusRequestTimeout, false, RanUnknown},
		"421":                {http.StatusMisdirectedRequest, false, RanUnknown},
		"429 with the proof": {http.StatusTooManyRequests, true, RanNo},
		"400 with the proof": {http.StatusBadRequest, true, RanYes},
		"500":                {http.StatusInternalServerError, false, RanYes},
		"200":                {http.StatusOK, false, RanYes},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if test.marked {
					refuses(test.status, "r")(w, r)
					return
				}
				w.WriteHeader(test.status)
			}))
			defer service.Close()
			a := newDispatcher().Call(context.Background(), &ServiceCall{
				RequestID: "r", Address: strings.TrimPrefix(service.URL, "http://"), Method: http.MethodPost, Path: "/", Header: http.Header{}, MaxBuffered: 100,
			})
			c.Check(a.Err, qt.IsNil)
			c.Check(a.Ran, qt.Equals, test.want)
			c.Check(a.Status, qt.Equals, test.status)
			c.Check(a.Header.Get(translator.RanHeader), qt.Equals, "")
		})
	}
}
