package proof

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// The seeds found a cluster of five, of which any two may lose their disks at once; a
// third is replaced by an empty one at another address. Nothing acknowledged is lost.
func TestRoutedDisksAndReplacements(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startRouted(c, 5, 2, 2)
	crowd := startCrowd(y, 4, 1)
	y.loseDisks(y.controllers[:2]...)
	eventually(c, "those with new disks vote", y.settled)
	y.operator.put()
	y.replace(2)
	y.operator.look()
	eventually(c, "the new one votes", y.settled)
	y.operator.put()
	// The two that never lost anything go; the rest must know it all.
	y.controllers[3].kill()
	y.controllers[4].kill()
	y.waitRead(1)
	y.operator.put()
	y.waitServing()
	crowd.stop()
	y.ledger.check(c)
}

// One seed is replaced at another address, and the other two lose their disks: of the
// addresses that a controller starts from none knows the cluster any more. The members
// that are left tell the new ones.
func TestRoutedSeedsThatKnowNothing(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startRouted(c, 5, 1, 1)
	y.replace(2)
	y.operator.look()
	eventually(c, "the new one votes", y.settled)
	y.loseDisks(y.controllers[:2]...)
	eventually(c, "those with new disks vote", y.settled)
	y.operator.put()
	y.waitServing()
	y.ledger.check(c)
}

// Without a majority of the controllers callers are served; only changes and reads of
// the table wait.
func TestRoutedServingWithoutAMajority(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startRouted(c, 5, 2, 2)
	for _, n := range y.controllers[:3] {
		n.kill()
	}
	crowd := startCrowd(y, 4, 2)
	y.waitServed(200)
	before := y.operator.acknowledged.Load()
	c.Check(y.operator.try(3, y.operator.sent.Add(1)), qt.IsFalse)
	_, ok := y.operator.read(4)
	c.Check(ok, qt.IsFalse)
	for _, n := range y.controllers[:3] {
		n.restart()
	}
	y.operator.put()
	c.Check(y.operator.acknowledged.Load() > before, qt.IsTrue)
	y.waitServing()
	crowd.stop()
	y.ledger.check(c)
}

// Everything loses its power at once. What was acknowledged is there afterwards.
func TestRoutedAllAreKilled(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startRouted(c, 5, 2, 2)
	crowd := startCrowd(y, 4, 3)
	for range 3 {
		y.operator.put()
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
	crowd.stop()
	y.ledger.check(c)
}

// Gateways are stopped and started in turn. Whatever was passed on gets its answer.
func TestRoutedPlannedStops(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startRouted(c, 3, 2, 2)
	crowd := startCrowd(y, 6, 4)
	for _, n := range y.gateways {
		y.waitServed(100)
		n.stop()
		n.restart()
		y.waitServing()
	}
	crowd.stop()
	y.ledger.check(c)
	c.Check(y.ledger.unanswered(), qt.HasLen, 0)
}

// The cable to a backend server is pulled again and again while requests run there. Their
// answers are lost, and nobody may say that they did not run.
func TestRoutedLostAnswers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startRouted(c, 3, 2, 2)
	crowd := startCrowd(y, 8, 6)
	for len(y.ledger.lost()) < 10 {
		cable := y.backends[0].cable
		cable.pull()
		y.waitServed(5)
		cable.plug()
		y.waitServed(40)
	}
	crowd.stop()
	y.ledger.check(c)
}

// A backend server that leaves gets nothing more once a controller has acknowledged it.
func TestRoutedDraining(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startRouted(c, 3, 2, 2)
	crowd := startCrowd(y, 6, 5)
	y.waitServed(100)
	leaving := y.backends[0]
	leaving.draining.Store(true)
	acknowledged := leaving.acknowledged.Load()
	eventually(c, "the notice is acknowledged", func() bool { return leaving.acknowledged.Load() > acknowledged+1 })
	runs := leaving.runs.Load()
	y.waitServed(300)
	// Requests may have been on their way when the notice was acknowledged.
	c.Check(leaving.runs.Load()-runs <= 6, qt.IsTrue, qt.Commentf("%d", leaving.runs.Load()-runs))
	crowd.stop()
	y.ledger.check(c)
}

// waitServed waits until so many more requests have been served.
func (y *routedSystem) waitServed(more int) {
	until := y.ledger.servedSoFar() + more
	eventually(y.c, "requests are served", func() bool { return y.ledger.servedSoFar() >= until })
}

// waitRead waits until a controller reads back the newest table that was acknowledged.
func (y *routedSystem) waitRead(i int) {
	eventually(y.c, "the newest table is read", func() bool {
		version, ok := y.operator.read(i)
		return ok && version == y.operator.acknowledged.Load()
	})
}
