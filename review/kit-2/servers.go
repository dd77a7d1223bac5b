package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	model        = "daka510000"
	adapterSlots = 16
	engineSlots  = 64
	// adapterTime is how long an adapter takes that the replica has not held before, and warmTime one that it has.
	adapterTime = 250 * time.Millisecond
	warmTime    = 25 * time.Millisecond
	reportLag   = 100 * time.Millisecond
)

// replica is a stand-in of a backend server: of an engine with one model and adapters, or of a plain service.
type replica struct {
	w             *world
	id, service   string
	zone, address string
	slots         int
	engine        bool
	listener      net.Listener
	server        *http.Server
	seq           atomic.Uint64
	stopped       atomic.Bool

	mu       sync.Mutex
	accepted uint64
	fence    uint64
	holder   string
	held     map[string]uint64
	loading  map[string]time.Time
	seen     map[string]bool
	report   []byte
	running  int
	// ran counts the runs of each request.
	ran map[string]int
	// work is how long a request of a plain service takes.
	work time.Duration
	// onRun is called when a request begins to run; nil is not.
	onRun func(r *replica, id string)
}

func (w *world) newReplica(service string, i int, engine bool) *replica {
	ip := w.freeIP()
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	r := &replica{
		w: w, id: fmt.Sprintf("i-%s%02d", service[:4], i), service: service, zone: zones[i%len(zones)], address: l.Addr().String(), engine: engine,
		listener: l, held: map[string]uint64{}, loading: map[string]time.Time{}, seen: map[string]bool{}, ran: map[string]int{}, work: 15 * time.Millisecond,
	}
	r.slots = 6
	if engine {
		r.slots = engineSlots
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(l) }()
	if engine {
		go r.keepReport()
	}
	go r.beat()
	return r
}

// beat registers the replica at one controller, and at the next one if it is not acknowledged.
func (r *replica) beat() {
	client := &http.Client{Timeout: time.Second}
	at := int(r.id[len(r.id)-1])
	for !r.stopped.Load() {
		for range r.w.controllers {
			if r.sendBeat(client, r.w.controllers[at%len(r.w.controllers)]) {
				break
			}
			at++
		}
		time.Sleep(heartbeat)
	}
}

func (r *replica) sendBeat(client *http.Client, m *machine) bool {
	body := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": r.slots, "state": "ready", "coldMs": 0, "seqNo": r.seq.Add(1),
	}
	if r.engine {
		r.mu.Lock()
		body["stage"], body["models"] = "both", r.models()
		r.mu.Unlock()
	}
	encoded, _ := json.Marshal(body)
	res, err := client.Post(fmt.Sprintf("http://%s/instances/%s/heartbeat", m.controlAddress(), r.id), "application/json", strings.NewReader(string(encoded)))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// models returns what an engine holds. The caller holds the lock.
func (r *replica) models() []any {
	adapters := []string{}
	for name, version := range r.held {
		adapters = append(adapters, fmt.Sprintf("%s@%d", name, version))
	}
	return []any{map[string]any{"name": model, "version": 1, "adapters": adapters}}
}

// keepReport keeps the report of an engine, which is some hundred milliseconds old.
func (r *replica) keepReport() {
	for !r.stopped.Load() {
		r.mu.Lock()
		r.settle(time.Now())
		coming := []string{}
		for name := range r.loading {
			coming = append(coming, fmt.Sprintf("%s/%s@%d", model, name, 1))
		}
		r.report, _ = json.Marshal(map[string]any{
			"stage": "both", "models": r.models(), "busy": false, "seqNo": r.accepted, "waiting": 0, "running": r.running, "kvUsed": 0,
			"kvTotal": 268177, "handles": 0, "coming": coming,
		})
		r.mu.Unlock()
		time.Sleep(reportLag)
	}
}

// settle ends the loads that are due. The caller holds the lock.
func (r *replica) settle(now time.Time) {
	for name, due := range r.loading {
		if !now.Before(due) {
			delete(r.loading, name)
			r.held[name], r.seen[name] = 1, true
		}
	}
}

