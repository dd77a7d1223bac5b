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

// pool is a limit that this gateway shares out, as its owner or deputy.
type pool struct {
	backend   string
	allocator throttler.Allocator
	// waiting are asks that wait for a grant, by their keys.
	waiting map[string]chan struct{}
	// scheduled is set while a timer runs that serves those that wait.
	scheduled bool
}

// answer decides on a request of any gateway.
func (g *Granter) answer(ctx context.Context, req *wire.GrantRequest) *wire.GrantResponse {
	now := g.Clock.Now()
	role := throttler.Owner
	if req.GetDeputy() {
		role = throttler.Deputy
	}
	g.mu.Lock()
	rate, limited := g.book.Rate(now, req.GetBackend())
	res := &wire.GrantResponse{Granted: !limited, Limit: g.otherLimit(now, req)}
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
	ask := throttler.GrantRequest{
		Key: req.GetKey(), Urgency: req.GetUrgency(), ReceivedAt: now.Add(-milliseconds(req.GetAgeMs())),
		Deadline: now.Add(milliseconds(req.GetGiveUpMs())), CanWait: req.GetWaitMs() > 0,
	}
	verdict := p.allocator.Submit(now, ask)
	granted := make(chan struct{})
	if verdict.Waiting {
		p.waiting[ask.Key] = granted
		g.schedule(now, p)
	}
	g.mu.Unlock()
	if verdict.Waiting {
		verdict.Granted = g.await(ctx, p, ask.Key, granted, milliseconds(req.GetWaitMs()))
		verdict.RetryIn = max(0, verdict.RetryIn-g.Clock.Since(now))
	}
	res.Granted = verdict.Granted
	if !res.GetGranted() {
		res.RetryInMs = uint32(max(1, verdict.RetryIn.Milliseconds()))
	}
	return res
}

// otherLimit returns what is known of a limit, if the asking gateway knows something else.
// The caller holds the lock.
func (g *Granter) otherLimit(now time.Time, req *wire.GrantRequest) *wire.RequestLimit {
	known := g.book.Get(now, req.GetBackend())
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

// await waits for a grant, and reports whether it came.
func (g *Granter) await(ctx context.Context, p *pool, key string, granted <-chan struct{}, wait time.Duration) bool {
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
	// Without a grant, its time to give up has come.
	select {
	case <-granted:
		return true
	default:
		return false
	}
}

// schedule serves a pool when its next grant is due. The caller holds the lock.
func (g *Granter) schedule(now time.Time, p *pool) {
	wait, ok := p.allocator.NextGrantIn(now)
	if !ok || p.scheduled {
		return
	}
	p.scheduled = true
	g.Clock.AfterFunc(wait, func() { g.serve(p) })
}

// serve grants what is due to asks that wait.
func (g *Granter) serve(p *pool) {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	p.scheduled = false
	if rate, limited := g.book.Rate(now, p.backend); limited {
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
