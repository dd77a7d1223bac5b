// Package acknowledger is a stand-in for a plain service: it takes orders and
// readings, stores each request that it runs, and acknowledges it.
package acknowledger

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"bronzelead.example/pkg/translator"
)

// Fault is what the service is told to do wrong.
type Fault struct {
	// Delay is added before each acknowledgement, in milliseconds.
	DelayMs int
	// DropAnswers cuts this many answers after the request ran.
	DropAnswers int
}

// Run is one request that ran.
type Run struct {
	RequestID string
	Method    string
	Path      string
	Body      string
}

// Acknowledger runs requests. Set Name before use.
type Acknowledger struct {
	Name string

	mu    sync.Mutex
	fault Fault
	runs  []Run
}

// Handler serves all paths; /control/fault and /control/log are for tests.
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
	delay, drop, number := a.run(r, string(body))
	time.Sleep(delay)
	if drop {
		// Cut the answer: the request ran, but nobody hears of it.
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte("cut"))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(translator.RequestIDHeader, r.Header.Get(translator.RequestIDHeader))
	answer, _ := json.Marshal(map[string]any{"service": a.Name, "number": number, "path": r.URL.Path})
	_, _ = w.Write(answer)
}

func (a *Acknowledger) run(r *http.Request, body string) (time.Duration, bool, int) {
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
