package granter

import (
	"context"
	"time"

	"bronzelead.example/pkg/retrier"
	"bronzelead.example/pkg/wire"
)

const (
	// firstBackoff is how long a gateway is skipped after one failed call; it doubles up to
	// maxBackoff.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// maxPeers bounds the gateways whose failures are remembered.
	maxPeers = 1024
)

// peer is another gateway to which the latest call failed.
type peer struct {
	failures int
	retryAt  time.Time
}

func (g *Granter) isBackingOff(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[address]
	return p != nil && g.Clock.Now().Before(p.retryAt)
}

// recordOutcome records the outcome of a call to a gateway, and reports whether it succeeded.
func (g *Granter) recordOutcome(ctx context.Context, address string, err error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		delete(g.peers, address)
		return true
	}
	if ctx.Err() != nil {
		return false
	}
	p := g.peers[address]
	if p == nil {
		if len(g.peers) >= maxPeers {
			clear(g.peers)
		}
		p = &peer{}
		g.peers[address] = p
	}
	p.failures++
	p.retryAt = g.Clock.Now().Add(retrier.Backoff{Initial: firstBackoff, Max: maxBackoff}.Delay(p.failures, 0))
	if p.failures == 1 {
		g.Log.Info("gateway did not answer a grant request", "Gateway", address, "Error", err.Error())
	}
	return false
}

// reportSends reports to the owner of a limit what was sent before the limit was known.
func (g *Granter) reportSends(backend string) {
	owner, _ := g.Ranked(backend)
	if owner == "" {
		return
	}
	req := g.encode(owner, "", Request{Backend: backend})
	req.ReportOnly = true
	if len(req.GetRecent()) == 0 {
		return
	}
	if owner == g.Self {
		g.decide(context.Background(), req)
		return
	}
	_, err := g.Client(owner, reportTimeout).Grant(context.Background(), req)
	g.recordOutcome(context.Background(), owner, err)
}

// Server serves wire.Throttling for the other gateways.
type Server struct {
	Granter *Granter
}

// Grant answers as soon as the request may be sent, or at the latest when its wait ends.
func (s *Server) Grant(ctx context.Context, req *wire.GrantRequest) (*wire.GrantResponse, error) {
	s.Granter.receiveLimit(req.GetLimit())
	return s.Granter.decide(ctx, req), nil
}
