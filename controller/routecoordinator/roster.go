package routecoordinator

import (
	"time"

	"bronzelead.example/pkg/disseminator"
	"bronzelead.example/pkg/wire"
)

// rosterEvery is the least time between two lists of gateways. After a start of the whole
// system all of them come within a second, and each list goes to all.
const rosterEvery = 100 * time.Millisecond

// roster is the list of all gateways that are heard, with those that follow others. It is
// made anew only when one has come or gone.
type roster struct {
	list []*wire.GatewayEntry
	// revision differs between two lists.
	revision uint64
	// stale is set once the list is no longer right, and madeAt is when it was made.
	stale  bool
	madeAt time.Time
}

func (r *roster) count() uint32 { return uint32(len(r.list)) }

// refresh makes the list anew if it is stale, and not just made.
func (r *roster) refresh(now time.Time, gateways map[string]*gatewayState) {
	if !r.stale || now.Sub(r.madeAt) < rosterEvery {
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
