package app

import (
	"slices"
	"sync"

	"bronzelead.example/pkg/wire"
)

// maxAcquaintances bounds what is remembered; a cluster has five voters.
const maxAcquaintances = 8

// acquaintances are addresses of members from which an instance without a cluster got
// messages, meant for one that was here before. It can join through them when all the
// addresses in its settings are gone or as new as itself.
type acquaintances struct {
	mu        sync.Mutex
	addresses []string
}

func (a *acquaintances) meet(m *wire.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.GetAddress() == "" || slices.Contains(a.addresses, m.GetAddress()) {
		return
	}
	a.addresses = append(a.addresses, m.GetAddress())
	if len(a.addresses) > maxAcquaintances {
		a.addresses = a.addresses[1:]
	}
}

func (a *acquaintances) list() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.addresses)
}
