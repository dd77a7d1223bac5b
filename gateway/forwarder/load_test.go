package forwarder

import (
	"bytes"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/balancer"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/wire"
	"bronzelead.example/platform"
)

// The load figures in answers were decoded by nobody. Only answers that are certainly those of the
// incarnation that was asked say something about it.
func TestWhichAnswersNameAMachineLoad(t *testing.T) {
	load := platform.ServerLoad{Running: 1, Slots: 8, Machine: 250}
	for name, test := range map[string]struct {
		status int
		answer platform.Response
		want   int
	}{
		"served":                  {200, platform.Response{Signed: true, Load: load}, 250},
		"a rejection":             {503, platform.Response{NotRun: true, Load: load}, 250},
		"a failure of its own":    {500, platform.Response{Signed: true, Load: load}, 250},
		"without a fourth figure": {200, platform.Response{Signed: true, Load: platform.ServerLoad{Running: 1, Slots: 8}}, 0},
		"unreadable":              {200, platform.Response{Signed: true, LoadFault: "NotDecimal"}, 0},
		"another incarnation":     {421, platform.Response{NotRun: true, Load: load}, 0},
		"not the server's":        {200, platform.Response{Load: load}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newBackend(c, "b", refuses(503))
			_, f := startGatewayAndForwarder(c, b)
			f.observeLoad(&job{lastBackend: b.announcement()}, test.status, test.answer)
			f.mu.Lock()
			defer f.mu.Unlock()
			got, _ := f.balancer.MachineLoad(f.Clock.Now(), "b")
			c.Check(got, qt.Equals, test.want)
		})
	}
}

// An unreadable load was not noticed. Each is counted, one in 10 s is logged, and the figure before
// remains.
func TestUnreadableLoadsAreCountedAndIgnored(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	b := newBackend(c, "b", refuses(503))
	_, f := newGateway(c, clock)
	f.Apply("controller", firstTable(b))
	j := &job{lastBackend: b.announcement()}
	f.observeLoad(j, 200, platform.Response{Signed: true, Load: platform.ServerLoad{Slots: 8, Machine: 150}})
	for range 5 {
		clock.Advance(time.Second)
		f.observeLoad(j, 200, platform.Response{Signed: true, LoadFault: "Repeated"})
	}
	c.Check(f.loadFaultLoggedAt, qt.Equals, clock.Now().Add(-4*time.Second))
	percent, age := f.balancer.MachineLoad(clock.Now(), "b")
	c.Check(percent, qt.Equals, 150)
	c.Check(age, qt.Equals, 5*time.Second)
}

// Nothing showed which engines were slow. A line every 10 s says how many differ, and none is
// written where all are equal.
func TestLearntPacesAreLogged(t *testing.T) {
	for name, test := range map[string]struct {
		interval uint32
		lines    int
	}{
		"slow":  {88_000, 2},
		"equal": {41_000, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var logged bytes.Buffer
			clock := clockwork.NewFakeClock()
			f := &Forwarder{
				Clock: clock, Log: slog.New(slog.NewTextHandler(&logged, nil)), Meter: meter.New("gateway", "test", "z"),
				RequestAdapters: func([]*wire.Want) {},
			}
			f.Init()
			res := &wire.SyncResponse{HasLoads: true}
			for i := range 5 {
				id := fmt.Sprint("e", i)
				res.Announcements = append(res.Announcements, &wire.Announcement{Id: id, Service: "s", Address: id, Sequence: 1, Slots: 8})
				res.Loads = append(res.Loads, &wire.Load{Backend: id, Requests: 1, EventIntervalUs: 40_000, EventSamples: 40})
			}
			res.Loads[0].EventIntervalUs = test.interval
			for range 20 {
				clock.Advance(time.Second)
				f.Apply("controller", res)
				f.mu.Lock()
				f.balancer.Enqueue(&balancer.Waiter{ID: "w", Service: "s", Deadline: clock.Now().Add(time.Second)})
				decisions, _ := f.balancer.Next(clock.Now())
				f.balancer.Done(clock.Now(), decisions[0].Backend.GetId(), "", 0, balancer.Served)
				f.mu.Unlock()
				f.measurePaces()
			}
			c.Check(strings.Count(logged.String(), "paces of backend servers differ"), qt.Equals, test.lines)
			c.Check(strings.Count(logged.String(), "Slower=1 Faster=0 Slowest=2.0"), qt.Equals, test.lines)
		})
	}
}

// The load in an answer reaches the balancer, and is not passed on to the caller.
func TestLoadOfAnAnswerIsObserved(t *testing.T) {
	c := qt.New(t)
	load := platform.StandInLoad(platform.ServerLoad{Running: 1, Slots: 8, Machine: 180})
	b := newBackend(c, "b", func(b *fakeBackend, req *http.Request, conn net.Conn) bool {
		b.runs.Add(1)
		answer(conn, 200, "y", append(platform.StandInResponse(requestID(req), b.id), load))
		return true
	})
	address, f := startGatewayAndForwarder(c, b)
	res := call(c, address, "/safe/")
	c.Check(res.body, qt.Equals, "y")
	c.Check(fields(res.header).Has(load.Name), qt.IsFalse)
	f.mu.Lock()
	defer f.mu.Unlock()
	percent, _ := f.balancer.MachineLoad(f.Clock.Now(), "b")
	c.Check(percent, qt.Equals, 180)
}

// The times between events of a stream that is relayed are reported with the loads.
func TestEventsOfStreamsAreReportedAsPace(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	b := newBackend(c, "b", refuses(503))
	_, f := newGateway(c, clock)
	f.Apply("controller", firstTable(b))
	j := &job{
		lastBackend: b.announcement(), meta: platform.Request{PromptTokens: 100},
		route: &wire.Route{Repetition: wire.Repetition_REPETITION_STREAM, Prompts: true, PauseObjectiveMs: 500},
	}
	f.mu.Lock()
	f.balancer.Enqueue(&balancer.Waiter{ID: "w", Service: b.announcement().GetService(), Deadline: clock.Now().Add(time.Second)})
	decisions, _ := f.balancer.Next(clock.Now())
	f.mu.Unlock()
	c.Assert(decisions, qt.HasLen, 1)
	for range 4 {
		f.observeEvents(j)
		clock.Advance(40 * time.Millisecond)
	}
	loads := f.Loads()
	c.Assert(loads, qt.HasLen, 1)
	c.Check(loads[0].GetEventIntervalUs(), qt.Equals, uint32(40_000))
	c.Check(loads[0].GetEventSamples(), qt.Equals, uint32(3))
}
