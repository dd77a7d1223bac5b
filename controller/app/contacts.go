package app

import (
	"slices"
	"sync"

	"bronzelead.example/pkg/wire"
)

// maxContacts bounds the remembered addresses; a cluster has five voters.
const maxContacts = 8

// contacts are addresses of members that sent messages to this instance while it had no
// cluster, meant for an earlier incarnation. It can join through them if all addresses in its
// settings are out of use or as new as itself.
type contacts struct {
	mu        sync.Mutex
	addresses []string
}

func (a *contacts) add(m *wire.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if m.GetAddress() == "" || slices.Contains(a.addresses, m.GetAddress()) {
		return
	}
	a.addresses = append(a.addresses, m.GetAddress())
	if len(a.addresses) > maxContacts {
		a.addresses = a.addresses[1:]
	}
}

func (a *contacts) list() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.addresses)
}
