package routecoordinator

import (
	"time"

	"bronzelead.example/pkg/disseminator"
	"bronzelead.example/pkg/wire"
)

// rosterInterval is the minimum time between two lists of gateways. When the whole system
// starts, all of them appear within a second, and each list is sent to all.
const rosterInterval = 100 * time.Millisecond

// roster is the list of all active gateways, including those that follow others. It is rebuilt
// only when one has joined or left.
type roster struct {
	list []*wire.GatewayEntry
	// revision differs between two lists.
	revision uint64
	// stale is set once the list is outdated, and madeAt is when it was built.
	stale  bool
	madeAt time.Time
}

func (r *roster) count() uint32 { return uint32(len(r.list)) }

// refresh rebuilds the list if it is stale and the last one is old enough.
func (r *roster) refresh(now time.Time, gateways map[string]*gatewayState) {
	if !r.stale || now.Sub(r.madeAt) < rosterInterval {
		return
	}
	byAddress := map[string]*wire.GatewayEntry{}
	for _, g := range gateways {
		for _, member := range g.members {
			byAddress[member.GetAddress()] = member
		}
	}
	for _, g := range gateways {
		if g.entry.GetAddress() != "" {
			byAddress[g.entry.GetAddress()] = g.entry
		}
	}
	r.list = disseminator.SortedGateways(byAddress)
	r.revision = disseminator.GatewaysRevision(r.list)
	r.stale, r.madeAt = false, now
}
