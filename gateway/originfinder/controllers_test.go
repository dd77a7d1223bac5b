package originfinder

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/originreceiver"
	"bronzelead.example/pkg/originrecorder"
	"bronzelead.example/pkg/wire"
)

// controller remembers origins for a fleet.
type controller struct {
	address  string
	receiver *originreceiver.Receiver
	// datagrams counts those that it was sent, and asked its calls.
	datagrams, asked int
}

// FindOrigin counts the calls. The tests that use it call one at a time.
func (k *controller) FindOrigin(ctx context.Context, req *wire.FindOriginRequest) (*wire.FindOriginResponse, error) {
	k.asked++
	return k.receiver.FindOrigin(ctx, req)
}

func (y *fleet) restartController(k *controller) {
	k.receiver = &originreceiver.Receiver{Clock: y.clock, Log: slog.New(slog.DiscardHandler), Meter: meter.New("controller", "test", "z"), Max: 1 << 10}
	k.receiver.Init()
}

// addControllers adds controllers to a fleet.
func (y *fleet) addControllers(n int) {
	var list []string
	for range n {
		k := &controller{}
		y.restartController(k)
		server := httptest.NewServer(wire.NewOriginsServer(k))
		y.c.Cleanup(server.Close)
		k.address = strings.TrimPrefix(server.URL, "http://")
		y.controllers = append(y.controllers, k)
		list = append(list, k.address)
	}
	for _, f := range y.finders {
		f.Controllers = func() []string { return list }
	}
}

// forgetAll lets all gateways lose what they remember.
func (y *fleet) forgetAll() {
	for _, f := range y.finders {
		y.forget(f)
	}
}

// After all gateways were lost at once nobody knew the origin of any stream. Controllers do, as long as one is left
// that it was reported to.
func TestOriginsOutliveAllGateways(t *testing.T) {
	for name, controllers := range map[string]int{"one": 1, "three": 3, "five": 5} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			y := newFleet(c, 4)
			y.addControllers(controllers)
			for i := range 20 {
				s := stream(i, "v1")
				y.finders[i%4].Record([]Stream{s})
				y.finders[i%4].sendBatch()
				y.forgetAll()
				left := min(controllers, Copies)
				for _, k := range y.controllers {
					if _, known := k.receiver.Find(originrecorder.KeyOf(s.Attempt)); known == originrecorder.Known && left > 1 {
						y.restartController(k)
						left--
					}
				}
				got := y.finders[(i+1)%4].Find(context.Background(), s.Attempt)
				c.Check(got.Knowledge, qt.Equals, originrecorder.Known)
				c.Check(got.Origin, qt.Equals, s.Origin)
				c.Check(got.OfController, qt.IsTrue)
			}
		})
	}
}

// What controllers don't know for certain is not known; whether another attempt may help follows from whether all
// answered.
func TestOriginsThatControllersDoNotKnow(t *testing.T) {
	for name, test := range map[string]struct {
		prepare    func(y *fleet)
		knowledge  originrecorder.Knowledge
		unanswered int
	}{
		"known": {func(*fleet) {}, originrecorder.Known, 0},
		"one answers": {func(y *fleet) {
			y.down[y.controllers[0].address], y.down[y.controllers[1].address] = true, true
		}, originrecorder.Known, 0},
		"its time is over": {func(y *fleet) { y.clock.Advance(4 * time.Second) }, originrecorder.Unknown, 0},
		"none answers": {func(y *fleet) {
			for _, k := range y.controllers {
				y.down[k.address] = true
			}
		}, originrecorder.Unknown, 3},
		"all have restarted": {func(y *fleet) {
			for _, k := range y.controllers {
				y.restartController(k)
			}
		}, originrecorder.Unknown, 0},
		"none is listed": {func(y *fleet) { y.finders[3].Controllers = func() []string { return nil } }, originrecorder.Unknown, 1},
		"two of them differ": {func(y *fleet) {
			y.restartController(y.controllers[1])
			y.controllers[1].receiver.Record(originrecorder.KeyOf("attempt0"), stream(0, "v2").Origin, time.Second)
		}, originrecorder.Ambiguous, 0},
		"two streams began with the id": {func(y *fleet) {
			y.finders[1].Record([]Stream{stream(0, "v2")})
			y.forgetAll()
		}, originrecorder.Ambiguous, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			y := newFleet(c, 4)
			y.addControllers(3)
			y.finders[0].Record([]Stream{stream(0, "v1")})
			y.forgetAll()
			test.prepare(y)
			got := y.finders[3].Find(context.Background(), "attempt0")
			c.Check(got.Knowledge, qt.Equals, test.knowledge)
			c.Check(got.Unanswered, qt.Equals, test.unanswered)
		})
	}
}

