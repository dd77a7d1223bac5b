package app

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// silence is how long a sound backend server may answer nothing.
const silence = 1200 * time.Millisecond

// runCount returns the number of requests that a backend server has run.
func (b *siteBackend) runCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.runs)
}

// A backend server that is silent for a second goes on, and must neither be taken for partitioned or
// crashed, nor have its requests run again elsewhere.
func TestSilentBackendServerGoesOn(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startPartitionSite(c, 0)
	y.callAllFor(time.Second, noGateways)
	silent := y.backends[0]
	silent.silentUntil.Store(time.Now().Add(silence).UnixNano())
	_, during := y.callAllFor(silence, noGateways)
	ran := silent.runCount()
	_, after := y.callAllFor(time.Second, noGateways)
	c.Check(silent.runCount() > ran, qt.IsTrue)
	// It has a quarter of the requests at most.
	c.Check(during.share() >= 0.75, qt.IsTrue, qt.Commentf("%d of %d", during.served.Load(), during.sent.Load()))
	c.Check(after.share() >= 0.9, qt.IsTrue, qt.Commentf("%d of %d", after.served.Load(), after.sent.Load()))
	y.checkRunsOnce()
	for _, g := range y.gateways {
		reports, _ := g.isolator.Reports(0)
		for _, r := range reports {
			c.Check(r.GetCompleted(), qt.IsTrue, qt.Commentf("%v", r))
		}
	}
}
