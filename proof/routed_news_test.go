package proof

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// relays waits until exactly two gateways fetch all updates from the controllers, and returns
// these two and the others.
func (y *routedSystem) relays() (relays, followers []*instance) {
	eventually(y.c, "exactly two gateways fetch updates from the controllers", func() bool {
		relays, followers = nil, nil
		for _, n := range y.gateways {
			if y.asksControllers(n) {
				relays = append(relays, n)
			} else {
				followers = append(followers, n)
			}
		}
		return len(relays) == 2
	})
	return relays, followers
}

// asksControllers reports the update path that a gateway logged last.
func (y *routedSystem) asksControllers(n *instance) bool {
	asks := true
	for _, line := range y.readLog(n) {
		if line.AsksControllers != nil {
			asks = *line.AsksControllers
		}
	}
	return asks
}

// Of twelve gateways of one zone, ten receive updates through two relays. The relays are
// frozen, resumed and killed, alone and together, while tables change: every running gateway
// serves by the newest table.
func TestRoutedUpdatesThroughRelays(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startRouted(c, 3, 12, 2)
	relays, followers := y.relays()
	c.Assert(followers, qt.HasLen, 10)
	background := startBackgroundLoad(y, 4, 7)

	relays[0].freeze()
	y.operator.putTable()
	y.waitServingAt(slices.Concat(followers, relays[1:]))
	relays[0].thaw()
	y.operator.putTable()
	y.waitServing()

	for _, n := range relays {
		n.kill()
	}
	y.operator.putTable()
	y.waitServingAt(followers)
	for _, n := range relays {
		n.restart()
	}
	y.operator.putTable()
	y.waitServing()

	// A relay and a controller are killed together; a majority of the controllers remains.
	relays, followers = y.relays()
	relays[0].kill()
	y.controllers[0].kill()
	y.operator.putTable()
	y.waitServingAt(followers)
	relays[0].restart()
	y.controllers[0].restart()
	y.operator.putTable()
	y.waitServing()
	background.stop()
	y.history.check(c)
}
