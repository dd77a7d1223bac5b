package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/doorkeeper"
	"bronzelead.example/gateway/regulator"
	"bronzelead.example/gateway/sender"
	"bronzelead.example/pkg/framer"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// backendFake answers each request on a connection by a function that gets the request
// and the connection to write to. It counts the requests that it ran.
type backendFake struct {
	id       string
	listener net.Listener
	runs     atomic.Int32
	mu       sync.Mutex
	heads    []*http.Request
}

type handler func(b *backendFake, req *http.Request, conn net.Conn) (keep bool)

func newBackend(c *qt.C, id string, handle handler) *backendFake {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	b := &backendFake{id: id, listener: listener}
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn, handle)
		}
	}()
	return b
}

func (b *backendFake) serve(conn net.Conn, handle handler) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		b.mu.Lock()
		b.heads = append(b.heads, req)
		b.mu.Unlock()
		if !handle(b, req, conn) {
			return
		}
	}
}

func (b *backendFake) announcement(service string) *wire.Announcement {
	return &wire.Announcement{Id: b.id, Name: b.id, Service: service, Address: b.listener.Addr().String(), Slots: 4, Sequence: 1}
}

func (b *backendFake) requests() []*http.Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.heads
}

// fields returns the header of a request or an answer in the product's own type.
func fields(h http.Header) framer.Header {
	var all framer.Header
	for name, values := range h {
		for _, value := range values {
			all = append(all, framer.Field{Name: name, Value: value})
		}
	}
	return all
}

func requestID(req *http.Request) string { return platform.DecodeRequest(fields(req.Header)).ID }

// lines returns a header as it is on the wire.
func lines(h framer.Header) string {
	text := ""
	for _, f := range h {
		text += f.Name + ": " + f.Value + "\r\n"
	}
	return text
}

// signed begins an answer of a backend server; ID stands for the request's.
func signed(id string) string { return "HTTP/1.1 200 OK\r\n" + lines(platform.StandInAnswer(id, "x")) }

// answer writes a whole answer of a backend server.
func answer(conn net.Conn, status int, body string, header framer.Header) {
	head := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: %d\r\n", status, len(body))
	_, _ = io.WriteString(conn, head+lines(header)+"\r\n"+body)
}

func runsAndAnswers(status int, body string) handler {
	return func(b *backendFake, req *http.Request, conn net.Conn) bool {
		b.runs.Add(1)
		answer(conn, status, body, platform.StandInAnswer(requestID(req), b.id))
		return true
	}
}

func refuses(status int) handler {
	return func(_ *backendFake, req *http.Request, conn net.Conn) bool {
		answer(conn, status, "", platform.StandInRefusal(requestID(req)))
		return true
	}
}

// runsAndBreaks runs the request and closes after having written some bytes.
func runsAndBreaks(written string) handler {
	return func(b *backendFake, req *http.Request, conn net.Conn) bool {
		b.runs.Add(1)
		_, _ = io.WriteString(conn, strings.ReplaceAll(written, "ID", requestID(req)))
		return false
	}
}

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
			prompts(route("prompt", wire.Repetition_REPETITION_STREAM, false)),
			route("stream", wire.Repetition_REPETITION_STREAM, false), route("resumable", wire.Repetition_REPETITION_STREAM, true),
		},
		Services: []*wire.RoutedService{{Name: "s"}},
	}
}

func prompts(r *wire.Route) *wire.Route {
	r.Prompts, r.PauseObjectiveMs, r.TimeoutMs = true, 300, 3600_000
	return r
}

// gateway is a door with a forwarder behind it that knows some backend servers.
func gateway(c *qt.C, backends ...*backendFake) string {
	address, _ := gatewayAndForwarder(c, backends...)
	return address
}

func gatewayAndForwarder(c *qt.C, backends ...*backendFake) (string, *Forwarder) {
	address, f := newGateway(c, clockwork.NewRealClock())
	f.Apply("controller", firstTable(backends...))
	return address, f
}

