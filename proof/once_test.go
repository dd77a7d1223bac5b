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

// orders places orders as a careful shop client does: it repeats an order under its
// key until it knows what became of it.
type orders struct {
	y    *system
	stop chan struct{}
	all  sync.WaitGroup
	mu   sync.Mutex
	// acknowledged, refused and doubtful hold orders by their final answer.
	acknowledged, refused, doubtful map[string]bool
	wrong                           []string
}

func startOrders(y *system, callers int) *orders {
	o := &orders{
		y: y, stop: make(chan struct{}),
		acknowledged: map[string]bool{}, refused: map[string]bool{}, doubtful: map[string]bool{},
	}
	for caller := range callers {
		o.all.Add(1)
		go o.run(caller)
	}
	return o
}

func (o *orders) run(caller int) {
	defer o.all.Done()
	for n := 0; ; n++ {
		select {
		case <-o.stop:
			return
		default:
			o.place(fmt.Sprintf(`{"order":"%d-%d"}`, caller, n))
		}
	}
}

// place sends one order, again and again, to any gateway, until it is settled.
func (o *orders) place(order string) {
	first := ""
	for attempt := range 60 {
		r := o.y.call(rand.IntN(len(o.y.gateways)), http.MethodPost, "/services/orders/new", order, order)
		switch {
		case r.err == nil && r.status == http.StatusOK:
			if first == "" {
				first = r.body
				o.settle(o.acknowledged, order)
				continue
			}
			if r.body != first {
				o.note(fmt.Sprintf("order %s got two answers: %s and %s", order, first, r.body))
			}
			return
		case first != "" && r.err == nil && r.status != http.StatusConflict && r.ran() == "no":
			o.note(fmt.Sprintf("order %s ran, and then was refused as not run: %s", order, r.body))
		case r.err == nil && kindOf(r) == "MayHaveRun":
			o.settle(o.doubtful, order)
			return
		case r.err == nil && r.ran() == "no" && attempt > 40:
			o.settle(o.refused, order)
			return
		}
		<-time.After(time.Duration(rand.IntN(200)) * time.Millisecond)
	}
	o.settle(o.doubtful, order)
}

func kindOf(r reply) string {
	p := struct{ Error struct{ Kind string } }{}
	_ = unmarshal(r.body, &p)
	return p.Error.Kind
}

func (o *orders) settle(group map[string]bool, order string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	group[order] = true
}

func (o *orders) note(text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.wrong = append(o.wrong, text)
}

func (o *orders) acknowledgedCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.acknowledged)
}

// reach waits until more orders are acknowledged.
func (o *orders) reach(c *qt.C) {
	const more = 50
	want := o.acknowledgedCount() + more
	eventually(c, fmt.Sprintf("%d more orders are acknowledged", more), func() bool { return o.acknowledgedCount() >= want })
}

// check compares the callers' history with what the service ran.
func (o *orders) check(c *qt.C) {
	close(o.stop)
	o.all.Wait()
	runs := o.y.serviceRuns()
	for order, n := range runs {
		c.Check(n, qt.Equals, 1, qt.Commentf("order %s ran %d times", order, n))
		c.Check(o.refused[order], qt.IsFalse, qt.Commentf("order %s ran, but was refused as not run", order))
	}
	for order := range o.acknowledged {
		c.Check(runs[order], qt.Equals, 1, qt.Commentf("order %s was acknowledged, but did not run", order))
	}
	c.Check(o.wrong, qt.HasLen, 0)
	c.Logf("%d acknowledged, %d in doubt, %d refused, %d ran", len(o.acknowledged), len(o.doubtful), len(o.refused), len(runs))
}

func TestOrdersRunAtMostOnce(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startSystem(c, shape{controllers: 3, gateways: 3, engines: 1, slots: 2})
	o := startOrders(y, 12)
	o.reach(c)
	// Late and lost acknowledgements, which make clients retry.
	y.fault(y.serviceAt, `{"DelayMs":300,"DropAnswers":10}`)
	o.reach(c)
	y.fault(y.serviceAt, `{}`)
	// A gateway is killed in the middle of its work, and comes back.
	y.gateways[0].kill()
	o.reach(c)
	y.gateways[0].start()
	// The leader is killed while claims are written.
	leader := y.leader()
	y.controllers[leader].kill()
	o.reach(c)
	y.controllers[leader].start()
	// A gateway freezes for longer than its session lives, and wakes up.
	y.gateways[1].freeze()
	eventually(c, "the frozen gateway's session ends", func() bool { return !y.hasSession("entry-1") })
	y.gateways[1].thaw()
	o.reach(c)
	// A gateway loses all controllers; it refuses, and comes back by itself.
	for _, cable := range y.cables[2] {
		cable.pull()
	}
	o.reach(c)
	for _, cable := range y.cables[2] {
		cable.plug()
	}
	o.reach(c)
	o.check(c)
}

// hasSession tells whether the leader knows a live session of a gateway.
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
	y := startSystem(c, shape{controllers: 1, gateways: 2, engines: 1, slots: 2})
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
