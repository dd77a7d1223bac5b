package replicator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// All members lose their power together and come back within half a second of each other.
// Where no lease has to be waited for, there is a leader soon after a majority is back.
func TestRestartedGroupElectsSoon(t *testing.T) {
	for name, test := range map[string]struct{ quiet, within time.Duration }{
		"leases are waited for": {0, 8 * timeout},
		"no leases":             {50 * time.Millisecond, timeout * 3 / 2},
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
				k.startQuiet = test.quiet
				for _, m := range k.sorted()[:3] {
					k.run(80 * time.Millisecond)
					k.start(m)
				}
				k.run(test.within)
				c.Check(k.leader(), qt.IsNotNil, qt.Commentf("seed %d", seed))
				c.Check(k.faults, qt.HasLen, 0)
			}
		})
	}
}

// A member that restarts alone does not depose the leader of the others, however soon it
// asks for votes.
func TestRestartedMemberDeposesNobody(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		k := newCluster(seed, "a", "b", "c")
		k.startQuiet = 10 * time.Millisecond
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
