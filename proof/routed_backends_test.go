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

// announceInterval is the time between two announcements of a backend server.
const announceInterval = 200 * time.Millisecond

// fakeBackend is a backend server inside the test process. It records each run.
type fakeBackend struct {
	y  *routedSystem
	id string
	// version is its software version.
	version string
	// proxy is the proxy in front of the server; nil for none.
	proxy *tcpProxy
	// address is the address that it announces.
	address  string
	server   *http.Server
	draining atomic.Bool
	sequence atomic.Uint64
	// acknowledged counts the acknowledged announcements, runs the requests that ran here.
	acknowledged atomic.Int32
	runs         atomic.Int32
	// failing is set while it fails all requests that it runs.
	failing atomic.Bool
	// failingHalf is set while it fails every second request that it runs.
	failingHalf atomic.Bool
	// delay is how much longer each answer, and each further event of a stream, takes.
	delay atomic.Int64
	// isFatal reports whether a request crashes the server; nil for none. crash performs the
	// crash.
	isFatal func(body string, parts []platform.PromptPart) bool
	crash   func()
	// stopAnnouncing stops its announcements.
	stopAnnouncing context.CancelFunc

	mu sync.Mutex
	// limit is the rate limit that its answers name, arrivalTimes when requests arrived.
	limit        throttler.RequestRate
	arrivalTimes []time.Time
	// arrivedRequests are the ids of the requests that arrived at arrivalTimes.
	arrivedRequests []string
	// constraints is what its answers announce about further requests.
	constraints constraints
}

// setLimit sets the rate limit that the server's answers name; with 0 they name none.
func (b *fakeBackend) setLimit(limit throttler.RequestRate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// arrivals returns the times at which requests arrived.
func (b *fakeBackend) arrivals() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.arrivalTimes)
}

// recordArrival records a request's arrival and returns the limit for its answer.
func (b *fakeBackend) recordArrival(id string) throttler.RequestRate {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivalTimes = append(b.arrivalTimes, time.Now())
	b.arrivedRequests = append(b.arrivedRequests, id)
	return b.limit
}

func startBackend(y *routedSystem, id string) *fakeBackend { return startVersionedBackend(y, id, "") }

// startVersionedBackend starts a backend server of a software version.
func startVersionedBackend(y *routedSystem, id, version string) *fakeBackend {
	addr := freeAddress(y.c)
	proxy := newTCPProxy(y.c, addr)
	b := &fakeBackend{y: y, id: id, version: version, proxy: proxy, address: proxy.address}
	b.start(addr)
	return b
}

// start listens on an address and begins to announce the server.
func (b *fakeBackend) start(addr string) {
	b.server = &http.Server{Handler: b, ReadHeaderTimeout: time.Minute}
	b.stopAnnouncing = func() {}
	listener, err := listenAgain(addr)
	if err != nil {
		// Without a listener all requests fail here, and a test waits in vain for arrivals.
		b.y.c.Errorf("backend server %s can't listen: %v", b.id, err)
		return
	}
	go func() { _ = b.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	b.stopAnnouncing = cancel
	go b.announce(ctx)
	b.y.c.Cleanup(func() {
		cancel()
		_ = b.server.Close()
	})
}

// announce announces the server's address periodically, to the controllers in turn.
func (b *fakeBackend) announce(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		path, body, err := platform.StandInHeartbeat(&wire.Announcement{
			Name: b.id, Service: "s", Address: b.address, Zone: "z", Slots: 16,
			Sequence: b.sequence.Add(1), Draining: b.draining.Load(), SoftwareVersion: b.version,
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
		case <-time.After(announceInterval):
		}
	}
}

// processingTime is how long a request takes.
const processingTime = 5 * time.Millisecond

// streamEvents is the number of events of each stream.
const streamEvents = 5

// ServeHTTP runs a request and returns an answer that is specific to its id.
func (b *fakeBackend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := fieldsOf(r.Header)
	request := platform.DecodeRequest(header)
	id := request.ID
	if limit := b.recordArrival(id); limit > 0 {
		setHeaders(w, framer.Header{platform.StandInRequestLimit(limit)})
	}
	if b.applyConstraints(w, id) {
		return
	}
	if target := platform.DecodeDispatch(header).Name; target != "" && target != b.id {
		setHeaders(w, platform.StandInRefusal(id))
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	run := b.runs.Add(1)
	if platform.DecodeKey(header) != "" {
		b.y.history.addViolation("%s was forwarded with its caller's key", id)
	}
	b.y.history.recordCustomerRun(platform.DecodeDispatch(header).Customer, time.Now())
	b.y.history.recordRun(id, r.Method+" "+r.RequestURI+" "+string(body))
	if b.isFatal != nil && b.isFatal(string(body), request.PromptParts) {
		b.crash()
		return
	}
	processing := processingTime
	if routeKindOf(r.URL.Path) != stream {
		processing += time.Duration(b.delay.Load())
	}
	select {
	case <-r.Context().Done():
	case <-time.After(processing):
	}
	setHeaders(w, platform.StandInResponse(id, b.id))
	if b.failing.Load() || b.failingHalf.Load() && run%2 == 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if routeKindOf(r.URL.Path) == resumable {
		b.serveResumable(w, r, platform.DecodeDispatch(header).ResumeAfter)
		return
	}
	if routeKindOf(r.URL.Path) != stream {
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
		case <-time.After(5*time.Millisecond + time.Duration(b.delay.Load())):
		}
	}
}

// fieldsOf returns a header in the framer's type.
func fieldsOf(h http.Header) framer.Header {
	var fields framer.Header
	for name := range h {
		fields = append(fields, framer.Field{Name: name, Value: h.Get(name)})
	}
	return fields
}

func setHeaders(w http.ResponseWriter, header framer.Header) {
	for _, field := range header {
		w.Header().Set(field.Name, field.Value)
	}
}

// answerTo returns the expected answer to a request.
func answerTo(id string) string { return "the answer to " + id }
