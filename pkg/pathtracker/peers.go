package pathtracker

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minPeerBackoff is how long a gateway is not asked for connections after it opened none;
	// it doubles with each time in a row, up to maxPeerBackoff.
	minPeerBackoff = 250 * time.Millisecond
	maxPeerBackoff = 2 * time.Second
)

// Peer is another gateway.
type Peer struct {
	Address string
	Zone    string
}

// Peers chooses the gateway through which a connection is opened. The zero value is ready for use.
type Peers struct {
	// Rand makes choices repeatable; nil uses the process-wide source.
	Rand *rand.Rand

	states map[string]*peerState
}

// peerState is what is known of a gateway that was asked for connections.
type peerState struct {
	// open is the number of connections that are open through it.
	open     int
	failures int
	retryAt  time.Time
}

func (p *Peers) state(address string) *peerState {
	if p.states == nil {
		p.states = map[string]*peerState{}
	}
	s := p.states[address]
	if s == nil {
		s = &peerState{}
		p.states[address] = s
	}
	return s
}

// Choose returns a gateway of a list that was not tried yet: the one with fewer open connections
// of two random ones, in one of the zones if there is any, so that bytes cross zones only once.
func (p *Peers) Choose(now time.Time, list []Peer, zones, tried []string) (Peer, bool) {
	var near, far []Peer
	for _, peer := range list {
		if s := p.states[peer.Address]; slices.Contains(tried, peer.Address) || s != nil && now.Before(s.retryAt) {
			continue
		}
		if slices.Contains(zones, peer.Zone) {
			near = append(near, peer)
		} else {
			far = append(far, peer)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return Peer{}, false
	}
	first := p.intN(len(near))
	best := near[first]
	if len(near) == 1 {
		return best, true
	}
	other := near[(first+1+p.intN(len(near)-1))%len(near)]
	if p.state(other.Address).open < p.state(best.Address).open {
		return other, true
	}
	return best, true
}

// RecordOpened records that a connection was opened through a gateway.
func (p *Peers) RecordOpened(address string) {
	s := p.state(address)
	s.open++
	s.failures, s.retryAt = 0, time.Time{}
}

// RecordClosed records that such a connection has ended.
func (p *Peers) RecordClosed(address string) {
	s := p.state(address)
	s.open = max(0, s.open-1)
}

// RecordFailed records that a gateway opened no connection for a reason of its own, or did not
// answer.
func (p *Peers) RecordFailed(now time.Time, address string) {
	s := p.state(address)
	backoff := min(minPeerBackoff<<min(s.failures, 8), maxPeerBackoff)
	s.failures++
	s.retryAt = now.Add(backoff)
}

// Retain forgets the gateways that are not listed and have no open connections.
func (p *Peers) Retain(list []Peer) {
	for address, s := range p.states {
		if s.open == 0 && !slices.ContainsFunc(list, func(peer Peer) bool { return peer.Address == address }) {
			delete(p.states, address)
		}
	}
}

func (p *Peers) intN(n int) int {
	if p.Rand == nil {
		return rand.IntN(n)
	}
	return p.Rand.IntN(n)
}
