package receiver

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"bronzelead.example/gateway/claimer"
	"bronzelead.example/gateway/dispatcher"
	"bronzelead.example/gateway/explainer"
	"bronzelead.example/gateway/isolator"
	"bronzelead.example/gateway/registrar"
	"bronzelead.example/gateway/scheduler"
	"bronzelead.example/pkg/applier"
	"bronzelead.example/pkg/authenticator"
	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/router"
	"bronzelead.example/pkg/translator"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// Requests under idempotency keys ran twice, or ran although their callers had been told that they had not and never
// would. Gateways exit and lose their sessions, calls to controllers and their answers are lost, and backend servers
// restart, lose, hold and refuse requests; what ran is compared with what the callers were told.
func TestKeyedRequestsRunAtMostOnceAndNotRunIsTrue(t *testing.T) {
	// The meter's goroutine outlives a test.
	series := meter.New("gateway", "test", "zone")
	for seed := range uint64(40) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(seed, series)
				w.run()
				w.check(qt.New(t))
			})
		})
	}
}

const (
	worldKeys     = 16
	worldCustomer = "shop"
	worldKey      = "secret"
	worldLease    = 3 * time.Second
	worldDeadline = 20 * time.Second
	worldMaxTries = 6
)

// world is two gateways, a leader, two engines and a replica of a plain service, in virtual time. Their faults are drawn from the
// seed; the jitter of the gateways' retries is not.
type world struct {
	seed  uint64
	meter *meter.Meter
	// ctx ends when the last caller has its answer, schedulers when nothing is left to do.
	ctx            context.Context
	stop           context.CancelFunc
	schedulers     context.Context
	stopSchedulers context.CancelFunc

	mu       sync.Mutex
	state    *applier.StateMachine
	index    uint64
	backends []*worldBackend
	gateways [2]*worldGateway
	calls    int
	// share is each gateway's share of the customer's limit.
	share uint32
	conns []net.Conn
	// sent counts the requests of a key that arrived at a backend server; keys has their ids.
	sent     map[string]int
	keys     map[string]string
	ran      map[string]int
	notRun   map[string]string
	answered map[string]bool
	events   map[string][]string
}

// worldBackend is an engine, or a replica of the service "orders".
type worldBackend struct {
	name        string
	service     bool
	incarnation int
	known       map[string]*worldRequest
}

type worldRequest struct{ ran, cancelled bool }

// worldGateway is one incarnation of a gateway.
type worldGateway struct {
	*Receiver
	handler http.Handler
	dead    chan struct{}
	cut     atomic.Bool
	stop    context.CancelFunc
	// silent is set while its renewals are lost.
	silent atomic.Bool
}

func newWorld(seed uint64, series *meter.Meter) *world {
	w := &world{
		seed: seed, meter: series, state: applier.New(), sent: map[string]int{}, keys: map[string]string{}, ran: map[string]int{}, notRun: map[string]string{},
		answered: map[string]bool{}, share: 64, events: map[string][]string{},
		backends: []*worldBackend{{name: "engine-1"}, {name: "engine-2"}, {name: "orders-1", service: true}},
	}
	w.ctx, w.stop = context.WithCancel(context.Background())
	w.schedulers, w.stopSchedulers = context.WithCancel(context.Background())
	for _, b := range w.backends {
		b.known = map[string]*worldRequest{}
	}
	return w
}

func (w *world) draw(what string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(what))
	return rand.New(rand.NewPCG(w.seed, h.Sum64()))
}

func (w *world) note(key, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events[key] = append(w.events[key], fmt.Sprintf(format, args...))
}

func (w *world) run() {
	for i := range w.gateways {
		w.start(i, 0)
	}
	var disturbing sync.WaitGroup
	for i := range w.gateways {
		disturbing.Go(func() { w.disturb(i) })
	}
	time.Sleep(time.Second)
	var callers sync.WaitGroup
	for n := range worldKeys {
		callers.Go(func() { w.call("key-"+strconv.Itoa(n), n%2 == 1) })
	}
	callers.Wait()
	w.stop()
	disturbing.Wait()
	w.end()
}

