package replicator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// All members stop together, and a majority restarts within half a second. If no lease has to
// be waited for, it has a leader soon afterwards.
func TestRestartedClusterElectsQuickly(t *testing.T) {
	for name, test := range map[string]struct{ voteDelay, within time.Duration }{
		"leases have to expire first": {0, 8 * timeout},
		"no leases":                   {50 * time.Millisecond, timeout * 3 / 2},
		"no leases, a longer delay":   {heartbeat * 5 / 4, 2 * timeout},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for seed := range uint64(40) {
				k := newCluster(seed, "a", "b", "c", "d", "e")
				k.run(4 * timeout)
				for _, m := range k.sorted() {
					m.up = false
				}
				k.run(timeout)
				k.startupVoteDelay = test.voteDelay
				for _, m := range k.sorted()[:3] {
					k.run(80 * time.Millisecond)
					k.start(m)
				}
				k.run(test.within)
				c.Check(k.leader(), qt.IsNotNil, qt.Commentf("seed %d", seed))
				c.Check(k.violations, qt.HasLen, 0)
			}
		})
	}
}

// A single restarted member must not depose the leader, however soon it requests votes.
func TestRestartedMemberDoesNotDeposeLeader(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		k := newCluster(seed, "a", "b", "c")
		k.startupVoteDelay = 10 * time.Millisecond
		k.run(4 * timeout)
		leader := k.leader()
		c.Assert(leader, qt.IsNotNil)
		term := leader.core.Term()
		for _, m := range k.sorted() {
			if m != leader {
				m.up = false
				k.run(50 * time.Millisecond)
				k.start(m)
				k.run(2 * timeout)
			}
		}
		c.Check(leader.core.Term(), qt.Equals, term)
		c.Check(k.leader(), qt.Equals, leader)
	}
}
