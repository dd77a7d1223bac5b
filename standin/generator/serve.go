package generator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bronzelead.example/pkg/translator"
)

const wrongResponseID = "someone-elses"

// Handler serves the engine's protocol and, below /control/, the functions for tests.
func (g *Generator) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+translator.CompletionsPath, g.complete)
	mux.HandleFunc("POST "+translator.ChatPath, g.complete)
	mux.HandleFunc("GET "+translator.RequestsPath+"{id}", g.resume)
	mux.HandleFunc("POST "+translator.RequestsPath+"{id}/cancel", g.cancelRequest)
	mux.HandleFunc("POST "+translator.LoadPath, g.load)
	mux.HandleFunc("POST "+translator.UnloadPath, g.unload)
	mux.HandleFunc("POST /control/fault", g.setFault)
	mux.HandleFunc("GET /control/log", g.serveLog)
	return g.delayWhileFrozen(mux)
}

// delayWhileFrozen delays all requests but those below /control/ while the engine is frozen.
func (g *Generator) delayWhileFrozen(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.mu.Lock()
		wait := time.Until(g.frozenUntil)
		g.mu.Unlock()
		if wait > 0 && !strings.HasPrefix(r.URL.Path, "/control/") {
			select {
			case <-time.After(wait):
			case <-r.Context().Done():
				return
			}
		}
		next.ServeHTTP(w, r)
	})
}

type body struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

func (g *Generator) complete(w http.ResponseWriter, r *http.Request) {
	b := body{MaxTokens: defaultTokens}
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &b) != nil || b.MaxTokens < 1 || b.MaxTokens > maxTokens {
		reject(w, r, http.StatusBadRequest, true)
		return
	}
	if g.ExitText != "" && bytes.Contains(data, []byte(g.ExitText)) {
		g.Exit()
	}
	if g.takeLoseFault() {
		breakConnection(w)
		return
	}
	id := r.Header.Get(translator.RequestIDHeader)
	priority, _ := strconv.Atoi(r.Header.Get(translator.PriorityHeader))
	req := &request{
		id: id, responseID: translator.AnswerID(r.URL.Path, id), model: b.Model, tokens: b.MaxTokens,
		incarnation: r.Header.Get(translator.IncarnationHeader),
		chat:        r.URL.Path == translator.ChatPath, stream: b.Stream, priority: priority, readers: 1,
	}
	if status, neverRuns := g.submit(req); status != http.StatusOK {
		reject(w, r, status, neverRuns)
		return
	}
	g.respond(r.Context(), w, req, 0)
	g.removeReader(req)
}

func (g *Generator) takeLoseFault() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fault.Lose == 0 {
		return false
	}
	g.fault.Lose--
	return true
}

func breakConnection(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "1000")
	_, _ = w.Write([]byte("cut"))
}

// reject refuses a request. NeverRuns states that it has not run and will not, which callers believe only of a refusal
// with the request's id.
func reject(w http.ResponseWriter, r *http.Request, status int, neverRuns bool) {
	w.Header().Set(translator.RequestIDHeader, r.Header.Get(translator.RequestIDHeader))
	if neverRuns {
		w.Header().Set(translator.RanHeader, translator.RanNo)
	}
	w.WriteHeader(status)
	_, _ = w.Write([]byte("the request is refused"))
}

func (g *Generator) removeReader(r *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.readers--
	r.unreadAt = time.Now()
}

// resume sends the events of a request that follow a given one, and those to come.
func (g *Generator) resume(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	g.mu.Lock()
	req := g.requests[r.PathValue("id")]
	known := req != nil && !req.tombstone
	if known {
		req.readers++
		req.wrongID = false
	}
	g.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	g.respond(r.Context(), w, req, after)
	g.removeReader(req)
}

// cancelRequest cancels a request. One that has not started or is unknown leaves a tombstone,
// so that it will not run if it arrives later.
func (g *Generator) cancelRequest(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	answer, _ := json.Marshal(g.cancelByID(id))
	w.Header().Set(translator.RequestIDHeader, id)
	_, _ = w.Write(answer)
}

func (g *Generator) cancelByID(id string) translator.Cancellation {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := translator.Cancellation{Ran: "partly", Incarnation: g.incarnation, RequestID: id, RemembersAll: g.forgotten.IsZero()}
	if !c.RemembersAll {
		c.KnownForMs = time.Since(g.forgotten).Milliseconds()
	}
	req := g.find(id)
	if req == nil {
		req = &request{id: id}
		g.store(req)
	}
	if !req.done && !req.tombstone {
		g.cancel(req)
	}
	if !req.ran {
		c.Ran = translator.RanNo
	}
	return c
}

func (g *Generator) respond(ctx context.Context, w http.ResponseWriter, r *request, after int) {
	w.Header().Set(translator.RequestIDHeader, r.id)
	if r.stream {
		g.stream(ctx, w, r, after)
		return
	}
	events, ok := g.awaitEvents(ctx, r, r.tokens)
	if !ok {
		return
	}
	data := g.encode(r, strings.Join(events, ""), true)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if g.takeTruncateFault(r) {
		data = data[:len(data)/2]
	}
	_, _ = w.Write(data)
}

func (g *Generator) stream(ctx context.Context, w http.ResponseWriter, r *request, after int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Transfer-Encoding", "chunked")
	w.WriteHeader(http.StatusOK)
	flush(w)
	for sent := after; sent < r.tokens; {
		events, ok := g.awaitEvents(ctx, r, sent+1)
		if !ok {
			return
		}
		for _, text := range events[sent:min(len(events), r.tokens)] {
			if sent == r.tokens/2 && g.takeTruncateFault(r) {
				return
			}
			_, _ = w.Write([]byte("data: " + string(g.encode(r, text, sent+1 == r.tokens)) + "\n\n"))
			sent++
		}
		flush(w)
	}
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

// takeTruncateFault reports whether the response must be truncated, and clears the fault.
func (g *Generator) takeTruncateFault(r *request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	cut := r.truncate
	r.truncate = false
	return cut
}

// awaitEvents waits until a request has at least count events.
func (g *Generator) awaitEvents(ctx context.Context, r *request, count int) ([]string, bool) {
	stop := context.AfterFunc(ctx, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.changed.Broadcast()
	})
	defer stop()
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(r.events) < count && !r.tombstone && ctx.Err() == nil {
		g.changed.Wait()
	}
	return r.events, len(r.events) >= count && ctx.Err() == nil && !r.tombstone
}

type answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Index   int      `json:"index"`
	Text    string   `json:"text,omitempty"`
	Delta   *message `json:"delta,omitempty"`
	Message *message `json:"message,omitempty"`
	Reason  string   `json:"finish_reason,omitempty"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (g *Generator) hasWrongID(r *request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return r.wrongID
}

func (g *Generator) encode(r *request, text string, last bool) []byte {
	a := answer{ID: r.responseID, Object: "text_completion", Model: r.model}
	if g.hasWrongID(r) {
		a.ID = wrongResponseID
	}
	c := choice{}
	switch {
	case r.chat && r.stream:
		a.Object, c.Delta = "chat.completion.chunk", &message{Role: "assistant", Content: text}
	case r.chat:
		a.Object, c.Message = "chat.completion", &message{Role: "assistant", Content: text}
	default:
		c.Text = text
	}
	if last {
		c.Reason = "length"
	}
	a.Choices = []choice{c}
	data, err := json.Marshal(a)
	if err != nil {
		return nil
	}
	return data
}