// end waits until nothing is left to do, and stops all goroutines.
func (w *world) end() {
	// Handlers that go on without their callers end by their deadlines; the network holds requests for as long.
	time.Sleep(5 * time.Minute)
	w.mu.Lock()
	for _, g := range w.gateways {
		g.stop()
	}
	w.mu.Unlock()
	time.Sleep(time.Minute)
	w.stopSchedulers()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, conn := range w.conns {
		_ = conn.Close()
	}
}

func (w *world) check(c *qt.C) {
	time.Sleep(time.Minute)
	w.mu.Lock()
	defer w.mu.Unlock()
	c.Check(len(w.answered) > 0, qt.IsTrue)
	for n := range worldKeys {
		key := "key-" + strconv.Itoa(n)
		story := qt.Commentf("seed %d, %s: %s", w.seed, key, strings.Join(w.events[key], "; "))
		c.Check(w.ran[key] <= 1, qt.IsTrue, story)
		if w.answered[key] {
			c.Check(w.ran[key], qt.Equals, 1, story)
		}
		if w.notRun[key] != "" {
			c.Check(w.ran[key], qt.Equals, 0, story)
		}
	}
}

// start starts an incarnation of a gateway.
func (w *world) start(i, incarnation int) {
	ctx, stop := context.WithCancel(context.Background())
	g := &worldGateway{dead: make(chan struct{}), stop: stop}
	name := fmt.Sprintf("gateway-%d-%d", i, incarnation)
	clock, log := clockwork.NewRealClock(), slog.New(slog.DiscardHandler)
	dial := func(_ context.Context, _, address string) (net.Conn, error) {
		if g.cut.Load() {
			return nil, &net.OpError{Op: "dial", Err: errors.New("the instance is gone")}
		}
		client, server := net.Pipe()
		w.mu.Lock()
		w.conns = append(w.conns, client, server)
		w.mu.Unlock()
		go w.serve(g, server, strings.TrimSuffix(address, ":1"))
		return client, nil
	}
	terms := &registrar.Registrar{}
	s := &scheduler.Scheduler{
		Clock: clock, Log: log, Registrar: terms, Router: &router.Router{Policy: router.Policy{MaxLeaseIdle: time.Hour}}, RequestRenewal: func() {},
	}
	s.Init()
	k := &claimer.Claimer{
		Clock: clock, Log: log, Controllers: &connector.Controllers{Addresses: []string{"leader:1", "leader:1"}},
		Client: &connector.Client{Timeout: time.Second, Transport: connector.NewTransportWith(dial, nil)},
	}
	k.Init()
	isolated := &isolator.Isolator{Clock: clock, Log: log, ConnectionRefused: func(context.Context, string, string) bool { return false }}
	isolated.Init()
	unpooled, guarded := connector.NewTransportWith(dial, nil), connector.NewTransportWith(dial, s.CheckSession)
	unpooled.DisableKeepAlives, guarded.DisableKeepAlives = true, true
	g.Receiver = &Receiver{
		Clock: clock, Log: log, Instance: name, Registrar: terms, Scheduler: s, Claimer: k, Isolator: isolated, Meter: w.meter,
		Dispatcher: &dispatcher.Dispatcher{
			Clock: clock, SessionTransport: connector.NewTransportWith(dial, s.CheckSession), UnpooledTransport: unpooled,
			UnpooledSessionTransport: guarded, SilenceTimeout: 2 * time.Second,
		},
		Explainer: &explainer.Explainer{Clock: clock}, RetryBudget: &RetryBudget{Clock: clock, RetryRatio: 0.2, Burst: 1},
		Session: s.SessionID, Ready: s.HasLiveSession, MaxStoredAnswer: 1 << 20,
	}
	g.handler = g.Handler()
	go s.Run(w.schedulers)
	go k.Run(ctx)
	go w.renew(ctx, g, name)
	w.mu.Lock()
	w.gateways[i] = g
	w.mu.Unlock()
}

// disturb cuts a gateway off from its leader, or ends it and starts another, from time to time.
func (w *world) disturb(i int) {
	random := w.draw("disturb " + strconv.Itoa(i))
	for incarnation := 1; w.ctx.Err() == nil; incarnation++ {
		w.sleep(time.Duration(2+random.IntN(15)) * time.Second)
		g := w.gateway(i)
		if random.IntN(2) == 0 {
			g.silent.Store(true)
			w.sleep(time.Duration(1+random.IntN(12)) * time.Second)
			g.silent.Store(false)
			continue
		}
		g.cut.Store(true)
		close(g.dead)
		g.stop()
		w.start(i, incarnation)
	}
}

