package regulator

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/pacer"
	"bronzelead.example/pkg/slotgranter"
	"bronzelead.example/pkg/waitestimator"
	"bronzelead.example/pkg/wire"
)

// slotObjective is the time within which answers are on time in these tests.
const slotObjective = 300 * time.Millisecond

// requestSlot requests a slot of a backend server with one slot, without a wait.
func requestSlot(r *Regulator, backend string) Result {
	now := r.Clock.Now()
	return r.Acquire(context.Background(), &Prompt{Backend: backend, Slots: 1, Deadline: now.Add(time.Second), GrantRequest: pacer.GrantRequest{
		ReceivedAt: now, OnTimeUntil: now.Add(slotObjective),
	}}, 0)
}

// overload lets an owner refuse requests for a backend server: more of them wait than can be on
// time.
func overload(r *Regulator, backend string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Clock.Now()
	e := r.engine(backend)
	e.lastRequestAt = now
	for i := 0; e.granter.Add(now, slotgranter.GrantRequest{Key: fmt.Sprint(i), OnTimeUntil: now.Add(slotObjective), Deadline: now.Add(time.Hour), Slots: 1}); i++ {
		e.granter.Next(now)
	}
}

func busy(r *Regulator) []string {
	return r.AppendBusy(nil, waitestimator.Request{Left: slotObjective})
}

// A refusal of an owner must spare the next request the call, for a short time, and not when the
// owner is lost.
func TestRefusalsAreRemembered(t *testing.T) {
	for name, lose := range map[string]func(r *Regulator, owner string){
		"until they expire":             func(r *Regulator, _ string) { r.Clock.(*clockwork.FakeClock).Advance(time.Second) },
		"until the owner is not listed": func(r *Regulator, _ string) { r.UpdateGateways("controller", listOf([]string{r.Self})) },
		"until the owner does not answer": func(r *Regulator, owner string) {
			r.recordFailure(context.Background(), owner, context.DeadlineExceeded)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			owners, addresses := gateways(c, 1)
			r := newRegulator("127.0.0.1:1")
			r.Clock = clockwork.NewFakeClock()
			r.UpdateGateways("controller", listOf([]string{r.Self, addresses[0]}))
			id := engineOf(r, addresses[0])
			overload(owners[0], id)
			c.Assert(busy(r), qt.HasLen, 0)
			result := requestSlot(r, id)
			c.Assert(result.Granted, qt.IsFalse)
			c.Assert(result.Refusal.Owner, qt.Equals, addresses[0])
			c.Check(busy(r), qt.DeepEquals, []string{id})
			lose(r, addresses[0])
			c.Check(busy(r), qt.HasLen, 0)
		})
	}
}

// A caller that leaves while its request asks an owner says nothing about the overload: a refusal that
// is known must not be taken for out of date, nor may this gateway grant in place of the owner.
func TestCallersThatLeaveEraseNoRefusals(t *testing.T) {
	c := qt.New(t)
	owners, addresses := gateways(c, 1)
	r := newRegulator("127.0.0.1:1")
	r.UpdateGateways("controller", listOf([]string{r.Self, addresses[0]}))
	id := engineOf(r, addresses[0])
	overload(owners[0], id)
	c.Assert(requestSlot(r, id).Granted, qt.IsFalse)
	now := r.Clock.Now()
	r.learn(&Prompt{Backend: id, Slots: 1}, Result{Refusal: waitestimator.Refusal{Left: slotObjective, For: time.Hour}})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	left := r.Acquire(ctx, &Prompt{Backend: id, Slots: 1, Deadline: now.Add(time.Second), GrantRequest: pacer.GrantRequest{
		ReceivedAt: now, OnTimeUntil: now.Add(slotObjective),
	}}, time.Second)
	c.Check(left.Granted, qt.IsFalse)
	c.Check(busy(r), qt.DeepEquals, []string{id})
}

// Only the owner of a backend server reports its wait, also if it has no request there itself.
func TestOwnersReportWaits(t *testing.T) {
	c := qt.New(t)
	all, addresses := gateways(c, 2)
	id := engineOf(all[0], addresses[1])
	first := requestSlot(all[0], id)
	c.Assert(first.Granted, qt.IsTrue)
	pass(time.Millisecond)
	all[0].Release(id, first.Key, true)
	all[1].awaitFreeSlots(id)
	c.Check(all[0].AddWaits(nil), qt.HasLen, 0)
	loads := all[1].AddWaits([]*wire.Load{{Backend: "other", Requests: 1}, {Backend: id, Requests: 3}})
	c.Assert(loads, qt.HasLen, 2)
	c.Check(loads[0].GetServiceUs(), qt.Equals, uint32(0))
	c.Check(loads[1].GetServiceUs() > 0, qt.IsTrue)
	c.Check(loads[1].GetRequests(), qt.Equals, uint32(3))
	loads = all[1].AddWaits(nil)
	c.Assert(loads, qt.HasLen, 1)
	c.Check(loads[0].GetBackend(), qt.Equals, id)
}

// A wait that another gateway reports counts like one that an owner has answered with.
func TestReportedWaitsAreUsed(t *testing.T) {
	c := qt.New(t)
	r := newRegulator("self")
	r.Clock = clockwork.NewFakeClock()
	r.ReceiveLoads([]*wire.Load{{Backend: "b", WaitUs: 290_000, ServiceUs: 60_000, OwnerAgeMs: 10}, {Backend: "c", Requests: 5}})
	c.Check(busy(r), qt.DeepEquals, []string{"b"})
}
