package app

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/tunneler"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// pipeListener accepts in-memory connections.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1} }

// dial returns the caller's end of a new connection, and the gateway's.
func (l *pipeListener) dial() (caller, gateway net.Conn, err error) {
	ours, theirs := net.Pipe()
	select {
	case l.conns <- theirs:
		return ours, theirs, nil
	case <-l.closed:
		return nil, nil, net.ErrClosed
	}
}

// stopBackend is a backend server on in-memory connections. The target of a request says how long it works.
type stopBackend struct {
	id   string
	mu   sync.Mutex
	runs map[string]int
	// arrivals are when each request arrived last.
	arrivals map[string]time.Time
	// rejections are the requests that were rejected.
	rejections map[string]bool
}

func (b *stopBackend) serve(conn net.Conn) {
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
		id := platform.DecodeRequest(headerFields(req.Header)).ID
		fate := req.URL.Query().Get("fate")
		if fate == rejected && b.takeRejection(id) {
			if !b.reject(conn, id, req.URL.Query()) {
				return
			}
			continue
		}
		b.recordRun(id)
		if fate == broken || !b.answer(conn, id, req.URL.Query()) {
			return
		}
	}
}

// takeRejection reports whether a request is to be rejected: each backend server does so once.
func (b *stopBackend) takeRejection(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	before := b.rejections[id]
	b.rejections[id] = true
	return !before
}

func (b *stopBackend) recordRun(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id]++
	b.arrivals[id] = time.Now()
}

// reject does not run a request, and asks for no more during its work.
func (b *stopBackend) reject(conn net.Conn, id string, query url.Values) bool {
	work, _ := strconv.Atoi(query.Get("work"))
	head := "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
	for _, field := range append(platform.StandInRefusal(id), platform.StandInBackoff(time.Duration(work)*time.Millisecond)) {
		head += field.Name + ": " + field.Value + "\r\n"
	}
	_, err := io.WriteString(conn, head+"\r\n")
	return err == nil
}

