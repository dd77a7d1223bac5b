package relayplanner

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

func gateways(zones, each int) []*wire.GatewayEntry {
	var list []*wire.GatewayEntry
	for z := range zones {
		for i := range each {
			list = append(list, &wire.GatewayEntry{Zone: fmt.Sprint("z", z), Address: fmt.Sprintf("10.0.%d.%d:80", z, i)})
		}
	}
	return list
}

func assignAll(list []*wire.GatewayEntry) (direct map[string]bool, followers map[string]int) {
	direct, followers = map[string]bool{}, map[string]int{}
	for _, self := range list {
		assignment := Assign(list, self)
		if assignment.Direct {
			direct[self.GetAddress()] = true
			continue
		}
		followers[assignment.Relays[0]]++
	}
	return direct, followers
}

// Which gateways ask the controllers, from a single one to the size that the system is designed
// for.
func TestAssignmentsBySystemSize(t *testing.T) {
	for name, test := range map[string]struct {
		zones, each  int
		direct       int
		maxFollowers int
	}{
		"one gateway":                  {1, 1, 1, 0},
		"eight in four zones":          {4, 2, 8, 0},
		"largest zones without relays": {2, 8, 16, 0},
		"one more in each":             {2, 9, 4, 9},
		"two hundred in six zones":     {6, 33, 18, 20},
		"twelve hundred in 28 zones":   {28, 43, 84, 24},
		"three hundred in one zone":    {1, 300, 19, 40},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			list := gateways(test.zones, test.each)
			direct, followers := assignAll(list)
			c.Check(len(direct), qt.Equals, test.direct)
			for relay, n := range followers {
				c.Check(direct[relay], qt.IsTrue, qt.Commentf("%s is a follower itself", relay))
				c.Check(n <= test.maxFollowers, qt.IsTrue, qt.Commentf("%s has %d", relay, n))
			}
		})
	}
}

// The loss of a relay moves its own followers and makes one other gateway a relay; all
// others keep theirs.
func TestLostRelayMovesOnlyItsFollowers(t *testing.T) {
	c := qt.New(t)
	list := gateways(1, 40)
	before, _ := assignAll(list)
	lost := ""
	for relay := range before {
		lost = relay
		break
	}
	var rest []*wire.GatewayEntry
	for _, g := range list {
		if g.GetAddress() != lost {
			rest = append(rest, g)
		}
	}
	after, _ := assignAll(rest)
	newRelays := 0
	for relay := range after {
		if !before[relay] {
			newRelays++
		}
	}
	c.Check(newRelays, qt.Equals, 1)
	for _, self := range rest {
		old, now := Assign(list, self), Assign(rest, self)
		if old.Direct || now.Direct || old.Relays[0] == lost || !before[now.Relays[0]] {
			continue
		}
		c.Check(now.Relays[0], qt.Equals, old.Relays[0])
	}
}

// A gateway that is not listed yet gets an assignment as if it were.
func TestGatewayNotListedYet(t *testing.T) {
	c := qt.New(t)
	list := gateways(2, 20)
	assignment := Assign(list, &wire.GatewayEntry{Zone: "z1", Address: "10.0.1.99:80"})
	c.Check(assignment.Direct || len(assignment.Relays) == 2, qt.IsTrue)
	c.Check(Assign(nil, list[0]), qt.DeepEquals, Assignment{Direct: true})
}

// A gateway that reaches no controller asks gateways of other zones first, and never itself.
func TestFallbacksPreferOtherZones(t *testing.T) {
	c := qt.New(t)
	list := gateways(3, 5)
	assignment := Assign(list, list[0])
	c.Assert(assignment.Fallbacks, qt.HasLen, 8)
	zones := map[string]string{}
	for _, g := range list {
		zones[g.GetAddress()] = g.GetZone()
	}
	for i, address := range assignment.Fallbacks {
		c.Check(address == list[0].GetAddress(), qt.IsFalse)
		c.Check(zones[address] == "z0", qt.Equals, i >= 4)
	}
}
