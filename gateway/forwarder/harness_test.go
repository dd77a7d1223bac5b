package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/acceptor"
	"bronzelead.example/gateway/regulator"
	"bronzelead.example/gateway/sender"
	"bronzelead.example/pkg/framer"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

func testTable() *wire.RoutingTable {
	route := func(name string, repetition wire.Repetition, resumable bool) *wire.Route {
		return &wire.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Repetition: repetition, TimeoutMs: 3000,
			ObjectiveMs: 100, MaxAttempts: 2, Resumable: resumable, Shares: []*wire.Share{{Service: "s", Weight: 1}},
		}
	}
	return &wire.RoutingTable{
		Version: 3,
		Routes: []*wire.Route{
			route("safe", wire.Repetition_REPETITION_IDEMPOTENT, false), route("once", wire.Repetition_REPETITION_ONCE, false),
			withPrompts(route("prompt", wire.Repetition_REPETITION_STREAM, false)),
			route("stream", wire.Repetition_REPETITION_STREAM, false), route("resumable", wire.Repetition_REPETITION_STREAM, true),
		},
		Services: []*wire.RoutedService{{Name: "s"}},
	}
}

func withPrompts(r *wire.Route) *wire.Route {
	r.Prompts, r.PauseObjectiveMs, r.TimeoutMs = true, 300, 3600_000
	return r
}

// startGateway starts an HTTP frontend and a forwarder that knows some backend servers.
func startGateway(c *qt.C, backends ...*fakeBackend) string {
	address, _ := startGatewayAndForwarder(c, backends...)
	return address
}

func startGatewayAndForwarder(c *qt.C, backends ...*fakeBackend) (string, *Forwarder) {
	address, f := newGateway(c, clockwork.NewRealClock())
	f.Apply("controller", firstTable(backends...))
	f.endGatewayCountDelay()
	return address, f
}

// newGateway starts an HTTP frontend and a forwarder without any controller state.
func newGateway(c *qt.C, clock clockwork.Clock) (string, *Forwarder) {
	return newLoggingGateway(c, clock, c.Output())
}

// newLoggingGateway is newGateway with the writer of its log.
func newLoggingGateway(c *qt.C, clock clockwork.Clock, out io.Writer) (string, *Forwarder) {
	log := slog.New(slog.NewTextHandler(out, nil))
	f := &Forwarder{
		Clock: clock, Log: log, Meter: meter.New("gateway", "test", "z"), RequestAdapters: func([]*wire.Want) {},
		Budget:    RetryBudget{Window: 10 * time.Second, Ratio: 0.2, Slack: 200},
		Regulator: &regulator.Regulator{Clock: clock, Log: log},
		Sender: &sender.Sender{
			Clock: clock, DialTimeout: time.Second, MaxIdle: time.Second,
			IsOwnResponse: func(head *framer.ResponseHead, id string) (bool, time.Duration) {
				answer := platform.DecodeResponse(head)
				return answer.RequestID == id || answer.RequestID == "", answer.IdleTimeout
			},
		},
	}
	f.Init()
	f.endFirstWindow()
	f.Regulator.Init()
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	go f.Run(ctx)
	frontend := &acceptor.Acceptor{Clock: clock, Log: log, Address: "127.0.0.1:0", Handle: f.Handle, CheckHead: f.CheckHead}
	c.Assert(frontend.Start(), qt.IsNil)
	c.Cleanup(func() { _ = frontend.Stop(ctx) })
	return frontend.Addr(), f
}

// endFirstWindow lets a forwarder count retries as if it had started a window ago.
func (f *Forwarder) endFirstWindow() { f.retriesSince = f.retriesSince.Add(-f.Budget.Window) }

// endGatewayCountDelay lets a forwarder trust the number of gateways at once.
func (f *Forwarder) endGatewayCountDelay() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gatewaysKnownAt = time.Time{}
}

// clientResponse is what a caller received.
type clientResponse struct {
	status   int
	header   http.Header
	body     string
	complete bool
	// heads counts the heads of answers received, also inside a body.
	heads int
}

// clientTimeout is the client timeout of the tests' callers.
const clientTimeout = 2500 * time.Millisecond

func call(c *qt.C, address, path string, header ...string) clientResponse {
	return callFor(c, clientTimeout, address, path, header...)
}

// callFor is call with another client timeout.
func callFor(c *qt.C, timeout time.Duration, address, path string, header ...string) clientResponse {
	return callAs(c, "r1", timeout, address, path, header...)
}

// callAs is callFor with another id of the request.
func callAs(c *qt.C, id string, timeout time.Duration, address, path string, header ...string) clientResponse {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	head := "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n" + lines(platform.StandInRequest(id, timeout))
	_, err = io.WriteString(conn, head+strings.Join(append(header, ""), "\r\n")+"\r\nhi")
	c.Assert(err, qt.IsNil)
	var raw bytes.Buffer
	received := bufio.NewReader(io.TeeReader(conn, &raw))
	res, err := http.ReadResponse(received, nil)
	if err != nil {
		return clientResponse{}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		// Bytes behind a broken body are counted too.
		_, _ = io.Copy(io.Discard, received)
	}
	heads := strings.Count(raw.String(), "HTTP/1.1 ")
	return clientResponse{status: res.StatusCode, header: res.Header, body: string(body), complete: err == nil, heads: heads}
}

// testRequest is the request that call sends, as the HTTP frontend reads it.
func testRequest(target string) *acceptor.Request {
	return &acceptor.Request{
		Head: &framer.RequestHead{Method: "POST", Target: target, Header: framer.Header{{Name: "Host", Value: "h"}}},
		Body: []byte("hi"), Caller: "127.0.0.1:1",
	}
}
