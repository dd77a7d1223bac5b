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

// load sends completions from several callers until stop is called, and returns
// what was wrong with any of them.
type load struct {
	y       *system
	stop    chan struct{}
	callers sync.WaitGroup
	whole   atomic.Int64
	refused atomic.Int64
	mu      sync.Mutex
	wrong   []string
}

// startLoad starts callers that each ask for one adapter after another.
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
		l.judge(l.y.complete(gateway, model, stream), model, stream)
	}
}

func (l *load) judge(r reply, model string, stream bool) {
	switch {
	case r.status == http.StatusOK && whole(r, model, stream):
		l.whole.Add(1)
	case r.status == http.StatusOK && r.err != nil:
		// A stream that was cut shows as cut; that is no false answer.
		l.refused.Add(1)
	case r.status == http.StatusOK:
		l.note("a false answer for " + model + ": " + r.body)
	default:
		l.refused.Add(1)
	}
}

func (l *load) note(text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wrong = append(l.wrong, text)
}

func (l *load) end() {
	close(l.stop)
	l.callers.Wait()
}

// reach waits until so many more answers have come.
func (l *load) reach(c *qt.C, more int64) {
	want := l.whole.Load() + more
	eventually(c, fmt.Sprintf("%d more whole answers", more), func() bool { return l.whole.Load() >= want })
}

func TestAnswersAreRightAndWhole(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startSystem(c, shape{controllers: 3, gateways: 2, engines: 3, slots: 3})
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
		y.fault(y.engineAt[0], fault)
		y.fault(y.engineAt[1], fault)
		l.reach(c, 60)
		c.Logf("%s: %d whole answers so far, %d refused", name, l.whole.Load(), l.refused.Load())
	}
	y.toEngine[2].silence()
	l.reach(c, 60)
	y.toEngine[2].pull()
	l.reach(c, 60)
	y.toEngine[2].plug()
	l.reach(c, 60)
	l.end()
	c.Assert(l.wrong, qt.HasLen, 0)
	assertNeverEvictedInUse(c, y)
}

func assertNeverEvictedInUse(c *qt.C, y *system) {
	for i := range y.engines {
		for _, e := range y.engineLog(i) {
			c.Assert(e.What, qt.Not(qt.Equals), "UnloadedInUse", qt.Commentf("engine %d, %s", i, e.Adapter))
		}
	}
}

func TestEvictionSparesWhatServes(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	// Far more adapters than slots, and the leader and a gateway are lost on the way.
	y := startSystem(c, shape{controllers: 3, gateways: 3, engines: 2, slots: 2, ignoreFencing: true})
	l := startLoad(y, 12, 20, 0, 1)
	l.reach(c, 60)
	leader := y.leader()
	y.controllers[leader].kill()
	l.reach(c, 60)
	y.controllers[leader].start()
	y.gateways[2].kill()
	l.reach(c, 60)
	l.end()
	c.Assert(l.wrong, qt.HasLen, 0)
	assertNeverEvictedInUse(c, y)
	evicted := 0
	for i := range y.engines {
		for _, e := range y.engineLog(i) {
			if e.What == "Unloaded" {
				evicted++
			}
		}
	}
	c.Assert(evicted > 10, qt.IsTrue, qt.Commentf("only %d evictions; the test shows little", evicted))
}

func TestLosingTheLeaderRefusesNothing(t *testing.T) {
	c := qt.New(t)
	y := startSystem(c, shape{controllers: 3, gateways: 2, engines: 2, slots: 4})
	// All adapters in use are loaded before the leader is lost.
	l := startLoad(y, 6, 2, 0, 1)
	l.reach(c, 60)
	before := l.refused.Load()
	y.controllers[y.leader()].kill()
	l.reach(c, 200)
	c.Assert(l.refused.Load()-before, qt.Equals, int64(0))
	l.end()
	c.Assert(l.wrong, qt.HasLen, 0)
}

func TestPlannedStopCutsNothing(t *testing.T) {
	c := qt.New(t)
	y := startSystem(c, shape{controllers: 3, gateways: 2, engines: 3, slots: 4})
	l := startLoad(y, 8, 4, 0)
	l.reach(c, 40)
	// A leaving backend server and a stopping leader cut nothing either.
	y.engines[0].stop()
	l.reach(c, 40)
	y.controllers[y.leader()].stop()
	l.reach(c, 40)
	refused := l.refused.Load()
	c.Assert(refused, qt.Equals, int64(0))
	l.end()
	// Callers of the stopping gateway that were taken in get their whole answer.
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
	eventually(c, "requests run at the gateway", func() bool { return len(y.running(1)) > 0 })
	y.gateways[1].stop()
	callers.Wait()
	for _, r := range answers {
		whole := r.status == http.StatusOK && whole(r, "proof-0@1", true)
		refused := r.status == 0 || r.ran() == "no"
		c.Assert(whole || refused, qt.IsTrue, qt.Commentf("%d %v %s", r.status, r.err, r.body))
	}
}

// running returns the requests that the engines have begun for a gateway and not
// yet finished.
func (y *system) running(gateway int) map[string]bool {
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
	mine := map[string]bool{}
	for id := range open {
		if len(id) > 7 && id[:7] == fmt.Sprintf("entry-%d", gateway) {
			mine[id] = true
		}
	}
	return mine
}

func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func TestStopWithoutControllersEnds(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startSystem(c, shape{controllers: 1, gateways: 1, engines: 1, slots: 2})
	y.controllers[0].kill()
	y.gateways[0].stop()
}

// leaveBound is what the users' promise is taken for. The engine stays for longer, so
// that work that comes later would be seen.
const leaveBound = 5 * time.Second

func TestLeavingServerGetsNoNewWork(t *testing.T) {
	c := qt.New(t)
	y := startSystem(c, shape{controllers: 3, gateways: 2, engines: 2, slots: 4})
	l := startLoad(y, 6, 4, 0, 1)
	l.reach(c, 60)
	leaving := time.Now()
	y.engines[0].signal(15)
	var last []engineEntry
	eventually(c, "the engine has stopped", func() bool {
		if y.engines[0].alive() {
			if log := y.tryEngineLog(0); log != nil {
				last = log
			}
		}
		return !y.engines[0].alive()
	})
	l.reach(c, 60)
	l.end()
	c.Assert(l.wrong, qt.HasLen, 0)
	for _, e := range last {
		if e.What == "Ran" {
			after := e.At.Sub(leaving)
			c.Assert(after < leaveBound, qt.IsTrue, qt.Commentf("new work %s after leaving", after))
		}
	}
}

func (y *system) tryEngineLog(i int) []engineEntry {
	res, err := http.Get("http://" + y.engineAt[i] + "/control/log")
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
