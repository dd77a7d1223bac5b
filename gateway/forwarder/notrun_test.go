package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/acceptor"
	"bronzelead.example/gateway/granter"
	"bronzelead.example/gateway/isolator"
	"bronzelead.example/gateway/regulator"
	"bronzelead.example/gateway/sender"
	"bronzelead.example/pkg/framer"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

var (
	seriesSeeds = flag.Int("series.seeds", 12, "number of drawn series")
	seriesFirst = flag.Int("series.first", 0, "seed of the first series")
)

const (
	maxSeriesGateways = 9
	seriesCallers     = 16
	seriesRequests    = 10
	// longBody is longer than what is written together with the head.
	longBody = 40 << 10
	// seriesEnd is longer than any freeze: after it no request is left in a buffer.
	seriesEnd = 4 * time.Second
)

// A request ran twice, or ran although its caller got an answer which promises that it never does. One statement is checked
// against what ran, over rejections, second copies of answers, connections that break after any byte, early answers to long
// bodies, frozen and restarted backend servers, short deadlines and callers that leave.
func TestRefusedRequestsNeverRun(t *testing.T) {
	playSeries(t, map[string]seriesKind{
		"several backend servers": {maxBackends: 4, maxRejects: 70, maxCopies: 40},
		"one backend server":      {maxBackends: 1, maxRejects: 60, minRejects: 30, maxCopies: 60, minCopies: 40},
	})
}

// An answer without the request's id, with the signature of a run, or with nothing but its status passed for the statement
// that the request did not run.
func TestOnlyRejectionsProveThatRequestsDidNotRun(t *testing.T) {
	playSeries(t, map[string]seriesKind{
		"several backend servers": {maxBackends: 4, maxRejects: 70, maxCopies: 40, maxUnproved: 20},
	})
}

func playSeries(t *testing.T, kinds map[string]seriesKind) {
	t.Helper()
	// The runtime lets several threads run the timers of a bubble in one context of the race detector, which crashes.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for name, kind := range kinds {
		for seed := *seriesFirst; seed < *seriesFirst+*seriesSeeds; seed++ {
			t.Run(fmt.Sprintf("%s, seed %d", name, seed), func(t *testing.T) {
				// Meters have goroutines of their own, outside of the bubble.
				meters := make([]*meter.Meter, maxSeriesGateways)
				for g := range meters {
					meters[g] = meter.New("gateway", fmt.Sprint(g), "z")
				}
				synctest.Test(t, func(t *testing.T) {
					s := newSeries(newSimNetwork(uint64(seed)), meters, kind)
					s.check(qt.New(t), s.play(t))
				})
			})
		}
	}
}

// seriesKind bounds what is drawn for a series, in percent but for the number of backend servers.
type seriesKind struct {
	maxBackends            int
	minRejects, maxRejects int
	minCopies, maxCopies   int
	maxUnproved            int
}

// series is one drawn series.
type series struct {
	network  *simNetwork
	meters   []*meter.Meter
	gateways []*simHost
	forwards []*Forwarder
	backends []*seriesBackend

	mu sync.Mutex
	// ran counts the runs of each request.
	ran map[string]int
	// kinds counts what backend servers did.
	kinds map[string]int
	log   bytes.Buffer
}

func newSeries(network *simNetwork, meters []*meter.Meter, kind seriesKind) *series {
	s := &series{network: network, meters: meters, ran: map[string]int{}, kinds: map[string]int{}}
	for g := range []int{1, 3, maxSeriesGateways}[network.draw(3)] {
		s.gateways = append(s.gateways, network.add(fmt.Sprintf("gateway-%d", g)))
	}
	for b := range 1 + network.draw(kind.maxBackends) {
		host := network.add(fmt.Sprintf("backend-%d", b))
		host.breakOneIn = []int{0, 0, 20}[network.draw(3)]
		s.backends = append(s.backends, &seriesBackend{
			series: s, host: host, incarnation: 1, unproved: network.draw(kind.maxUnproved + 1),
			rejects: kind.minRejects + network.draw(kind.maxRejects-kind.minRejects), copies: kind.minCopies + network.draw(kind.maxCopies-kind.minCopies),
			breaks: network.draw(15), freezes: network.draw(3) == 0, restarts: network.draw(3) == 0,
		})
	}
	return s
}

