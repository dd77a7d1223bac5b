package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

const (
	baseModel    = "daka510000"
	adapterSlots = 16
	adapterLoad  = 250 * time.Millisecond
	eventCount   = 10
	firstEvent   = 30 * time.Millisecond
	eventGap     = 25 * time.Millisecond
)

// engine is what a model replica has beyond a plain server.
type engine struct {
	// adapters are those that it holds, with their versions; coming are being loaded.
	adapters map[string]int
	coming   map[string]bool
	accepted int
	fence    int
	// shed is the share of requests that it rejects while it fails that way.
	shed float64
	// extra is the share of answers that it sends twice while it does that: the second copy comes where
	// the next answer on the connection is expected.
	extra float64
}

// models returns the list of models of a heartbeat or report. The caller holds the lock.
func (r *server) models() []any {
	list := []string{}
	for name, version := range r.engine.adapters {
		list = append(list, fmt.Sprintf("%s@%d", name, version))
	}
	sort.Strings(list)
	return []any{map[string]any{"name": baseModel, "version": 1, "adapters": list}}
}

func (r *server) report(id string) []byte {
	r.mu.Lock()
	coming := []string{}
	for name := range r.engine.coming {
		coming = append(coming, baseModel+"/"+name+"@1")
	}
	data, _ := json.Marshal(map[string]any{
		"stage": "both", "models": r.models(), "busy": false, "seqNo": r.engine.accepted, "waiting": r.waiting, "running": r.running,
		"kvUsed": r.running * 650, "kvTotal": 268177, "handles": 0, "coming": coming,
	})
	r.mu.Unlock()
	return r.response(200, id, data)
}

// order carries out an order to load or unload an adapter.
func (r *server) order(id string, body []byte) []byte {
	var o struct {
		OpType, Model, Adapter, Holder string
		FencingToken                   *int
		Precondition                   *int
	}
	r.mu.Lock()
	status := 202
	switch err := json.Unmarshal(body, &o); {
	case err != nil, o.Holder == "", o.FencingToken == nil, o.Adapter == "", o.OpType != "load" && o.OpType != "unload":
		status = 400
	case *o.FencingToken < r.engine.fence:
		status = 412
	case o.Precondition != nil && *o.Precondition != r.engine.accepted:
		status = 409
	default:
		r.engine.fence = *o.FencingToken
		status = r.execute(o.OpType, o.Adapter)
	}
	r.mu.Unlock()
	r.s.record.add("server", "%s: order %s: %d", r.id, body, status)
	return r.response(status, id, []byte("{}"))
}

// execute carries out an accepted order. The caller holds the lock.
func (r *server) execute(kind, adapter string) int {
	_, has := r.engine.adapters[adapter]
	switch {
	case kind == "load" && (has || r.engine.coming[adapter]), kind == "unload" && !has:
		return 200
	case kind == "unload":
		delete(r.engine.adapters, adapter)
		r.engine.accepted++
		return 200
	case len(r.engine.adapters)+len(r.engine.coming) >= adapterSlots:
		give("%s was ordered to hold too much", r.id)
	}
	r.engine.coming[adapter] = true
	r.engine.accepted++
	time.AfterFunc(adapterLoad, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.engine.coming, adapter)
		r.engine.adapters[adapter] = 1
	})
	return 202
}

// stream runs a request for an adapter: it writes the answer's events as they are made. It returns the
// whole answer.
func (r *server) stream(req *http.Request, out io.Writer) ([]byte, error) {
	id := req.Header.Get("Request-Id")
	a := arrival{at: time.Now(), id: id}
	write := func(b []byte) ([]byte, error) {
		_, err := out.Write(b)
		return b, err
	}
	_, adapter, _ := strings.Cut(req.Header.Get("Model"), "/")
	r.mu.Lock()
	version, has := r.engine.adapters[adapter]
	shed := rand.Float64() < r.engine.shed
	r.mu.Unlock()
	expected := req.Header.Get("Expect-Version")
	if !has || expected != "" && expected != strconv.Itoa(version) {
		a.rejected = true
		r.note(a, "rejected with 421: no such adapter")
		return write(r.reject(421, id))
	}
	if shed || !r.enter() {
		a.rejected = true
		r.note(a, "rejected with 503")
		return write(r.reject(503, id))
	}
	defer r.leave()
	r.mu.Lock()
	r.runs[id]++
	n := r.runs[id]
	r.mu.Unlock()
	r.note(a, fmt.Sprintf("runs (run %d here)", n))
	time.Sleep(firstEvent)
	whole := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%x\r\nServer-Load: %s\r\nWeight-Versions: 1\r\nKeep-Alive: timeout=10\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		id, r.id, rand.Uint32(), r.load()))
	part := whole
	for i := 1; i <= eventCount; i++ {
		event := fmt.Sprintf("id: %d\ndata: %s %s %d\n\n", i, r.id, id, i)
		chunk := []byte(fmt.Sprintf("%x\r\n%s\r\n", len(event), event))
		if i == eventCount {
			chunk = append(chunk, "0\r\n\r\n"...)
		}
		whole = append(whole, chunk...)
		if i == 1 {
			part = append([]byte(nil), whole...)
		} else {
			part = chunk
		}
		if _, err := write(part); err != nil {
			r.s.record.add("server", "%s: request %s was given up by its caller", r.id, id)
			return nil, err
		}
		time.Sleep(eventGap)
	}
	return whole, nil
}
