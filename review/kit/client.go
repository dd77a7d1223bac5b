package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// outcome is what a client saw of one attempt.
type outcome struct {
	id     string
	front  int
	sentAt time.Time
	// status is 0 if there was no complete answer.
	status int
	took   time.Duration
	err    string
}

// clients send requests at a rate, each from a connection of its own kind: kept or new.
type clients struct {
	s    *system
	host string
	path string
	// deadline is how long a client waits.
	deadline time.Duration
	// fields returns further header lines of a request.
	fields func() string

	mu       sync.Mutex
	idle     map[int][]*clientConn
	outcomes []outcome
	count    int
	wait     sync.WaitGroup
}

type clientConn struct {
	net.Conn
	in *bufio.Reader
}

// run sends requests of a method at a rate for a time, to all gateways by turns of luck.
func (c *clients) run(method string, perSecond float64, until time.Time, ready func(front int) bool) {
	for time.Now().Before(until) {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		front := rand.IntN(len(c.s.gateways))
		if ready != nil && !ready(front) {
			continue
		}
		c.mu.Lock()
		c.count++
		id := fmt.Sprintf("%08x%06x", rand.Uint32(), c.count)
		c.mu.Unlock()
		c.wait.Go(func() { c.attempt(method, id, front) })
	}
}

// attempt sends one request once.
func (c *clients) attempt(method, id string, front int) {
	o := outcome{id: id, front: front, sentAt: time.Now()}
	o.status, o.err = c.exchange(method, id, front)
	o.took = time.Since(o.sentAt)
	c.mu.Lock()
	c.outcomes = append(c.outcomes, o)
	c.mu.Unlock()
	c.s.record.add("client", "%s %s to %s sent at %.4f: status %d after %.1f ms %s", method, id, c.s.gateways[front].name,
		o.sentAt.Sub(c.s.record.began).Seconds(), o.status, float64(o.took.Microseconds())/1000, o.err)
}

func (c *clients) exchange(method, id string, front int) (int, string) {
	conn, err := c.connect(front)
	if err != nil {
		return 0, err.Error()
	}
	body := ""
	if method == "POST" {
		body = "reading " + id
	}
	_ = conn.SetDeadline(time.Now().Add(c.deadline))
	text := fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, c.path, id[:4], c.host, id, c.deadline.Milliseconds())
	if c.fields != nil {
		text += c.fields()
	}
	if method == "POST" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := conn.Write([]byte(text + "\r\n" + body)); err != nil {
		_ = conn.Close()
		return 0, err.Error()
	}
	res, err := http.ReadResponse(conn.in, &http.Request{Method: method})
	if err != nil {
		_ = conn.Close()
		return 0, err.Error()
	}
	_, err = io.ReadAll(res.Body)
	if err != nil || res.Close {
		_ = conn.Close()
	} else {
		c.mu.Lock()
		c.idle[front] = append(c.idle[front], conn)
		c.mu.Unlock()
	}
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, ""
}

// connect returns a kept connection or a new one.
func (c *clients) connect(front int) (*clientConn, error) {
	c.mu.Lock()
	if list := c.idle[front]; len(list) > 0 {
		conn := list[len(list)-1]
		c.idle[front] = list[:len(list)-1]
		c.mu.Unlock()
		return conn, nil
	}
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", c.s.front(front), time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, in: bufio.NewReader(conn)}, nil
}

func (s *system) newClients(host, path string, deadline time.Duration) *clients {
	return &clients{s: s, host: host, path: path, deadline: deadline, idle: map[int][]*clientConn{}}
}

// seen returns a copy of the outcomes.
func (c *clients) seen() []outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]outcome(nil), c.outcomes...)
}