// newGateway is a door with a forwarder behind it that has heard from no controller yet.
func newGateway(c *qt.C, clock clockwork.Clock) (string, *Forwarder) {
	log := slog.New(slog.NewTextHandler(c.Output(), nil))
	f := &Forwarder{
		Clock: clock, Log: log, Meter: meter.New("gateway", "test", "z"), Acquire: func([]*wire.Want) {},
		Budget:    Budget{Window: 10 * time.Second, Ratio: 0.2, Slack: 200},
		Regulator: &regulator.Regulator{Clock: clock, Log: log},
		Sender: &sender.Sender{
			Clock: clock, DialTimeout: time.Second, MaxIdle: time.Second,
			OwnAnswer: func(head *framer.ResponseHead, id string) (bool, time.Duration) {
				answer := platform.DecodeAnswer(head)
				return answer.RequestID == id || answer.RequestID == "", answer.IdleTimeout
			},
		},
	}
	f.Init()
	f.Regulator.Init()
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	go f.Run(ctx)
	door := &doorkeeper.Doorkeeper{Clock: clock, Log: log, Address: "127.0.0.1:0", Handle: f.Handle}
	c.Assert(door.Start(), qt.IsNil)
	c.Cleanup(func() { _ = door.Stop(ctx) })
	return door.Addr(), f
}

// got is what a caller received.
type got struct {
	status   int
	header   http.Header
	body     string
	complete bool
	// heads is how many heads of answers came, also inside a body.
	heads int
}

// patience is how long the tests' callers wait.
const patience = 2500 * time.Millisecond

func call(c *qt.C, address, path string, header ...string) got {
	return callFor(c, patience, address, path, header...)
}

// callFor is call for a caller that waits for another time.
func callFor(c *qt.C, patience time.Duration, address, path string, header ...string) got {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	head := "POST " + path + " HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n" + lines(platform.StandInRequest("r1", patience))
	_, err = io.WriteString(conn, head+strings.Join(append(header, ""), "\r\n")+"\r\nhi")
	c.Assert(err, qt.IsNil)
	var raw bytes.Buffer
	received := bufio.NewReader(io.TeeReader(conn, &raw))
	res, err := http.ReadResponse(received, nil)
	if err != nil {
		return got{}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		// What comes behind a broken body is counted too.
		_, _ = io.Copy(io.Discard, received)
	}
	heads := strings.Count(raw.String(), "HTTP/1.1 ")
	return got{status: res.StatusCode, header: res.Header, body: string(body), complete: err == nil, heads: heads}
}

func TestAnswersPassUnchanged(t *testing.T) {
	c := qt.New(t)
	b := newBackend(c, "b1", runsAndAnswers(http.StatusOK, "the body"))
	g := call(c, gateway(c, b), "/once/x%2Fy?q=1", "X-Own: kept", "Connection: X-Hop", "X-Hop: dropped")
	c.Check(g.status, qt.Equals, http.StatusOK)
	c.Check(g.body, qt.Equals, "the body")
	received := platform.DecodeAnswer(&framer.ResponseHead{Status: g.status, Header: fields(g.header)})
	c.Check(received.Signed, qt.IsTrue)
	c.Check(received.RequestID, qt.Equals, "r1")
	sent := b.requests()[0]
	c.Check(sent.RequestURI, qt.Equals, "/once/x%2Fy?q=1")
	c.Check(sent.Method, qt.Equals, "POST")
	c.Check(sent.Header.Get("X-Own"), qt.Equals, "kept")
	c.Check(sent.Header.Get("X-Hop"), qt.Equals, "")
	dispatch := platform.DecodeDispatch(fields(sent.Header))
	c.Check(dispatch.Name, qt.Equals, "b1")
	c.Check(dispatch.Left > 0 && dispatch.Left <= patience, qt.IsTrue)
}

