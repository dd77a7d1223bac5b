package routecoordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/applier"
	"bronzelead.example/pkg/versiontracker"
	"bronzelead.example/pkg/wire"
)

// versionedCoordinator is a leading coordinator and its log.
type versionedCoordinator struct {
	c        *qt.C
	co       *Coordinator
	k        *fakeRaft
	clock    *clockwork.FakeClock
	sequence uint64
}

func newVersionedCoordinator(c *qt.C, state *applier.StateMachine) *versionedCoordinator {
	co, k := newCoordinator()
	clock, _ := co.Clock.(*clockwork.FakeClock)
	if state != nil {
		co.state = state
	}
	lead(co, k)
	return &versionedCoordinator{c: c, co: co, k: k, clock: clock}
}

// run lets time pass while backend servers of some software versions announce themselves.
func (y *versionedCoordinator) run(d time.Duration, versions ...string) {
	for range d / tickInterval {
		y.clock.Advance(tickInterval)
		for _, version := range versions {
			y.sequence++
			y.co.tracker.Observe(y.co.Clock.Now(), &wire.Announcement{
				Id: "b-" + version, Service: "s", Address: version + ":1", Sequence: y.sequence, SoftwareVersion: version,
			})
		}
		y.co.tick(y.co.Clock.Now())
		y.apply()
	}
}

// apply applies what was proposed in the background.
func (y *versionedCoordinator) apply() {
	pending := 0
	for _, at := range y.co.recorded.proposedAt {
		if at.Equal(y.co.Clock.Now()) {
			pending++
		}
	}
	for range pending {
		y.co.apply(<-y.k.in)
	}
}

func (y *versionedCoordinator) response() *wire.SyncResponse {
	return y.co.buildResponse(y.co.Clock.Now(), &wire.SyncRequest{})
}

func (y *versionedCoordinator) logged() []string {
	var list []string
	for _, v := range y.co.state.SoftwareVersions() {
		list = append(list, v.GetVersion())
	}
	return list
}

// After a restart of all controllers streams of a service with one software version were refused for as
// long as a stream lasts, since no leader had observed for so long: 113 on one day.
func TestRestartedLeaderKnowsAllVersions(t *testing.T) {
	for name, test := range map[string]struct {
		before, after []string
		earlier       int
	}{
		"the same version":         {[]string{"v1"}, []string{"v1"}, 0},
		"one has not come back":    {[]string{"v1", "v2"}, []string{"v1"}, 1},
		"one that states none too": {[]string{"", "v1"}, []string{"v1"}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			before := newVersionedCoordinator(c, nil)
			before.run(time.Second, test.before...)
			c.Check(before.logged(), qt.DeepEquals, test.before)
			state, err := before.co.state.Snapshot()
			c.Assert(err, qt.IsNil)
			restored, err := applier.Restore(state)
			c.Assert(err, qt.IsNil)
			after := newVersionedCoordinator(c, restored)
			c.Check(after.response().GetObservedMs(), qt.Equals, uint32(0))
			c.Check(after.response().GetEarlierVersions(), qt.HasLen, len(test.before))
			after.run(2*tickInterval, test.after...)
			c.Check(after.response().GetObservedMs(), qt.Equals, uint32(forgetAfter.Milliseconds()))
			c.Check(after.response().GetEarlierVersions(), qt.HasLen, test.earlier)
		})
	}
}

// A version leaves the log once it has been absent for as long as streams are remembered, and one that is
// new is in the log at once.
func TestVersionsInTheLog(t *testing.T) {
	c := qt.New(t)
	y := newVersionedCoordinator(c, nil)
	y.run(time.Second, "v1")
	c.Check(y.logged(), qt.DeepEquals, []string{"v1"})
	y.run(tickInterval, "v1", "v2")
	c.Check(y.logged(), qt.DeepEquals, []string{"v1", "v2"})
	y.run(versiontracker.Retention, "v2")
	c.Check(y.logged(), qt.DeepEquals, []string{"v1", "v2"})
	y.run(forgetAfter+2*versionsInterval, "v2")
	c.Check(y.logged(), qt.DeepEquals, []string{"v2"})
}
