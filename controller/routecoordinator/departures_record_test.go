package routecoordinator

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/controller/raftdriver"
	"bronzelead.example/pkg/applier"
	"bronzelead.example/pkg/wire"
)

// heldRaft commits departures when it is told to, and other proposals at once.
type heldRaft struct {
	*fakeRaft
	proposed chan *wire.Command
	commit   chan error
}

func (k *heldRaft) Propose(ctx context.Context, cmd *wire.Command) (applier.Result, error) {
	if cmd.GetRecordDeparture() == nil {
		return k.fakeRaft.Propose(ctx, cmd)
	}
	k.proposed <- cmd
	select {
	case err := <-k.commit:
		if err == nil {
			k.in <- k.item(cmd)
		}
		return applier.Result{}, err
	case <-ctx.Done():
		return applier.Result{}, raftdriver.ErrOutcomeUnknown
	}
}

// playHeld runs a leading coordinator whose proposals are held, in the time of a synctest bubble.
func playHeld(t *testing.T, play func(c *qt.C, m *Mesh, k *heldRaft)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		co, fake := newCoordinator()
		k := &heldRaft{fakeRaft: fake, proposed: make(chan *wire.Command, 64), commit: make(chan error)}
		fake.clock, co.Clock, co.Raft = clockwork.NewRealClock(), clockwork.NewRealClock(), k
		co.Init()
		lead(co, fake)
		go co.Run(ctx)
		play(qt.New(t), &Mesh{Coordinator: co, Leader: func() string { return "" }}, k)
		cancel()
		synctest.Wait()
	})
}

func draining(sequence uint64, remainingMs uint32) *wire.Announcement {
	a := announcement(sequence)
	a.Draining, a.RemainingMs = true, remainingMs
	return a
}

// Departures were acknowledged before anything outlived the controller that had received them.
func TestDeparturesAreAcknowledgedOnceRecorded(t *testing.T) {
	for name, departure := range map[string]*wire.Announcement{
		"gone":               {Id: "b", Name: "b", Gone: true},
		"draining":           draining(2, 0),
		"withdrawn soon":     draining(2, 500),
		"gone, of an old id": {Id: "unknown", Name: "unknown", Gone: true},
	} {
		t.Run(name, func(t *testing.T) {
			playHeld(t, func(c *qt.C, m *Mesh, k *heldRaft) {
				ctx := context.Background()
				c.Assert(m.ReceiveAnnouncement(ctx, announcement(1)), qt.IsNil)
				answers := make(chan error, 1)
				go func() { answers <- m.ReceiveAnnouncement(ctx, departure) }()
				synctest.Wait()
				c.Check(answers, qt.HasLen, 0)
				cmd := <-k.proposed
				c.Check(cmd.GetRecordDeparture().GetId(), qt.Equals, departure.GetId())
				// Gateways need not wait for the record.
				res, err := m.Sync(ctx, &wire.SyncRequest{Gateway: "g", Knowledge: true})
				c.Assert(err, qt.IsNil)
				last := res.GetAnnouncements()[len(res.GetAnnouncements())-1]
				c.Check(last.GetDraining(), qt.IsTrue)
				k.commit <- nil
				c.Check(<-answers, qt.IsNil)
				synctest.Wait()
				// A repeat needs no further entry.
				c.Check(m.ReceiveAnnouncement(ctx, departure), qt.IsNil)
				c.Check(k.proposed, qt.HasLen, 0)
			})
		})
	}
}

// A departure that can't be recorded is refused before the backend server gives up the call, and tried again meanwhile.
func TestDeparturesThatAreNotRecordedAreRefusedInTime(t *testing.T) {
	for name, test := range map[string]struct {
		outcomes []error
		refused  bool
		attempts int
	}{
		"the first attempt":         {outcomes: []error{nil}, attempts: 1},
		"the second attempt":        {outcomes: []error{raftdriver.ErrNotLeader, nil}, attempts: 2},
		"the leader stands still":   {refused: true, attempts: 2},
		"the leader is overwhelmed": {outcomes: repeat(raftdriver.ErrBusy, 40), refused: true, attempts: 10},
	} {
		t.Run(name, func(t *testing.T) {
			playHeld(t, func(c *qt.C, m *Mesh, k *heldRaft) {
				stop := make(chan struct{})
				go func() {
					for _, err := range test.outcomes {
						select {
						case k.commit <- err:
						case <-stop:
							return
						}
					}
				}()
				began := time.Now()
				err := m.ReceiveAnnouncement(context.Background(), draining(1, 0))
				close(stop)
				c.Check(err != nil, qt.Equals, test.refused)
				c.Check(time.Since(began) < answerTime, qt.IsTrue)
				c.Check(len(k.proposed) >= test.attempts, qt.IsTrue, qt.Commentf("%d attempts", len(k.proposed)))
			})
		})
	}
}

