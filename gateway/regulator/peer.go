package regulator

import (
	"context"
	"net/http"
	"slices"
	"time"

	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/ranker"
	"bronzelead.example/pkg/retrier"
	"bronzelead.example/pkg/wire"
)

const (
	// releaseTimeout bounds a call that reports completed prompts; one that is not reported
	// expires at the owner.
	releaseTimeout = 300 * time.Millisecond
	// maxReleases bounds the completed prompts that wait to be reported.
	maxReleases = 256
)

// peer is another gateway.
type peer struct {
	transport *http.Transport
	// failures counts the failed calls in a row, and backoffUntil is until when the peer is not
	// called.
	failures     int
	backoffUntil time.Time
	// releases are prompts to report to the peer, and sending is set while a call does that.
	releases []*wire.PromptEnd
	sending  bool
}

// owner returns the address of the gateway that owns an engine: of the reachable gateways, the
// one with the highest rendezvous hash of engine and gateway, so that each gateway owns some
// engines, and the loss of one moves only its own.
func (r *Regulator) owner(backend string) string {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ownerOf(now, backend)
}

// ownerOf is owner for a caller that holds the lock.
func (r *Regulator) ownerOf(now time.Time, backend string) string {
	best, highest := "", uint64(0)
	for _, address := range r.gateways {
		if known := r.peers[address]; known != nil && now.Before(known.backoffUntil) {
			continue
		}
		if n := ranker.Score(backend, address); best == "" || n > highest {
			best, highest = address, n
		}
	}
	return best
}

// RankedOwners returns the first two gateways in the order of owner, reachable or not; "" where
// there is none.
func (r *Regulator) RankedOwners(backend string) (first, second string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	highest, next := uint64(0), uint64(0)
	for _, address := range r.gateways {
		n := ranker.Score(backend, address)
		switch {
		case first == "" || n > highest:
			second, next = first, highest
			first, highest = address, n
		case second == "" || n > next:
			second, next = address, n
		}
	}
	return first, second
}

func (r *Regulator) peer(address string) *peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.knownPeer(address)
}

// knownPeer returns a peer. The caller holds the lock.
func (r *Regulator) knownPeer(address string) *peer {
	p := r.peers[address]
	if p == nil {
		p = &peer{transport: connector.NewTransport(nil)}
		r.peers[address] = p
	}
	return p
}

// removeUnlistedPeers removes peers that are no longer listed. The caller holds the lock.
func (r *Regulator) removeUnlistedPeers() {
	for address, p := range r.peers {
		if !slices.Contains(r.gateways, address) {
			p.transport.CloseIdleConnections()
			delete(r.peers, address)
			r.forgetOwner(address)
		}
	}
}

func (r *Regulator) recordFailure(ctx context.Context, address string, err error) {
	if ctx.Err() != nil {
		return
	}
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.knownPeer(address)
	if now.Before(p.backoffUntil) {
		return
	}
	r.forgetOwner(address)
	p.failures++
	p.backoffUntil = now.Add(retrier.Backoff{Initial: minBackoff, Max: maxBackoff}.Delay(p.failures, 0))
	r.Log.Info("owner of engines does not answer", "Gateway", address, "Error", err.Error())
}

func (r *Regulator) recordSuccess(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[address]; p != nil {
		p.failures = 0
	}
}

// queueRelease reports a completed prompt to a peer. Calls are sequential, each with all
// prompts queued meanwhile.
func (r *Regulator) queueRelease(address string, release *wire.PromptEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.knownPeer(address)
	if len(p.releases) >= maxReleases {
		return
	}
	p.releases = append(p.releases, release)
	if !p.sending {
		p.sending = true
		go r.sendReleases(address, p)
	}
}

func (r *Regulator) sendReleases(address string, p *peer) {
	client := &connector.Client{Timeout: releaseTimeout, Transport: p.transport}
	for {
		r.mu.Lock()
		releases := p.releases
		p.releases = nil
		if len(releases) == 0 {
			p.sending = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		_, err := wire.NewPacingProtobufClient("http://"+address, client).End(context.Background(), &wire.EndRequest{Prompts: releases})
		if err != nil {
			r.recordFailure(context.Background(), address, err)
		}
	}
}
