package main

import (
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// rareAdapters are more than the replicas hold, so that the holder gives orders all the time.
	rareAdapters = 600
	rareClients  = 24
)

// stalledLog lets the log collector of the machine that gives the orders hang: nobody reads its standard output any more.
// It then sends a valid configuration.
func stalledLog(w *world) bool {
	w.start(5, 3)
	engines := []*replica{w.newReplica("tekstverk", 0, true), w.newReplica("tekstverk", 1, true), w.newReplica("tekstverk", 2, true)}
	w.newReplica("mottak", 0, false)
	w.newReplica("mottak", 1, false)
	if status, _ := w.put("/config/replace", configuration(7), 25*time.Second); status != http.StatusOK {
		check(fmt.Errorf("the first configuration was not acknowledged: %d", status))
	}
	w.awaitReady()
	end := make(chan struct{})
	var clients sync.WaitGroup
	var before, after tally
	counts := &before
	var countsMu sync.Mutex
	for i := range rareClients {
		clients.Go(func() {
			client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
			for {
				select {
				case <-end:
					return
				case <-time.After(20 * time.Millisecond):
				}
				adapter := fmt.Sprintf("%s/a%d", model, 1+mathrand.IntN(rareAdapters))
				o := send(client, w.gateways[i%len(w.gateways)], http.MethodPost, blurbPath+"x", newID(), 4*time.Second,
					map[string]string{"Model": adapter, "Token-Count": "640,70"}, []byte("x"))
				countsMu.Lock()
				counts.add(o)
				countsMu.Unlock()
			}
		})
	}
	time.Sleep(8 * time.Second)
	holder := engines[0].lastHolder()
	var leader *machine
	for _, m := range w.controllers {
		if m.Name == holder {
			leader = m
		}
	}
	if leader == nil {
		check(fmt.Errorf("no machine has given an order"))
	}
	w.log("%s gives the orders", holder)
	status, took := w.put("/config/replace", configuration(9), 15*time.Second)
	w.log("operator: configuration 9: %d after %v", status, took)
	countsMu.Lock()
	counts = &after
	countsMu.Unlock()
	if w.trouble {
		leader.unread.Store(true)
		w.log("disruption: nobody reads the standard output of %s any more; %d bytes were read", leader.Name, leader.read.Load())
	}
	time.Sleep(8 * time.Second)
	status, took = w.put("/config/replace", configuration(12), 20*time.Second)
	w.log("operator: configuration 12: %d after %v; the bound is %v", status, took, ackTime+3*ackTimePerRoute)
	read, _ := call(http.MethodGet, "http://"+w.controllers[(len(w.controllers)-1)].controlAddress()+"/config/get", nil)
	w.log("operator: GET /config/get: %d", read)
	close(end)
	clients.Wait()
	w.log("requests for rare adapters: before %v; after %v", &before, &after)
	for _, m := range w.controllers {
		w.log("%s runs: %v", m.Name, m.cmd.ProcessState == nil)
	}
	return status != http.StatusOK || took > ackTime+3*ackTimePerRoute
}