// answer works in equal parts: before the answer, or before each event of a stream.
func (b *stopBackend) answer(conn net.Conn, id string, query url.Values) bool {
	work, _ := strconv.Atoi(query.Get("work"))
	events, _ := strconv.Atoi(query.Get("events"))
	part := time.Duration(work) * time.Millisecond / time.Duration(max(1, events))
	time.Sleep(part)
	head := "HTTP/1.1 200 OK\r\n"
	for _, field := range platform.StandInResponse(id, b.id) {
		head += field.Name + ": " + field.Value + "\r\n"
	}
	if events == 0 {
		_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(id), id)
		return err == nil
	}
	_, err := io.WriteString(conn, head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for n := 0; n < events && err == nil; n++ {
		if n > 0 {
			time.Sleep(part)
		}
		event := fmt.Sprintf("id: %d\ndata: x\n\n", n)
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	return err == nil
}

// The fates of requests at backend servers besides being run.
const (
	// rejected requests run once each backend server has rejected them.
	rejected = "rejected"
	broken   = "broken"
)

// stopRequest is one request of a caller, with times in relation to the beginning of the stop.
type stopRequest struct {
	id      string
	kind    string
	timeout time.Duration
	// client is the client timeout; 0 for none.
	client time.Duration
	work   time.Duration
	// fate is what backend servers do with it; empty if they run it.
	fate string
	// connectAt is when its connection is opened, sendAt when its head is sent, and bodyTime how long its body takes.
	connectAt, sendAt, bodyTime time.Duration

	// sent is set once a byte was taken by the gateway, and whole once all were.
	sent, whole atomic.Bool
	// status is 0 without an answer; complete is set if the answer was.
	status     int
	complete   bool
	retryAfter string
	answeredAt time.Duration
}

func (q *stopRequest) String() string {
	return fmt.Sprintf("%s: timeout %v, client %v, work %v %s, connected at %v, sent at %v, body takes %v: status %d, complete %t, at %v",
		q.id, q.timeout, q.client, q.work, q.fate, q.connectAt, q.sendAt, q.bodyTime, q.status, q.complete, q.answeredAt)
}

// deadline is when the request ends at the latest, by its route and by its caller.
func (q *stopRequest) deadline() time.Duration {
	return q.sendAt + min(q.timeout, cmp.Or(q.client, q.timeout))
}

const (
	stopGrace = 8 * time.Second
	stopTake  = 2800 * time.Millisecond
	stopDrain = 4 * time.Second
	// killAfter is when the process is killed.
	killAfter = stopGrace
	// stopLead is how long a gateway runs before it stops: longer than the window of its retry budget, without which it
	// allows no retries.
	stopLead = 15 * time.Second
)

// stopTimeouts are the timeouts of routes.
var stopTimeouts = []time.Duration{time.Second, 3 * time.Second, 8 * time.Second, 30 * time.Second}

// stopKinds are the kinds of routes.
var stopKinds = map[string]*wire.Route{
	"once":      {Repetition: wire.Repetition_REPETITION_ONCE, MaxAttempts: 1},
	"safe":      {Repetition: wire.Repetition_REPETITION_IDEMPOTENT, MaxAttempts: 2},
	"stream":    {Repetition: wire.Repetition_REPETITION_STREAM, MaxAttempts: 1},
	"resumable": {Repetition: wire.Repetition_REPETITION_STREAM, MaxAttempts: 2, Resumable: true},
}

// stopSite is one gateway in virtual time that is about to stop, its backend servers and its callers.
type stopSite struct {
	c        *qt.C
	gateway  *Routed
	listener *pipeListener
	backends []*stopBackend
	// began is when the stop begins.
	began time.Time

	mu    sync.Mutex
	conns []net.Conn
}

// startStopSite starts a gateway whose stop begins later by lead. Each of its backend servers has some slots.
func startStopSite(ctx context.Context, c *qt.C, m *meter.Meter, lead time.Duration, slots int) *stopSite {
	y := &stopSite{c: c, listener: newPipeListener(), began: time.Now().Add(lead)}
	table := &wire.RoutingTable{Version: 1, Services: []*wire.RoutedService{{Name: "s"}}}
	for kind, route := range stopKinds {
		for _, timeout := range stopTimeouts {
			name := fmt.Sprintf("%s-%d", kind, timeout.Milliseconds())
			table.Routes = append(table.Routes, &wire.Route{
				Name: name, Host: "h", PathPrefix: "/" + name + "/", TimeoutMs: uint32(timeout.Milliseconds()), ObjectiveMs: 500,
				Repetition: route.Repetition, MaxAttempts: route.MaxAttempts, Resumable: route.Resumable,
				Shares: []*wire.Share{{Service: "s", Weight: 1}},
			})
		}
	}
	state := &wire.SyncResponse{
		Epoch: 1, Leads: true, Term: 1, HasLoads: true, Gateways: 1, GatewaysRevision: 1, TableVersion: 1, Table: table,
	}
	byAddress := map[string]*stopBackend{}
	for i := range 2 {
		b := &stopBackend{id: fmt.Sprintf("b%d", i), runs: map[string]int{}, arrivals: map[string]time.Time{}, rejections: map[string]bool{}}
		address := fmt.Sprintf("127.0.0.%d:1", 2+i)
		y.backends, byAddress[address] = append(y.backends, b), b
		state.Announcements = append(state.Announcements, &wire.Announcement{
			Id: b.id, Name: b.id, Service: "s", Address: address, Zone: "z", Slots: uint32(slots), Sequence: 1,
		})
	}
	settings := RoutedDefaults()
	settings.Instance.Name, settings.Instance.Zone = "g", "z"
	settings.Instance.Listen, settings.Controllers.Port = "127.0.0.1:1", 2
	settings.Stop.Grace, settings.Stop.Take, settings.Stop.Drain = stopGrace, stopTake, stopDrain
	y.gateway = &Routed{
		Settings: settings, Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), meter: m,
		DialContext: func(_ context.Context, _, address string) (net.Conn, error) {
			ours, theirs := net.Pipe()
			y.mu.Lock()
			y.conns = append(y.conns, theirs)
			y.mu.Unlock()
			go byAddress[address].serve(theirs)
			return ours, nil
		},
	}
	y.gateway.build()
	y.gateway.frontend.Listen = func(context.Context, string) (net.Listener, error) { return y.listener, nil }
	y.gateway.forwarder.Apply("controller", state)
	go y.gateway.forwarder.Run(ctx)
	c.Assert(y.gateway.frontend.Start(), qt.IsNil)
	return y
}