// play returns the statuses that callers got by request, 0 for none.
func (s *series) play(t *testing.T) map[string]int {
	ctx, cancel := context.WithCancel(context.Background())
	var processes sync.WaitGroup
	for g := range s.gateways {
		s.startGateway(ctx, t, &processes, g)
	}
	for _, b := range s.backends {
		processes.Go(func() { b.accept(&processes) })
		processes.Go(func() { b.disturb(ctx) })
	}
	statuses := map[string]int{}
	var callers sync.WaitGroup
	for k := range seriesCallers {
		callers.Go(func() { s.callSeveral(k, statuses) })
	}
	callers.Wait()
	<-time.After(seriesEnd)
	cancel()
	for _, b := range s.backends {
		_ = b.host.Close()
		b.host.resetAll()
	}
	processes.Wait()
	// What is still on its way arrives before the bubble ends.
	<-time.After(time.Second)
	return statuses
}

func (s *series) check(c *qt.C, statuses map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	served, refused := 0, 0
	for id, status := range statuses {
		if s.ran[id] > 1 {
			c.Errorf("%s ran %d times, its caller got %d", id, s.ran[id], status)
		}
		if platform.PromisesNotRun(status) {
			refused++
			if s.ran[id] > 0 {
				c.Errorf("%s ran, its caller got %d", id, status)
			}
		}
		if status == http.StatusOK {
			served++
			c.Check(s.ran[id], qt.Equals, 1, qt.Commentf("%s was served", id))
		}
	}
	c.Logf("%d gateways, %d backend servers, %d requests: %d served, %d refused, %v", len(s.gateways), len(s.backends), len(statuses), served, refused, s.kinds)
	c.Check(served > 0, qt.IsTrue)
	if c.Failed() {
		c.Logf("%s", s.log.String())
	}
}

func (s *series) startGateway(ctx context.Context, t *testing.T, processes *sync.WaitGroup, g int) {
	clock, host := clockwork.NewRealClock(), s.gateways[g]
	log := slog.New(slog.NewTextHandler(&lockedWriter{mu: &s.mu, out: &s.log}, nil)).With("Gateway", g)
	f := &Forwarder{
		Clock: clock, Log: log, Meter: s.meters[g], RequestAdapters: func([]*wire.Want) {},
		Budget:    RetryBudget{Window: 10 * time.Second, Ratio: 2, Slack: 10_000},
		Regulator: &regulator.Regulator{Clock: clock, Log: log, Meter: s.meters[g]},
		Granter:   &granter.Granter{Clock: clock, Log: log, Meter: s.meters[g]},
		Isolator:  &isolator.Isolator{Clock: clock, Log: log},
		Sender: &sender.Sender{
			Clock: clock, DialTimeout: time.Second, MaxIdle: 5 * time.Second, DialContext: host.dial,
			IsOwnResponse: func(head *framer.ResponseHead, id string) (bool, time.Duration) {
				answer := platform.DecodeResponse(head)
				return answer.RequestID == id || answer.RequestID == "", answer.IdleTimeout
			},
		},
	}
	f.Regulator.Init()
	f.Granter.Init()
	f.Init()
	f.endFirstWindow()
	res := &wire.SyncResponse{Table: testTable(), TableVersion: 3, Leads: true, Term: 1, Gateways: uint32(len(s.gateways))}
	for _, b := range s.backends {
		res.Announcements = append(res.Announcements, b.announcement(b.latest()))
	}
	f.Apply("controller", res)
	f.endGatewayCountDelay()
	s.forwards = append(s.forwards, f)
	frontend := &acceptor.Acceptor{
		Clock: clock, Log: log, Handle: f.Handle, CheckHead: f.CheckHead,
		Listen: func(context.Context, string) (net.Listener, error) { return host, nil },
	}
	if err := frontend.Start(); err != nil {
		t.Fatal(err)
	}
	processes.Go(func() { f.Run(ctx) })
	processes.Go(func() {
		<-ctx.Done()
		_ = frontend.Stop(context.Background())
		f.Sender.CloseExpired()
		for _, b := range s.backends {
			for incarnation := range b.latest() + 1 {
				f.Sender.CloseAll(b.id(incarnation))
			}
		}
	})
}

