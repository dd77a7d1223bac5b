package routecoordinator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

const (
	lossSeeds = 3
	// drainTime is how long after an acknowledged departure gateways may still send requests, if machines are in contact.
	drainTime = 2 * time.Second
	// contactTime is how long after a disruption machines count as in contact again.
	contactTime = 3 * time.Second
	// ackTime bounds the time in which a departure is acknowledged.
	ackTime = 4 * time.Second
	// maxBackoff bounds the time between two attempts of a caller.
	maxBackoff = 400 * time.Millisecond
	// answerTime is how long a caller waits for one answer.
	answerTime = time.Second
)

// loss is what happens to controllers around a departure.
type loss struct {
	name string
	// victims chooses the members from the one that is called first and all in random order.
	victims func(f *fleet, giver *member, shuffled []*member) []*member
	// cut members lose their links and keep running, and split ones only those to other members; others are killed.
	cut, split bool
	// forGood is set if killed members do not start again.
	forGood bool
	// leaderCut is set if the leader is cut off before the call, and the loss begins as that is acknowledged.
	leaderCut bool
}

func giverAnd(n int) func(*fleet, *member, []*member) []*member {
	return func(_ *fleet, giver *member, shuffled []*member) []*member {
		list := []*member{giver}
		for _, m := range shuffled {
			if m != giver && len(list) <= n {
				list = append(list, m)
			}
		}
		return list
	}
}

func giverAndLeader(f *fleet, giver *member, _ []*member) []*member {
	if leader := f.leader(); leader != nil && leader != giver {
		return []*member{giver, leader}
	}
	return []*member{giver}
}

func losses() []loss {
	all := func(_ *fleet, _ *member, shuffled []*member) []*member { return shuffled }
	return []loss{
		{name: "none", victims: func(*fleet, *member, []*member) []*member { return nil }},
		{name: "giver killed", victims: giverAnd(0)},
		{name: "giver and another killed", victims: giverAnd(1)},
		{name: "giver and leader killed", victims: giverAndLeader},
		{name: "all killed", victims: all},
		{name: "giver lost for good", victims: giverAnd(0), forGood: true},
		{name: "giver and another lost for good", victims: giverAnd(1), forGood: true},
		{name: "giver and leader lost for good", victims: giverAndLeader, forGood: true},
		{name: "giver cut off", victims: giverAnd(0), cut: true},
		{name: "giver and another cut off", victims: giverAnd(1), cut: true},
		{name: "giver and leader cut off", victims: giverAndLeader, cut: true},
		{name: "giver killed while the leader is cut off", victims: giverAnd(0), leaderCut: true},
		{name: "giver lost for good while the leader is cut off", victims: giverAnd(0), leaderCut: true, forGood: true},
		{name: "giver in a minority", victims: giverAnd(1), split: true},
		{name: "giver and leader in a minority", victims: giverAndLeader, split: true},
	}
}

// ackedCall is a call that is sent to one member after the other until one acknowledges it.
type ackedCall struct {
	send func(ctx context.Context, m *Mesh) error
	// obeyed reports whether a gateway knows of it.
	obeyed func(g *fleetGateway) bool
}

func departureCall(a *wire.Announcement) ackedCall {
	return ackedCall{
		send:   func(ctx context.Context, m *Mesh) error { return m.ReceiveAnnouncement(ctx, a) },
		obeyed: func(g *fleetGateway) bool { return !g.uses("b") },
	}
}

func ackedCalls() map[string]ackedCall {
	drains := announcement(3)
	drains.Draining = true
	return map[string]ackedCall{
		"gone":     departureCall(&wire.Announcement{Id: "b", Name: "b", Gone: true}),
		"draining": departureCall(drains),
		"version": {
			send: func(ctx context.Context, m *Mesh) error {
				return m.PutVersion(ctx, &wire.AdapterVersion{Model: "m", Adapter: "a", Version: 7})
			},
			obeyed: func(g *fleetGateway) bool {
				_, adapter := g.versions()
				return adapter == 7
			},
		},
		"table": {
			send: func(ctx context.Context, m *Mesh) error {
				return m.PutTable(ctx, &wire.RoutingTable{Version: 5}, []byte("5"))
			},
			obeyed: func(g *fleetGateway) bool {
				table, _ := g.versions()
				return table == 5
			},
		},
	}
}

// lossStory is one drawn loss around a call.
type lossStory struct {
	f      *fleet
	random *rand.Rand
	giver  *member
	loss   loss
	call   ackedCall
	// lossAt is when the loss begins after the call is first sent; negative if that is as soon as it is acknowledged.
	lossAt time.Duration
	// lossTime is how long cut members have no links and killed ones do not run.
	lossTime  time.Duration
	endLosses sync.WaitGroup
}

