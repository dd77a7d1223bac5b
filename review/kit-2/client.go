package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"
)

const host = "ficu95.example"

// The routes of the stand-in operator's configuration.
const (
	blurbPath = "/lohu930/"
	ackPath   = "/puxa403/"
	pullPath  = "/cufi504/"
)

// configuration returns the body of a configuration like that of the site.
func configuration(version uint64) []byte {
	route := func(name, prefix, kind string, timeout, target, attempts int, service string, more map[string]any) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeout, "targetLatencyMs": target, "priority": 1,
			"service": service, "maxAttempts": attempts,
		}
		for key, value := range more {
			r[key] = value
		}
		return r
	}
	body, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("r-blurb", blurbPath, "streaming", 4000, 500, 2, "tekstverk", map[string]any{"sticky": true, "resumable": true, "gapTargetMs": 300}),
			route("r-ack", ackPath, "unsafe", 1000, 100, 1, "mottak", nil),
			route("r-pull", pullPath, "safe", 1000, 100, 2, "mottak", nil),
		},
		"services": []any{
			map[string]any{"name": "tekstverk", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": engineSlots, "kvCapacityTokens": 268177, "kvBytes": 163840, "linkMbps": 530000.0, "stride": 7, "maxCount": 12, "hostMb": 150000.0,
				"diskMb": 460000.0, "models": []any{map[string]any{
					"name": model, "weightsMb": 72700.0, "loadS": 1.1, "adapters": 3000, "adapterMb": 66.0, "warmS": 0.32, "diskS": 0.44,
				}}, "weightsMb": 75200.0, "adapterSlots": adapterSlots, "loadsPerS": 4.9,
			}},
			map[string]any{"name": "mottak", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	check(err)
	return body
}

// call calls a controller, as the platform's operator does, within a second.
func call(method, url string, body []byte) (int, []byte) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	check(err)
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, answer
}

// put sends a change to one controller after the other until it is acknowledged or refused, or the time is over. It returns
// the last status.
func (w *world) put(path string, body []byte, limit time.Duration) (status int, took time.Duration) {
	began := time.Now()
	pause := 50 * time.Millisecond
	for i := 0; time.Since(began) < limit; i++ {
		m := w.controllers[i%len(w.controllers)]
		status, _ = call(http.MethodPost, "http://"+m.controlAddress()+path, body)
		w.log("operator: POST %s to %s: %d", path, m.Name, status)
		if status >= 200 && status < 500 {
			return status, time.Since(began)
		}
		time.Sleep(pause)
		pause = min(2*pause, 400*time.Millisecond)
	}
	return status, time.Since(began)
}

// outcome is what a client got.
type outcome struct {
	status int
	body   []byte
	stamp  string
	// whole is set if the answer was complete.
	whole bool
}

// sentRequest is when a client sent a request, and to which gateway.
type sentRequest struct {
	at      time.Time
	gateway string
}

// sentAt returns when a request was sent.
func (w *world) sentAt(id string) (sentRequest, bool) {
	sent, ok := w.sent.Load(id)
	if !ok {
		return sentRequest{}, false
	}
	return sent.(sentRequest), true
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// send sends one attempt of a request to a gateway.
func send(client *http.Client, m *machine, method, path, id string, deadline time.Duration, header map[string]string, body []byte) outcome {
	req, err := http.NewRequest(method, "http://"+m.frontAddress()+path, bytes.NewReader(body))
	check(err)
	req.Host = host
	m.w.sent.Store(id, sentRequest{time.Now(), m.Name})
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for name, value := range header {
		req.Header.Set(name, value)
	}
	res, err := client.Do(req)
	if err != nil {
		return outcome{}
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	return outcome{status: res.StatusCode, body: answer, stamp: res.Header.Get("Server-Stamp"), whole: err == nil}
}

// awaitReady waits until all gateways answer a request of each kind.
func (w *world) awaitReady() {
	client := &http.Client{Timeout: 5 * time.Second}
	deadline := time.Now().Add(25 * time.Second)
	for _, m := range w.gateways {
		for {
			a := send(client, m, http.MethodGet, pullPath+"x", newID(), time.Second, nil, nil)
			b := send(client, m, http.MethodPost, blurbPath+"x", newID(), 4*time.Second, map[string]string{"Model": model}, []byte("x"))
			if a.status == http.StatusOK && b.status == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				text, _ := os.ReadFile(filepath.Join(w.folder, m.Name+".err"))
				check(fmt.Errorf("%s does not serve: %d, %d; it wrote %q", m.Name, a.status, b.status, text))
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	w.log("all gateways serve")
}

// tally counts outcomes of requests by status.
type tally struct{ served, refused, failed atomic.Int64 }

func (t *tally) add(o outcome) {
	switch {
	case o.status == http.StatusOK && o.whole && o.stamp != "":
		t.served.Add(1)
	case o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests:
		t.refused.Add(1)
	default:
		t.failed.Add(1)
	}
}

func (t *tally) String() string {
	return fmt.Sprintf("%d served, %d refused, %d failed", t.served.Load(), t.refused.Load(), t.failed.Load())
}
