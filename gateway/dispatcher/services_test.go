package dispatcher

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
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
