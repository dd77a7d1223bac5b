package tunneler

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/sender"
	"bronzelead.example/pkg/framer"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/wire"
)

const (
	seriesCallers  = 6
	seriesRequests = 40
	seriesSends    = 4
	seriesSeeds    = 24
	// seriesRest is the time after the end in which nothing may run that was refused: longer than the kernel's and the
	// tunnels' time-outs, except that of idle ones.
	seriesRest = 30 * time.Second
)

// outcome is what a caller is told.
type outcome int

const (
	unknown outcome = iota
	refused
	answered
)

// series is one drawn series: a gateway, relaying gateways, backend servers, and what happens to them.
type series struct {
	net     *network
	meter   *meter.Meter
	gateway *process
	sender  *sender.Sender
	tunnels *Tunneler
	relays  []string
	servers []string
	// detoured are the backend servers that the gateway takes for unreachable.
	detoured map[string]*atomic.Bool
	ended    chan struct{}
	serving  sync.WaitGroup

	mu        sync.Mutex
	processes map[string]*process
	tunneling map[string]*Tunneler
	// seen counts the heads of attempts that backend servers have read, and ran the attempts that ran.
	seen, ran map[attemptKey]int
	outcomes  map[string]outcome
	// notRun holds the attempts of which the gateway said that they did not run, and why.
	notRun map[attemptKey]string
	faults []string
	counts map[string]int
}

type attemptKey struct {
	id string
	n  int
}

// A request that its gateway reports as not run must not run later, and one that may run once must not run twice, whatever
// happens to the tunnels that it goes through.
func TestRequestsThroughTunnelsRunAsReported(t *testing.T) {
	seeds := uint64(seriesSeeds)
	first := uint64(0)
	if s := os.Getenv("TUNNEL_SERIES"); s != "" {
		_, err := fmt.Sscanf(s, "%d,%d", &first, &seeds)
		qt.Assert(t, err, qt.IsNil)
	}
	totals := map[string]int{}
	m := meter.New("gateway", "test", "z")
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSeries(seed, m)
				s.play(seed)
				s.check(qt.New(t))
				for name, n := range s.counts {
					totals[name] += n
				}
			})
		})
	}
	t.Logf("%v", totals)
	// The series must reach what it is about.
	for _, name := range []string{"answers through tunnels", "lost", "not sent", "ran after the caller was told", "rejected", "stops", "withdrawn"} {
		qt.Check(t, totals[name] > 0, qt.IsTrue, qt.Commentf(name))
	}
}

func newSeries(seed uint64, m *meter.Meter) *series {
	random := rand.New(rand.NewPCG(seed, 7))
	s := &series{
		net: newNetwork(random), meter: m, detoured: map[string]*atomic.Bool{}, ended: make(chan struct{}),
		processes: map[string]*process{}, tunneling: map[string]*Tunneler{}, seen: map[attemptKey]int{}, ran: map[attemptKey]int{},
		outcomes: map[string]outcome{}, notRun: map[attemptKey]string{}, counts: map[string]int{},
	}
	s.net.breakPercent = random.IntN(25)
	for k := range 1 + random.IntN(3) {
		s.relays = append(s.relays, "relay-"+strconv.Itoa(k))
	}
	for k := range 1 + random.IntN(3) {
		name := "server-" + strconv.Itoa(k)
		s.servers = append(s.servers, name)
		s.detoured[name] = &atomic.Bool{}
	}
	return s
}

func (s *series) count(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[name]++
}

func (s *series) fault(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, fmt.Sprintf(format, args...))
}

func (s *series) process(name string) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.processes[name]
}

func (s *series) newSender(p *process) *sender.Sender {
	return &sender.Sender{
		Clock: clockwork.NewRealClock(), DialTimeout: 250 * time.Millisecond, MaxIdle: 4 * time.Second, DialContext: p.dial,
		IsOwnResponse: func(head *framer.ResponseHead, id string) (bool, time.Duration) {
			return head.Header.Get("Id") == id, 0
		},
	}
}

