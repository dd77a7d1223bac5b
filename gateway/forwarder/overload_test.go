package forwarder

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/acceptor"
	"bronzelead.example/gateway/regulator"
	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/wire"
)

// overloadedTable is a controller's update by which a backend server is contended, and its wait is
// longer than the objective of its requests.
func overloadedTable(b *fakeBackend, requests uint32) *wire.SyncResponse {
	res := firstTable(b)
	res.HasLoads = true
	res.Loads = []*wire.Load{{Backend: b.id, Requests: requests, WaitUs: 1e6, ServiceUs: 10_000}}
	return res
}

// A request that can't be on time by what is known must be refused without a call to an owner, and
// others must not be refused for it.
func TestRequestsAreRefusedLocally(t *testing.T) {
	for name, test := range map[string]struct {
		requests uint32
		off      []ablator.Mechanism
		refused  bool
	}{
		"contended and too busy": {4, nil, true},
		"switched off":           {4, []ablator.Mechanism{ablator.LocalRefusals}, false},
		"not contended":          {1, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newBackend(c, "b", runsAndAnswers(200, "yes"))
			address, f := startGatewayAndForwarder(c, b)
			f.Disabled = ablator.Disable(test.off...)
			f.Apply("controller", overloadedTable(b, test.requests))
			// The first request is a probe.
			f.Regulator.TakeProbe("")
			response := call(c, address, "/safe/x")
			if !test.refused {
				c.Check(response.status, qt.Equals, http.StatusOK)
				return
			}
			c.Check(response.status, qt.Equals, http.StatusServiceUnavailable)
			// The wait is 1 s; callers follow up to a third of their 2.5 s.
			seconds, err := strconv.ParseFloat(response.header.Get("Retry-After"), 64)
			c.Assert(err, qt.IsNil)
			c.Check(seconds > 0.5 && seconds < 2.5/3, qt.IsTrue, qt.Commentf("%v", seconds))
			c.Check(b.runs.Load(), qt.Equals, int32(0))
		})
	}
}

// The end of an overload must be seen although all requests would be refused locally.
func TestProbesAskOwners(t *testing.T) {
	c := qt.New(t)
	b := newBackend(c, "b", runsAndAnswers(200, "yes"))
	address, f := startGatewayAndForwarder(c, b)
	statuses := map[int]int{}
	for range 4 {
		f.Apply("controller", overloadedTable(b, 4))
		statuses[call(c, address, "/safe/x").status]++
	}
	c.Check(statuses[http.StatusOK] > 0, qt.IsTrue, qt.Commentf("%v", statuses))
	c.Check(statuses[http.StatusServiceUnavailable] > 0, qt.IsTrue, qt.Commentf("%v", statuses))
}

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu  sync.Mutex
	buf strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.buf.String(), text)
}

// Beyond the capacity a log line for each refusal would take more time than is left for the
// requests that are served.
func TestRefusalsAreLoggedTogether(t *testing.T) {
	c := qt.New(t)
	b := newBackend(c, "b", runsAndAnswers(200, "yes"))
	log := &lockedBuffer{}
	address, f := newLoggingGateway(c, clockwork.NewRealClock(), log)
	for range 10 {
		f.Apply("controller", overloadedTable(b, 4))
		f.Regulator.TakeProbe("")
		c.Assert(call(c, address, "/safe/x").status, qt.Equals, http.StatusServiceUnavailable)
	}
	eventually(c, func() bool { return log.count("requests refused") > 0 })
	c.Check(log.count(reasonOverloaded) <= 2, qt.IsTrue, qt.Commentf("%d lines", log.count(reasonOverloaded)))
	// Metrics are reported once a second, and no order is given between that and the log line.
	eventually(c, func() bool {
		recorder := httptest.NewRecorder()
		f.Meter.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		return refusedLocally.MatchString(recorder.Body.String())
	})
}

// refusedLocally matches the metric of ten local refusals.
var refusedLocally = regexp.MustCompile(`(?m)slot_requests\{.*"` + string(slotRefusedLocally) + `".*\} 10$`)

// BenchmarkAllBusy measures the decision to refuse a request locally, with seven backend servers.
func BenchmarkAllBusy(b *testing.B) {
	clock := clockwork.NewFakeClock()
	f := &Forwarder{Clock: clock, Log: slog.New(slog.DiscardHandler), Meter: meter.New("gateway", "test", "z"), Regulator: &regulator.Regulator{Clock: clock}}
	f.Init()
	f.Regulator.Init()
	res := &wire.SyncResponse{HasLoads: true}
	for i := range 7 {
		id := fmt.Sprint("b", i)
		res.Announcements = append(res.Announcements, &wire.Announcement{Id: id, Name: id, Service: "s", Slots: 6, Sequence: 1})
		res.Loads = append(res.Loads, &wire.Load{Backend: id, Requests: 6, WaitUs: 1e6, ServiceUs: 10_000})
	}
	f.Apply("controller", res)
	f.Regulator.TakeProbe("")
	j := &job{req: &acceptor.Request{ReceivedAt: clock.Now()}, route: &wire.Route{ObjectiveMs: 300}, service: "s", firstSentAt: clock.Now(), usesSlotGrants: true}
	b.ReportAllocs()
	for b.Loop() {
		if !f.allBusy(j) {
			b.Fatal("not busy")
		}
	}
}