func (r *replica) serve(out http.ResponseWriter, in *http.Request) {
	if expected := in.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		out.Header().Set("Instance-Id", r.id)
		r.reject(out, in, http.StatusMisdirectedRequest)
		return
	}
	switch {
	case in.URL.Path == "/report":
		r.mu.Lock()
		report := r.report
		r.mu.Unlock()
		out.Header().Set("Content-Type", "application/json")
		_, _ = out.Write(report)
	case in.URL.Path == "/order":
		r.order(out, in)
	case in.URL.Path == "/health":
		out.Header().Set("Instance-Id", r.id)
	case r.engine:
		r.stream(out, in)
	default:
		r.answer(out, in)
	}
}

func (r *replica) reject(out http.ResponseWriter, in *http.Request, status int) {
	out.Header().Set("Request-Id", in.Header.Get("Request-Id"))
	out.Header().Set("Not-Executed", "1")
	out.WriteHeader(status)
}

// order takes an order as PROTOCOL.md says.
func (r *replica) order(out http.ResponseWriter, in *http.Request) {
	var o struct {
		OpType, Model, Adapter, Holder string
		Version, FencingToken          uint64
		Precondition                   *uint64
	}
	if json.NewDecoder(in.Body).Decode(&o) != nil || o.Holder == "" || o.FencingToken == 0 {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.settle(time.Now())
	status := http.StatusOK
	_, held := r.held[o.Adapter]
	_, loading := r.loading[o.Adapter]
	switch {
	case o.FencingToken < r.fence:
		status = http.StatusPreconditionFailed
	case o.OpType == "load" && (o.Adapter == "" || held):
	case o.OpType == "load" && loading:
		status = http.StatusAccepted
	case o.Precondition != nil && *o.Precondition != r.accepted:
		status = http.StatusConflict
	case o.OpType == "load" && len(r.held)+len(r.loading) >= adapterSlots:
		r.w.log("%s was ordered to load more than it holds", r.id)
		status = http.StatusConflict
	case o.OpType == "load":
		took := adapterTime
		if r.seen[o.Adapter] {
			took = warmTime
		}
		r.loading[o.Adapter] = time.Now().Add(took)
		r.accepted++
		status = http.StatusAccepted
	case o.OpType == "unload" && held:
		delete(r.held, o.Adapter)
		r.accepted++
	}
	if status != http.StatusPreconditionFailed {
		r.fence, r.holder = max(r.fence, o.FencingToken), o.Holder
	}
	out.WriteHeader(status)
}

// lastHolder returns who gave the latest order that was not refused.
func (r *replica) lastHolder() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder
}

func (r *replica) begin(in *http.Request) string {
	id := in.Header.Get("Request-Id")
	r.mu.Lock()
	r.ran[id]++
	r.running++
	observe := r.onRun
	r.mu.Unlock()
	if observe != nil {
		observe(r, id)
	}
	return id
}

func (r *replica) finish() {
	r.mu.Lock()
	r.running--
	r.mu.Unlock()
}

// answer runs a request of a plain service.
func (r *replica) answer(out http.ResponseWriter, in *http.Request) {
	id := r.begin(in)
	defer r.finish()
	select {
	case <-time.After(r.work):
	case <-in.Context().Done():
		return
	}
	out.Header().Set("Request-Id", id)
	out.Header().Set("Server-Stamp", r.id+"."+id)
	_, _ = out.Write([]byte("answer of " + r.id + " to " + id + "\n"))
}

// stream runs a request of an engine: ten events.
func (r *replica) stream(out http.ResponseWriter, in *http.Request) {
	_, adapter, _ := strings.Cut(in.Header.Get("Model"), "/")
	if adapter != "" {
		r.mu.Lock()
		r.settle(time.Now())
		_, held := r.held[adapter]
		r.mu.Unlock()
		if !held {
			r.reject(out, in, http.StatusMisdirectedRequest)
			return
		}
	}
	id := r.begin(in)
	defer r.finish()
	out.Header().Set("Request-Id", id)
	out.Header().Set("Server-Stamp", r.id+"."+id)
	out.Header().Set("Content-Type", "text/event-stream")
	first, _ := strconv.Atoi(in.Header.Get("Last-Event-Id"))
	for event := first + 1; event <= 10; event++ {
		select {
		case <-time.After(4 * time.Millisecond):
		case <-in.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: %s %d\n\n", event, id, event)
		out.(http.Flusher).Flush()
	}
}