func (s *series) newTunneler(p *process) *Tunneler {
	t := &Tunneler{
		Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Meter: s.meter, Self: p.name, Zone: "z",
		Gateways: func() []*wire.GatewayEntry {
			var list []*wire.GatewayEntry
			for _, name := range s.relays {
				list = append(list, &wire.GatewayEntry{Address: name, Zone: "z"})
			}
			return list
		},
		Resolve:     func(backend string) (address, zone string) { return backend, "z" },
		Declines:    func(string) bool { return false },
		DialContext: p.dial, PeerClosed: peerClosed,
	}
	out := s.newSender(p)
	t.Dial, t.Probe = out.Dial, out.ProbeDirect
	t.Init()
	return t
}

// startGateway starts the gateway that receives the requests. Of its backend servers it takes those for unreachable to
// which it has failed to connect.
func (s *series) startGateway() {
	s.gateway = s.net.start("gateway")
	s.tunnels = s.newTunneler(s.gateway)
	s.sender = s.newSender(s.gateway)
	s.sender.ObserveDial = func(backend string, err error) {
		if s.detoured[backend].Swap(err != nil) && err == nil {
			go s.sender.CloseIdleDetoured(backend)
		}
	}
	s.sender.Detour = &sender.Detour{
		Needed: func(backend string) bool { return s.detoured[backend].Load() }, Open: s.tunnels.Open,
	}
}