// lockedWriter writes what several gateways log.
type lockedWriter struct {
	mu  *sync.Mutex
	out io.Writer
}

func (w *lockedWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(b)
}

// callSeveral sends a caller's requests one after the other, each to a drawn gateway.
func (s *series) callSeveral(k int, statuses map[string]int) {
	host := s.network.add(fmt.Sprintf("caller-%d", k))
	for n := range seriesRequests {
		id := fmt.Sprintf("%d-%d", k, n)
		status := s.callOnce(host, id)
		s.mu.Lock()
		statuses[id] = status
		s.mu.Unlock()
		<-time.After(time.Duration(s.network.draw(50)) * time.Millisecond)
	}
}

func (s *series) callOnce(host *simHost, id string) int {
	draw := s.network.draw
	conn, err := host.dial(context.Background(), "tcp", s.gateways[draw(len(s.gateways))].address)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	timeout := []time.Duration{20 * time.Millisecond, 120 * time.Millisecond, time.Second, 2500 * time.Millisecond}[draw(4)]
	body := strings.Repeat("b", []int{2, 2, 2, longBody}[draw(4)])
	path := []string{"/once/a", "/once/a", "/stream/a"}[draw(3)]
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n", path, len(body)) + lines(platform.StandInRequest(id, timeout))
	if _, err := io.WriteString(conn, head+"\r\n"+body); err != nil {
		return 0
	}
	// Most callers wait longer than they have told, so that they see the answer at the deadline.
	patience := 5 * time.Second
	if draw(10) == 0 {
		patience = time.Duration(draw(60)) * time.Millisecond
	}
	_ = conn.SetReadDeadline(time.Now().Add(patience))
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}

// seriesBackend is a backend server of a series. Percentages say how often it does what.
type seriesBackend struct {
	series *series
	host   *simHost
	// rejects is the percentage of rejections, copies that of answers that it sends once more, unproved that of answers
	// that prove nothing, and breaks that of connections which it ends after a run.
	rejects, copies, unproved, breaks int
	freezes, restarts                 bool

	mu          sync.Mutex
	incarnation int
}

func (b *seriesBackend) id(incarnation int) string {
	return fmt.Sprintf("%s#%d", b.host.address, incarnation)
}

func (b *seriesBackend) announcement(incarnation int) *wire.Announcement {
	return &wire.Announcement{
		Id: b.id(incarnation), Name: b.id(incarnation), Service: "s", Address: b.host.address, Slots: 64, Sequence: uint64(incarnation),
	}
}

func (b *seriesBackend) latest() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.incarnation
}

// disturb freezes and restarts the backend server in series.
func (b *seriesBackend) disturb(ctx context.Context) {
	draw := b.series.network.draw
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(20+draw(400)) * time.Millisecond):
		}
		switch {
		case b.freezes && draw(2) == 0:
			b.host.freeze(time.Duration(1+draw(3000)) * time.Millisecond)
		case b.restarts:
			b.restart()
		}
	}
}

// restart ends the incarnation. Gateways learn of the next one later, each at its own time.
func (b *seriesBackend) restart() {
	b.mu.Lock()
	before := b.incarnation
	b.incarnation++
	b.mu.Unlock()
	b.host.resetAll()
	gone := b.announcement(before)
	gone.Replaced = true
	gone.Sequence = uint64(before + 1)
	for _, f := range b.series.forwards {
		delay := time.Duration(b.series.network.draw(100)) * time.Millisecond
		time.AfterFunc(delay, func() {
			f.Apply("controller", &wire.SyncResponse{Announcements: []*wire.Announcement{gone, b.announcement(before + 1)}})
		})
	}
}

func (b *seriesBackend) accept(processes *sync.WaitGroup) {
	for {
		conn, err := b.host.Accept()
		if err != nil {
			return
		}
		processes.Go(func() { b.serve(conn) })
	}
}

func (b *seriesBackend) serve(conn net.Conn) {
	incarnation := b.id(b.latest())
	answers := &answerWriter{turn: make(chan struct{}, 1), conn: conn}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !b.handle(req, incarnation, answers) {
			return
		}
	}
}

// answerWriter sends whole answers in turn. It is no mutex that it holds meanwhile: time stands still in a bubble while one
// is waited for.
type answerWriter struct {
	turn chan struct{}
	conn net.Conn
}

