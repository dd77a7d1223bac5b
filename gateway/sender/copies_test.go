package sender

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/framer"
)

const (
	copyGateways = 3
	copyCallers  = 6
	copyRequests = 60
	copyAttempts = 4
)

// A backend server that sends any answer once more, at any later point, let requests run twice, or be refused though
// they ran.
func TestRequestsRunOnceWhileAnswersComeTwice(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				b := &copyingBackend{random: rand.New(rand.NewPCG(seed, 1)), runs: map[string]int{}}
				statuses := callBackend(b)
				served := 0
				for id, status := range statuses {
					switch status {
					case http.StatusOK:
						served++
						c.Check(b.runs[id], qt.Equals, 1, qt.Commentf("%s was served", id))
					case http.StatusServiceUnavailable:
						c.Check(b.runs[id], qt.Equals, 0, qt.Commentf("%s was refused", id))
					default:
						c.Check(b.runs[id] <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", id, b.runs[id]))
					}
				}
				c.Check(served > len(statuses)/2, qt.IsTrue, qt.Commentf("%d of %d were served", served, len(statuses)))
				c.Check(b.copies > 0, qt.IsTrue)
			})
		})
	}
}

// callBackend sends requests that may run once from several gateways, and returns the statuses that their callers see, 0
// for an unknown outcome.
func callBackend(b *copyingBackend) map[string]int {
	var mu sync.Mutex
	statuses := map[string]int{}
	var callers sync.WaitGroup
	for g := range copyGateways {
		s := &Sender{
			Clock: clockwork.NewRealClock(), DialTimeout: time.Minute, MaxIdle: time.Minute, DialContext: b.dial,
			IsOwnResponse: func(head *framer.ResponseHead, id string) (bool, time.Duration) {
				return head.Header.Get("Id") == id, 0
			},
		}
		for k := range copyCallers {
			callers.Go(func() {
				for n := range copyRequests {
					id := fmt.Sprintf("%d-%d-%d", g, k, n)
					status := sendUntilAccepted(s, id)
					mu.Lock()
					statuses[id] = status
					mu.Unlock()
				}
			})
		}
	}
	callers.Wait()
	b.stop()
	return statuses
}

// sendUntilAccepted repeats a request that was rejected.
func sendUntilAccepted(s *Sender, id string) int {
	used := &Connections{}
	for range copyAttempts {
		in, err := s.Send(context.Background(), &Request{
			Backend: "b", Address: "b", RequestID: id, Method: "POST", Target: "/", Header: framer.Header{{Name: "Id", Value: id}}, Used: used,
		})
		if err != nil {
			return 0
		}
		_, err = io.Copy(io.Discard, in.Body)
		in.Close()
		if err != nil {
			return 0
		}
		if in.Head.Status == http.StatusOK {
			return http.StatusOK
		}
	}
	return http.StatusServiceUnavailable
}

// copyingBackend rejects a part of its requests and sends a part of its answers twice, the second copy up to 60 ms later.
type copyingBackend struct {
	mu      sync.Mutex
	random  *rand.Rand
	runs    map[string]int
	copies  int
	conns   []net.Conn
	serving sync.WaitGroup
}

// draw returns a number below n.
func (b *copyingBackend) draw(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.IntN(n)
}

func (b *copyingBackend) dial(context.Context, string, string) (net.Conn, error) {
	local, remote := net.Pipe()
	answers := make(chan string, 1024)
	b.mu.Lock()
	b.conns = append(b.conns, remote)
	b.mu.Unlock()
	done := make(chan struct{})
	b.serving.Go(func() { b.serve(remote, answers, done) })
	b.serving.Go(func() { writeAnswers(remote, answers, done) })
	return local, nil
}

// writeAnswers writes whole answers in turn until the connection has ended.
func writeAnswers(conn net.Conn, answers <-chan string, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case answer := <-answers:
			_, _ = io.WriteString(conn, answer)
		}
	}
}

func (b *copyingBackend) serve(conn net.Conn, answers chan<- string, done chan<- struct{}) {
	defer close(done)
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id, status := req.Header.Get("Id"), http.StatusServiceUnavailable
		if b.draw(100) >= 45 {
			status = http.StatusOK
			b.mu.Lock()
			b.runs[id]++
			b.mu.Unlock()
			<-time.After(time.Duration(1+b.draw(10)) * time.Millisecond)
		}
		answer := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 0\r\nId: %s\r\n\r\n", status, id)
		answers <- answer
		if b.draw(100) < 30 {
			b.mu.Lock()
			b.copies++
			b.mu.Unlock()
			time.AfterFunc(time.Duration(b.draw(60_000))*time.Microsecond, func() { answers <- answer })
		}
	}
}

// stop closes all connections, and waits for the copies that are still to come.
func (b *copyingBackend) stop() {
	for _, conn := range b.conns {
		_ = conn.Close()
	}
	b.serving.Wait()
	<-time.After(time.Second)
}
