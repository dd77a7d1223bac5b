package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// reported is the part of method, host and path, in bytes, that a gateway reports of a request that was lost.
	reported = 200
	// droppedFor is how long requests are sent on the route after it was dropped.
	droppedFor = 20 * time.Second
	// engines is the number of engines, of which one crashes: a share of 0.25.
	engines  = 4
	pullSpan = 250 * time.Millisecond
)

// longPath returns a path in UTF-8 whose text is cut within a letter if only its first bytes are kept.
func longPath() string {
	path := blurbPath
	if (reported-len(http.MethodPost)-1-len(host)-len(path))%2 == 0 {
		path += "x"
	}
	return path + strings.Repeat("ø", reported)
}

// sendPath sends one request to an engine with a path as it is, on a connection of its own, and returns its status.
func sendPath(m *machine, path, id string) int {
	conn, err := net.DialTimeout("tcp", m.frontAddress(), time.Second)
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	m.w.sent.Store(id, sentRequest{time.Now(), m.Name})
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nModel: %s\r\nToken-Count: 640,70\r\n"+
		"Content-Length: 1\r\nConnection: close\r\n\r\nx", path, host, id, model)
	if err != nil {
		return 0
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}

// withoutRoute returns a configuration without one of its routes.
func withoutRoute(body []byte, name string) []byte {
	var c map[string]any
	check(json.Unmarshal(body, &c))
	kept := []any{}
	for _, r := range c["routes"].([]any) {
		if r.(map[string]any)["name"] != name {
			kept = append(kept, r)
		}
	}
	c["routes"] = kept
	body, err := json.Marshal(c)
	check(err)
	return body
}

// crash ends the replica as a crash does: its connections end, and its address refuses new ones.
func (r *replica) crash() {
	r.stopped.Store(true)
	_ = r.server.Close()
	r.w.log("disruption: %s has crashed", r.id)
}

// lostRun lets a replica crash while it runs a request. The operator then drops a route.
func lostRun(w *world) bool {
	w.start(5, 3)
	var list []*replica
	for i := range engines {
		list = append(list, w.newReplica("tekstverk", i, true))
	}
	for i := range plainReplicas {
		w.newReplica("mottak", i, false)
	}
	if status, _ := w.put("/config/replace", configuration(7), 25*time.Second); status != http.StatusOK {
		check(fmt.Errorf("the first configuration was not acknowledged: %d", status))
	}
	w.awaitReady()
	time.Sleep(contactTime)

	first, path := w.gateways[0], longPath()
	id := newID()
	var once sync.Once
	for _, r := range list {
		r.mu.Lock()
		r.onRun = func(at *replica, ran string) {
			if ran != id {
				return
			}
			w.log("%s runs request %s", at.id, ran)
			if w.trouble {
				once.Do(at.crash)
			}
		}
		r.mu.Unlock()
	}
	w.log("client: POST %s at %s, request %s", path, first.Name, id)
	w.log("client: %d", sendPath(first, path, id))
	time.Sleep(contactTime)

	status, took := w.put("/config/replace", withoutRoute(configuration(9), "r-pull"), 15*time.Second)
	if status != http.StatusOK {
		check(fmt.Errorf("the change was not acknowledged: %d", status))
	}
	acknowledged := time.Now()
	w.log("operator: configuration 9, without the route r-pull: %d after %v", status, took)
	time.Sleep(configApplyTime + settleMargin)
	served := map[string]int{}
	var last time.Duration
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for time.Since(acknowledged) < droppedFor {
		for _, m := range w.gateways {
			sent := time.Since(acknowledged)
			o := send(client, m, http.MethodGet, pullPath+"x", newID(), time.Second, nil, nil)
			if o.status == http.StatusOK && o.stamp != "" {
				if served[m.Name]++; served[m.Name] <= maxLateLogged {
					w.log("%s: a request on the dropped route, sent %v after the acknowledgement, was run by %s", m.Name, sent, o.stamp)
				}
				last = sent
			} else if o.status != http.StatusNotFound {
				w.log("%s: a request on the dropped route: %d", m.Name, o.status)
			}
		}
		time.Sleep(pullSpan)
	}
	total := 0
	for _, m := range w.gateways {
		w.log("%s: %d requests on the dropped route were run", m.Name, served[m.Name])
		total += served[m.Name]
	}
	w.log("the last of them was sent %v after the acknowledgement; the bound is %v", last, configApplyTime)
	return total > 0
}
