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
	// endTimeout bounds the telling of prompts that were read; one that is not told is
	// forgotten in the end.
	endTimeout = 300 * time.Millisecond
	// maxEnds bounds the prompts that wait to be told of.
	maxEnds = 256
)

// peer is another gateway.
type peer struct {
	transport *http.Transport
	// failures counts the calls in a row that it has not answered, and aloneUntil is until
	// when it is not asked.
	failures   int
	aloneUntil time.Time
	// ends are prompts that it is to be told of, and telling is set while a call does that.
	ends    []*wire.PromptEnd
	telling bool
}

// owner returns the address of the gateway that owns an engine: of those that answer,
// the one with the highest number of all that are made from an engine and a gateway, so
// that each gateway owns some, and the loss of one moves only its own.
func (r *Regulator) owner(backend string) string {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	best, highest := "", uint64(0)
	for _, address := range r.gateways {
		if known := r.peers[address]; known != nil && now.Before(known.aloneUntil) {
			continue
		}
		if n := ranker.Score(backend, address); best == "" || n > highest {
			best, highest = address, n
		}
	}
	return best
}

// RankedOwners returns the first two gateways in the order of owner, whether they answer or not;
// "" where there is none.
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
	return r.known(address)
}

// known returns a peer. The caller holds the lock.
func (r *Regulator) known(address string) *peer {
	p := r.peers[address]
	if p == nil {
		p = &peer{transport: connector.NewTransport(nil)}
		r.peers[address] = p
	}
	return p
}

// forgetPeers drops those that are no longer listed. The caller holds the lock.
func (r *Regulator) forgetPeers() {
	for address, p := range r.peers {
		if !slices.Contains(r.gateways, address) {
			p.transport.CloseIdleConnections()
			delete(r.peers, address)
		}
	}
}

func (r *Regulator) unanswered(ctx context.Context, address string, err error) {
	if ctx.Err() != nil {
		return
	}
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.known(address)
	if now.Before(p.aloneUntil) {
		return
	}
	p.failures++
	p.aloneUntil = now.Add(retrier.Backoff{Initial: firstAlone, Max: longestAlone}.Delay(p.failures, 0))
	r.Log.Info("owner of engines does not answer", "Gateway", address, "Error", err.Error())
}

func (r *Regulator) answered(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[address]; p != nil {
		p.failures = 0
	}
}

// tellPeer passes a note on. One call at a time takes all that has come up meanwhile.
func (r *Regulator) tellPeer(address string, end *wire.PromptEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.known(address)
	if len(p.ends) >= maxEnds {
		return
	}
	p.ends = append(p.ends, end)
	if !p.telling {
		p.telling = true
		go r.tell(address, p)
	}
}

func (r *Regulator) tell(address string, p *peer) {
	client := &connector.Client{Timeout: endTimeout, Transport: p.transport}
	for {
		r.mu.Lock()
		ends := p.ends
		p.ends = nil
		if len(ends) == 0 {
			p.telling = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		_, err := wire.NewPacingProtobufClient("http://"+address, client).End(context.Background(), &wire.EndRequest{Prompts: ends})
		if err != nil {
			r.unanswered(context.Background(), address, err)
		}
	}
}
