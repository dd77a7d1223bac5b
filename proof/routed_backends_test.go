package proof

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/framer"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// announceEvery is the time between two announcements of a backend server.
const announceEvery = 200 * time.Millisecond

// backendStandIn is a backend server of the test's own. It notes each run.
type backendStandIn struct {
	y        *routedSystem
	id       string
	cable    *link
	server   *http.Server
	draining atomic.Bool
	sequence atomic.Uint64
	// acknowledged counts announcements that were, and runs the requests that ran here.
	acknowledged atomic.Int32
	runs         atomic.Int32
}

func startBackend(y *routedSystem, id string) *backendStandIn {
	at := freePort(y.c)
	b := &backendStandIn{y: y, id: id, cable: newLink(y.c, at)}
	b.server = &http.Server{Addr: at, Handler: b, ReadHeaderTimeout: time.Minute}
	go func() { _ = b.server.ListenAndServe() }()
	ctx, cancel := context.WithCancel(context.Background())
	go b.announce(ctx)
	y.c.Cleanup(func() {
		cancel()
		_ = b.server.Close()
	})
	return b
}

// announce says all the time where the server is, to any controller that answers.
func (b *backendStandIn) announce(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		path, body, err := platform.StandInHeartbeat(&wire.Announcement{
			Id: b.id, Service: "s", Address: b.cable.address, Zone: "z", Slots: 16,
			Sequence: b.sequence.Add(1), Draining: b.draining.Load(),
		})
		if err != nil {
			return
		}
		res, err := client.Post("http://"+b.y.operator.controller(i)+path, "application/json", bytes.NewReader(body))
		if err == nil {
			_ = res.Body.Close()
		}
		if err == nil && res.StatusCode == http.StatusOK {
			b.acknowledged.Add(1)
		}
		select {
		case <-ctx.Done():
		case <-time.After(announceEvery):
		}
	}
}

// workTime is how long a request takes.
const workTime = 5 * time.Millisecond

// streamEvents is the number of events of each stream.
const streamEvents = 5

// ServeHTTP runs a request and answers with what only this request can get.
func (b *backendStandIn) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var header framer.Header
	for name := range r.Header {
		header = append(header, framer.Field{Name: name, Value: r.Header.Get(name)})
	}
	id := platform.DecodeRequest(header).ID
	if meant := platform.DecodeDispatch(header).Backend; meant != "" && meant != b.id {
		set(w, platform.StandInRefusal(id))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.runs.Add(1)
	b.y.ledger.ran(id, r.Method+" "+r.RequestURI+" "+string(body))
	select {
	case <-r.Context().Done():
	case <-time.After(workTime):
	}
	set(w, platform.StandInAnswer(id, b.id))
	if kindOfPath(r.URL.Path) != stream {
		_, _ = io.WriteString(w, answerTo(id))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= streamEvents; n++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, answerTo(id))
		_ = http.NewResponseController(w).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func set(w http.ResponseWriter, header framer.Header) {
	for _, field := range header {
		w.Header().Set(field.Name, field.Value)
	}
}

// answerTo is what a request with an id must get.
func answerTo(id string) string { return "the answer to " + id }

// operatorStandIn puts tables into force, one after the other, and reads them back.
type operatorStandIn struct {
	y      *routedSystem
	client *http.Client
	mu     sync.Mutex
	places []string
	// sent and acknowledged are the highest versions so far.
	sent, acknowledged atomic.Uint64
}

func newOperator(y *routedSystem) *operatorStandIn {
	o := &operatorStandIn{y: y, client: &http.Client{Timeout: time.Second}}
	o.look()
	return o
}

// look takes note of where the controllers are now.
func (o *operatorStandIn) look() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.places = nil
	for _, n := range o.y.controllers {
		o.places = append(o.places, n.at)
	}
}

func (o *operatorStandIn) controller(i int) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.places[i%len(o.places)]
}

// marker is the path that only the table of a version has.
func marker(version uint64) string { return fmt.Sprintf("%s%d/", markerPrefix, version) }

