package regulator

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/pacer"
	"bronzelead.example/pkg/wire"
)

// longWait is a wait that must not elapse in a test.
const longWait = time.Minute

func newRegulator(self string) *Regulator {
	r := &Regulator{Clock: clockwork.NewRealClock(), Log: slog.New(slog.DiscardHandler), Self: self}
	r.Init()
	return r
}

// gateways returns regulators that can call each other, and their addresses.
func gateways(c *qt.C, n int) ([]*Regulator, []string) {
	var all []*Regulator
	var addresses []string
	for range n {
		r := newRegulator("")
		server := httptest.NewServer(wire.NewPacingServer(&Server{Regulator: r}))
		c.Cleanup(server.Close)
		r.Self = strings.TrimPrefix(server.URL, "http://")
		ctx, cancel := context.WithCancel(context.Background())
		c.Cleanup(cancel)
		go r.Run(ctx)
		all, addresses = append(all, r), append(addresses, r.Self)
	}
	for _, r := range all {
		r.UpdateGateways("controller", listOf(addresses))
	}
	return all, addresses
}

// listOf returns a leader's list of gateways.
func listOf(addresses []string) *wire.SyncResponse {
	return &wire.SyncResponse{Leads: true, GatewayList: entries(addresses)}
}

// engineOf returns an engine that the gateway at an address owns.
func engineOf(r *Regulator, address string) string {
	for i := 0; ; i++ {
		if id := fmt.Sprint("engine-", i); r.owner(id) == address {
			return id
		}
	}
}

// large returns a prompt that leaves no room for another.
func large(backend string) *Prompt {
	now := time.Now()
	return &Prompt{Backend: backend, GrantRequest: pacer.GrantRequest{
		Tokens: 1 << 20, ReceivedAt: now, OnTimeUntil: now.Add(time.Minute), MaxPause: 300 * time.Millisecond,
	}}
}

func TestGatewaysAgreeOnOwners(t *testing.T) {
	c := qt.New(t)
	var addresses []string
	for i := range 7 {
		addresses = append(addresses, fmt.Sprintf("10.0.%d.1:80", i))
	}
	a, b := newRegulator(addresses[0]), newRegulator(addresses[1])
	a.UpdateGateways("controller", listOf(addresses))
	b.UpdateGateways("controller", listOf(addresses))
	lost := newRegulator(addresses[0])
	lost.UpdateGateways("controller", listOf(addresses[:6]))
	engines := map[string]int{}
	for i := range 700 {
		id := fmt.Sprint("engine-", i)
		before := a.owner(id)
		engines[before]++
		c.Assert(b.owner(id), qt.Equals, before)
		if before != addresses[6] {
			c.Assert(lost.owner(id), qt.Equals, before)
		}
	}
	for _, address := range addresses {
		c.Check(engines[address] > 60 && engines[address] < 140, qt.IsTrue, qt.Commentf("%s has %d of 700", address, engines[address]))
	}
}

// The leader's list is used, and before a leader is known the longest; a list stays valid if it
// is not sent again.
func TestWhichGatewayListCounts(t *testing.T) {
	listFrom := func(controller string, leads bool, addresses ...string) func(*Regulator) {
		return func(r *Regulator) {
			r.UpdateGateways(controller, &wire.SyncResponse{Leads: leads, GatewayList: entries(addresses)})
		}
	}
	for name, test := range map[string]struct {
		updates []func(*Regulator)
		want    []string
	}{
		"nobody's":          {nil, nil},
		"the longest":       {[]func(*Regulator){listFrom("a", false, "1", "2"), listFrom("b", false, "3")}, []string{"1", "2"}},
		"the leader's":      {[]func(*Regulator){listFrom("a", false, "1", "2"), listFrom("b", true, "3")}, []string{"3"}},
		"it leads later":    {[]func(*Regulator){listFrom("a", true, "1"), listFrom("b", false, "3"), listFrom("b", true)}, []string{"3"}},
		"not sent again":    {[]func(*Regulator){listFrom("a", true, "1"), listFrom("a", true)}, []string{"1"}},
		"followers change":  {[]func(*Regulator){listFrom("a", true, "1"), listFrom("b", false, "3", "4")}, []string{"1"}},
		"a leader, no list": {[]func(*Regulator){listFrom("a", false, "1"), listFrom("b", true)}, []string{"1"}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegulator("self")
			for _, update := range test.updates {
				update(r)
			}
			qt.New(t).Check(r.gateways, qt.DeepEquals, test.want)
		})
	}
}

// Prompts of different gateways for one engine wait for each other, whoever owns it.
func TestGatewaysWaitForEachOther(t *testing.T) {
	for name, read := range map[string]bool{"until it is read": true, "until it is given up": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			all, addresses := gateways(c, 3)
			for _, address := range addresses {
				id := engineOf(all[0], address)
				first := all[0].Acquire(context.Background(), large(id), longWait)
				c.Assert(first.Granted, qt.IsTrue)
				c.Assert(all[1].Acquire(context.Background(), large(id), 0).Granted, qt.IsFalse)
				granted := make(chan bool)
				go func() { granted <- all[2].Acquire(context.Background(), large(id), longWait).Granted }()
				all[0].Release(id, first.Key, read)
				c.Check(<-granted, qt.IsTrue)
			}
		})
	}
}

