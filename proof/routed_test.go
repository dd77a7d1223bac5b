package proof

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// In a cluster of five, which the seeds have bootstrapped, any two may lose their disks at
// once; a third is replaced by an empty one at another address. Nothing acknowledged is lost.
func TestRoutedDisksAndReplacements(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startRouted(c, 5, 2, 2)
	// A change of voters is logged when it is proposed; a later entry is committed after it.
	y.operator.putTable()
	background := startBackgroundLoad(y, 4, 1)
	y.loseDisks(y.controllers[:2]...)
	eventually(c, "the controllers with new disks vote", y.allVote)
	y.operator.putTable()
	y.replace(2)
	y.operator.refreshControllers()
	eventually(c, "the replacement votes", y.allVote)
	y.operator.putTable()
	// The two that kept their disks and addresses are killed; the others must have all the
	// data.
	y.controllers[3].kill()
	y.controllers[4].kill()
	y.waitRead(1)
	y.operator.putTable()
	y.waitServing()
	background.stop()
	y.history.check(c)
}

// One seed is replaced at another address, and the other two lose their disks, so that no
// address in a controller's settings belongs to a member with state. The new ones learn
// of the cluster from the remaining members.
func TestRoutedSeedsWithoutState(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startRouted(c, 5, 1, 1)
	// A change of voters is logged when it is proposed; a later entry is committed after it.
	y.operator.putTable()
	y.replace(2)
	y.operator.refreshControllers()
	eventually(c, "the replacement votes", y.allVote)
	y.operator.putTable()
	y.loseDisks(y.controllers[:2]...)
	eventually(c, "the controllers with new disks vote", y.allVote)
	y.operator.putTable()
	y.waitServing()
	y.history.check(c)
}

// Without a majority of the controllers callers are served; only changes and reads of the table
// fail.
func TestRoutedServingWithoutAMajority(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startRouted(c, 5, 2, 2)
	for _, n := range y.controllers[:3] {
		n.kill()
	}
	background := startBackgroundLoad(y, 4, 2)
	y.waitServed(200)
	before := y.operator.acknowledged.Load()
	c.Check(y.operator.sendTable(3, y.operator.sent.Add(1)), qt.IsFalse)
	_, ok := y.operator.readVersion(4)
	c.Check(ok, qt.IsFalse)
	for _, n := range y.controllers[:3] {
		n.restart()
	}
	y.operator.putTable()
	c.Check(y.operator.acknowledged.Load() > before, qt.IsTrue)
	y.waitServing()
	background.stop()
	y.history.check(c)
}

// All processes are killed at once. What was acknowledged is recovered.
func TestRoutedAllProcessesKilled(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startRouted(c, 5, 2, 2)
	background := startBackgroundLoad(y, 4, 3)
	for range 3 {
		y.operator.putTable()
		all := append(append([]*instance{}, y.controllers...), y.gateways...)
		for _, n := range all {
			n.kill()
		}
		for _, n := range all {
			n.restart()
		}
		y.waitRead(0)
		y.waitServing()
	}
	background.stop()
	y.history.check(c)
}

// Gateways are stopped and restarted in turn. Each forwarded request gets its answer.
func TestRoutedPlannedStops(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startRouted(c, 3, 2, 2)
	background := startBackgroundLoad(y, 6, 4)
	for _, n := range y.gateways {
		y.waitServed(100)
		n.stop()
		n.restart()
		y.waitServing()
	}
	background.stop()
	y.history.check(c)
	c.Check(y.history.unanswered(), qt.HasLen, 0)
}

// A backend server is partitioned again and again while it runs requests. Their answers are
// lost, and none of them may be refused as not run.
func TestRoutedLostAnswers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startRouted(c, 3, 2, 2)
	background := startBackgroundLoad(y, 8, 6)
	for len(y.history.failedAfterRun()) < 10 {
		proxy := y.backends[0].proxy
		proxy.partition()
		y.waitServed(5)
		proxy.heal()
		y.waitServed(40)
	}
	background.stop()
	y.history.check(c)
}

// A draining backend server gets no new requests after a controller's acknowledgement.
func TestRoutedDraining(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startRouted(c, 3, 2, 2)
	background := startBackgroundLoad(y, 6, 5)
	y.waitServed(100)
	leaving := y.backends[0]
	leaving.draining.Store(true)
	acknowledged := leaving.acknowledged.Load()
	eventually(c, "the draining announcement is acknowledged", func() bool { return leaving.acknowledged.Load() > acknowledged+1 })
	runs := leaving.runs.Load()
	y.waitServed(300)
	// Requests may have been in flight when the announcement was acknowledged.
	c.Check(leaving.runs.Load()-runs <= 6, qt.IsTrue, qt.Commentf("%d", leaving.runs.Load()-runs))
	background.stop()
	y.history.check(c)
}

// waitServed waits until a number of further requests are served.
func (y *routedSystem) waitServed(more int) {
	target := y.history.servedCount() + more
	eventually(y.c, "requests are served", func() bool { return y.history.servedCount() >= target })
}

// waitRead waits until a controller returns the newest acknowledged table.
func (y *routedSystem) waitRead(i int) {
	eventually(y.c, "the newest table is read", func() bool {
		version, ok := y.operator.readVersion(i)
		return ok && version == y.operator.acknowledged.Load()
	})
}
