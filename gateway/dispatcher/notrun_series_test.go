package dispatcher

import (
	"bufio"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/translator"
)

// Requests that were reported as not run had run, or ran later. The engine freezes, forgets, restarts, loses and holds
// requests, sends weak or contradictory refusals, and answers with those of other requests; what it ran is compared with
// what the dispatcher reported, a day after the last request.
func TestNotRunIsTrueForGood(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runNotRunSeries(t, seed) })
		})
	}
}

const (
	seriesWorkers  = 4
	seriesRequests = 12
)

func runNotRunSeries(t *testing.T, seed uint64) {
	c := qt.New(t)
	e := newSeriesEngine(seed)
	pooled, unpooled := &http.Transport{DialContext: e.dial}, &http.Transport{DialContext: e.dial, DisableKeepAlives: true}
	d := &Dispatcher{Clock: clockwork.NewRealClock(), SessionTransport: pooled, UnpooledTransport: unpooled, SilenceTimeout: 2 * time.Second}
	said := newStatements()
	var workers sync.WaitGroup
	for worker := range seriesWorkers {
		workers.Go(func() {
			for n := range seriesRequests {
				runSeriesRequest(d, e, said, fmt.Sprintf("r-%d-%d", worker, n))
			}
		})
	}
	workers.Wait()
	time.Sleep(24 * time.Hour)
	c.Check(len(said.notRun) > 0, qt.IsTrue)
	for id, what := range said.notRun {
		c.Check(e.runs(id), qt.Equals, 0, qt.Commentf("seed %d: %s was reported as not run by %s; engine: %s", seed, id, what, e.story(id)))
	}
	pooled.CloseIdleConnections()
	unpooled.CloseIdleConnections()
	e.closeAll()
}

// runSeriesRequest sends one request; a part of them is abandoned by its gateway and taken up by another, later.
func runSeriesRequest(d *Dispatcher, e *seriesEngine, said *statements, id string) {
	random := e.draw(id, "caller")
	time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
	x := &Exchange{
		RequestID: id, Address: "engine:1", Incarnation: e.currentIncarnation(), Path: translator.CompletionsPath,
		Body: []byte("{}"), Model: "m", Session: 1,
	}
	begun := time.Now()
	abandoned := random.IntN(4) == 0
	deadline := time.Minute
	if abandoned {
		deadline = time.Duration(random.IntN(1000)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	if !abandoned {
		said.record(id, "Run", d.Run(ctx, x))
		return
	}
	// The gateway exits while the request runs: it cancels nothing and reports nothing.
	d.newAttempt(x).first(ctx)
	time.Sleep(time.Duration(random.IntN(3)) * time.Duration(random.IntN(3600)) * time.Second)
	later, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	x.SentAgo = time.Since(begun)
	said.record(id, "Recover", d.Recover(later, x))
}

// statements are the requests that were reported as not run.
type statements struct {
	mu     sync.Mutex
	notRun map[string]string
}

func newStatements() *statements { return &statements{notRun: map[string]string{}} }

func (s *statements) record(id, call string, out Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if out.Ran == RanNo {
		s.notRun[id] = fmt.Sprintf("%s (%v)", call, out.Err)
	}
}

// seriesRequest is what the engine knows of a request.
type seriesRequest struct {
	cancelled bool
	ran       bool
	done      bool
}

// seriesEngine is an engine behind a network that may hold bytes. What it does with a call is drawn from the seed and
// the request's id, so that it does not depend on the order of goroutines.
type seriesEngine struct {
	seed uint64

	mu          sync.Mutex
	conns       []*memoryConn
	incarnation int
	// forgotAt is when the engine last forgot requests; zero if it remembers all.
	forgotAt    time.Time
	known       map[string]*seriesRequest
	frozenUntil time.Time
	ranTimes    map[string]int
	events      map[string][]string
}

func newSeriesEngine(seed uint64) *seriesEngine {
	return &seriesEngine{
		seed: seed, known: map[string]*seriesRequest{}, ranTimes: map[string]int{}, events: map[string][]string{},
	}
}

func (e *seriesEngine) draw(id, what string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(what + " " + id))
	return rand.New(rand.NewPCG(e.seed, h.Sum64()))
}

func (e *seriesEngine) runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ranTimes[id]
}