// The loss of an owner blocks no gateway: another becomes the owner at once and continues
// pacing.
func TestLostGatewaysAreNotWaitedFor(t *testing.T) {
	c := qt.New(t)
	all, addresses := gateways(c, 2)
	const unreachable = "127.0.0.1:1"
	all[0].UpdateGateways("controller", listOf(append(addresses, unreachable)))
	id := engineOf(all[0], unreachable)
	c.Check(all[0].Acquire(context.Background(), large(id), longWait).Granted, qt.IsTrue)
	c.Check(all[0].owner(id), qt.Not(qt.Equals), unreachable)
	c.Check(all[0].Acquire(context.Background(), large(id), 0).Granted, qt.IsFalse)
}

// A gateway that can reach no other paces for itself.
func TestIsolatedGatewayStillPaces(t *testing.T) {
	c := qt.New(t)
	r := newRegulator("self")
	r.UpdateGateways("controller", listOf([]string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4"}))
	c.Check(r.Acquire(context.Background(), large("engine"), longWait).Granted, qt.IsTrue)
	c.Check(r.Acquire(context.Background(), large("engine"), 0).Granted, qt.IsFalse)
}

// Duplicate calls with one key must neither crash the process nor block other calls.
func TestDuplicateCalls(t *testing.T) {
	c := qt.New(t)
	r := newRegulator("self")
	server := &Server{Regulator: r}
	first, err := server.Admit(context.Background(), admission("first", longWait))
	c.Assert(err, qt.IsNil)
	c.Assert(first.GetGranted(), qt.IsTrue)
	ended := make(chan bool, 2)
	for range 2 {
		go func() {
			res, err := server.Admit(context.Background(), admission("twice", time.Second))
			ended <- err == nil && res != nil
		}()
	}
	for r.waitingPrompts("engine") < 2 {
		runtime.Gosched()
	}
	r.complete([]*wire.PromptEnd{{Backend: "engine", Key: "first", Read: true}, {Backend: "engine", Key: "twice"}})
	c.Check(<-ended, qt.IsTrue)
	c.Check(<-ended, qt.IsTrue)
}

// admission returns a request for a prompt that leaves no room for another.
func admission(key string, wait time.Duration) *wire.AdmitRequest {
	return &wire.AdmitRequest{
		Backend: "engine", Key: key, Tokens: 1 << 20, PauseMs: 300, InTimeForMs: 1000, WaitMs: uint32(wait.Milliseconds()),
	}
}

// waitingPrompts returns how many prompts wait in the pacer of an engine.
func (r *Regulator) waitingPrompts(backend string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.engine(backend).pacer.Waiting()
}

// A caller that disconnects leaves no grant behind that others would wait for.
func TestDisconnectedCallersAreRemoved(t *testing.T) {
	c := qt.New(t)
	all, addresses := gateways(c, 2)
	id := engineOf(all[0], addresses[1])
	first := all[0].Acquire(context.Background(), large(id), longWait)
	c.Assert(first.Granted, qt.IsTrue)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		all[0].Acquire(ctx, large(id), longWait)
		close(ended)
	}()
	cancel()
	<-ended
	all[0].Release(id, first.Key, true)
	c.Check(all[0].Acquire(context.Background(), large(id), longWait).Granted, qt.IsTrue)
}

func TestUnusedEnginesAreRemoved(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	r := newRegulator("self")
	r.Clock = clock
	answer := r.Acquire(context.Background(), large("engine"), longWait)
	r.Release("engine", answer.Key, true)
	r.checkEngines()
	c.Check(r.engines, qt.HasLen, 1)
	clock.Advance(engineTTL + time.Second)
	r.checkEngines()
	c.Check(r.engines, qt.HasLen, 0)
}

func entries(addresses []string) []*wire.GatewayEntry {
	var list []*wire.GatewayEntry
	for _, address := range addresses {
		list = append(list, &wire.GatewayEntry{Address: address})
	}
	return list
}

// A request that runs out of time while it waits is notified at once, and not when its wait
// ends.
func TestEvictedRequestsAreNotifiedAtOnce(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	r := newRegulator("self")
	r.Clock = clock
	acquire := func(urgency uint32) Result {
		now := clock.Now()
		return r.Acquire(context.Background(), &Prompt{Backend: "b", Slots: 1, Deadline: now.Add(time.Hour), GrantRequest: pacer.GrantRequest{
			Urgency: urgency, ReceivedAt: now, OnTimeUntil: now.Add(100 * time.Millisecond),
		}}, time.Hour)
	}
	c.Assert(acquire(0).Granted, qt.IsTrue)
	c.Assert(acquire(0).Granted, qt.IsTrue)
	answers := make(chan Result)
	go func() { answers <- acquire(1) }()
	for r.Waiting() == 0 {
		runtime.Gosched()
	}
	for refused := false; !refused; {
		// Urgent requests wait until there is no room for another.
		waiting := r.Waiting()
		ctx, cancel := context.WithCancel(context.Background())
		c.Cleanup(cancel)
		now := clock.Now()
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.Acquire(ctx, &Prompt{Backend: "b", Slots: 1, Deadline: now.Add(time.Hour), GrantRequest: pacer.GrantRequest{
				ReceivedAt: now, OnTimeUntil: now.Add(100 * time.Millisecond),
			}}, time.Hour)
		}()
		for r.Waiting() == waiting && !refused {
			select {
			case <-done:
				refused = true
			default:
				runtime.Gosched()
			}
		}
	}
	clock.Advance(90 * time.Millisecond)
	r.checkEngines()
	c.Check((<-answers).Granted, qt.IsFalse)
}

