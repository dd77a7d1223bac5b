package routecoordinator

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

// A request for a spare replica went to the same queue as one for a request that waits, and took
// an adapter slot whatever the demand. It is decided on by the next plan, and counted.
func TestSpareRequestsDoNotWait(t *testing.T) {
	for label, test := range map[string]struct {
		spare  bool
		wanted bool
	}{
		"a request waits": {false, true},
		"spare":           {true, false},
	} {
		t.Run(label, func(t *testing.T) {
			c := qt.New(t)
			co, k := newCoordinator()
			lead(co, k)
			now := co.Clock.Now()
			counted := map[string]int{}
			co.CountSpares = func(decision string) { counted[decision]++ }
			co.observeGateway(now, &wire.SyncRequest{Gateway: "a"})
			done := make(chan error, 1)
			go func() {
				done <- co.Acquire(context.Background(), &wire.AcquireRequest{Gateway: "a", Wants: []*wire.Want{{Adapter: "m/x", LeftMs: 1000, Spare: test.spare}}})
			}()
			(<-co.calls.Calls())(now)
			c.Assert(<-done, qt.IsNil)
			c.Check(len(co.gateways["a"].wants) > 0, qt.Equals, test.wanted)
			co.plannedAt = now
			co.placer.Plan(now)
			co.countSpares()
			c.Check(co.placer.Summary().Wanted > 0, qt.Equals, test.wanted)
			c.Check(counted["Denied"], qt.Equals, map[bool]int{true: 1, false: 0}[test.spare])
		})
	}
}
