package proof

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bronzelead.example/pkg/framer"
	"bronzelead.example/pkg/throttler"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// announceEvery is the time between two announcements of a backend server.
const announceEvery = 200 * time.Millisecond

// backendStandIn is a backend server of the test's own. It notes each run.
type backendStandIn struct {
	y  *routedSystem
	id string
	// cable is what lies before it, if anything does.
	cable *link
	// address is where it announces itself.
	address  string
	server   *http.Server
	draining atomic.Bool
	sequence atomic.Uint64
	// acknowledged counts announcements that were, and runs the requests that ran here.
	acknowledged atomic.Int32
	runs         atomic.Int32
	// fatal reports whether a request ends it; nil if none does. Crash is what happens then.
	fatal func(body string) bool
	crash func()
	// end stops its announcements.
	end context.CancelFunc

	mu sync.Mutex
	// limit is what it names in its answers, and arrived is when requests reached it.
	limit   throttler.RequestRate
	arrived []time.Time
}

// setLimit lets the server name a limit in its answers; 0 ends that.
func (b *backendStandIn) setLimit(limit throttler.RequestRate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// arrivals returns when requests reached the server.
func (b *backendStandIn) arrivals() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.arrived)
}

// arrives notes a request, and returns the limit that its answer names.
func (b *backendStandIn) arrives() throttler.RequestRate {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrived = append(b.arrived, time.Now())
	return b.limit
}

func startBackend(y *routedSystem, id string) *backendStandIn {
	at := freePort(y.c)
	cable := newLink(y.c, at)
	b := &backendStandIn{y: y, id: id, cable: cable, address: cable.address}
	b.start(at)
	return b
}

// start serves at an address and announces the server.
func (b *backendStandIn) start(at string) {
	b.server = &http.Server{Addr: at, Handler: b, ReadHeaderTimeout: time.Minute}
	go func() { _ = b.server.ListenAndServe() }()
	ctx, cancel := context.WithCancel(context.Background())
	b.end = cancel
	go b.announce(ctx)
	b.y.c.Cleanup(func() {
		cancel()
		_ = b.server.Close()
	})
}

// announce says all the time where the server is, to any controller that answers.
func (b *backendStandIn) announce(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		path, body, err := platform.StandInHeartbeat(&wire.Announcement{
			Name: b.id, Service: "s", Address: b.address, Zone: "z", Slots: 16,
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
	limit := b.arrives()
	if limit > 0 {
		set(w, framer.Header{platform.StandInRequestLimit(limit)})
	}
	var header framer.Header
	for name := range r.Header {
		header = append(header, framer.Field{Name: name, Value: r.Header.Get(name)})
	}
	id := platform.DecodeRequest(header).ID
	if meant := platform.DecodeDispatch(header).Name; meant != "" && meant != b.id {
		set(w, platform.StandInRefusal(id))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.runs.Add(1)
	if platform.DecodeKey(header) != "" {
		b.y.ledger.fault("%s came with its caller's key", id)
	}
	b.y.ledger.ranFor(platform.DecodeDispatch(header).Customer, time.Now())
	b.y.ledger.ran(id, r.Method+" "+r.RequestURI+" "+string(body))
	if b.fatal != nil && b.fatal(string(body)) {
		b.crash()
		return
	}
	select {
	case <-r.Context().Done():
	case <-time.After(workTime):
	}
	set(w, platform.StandInResponse(id, b.id))
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