func (e *seriesEngine) story(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return strings.Join(e.events[id], ", ")
}

func (e *seriesEngine) currentIncarnation() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.incarnationName()
}

func (e *seriesEngine) incarnationName() string { return "incarnation-" + strconv.Itoa(e.incarnation) }

func (e *seriesEngine) dial(context.Context, string, string) (net.Conn, error) {
	client, server := newMemoryConns()
	e.mu.Lock()
	e.conns = append(e.conns, server)
	e.mu.Unlock()
	go e.serve(server)
	return client, nil
}

func (e *seriesEngine) closeAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, conn := range e.conns {
		_ = conn.Close()
	}
}

// serve reads requests until the connection ends. Bytes that arrived while the engine is frozen are read afterwards,
// even if the other end has closed the connection.
func (e *seriesEngine) serve(conn *memoryConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	late := ""
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		e.awaitThaw()
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		answer, refusal := e.answer(req)
		if answer == "" {
			return
		}
		if _, err := io.WriteString(conn, late+answer); err != nil {
			return
		}
		late = refusal
	}
}

func (e *seriesEngine) awaitThaw() {
	for {
		e.mu.Lock()
		wait := time.Until(e.frozenUntil)
		e.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

// answer returns the answer to a request, or "" to close the connection, and a copy of it that precedes the next answer.
func (e *seriesEngine) answer(req *http.Request) (answer, late string) {
	rest, isRequest := strings.CutPrefix(req.URL.Path, translator.RequestsPath)
	id, cancels := strings.CutSuffix(rest, "/cancel")
	switch {
	case isRequest && cancels:
		return e.cancel(id), ""
	case isRequest:
		return e.resume(id), ""
	}
	return e.complete(req)
}

func (e *seriesEngine) complete(req *http.Request) (answer, late string) {
	id := req.Header.Get(translator.RequestIDHeader)
	random := e.draw(id, "complete")
	delay := time.Duration(random.IntN(5000)) * time.Millisecond
	marker := translator.RanHeader + ": " + translator.RanNo
	echo := translator.RequestIDHeader + ": " + id
	fault := random.IntN(14)
	e.note(id, "complete %d", fault)
	switch fault {
	case 0, 1:
		refusal := httpAnswer([]int{404, 429, 503}[random.IntN(3)], "", echo, marker)
		if random.IntN(2) == 0 {
			late = refusal
		}
		return refusal, late
	case 2:
		// An intermediary gives up and says so for itself; the engine has the request.
		go e.runAfter(id, req, delay)
		return httpAnswer(503, "", marker), ""
	case 3:
		go e.runAfter(id, req, delay)
		return httpAnswer([]int{201, 202, 204}[random.IntN(3)], "", echo, marker), ""
	case 4:
		go e.runAfter(id, req, delay)
		return "", ""
	case 5:
		return "", ""
	case 6:
		e.freeze(time.Duration(random.IntN(40)) * time.Second)
		e.awaitThaw()
	case 7:
		e.restart()
	case 8:
		// The network holds the request; further connections are served in the meantime.
		time.Sleep(time.Duration(random.IntN(90)) * time.Second)
	case 9:
		e.forget()
	}
	if !e.run(id, req) {
		return httpAnswer(409, "", echo), ""
	}
	if fault == 10 {
		time.Sleep(time.Minute)
	}
	return completionAnswer(id), ""
}

// run runs a request unless it is known, or was sent to another incarnation.
func (e *seriesEngine) run(id string, req *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	meant := req.Header.Get(translator.IncarnationHeader)
	if e.known[id] != nil || meant != "" && meant != e.incarnationName() {
		return false
	}
	e.known[id] = &seriesRequest{ran: true, done: true}
	e.ranTimes[id]++
	e.events[id] = append(e.events[id], "ran in "+e.incarnationName())
	return true
}

func (e *seriesEngine) runAfter(id string, req *http.Request, delay time.Duration) {
	time.Sleep(delay)
	e.awaitThaw()
	e.run(id, req)
}

func (e *seriesEngine) resume(id string) string {
	random := e.draw(id, "resume")
	if random.IntN(4) == 0 {
		e.note(id, "refused to resume")
		// The refusal speaks of the call that resumes, and not of the request.
		return httpAnswer(503, "", translator.RequestIDHeader+": "+id, translator.RanHeader+": "+translator.RanNo)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.known[id]; r != nil && r.done {
		return completionAnswer(id)
	}
	return httpAnswer(404, "")
}

func (e *seriesEngine) cancel(id string) string {
	random := e.draw(id, "cancel")
	fault := random.IntN(6)
	e.note(id, "cancel %d", fault)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch fault {
	case 0:
		return cancelAnswer(e.incarnationName(), "", time.Time{})
	case 1:
		return cancelAnswer(e.incarnationName(), "another", time.Time{})
	}
	r := e.known[id]
	if r == nil {
		r = &seriesRequest{}
		e.known[id] = r
	}
	r.cancelled = true
	if r.ran {
		return httpAnswer(200, fmt.Sprintf(`{"Ran":"partly","Incarnation":%q}`, e.incarnationName()))
	}
	return cancelAnswer(e.incarnationName(), id, e.forgotAt)
}

func (e *seriesEngine) note(id, format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events[id] = append(e.events[id], fmt.Sprintf(format, args...))
}

func (e *seriesEngine) freeze(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.frozenUntil = time.Now().Add(d)
}

// restart begins another incarnation. The network in between keeps the connections.
func (e *seriesEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnation++
	e.known, e.forgotAt = map[string]*seriesRequest{}, time.Time{}
}

// forget drops the requests that have ended. Cancelled ones are kept: they must not run when they arrive.
func (e *seriesEngine) forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.forgotAt = time.Now()
	for id, r := range e.known {
		if !r.cancelled {
			delete(e.known, id)
		}
	}
}

func completionAnswer(id string) string {
	body := fmt.Sprintf(`{"id":%q,"model":"m"}`, translator.AnswerID(translator.CompletionsPath, id))
	return httpAnswer(200, body, translator.RequestIDHeader+": "+id)
}

func cancelAnswer(incarnation, id string, forgotAt time.Time) string {
	known := `"RemembersAll":true`
	if !forgotAt.IsZero() {
		known = fmt.Sprintf(`"KnownForMs":%d`, time.Since(forgotAt).Milliseconds())
	}
	return httpAnswer(200, fmt.Sprintf(`{"Ran":"no","Incarnation":%q,"RequestId":%q,%s}`, incarnation, id, known))
}

func httpAnswer(status int, body string, headers ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\n", status)
	for _, header := range headers {
		text += header + "\r\n"
	}
	if status == http.StatusNoContent {
		return text + "\r\n"
	}
	return text + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// memoryPipe is one direction of a connection. It buffers without bound, and its reader gets all bytes that were written
// before the writer closed it.
type memoryPipe struct {
	mu      sync.Mutex
	changed *sync.Cond
	data    []byte
	ended   bool
	unread  bool
}

func newMemoryPipe() *memoryPipe {
	p := &memoryPipe{}
	p.changed = sync.NewCond(&p.mu)
	return p
}

func (p *memoryPipe) read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.data) == 0 && !p.ended && !p.unread {
		p.changed.Wait()
	}
	if p.unread {
		return 0, net.ErrClosed
	}
	if len(p.data) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.data)
	p.data = p.data[n:]
	return n, nil
}

func (p *memoryPipe) write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended || p.unread {
		return 0, net.ErrClosed
	}
	p.data = append(p.data, b...)
	p.changed.Broadcast()
	return len(b), nil
}

func (p *memoryPipe) end(unread bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	p.unread = p.unread || unread
	p.changed.Broadcast()
}

// memoryConn is one end of a connection in memory, without deadlines.
type memoryConn struct{ in, out *memoryPipe }

func newMemoryConns() (client, server *memoryConn) {
	there, back := newMemoryPipe(), newMemoryPipe()
	return &memoryConn{in: back, out: there}, &memoryConn{in: there, out: back}
}

func (c *memoryConn) Read(b []byte) (int, error)  { return c.in.read(b) }
func (c *memoryConn) Write(b []byte) (int, error) { return c.out.write(b) }

func (c *memoryConn) Close() error {
	c.in.end(true)
	c.out.end(false)
	return nil
}

func (c *memoryConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *memoryConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *memoryConn) SetDeadline(time.Time) error      { return nil }
func (c *memoryConn) SetReadDeadline(time.Time) error  { return nil }
func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }
