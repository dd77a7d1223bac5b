// Package granter enforces the request limits that backend servers announce: it requests a
// grant of a limit's owner before each request, and grants the requests of all gateways to the
// backend servers whose limits this gateway owns. The owner is chosen from the list of gateways
// by rendezvous hashing. While the owner does not answer, the next gateway in that order, the
// deputy, grants a small part of the limit.
package granter

import (
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/repeater"
	"bronzelead.example/pkg/throttler"
	"bronzelead.example/pkg/wire"
)

const (
	// responseMargin is the time that a call may take beyond its wait: some round trips within
	// a region, at a busy instance.
	responseMargin = 80 * time.Millisecond
	// reportTimeout bounds a call that only reports.
	reportTimeout = 300 * time.Millisecond
	// unreachableRetry is the retry time of a request if neither owner nor deputy answers.
	unreachableRetry = 250 * time.Millisecond
	// sweepInterval is the time between two clean-ups and log lines of usage.
	sweepInterval = time.Second
)

// Granter is one gateway's part. Set the exported fields, call Init, then Run.
type Granter struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	Meter *meter.Meter
	// Self is the address at which other gateways reach this one.
	Self string
	// Ranked returns the addresses of the owner and of the deputy of a backend server's limit,
	// "" if there is none; nil is for a gateway without peers.
	Ranked func(backend string) (owner, deputy string)
	// Client returns a client of another gateway; nil makes one over HTTP.
	Client func(address string, timeout time.Duration) wire.Throttling

	keys atomic.Uint64

	mu       sync.Mutex
	registry throttler.Registry
	sends    map[string]*sends
	pools    map[poolKey]*pool
	peers    map[string]*peer
}

// Request is a request to a backend server with a limit.
type Request struct {
	Backend string
	// Urgency is the request's priority; 0 is the most urgent.
	Urgency    uint32
	ReceivedAt time.Time
	// After Deadline a grant is of no use. Wait is how long the request waits for its grant at
	// most; with 0 it is decided immediately.
	Deadline time.Time
	Wait     time.Duration
}

// Result is the result of a grant request.
type Result struct {
	Granted bool
	// DecidedBy is the gateway that decided.
	DecidedBy string
	// RetryIn is when it would be granted, if it is not.
	RetryIn time.Duration
}

// Init prepares the granter for calls before Run.
func (g *Granter) Init() {
	if g.Ranked == nil {
		g.Ranked = func(string) (owner, deputy string) { return "", "" }
	}
	g.sends = map[string]*sends{}
	g.pools = map[poolKey]*pool{}
	g.peers = map[string]*peer{}
	if g.Client == nil {
		transport := connector.NewTransport(nil)
		g.Client = func(address string, timeout time.Duration) wire.Throttling {
			return wire.NewThrottlingProtobufClient("http://"+address, client(transport, timeout))
		}
	}
}

func client(transport *http.Transport, timeout time.Duration) *connector.Client {
	return &connector.Client{Timeout: timeout, Transport: transport}
}

// Run removes unused state and logs usage until ctx ends.
func (g *Granter) Run(ctx context.Context) {
	repeater.Run(ctx, g.Clock, sweepInterval, func() {
		g.sweep()
		g.logUsage()
	})
}

func (g *Granter) sweep() {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registry.Prune(now, nil)
	g.Meter.SetGauge("request_limits_in_force", float64(g.registry.InForce()))
	for id, s := range g.sends {
		if s.Sum(now) <= 0 && len(s.byKind)+s.denied == 0 {
			delete(g.sends, id)
		}
	}
	for key, p := range g.pools {
		if _, limited := g.registry.Rate(now, key.backend); !limited && p.allocator.Idle(now) {
			delete(g.pools, key)
		}
	}
}

// Limited reports whether requests to a backend server need a grant.
func (g *Granter) Limited(backend string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.registry.Empty() {
		return false
	}
	_, limited := g.registry.Rate(g.Clock.Now(), backend)
	return limited
}

// RequestGrant requests a grant of the limit's owner or of its deputy.
func (g *Granter) RequestGrant(ctx context.Context, r Request) Result {
	owner, deputy := g.Ranked(r.Backend)
	// Callers choose the ids of their requests, so these need not be unique.
	key := g.Self + "/" + strconv.FormatUint(g.keys.Add(1), 10)
	for i, address := range []string{owner, deputy} {
		if address == "" || ctx.Err() != nil || g.isBackingOff(address) {
			continue
		}
		req := g.encode(address, key, r)
		req.Deputy = i > 0
		if address == g.Self {
			return decode(g.decide(ctx, req), address)
		}
		res, err := g.Client(address, r.Wait+responseMargin).Grant(ctx, req)
		if g.recordOutcome(ctx, address, err) {
			g.receiveLimit(res.GetLimit())
			return decode(res, address)
		}
	}
	return Result{RetryIn: unreachableRetry}
}

func (g *Granter) encode(address, key string, r Request) *wire.GrantRequest {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	req := &wire.GrantRequest{
		Backend: r.Backend, Key: key, Gateway: g.Self, Urgency: r.Urgency, Limit: g.registry.Get(now, r.Backend),
		AgeMs:    uint32(max(0, now.Sub(r.ReceivedAt).Milliseconds())),
		GiveUpMs: uint32(max(0, r.Deadline.Sub(now).Milliseconds())), WaitMs: uint32(r.Wait.Milliseconds()),
	}
	if s := g.sends[r.Backend]; s != nil {
		req.Recent = s.Excluding(now, address)
	}
	return req
}

func decode(res *wire.GrantResponse, by string) Result {
	return Result{Granted: res.GetGranted(), DecidedBy: by, RetryIn: milliseconds(res.GetRetryInMs())}
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
