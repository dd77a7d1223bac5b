package proof

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// load sends completions from several callers until finish is called, and records wrong
// answers.
type load struct {
	y          *system
	stop       chan struct{}
	callers    sync.WaitGroup
	complete   atomic.Int64
	refused    atomic.Int64
	mu         sync.Mutex
	violations []string
}

// startLoad starts callers that request one adapter after another.
func startLoad(y *system, callers, adapters int, gateways ...int) *load {
	l := &load{y: y, stop: make(chan struct{})}
	for caller := range callers {
		l.callers.Add(1)
		go l.run(caller, adapters, gateways)
	}
	return l
}

func (l *load) run(caller, adapters int, gateways []int) {
	defer l.callers.Done()
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		gateway := gateways[(caller+n)%len(gateways)]
		model := fmt.Sprintf("proof-%d@%d", (caller*7+n)%adapters, 1+n%2)
		stream := n%3 == 0
		l.checkAnswer(l.y.complete(gateway, model, stream), model, stream)
	}
}

func (l *load) checkAnswer(r reply, model string, stream bool) {
	switch {
	case r.status == http.StatusOK && isComplete(r, model, stream):
		l.complete.Add(1)
	case r.status == http.StatusOK && r.err != nil:
		// A truncated stream is visible to its caller, so it is not a wrong answer.
		l.refused.Add(1)
	case r.status == http.StatusOK:
		l.addViolation("wrong answer for " + model + ": " + r.body)
	default:
		l.refused.Add(1)
	}
}

func (l *load) addViolation(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.violations = append(l.violations, text)
}

func (l *load) finish() {
	close(l.stop)
	l.callers.Wait()
}

// waitComplete waits for a number of further complete answers.
func (l *load) waitComplete(c *qt.C, more int64) {
	target := l.complete.Load() + more
	eventually(c, fmt.Sprintf("%d more answers are complete", more), func() bool { return l.complete.Load() >= target })
}

func TestAnswersAreCorrectAndComplete(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startSystem(c, systemConfig{controllers: 3, gateways: 2, engines: 3, slots: 3})
	l := startLoad(y, 12, 12, 0, 1)
	faults := map[string]string{
		"crossed":   `{"Cross":4}`,
		"truncated": `{"Truncate":4}`,
		"lost":      `{"Lose":4}`,
		"frozen":    `{"FreezeMs":2000}`,
		"restarted": `{"Restart":true}`,
		"unloaded":  `{"FailLoads":2}`,
	}
	for name, fault := range faults {
		y.injectFault(y.engineAddrs[0], fault)
		y.injectFault(y.engineAddrs[1], fault)
		l.waitComplete(c, 60)
		c.Logf("%s: %d complete answers so far, %d refused", name, l.complete.Load(), l.refused.Load())
	}
	y.engineProxies[2].blackhole()
	l.waitComplete(c, 60)
	y.engineProxies[2].partition()
	l.waitComplete(c, 60)
	y.engineProxies[2].heal()
	l.waitComplete(c, 60)
	l.finish()
	c.Assert(l.violations, qt.HasLen, 0)
	assertNeverEvictedInUse(c, y)
}

func assertNeverEvictedInUse(c *qt.C, y *system) {
	for i := range y.engines {
		for _, e := range y.engineLog(i) {
			c.Assert(e.What, qt.Not(qt.Equals), "UnloadedInUse", qt.Commentf("engine %d, %s", i, e.Adapter))
		}
	}
}

func TestEvictionSparesAdaptersInUse(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	// There are far more adapters than slots; the leader and a gateway are killed under load.
	y := startSystem(c, systemConfig{controllers: 3, gateways: 3, engines: 2, slots: 2, ignoreFencing: true})
	l := startLoad(y, 12, 20, 0, 1)
	l.waitComplete(c, 60)
	leader := y.leader()
	y.controllers[leader].kill()
	l.waitComplete(c, 60)
	y.controllers[leader].start()
	y.gateways[2].kill()
	l.waitComplete(c, 60)
	l.finish()
	c.Assert(l.violations, qt.HasLen, 0)
	assertNeverEvictedInUse(c, y)
	evicted := 0
	for i := range y.engines {
		for _, e := range y.engineLog(i) {
			if e.What == "Unloaded" {
				evicted++
			}
		}
	}
	c.Assert(evicted > 10, qt.IsTrue, qt.Commentf("only %d evictions; eviction was not exercised", evicted))
}

func TestLosingTheLeaderRefusesNothing(t *testing.T) {
	c := qt.New(t)
	y := startSystem(c, systemConfig{controllers: 3, gateways: 2, engines: 2, slots: 4})
	// All adapters in use are loaded before the leader is killed.
	l := startLoad(y, 6, 2, 0, 1)
	l.waitComplete(c, 60)
	before := l.refused.Load()
	y.controllers[y.leader()].kill()
	l.waitComplete(c, 200)
	c.Assert(l.refused.Load()-before, qt.Equals, int64(0))
	l.finish()
	c.Assert(l.violations, qt.HasLen, 0)
}

