package generator

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"bronzelead.example/pkg/translator"
)

// post sends a call with the id r to an engine.
func (g *Generator) post(path, body string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	req.Header.Set(translator.RequestIDHeader, "r")
	w := httptest.NewRecorder()
	g.Handler().ServeHTTP(w, req)
	return w
}

// Refusals had no id, so that they could pass for those of other requests.
func TestRefusalsNameTheirRequest(t *testing.T) {
	for name, body := range map[string]string{"an unknown model": `{"model":"other"}`, "a malformed body": `{`} {
		t.Run(name, func(t *testing.T) {
			w := newEngine().post(translator.CompletionsPath, body)
			if ran, id := w.Header().Get(translator.RanHeader), w.Header().Get(translator.RequestIDHeader); ran != translator.RanNo || id != "r" {
				t.Errorf("%s: %q, %s: %q; want %q, %q", translator.RanHeader, ran, translator.RequestIDHeader, id, translator.RanNo, "r")
			}
		})
	}
}

// An engine that had forgotten a request said that it never ran: it had answered it, and many others since.
func TestForgottenRequestIsNotReportedAsNotRun(t *testing.T) {
	g := newEngine()
	sent := time.Now()
	r := &request{id: "r", model: "m", tokens: 1}
	g.submit(r)
	g.step(time.Unix(1000, 0))
	for i := range maxRequests {
		g.store(&request{id: strconv.Itoa(i), done: true})
	}
	c := &translator.Cancellation{}
	if err := json.Unmarshal(g.post(translator.CancelPath("r"), "").Body.Bytes(), c); err != nil {
		t.Fatal(err)
	}
	if c.Ran == translator.RanNo && (c.RemembersAll || c.KnownForMs > time.Since(sent).Milliseconds()) {
		t.Errorf("the engine says that r never ran: %+v", c)
	}
}

// Cancelled requests were forgotten like others, so that one that the network held ran after it was reported as not run;
// requests that had yet to run were forgotten too, and then reported as not run.
func TestRequestsInUseAreNotForgotten(t *testing.T) {
	g := newEngine()
	g.submit(&request{id: "queued", model: "m", tokens: 1})
	g.post(translator.CancelPath("cancelled"), "")
	for i := range 2 * maxRequests {
		g.store(&request{id: strconv.Itoa(i), done: true})
	}
	if status, _ := g.submit(&request{id: "cancelled", model: "m", tokens: 1}); status != http.StatusConflict {
		t.Errorf("a cancelled request is taken: status %d", status)
	}
	if g.find("queued") == nil {
		t.Errorf("a queued request is not known")
	}
}

// A request that arrived once more was refused as not run although it ran: the refusal speaks for the id.
func TestKnownRequestIsRefusedAsNotRunOnlyIfItNeverRuns(t *testing.T) {
	g := newEngine()
	g.submit(&request{id: "r", model: "m", tokens: 1})
	w := g.post(translator.CompletionsPath, `{"model":"m"}`)
	if ran := w.Header().Get(translator.RanHeader); w.Code != http.StatusConflict || ran == translator.RanNo {
		t.Errorf("a queued request: status %d, ran %q; want 409 and not no", w.Code, ran)
	}
	g.cancelByID("r")
	w = g.post(translator.CompletionsPath, `{"model":"m"}`)
	if ran := w.Header().Get(translator.RanHeader); w.Code != http.StatusConflict || ran != translator.RanNo {
		t.Errorf("a cancelled request: status %d, ran %q; want 409 and no", w.Code, ran)
	}
}

// A request that the network held until the engine had restarted ran there, after the incarnation that it was sent to had
// been asked to cancel it.
func TestRequestForAnotherIncarnationIsRefused(t *testing.T) {
	for incarnation, want := range map[string]int{"i": http.StatusOK, "earlier": http.StatusMisdirectedRequest, "": http.StatusOK} {
		t.Run(incarnation, func(t *testing.T) {
			g := newEngine()
			done := make(chan struct{})
			defer close(done)
			g.StepDuration = time.Millisecond
			go g.Run(done)
			req := httptest.NewRequest(http.MethodPost, translator.CompletionsPath, strings.NewReader(`{"model":"m"}`))
			req.Header.Set(translator.RequestIDHeader, "r")
			if incarnation != "" {
				req.Header.Set(translator.IncarnationHeader, incarnation)
			}
			w := httptest.NewRecorder()
			g.Handler().ServeHTTP(w, req)
			if w.Code != want {
				t.Errorf("status %d; want %d", w.Code, want)
			}
		})
	}
}
