package replicator_test

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/applier"
	"bronzelead.example/pkg/replicator"
	"bronzelead.example/pkg/wire"
)

func TestFailures(t *testing.T) {
	cases := map[string]func(*cluster){
		"nothing":                            func(*cluster) {},
		"messages are lost and delayed":      func(c *cluster) { c.lossy = true },
		"the leader is partitioned":          isolateLeader,
		"the leader crashes":                 crashLeader,
		"a member loses its disk":            loseDisk,
		"leadership is transferred":          transfer,
		"a follower is partitioned":          isolateFollower,
		"messages to the leader are dropped": blockLeaderInbound,
		"one follower is disconnected from the leader, the other restarts":      disconnectAndRestart,
		"leadership is transferred, and messages to the old leader are dropped": transferAndBlockInbound,
		"the target of a transfer may be unreachable":                           transferToUnreachable,
		"a random fault each time":                                              randomFaults,
	}
	for name, fault := range cases {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 6; seed++ {
				runHistory(qt.New(t), seed, fault)
			}
		})
	}
}

func isolateLeader(c *cluster) {
	if m := c.leader(); m != nil {
		c.isolate(m.id, true)
	}
}

func crashLeader(c *cluster) {
	if m := c.leader(); m != nil {
		m.up = false
	}
}

// blockLeaderInbound delivers the leader's messages but drops those to it.
func blockLeaderInbound(c *cluster) {
	if m := c.leader(); m != nil {
		blockInbound(c, m)
	}
}

func blockInbound(c *cluster, m *member) {
	for _, other := range c.members {
		c.partitioned[[2]string{other.id, m.id}] = true
	}
}

func isolateFollower(c *cluster) {
	for _, m := range c.sorted() {
		if m != c.leader() {
			c.isolate(m.id, true)
			return
		}
	}
}

func transfer(c *cluster) {
	if m := c.leader(); m != nil {
		_ = m.core.Transfer(c.now)
	}
}

// loseDisk empties the disk of a follower, if there is a leader with at least three voters.
func loseDisk(c *cluster) {
	l := c.leader()
	if l == nil || len(l.core.Configuration().GetVoters()) < 3 {
		return
	}
	for _, m := range c.sorted() {
		if m != l && m.up {
			c.loseDisk(m.name)
			return
		}
	}
}

// others returns all members but the leader.
func (c *cluster) others(leader *member) []*member {
	var others []*member
	for _, m := range c.sorted() {
		if m != leader {
			others = append(others, m)
		}
	}
	return others
}

// disconnectAndRestart disconnects the leader and one member, which then requests votes, and
// restarts the member that both reach: it must not help to depose the leader.
func disconnectAndRestart(c *cluster) {
	l := c.leader()
	if l == nil {
		return
	}
	// All logs are equal then, so that only recent contact with a leader prevents the votes.
	c.run(500 * time.Millisecond)
	others := c.others(l)
	c.disconnect(l.id, others[0].id)
	for range 12 {
		c.run(100 * time.Millisecond)
		c.start(others[1])
	}
}

// transferAndBlockInbound transfers leadership and drops all messages to the old leader from
// then on.
func transferAndBlockInbound(c *cluster) {
	c.run(500 * time.Millisecond)
	if l := c.leader(); l != nil {
		transfer(c)
		c.processReady(l)
		blockInbound(c, l)
		c.run(time.Second)
	}
}

// transferToUnreachable transfers leadership and disconnects the leader from one other member,
// which may be the target, or from none.
func transferToUnreachable(c *cluster) {
	c.run(500 * time.Millisecond)
	l := c.leader()
	if l == nil {
		return
	}
	transfer(c)
	c.processReady(l)
	for _, m := range c.others(l) {
		if c.random.IntN(2) == 0 {
			c.disconnect(l.id, m.id)
			return
		}
	}
}

func randomFaults(c *cluster) {
	c.lossy = c.random.IntN(2) == 0
	faults := []func(*cluster){isolateLeader, crashLeader, transfer, isolateFollower, blockLeaderInbound, func(*cluster) {}}
	faults[c.random.IntN(len(faults))](c)
}

// change is one operator's change of the contract, the input of an operation in the history.
type change struct {
	base uint64
}

type answer struct {
	unknown bool
	applied bool
	version uint64
	at      time.Time
}

