package proof

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// stopGrace is Grace of the gateways' settings.
	stopGrace = 4 * time.Second
	// longRun is longer than callers wait.
	longRun = 10 * time.Second
)

// Requests that ran longer than what was left of the grace were cut when the gateway exited, with no answer, and open
// connections were closed before.
func TestRoutedStopAnswersLongRequests(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startRouted(c, 3, 2, 2)
	stopping := y.gateways[0]
	kept := newCaller(y, "kept", stopping)
	defer kept.disconnect()
	c.Assert(kept.send(string(once)+"x").status, qt.Equals, http.StatusOK)
	for _, b := range y.backends {
		b.delay.Store(int64(longRun))
	}
	var mu sync.Mutex
	results := map[string]result{}
	var callers sync.WaitGroup
	send := func(name string, kind routeKind) {
		callers.Go(func() {
			l := newCaller(y, name, stopping)
			defer l.disconnect()
			s := l.send(string(kind) + "x")
			mu.Lock()
			defer mu.Unlock()
			results[name] = s
		})
	}
	runs := func() int32 { return y.backends[0].runs.Load() + y.backends[1].runs.Load() }
	before := runs()
	send("once-before", once)
	send("idempotent-before", idempotent)
	send("stream-before", stream)
	eventually(c, "the requests run", func() bool { return runs()-before == 3 })
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		stopping.stop()
	}()
	time.Sleep(200 * time.Millisecond)
	send("once-after", once)
	send("idempotent-after", idempotent)
	// Settings are read again during the stop, and a table comes.
	stopping.signal(syscall.SIGHUP)
	y.operator.putTable()
	// Drain is over by then, and the gateway still waits for the requests.
	time.Sleep(2 * time.Second)
	refused := kept.send(string(once) + "x")
	callers.Wait()
	<-exited
	// A program with the race detector needs another second to exit.
	took := y.loggedAt(stopping, "the gateway has stopped").Sub(y.loggedAt(stopping, "the gateway stops"))
	c.Check(took < stopGrace, qt.IsTrue, qt.Commentf("the stop took %v", took))
	c.Check(refused.status, qt.Equals, http.StatusServiceUnavailable)
	for name, status := range map[string]int{
		"once-before": http.StatusGatewayTimeout, "idempotent-before": http.StatusGatewayTimeout, "stream-before": http.StatusOK,
		"once-after": http.StatusServiceUnavailable,
	} {
		s := results[name]
		c.Check(s.status, qt.Equals, status, qt.Commentf("%s: %+v", name, s))
		c.Check(s.complete, qt.Equals, name != "stream-before", qt.Commentf("%s: %+v", name, s))
	}
	// On a busy machine it comes after Take, and is refused.
	after := results["idempotent-after"]
	c.Check(after.status == http.StatusGatewayTimeout || after.status == http.StatusServiceUnavailable, qt.IsTrue, qt.Commentf("%+v", after))
	c.Check(after.complete, qt.IsTrue)
	y.history.check(c)
}

// loggedAt returns when an instance last logged a message.
func (y *routedSystem) loggedAt(n *instance, message string) time.Time {
	var at time.Time
	for _, line := range y.readLog(n) {
		if line.Message == message {
			var err error
			at, err = time.Parse(time.RFC3339Nano, line.Time)
			y.c.Assert(err, qt.IsNil)
		}
	}
	y.c.Assert(at.IsZero(), qt.IsFalse, qt.Commentf("%s has not logged %q", n.name, message))
	return at
}
