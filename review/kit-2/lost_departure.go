package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	departures = 8
	// plainReplicas is the number of replicas of the plain service, as on the site.
	plainReplicas = 4
	// restartDelay is the short delay after which the platform starts a process again that was killed.
	restartDelay = time.Second
	// serveOn is how long a replica serves on after its departure was acknowledged: drainMs and, at times, many seconds longer.
	serveOn   = 5500 * time.Millisecond
	drainTime = 2 * time.Second
	// settleMargin is added to the time from which machines are in touch again.
	settleMargin = 200 * time.Millisecond
)

// departed records what runs at a replica after its departure was acknowledged.
type departed struct {
	mu           sync.Mutex
	acknowledged time.Time
	ran          []ranRequest
}

// ranRequest is a request that began to run at a time after the acknowledgement.
type ranRequest struct {
	id    string
	after time.Duration
}

// maxLateLogged bounds the late requests of one departure that are written to the record.
const maxLateLogged = 5

// lostDeparture replaces replicas one after the other. The new one starts first; the old one deregisters before it stops
// serving, as some do. Each time the machine that has acknowledged that fails right after, and starts again.
func lostDeparture(w *world) bool {
	w.start(5, 3)
	engine := w.newReplica("tekstverk", 0, true)
	var plain []*replica
	for i := range plainReplicas {
		plain = append(plain, w.newReplica("mottak", i, false))
	}
	if status, _ := w.put("/config/replace", configuration(7), 25*time.Second); status != http.StatusOK {
		check(fmt.Errorf("the first configuration was not acknowledged: %d", status))
	}
	w.awaitReady()
	end := make(chan struct{})
	var clients sync.WaitGroup
	var counts tally
	for i := range 12 {
		clients.Go(func() {
			client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
			for {
				select {
				case <-end:
					return
				case <-time.After(25 * time.Millisecond):
				}
				counts.add(send(client, w.gateways[i%len(w.gateways)], http.MethodGet, pullPath+"x", newID(), time.Second, nil, nil))
			}
		})
	}
	time.Sleep(contactTime + time.Second)
	broken := 0
	for i := range departures {
		plain = append(plain, w.newReplica("mottak", plainReplicas+i, false))
		if w.depart(plain[i], w.controllers[(i+1)%len(w.controllers)], engine.lastHolder()) {
			broken++
		}
	}
	close(end)
	clients.Wait()
	w.log("requests: %v", &counts)
	w.log("%d of %d departures were forgotten", broken, departures)
	return broken > 0
}

// depart lets a replica deregister at a machine. It reports whether requests reach the replica after drainMs, at a time at
// which machines are in touch.
func (w *world) depart(r *replica, m *machine, holder string) bool {
	if m.Name == holder {
		// The loss of the machine that gives the orders would be another disruption.
		m = w.controllers[0]
	}
	if m.Name == holder {
		m = w.controllers[1]
	}
	r.stopped.Store(true)
	time.Sleep(heartbeat + 100*time.Millisecond)
	d := &departed{}
	r.mu.Lock()
	r.onRun = func(_ *replica, id string) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if !d.acknowledged.IsZero() {
			d.ran = append(d.ran, ranRequest{id, time.Since(d.acknowledged)})
		}
	}
	r.mu.Unlock()
	r.sendBeat(&http.Client{Timeout: time.Second}, m)
	time.Sleep(50 * time.Millisecond)
	killed := 0
	if w.trouble {
		killed = m.cmd.Process.Pid
	}
	status, after := deregister(m, r.id, killed)
	d.mu.Lock()
	d.acknowledged = time.Now()
	d.mu.Unlock()
	w.log("%s deregisters at %s: %s", r.id, m.Name, status)
	if status != "200" {
		check(fmt.Errorf("the departure was not acknowledged: %s", status))
	}
	inTouch := drainTime
	if w.trouble {
		w.log("disruption: %s got SIGKILL %v after the acknowledgement was read", m.Name, after)
		<-m.done
		time.Sleep(restartDelay)
		m.Bootstrap = false
		m.start()
		inTouch = max(inTouch, time.Since(d.acknowledged)+contactTime)
	}
	inTouch += settleMargin
	time.Sleep(time.Until(d.acknowledged.Add(serveOn)))
	_ = r.server.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	late := 0
	last := time.Duration(0)
	for _, ran := range d.ran {
		last = max(last, ran.after)
		sent, ok := w.sentAt(ran.id)
		if !ok || sent.at.Sub(d.acknowledged) <= inTouch {
			continue
		}
		if late++; late <= maxLateLogged {
			w.log("request %s was sent to %s %v after the acknowledgement, and ran at %s %v after it", ran.id, sent.gateway,
				sent.at.Sub(d.acknowledged).Round(time.Millisecond), r.id, ran.after.Round(time.Millisecond))
		}
	}
	w.log("%s ran %d requests after its departure was acknowledged, the last one %v after; %d of them were sent later than %v after it, when machines are in touch and drainMs is over",
		r.id, len(d.ran), last.Round(time.Millisecond), late, inTouch.Round(time.Millisecond))
	return late > 0
}

// deregister sends the notice of departure over a plain socket, and kills a process, unless pid is 0, as soon as the
// acknowledgement has been read. It returns the status, and how long after that the signal was sent.
func deregister(m *machine, id string, pid int) (status string, after time.Duration) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	check(err)
	defer func() { _ = syscall.Close(fd) }()
	at := &syscall.SockaddrInet4{Port: m.Control}
	copy(at.Addr[:], net.ParseIP(m.IP).To4())
	check(syscall.Connect(fd, at))
	body := "{}"
	request := "POST /instances/" + id + "/deregister HTTP/1.1\r\nHost: " + m.controlAddress() +
		"\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	_, err = syscall.Write(fd, []byte(request))
	check(err)
	buf := make([]byte, 4096)
	n := 0
	for limit := time.Now().Add(time.Second); time.Now().Before(limit); {
		n, _, err = syscall.Recvfrom(fd, buf, syscall.MSG_DONTWAIT)
		if err != syscall.EAGAIN {
			break
		}
	}
	began := time.Now()
	if err == nil && pid != 0 && bytes.HasPrefix(buf[:n], []byte("HTTP/1.1 200 ")) {
		_ = syscall.Kill(pid, syscall.SIGKILL)
	}
	after = time.Since(began)
	check(err)
	fields := bytes.Fields(buf[:n])
	if len(fields) < 2 {
		return "", after
	}
	return string(fields[1]), after
}