// contractModel is a register that a change sets only from its base version. An operation whose
// answer was lost may have taken effect or not.
func contractModel() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return uint64(0) },
		Step: func(state, input, output any) (bool, any) {
			version, in, out := state.(uint64), input.(change), output.(answer)
			switch {
			case out.unknown && version == in.base:
				return true, version + 1
			case out.unknown:
				return true, version
			case out.applied:
				return version == in.base && out.version == in.base+1, version + 1
			}
			return version != in.base, version
		},
	}
}

// runHistory runs concurrent changes while a fault occurs and is healed, and checks the history
// of their answers and that the cluster recovers.
func runHistory(c *qt.C, seed uint64, fault func(*cluster)) {
	k := newCluster(seed, "a", "b", "c")
	var history []porcupine.Operation
	var version uint64
	for round := range 30 {
		for operator := range 3 {
			history = propose(k, history, operator, round, &version)
		}
		if round%5 == 2 {
			fault(k)
		}
		k.run(300 * time.Millisecond)
		if round%5 == 4 {
			k.heal()
			k.run(3 * time.Second)
		}
	}
	c.Assert(k.violations, qt.HasLen, 0, qt.Commentf("seed %d", seed))
	c.Assert(porcupine.CheckOperations(contractModel(), withReturnTimes(history, k.now)), qt.IsTrue, qt.Commentf("seed %d", seed))
	c.Assert(k.leader(), qt.IsNotNil, qt.Commentf("seed %d: nobody leads after the faults are over", seed))
	assertConverged(c, k)
	done := false
	k.propose(k.leader(), applyCommand("last", 0), func(applier.Result) { done = true })
	k.run(time.Second)
	c.Assert(done, qt.IsTrue, qt.Commentf("seed %d: nothing can be committed after the faults are over", seed))
}

func propose(k *cluster, history []porcupine.Operation, operator, round int, version *uint64) []porcupine.Operation {
	m := k.leader()
	if m == nil {
		return history
	}
	at := len(history)
	in := change{base: *version}
	history = append(history, porcupine.Operation{
		ClientId: at, Input: in, Call: k.now.UnixNano(), Output: &answer{unknown: true},
	})
	out := history[at].Output.(*answer)
	k.propose(m, applyCommand(fmt.Sprint(operator, "-", round), in.base), func(result applier.Result) {
		out.unknown, out.at = false, k.now
		out.applied = !result.Apply.GetConflict()
		out.version = result.Apply.GetContract().GetVersion()
		*version = max(*version, out.version)
	})
	return history
}

func applyCommand(id string, base uint64) *wire.Command {
	return &wire.Command{Body: &wire.Command_ApplyContract{ApplyContract: &wire.ApplyContract{
		ChangeId: id, BaseVersion: base, Contract: &wire.Contract{Customer: "volantes"},
	}}}
}

// withReturnTimes sets each operation's return time. One without an answer may take effect
// until the end of the history.
func withReturnTimes(history []porcupine.Operation, end time.Time) []porcupine.Operation {
	for i := range history {
		out := *history[i].Output.(*answer)
		history[i].Output = out
		history[i].Return = end.UnixNano()
		if !out.unknown {
			history[i].Return = out.at.UnixNano()
		}
	}
	return history
}

// assertConverged lets members catch up, by a snapshot if necessary, and compares them.
func assertConverged(c *qt.C, k *cluster) {
	k.run(8 * time.Second)
	first := k.sorted()[0]
	want, err := first.state.Snapshot()
	c.Assert(err, qt.IsNil)
	for _, m := range k.sorted() {
		state, err := m.state.Snapshot()
		c.Assert(err, qt.IsNil)
		c.Assert(m.state.Applied(), qt.Equals, first.state.Applied(), qt.Commentf("%s lags", m.id))
		c.Assert(sha256.Sum256(state), qt.Equals, sha256.Sum256(want), qt.Commentf("%s differs", m.id))
	}
}

