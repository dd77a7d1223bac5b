package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is one replica of a service, as PROTOCOL.md describes it.
type server struct {
	s       *system
	id      string
	service string
	zone    string
	ip      string
	slots   int
	queue   int
	work    time.Duration
	// beatTo is the controller that gets its heartbeats.
	beatTo int

	listener net.Listener
	stop     context.CancelFunc
	ended    context.Context

	mu       sync.Mutex
	seq      uint64
	silent   bool
	running  int
	waiting  int
	changed  chan struct{}
	conns    map[net.Conn]struct{}
	arrivals []arrival
	runs     map[string]int
	// engine is set for a model replica.
	engine *engine
}

// arrival is a request that reached a server.
type arrival struct {
	at time.Time
	id string
	// rejected is set if the server answered that it did not run it.
	rejected bool
	// cut is set if the server ended before its answer.
	cut bool
}

func (s *system) newServer(id, service, zone string, slots, queue int, work time.Duration, beatTo int) *server {
	return s.newEngine(id, service, zone, slots, queue, work, beatTo, nil)
}

func (s *system) newEngine(id, service, zone string, slots, queue int, work time.Duration, beatTo int, e *engine) *server {
	r := &server{engine: e,
		s: s, id: id, service: service, zone: zone, ip: s.newIP(), slots: slots, queue: queue, work: work, beatTo: beatTo,
		changed: make(chan struct{}), conns: map[net.Conn]struct{}{}, runs: map[string]int{},
	}
	listener, err := net.Listen("tcp", r.address())
	if err != nil {
		give("server: %v", err)
	}
	r.listener = listener
	r.ended, r.stop = context.WithCancel(context.Background())
	go r.accept()
	go r.beat()
	return r
}

func (r *server) address() string { return fmt.Sprintf("%s:%d", r.ip, r.s.serverPort) }

func (r *server) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = struct{}{}
		r.mu.Unlock()
		go r.serve(c)
	}
}

// heartbeatBody returns the body of the next heartbeat.
func (r *server) heartbeatBody() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	body := map[string]any{
		"service": r.service, "address": r.address(), "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": "ready", "coldMs": 0, "seqNo": r.seq,
	}
	if r.engine != nil {
		body["stage"], body["models"] = "both", r.models()
	}
	return body
}

// beat sends a heartbeat every 1.2 s: to the next controller, if one does not acknowledge it.
func (r *server) beat() {
	for {
		r.mu.Lock()
		silent := r.silent
		r.mu.Unlock()
		if !silent {
			body := r.heartbeatBody()
			for range controlCount {
				status, _, err := call("POST", r.s.control(r.beatTo), "/instances/"+r.id+"/heartbeat", body, time.Second)
				if err == nil && status == http.StatusOK {
					break
				}
				r.beatTo = (r.beatTo + 1) % controlCount
			}
		}
		select {
		case <-r.ended.Done():
			return
		case <-time.After(heartbeat - 50*time.Millisecond + time.Duration(rand.Int64N(int64(100*time.Millisecond)))):
		}
	}
}

// end ends the server's process: its connections break.
func (r *server) end() {
	r.stop()
	_ = r.listener.Close()
	r.mu.Lock()
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	r.mu.Unlock()
	r.s.record.add("server", "%s has ended", r.id)
}

func (r *server) serve(c net.Conn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	var again []byte
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if again != nil {
			r.s.record.add("server", "%s: sends a second copy of an earlier answer before the one to request %s: %.60q", r.id, req.Header.Get("Request-Id"), again)
			if _, err := c.Write(again); err != nil {
				return
			}
		}
		answer, err := r.handle(req, body, c)
		if err != nil {
			return
		}
		again = nil
		if r.engine != nil && req.Method == "POST" && req.URL.Path != "/order" {
			r.mu.Lock()
			if rand.Float64() < r.engine.extra {
				again = answer
			}
			r.mu.Unlock()
		}
	}
}

// handle answers a request, and returns the answer.
func (r *server) handle(req *http.Request, body []byte, c net.Conn) ([]byte, error) {
	id, expected := req.Header.Get("Request-Id"), req.Header.Get("Expect-Instance")
	var answer []byte
	switch {
	case expected != "" && expected != r.id:
		answer = r.reject(421, id)
	case r.engine != nil && req.URL.Path == "/order":
		answer = r.order(id, body)
	case r.engine != nil && req.URL.Path == "/report":
		answer = r.report(id)
	case r.engine != nil && req.Method == "POST":
		return r.stream(req, c)
	default:
		answer = r.answer(req, body)
	}
	_, err := c.Write(answer)
	return answer, err
}

// answer runs a request, or rejects it.
func (r *server) answer(req *http.Request, body []byte) []byte {
	id := req.Header.Get("Request-Id")
	a := arrival{at: time.Now(), id: id}
	if expected := req.Header.Get("Expect-Instance"); expected != "" && expected != r.id {
		return r.reject(421, id)
	}
	if req.Method == "GET" && req.URL.Path == "/health" {
		return r.response(200, id, []byte("ok"))
	}
	if req.Method == "GET" && req.URL.Path == "/report" {
		data, _ := json.Marshal(map[string]any{"stage": "both", "models": []any{}, "busy": false, "seqNo": 0, "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 0, "handles": 0})
		return r.response(200, id, data)
	}
	if !r.enter() {
		a.rejected = true
		r.note(a, "rejected")
		return r.reject(503, id)
	}
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	work := r.work/2 + time.Duration(rand.Int64N(int64(r.work)))
	select {
	case <-time.After(work):
		r.note(a, "ran")
	case <-r.ended.Done():
		a.cut = true
		r.note(a, "began, and was cut when the server ended")
	}
	r.leave()
	return r.response(200, id, []byte(r.id+" "+id+" "+strconv.Itoa(len(body))))
}

func (r *server) note(a arrival, what string) {
	r.mu.Lock()
	r.arrivals = append(r.arrivals, a)
	r.mu.Unlock()
	r.s.record.add("server", "%s: request %s came at %.4f, %s", r.id, a.id, a.at.Sub(r.s.record.began).Seconds(), what)
}

// enter takes a slot, or waits for one in the queue.
func (r *server) enter() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.running < r.slots {
		r.running++
		return true
	}
	if r.waiting >= r.queue {
		return false
	}
	r.waiting++
	for r.running >= r.slots {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-r.ended.Done():
		}
		r.mu.Lock()
		if r.ended.Err() != nil {
			break
		}
	}
	r.waiting--
	r.running++
	return true
}

func (r *server) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running--
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *server) load() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", r.running, r.waiting, r.slots)
}

func (r *server) response(status int, id string, body []byte) []byte {
	return []byte(fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nServer-Stamp: %s.%x\r\nServer-Load: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, r.id, rand.Uint32(), r.load(), len(body), body))
}

func (r *server) reject(status int, id string) []byte {
	return []byte(fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nServer-Load: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: 0\r\n\r\n",
		status, http.StatusText(status), id, r.load()))
}

// taken returns a copy of the requests that reached the server.
func (r *server) taken() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}