func TestPlannedStopCompletesRequests(t *testing.T) {
	c := qt.New(t)
	y := startSystem(c, systemConfig{controllers: 3, gateways: 2, engines: 3, slots: 4})
	l := startLoad(y, 8, 4, 0)
	l.waitComplete(c, 40)
	// A backend server that leaves and a leader that stops interrupt no request either.
	y.engines[0].stop()
	l.waitComplete(c, 40)
	y.controllers[y.leader()].stop()
	l.waitComplete(c, 40)
	refused := l.refused.Load()
	c.Assert(refused, qt.Equals, int64(0))
	l.finish()
	// Requests that the stopping gateway has accepted are answered completely.
	var answers []reply
	var mu sync.Mutex
	var callers sync.WaitGroup
	for range 20 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			r := y.complete(1, "proof-0@1", true)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, r)
		}()
	}
	eventually(c, "requests run at the gateway", func() bool { return len(y.runningRequests(1)) > 0 })
	running := len(y.runningRequests(1))
	y.gateways[1].stop()
	callers.Wait()
	completed := 0
	for _, r := range answers {
		complete := r.status == http.StatusOK && isComplete(r, "proof-0@1", true)
		refused := r.status == 0 || r.ran() == "no"
		c.Assert(complete || refused, qt.IsTrue, qt.Commentf("%d %v %s", r.status, r.err, r.body))
		if complete {
			completed++
		}
	}
	// Those that ran when the gateway began to stop are among the complete ones.
	c.Assert(completed > 0 && completed >= running, qt.IsTrue, qt.Commentf("%d complete answers, %d requests were running", completed, running))
}

// runningRequests returns a gateway's requests that the engines have begun and not yet
// finished.
func (y *system) runningRequests(gateway int) map[string]bool {
	open := map[string]bool{}
	for i := range y.engines {
		if !y.engines[i].alive() {
			continue
		}
		for _, e := range y.engineLog(i) {
			switch e.What {
			case "Ran":
				open[e.RequestID] = true
			case "Finished", "Cancelled":
				delete(open, e.RequestID)
			}
		}
	}
	fromGateway := map[string]bool{}
	for id := range open {
		if len(id) > 7 && id[:7] == fmt.Sprintf("entry-%d", gateway) {
			fromGateway[id] = true
		}
	}
	return fromGateway
}

func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Requests that ran longer than a stop waits were cut when the gateway exited, with no answer.
func TestStopAnswersLongRequests(t *testing.T) {
	c := qt.New(t)
	y := startSystem(c, systemConfig{controllers: 3, gateways: 2, engines: 2, slots: 4, stopWithin: 4 * time.Second})
	// An engine takes 10 ms a token.
	long := func(stream bool) reply {
		return y.call(1, http.MethodPost, "/v1/completions", "", fmt.Sprintf(`{"model":"proof-0@1","prompt":"two loaves","max_tokens":1500,"stream":%t}`, stream))
	}
	var whole, streamed reply
	var callers sync.WaitGroup
	callers.Go(func() { whole = long(false) })
	callers.Go(func() { streamed = long(true) })
	eventually(c, "requests run at the gateway", func() bool { return len(y.runningRequests(1)) >= 2 })
	y.gateways[1].stop()
	callers.Wait()
	c.Check(whole.err, qt.IsNil)
	c.Check(whole.status, qt.Equals, http.StatusGatewayTimeout, qt.Commentf("%s", whole.body))
	c.Check(whole.ran(), qt.Equals, "unknown")
	c.Check(streamed.status, qt.Equals, http.StatusOK)
	c.Check(streamed.err, qt.Not(qt.IsNil), qt.Commentf("a stream that broke off looked complete"))
}

func TestGatewayStopsWithoutControllers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startSystem(c, systemConfig{controllers: 1, gateways: 1, engines: 1, slots: 2})
	y.controllers[0].kill()
	y.gateways[0].stop()
}

// maxLeaveDelay is the bound that the test sets for the promise that a leaving server gets no
// new work. The engine stays for longer, so that later work would be seen.
const maxLeaveDelay = 5 * time.Second

func TestLeavingServerGetsNoNewWork(t *testing.T) {
	c := qt.New(t)
	y := startSystem(c, systemConfig{controllers: 3, gateways: 2, engines: 2, slots: 4})
	l := startLoad(y, 6, 4, 0, 1)
	l.waitComplete(c, 60)
	leaving := time.Now()
	y.engines[0].signal(15)
	var last []engineEntry
	var lastRead time.Time
	eventually(c, "the engine has stopped", func() bool {
		if y.engines[0].alive() {
			if log := y.tryEngineLog(0); log != nil {
				last, lastRead = log, time.Now()
			}
		}
		return !y.engines[0].alive()
	})
	l.waitComplete(c, 60)
	l.finish()
	c.Assert(l.violations, qt.HasLen, 0)
	// An empty log, or one that was last read early, would show no late work. The log is read
	// until the engine stops, which it does later than maxLeaveDelay.
	c.Assert(lastRead.Sub(leaving) > maxLeaveDelay, qt.IsTrue, qt.Commentf("the log was last read %s after the server began to leave", lastRead.Sub(leaving)))
	ran := 0
	for _, e := range last {
		if e.What == "Ran" {
			ran++
			after := e.At.Sub(leaving)
			c.Assert(after < maxLeaveDelay, qt.IsTrue, qt.Commentf("new work %s after the server began to leave", after))
		}
	}
	c.Assert(ran > 0, qt.IsTrue, qt.Commentf("the engine ran nothing"))
}

func (y *system) tryEngineLog(i int) []engineEntry {
	res, err := http.Get("http://" + y.engineAddrs[i] + "/control/log")
	if err != nil {
		return nil
	}
	defer func() { _ = res.Body.Close() }()
	log := struct{ Entries []engineEntry }{}
	if decode(res.Body, &log) != nil {
		return nil
	}
	return log.Entries
}