func TestEntriesOfEarlierTermsAreNotCommittedAlone(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	config := &wire.Configuration{Voters: []*wire.Member{{Id: "a"}, {Id: "b"}, {Id: "c"}}}
	r := &replicator.Replicator{ID: "a", Random: func(int64) int64 { return 0 }}
	r.Start(now, replicator.PersistedState{
		HardState: &wire.HardState{Term: 3},
		Snapshot:  &wire.Snapshot{Index: 1, Term: 1, Configuration: config},
		Entries:   []*wire.Entry{{Index: 2, Term: 2}},
	})
	r.Tick(now.Add(time.Minute))
	answer := func(kind wire.MessageKind, term, index uint64) {
		r.Step(now.Add(time.Minute), &wire.Message{Kind: kind, From: "b", To: "a", Term: term, LogIndex: index, Round: 1})
		rd := r.TakeReady()
		if n := len(rd.Entries); n > 0 {
			r.Synced(rd.Entries[n-1].GetIndex())
		}
	}
	answer(wire.MessageKind_MESSAGE_KIND_PRE_VOTE_ANSWER, 4, 0)
	answer(wire.MessageKind_MESSAGE_KIND_VOTE_ANSWER, 4, 0)
	c.Assert(r.Role(), qt.Equals, replicator.Leader)
	// A majority holds the entry of term 2, which may still be overwritten.
	answer(wire.MessageKind_MESSAGE_KIND_APPEND_ANSWER, 4, 2)
	c.Assert(r.Commit(), qt.Equals, uint64(1))
	answer(wire.MessageKind_MESSAGE_KIND_APPEND_ANSWER, 4, 3)
	c.Assert(r.Commit(), qt.Equals, uint64(3))
}

func TestLostDiskHasNoVote(t *testing.T) {
	c := qt.New(t)
	k := newCluster(7, "a", "b", "c")
	k.run(3 * time.Second)
	leader := k.leader()
	// The leader and one member commit an entry that the third lacks.
	others := []*member{}
	for _, m := range k.sorted() {
		if m != leader {
			others = append(others, m)
		}
	}
	k.isolate(others[1].id, true)
	committed := false
	k.propose(leader, applyCommand("kept", 0), func(applier.Result) { committed = true })
	k.run(time.Second)
	c.Assert(committed, qt.IsTrue)
	// The member that has the entry loses its disk, and the leader is partitioned: the member
	// that lacks the entry must not be elected by the vote of the empty one.
	k.isolate(others[1].id, false)
	k.isolate(leader.id, true)
	k.loseDisk(others[0].name)
	k.run(10 * time.Second)
	c.Assert(k.leader(), qt.IsNil)
	// When the leader is reachable again the lost member is replaced, and the entry is there.
	k.heal()
	k.run(10 * time.Second)
	c.Assert(k.leader(), qt.IsNotNil)
	c.Assert(k.leader().state.Contract("volantes").GetVersion(), qt.Equals, uint64(1))
	c.Assert(k.leader().core.Configuration().GetVoters(), qt.HasLen, 3)
	c.Assert(k.violations, qt.HasLen, 0)
}

func TestSecondDiskLossAfterRecovery(t *testing.T) {
	c := qt.New(t)
	k := newCluster(11, "a", "b", "c")
	k.run(3 * time.Second)
	done := false
	k.propose(k.leader(), applyCommand("kept", 0), func(applier.Result) { done = true })
	k.run(time.Second)
	c.Assert(done, qt.IsTrue)
	leader := k.leader()
	var others []*member
	for _, m := range k.sorted() {
		if m != leader {
			others = append(others, m)
		}
	}
	k.loseDisk(others[0].name)
	k.run(10 * time.Second)
	c.Assert(leader.core.Configuration().GetVoters(), qt.HasLen, 3)
	// Right after the recovery the leader loses its disk.
	k.loseDisk(leader.name)
	k.run(15 * time.Second)
	c.Assert(k.leader(), qt.IsNotNil)
	c.Assert(k.leader().state.Contract("volantes").GetVersion(), qt.Equals, uint64(1))
	c.Assert(k.leader().core.Configuration().GetVoters(), qt.HasLen, 3)
	c.Assert(k.violations, qt.HasLen, 0)
}

func TestTransferWithLostTimeoutNowEnds(t *testing.T) {
	c := qt.New(t)
	k := newCluster(3, "a", "b", "c")
	k.run(3 * time.Second)
	transfer(k)
	k.processReady(k.anyLeader())
	// The TimeoutNow message is lost.
	k.network = nil
	k.run(5 * time.Second)
	done := false
	k.propose(k.leader(), applyCommand("after", 0), func(applier.Result) { done = true })
	k.run(time.Second)
	c.Assert(done, qt.IsTrue)
}

func TestFailoverFinishesWithinSessionLease(t *testing.T) {
	c := qt.New(t)
	for seed := uint64(1); seed <= 50; seed++ {
		k := newCluster(seed, "a", "b", "c")
		k.run(3 * time.Second)
		crashLeader(k)
		start := k.now
		for k.leader() == nil && k.now.Sub(start) < time.Minute {
			k.run(tick)
		}
		c.Assert(k.now.Sub(start) < 2700*time.Millisecond, qt.IsTrue, qt.Commentf("seed %d took %s", seed, k.now.Sub(start)))
	}
}
