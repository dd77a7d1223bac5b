package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	// replaceEvery is the time between two replacements: the core is stable and has caught up in between.
	replaceEvery = 10 * time.Second
	// emptyAfter is how long after the loss of a controller an empty one starts at another address.
	emptyAfter = time.Second
	// forgetTime is the time after the last replacement until the configuration changes.
	forgetTime = 36 * time.Second
	// watchTime is how long requests are watched after the change has to be in force.
	watchTime = 6 * time.Second
)

// replacedCore replaces the seeds by empty controllers at other addresses, one after the other, and changes
// the configuration half a minute later.
func replacedCore(s *system, trouble bool) int {
	s.startControllers()
	s.startGateways(3)
	var old, next []*server
	for i := range 3 {
		old = append(old, s.newServer(fmt.Sprintf("i-old-%d", i+1), "desk-old", fmt.Sprintf("z%d", i+1), 6, 24, 15*time.Millisecond, i))
		next = append(next, s.newServer(fmt.Sprintf("i-new-%d", i+1), "desk-new", fmt.Sprintf("z%d", i+1), 6, 24, 15*time.Millisecond, i+1))
	}
	s.toAny("POST", "/config/replace", replacedCoreConfig(1, "desk-old"), 15*time.Second)
	s.awaitReady(15 * time.Second)
	time.Sleep(contactTime + 2*time.Second)
	if trouble {
		for i := range seedCount {
			began := time.Now()
			s.replaceController(i)
			time.Sleep(time.Until(began.Add(replaceEvery)))
		}
	}
	load := s.newClients("desk.example", "/orders/", time.Second)
	time.Sleep(forgetTime - replaceEvery)
	var sending sync.WaitGroup
	by, _ := s.toAny("POST", "/config/replace", replacedCoreConfig(2, "desk-new"), 10*time.Second)
	acknowledged := time.Now()
	s.record.add("operator", "configuration 2 acknowledged by %s", s.controllers[by].name)
	sending.Go(func() { load.run("POST", 100, acknowledged.Add(configApply+watchTime), nil) })
	sending.Wait()
	load.wait.Wait()
	for _, r := range append(old, next...) {
		r.end()
	}
	return judgeReplacedCore(s, load, old, acknowledged)
}

func replacedCoreConfig(version int, service string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "obs-ack", "host": "desk.example", "pathPrefix": "/orders/", "routeType": "unsafe", "timeoutMs": 1000,
			"targetLatencyMs": 100, "priority": 2, "service": service, "maxAttempts": 1, "sticky": false, "resumable": false,
		}},
		"services": []any{
			map[string]any{"name": "desk-old", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false},
			map[string]any{"name": "desk-new", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// replaceController ends a controller for good, and starts an empty one at another address.
func (s *system) replaceController(i int) {
	s.controllers[i].kill()
	time.Sleep(emptyAfter)
	var seeds []string
	for k := 1; len(seeds) < seedCount; k++ {
		seeds = append(seeds, s.control((i+k)%controlCount))
	}
	ip, name := s.newIP(), fmt.Sprintf("core-%d", controlCount+1+i)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.controllers[i] = s.launch("controller", name, ip, fmt.Sprintf(`[Instance]
Name = %s
Zone = z%d
IP = %s
Port = %d
Control = %s:%d

[Data]
Folder = %s

[Members]
Seeds = %s
Bootstrap = false

[Timing]
Announcements = %dms
HandOver = 3000ms

[Placement]
Fenced = true
`, name, 1+i%3, ip, s.meshPort, ip, s.controlPort, filepath.Join(s.folder, name), strings.Join(seeds, ","), heartbeat.Milliseconds()))
}

// judgeReplacedCore applies CONFIG: a request sent later than configApplyMs after the acknowledgement of a
// version isn't run by the service of an older one. All machines have been in touch since long before.
func judgeReplacedCore(s *system, load *clients, old []*server, acknowledged time.Time) int {
	ranAt := map[string]string{}
	for _, r := range old {
		for _, a := range r.taken() {
			if !a.rejected {
				ranAt[a.id] = r.id
			}
		}
	}
	due, stale, served := 0, 0, 0
	for _, o := range load.seen() {
		if o.status == 200 {
			served++
		}
		if o.sentAt.Before(acknowledged.Add(configApply)) {
			continue
		}
		due++
		if server, ran := ranAt[o.id]; ran {
			stale++
			s.record.add("verdict", "request %s, sent %.2f s after the acknowledgement, was run by %s of the old service", o.id, o.sentAt.Sub(acknowledged).Seconds(), server)
		}
	}
	s.record.say("%d of %d requests were served", served, len(load.seen()))
	if served < len(load.seen())*9/10 {
		give("the system did not serve")
	}
	s.record.say("%d of %d requests that were sent later than %s after the acknowledgement were run by the old service", stale, due, configApply)
	if stale > 0 {
		s.record.say("CONFIG is broken")
		return broken
	}
	s.record.say("CONFIG holds")
	return held
}
