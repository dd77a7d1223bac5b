package granter

import (
	"context"
	"time"

	"bronzelead.example/pkg/retrier"
	"bronzelead.example/pkg/wire"
)

const (
	// firstBackoff is how long a gateway is not asked that has not answered once; it doubles up
	// to longestBackoff.
	firstBackoff   = 100 * time.Millisecond
	longestBackoff = 2 * time.Second
	// maxPeers bounds the gateways whose failures are remembered.
	maxPeers = 1024
)

// peer is another gateway that has not answered.
type peer struct {
	failures int
	until    time.Time
}

func (g *Granter) isBackingOff(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[address]
	return p != nil && g.Clock.Now().Before(p.until)
}

// noteAnswer notes the end of a call to a gateway, and reports whether that has answered.
func (g *Granter) noteAnswer(ctx context.Context, address string, err error) bool {
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
	p.until = g.Clock.Now().Add(retrier.Backoff{Initial: firstBackoff, Max: longestBackoff}.Delay(p.failures, 0))
	if p.failures == 1 {
		g.Log.Info("owner of a request limit does not answer", "Gateway", address, "Error", err.Error())
	}
	return false
}

// report tells the owner of a limit what was sent there before the limit was known.
func (g *Granter) report(backend string) {
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
		g.answer(context.Background(), req)
		return
	}
	_, err := g.Client(owner, reportTimeout).Grant(context.Background(), req)
	g.noteAnswer(context.Background(), owner, err)
}

// Server serves wire.Throttling for the other gateways.
type Server struct {
	Granter *Granter
}

// Grant answers as soon as the request may be sent, at the latest when its wait is over.
func (s *Server) Grant(ctx context.Context, req *wire.GrantRequest) (*wire.GrantResponse, error) {
	s.Granter.hearLimit(req.GetLimit())
	return s.Granter.answer(ctx, req), nil
}