// How often a request may run follows from its route and from what the failure proves.
func TestFailures(t *testing.T) {
	ok := runsAndAnswers(http.StatusOK, "data: ok\n\n")
	for name, test := range map[string]struct {
		path  string
		first handler
		// status and runs are the caller's answer and how often the request ran in all.
		status int
		runs   int32
	}{
		"a lost answer, idempotent":        {"/safe/", runsAndBreaks(""), 200, 2},
		"a lost answer, once":              {"/once/", runsAndBreaks(""), 502, 1},
		"a cut answer, idempotent":         {"/safe/", runsAndBreaks(signed("ID") + "Content-Length: 9\r\n\r\nhalf"), 200, 2},
		"a cut answer, once":               {"/once/", runsAndBreaks(signed("ID") + "Content-Length: 9\r\n\r\nhalf"), 502, 1},
		"no answer in the protocol, once":  {"/once/", runsAndBreaks("rubbish\r\n\r\n"), 502, 1},
		"no signature, once":               {"/once/", runsAndBreaks("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), 502, 1},
		"an encoded body, once":            {"/once/", runsAndBreaks(signed("ID") + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok"), 502, 1},
		"a failure of its own, idempotent": {"/safe/", runsAndAnswers(500, "no"), 200, 2},
		"a failure of its own, once":       {"/once/", runsAndAnswers(500, "no"), 500, 1},
		"full, once":                       {"/once/", refuses(503), 200, 1},
		"another start, once":              {"/once/", refuses(421), 200, 1},
		"a lost stream":                    {"/stream/", runsAndBreaks(""), 502, 1},
		"a lost stream that resumes":       {"/resumable/", runsAndBreaks(""), 200, 2},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			// Both fail their first request, so that it does not matter which one gets it.
			var calls atomic.Int32
			either := func(b *backendFake, req *http.Request, conn net.Conn) bool {
				if calls.Add(1) == 1 {
					return test.first(b, req, conn)
				}
				return ok(b, req, conn)
			}
			b1, b2 := newBackend(c, "b1", either), newBackend(c, "b2", either)
			g := call(c, gateway(c, b1, b2), test.path)
			c.Check(g.status, qt.Equals, test.status)
			c.Check(b1.runs.Load()+b2.runs.Load(), qt.Equals, test.runs)
			if g.status == http.StatusOK {
				c.Check(g.body, qt.Equals, "data: ok\n\n")
			}
		})
	}
}

func TestRefusalsSayWhenToComeBack(t *testing.T) {
	c := qt.New(t)
	full := newBackend(c, "b1", refuses(503))
	for name, address := range map[string]string{"no backend server": gateway(c), "all are full": gateway(c, full)} {
		g := call(c, address, "/once/")
		c.Check(g.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf(name))
		c.Check(platform.ComeBack(fields(g.header)) > 0, qt.IsTrue, qt.Commentf(name))
	}
	c.Check(call(c, gateway(c), "/none/").status, qt.Equals, http.StatusNotFound)
}

// A second answer to the request before it must not be taken for this request's.
func TestAnswersToOthersAreSkipped(t *testing.T) {
	c := qt.New(t)
	b := newBackend(c, "b1", func(b *backendFake, req *http.Request, conn net.Conn) bool {
		b.runs.Add(1)
		_, _ = io.WriteString(conn, signed("another")+"Content-Length: 5\r\n\r\nother")
		answer(conn, http.StatusOK, "own", platform.StandInAnswer(requestID(req), b.id))
		return true
	})
	g := call(c, gateway(c, b), "/once/")
	c.Check(g.body, qt.Equals, "own")
	c.Check(b.runs.Load(), qt.Equals, int32(1))
}

func streamHead() string {
	return signed("ID") + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func TestStreams(t *testing.T) {
	const one, two, three = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	for name, test := range map[string]struct {
		path    string
		written string
		// resumed is what the second run is asked to follow on, "" for no second run.
		resumed  string
		body     string
		complete bool
	}{
		"whole":                      {"/stream/", streamHead() + chunk(one) + chunk(two+three) + "0\r\n\r\n", "", one + two + three, true},
		"in odd pieces":              {"/stream/", streamHead() + chunk(one[:4]) + chunk(one[4:]+two[:3]) + chunk(two[3:]) + "0\r\n\r\n", "", one + two, true},
		"cut between events":         {"/stream/", streamHead() + chunk(one), "", one, false},
		"cut inside an event":        {"/stream/", streamHead() + chunk(one+two[:5]), "", one, false},
		"ended inside an event":      {"/stream/", streamHead() + chunk(one+two[:5]) + "0\r\n\r\n", "", one, false},
		"cut, and goes on elsewhere": {"/resumable/", streamHead() + chunk(one+two[:5]), "1", one + two, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var calls atomic.Int32
			either := func(b *backendFake, req *http.Request, conn net.Conn) bool {
				written := test.written
				if calls.Add(1) == 2 {
					c.Check(platform.DecodeDispatch(fields(req.Header)).Resumes, qt.Equals, test.resumed)
					written = streamHead() + chunk(two) + "0\r\n\r\n"
				}
				return runsAndBreaks(written)(b, req, conn)
			}
			g := call(c, gateway(c, newBackend(c, "b1", either), newBackend(c, "b2", either)), test.path)
			c.Check(g.status, qt.Equals, http.StatusOK)
			c.Check(g.body, qt.Equals, test.body)
			c.Check(g.complete, qt.Equals, test.complete)
			c.Check(calls.Load() == 2, qt.Equals, test.resumed != "")
		})
	}
}

// A caller that leaves ends the run: the connection to the backend server is closed.
func TestLeavingCallerEndsTheRun(t *testing.T) {
	c := qt.New(t)
	began, ended := make(chan struct{}), make(chan struct{})
	b := newBackend(c, "b1", func(_ *backendFake, _ *http.Request, conn net.Conn) bool {
		close(began)
		_, _ = conn.Read(make([]byte, 1))
		close(ended)
		return false
	})
	conn, err := net.Dial("tcp", gateway(c, b))
	c.Assert(err, qt.IsNil)
	_, err = io.WriteString(conn, "POST /once/ HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"+lines(platform.StandInRequest("r", patience))+"\r\n")
	c.Assert(err, qt.IsNil)
	<-began
	c.Assert(conn.Close(), qt.IsNil)
	<-ended
}

// A gateway that stops refuses new requests in time, and ends those that it took.
func TestClosedForwarderRefuses(t *testing.T) {
	c := qt.New(t)
	began, release := make(chan struct{}), make(chan struct{})
	b := newBackend(c, "b1", func(b *backendFake, req *http.Request, conn net.Conn) bool {
		close(began)
		<-release
		answer(conn, http.StatusOK, "done", platform.StandInAnswer(requestID(req), b.id))
		return true
	})
	address, f := gatewayAndForwarder(c, b)
	taken := make(chan got, 1)
	go func() { taken <- call(c, address, "/once/") }()
	<-began
	f.Close()
	refused := call(c, address, "/once/")
	c.Check(refused.status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(platform.ComeBack(fields(refused.header)) > 0, qt.IsTrue)
	close(release)
	c.Check((<-taken).body, qt.Equals, "done")
}

// The repeats of all gateways together stay within the slack, however few a new leader
// has heard of, and before any leader was known.
func TestTheBudgetIsShared(t *testing.T) {
	for name, test := range map[string]struct {
		told []uint32
		most int
	}{
		"nobody was heard":         {nil, 1},
		"ten gateways":             {[]uint32{10}, 9},
		"a new leader knows fewer": {[]uint32{10, 2}, 9},
		"some were added":          {[]uint32{10, 20}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := &Forwarder{
				Clock: clockwork.NewFakeClock(), Log: slog.New(slog.DiscardHandler),
				Budget: Budget{Window: 10 * time.Second, Ratio: 0.2, Slack: 100},
			}
			f.Init()
			for _, n := range test.told {
				f.Apply("controller", &wire.SyncResponse{Leads: true, Gateways: n})
			}
			allowed := 0
			for range 100 {
				if f.mayRepeat("s") {
					allowed++
				}
			}
			c.Check(allowed <= test.most && allowed >= test.most-1, qt.IsTrue, qt.Commentf("%d repeats", allowed))
		})
	}
}