// A completion that has been reported must free its slot for a request that holds the lock first.
func TestCompletionsAreHandledBeforeNewRequests(t *testing.T) {
	c := qt.New(t)
	r := newRegulator("self")
	slot := func() Result {
		now := time.Now()
		return r.Acquire(context.Background(), &Prompt{Backend: "b", Slots: 1, Deadline: now.Add(time.Hour), GrantRequest: pacer.GrantRequest{
			ReceivedAt: now, OnTimeUntil: now.Add(time.Hour),
		}}, 0)
	}
	first := slot()
	for slot().Granted {
	}
	r.mu.Lock()
	completed := make(chan struct{})
	go func() {
		r.complete([]*wire.PromptEnd{{Backend: "b", Key: first.Key, Read: true}})
		close(completed)
	}()
	for {
		r.completionsMu.Lock()
		reported := len(r.completions)
		r.completionsMu.Unlock()
		if reported > 0 {
			break
		}
		runtime.Gosched()
	}
	e := r.engine("b")
	r.handleCompletions(r.Clock.Now())
	c.Check(e.granter.TakeStats().Running, qt.Equals, 1)
	r.mu.Unlock()
	<-completed
	c.Check(slot().Granted, qt.IsTrue)
}

// The owner receives how long the latest run took, once, so that message latency does not count as
// service time.
func TestLastRunIsReportedToTheOwner(t *testing.T) {
	c := qt.New(t)
	all, addresses := gateways(c, 2)
	id := engineOf(all[0], addresses[1])
	slot := func() Result {
		now := time.Now()
		return all[0].Acquire(context.Background(), &Prompt{Backend: id, Slots: 1, Deadline: now.Add(time.Hour), GrantRequest: pacer.GrantRequest{
			ReceivedAt: now, OnTimeUntil: now.Add(time.Hour),
		}}, longWait)
	}
	latency := func() time.Duration {
		all[1].mu.Lock()
		defer all[1].mu.Unlock()
		return all[1].engine(id).granter.TakeStats().Latency
	}
	first := slot()
	pass(20 * time.Millisecond)
	all[0].RecordRun(id, time.Microsecond)
	all[0].Release(id, first.Key, true)
	all[1].awaitFreeSlots(id)
	c.Check(latency(), qt.Equals, time.Duration(0))
	second := slot()
	c.Assert(second.Granted, qt.IsTrue)
	c.Check(latency() > time.Millisecond, qt.IsTrue, qt.Commentf("%v", latency()))
	c.Check(all[0].takeLastRun(id), qt.Equals, time.Duration(0))
}

// awaitFreeSlots waits until no request runs at a backend server.
func (r *Regulator) awaitFreeSlots(backend string) {
	running := func() int {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.engine(backend).granter.TakeStats().Running
	}
	for running() > 0 {
		runtime.Gosched()
	}
}

// pass lets time pass, as the run of a request takes.
func pass(d time.Duration) {
	for began := time.Now(); time.Since(began) < d; {
		runtime.Gosched()
	}
}

// Statistics were reset without a log line in intervals in which slots only expired.
func TestExpiredSlotsAreLogged(t *testing.T) {
	c := qt.New(t)
	clock := clockwork.NewFakeClock()
	var out bytes.Buffer
	r := newRegulator("self")
	r.Clock, r.Log = clock, slog.New(slog.NewTextHandler(&out, nil))
	now := clock.Now()
	c.Assert(r.Acquire(context.Background(), &Prompt{Backend: "b", Slots: 1, Deadline: now.Add(time.Hour), GrantRequest: pacer.GrantRequest{
		ReceivedAt: now, OnTimeUntil: now.Add(time.Second),
	}}, time.Hour).Granted, qt.IsTrue)
	r.checkEngines()
	c.Check(out.String(), qt.Contains, "Granted=1 ")
	out.Reset()
	clock.Advance(logSlotsInterval)
	r.checkEngines()
	c.Check(out.String(), qt.Contains, "Expired=1 ")
	out.Reset()
	clock.Advance(logSlotsInterval)
	r.checkEngines()
	c.Check(out.String(), qt.Equals, "")
}