func table(version uint64) *wire.RoutingTable {
	route := func(prefix string, repetition wire.Repetition) *wire.Route {
		return &wire.Route{
			Name: "r" + prefix, Host: "h", PathPrefix: prefix, Repetition: repetition, TimeoutMs: 5000, ObjectiveMs: 500,
			MaxAttempts: 2, Shares: []*wire.Share{{Service: "s", Weight: 1}},
		}
	}
	return &wire.RoutingTable{
		Version: version, Services: []*wire.RoutedService{{Name: "s"}},
		Limits: &wire.DoorLimits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
		Routes: []*wire.Route{
			route(string(once), wire.Repetition_REPETITION_ONCE), route(string(idempotent), wire.Repetition_REPETITION_IDEMPOTENT),
			route(string(stream), wire.Repetition_REPETITION_STREAM), route(marker(version), wire.Repetition_REPETITION_IDEMPOTENT),
		},
	}
}

// try sends the table of a version to one controller and reports whether it was
// acknowledged.
func (o *operatorStandIn) try(i int, version uint64) bool {
	body, err := platform.StandInTable(table(version))
	o.y.c.Assert(err, qt.IsNil)
	res, err := o.client.Post("http://"+o.controller(i)+platform.StandInReplacePath, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	if res.StatusCode >= 400 && res.StatusCode < 500 {
		o.y.ledger.fault("a valid table was refused with %d", res.StatusCode)
	}
	return res.StatusCode == http.StatusOK
}

// put puts a new version into force, with whichever controller acknowledges it.
func (o *operatorStandIn) put() {
	version := o.sent.Add(1)
	attempt := 0
	eventually(o.y.c, "a table is acknowledged", func() bool {
		attempt++
		return o.try(attempt, version)
	})
	o.acknowledged.Store(version)
}

// read returns the version that a controller says is the newest, or false.
func (o *operatorStandIn) read(i int) (uint64, bool) {
	least := o.acknowledged.Load()
	res, err := o.client.Get("http://" + o.controller(i) + platform.StandInReadPath)
	if err != nil {
		return 0, false
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		return 0, false
	}
	got, err := platform.DecodeTable(body)
	if err != nil {
		o.y.ledger.fault("a table that was read back can't be read: %v", err)
		return 0, false
	}
	if got.GetVersion() < least || got.GetVersion() > o.sent.Load() {
		o.y.ledger.fault("version %d was read after %d was acknowledged", got.GetVersion(), least)
	}
	return got.GetVersion(), true
}

// ledger holds what callers and backend servers have seen, and what was wrong with it.
type ledger struct {
	mu     sync.Mutex
	sent   map[string]string
	runs   map[string]int
	refuse map[string]int
	// whole and good are the requests whose callers got a whole answer, and one with 200.
	whole  map[string]bool
	good   map[string]bool
	served int
	faults []string
}

func newLedger() *ledger {
	return &ledger{sent: map[string]string{}, runs: map[string]int{}, refuse: map[string]int{}, whole: map[string]bool{}, good: map[string]bool{}}
}

func (l *ledger) fault(format string, v ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, v...))
}

func (l *ledger) asked(id, what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[id] = what
}

// ran notes that a backend server runs a request.
func (l *ledger) ran(id, what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	if l.sent[id] != what {
		l.faults = append(l.faults, fmt.Sprintf("%s ran as %s and was sent as %s", id, strconv.Quote(what), strconv.Quote(l.sent[id])))
	}
}

func (l *ledger) answered(id string, status int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.whole[id] = true
	switch status {
	case http.StatusOK:
		l.served++
		l.good[id] = true
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout:
		l.refuse[id] = status
	}
}

func (l *ledger) servedSoFar() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.served
}

// check judges the whole history.
func (l *ledger) check(c *qt.C) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, fault := range l.faults {
		c.Errorf("%s", fault)
	}
	for id, status := range l.refuse {
		if l.runs[id] > 0 {
			c.Errorf("%s was refused with %d and ran", id, status)
		}
	}
	for id, runs := range l.runs {
		if kindOfPath(pathOf(l.sent[id])) != idempotent && runs > 1 {
			c.Errorf("%s ran %d times", id, runs)
		}
	}
	c.Logf("%d requests, %d served, %d refused", len(l.sent), l.served, len(l.refuse))
}
