package proof

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

// orderClients send orders to the service. Like a careful shop client, each repeats an order
// under its key until the outcome is known.
type orderClients struct {
	y       *system
	stop    chan struct{}
	workers sync.WaitGroup
	mu      sync.Mutex
	// acknowledged, refused and undetermined are the orders by their final outcome.
	acknowledged, refused, undetermined map[string]bool
	violations                          []string
}

func startOrderClients(y *system, callers int) *orderClients {
	o := &orderClients{
		y: y, stop: make(chan struct{}),
		acknowledged: map[string]bool{}, refused: map[string]bool{}, undetermined: map[string]bool{},
	}
	for caller := range callers {
		o.workers.Add(1)
		go o.run(caller)
	}
	return o
}

func (o *orderClients) run(caller int) {
	defer o.workers.Done()
	for n := 0; ; n++ {
		select {
		case <-o.stop:
			return
		default:
			o.submit(fmt.Sprintf(`{"order":"%d-%d"}`, caller, n))
		}
	}
}

// submit repeats an order at random gateways until its outcome is known, at most 60 times.
func (o *orderClients) submit(order string) {
	first := ""
	for attempt := range 60 {
		r := o.y.call(rand.IntN(len(o.y.gateways)), http.MethodPost, "/services/orders/new", order, order)
		switch {
		case r.err == nil && r.status == http.StatusOK:
			if first == "" {
				first = r.body
				o.record(o.acknowledged, order)
				continue
			}
			if r.body != first {
				o.addViolation(fmt.Sprintf("order %s got two different answers: %s and %s", order, first, r.body))
			}
			return
		case first != "" && r.err == nil && r.status != http.StatusConflict && r.ran() == "no":
			o.addViolation(fmt.Sprintf("order %s ran, and then was refused as not run: %s", order, r.body))
		case r.err == nil && kindOf(r) == "MayHaveRun":
			o.record(o.undetermined, order)
			return
		case r.err == nil && r.ran() == "no" && attempt > 40:
			o.record(o.refused, order)
			return
		}
		<-time.After(time.Duration(rand.IntN(200)) * time.Millisecond)
	}
	o.record(o.undetermined, order)
}

func kindOf(r reply) string {
	p := struct{ Error struct{ Kind string } }{}
	_ = unmarshal(r.body, &p)
	return p.Error.Kind
}

func (o *orderClients) record(group map[string]bool, order string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	group[order] = true
}

func (o *orderClients) addViolation(text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, text)
}

func (o *orderClients) acknowledgedCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.acknowledged)
}

// waitAcknowledged waits until 50 more orders are acknowledged.
func (o *orderClients) waitAcknowledged(c *qt.C) {
	const more = 50
	target := o.acknowledgedCount() + more
	eventually(c, fmt.Sprintf("%d more orders are acknowledged", more), func() bool { return o.acknowledgedCount() >= target })
}

// check compares the clients' history with the service's runs.
func (o *orderClients) check(c *qt.C) {
	close(o.stop)
	o.workers.Wait()
	runs := o.y.serviceRuns()
	for order, n := range runs {
		c.Check(n, qt.Equals, 1, qt.Commentf("order %s ran %d times", order, n))
		c.Check(o.refused[order], qt.IsFalse, qt.Commentf("order %s ran, but was refused as not run", order))
	}
	for order := range o.acknowledged {
		c.Check(runs[order], qt.Equals, 1, qt.Commentf("order %s was acknowledged, but did not run", order))
	}
	c.Check(o.violations, qt.HasLen, 0)
	c.Logf("%d acknowledged, %d undetermined, %d refused, %d ran", len(o.acknowledged), len(o.undetermined), len(o.refused), len(runs))
}

func TestOrdersRunAtMostOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startSystem(c, systemConfig{controllers: 3, gateways: 3, engines: 1, slots: 2})
	o := startOrderClients(y, 12)
	o.waitAcknowledged(c)
	// Delayed and lost acknowledgements, which make clients retry.
	y.injectFault(y.serviceAddr, `{"DelayMs":300,"DropAnswers":10}`)
	o.waitAcknowledged(c)
	y.injectFault(y.serviceAddr, `{}`)
	// A gateway is killed while it handles orders, and restarted.
	y.gateways[0].kill()
	o.waitAcknowledged(c)
	y.gateways[0].start()
	// The leader is killed while claims are written.
	leader := y.leader()
	y.controllers[leader].kill()
	o.waitAcknowledged(c)
	y.controllers[leader].start()
	// A gateway is frozen until its session expires, and resumed.
	y.gateways[1].freeze()
	eventually(c, "the frozen gateway's session expires", func() bool { return !y.hasSession("entry-1") })
	y.gateways[1].thaw()
	o.waitAcknowledged(c)
	// A gateway is partitioned from all controllers; it refuses, and recovers by itself.
	for _, proxy := range y.controllerProxies[2] {
		proxy.partition()
	}
	o.waitAcknowledged(c)
	for _, proxy := range y.controllerProxies[2] {
		proxy.heal()
	}
	o.waitAcknowledged(c)
	o.check(c)
}

// hasSession reports whether the leader knows a live session of a gateway; true as well if its
// status can't be read.
func (y *system) hasSession(instance string) bool {
	res, err := y.operator().Status(y.ctx(), &wire.StatusRequest{})
	if err != nil {
		return true
	}
	return slices.ContainsFunc(res.GetSessions(), func(s *wire.SessionStatus) bool { return s.GetInstance() == instance })
}

func TestSameKeyOtherRequest(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startSystem(c, systemConfig{controllers: 1, gateways: 2, engines: 1, slots: 2})
	first := y.call(0, http.MethodPost, "/services/orders/new", "k1", `{"n":1}`)
	c.Assert(first.status, qt.Equals, http.StatusOK)
	var again reply
	eventually(c, "the outcome is stored", func() bool {
		again = y.call(1, http.MethodPost, "/services/orders/new", "k1", `{"n":1}`)
		return again.status != http.StatusConflict
	})
	c.Assert(again.status, qt.Equals, http.StatusOK)
	c.Assert(again.body, qt.Equals, first.body)
	c.Assert(again.header.Get("Idempotency-Replayed"), qt.Equals, "true")
	other := y.call(1, http.MethodPost, "/services/orders/new", "k1", `{"n":2}`)
	c.Assert(other.status, qt.Equals, http.StatusUnprocessableEntity)
	c.Assert(y.serviceRuns(), qt.DeepEquals, map[string]int{`{"n":1}`: 1})
}
