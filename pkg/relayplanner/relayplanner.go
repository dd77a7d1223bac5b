// Package relayplanner decides which gateways get updates from the controllers directly and
// which from other gateways of their availability zone. It is pure: the same list gives each
// gateway the same tree, without coordination.
//
// It bounds the load of a system with many gateways: if all ask the controllers, the leader's
// bytes and time grow with the gateways times all updates, and most of the bytes cross zones.
// In a tree each update enters a zone a few times.
package relayplanner

import (
	"slices"

	"bronzelead.example/pkg/ranker"
	"bronzelead.example/pkg/wire"
)

const (
	// maxDirectPerZone is the number of gateways of a zone up to which all of them ask the
	// controllers: with so few a further hop only delays updates.
	maxDirectPerZone = 8
	// followersPerRelay is how many gateways one relay should serve. Of 195 gateways the
	// busiest, a relay with some 14 followers, sent 350 KB/s in all over 10 s, 2.8 of the 10
	// Mbit/s of the smallest instances.
	followersPerRelay = 16
	// minRelays leaves a zone a relay when it loses one.
	minRelays = 2
)

// Assignment is a gateway's position in the tree.
type Assignment struct {
	// Direct means that the gateway asks the controllers itself.
	Direct bool
	// Relays are the addresses of the gateways that it asks otherwise, in its own order: the
	// followers of a zone spread over its relays.
	Relays []string
	// Fallbacks are other gateways, to be asked when no controller can be reached.
	Fallbacks []string
}

// maxFallbacks bounds the gateways that are asked when no controller can be reached.
const maxFallbacks = 8

// Assign returns the assignment of a gateway, which need not be in the list yet.
func Assign(list []*wire.GatewayEntry, self *wire.GatewayEntry) Assignment {
	peers := []string{self.GetAddress()}
	var others []string
	for _, g := range list {
		switch {
		case g.GetAddress() == self.GetAddress():
		case g.GetZone() == self.GetZone():
			peers = append(peers, g.GetAddress())
		default:
			others = append(others, g.GetAddress())
		}
	}
	relays := zoneRelays(self.GetZone(), peers)
	assignment := Assignment{Direct: relays == nil || slices.Contains(relays, self.GetAddress())}
	// Other zones come first: what partitions this gateway may partition its whole zone.
	ranker.Sort(others, self.GetAddress())
	ranker.Sort(peers, self.GetAddress())
	peers = slices.DeleteFunc(peers, func(address string) bool { return address == self.GetAddress() })
	fallbacks := slices.Concat(others[:min(len(others), maxFallbacks/2)], peers)
	assignment.Fallbacks = fallbacks[:min(len(fallbacks), maxFallbacks)]
	if !assignment.Direct {
		ranker.Sort(relays, self.GetAddress())
		assignment.Relays = relays
	}
	return assignment
}

// zoneRelays returns the relays of a zone, or nil if it needs none. As in rendezvous hashing,
// adding or removing a gateway changes one of them at most, as long as their number stays.
func zoneRelays(zone string, gateways []string) []string {
	if len(gateways) <= maxDirectPerZone {
		return nil
	}
	ranked := slices.Clone(gateways)
	ranker.Sort(ranked, zone)
	n := max(minRelays, (len(gateways)+followersPerRelay-1)/followersPerRelay)
	return ranked[:n]
}