// startRelay starts a gateway that serves tunnels.
func (s *series) startRelay(name string) {
	p := s.net.start(name)
	t := s.newTunneler(p)
	mux := http.NewServeMux()
	mux.Handle(Path, &Server{Tunneler: t})
	mesh := &http.Server{Handler: mux, ReadHeaderTimeout: 3 * time.Second, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	l := p.listen()
	p.freezeShare = 4
	s.mu.Lock()
	s.processes[name], s.tunneling[name] = p, t
	s.mu.Unlock()
	s.serving.Go(func() {
		_ = mesh.Serve(l)
		_ = mesh.Close()
	})
}

// play runs callers beside a drawn sequence of failures, and then heals everything and waits.
func (s *series) play(seed uint64) {
	s.startGateway()
	for _, name := range s.relays {
		s.startRelay(name)
	}
	for _, name := range s.servers {
		s.startServer(name)
	}
	var callers, disturbances sync.WaitGroup
	for k := range seriesCallers {
		random := rand.New(rand.NewPCG(seed, uint64(100+k)))
		callers.Go(func() {
			for n := range seriesRequests {
				time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
				s.call(random, fmt.Sprintf("%d-%d", k, n))
			}
		})
	}
	disturbances.Go(func() { s.disturb(rand.New(rand.NewPCG(seed, 8))) })
	disturbances.Go(s.probe)
	callers.Wait()
	close(s.ended)
	disturbances.Wait()
	s.net.heal()
	time.Sleep(seriesRest)
	s.gateway.kill()
	for _, name := range append(s.relays, s.servers...) {
		s.process(name).kill()
	}
	s.serving.Wait()
	time.Sleep(2 * tunnelIdleTimeout)
}

// probe opens direct connections, as gateways do to learn whether a cut has ended.
func (s *series) probe() {
	for {
		select {
		case <-s.ended:
			return
		case <-time.After(200 * time.Millisecond):
		}
		for _, name := range s.servers {
			if s.detoured[name].Load() && s.net.draw(3) == 0 {
				_ = s.sender.ProbeDirect(context.Background(), name, name)
			}
		}
		s.sender.CloseExpired()
	}
}

// call sends a request like a gateway does: again after a connection that could not be used, and after a rejection.
func (s *series) call(random *rand.Rand, id string) {
	length := 0
	if random.IntN(3) > 0 {
		length = random.IntN(1 << (4 + random.IntN(14)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(20+random.IntN(1<<(7+random.IntN(6))))*time.Millisecond)
	defer cancel()
	used := &sender.Connections{}
	result := refused
	for n := 1; n <= seriesSends && ctx.Err() == nil; n++ {
		if result = s.attempt(ctx, random, attemptKey{id, n}, length, used); result != refused {
			break
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes[id] = result
}

// bodyOf returns the body of a request.
func bodyOf(id string, length int) []byte {
	return bytes.Repeat([]byte(id+"\n"), length/(len(id)+1)+1)[:length]
}

func (s *series) attempt(ctx context.Context, random *rand.Rand, key attemptKey, length int, used *sender.Connections) outcome {
	name := s.servers[random.IntN(len(s.servers))]
	withdrawn := random.IntN(50) == 0
	in, err := s.sender.Send(ctx, &sender.Request{
		Permitted: func() bool { return !withdrawn },
		Backend:   name, Address: name, RequestID: key.id, Method: "POST", Target: "/", Body: bodyOf(key.id, length), Used: used,
		Header: framer.Header{{Name: "Host", Value: "x"}, {Name: "Id", Value: key.id}, {Name: "Attempt", Value: strconv.Itoa(key.n)}},
	})
	switch {
	case sender.KindOf(err) == sender.KindWithdrawn:
		s.recordNotRun(key, "withdrawn")
		return refused
	case sender.KindOf(err) == sender.KindNotSent:
		s.recordNotRun(key, "not sent")
		time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
		return refused
	case err != nil:
		s.count("lost")
		return unknown
	}
	defer in.Close()
	if in.Via != "" {
		s.count("answers through tunnels")
	}
	if in.Head.Header.Has("Not-Run") {
		if random.IntN(4) > 0 {
			// The connection can be used again only then.
			_, _ = io.Copy(io.Discard, in.Body)
		}
		s.recordNotRun(key, "rejected")
		return refused
	}
	body, err := io.ReadAll(in.Body)
	if err != nil || !in.Body.Complete() {
		s.count("answers that broke off")
		return unknown
	}
	if want := answerBody(key.id); string(body) != want {
		s.fault("%v: %d of %d bytes of an answer passed for all, framing %v, via %q", key, len(body), len(want), in.Body.Framing, in.Via)
	}
	s.count("served")
	return answered
}

func (s *series) recordNotRun(key attemptKey, why string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notRun[key] = why
	s.counts[why]++
}

// disturb cuts and heals paths, and freezes, kills and stops processes, until the callers have ended.
func (s *series) disturb(random *rand.Rand) {
	var pending sync.WaitGroup
	for {
		select {
		case <-s.ended:
			pending.Wait()
			return
		case <-time.After(time.Duration(random.IntN(250)) * time.Millisecond):
		}
		relay, server := s.relays[random.IntN(len(s.relays))], s.servers[random.IntN(len(s.servers))]
		d := time.Duration(1+random.IntN(1<<(4+random.IntN(9)))) * time.Millisecond
		switch event := random.IntN(20); event {
		case 0, 1, 2, 3:
			s.cutFor(&pending, random, "gateway", server, 8*d)
		case 4, 5:
			s.cutFor(&pending, random, "gateway", relay, d)
		case 6, 7:
			s.cutFor(&pending, random, relay, server, d)
		case 8, 9:
			s.process(relay).freeze(d)
		case 10:
			s.process(server).freeze(d)
		case 11:
			s.count("kills")
			s.restart(&pending, s.process(relay), d/4, func() { s.startRelay(relay) })
		case 12:
			s.count("kills")
			s.restart(&pending, s.process(server), d/4, func() { s.startServer(server) })
		case 13:
			s.stopRelay(&pending, relay, d)
		case 14, 15:
			if s.detoured[server].Store(random.IntN(4) > 0); s.detoured[server].Load() {
				s.sender.CloseIdleDirect(server)
			}
		case 16:
			s.gateway.freeze(d / 4)
		case 17:
			// It takes the backend server for exited.
			s.sender.CloseAll(server)
		default:
			s.net.heal()
		}
	}
}

// cutFor cuts a path one way or both for a time.
func (s *series) cutFor(pending *sync.WaitGroup, random *rand.Rand, a, b string, d time.Duration) {
	s.count("cuts")
	ways := random.IntN(4)
	if ways != 0 {
		s.net.setCut(a, b, true)
	}
	if ways != 1 {
		s.net.setCut(b, a, true)
	}
	pending.Go(func() {
		time.Sleep(d)
		s.net.setCut(a, b, false)
		s.net.setCut(b, a, false)
	})
}

// restart kills a process, and starts it again after a time.
func (s *series) restart(pending *sync.WaitGroup, p *process, after time.Duration, start func()) {
	if s.down(p) {
		return
	}
	p.kill()
	pending.Go(func() {
		time.Sleep(after)
		start()
	})
}

func (s *series) down(p *process) bool {
	s.net.mu.Lock()
	defer s.net.mu.Unlock()
	return p.killed
}

// stopRelay lets a relaying gateway stop within a time, exit and start again.
func (s *series) stopRelay(pending *sync.WaitGroup, name string, grace time.Duration) {
	s.mu.Lock()
	p, t := s.processes[name], s.tunneling[name]
	s.mu.Unlock()
	if s.down(p) {
		return
	}
	s.count("stops")
	pending.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), grace)
		defer cancel()
		t.Stop(ctx)
		s.restart(pending, p, 50*time.Millisecond, func() { s.startRelay(name) })
	})
}

// check compares what ran with what was said.
func (s *series) check(c *qt.C) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Check(s.faults, qt.HasLen, 0, qt.Commentf("%q", s.faults))
	runs := map[string]int{}
	for key, n := range s.ran {
		runs[key.id] += n
	}
	for key, why := range s.notRun {
		c.Check(s.ran[key], qt.Equals, 0, qt.Commentf("%v ran; said to be %s", key, why))
		if why != "rejected" {
			c.Check(s.seen[key], qt.Equals, 0, qt.Commentf("%v reached a backend server; said to be %s", key, why))
		}
	}
	for id, result := range s.outcomes {
		switch result {
		case refused:
			c.Check(runs[id], qt.Equals, 0, qt.Commentf("%s was refused", id))
		case answered:
			c.Check(runs[id], qt.Equals, 1, qt.Commentf("%s was served", id))
		case unknown:
			c.Check(runs[id] <= 1, qt.IsTrue, qt.Commentf("%s ran %d times", id, runs[id]))
		}
	}
	c.Check(len(s.outcomes), qt.Equals, seriesCallers*seriesRequests)
	s.counts["breaks"] += s.net.breaks
}