func repeat(err error, n int) []error {
	list := make([]error, n)
	for i := range list {
		list[i] = err
	}
	return list
}

// A controller that restarts has departures from its log or its snapshot, and tells them to gateways.
func TestRestartedControllerKnowsRecordedDepartures(t *testing.T) {
	record := &wire.Command{Body: &wire.Command_RecordDeparture{RecordDeparture: &wire.Announcement{
		Id: "b", Name: "b", Service: "s", Address: "b:1", Draining: true, Sequence: 7,
	}}}
	for name, restart := range map[string]func(c *qt.C, before, after *Coordinator, entry raftdriver.CommittedEntry){
		"from the log": func(_ *qt.C, _, after *Coordinator, entry raftdriver.CommittedEntry) {
			after.apply(raftdriver.CommittedBatch{Entries: []raftdriver.CommittedEntry{entry}})
		},
		"from a snapshot": func(c *qt.C, before, after *Coordinator, entry raftdriver.CommittedEntry) {
			state, err := before.state.Snapshot()
			c.Assert(err, qt.IsNil)
			after.apply(raftdriver.CommittedBatch{Restore: &wire.Snapshot{Index: entry.Entry.GetIndex(), Term: 1, State: state}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			before, k := newCoordinator()
			entry := k.entry(record)
			before.apply(raftdriver.CommittedBatch{Entries: []raftdriver.CommittedEntry{entry}})
			after, _ := newCoordinator()
			restart(c, before, after, entry)
			list := after.buildResponse(after.Clock.Now(), &wire.SyncRequest{}).GetAnnouncements()
			c.Assert(list, qt.HasLen, 1)
			c.Check(list[0].GetDraining(), qt.IsTrue)
			c.Check(list[0].GetSequence(), qt.Equals, uint64(7))
		})
	}
}

// confirmer is a controller that takes announcements.
type confirmer struct {
	wire.Mesh
	reachable bool
	taken     *atomic.Int32
}

func (r confirmer) Relay(ctx context.Context, _ *wire.RelayRequest) (*wire.RelayResponse, error) {
	if !r.reachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	r.taken.Add(1)
	return &wire.RelayResponse{}, nil
}

// While the leader's disk hung, or a leader was elected, no departure was acknowledged, and backend servers ended without one.
func TestDeparturesThatAMajorityKnowsAreAcknowledged(t *testing.T) {
	for name, test := range map[string]struct {
		reachable, voters int
		leads             bool
		acknowledged      bool
	}{
		"all, the leader's disk hangs":      {5, 5, true, true},
		"three of five":                     {3, 5, true, true},
		"two of five":                       {2, 5, true, false},
		"two of four":                       {2, 4, true, false},
		"three of five, without a leader":   {3, 5, false, true},
		"a minority, without a leader":      {2, 5, false, false},
		"none that votes, without a leader": {0, 0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			playHeld(t, func(c *qt.C, m *Mesh, k *heldRaft) {
				for i := range test.voters {
					k.status.Configuration = &wire.Configuration{Voters: append(k.status.Configuration.GetVoters(), &wire.Member{Address: fmt.Sprint(i)})}
				}
				if !test.leads {
					k.status.Role = 0
				}
				var taken atomic.Int32
				m.Client = func(address string) wire.Mesh {
					i, err := strconv.Atoi(address)
					c.Check(err, qt.IsNil)
					return confirmer{reachable: i < test.reachable, taken: &taken}
				}
				began := time.Now()
				err := m.ReceiveAnnouncement(context.Background(), draining(1, 0))
				c.Check(err == nil, qt.Equals, test.acknowledged)
				c.Check(time.Since(began) < answerTime, qt.IsTrue)
				if err != nil || !test.leads {
					return
				}
				// It is recorded once that is possible.
				k.commit <- nil
				synctest.Wait()
				recorded := make(chan bool, 1)
				c.Assert(m.Coordinator.Call(context.Background(), func(time.Time) { recorded <- m.Coordinator.state.HasDeparture("b") }), qt.IsNil)
				c.Check(<-recorded, qt.IsTrue)
			})
		})
	}
}
