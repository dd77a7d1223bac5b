// Package arranger decides which gateways hear news from the controllers themselves and
// which from other gateways of their availability zone. It is pure: the same list gives
// each gateway the same tree, so that nobody has to be told.
//
// It answers the load of a system with many gateways: if all ask the controllers, the
// leader's bytes and time grow with the gateways times all that is news, and most of the
// bytes cross zones. In a tree each piece of news enters a zone a few times.
package relayplanner

import (
	"slices"

	"bronzelead.example/pkg/ranker"
	"bronzelead.example/pkg/wire"
)

const (
	// directPerZone is the number of gateways of a zone up to which all of them ask the
	// controllers: with so few a further hop only makes news older.
	directPerZone = 8
	// followersPerRelay is how many gateways one relay is to serve. Of 195 gateways the
	// busiest, a relay with some 14 followers, sent 350 KB/s in all over 10 s, 2.8 of the
	// 10 Mbit/s of the smallest instances.
	followersPerRelay = 16
	// leastRelays leaves a zone a relay when it loses one.
	leastRelays = 2
)

// Assignment is a gateway's place in the tree.
type Assignment struct {
	// Direct means that the gateway asks the controllers itself.
	Direct bool
	// Relays are the addresses of the gateways that it asks else, in its own order: the
	// followers of a zone spread over its relays.
	Relays []string
	// Fallbacks are other gateways, to be asked when no controller can be reached.
	Fallbacks []string
}

// maxElsewhere bounds the gateways that are tried where no controller can be reached.
const maxElsewhere = 8

// Assign returns the place of the gateway at an address. The list need not have it yet.
func Assign(list []*wire.GatewayEntry, self *wire.GatewayEntry) Assignment {
	mates := []string{self.GetAddress()}
	var others []string
	for _, g := range list {
		switch {
		case g.GetAddress() == self.GetAddress():
		case g.GetZone() == self.GetZone():
			mates = append(mates, g.GetAddress())
		default:
			others = append(others, g.GetAddress())
		}
	}
	relays := relaysOf(self.GetZone(), mates)
	place := Assignment{Direct: relays == nil || slices.Contains(relays, self.GetAddress())}
	// Those of other zones come first: what cuts this gateway off may cut off its zone.
	ranker.Sort(others, self.GetAddress())
	ranker.Sort(mates, self.GetAddress())
	mates = slices.DeleteFunc(mates, func(address string) bool { return address == self.GetAddress() })
	elsewhere := slices.Concat(others[:min(len(others), maxElsewhere/2)], mates)
	place.Fallbacks = elsewhere[:min(len(elsewhere), maxElsewhere)]
	if !place.Direct {
		ranker.Sort(relays, self.GetAddress())
		place.Relays = relays
	}
	return place
}

// relaysOf returns the relays of a zone, or nil if it needs none. As in rendezvous hashing
// a gateway that comes or goes changes one of them at most, as long as their number stays.
func relaysOf(zone string, gateways []string) []string {
	if len(gateways) <= directPerZone {
		return nil
	}
	ranked := slices.Clone(gateways)
	ranker.Sort(ranked, zone)
	n := max(leastRelays, (len(gateways)+followersPerRelay-1)/followersPerRelay)
	return ranked[:n]
}