// startServer starts a backend server.
func (s *series) startServer(name string) {
	p := s.net.start(name)
	l := p.listen()
	s.mu.Lock()
	s.processes[name] = p
	s.mu.Unlock()
	s.serving.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.serving.Go(func() { (&serverConn{series: s, Conn: conn, reader: bufio.NewReader(conn)}).serve() })
		}
	})
}

// serverConn is a connection at a backend server.
type serverConn struct {
	net.Conn
	series  *series
	reader  *bufio.Reader
	answers chan answer
	done    chan struct{}
}

// answer is what a backend server sends at once, with a pause before the byte at cut.
type answer struct {
	text  string
	cut   int
	pause time.Duration
	// last ends the connection afterwards, and abortive with a reset.
	last, abortive bool
}

func answerBody(id string) string { return string(bytes.Repeat([]byte("answer to "+id+"\n"), 200)) }

func (b *serverConn) serve() {
	b.answers, b.done = make(chan answer, 256), make(chan struct{})
	b.series.serving.Go(b.write)
	defer close(b.done)
	for b.serveRequest() {
		continue
	}
}

// write sends answers in turn. Only after whole answers it closes the connection without a reset: an answer that ends with
// its connection looks complete then.
func (b *serverConn) write() {
	for whole, last := true, false; whole && !last; {
		select {
		case a := <-b.answers:
			whole, last = b.send(a), a.last
			continue
		default:
		}
		select {
		case a := <-b.answers:
			whole, last = b.send(a), a.last
		case <-b.done:
			last = len(b.answers) == 0
		}
	}
	_ = b.Close()
}