// now returns the time in relation to the beginning of the stop.
func (y *stopSite) now() time.Duration { return time.Since(y.began) }

func (y *stopSite) sleepUntil(at time.Duration) { time.Sleep(time.Until(y.began.Add(at))) }

// stop stops the gateway, and ends its connections once the process would have ended. It returns when that was.
func (y *stopSite) stop() time.Duration {
	y.sleepUntil(0)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = y.gateway.stop()
	}()
	select {
	case <-stopped:
	case <-time.After(killAfter):
	}
	ended := y.now()
	_ = y.listener.Close()
	y.mu.Lock()
	defer y.mu.Unlock()
	for _, c := range y.conns {
		_ = c.Close()
	}
	return ended
}

// call sends a request and records its answer.
func (y *stopSite) call(q *stopRequest) {
	y.sleepUntil(q.connectAt)
	conn, gateway, err := y.listener.dial()
	if err != nil {
		return
	}
	y.mu.Lock()
	y.conns = append(y.conns, gateway)
	y.mu.Unlock()
	defer func() { _ = conn.Close() }()
	y.sleepUntil(q.sendAt)
	go q.write(conn)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	q.answeredAt = y.now()
	if err != nil {
		return
	}
	q.status, q.retryAfter = res.StatusCode, res.Header.Get("Retry-After")
	_, err = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	q.complete, q.answeredAt = err == nil, y.now()
}

// write sends a request, with a body that takes bodyTime to send.
func (q *stopRequest) write(conn net.Conn) {
	target := fmt.Sprintf("/%s-%d/?work=%d&fate=%s", q.kind, q.timeout.Milliseconds(), q.work.Milliseconds(), q.fate)
	if stopKinds[q.kind].Repetition == wire.Repetition_REPETITION_STREAM {
		target += "&events=4"
	}
	const parts = 5
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n", target, parts)
	for _, field := range platform.StandInRequest(q.id, q.client) {
		if q.client > 0 || !strings.Contains(field.Name, "Timeout") {
			head += field.Name + ": " + field.Value + "\r\n"
		}
	}
	head += "\r\n"
	if q.bodyTime == 0 {
		head += strings.Repeat("x", parts)
	}
	n, err := io.WriteString(conn, head)
	q.sent.Store(n > 0)
	for i := 0; q.bodyTime > 0 && i < parts && err == nil; i++ {
		time.Sleep(q.bodyTime / parts)
		_, err = io.WriteString(conn, "x")
	}
	q.whole.Store(err == nil)
}

// runs returns how often a request ran.
func (y *stopSite) runs(id string) int {
	n := 0
	for _, b := range y.backends {
		b.mu.Lock()
		n += b.runs[id]
		b.mu.Unlock()
	}
	return n
}

// stopDraws are what callers do besides sending ordinary requests on new connections.
type stopDraws struct {
	// slowBodies lets some bodies arrive slowly, and kept some connections be opened before they are used.
	slowBodies, kept bool
	// faults lets backend servers reject some requests, and lose some answers.
	faults bool
}

// ranAt returns when a request arrived at a backend server, or false if it did not.
func (y *stopSite) ranAt(id string) (at time.Duration, ran bool) {
	for _, b := range y.backends {
		b.mu.Lock()
		if arrival, ok := b.arrivals[id]; ok {
			at, ran = arrival.Sub(y.began), true
		}
		b.mu.Unlock()
	}
	return at, ran
}

