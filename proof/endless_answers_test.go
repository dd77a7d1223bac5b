package proof

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

const (
	// endlessService is the service whose streams do not end an event, and endlessPath the path of its requests.
	endlessService = "endless"
	endlessPath    = "/endless/"
	// endlessClients is the number of its clients.
	endlessClients = 300
	// endlessPause is the time between two requests of one of them.
	endlessPause = 50 * time.Millisecond
	// ordinaryRequests is the number of requests to another service meanwhile.
	ordinaryRequests = 100
)

// endlessBackend is a backend server that begins each answer with a part of an event, and then goes on with it.
type endlessBackend struct {
	y *routedSystem
	// begin is how much of an event it sends at once, and pause the time between the pieces that follow.
	begin int
	pause time.Duration
	// fields is the number of empty header fields that its answers have beside the usual ones.
	fields int
	// ran counts requests, and sent the bytes of their answers.
	ran, sent atomic.Int64
}

func (b *endlessBackend) start(y *routedSystem) {
	b.y = y
	listener, err := net.Listen("tcp", freeAddress(y.c))
	y.c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	y.c.Cleanup(func() {
		cancel()
		_ = listener.Close()
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(ctx, conn)
		}
	}()
	go b.announce(ctx, listener.Addr().String())
}

func (b *endlessBackend) announce(ctx context.Context, address string) {
	client := &http.Client{Timeout: time.Second}
	for i := 1; ctx.Err() == nil; i++ {
		path, body, err := platform.StandInHeartbeat(&wire.Announcement{
			Name: "e0", Service: endlessService, Address: address, Zone: "z", Slots: 2 * endlessClients, Sequence: uint64(i),
		})
		if err != nil {
			return
		}
		if res, err := client.Post("http://"+b.y.operator.controller(i)+path, "application/json", bytes.NewReader(body)); err == nil {
			_ = res.Body.Close()
		}
		select {
		case <-ctx.Done():
		case <-time.After(announceInterval):
		}
	}
}

func (b *endlessBackend) serve(ctx context.Context, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	b.ran.Add(1)
	answer := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
	for _, field := range platform.StandInResponse(platform.DecodeRequest(fieldsOf(req.Header)).ID, "e0") {
		answer += field.Name + ": " + field.Value + "\r\n"
	}
	answer += strings.Repeat("a:\r\n", b.fields)
	_, err = io.WriteString(conn, answer+fmt.Sprintf("\r\n%x\r\n%s\r\n", b.begin, strings.Repeat("x", b.begin)))
	const size = 4096
	piece := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size))
	for err == nil && ctx.Err() == nil {
		if b.pause > 0 {
			time.Sleep(b.pause)
		}
		var n int
		n, err = io.WriteString(conn, piece)
		b.sent.Add(int64(n))
	}
}

// putEndlessRoute puts a table into force that has a route to the service too.
func (y *routedSystem) putEndlessRoute() {
	version := y.operator.sent.Add(1)
	t := table(version)
	t.Services = append(t.Services, &wire.RoutedService{Name: endlessService})
	t.Routes = append(t.Routes, &wire.Route{
		Name: "endless", Host: "h", PathPrefix: endlessPath, Repetition: wire.Repetition_REPETITION_STREAM, TimeoutMs: 5000, ObjectiveMs: 500,
		MaxAttempts: 1, Shares: []*wire.Share{{Service: endlessService, Weight: 1}},
	})
	body, err := platform.StandInTable(t)
	y.c.Assert(err, qt.IsNil)
	eventually(y.c, "the table is acknowledged", func() bool {
		res, err := y.operator.client.Post("http://"+y.operator.controller(0)+platform.StandInReplacePath, "application/json", bytes.NewReader(body))
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
}

// callEndless sends a request to the service and reads what comes.
func callEndless(address, id string) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * clientTimeout))
	head := "POST " + endlessPath + " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n"
	for _, field := range platform.StandInRequest(id, clientTimeout) {
		head += field.Name + ": " + field.Value + "\r\n"
	}
	if _, err := io.WriteString(conn, head+"\r\nhi"); err != nil {
		return
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
}

// callEndlessUntil calls the service again and again.
func callEndlessUntil(stop <-chan struct{}, address, name string) {
	for n := 0; ; n++ {
		callEndless(address, fmt.Sprintf("%s-%d-%d", name, n, time.Now().UnixNano()))
		select {
		case <-stop:
			return
		case <-time.After(endlessPause):
		}
	}
}

// A backend server that did not end its events made a gateway hold and search all of them: the callers of other services got
// no answers, and the process took most of the memory of its instance.
func TestEventsWithoutEndAtGateways(t *testing.T) {
	for name, backend := range map[string]*endlessBackend{
		"at full speed":        {begin: kilobyte, pause: 0},
		"held back at 240 KiB": {begin: 240 * kilobyte, pause: time.Second},
		"held back at 60 KiB":  {begin: 60 * kilobyte, pause: time.Second},
		"held back at 7 KiB":   {begin: 7 * kilobyte, pause: time.Second},
		"heads of many fields": {begin: kilobyte, pause: time.Second, fields: 15 * kilobyte},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			y := startReleased(c, fmt.Sprintf("MemoryMB = %d\n", gatewayMemoryMB))
			gateway := y.gateways[0]
			backend.start(y)
			y.putEndlessRoute()
			eventually(c, "the faulty server gets a request", func() bool {
				callEndless(gateway.address, fmt.Sprint("first-", time.Now().UnixNano()))
				return backend.ran.Load() > 0
			})
			stop := make(chan struct{})
			var clients sync.WaitGroup
			for i := range endlessClients {
				clients.Go(func() { callEndlessUntil(stop, gateway.address, fmt.Sprint("endless-", i)) })
			}
			eventually(c, "each client has called", func() bool { return backend.ran.Load() >= endlessClients })
			ordinary := newCaller(y, "ordinary", gateway)
			defer ordinary.disconnect()
			served := 0
			for range ordinaryRequests {
				if ordinary.send(string(idempotent)).status == http.StatusOK {
					served++
				}
			}
			close(stop)
			clients.Wait()
			c.Logf("%d requests to the faulty server, which sent %d MB; %d of %d to another one were served",
				backend.ran.Load(), backend.sent.Load()/megabyte, served, ordinaryRequests)
			c.Check(served, qt.Equals, ordinaryRequests)
			checkResources(c, gateway.process, resources{gatewayMemoryMB, defaultFiles}, gateway.address)
			y.checkServed()
		})
	}
}
