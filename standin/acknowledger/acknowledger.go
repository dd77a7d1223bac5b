// Package acknowledger simulates a plain service: it accepts requests, records each request
// that it runs, and acknowledges it.
package acknowledger

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"bronzelead.example/pkg/translator"
)

// Fault lists the faults to inject.
type Fault struct {
	// DelayMs is added before each acknowledgement.
	DelayMs int
	// DropAnswers truncates this many responses after the request ran.
	DropAnswers int
}

// Run records one request that ran.
type Run struct {
	RequestID string
	Method    string
	Path      string
	Body      string
}

// Acknowledger simulates a service. Set Name before use.
type Acknowledger struct {
	Name string

	mu    sync.Mutex
	fault Fault
	runs  []Run
}

// Handler serves all paths; /control/fault and /control/log are reserved for tests.
func (a *Acknowledger) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /control/fault", a.setFault)
	mux.HandleFunc("GET /control/log", a.log)
	mux.HandleFunc("/", a.serve)
	return mux
}

func (a *Acknowledger) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	delay, drop, number := a.recordRun(r, string(body))
	time.Sleep(delay)
	if drop {
		// Truncate the response: the request ran, but the client receives no complete answer.
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte("cut"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(translator.RequestIDHeader, r.Header.Get(translator.RequestIDHeader))
	answer, _ := json.Marshal(map[string]any{"service": a.Name, "number": number, "path": r.URL.Path})
	_, _ = w.Write(answer)
}

func (a *Acknowledger) recordRun(r *http.Request, body string) (time.Duration, bool, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runs = append(a.runs, Run{
		RequestID: r.Header.Get(translator.RequestIDHeader), Method: r.Method, Path: r.URL.Path, Body: body,
	})
	drop := a.fault.DropAnswers > 0
	if drop {
		a.fault.DropAnswers--
	}
	return time.Duration(a.fault.DelayMs) * time.Millisecond, drop, len(a.runs)
}

func (a *Acknowledger) setFault(w http.ResponseWriter, r *http.Request) {
	fault := Fault{}
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fault = fault
}

func (a *Acknowledger) log(w http.ResponseWriter, _ *http.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	body, _ := json.Marshal(a.runs)
	_, _ = w.Write(body)
}
