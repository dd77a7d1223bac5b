package generator

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"bronzelead.example/pkg/translator"
)

// call sends a call with the id r to an engine.
func (g *Generator) call(method, path, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set(translator.RequestIDHeader, "r")
	w := httptest.NewRecorder()
	g.Handler().ServeHTTP(w, req)
	return w
}

// Refusals had no id, so that they could pass for those of other requests.
func TestRefusalsNameTheirRequest(t *testing.T) {
	for name, body := range map[string]string{"an unknown model": `{"model":"other"}`, "a malformed body": `{`} {
		t.Run(name, func(t *testing.T) {
			w := newEngine().call(http.MethodPost, translator.CompletionsPath, body)
			if ran, id := w.Header().Get(translator.RanHeader), w.Header().Get(translator.RequestIDHeader); ran != translator.RanNo || id != "r" {
				t.Errorf("%s: %q, %s: %q; want %q, %q", translator.RanHeader, ran, translator.RequestIDHeader, id, translator.RanNo, "r")
			}
		})
	}
}
