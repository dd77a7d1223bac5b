package main

import (
	"sync"
	"time"
)

// The times of the late heartbeat, from when the leaving server sends it.
const (
	lateBy       = 5 * time.Second
	deregisterAt = 200 * time.Millisecond
	killAt       = 300 * time.Millisecond
	restartAt    = 800 * time.Millisecond
	endAt        = 8 * time.Second
	playUntil    = 10 * time.Second
)

// lateHeartbeat plays a server that deregisters, and whose last heartbeat before that comes seconds
// late, to a controller that was killed and restarted meanwhile.
func lateHeartbeat(s *system, trouble bool) int {
	s.startControllers()
	s.startGateways(3)
	servers := []*server{
		s.newServer("i-order-1", "order-desk", "z1", 6, 24, 50*time.Millisecond, 0),
		s.newServer("i-order-2", "order-desk", "z2", 6, 24, 50*time.Millisecond, 1),
		s.newServer("i-order-3", "order-desk", "z3", 6, 24, 50*time.Millisecond, 3),
	}
	leaving := servers[2]
	s.toAny("POST", "/config/replace", map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "order-page", "host": "desk.example", "pathPrefix": "/orders/", "routeType": "unsafe", "timeoutMs": 1000,
			"targetLatencyMs": 150, "priority": 2, "service": "order-desk", "maxAttempts": 1, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "order-desk", "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}, 15*time.Second)
	s.awaitReady(15 * time.Second)

	load := s.newClients("desk.example", "/orders/", time.Second)
	calm := time.Now()
	begin := calm.Add(contactTime + 2*time.Second)
	var sending sync.WaitGroup
	sending.Go(func() { load.run("POST", 180, begin.Add(playUntil), nil) })
	time.Sleep(time.Until(begin))

	// The heartbeat is sent now, and is on its way for some seconds.
	leaving.mu.Lock()
	leaving.silent = true
	leaving.mu.Unlock()
	late := leaving.heartbeatBody()
	s.record.add("server", "%s sends heartbeat %v to core-5, which comes %s later", leaving.id, late["seqNo"], lateBy)
	time.Sleep(time.Until(begin.Add(deregisterAt)))
	status, _, err := call("POST", s.control(3), "/instances/"+leaving.id+"/deregister", map[string]any{}, time.Second)
	if err != nil || status != 200 {
		give("the server could not deregister: %d %v", status, err)
	}
	acknowledged := time.Now()
	s.record.add("server", "%s deregistered at core-4: 200", leaving.id)
	stable := begin
	if trouble {
		time.Sleep(time.Until(begin.Add(killAt)))
		s.controllers[4].kill()
		time.Sleep(time.Until(begin.Add(restartAt)))
		s.controllers[4].start()
		stable = time.Now().Add(contactTime)
	}
	time.Sleep(time.Until(begin.Add(lateBy)))
	status, _, err = call("POST", s.control(4), "/instances/"+leaving.id+"/heartbeat", late, 2*time.Second)
	s.record.add("server", "the late heartbeat of %s came to core-5: %d %v", leaving.id, status, err)
	time.Sleep(time.Until(begin.Add(endAt)))
	leaving.end()
	ended := time.Now()
	sending.Wait()
	load.wait.Wait()
	for _, r := range servers[:2] {
		r.end()
	}
	return judgeLateHeartbeat(s, load, leaving, acknowledged, stable, ended)
}

// judgeLateHeartbeat applies DRAIN: no request reaches a server later than drainMs after a machine in
// touch acknowledged that it is gone, taken and sent on by machines in touch. All gateways are in touch
// from contactMs after the start of the killed controller.
func judgeLateHeartbeat(s *system, load *clients, leaving *server, acknowledged, stable, ended time.Time) int {
	sentAt := map[string]outcome{}
	served, lost := 0, 0
	for _, o := range load.seen() {
		sentAt[o.id] = o
		if o.status == 200 {
			served++
		}
	}
	late := 0
	for _, a := range leaving.taken() {
		switch {
		case a.at.Before(acknowledged.Add(drainTime)) || sentAt[a.id].sentAt.Before(stable):
			continue
		case a.rejected:
			continue
		}
		late++
		if a.cut && sentAt[a.id].status != 200 {
			lost++
			s.record.add("verdict", "request %s was running when %s ended; its client saw status %d %s", a.id, leaving.id, sentAt[a.id].status, sentAt[a.id].err)
		}
	}
	s.record.say("%d of %d requests were served", served, len(sentAt))
	if served < len(sentAt)*9/10 {
		give("the system did not serve")
	}
	s.record.say("%d requests that clients sent while all machines were in touch reached %s later than %s after its departure was acknowledged; %d of them were lost when it ended, %.1f s after the acknowledgement",
		late, leaving.id, drainTime, lost, ended.Sub(acknowledged).Seconds())
	if late > 0 {
		s.record.say("DRAIN is broken")
		return broken
	}
	s.record.say("DRAIN holds")
	return held
}