// drawStopRequests draws the requests of callers around a stop.
func drawStopRequests(r *rand.Rand, n int, draws stopDraws) []*stopRequest {
	between := func(from, to time.Duration) time.Duration {
		return (from + time.Duration(r.Int64N(int64(to-from)))).Truncate(time.Millisecond)
	}
	list := make([]*stopRequest, n)
	for i := range list {
		q := &stopRequest{
			kind: []string{"once", "safe", "stream", "resumable"}[r.IntN(4)], timeout: stopTimeouts[r.IntN(len(stopTimeouts))],
			client: []time.Duration{time.Second, 2500 * time.Millisecond, 6 * time.Second, 20 * time.Second}[r.IntN(4)],
			sendAt: between(-4*time.Second, killAfter+time.Second), work: between(time.Millisecond, 300*time.Millisecond),
		}
		q.id = fmt.Sprintf("%s%d", q.kind, i)
		if r.IntN(3) == 0 {
			q.work = between(time.Millisecond, 12*time.Second)
		}
		q.connectAt = q.sendAt
		if draws.kept && r.IntN(3) == 0 {
			q.connectAt = between(-5*time.Second, q.sendAt+time.Millisecond)
		}
		if draws.slowBodies && r.IntN(3) == 0 {
			q.bodyTime = between(time.Millisecond, 9*time.Second)
		}
		if draws.faults {
			q.fate = []string{"", "", "", "", "", "", "", rejected, rejected, broken}[r.IntN(10)]
		}
		list[i] = q
	}
	return list
}

// check checks the answer to a request by what happened to it.
func (y *stopSite) check(q *stopRequest, ended time.Duration) error {
	runs := y.runs(q.id)
	switch {
	case (q.kind == "once" || q.kind == "stream") && runs > 1:
		return errors.New("it ran more than once")
	case q.status == 0 && q.sent.Load():
		return errors.New("it was read and got no answer")
	case q.status == 0 && q.connectAt < stopDrain && q.sendAt < ended:
		return errors.New("its connection was closed before the process ended")
	case q.status == 0:
	case q.status == http.StatusServiceUnavailable && runs > 0:
		return errors.New("it was refused and had run")
	case q.status == http.StatusServiceUnavailable && q.retryAfter == "":
		return errors.New("it was refused without saying when to come back")
	case q.status == http.StatusOK && !q.complete && runs == 0:
		return errors.New("it has begun and did not run")
	case q.status != http.StatusOK && !q.complete:
		return errors.New("its answer is incomplete")
	case q.status == http.StatusOK && !q.complete && q.kind != "stream" && q.kind != "resumable":
		return errors.New("its answer was cut")
	}
	return nil
}

// callAround lets callers send requests around a stop, and returns when the gateway has stopped.
func (y *stopSite) callAround(list []*stopRequest) (ended time.Duration) {
	var callers sync.WaitGroup
	for _, q := range list {
		callers.Go(func() { y.call(q) })
	}
	ended = y.stop()
	callers.Wait()
	// Backend servers end their work.
	time.Sleep(time.Minute)
	return ended
}

// stopSeries checks the answers of seeded series of requests around a stop.
func stopSeries(t *testing.T, draws stopDraws, check func(y *stopSite, q *stopRequest) error) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			// Its reports run outside of the bubble.
			m := meter.New("gateway", "g", "z")
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				r := rand.New(rand.NewPCG(seed, 1))
				ctx, cancel := context.WithCancel(context.Background())
				y := startStopSite(ctx, c, m, stopLead, 3+r.IntN(30))
				list := drawStopRequests(r, 150, draws)
				ended := y.callAround(list)
				statuses := map[int]int{}
				for _, q := range list {
					statuses[q.status]++
					err := y.check(q, ended)
					if err == nil && check != nil {
						err = check(y, q)
					}
					if err != nil {
						c.Errorf("%v: %v", q, err)
					}
				}
				c.Check(ended < killAfter, qt.IsTrue, qt.Commentf("ended at %v", ended))
				c.Logf("ended at %v, statuses %v", ended, statuses)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Requests that still ran at the end of a stop were cut by the end of the process, with no answer.
func TestRequestsAtTheEndOfAStopAreAnswered(t *testing.T) { stopSeries(t, stopDraws{}, nil) }

// Requests whose bodies were still arriving at the end of a stop were cut by the end of the process, and bodies that came
// after new requests were refused were waited for.
func TestSlowBodiesDuringAStopAreAnswered(t *testing.T) {
	stopSeries(t, stopDraws{slowBodies: true}, func(_ *stopSite, q *stopRequest) error {
		refused := max(stopTake, q.sendAt)
		if q.bodyTime > 0 && q.sendAt+q.bodyTime > refused && q.status == http.StatusServiceUnavailable && q.answeredAt > refused {
			return errors.New("it was refused late")
		}
		return nil
	})
}

