// Package granter keeps this gateway to the request limits that backend servers announce: it
// asks the owner of a limit for a grant before each request, and grants the requests of all
// gateways to the backend servers whose limits it owns. The owner follows from the list of
// gateways by rendezvous hashing. While the owner does not answer, the next gateway in that
// order, the deputy, grants a small part of the limit.
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
	"bronzelead.example/pkg/throttler"
	"bronzelead.example/pkg/wire"
)

const (
	// answerMargin is the time that a call may take beyond its wait: some round trips within
	// a region, at an instance that is busy.
	answerMargin = 80 * time.Millisecond
	// reportTimeout bounds a call that only reports.
	reportTimeout = 300 * time.Millisecond
	// unreachableRetry is when a request is tried again if neither owner nor deputy answers.
	unreachableRetry = 250 * time.Millisecond
	// sweepEvery is the time between two clean-ups and log lines of usage.
	sweepEvery = time.Second
)

// Granter is one gateway's part. Set the exported fields, call Init, then Run.
type Granter struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	Meter *meter.Meter
	// Self is where the other gateways reach this one.
	Self string
	// Ranked returns the addresses of the owner and of the deputy of a backend server's limit,
	// "" if there is none; nil is a gateway that knows no other.
	Ranked func(backend string) (owner, deputy string)
	// Client returns a client of another gateway; nil makes one over HTTP.
	Client func(address string, timeout time.Duration) wire.Throttling

	keys atomic.Uint64

	mu    sync.Mutex
	book  throttler.Registry
	sends map[string]*sends
	pools map[poolKey]*pool
	peers map[string]*peer
}

// Request is one that is to be sent to a backend server with a limit.
type Request struct {
	Backend string
	// Urgency is the request's priority; 0 goes first.
	Urgency    uint32
	ReceivedAt time.Time
	// Deadline is when it is no use to send it, and Wait how long it waits for its grant at most;
	// 0 decides at once.
	Deadline time.Time
	Wait     time.Duration
}

// Result is what became of a request.
type Result struct {
	Granted bool
	// DecidedBy is the gateway that granted it.
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

// Run cleans up until ctx ends.
func (g *Granter) Run(ctx context.Context) {
	ticker := g.Clock.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			g.sweep()
			g.logUsage()
		}
	}
}

func (g *Granter) sweep() {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Prune(now, nil)
	g.Meter.SetGauge("request_limits_in_force", float64(g.book.InForce()))
	for id, s := range g.sends {
		if s.Sum(now) <= 0 {
			delete(g.sends, id)
		}
	}
	for key, p := range g.pools {
		if _, limited := g.book.Rate(now, key.backend); !limited && p.allocator.Idle(now) {
			delete(g.pools, key)
		}
	}
}

// Limited reports whether requests to a backend server need a grant.
func (g *Granter) Limited(backend string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.book.Empty() {
		return false
	}
	_, limited := g.book.Rate(g.Clock.Now(), backend)
	return limited
}

// RequestGrant asks for a request to be sent, at the owner of the limit or at its deputy.
func (g *Granter) RequestGrant(ctx context.Context, r Request) Result {
	owner, deputy := g.Ranked(r.Backend)
	// Ids of requests are the callers' to choose, and would not tell two of them apart.
	key := g.Self + "/" + strconv.FormatUint(g.keys.Add(1), 10)
	for i, address := range []string{owner, deputy} {
		if address == "" || ctx.Err() != nil || g.isBackingOff(address) {
			continue
		}
		req := g.encode(address, key, r)
		req.Deputy = i > 0
		if address == g.Self {
			return decode(g.answer(ctx, req), address)
		}
		res, err := g.Client(address, r.Wait+answerMargin).Grant(ctx, req)
		if g.noteAnswer(ctx, address, err) {
			g.hearLimit(res.GetLimit())
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
		Backend: r.Backend, Key: key, Gateway: g.Self, Urgency: r.Urgency, Limit: g.book.Get(now, r.Backend),
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
