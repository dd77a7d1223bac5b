package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	engineCount  = 9
	gatewayCount = 9
	// The largest doses that the pages name: one replica of nine rejects 0.45 of its requests, and
	// 0.6 of the replicas send 0.03 of their answers twice.
	shedShare    = 0.45
	extraShare   = 0.03
	extraAmong   = 0.6
	troubleTime  = 5 * time.Second
	pauseTime    = 2 * time.Second
	rounds       = 11
	adaptersEach = 14
)

// lateCopy plays replicas that send some answers twice, the second copy late, while one of them rejects
// a part of its requests.
func lateCopy(s *system, trouble bool) int {
	s.startControllers()
	s.startGateways(gatewayCount)
	var engines []*server
	for i := range engineCount {
		e := &engine{adapters: map[string]int{}, coming: map[string]bool{}}
		for k := range adaptersEach {
			e.adapters[fmt.Sprintf("a%d", 1+adaptersEach*i+k)] = 1
		}
		engines = append(engines, s.newEngine(fmt.Sprintf("i-text-%d", i+1), "text", fmt.Sprintf("z%d", 1+i%3), 64, 192, 0, i%controlCount, e))
	}
	s.toAny("POST", "/config/replace", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "qc-note", "host": "notes.example", "pathPrefix": "/qc/", "routeType": "streaming", "timeoutMs": 8000,
			"targetLatencyMs": 1000, "priority": 0, "service": "text", "maxAttempts": 1, "sticky": true, "resumable": false, "gapTargetMs": 300,
		}},
		"services": []any{map[string]any{
			"name": "text", "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kvCapacityTokens": 268177, "kvBytes": 163840, "linkMbps": 530000.0, "moves": false, "backups": false, "stride": 7,
				"models":    []any{map[string]any{"name": baseModel, "weightsMb": 72700.0, "loadS": 1.1, "adapters": 3000, "adapterMb": 66.0}},
				"weightsMb": 75200.0, "adapterSlots": adapterSlots, "loadsPerS": 4.9,
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}, 15*time.Second)
	s.awaitReady(15 * time.Second)
	time.Sleep(2 * time.Second)

	load := s.newClients("notes.example", "/qc/", 8*time.Second)
	load.fields = func() string {
		return fmt.Sprintf("Model: %s/a%d\r\nToken-Count: 491,70\r\nPrompt-Prefix: 5c1e07a2:93,%08x:398\r\n", baseModel, 1+rand.IntN(adaptersEach*engineCount), rand.Uint32())
	}
	began := time.Now()
	// Gateways retry nothing in the first window of their budget.
	troubleAt := began.Add(11 * time.Second)
	until := troubleAt.Add(rounds * (troubleTime + pauseTime))
	var sending sync.WaitGroup
	sending.Go(func() { load.run("POST", 200, until, nil) })
	time.Sleep(time.Until(troubleAt))
	for i := range rounds {
		if trouble {
			setTrouble(engines, i%engineCount, shedShare, extraShare)
		}
		time.Sleep(troubleTime)
		setTrouble(engines, 0, 0, 0)
		time.Sleep(pauseTime)
	}
	sending.Wait()
	load.wait.Wait()
	return judgeLateCopy(s, load, engines)
}

// setTrouble lets one engine reject a part of its requests, and it and others send answers twice.
func setTrouble(engines []*server, shedding int, shed, extra float64) {
	order := rand.Perm(len(engines))
	among := map[int]bool{shedding: true}
	for _, i := range order {
		if len(among) < int(extraAmong*float64(len(engines))) {
			among[i] = true
		}
	}
	for i, r := range engines {
		r.mu.Lock()
		r.engine.shed, r.engine.extra = 0, 0
		if i == shedding {
			r.engine.shed = shed
		}
		if among[i] {
			r.engine.extra = extra
		}
		r.mu.Unlock()
	}
}

// judgeLateCopy applies TWICE and REFUSED to requests that may run once.
func judgeLateCopy(s *system, load *clients, engines []*server) int {
	runs := map[string]int{}
	rejections := 0
	for _, r := range engines {
		r.mu.Lock()
		for id, n := range r.runs {
			runs[id] += n
		}
		for _, a := range r.arrivals {
			if a.rejected {
				rejections++
			}
		}
		r.mu.Unlock()
	}
	twice, refused, served := 0, 0, 0
	list := load.seen()
	for _, o := range list {
		if o.status == 200 {
			served++
		}
		if runs[o.id] > 1 {
			twice++
			s.record.add("verdict", "request %s ran %d times; its client saw status %d", o.id, runs[o.id], o.status)
		}
		if runs[o.id] > 0 && (o.status == 429 || o.status == 503) {
			refused++
			s.record.add("verdict", "request %s was answered %d and had run", o.id, o.status)
		}
	}
	s.record.say("%d of %d requests were served; replicas rejected %d arrivals", served, len(list), rejections)
	if served < len(list)*8/10 {
		give("the system did not serve")
	}
	s.record.say("%d requests of a route that may run once ran more than once; %d were answered 429 or 503 and had run", twice, refused)
	if twice > 0 || refused > 0 {
		s.record.say("TWICE or REFUSED is broken")
		return broken
	}
	s.record.say("TWICE and REFUSED hold")
	return held
}
