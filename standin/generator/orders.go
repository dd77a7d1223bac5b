package generator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"bronzelead.example/pkg/translator"
)

// checkFencing reports whether an order's fencing number is accepted. The caller holds the
// lock.
func (g *Generator) checkFencing(fencing string) bool {
	if !g.ChecksFencing || g.fault.IgnoreFencing {
		return true
	}
	if fencing <= g.fencing {
		return false
	}
	g.fencing = fencing
	return true
}

func (g *Generator) load(w http.ResponseWriter, r *http.Request) {
	order := &translator.LoadRequest{}
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, order) != nil || order.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fencing := r.Header.Get(translator.FencingHeader)
	if status, text := g.beginLoad(order.Name, fencing); status != http.StatusOK {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(text))
		return
	}
	err = g.Weights(order.Path)
	if !g.endLoad(order.Name, fencing, err) {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write([]byte("the load failed"))
	}
}

func (g *Generator) beginLoad(name, fencing string) (status int, text string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !g.checkFencing(fencing):
		return http.StatusPreconditionFailed, "the fencing number is old"
	case g.loaded[name]:
		return http.StatusBadRequest, "the adapter has " + translator.AlreadyLoadedText
	case g.loading[name]:
		return http.StatusConflict, "the adapter is being loaded"
	case len(g.loaded)+len(g.loading) >= g.Slots:
		return http.StatusInsufficientStorage, "all slots are full"
	}
	g.loading[name] = true
	return http.StatusOK, ""
}

func (g *Generator) endLoad(name, fencing string, err error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.loading[name] {
		// The engine was restarted during the load.
		return false
	}
	delete(g.loading, name)
	if g.fault.FailLoads > 0 {
		g.fault.FailLoads--
		return false
	}
	if err != nil {
		return false
	}
	g.loaded[name] = true
	g.appendLog(Entry{What: Loaded, Adapter: name, Fencing: fencing})
	return true
}

func (g *Generator) unload(w http.ResponseWriter, r *http.Request) {
	order := &translator.UnloadRequest{}
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, order) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.WriteHeader(g.unloadAdapter(order.Name, r.Header.Get(translator.FencingHeader)))
}

func (g *Generator) unloadAdapter(name, fencing string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.checkFencing(fencing) {
		return http.StatusPreconditionFailed
	}
	if !g.loaded[name] {
		return http.StatusNotFound
	}
	delete(g.loaded, name)
	what := Unloaded
	for _, r := range g.queue {
		if r.model == name {
			what = UnloadedInUse
		}
	}
	g.appendLog(Entry{What: what, Adapter: name, Fencing: fencing})
	return http.StatusOK
}

func (g *Generator) setFault(w http.ResponseWriter, r *http.Request) {
	fault := Fault{}
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &fault) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fault = fault
	if fault.FreezeMs > 0 {
		g.frozenUntil = time.Now().Add(time.Duration(fault.FreezeMs) * time.Millisecond)
	}
	if fault.Restart {
		g.restart()
	}
}

// restart clears adapters, requests and the fencing number, and changes the incarnation.
func (g *Generator) restart() {
	for _, r := range g.queue {
		r.tombstone = true
	}
	g.incarnation += "r"
	g.loaded, g.loading = map[string]bool{}, map[string]bool{}
	g.requests, g.requestIDs, g.queue = map[string]*request{}, nil, nil
	g.tombstones, g.tombstoneIDs, g.forgotten = map[string]*request{}, nil, time.Time{}
	g.fencing = ""
	g.changed.Broadcast()
}

// Log is the response of /control/log.
type Log struct {
	Entries []Entry
	Steps   int
	// Filled is the number of batch positions used, summed over all steps.
	Filled int
	Batch  int
}

func (g *Generator) serveLog(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	g.mu.Lock()
	defer g.mu.Unlock()
	from = min(max(0, from), len(g.log))
	data, err := json.Marshal(Log{Entries: g.log[from:], Steps: g.steps, Filled: g.filled, Batch: g.Batch})
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data)
}
