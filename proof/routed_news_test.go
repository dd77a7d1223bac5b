package proof

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// relays waits until all gateways of a zone but two follow these two, and returns the two
// and the others.
func (y *routedSystem) relays() (relays, followers []*instance) {
	eventually(y.c, "two gateways ask the controllers for all", func() bool {
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

// asksControllers reports what a gateway said last of how it hears of news.
func (y *routedSystem) asksControllers(n *instance) bool {
	asks := true
	for _, line := range y.logOf(n) {
		if line.AsksControllers != nil {
			asks = *line.AsksControllers
		}
	}
	return asks
}

// Twelve gateways of one zone hear of news from two of them. These freeze, come back and are
// killed, one and both, while tables change: every gateway that runs serves by the newest.
func TestRoutedNewsByRelays(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	y := startRouted(c, 3, 12, 2)
	relays, followers := y.relays()
	c.Assert(followers, qt.HasLen, 10)
	crowd := startCrowd(y, 4, 7)

	relays[0].freeze()
	y.operator.put()
	y.waitServingAt(slices.Concat(followers, relays[1:]))
	relays[0].thaw()
	y.operator.put()
	y.waitServing()

	for _, n := range relays {
		n.kill()
	}
	y.operator.put()
	y.waitServingAt(followers)
	for _, n := range relays {
		n.restart()
	}
	y.operator.put()
	y.waitServing()

	// Relays and controllers go together, a majority of these stays.
	relays, followers = y.relays()
	relays[0].kill()
	y.controllers[0].kill()
	y.operator.put()
	y.waitServingAt(followers)
	relays[0].restart()
	y.controllers[0].restart()
	y.operator.put()
	y.waitServing()
	crowd.stop()
	y.ledger.check(c)
}