func (w *world) sleep(d time.Duration) {
	select {
	case <-w.ctx.Done():
	case <-time.After(d):
	}
}

// apply commits a command.
func (w *world) apply(cmd *wire.Command) applier.Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.index++
	cmd.AtNs = time.Now().UnixNano()
	data, err := proto.Marshal(cmd)
	if err != nil {
		panic(err)
	}
	return w.state.Apply(&wire.Entry{Index: w.index, Term: 1, Data: data})
}

// renew plays a gateway's renewer and its leader. The leader ends a session whose renewals are lost for a lease.
func (w *world) renew(ctx context.Context, g *worldGateway, name string) {
	for n := 0; ctx.Err() == nil; n++ {
		session := w.apply(&wire.Command{Body: &wire.Command_OpenSession{OpenSession: &wire.OpenSession{
			Instance: name, Nonce: name + strconv.Itoa(n),
		}}}).Session.GetId()
		g.Scheduler.BeginSession(session, worldLease)
		w.renewSession(ctx, g)
		w.apply(&wire.Command{Body: &wire.Command_CloseSession{CloseSession: &wire.CloseSession{Session: session}}})
		if ctx.Err() != nil {
			return
		}
		for g.silent.Load() {
			time.Sleep(100 * time.Millisecond)
		}
		g.Scheduler.EndSession()
	}
}