// A departure that a controller had acknowledged was known to that controller alone for a moment. If it was killed then, all
// gateways went on sending requests to a backend server that soon ended. Versions of adapters and tables are acknowledged alike.
func TestAcknowledgedCallsOutliveLosses(t *testing.T) {
	for seed := range uint64(lossSeeds) {
		for _, l := range losses() {
			for name, call := range ackedCalls() {
				t.Run(fmt.Sprintf("%s, %s, seed %d", name, l.name, seed), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { playLoss(t, seed, l, call) })
				})
			}
		}
	}
}

func playLoss(t *testing.T, seed uint64, l loss, call ackedCall) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	f := newFleet(ctx, c, seed, 5)
	gateway := newFleetGateway()
	f.running.Go(func() { gateway.run(ctx, f) })
	random := rand.New(rand.NewPCG(seed, 2))
	s := &lossStory{f: f, random: random, loss: l, call: call, giver: f.members[random.IntN(5)]}
	s.lossAt = time.Duration(random.IntN(20_000)) * time.Microsecond
	if random.IntN(2) == 0 {
		s.lossAt = -1
	}
	s.lossTime = []time.Duration{time.Second, 3 * time.Second}[random.IntN(2)]
	f.lostRelays = []float64{0, 0.5, 1}[random.IntN(3)]
	time.Sleep(3 * time.Second)
	c.Assert(f.leader(), qt.IsNotNil)
	for _, m := range f.members {
		c.Assert(s.announce(ctx, m, announcement(1)), qt.IsNil)
	}
	time.Sleep(500 * time.Millisecond)
	c.Assert(gateway.uses("b"), qt.IsTrue)
	c.Assert(call.obeyed(gateway), qt.IsFalse)

	if leader := f.leader(); l.leaderCut {
		leader.setCut(true, false)
		time.AfterFunc(3*time.Second, func() { leader.setCut(false, false) })
		if s.lossAt = -1; s.giver == leader {
			s.giver = f.members[(slices.Index(f.members, leader)+1)%len(f.members)]
		}
	}
	sentAt := time.Now()
	acknowledged := s.deliver(ctx)
	took := time.Since(sentAt)
	s.endLosses.Wait()
	time.Sleep(max(drainTime, contactTime))
	if l.name != "all killed" || s.lossAt < 0 {
		c.Check(acknowledged, qt.IsTrue)
		c.Check(took < ackTime, qt.IsTrue, qt.Commentf("acknowledged after %v", took))
	}
	if acknowledged {
		c.Check(call.obeyed(gateway), qt.IsTrue)
		// An announcement from before a departure does not undo it, wherever it arrives.
		for _, m := range f.members {
			_ = s.announce(ctx, m, announcement(2))
		}
		time.Sleep(500 * time.Millisecond)
		c.Check(call.obeyed(gateway), qt.IsTrue)
	}
	cancel()
	f.running.Wait()
}

// deliver sends the call to one member after the other until one acknowledges it.
func (s *lossStory) deliver(ctx context.Context) bool {
	order := slices.Clone(s.f.members)
	s.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	if s.lossAt >= 0 {
		time.AfterFunc(s.lossAt, func() { s.lose(order) })
		s.endLosses.Add(1)
	}
	giver := s.giver
	for i, began := 0, time.Now(); time.Since(began) < ackTime; i++ {
		if s.send(ctx, giver, s.call.send) == nil {
			if s.lossAt < 0 {
				s.giver = giver
				s.endLosses.Add(1)
				s.lose(order)
			}
			return true
		}
		time.Sleep(min(50*time.Millisecond<<i, maxBackoff))
		giver = order[i%len(order)]
	}
	return false
}

func announcement(sequence uint64) *wire.Announcement {
	return &wire.Announcement{Id: "b", Name: "b", Service: "s", Address: "10.0.0.1:80", Slots: 4, Sequence: sequence}
}

func (s *lossStory) announce(ctx context.Context, to *member, a *wire.Announcement) error {
	return s.send(ctx, to, departureCall(a).send)
}

func (s *lossStory) send(ctx context.Context, to *member, call func(ctx context.Context, m *Mesh) error) error {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	_, err := reach(ctx, s.f, nil, to, func(ctx context.Context, p *process) (struct{}, error) {
		return struct{}{}, call(ctx, p.mesh)
	})
	return err
}

// lose lets the loss begin at once, and end a moment later.
func (s *lossStory) lose(shuffled []*member) {
	victims := s.loss.victims(s.f, s.giver, shuffled)
	var killed sync.WaitGroup
	for _, m := range victims {
		if s.loss.cut || s.loss.split {
			m.setCut(s.loss.cut, s.loss.split)
			continue
		}
		killed.Go(m.kill)
	}
	killed.Wait()
	go func() {
		defer s.endLosses.Done()
		time.Sleep(s.lossTime)
		for _, m := range victims {
			switch {
			case s.loss.cut, s.loss.split:
				m.setCut(false, false)
			case !s.loss.forGood:
				m.start()
			}
		}
	}()
}