// send sends an answer, and reports whether all of it was sent.
func (b *serverConn) send(a answer) bool {
	end := b.Conn.(*endpoint)
	_ = end.SetLinger(0)
	_, err := io.WriteString(b.Conn, a.text[:a.cut])
	time.Sleep(a.pause)
	if err == nil && !a.abortive {
		_, err = io.WriteString(b.Conn, a.text[a.cut:])
	}
	if err != nil || a.abortive {
		return false
	}
	_ = end.SetLinger(-1)
	return true
}

func (b *serverConn) draw(n int) int { return b.series.net.draw(n) }

// serveRequest serves a request, and reports whether to go on.
func (b *serverConn) serveRequest() bool {
	s := b.series
	req, err := http.ReadRequest(b.reader)
	if err != nil {
		return false
	}
	n, _ := strconv.Atoi(req.Header.Get("Attempt"))
	key := attemptKey{req.Header.Get("Id"), n}
	s.mu.Lock()
	s.seen[key]++
	s.mu.Unlock()
	kind := b.draw(100)
	early := kind < 10 || kind >= 85
	rejects := kind < 25
	closes := b.draw(6) == 0
	if !early && !b.readBody(req, key) {
		return false
	}
	if !rejects {
		s.mu.Lock()
		s.ran[key]++
		if _, told := s.outcomes[key.id]; told {
			s.counts["ran after the caller was told"]++
		}
		s.mu.Unlock()
		b.work()
	}
	b.answer(key, rejects, closes)
	if closes {
		if b.draw(2) == 0 {
			// It reads on until its answer is sent and its caller leaves.
			_, _ = io.Copy(io.Discard, b.reader)
		}
		return false
	}
	return !early || b.readBody(req, key)
}

func (b *serverConn) readBody(req *http.Request, key attemptKey) bool {
	body, err := io.ReadAll(req.Body)
	if err == nil && !bytes.Equal(body, bodyOf(key.id, len(body))) {
		b.series.fault("%v came with another body", key)
	}
	return err == nil
}

// work takes the time of a run.
func (b *serverConn) work() {
	switch b.draw(20) {
	case 0:
		time.Sleep(time.Duration(b.draw(4000)) * time.Millisecond)
	default:
		time.Sleep(time.Duration(b.draw(20_000)) * time.Microsecond)
	}
}

// answer queues an answer, and perhaps a copy of it for a later time.
func (b *serverConn) answer(key attemptKey, rejects, closes bool) {
	head := "HTTP/1.1 200 OK\r\nId: " + key.id + "\r\n"
	body := answerBody(key.id)
	if rejects {
		head, body = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: "+key.id+"\r\n", "full"
	}
	switch {
	case closes && b.draw(2) == 0:
		head += "Connection: close\r\n"
	case b.draw(4) == 0:
		head += "Transfer-Encoding: chunked\r\n"
		body = fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	default:
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	text := head + "\r\n" + body
	a := answer{text: text, cut: b.draw(len(text)), last: closes, abortive: b.draw(20) == 0}
	if b.draw(4) == 0 {
		a.pause = time.Duration(b.draw(1500)) * time.Millisecond
	}
	b.answers <- a
	if !closes && b.draw(4) == 0 {
		a.abortive, a.pause = false, 0
		time.AfterFunc(time.Duration(b.draw(1<<(4+b.draw(13))))*time.Microsecond, func() {
			select {
			case b.answers <- a:
			default:
			}
		})
	}
}