func (w *answerWriter) send(text string) {
	w.turn <- struct{}{}
	_, _ = io.WriteString(w.conn, text)
	<-w.turn
}

func (b *seriesBackend) count(kind string) {
	b.series.mu.Lock()
	defer b.series.mu.Unlock()
	b.series.kinds[kind]++
}

// handle answers a request, and reports whether the connection stays open.
func (b *seriesBackend) handle(req *http.Request, incarnation string, out *answerWriter) bool {
	draw, id := b.series.network.draw, requestID(req)
	rejection := func(status int) string { return plainAnswer(status, platform.StandInRefusal(id)) }
	if req.ContentLength > int64(longBody)/2 && draw(100) < b.rejects {
		b.count("rejected early")
		out.send(rejection(http.StatusServiceUnavailable))
		_, err := io.Copy(io.Discard, req.Body)
		return err == nil
	}
	if req.ContentLength > int64(longBody)/2 && draw(4) == 0 && platform.DecodeDispatch(fields(req.Header)).Name == incarnation {
		b.count("ran before its body")
		b.run(id)
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return false
		}
		b.sendWithCopies(out, seriesAnswer(req, id))
		return true
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	if expected := platform.DecodeDispatch(fields(req.Header)).Name; expected != incarnation {
		b.count("misdirected")
		out.send(plainAnswer(http.StatusMisdirectedRequest, framer.Header{platform.StandInRefusal(id)[0]}))
		return true
	}
	if draw(100) < b.rejects {
		b.count("rejected")
		b.sendWithCopies(out, rejection([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[draw(2)]))
		return true
	}
	if draw(100) < b.unproved {
		return b.answerUnproved(req, id, out)
	}
	b.run(id)
	if draw(100) < b.breaks {
		b.count("broke after the run")
		out.send(seriesAnswer(req, id)[:draw(40)])
		return false
	}
	b.sendWithCopies(out, seriesAnswer(req, id))
	return true
}

// answerUnproved runs a request and gives an answer that does not prove whether it ran.
func (b *seriesBackend) answerUnproved(req *http.Request, id string, out *answerWriter) bool {
	draw := b.series.network.draw
	promises := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout}
	b.run(id)
	switch draw(5) {
	case 4:
		b.count("success with the marker")
		out.send(plainAnswer(http.StatusOK, platform.StandInRefusal(id)))
	case 0:
		b.count("failed with a status that promises")
		out.send(plainAnswer(promises[draw(len(promises))], platform.StandInResponse(id, "x")))
	case 1:
		b.count("rejection without an id first")
		out.send(plainAnswer(promises[draw(2)], platform.StandInRefusal(id)[1:]) + seriesAnswer(req, id))
	case 2:
		b.count("signed rejection")
		header := append(platform.StandInResponse(id, "x"), platform.StandInRefusal(id)[1])
		out.send(plainAnswer(promises[draw(2)], header))
	default:
		b.count("unsigned failure with a status that promises")
		out.send(plainAnswer(promises[draw(len(promises))], platform.StandInRefusal(id)[:1]))
	}
	return true
}

// run runs a request.
func (b *seriesBackend) run(id string) {
	b.series.mu.Lock()
	b.series.ran[id]++
	b.series.mu.Unlock()
	<-time.After(time.Duration(1+b.series.network.draw(30)) * time.Millisecond)
}

// sendWithCopies sends an answer, and a part of the answers once more later.
func (b *seriesBackend) sendWithCopies(out *answerWriter, text string) {
	out.send(text)
	if b.series.network.draw(100) < b.copies {
		b.count("sent once more")
		time.AfterFunc(time.Duration(b.series.network.draw(60_000))*time.Microsecond, func() { out.send(text) })
	}
}

func plainAnswer(status int, header framer.Header) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 0\r\n%s\r\n", status, lines(header))
}

// seriesAnswer returns the answer to a request that ran.
func seriesAnswer(req *http.Request, id string) string {
	head := "HTTP/1.1 200 OK\r\n" + lines(platform.StandInResponse(id, "x"))
	if !strings.HasPrefix(req.URL.Path, "/stream/") {
		return head + "Content-Length: 2\r\n\r\nok"
	}
	event := "id: 1\ndata: x\n\n"
	return head + fmt.Sprintf("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(event), event)
}