// Connections that callers kept open were closed at the end of Drain, while the process went on for seconds: a request
// that met the closing got no answer, and the caller could not tell whether it ran.
func TestKeptConnectionsAreUsableUntilTheEndOfAStop(t *testing.T) {
	stopSeries(t, stopDraws{slowBodies: true, kept: true}, nil)
}

// Requests that may not be repeated were sent to backend servers although they could run beyond the end of a stop, and
// their answers were lost there: nobody knew whether they ran.
func TestRequestsThatMayOutliveAStopAreRefusedAtOnce(t *testing.T) {
	stopSeries(t, stopDraws{slowBodies: true, kept: true}, mayNotOutlive)
}

// mayNotOutlive checks that a request that may not be repeated was not sent during a stop if it could outlive it.
func mayNotOutlive(y *stopSite, q *stopRequest) error {
	if q.kind != "once" && q.kind != "stream" || q.deadline() <= stopGrace-stopMargin {
		return nil
	}
	at, ran := y.ranAt(q.id)
	decidable := max(0, q.sendAt+q.bodyTime)
	switch {
	case ran && at > 0:
		return fmt.Errorf("it was sent at %v", at)
	case !ran && q.status == http.StatusServiceUnavailable && q.answeredAt > decidable:
		return errors.New("it was refused late")
	}
	return nil
}

// A request that waited for a backend server when a stop began was sent to one shortly before its end.
func TestWaitingRequestsThatMayOutliveAStopAreRefusedAtOnce(t *testing.T) {
	m := meter.New("gateway", "g", "z")
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		y := startStopSite(ctx, c, m, 6*time.Second, 16)
		request := func(id, kind string, timeout time.Duration) *stopRequest {
			return &stopRequest{
				id: id, kind: kind, timeout: timeout, client: 20 * time.Second, work: 100 * time.Millisecond,
				connectAt: -time.Second, sendAt: -time.Second,
			}
		}
		y.sleepUntil(-2 * time.Second)
		for _, b := range y.backends {
			// It asked for no requests until a second after the stop has begun.
			y.gateway.tunneler.BackOff(b.id, 3*time.Second)
		}
		long := request("long", "once", 30*time.Second)
		short := request("short", "once", 8*time.Second)
		repeatable := request("repeatable", "safe", 30*time.Second)
		y.callAround([]*stopRequest{long, short, repeatable})
		c.Check(long.status, qt.Equals, http.StatusServiceUnavailable)
		c.Check(long.answeredAt, qt.Equals, time.Duration(0))
		c.Check(y.runs(long.id), qt.Equals, 0)
		for _, q := range []*stopRequest{short, repeatable} {
			c.Check(q.status, qt.Equals, http.StatusOK, qt.Commentf("%v", q))
		}
		cancel()
		synctest.Wait()
	})
}

// A stopping gateway opened tunnels for other gateways until Drain, although it took no requests of its own callers after
// Take: those that were sent through the tunnels had less time to end before the process did.
func TestTunnelsDuringAStopAreRefusedWithNewRequests(t *testing.T) {
	m := meter.New("gateway", "g", "z")
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		y := startStopSite(ctx, c, m, time.Second, 16)
		server := &tunneler.Server{Tunneler: y.gateway.tunneler}
		reach := func() wire.Reach {
			a := y.backends[0]
			address, _ := y.gateway.tunneler.Resolve(a.id)
			res, err := server.Check(ctx, &wire.CheckRequest{Backend: a.id, Address: address})
			c.Assert(err, qt.IsNil)
			return res.GetReach()
		}
		var stopped sync.WaitGroup
		stopped.Go(func() { y.stop() })
		y.sleepUntil(stopTake - 100*time.Millisecond)
		c.Check(reach(), qt.Equals, wire.Reach_REACH_CONNECTED)
		y.sleepUntil(stopTake + 100*time.Millisecond)
		c.Check(reach(), qt.Equals, wire.Reach_REACH_UNKNOWN)
		stopped.Wait()
		cancel()
		synctest.Wait()
	})
}

// Requests that wait as backend servers have rejected others, and those whose answers were lost, are answered as truly as
// without a stop.
func TestAnswersDuringAStopAreTrueWithFaults(t *testing.T) {
	stopSeries(t, stopDraws{slowBodies: true, kept: true, faults: true}, mayNotOutlive)
}