// Controllers are asked neither about a stream that a gateway knows, nor where the caller does not want that.
func TestControllersAreAskedLast(t *testing.T) {
	c := qt.New(t)
	y := newFleet(c, 4)
	y.addControllers(3)
	y.finders[0].Record([]Stream{stream(0, "v1")})
	c.Check(y.finders[1].Find(context.Background(), "attempt0").Knowledge, qt.Equals, originrecorder.Known)
	y.forgetAll()
	c.Check(y.finders[1].FindAtGateways(context.Background(), "attempt0").Knowledge, qt.Equals, originrecorder.Unknown)
	for _, k := range y.controllers {
		c.Check(k.asked, qt.Equals, 0)
	}
}

// A controller of an earlier release answers that it knows no such call. It is not waited for, and the request is not
// told to come back.
func TestControllersOfAnEarlierRelease(t *testing.T) {
	c := qt.New(t)
	y := newFleet(c, 2)
	server := httptest.NewServer(http.NotFoundHandler())
	c.Cleanup(server.Close)
	calls := 0
	y.finders[0].Controllers = func() []string { calls++; return []string{strings.TrimPrefix(server.URL, "http://")} }
	got := y.finders[0].Find(context.Background(), "attempt0")
	c.Check(got.Knowledge, qt.Equals, originrecorder.Unknown)
	c.Check(got.Unanswered, qt.Equals, 0)
	c.Check(calls, qt.Equals, 1)
}

// All gateways report to the same few controllers, so that each sends them few datagrams, however many streams begin:
// one at once if none was sent recently, then one for each batch.
func TestReportsToControllersAreBatched(t *testing.T) {
	c := qt.New(t)
	y := newFleet(c, 2)
	y.addControllers(3)
	const streams, interval = 350, 10 * time.Millisecond
	for i := range streams {
		y.finders[0].Record([]Stream{stream(i, "v1")})
		y.clock.Advance(interval)
		if i == 0 {
			c.Check(y.controllers[0].receiver.Len(), qt.Equals, 1)
		}
	}
	y.finders[0].sendBatch()
	for _, k := range y.controllers {
		c.Check(k.datagrams <= int(streams*interval/batchInterval)+1, qt.IsTrue, qt.Commentf("%d", k.datagrams))
		for i := range streams {
			_, known := k.receiver.Find(originrecorder.KeyOf(stream(i, "").Attempt))
			c.Assert(known, qt.Equals, originrecorder.Known)
		}
	}
}

// A controller that has restarted gets the origins of running streams again, and not each time that gateways do.
func TestControllersAreRefreshedRarely(t *testing.T) {
	c := qt.New(t)
	y := newFleet(c, 2)
	y.addControllers(1)
	y.finders[0].Record([]Stream{stream(0, "v1")})
	y.restartController(y.controllers[0])
	y.controllers[0].datagrams = 0
	const refreshes, interval = 30, 2 * time.Second
	for range refreshes {
		y.clock.Advance(interval)
		y.finders[0].Refresh([]Stream{stream(0, "v1")})
		y.finders[0].sendBatch()
		_, known := y.finders[1].receiver.Find(originrecorder.KeyOf("attempt0"))
		c.Check(known, qt.Equals, originrecorder.Known)
	}
	c.Check(y.controllers[0].datagrams, qt.Equals, int(refreshes*interval/controllerRefreshInterval))
}
