package granter

import (
	"context"
	"time"

	"bronzelead.example/pkg/throttler"
	"bronzelead.example/pkg/wire"
)

type poolKey struct {
	backend string
	role    throttler.Role
}

// pool is a limit that this gateway grants, as its owner or deputy.
type pool struct {
	backend   string
	allocator throttler.Allocator
	// waiting are the requests that wait for a grant, by key.
	waiting map[string]chan struct{}
	// scheduled is set while a timer for the next grant runs.
	scheduled bool
}

// decide decides on a grant request of any gateway.
func (g *Granter) decide(ctx context.Context, req *wire.GrantRequest) *wire.GrantResponse {
	now := g.Clock.Now()
	role := throttler.Owner
	if req.GetDeputy() {
		role = throttler.Deputy
	}
	g.mu.Lock()
	rate, limited := g.registry.Rate(now, req.GetBackend())
	res := &wire.GrantResponse{Granted: !limited, Limit: g.changedLimit(now, req)}
	if !limited {
		g.mu.Unlock()
		return res
	}
	p := g.pool(req.GetBackend(), role)
	p.allocator.SetRate(now, rate)
	p.allocator.RecordSends(now, req.GetGateway(), req.GetRecent())
	if req.GetReportOnly() {
		g.mu.Unlock()
		return res
	}
	request := throttler.GrantRequest{
		Key: req.GetKey(), Urgency: req.GetUrgency(), ReceivedAt: now.Add(-milliseconds(req.GetAgeMs())),
		Deadline: now.Add(milliseconds(req.GetGiveUpMs())), CanWait: req.GetWaitMs() > 0,
	}
	decision := p.allocator.Submit(now, request)
	granted := make(chan struct{})
	if decision.Waiting {
		p.waiting[request.Key] = granted
		g.schedule(now, p)
	}
	g.mu.Unlock()
	if decision.Waiting {
		decision.Granted = g.awaitGrant(ctx, p, request.Key, granted, milliseconds(req.GetWaitMs()))
		decision.RetryIn = max(0, decision.RetryIn-g.Clock.Since(now))
	}
	res.Granted = decision.Granted
	if !res.GetGranted() {
		res.RetryInMs = uint32(max(1, decision.RetryIn.Milliseconds()))
	}
	return res
}

// changedLimit returns the known limit, if the requesting gateway has another one. The caller
// holds the lock.
func (g *Granter) changedLimit(now time.Time, req *wire.GrantRequest) *wire.RequestLimit {
	known := g.registry.Get(now, req.GetBackend())
	if known.GetLifted() == req.GetLimit().GetLifted() && known.GetRequestsPerSecond() == req.GetLimit().GetRequestsPerSecond() {
		return nil
	}
	return known
}

// pool returns the pool of a limit. The caller holds the lock.
func (g *Granter) pool(backend string, role throttler.Role) *pool {
	key := poolKey{backend, role}
	p := g.pools[key]
	if p == nil {
		p = &pool{backend: backend, allocator: throttler.Allocator{Role: role}, waiting: map[string]chan struct{}{}}
		g.pools[key] = p
	}
	return p
}

// awaitGrant waits for a grant, and reports whether it came.
func (g *Granter) awaitGrant(ctx context.Context, p *pool, key string, granted <-chan struct{}, wait time.Duration) bool {
	timer := g.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
	case <-timer.Chan():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(p.waiting, key)
	if p.allocator.Withdraw(key) {
		return false
	}
	// The request was granted or has reached its deadline.
	select {
	case <-granted:
		return true
	default:
		return false
	}
}

// schedule starts a timer for a pool's next grant. The caller holds the lock.
func (g *Granter) schedule(now time.Time, p *pool) {
	wait, ok := p.allocator.NextGrantIn(now)
	if !ok || p.scheduled {
		return
	}
	p.scheduled = true
	g.Clock.AfterFunc(wait, func() { g.grantDue(p) })
}

// grantDue grants waiting requests that are due.
func (g *Granter) grantDue(p *pool) {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	p.scheduled = false
	if rate, limited := g.registry.Rate(now, p.backend); limited {
		p.allocator.SetRate(now, rate)
	}
	for _, key := range p.allocator.GrantDue(now) {
		if granted, ok := p.waiting[key]; ok {
			close(granted)
			delete(p.waiting, key)
		}
	}
	g.schedule(now, p)
}