func (w *world) renewSession(ctx context.Context, g *worldGateway) {
	renewed := time.Now()
	for time.Since(renewed) < worldLease {
		if !g.silent.Load() && ctx.Err() == nil {
			renewed = time.Now()
			g.Scheduler.ApplyRenewal(renewed, w.renewal())
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (w *world) renewal() *wire.RenewResponse {
	w.mu.Lock()
	defer w.mu.Unlock()
	res := &wire.RenewResponse{
		Term: 1, BackendsWhole: true, Allotments: []*wire.Allotment{{Customer: worldCustomer, Amount: w.share}},
		Contracts: []*wire.Contract{{
			Customer: worldCustomer, RequestsAtOnce: 64, QueueLength: 64, DeadlineNs: int64(worldDeadline), KeepKeysNs: int64(time.Hour),
			Adapters: []*wire.AdapterTerms{{Name: "a", BaseModel: "base", Versions: []string{"1"}, NonIdempotent: true}},
			Services: []*wire.ServiceTerms{{Name: "orders", NonIdempotentMethods: []string{http.MethodPost}}},
			Keys:     []*wire.KeyTerms{{Name: "k", Digest: authenticator.DigestOf(worldKey).String()}},
		}},
	}
	for i, b := range w.backends {
		incarnation := b.incarnationName()
		info := &wire.Backend{Name: b.name, Incarnation: incarnation, Address: b.name + ":1", Batch: 16}
		res.Backends = append(res.Backends, info)
		res.BackendsVersion += uint64(b.incarnation) + 1
		if b.service {
			info.Service = "orders"
			continue
		}
		info.BaseModel = "base"
		res.Grants = append(res.Grants, &wire.LeaseGrant{
			Id: uint64(b.incarnation*len(w.backends) + i + 1), Backend: b.name, Incarnation: incarnation, Adapter: "a@1",
		})
	}
	return res
}

func (b *worldBackend) incarnationName() string { return b.name + "-" + strconv.Itoa(b.incarnation) }

// call plays a caller, who repeats a request under its key until it is answered, or was told that it has not run.
func (w *world) call(key string, service bool) {
	random := w.draw("caller " + key)
	time.Sleep(time.Duration(random.IntN(20_000)) * time.Millisecond)
	for range worldMaxTries {
		status, ran := w.send(key, service, random)
		w.note(key, "told %d %q", status, ran)
		if status == http.StatusOK {
			w.mu.Lock()
			w.answered[key] = true
			w.mu.Unlock()
			return
		}
		if ran == string(dispatcher.RanNo) || platform.PromisesNotRun(status) {
			w.mu.Lock()
			w.notRun[key] = fmt.Sprint(status)
			w.mu.Unlock()
			return
		}
		time.Sleep(time.Duration(random.IntN(15_000)) * time.Millisecond)
	}
}

// send sends a caller's request to a gateway. Without an answer the status is 0.
func (w *world) send(key string, service bool, random *rand.Rand) (status int, ran string) {
	g := w.gateway(random.IntN(len(w.gateways)))
	return g.send(key, service, time.Duration(200+random.IntN(25_000))*time.Millisecond)
}

func (w *world) gateway(i int) *worldGateway {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gateways[i]
}

// send sends a request, whose caller waits for the given time.
func (g *worldGateway) send(key string, service bool, patience time.Duration) (status int, ran string) {
	path := translator.CompletionsPath
	if service {
		path = "/services/orders/new"
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader(fmt.Sprintf(`{"model":"a@1","prompt":%q}`, key)))
	req.Header.Set("Authorization", "Bearer "+worldKey)
	req.Header.Set(IdempotencyKeyHeader, key)
	answer := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		g.handler.ServeHTTP(answer, req)
	}()
	defer cancel()
	select {
	case <-done:
	case <-ctx.Done():
		return 0, "the caller left"
	case <-g.dead:
		return 0, "the gateway exited"
	}
	body := problemBody{}
	_ = json.Unmarshal(answer.Body.Bytes(), &body)
	return answer.Code, string(body.Error.Ran)
}

// serve serves the connections of a gateway, as the leader or as a backend server.
func (w *world) serve(g *worldGateway, conn net.Conn, to string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		req.Body = io.NopCloser(strings.NewReader(string(body)))
		answer := w.answer(to, req, string(body))
		if answer == "" || g.cut.Load() {
			return
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

func (w *world) answer(to string, req *http.Request, body string) string {
	if to == "leader" {
		return w.lead(req)
	}
	return w.backend(to, req, body)
}

// lead answers a call to the leader; a part of the calls, and of the answers, is late or lost.
func (w *world) lead(req *http.Request) string {
	w.mu.Lock()
	w.calls++
	random := w.draw("call " + strconv.Itoa(w.calls))
	w.mu.Unlock()
	fault := random.IntN(12)
	switch fault {
	case 0:
		return ""
	case 1:
		time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
	}
	answer := httptest.NewRecorder()
	wire.NewControlServer(w).ServeHTTP(answer, req)
	if fault == 2 {
		return ""
	}
	return worldAnswer(answer.Code, answer.Body.String(), "Content-Type: "+answer.Header().Get("Content-Type"))
}

// backend answers a request to a backend server.
func (w *world) backend(name string, req *http.Request, body string) string {
	w.mu.Lock()
	var b *worldBackend
	for _, other := range w.backends {
		if other.name == name {
			b = other
		}
	}
	w.mu.Unlock()
	rest, isRequest := strings.CutPrefix(req.URL.Path, translator.RequestsPath)
	id, cancels := strings.CutSuffix(rest, "/cancel")
	switch {
	case isRequest && cancels:
		return w.cancel(b, id)
	case isRequest:
		return w.resume(b, id)
	}
	return w.complete(b, req, body)
}

func (w *world) complete(b *worldBackend, req *http.Request, body string) string {
	id, meant := req.Header.Get(translator.RequestIDHeader), req.Header.Get(translator.IncarnationHeader)
	sent := struct{ Prompt string }{}
	_ = json.Unmarshal([]byte(body), &sent)
	w.mu.Lock()
	w.sent[sent.Prompt]++
	w.keys[id] = sent.Prompt
	random := w.draw(fmt.Sprintf("complete %s %d", sent.Prompt, w.sent[sent.Prompt]))
	w.mu.Unlock()
	fault := random.IntN(20)
	w.note(sent.Prompt, "%s at %s: fault %d", id, b.name, fault)
	echo, marker := translator.RequestIDHeader+": "+id, translator.RanHeader+": "+translator.RanNo
	switch fault {
	case 0, 1, 2, 16, 17, 18:
		return worldAnswer(http.StatusServiceUnavailable, "", echo, marker)
	case 3:
		return ""
	case 4, 5:
		// The network, or a queue before the engine, holds the request.
		time.Sleep(time.Duration(random.IntN(60)) * time.Second)
	case 6:
		w.restart(b)
	}
	if !w.runOnce(b, id, meant, sent.Prompt) {
		return worldAnswer(http.StatusConflict, "", echo)
	}
	switch fault {
	case 7:
		return ""
	case 8:
		w.restart(b)
		return ""
	case 9:
		time.Sleep(time.Duration(random.IntN(30)) * time.Second)
	case 10:
		return worldAnswer(http.StatusServiceUnavailable, "")
	case 11:
		return worldAnswer(http.StatusServiceUnavailable, "", marker)
	case 12:
		return worldAnswer(http.StatusTooManyRequests, "", echo)
	}
	return completion(id)
}

func completion(id string) string {
	text := fmt.Sprintf(`{"id":%q,"model":"a@1"}`, translator.AnswerID(translator.CompletionsPath, id))
	return worldAnswer(http.StatusOK, text, translator.RequestIDHeader+": "+id)
}

func (w *world) runOnce(b *worldBackend, id, meant, key string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !b.service && (b.known[id] != nil || meant != "" && meant != b.incarnationName()) {
		return false
	}
	b.known[id] = &worldRequest{ran: true}
	w.ran[key]++
	w.events[key] = append(w.events[key], id+" ran at "+b.incarnationName())
	return true
}

func (w *world) restart(b *worldBackend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b.incarnation++
	b.known = map[string]*worldRequest{}
}

func (w *world) resume(b *worldBackend, id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.draw("resume "+w.keys[id]).IntN(4) == 0 {
		return worldAnswer(http.StatusServiceUnavailable, "", translator.RequestIDHeader+": "+id, translator.RanHeader+": "+translator.RanNo)
	}
	if r := b.known[id]; r != nil && r.ran {
		return completion(id)
	}
	return worldAnswer(http.StatusNotFound, "")
}

func (w *world) cancel(b *worldBackend, id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := translator.Cancellation{Ran: translator.RanNo, Incarnation: b.incarnationName(), RequestID: id, RemembersAll: true}
	r := b.known[id]
	if r == nil {
		r = &worldRequest{}
		b.known[id] = r
	}
	r.cancelled = true
	if r.ran {
		c.Ran = "partly"
	}
	text, _ := json.Marshal(c)
	return worldAnswer(http.StatusOK, string(text))
}

func worldAnswer(status int, body string, headers ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s\r\nContent-Length: %d\r\n\r\n%s", status, strings.Join(append(headers, "X-Any: 1"), "\r\n"), len(body), body)
}

// Open is not called: the test plays the renewer.
func (w *world) Open(context.Context, *wire.OpenRequest) (*wire.OpenResponse, error) {
	return nil, errors.New("not served")
}

// Renew is not called.
func (w *world) Renew(context.Context, *wire.RenewRequest) (*wire.RenewResponse, error) {
	return nil, errors.New("not served")
}

// Close is not called.
func (w *world) Close(context.Context, *wire.CloseRequest) (*wire.CloseResponse, error) {
	return nil, errors.New("not served")
}

// Claim commits a claim.
func (w *world) Claim(_ context.Context, req *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	return w.apply(&wire.Command{Body: &wire.Command_Claim{Claim: req.GetCommand()}}).Claim, nil
}

// Finish commits an outcome.
func (w *world) Finish(_ context.Context, req *wire.FinishRequest) (*wire.FinishResponse, error) {
	return &wire.FinishResponse{Outcome: w.apply(&wire.Command{Body: &wire.Command_Finish{Finish: req.GetCommand()}}).Outcome}, nil
}

// Release commits a release.
func (w *world) Release(_ context.Context, req *wire.ReleaseRequest) (*wire.ReleaseResponse, error) {
	w.apply(&wire.Command{Body: &wire.Command_Release{Release: req.GetCommand()}})
	return &wire.ReleaseResponse{}, nil
}

// Lookup returns a claim.
func (w *world) Lookup(_ context.Context, req *wire.LookupRequest) (*wire.LookupResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return &wire.LookupResponse{Claim: w.state.ClaimOf(applier.ClaimKey{Customer: req.GetCustomer(), Key: req.GetKey()})}, nil
}
