// Package relayer holds what this gateway knows of the system, and passes it on to the
// gateways that follow it: their calls wait here for news, and what they tell of their
// requests goes on with this gateway's own.
package relayer

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"bronzelead.example/gateway/granter"
	"bronzelead.example/pkg/disseminator"
	"bronzelead.example/pkg/meter"
	"bronzelead.example/pkg/throttler"
	"bronzelead.example/pkg/wire"
)

const (
	// lookEvery bounds how late a call is answered whose wait is over.
	lookEvery = 20 * time.Millisecond
	// maxWaiters bounds the calls that wait here; more followers than any list gives come
	// only from a fault, and must not use this instance up.
	maxWaiters = 1024
)

// Relayer serves wire.Mesh for other gateways. Set the exported fields, call Init, then Run.
type Relayer struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	Meter *meter.Meter
	// Self is this gateway.
	Self *wire.GatewayEntry
	// Apply takes news for this gateway itself. Calls do not overlap.
	Apply func(source string, news *wire.SyncResponse)
	// Loads returns this gateway's own requests under way.
	Loads func() []*wire.Load
	// AddDemand takes the requests that followers have taken.
	AddDemand func(list []*wire.Demand)
	// ReceiveRunReports takes the runs of followers' requests that ended.
	ReceiveRunReports func(reports []*wire.RunReport)
	// Granter knows the request limits of backend servers.
	Granter *granter.Granter
	// RequestAdapters asks the leader for adapters. It must not block.
	RequestAdapters func(wants []*wire.Want)

	mu       sync.Mutex
	spreader *disseminator.Disseminator
	waiters  []*waiter
	// own are this gateway's loads as of the last look.
	own []*wire.Load

	// leaderAt is when the leader's word was right that is known, in ns of Unix time; 0 is
	// never. It is read while others hold their own locks.
	leaderAt atomic.Int64
}

// waiter is a follower's call that waits for news.
type waiter struct {
	request  *wire.SyncRequest
	deadline time.Time
	// answer takes the answer, once. It has room for it.
	answer chan *wire.SyncResponse
}

// Init prepares the relayer for calls before Run.
func (r *Relayer) Init() {
	r.spreader = &disseminator.Disseminator{Self: r.Self, Epoch: rand.Uint64()}
	r.spreader.Init()
}

// Run answers calls whose wait is over until ctx ends.
func (r *Relayer) Run(ctx context.Context) {
	ticker := r.Clock.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			r.look()
		}
	}
}

func (r *Relayer) look() {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spreader.Tick(now)
	if len(r.waiters) > 0 {
		r.own = r.Loads()
		r.answerWaiters(now)
	}
}

// Receive takes an answer of a controller or of another gateway. It reports false if that
// was a difference from what is not known here, so that all has to be asked for.
func (r *Relayer) Receive(source string, res *wire.SyncResponse) bool {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	news, whole := r.spreader.Receive(now, res)
	if !whole {
		r.Log.Warn("a difference has a gap before it; all is asked for", "Source", source,
			"Since", res.GetHoldingsSince(), "Known", r.spreader.HoldingRevision())
	}
	if age := r.spreader.LeaderAge(now); age < unknownAge {
		r.leaderAt.Store(now.Add(-age).UnixNano())
	}
	r.Apply(source, news)
	r.answerWaiters(now)
	return whole
}

// Sync answers a follower as soon as there is news for it, or when its wait is over.
func (r *Relayer) Sync(ctx context.Context, req *wire.SyncRequest) (*wire.SyncResponse, error) {
	if len(req.GetDemand()) > 0 {
		r.AddDemand(req.GetDemand())
	}
	if len(req.GetRunReports()) > 0 {
		r.ReceiveRunReports(req.GetRunReports())
	}
	if len(req.GetRequestLimits()) > 0 {
		r.Granter.ReceiveLimits(req.GetRequestLimits(), throttler.Follower)
	}
	w, err := r.enter(req)
	if err != nil {
		return nil, err
	}
	select {
	case res := <-w.answer:
		return res, nil
	case <-ctx.Done():
		r.leave(w)
		return nil, errors.Wrap(ctx.Err(), "relayer: sync")
	}
}

func (r *Relayer) enter(req *wire.SyncRequest) (*waiter, error) {
	now := r.Clock.Now()
	w := &waiter{
		request: req, deadline: now.Add(time.Duration(req.GetWaitMs()) * time.Millisecond),
		answer: make(chan *wire.SyncResponse, 1),
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.waiters) >= maxWaiters {
		return nil, twirp.NewError(twirp.ResourceExhausted, "too many gateways ask this one")
	}
	r.spreader.ObserveFollower(now, req)
	if r.isDue(now, w) {
		r.answer(now, w)
	} else {
		r.waiters = append(r.waiters, w)
	}
	return w, nil
}

// leave takes out a call whose caller has given up.
func (r *Relayer) leave(gone *waiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.waiters[:0]
	for _, w := range r.waiters {
		if w != gone {
			kept = append(kept, w)
		}
	}
	clear(r.waiters[len(kept):])
	r.waiters = kept
}

// answerWaiters answers the calls that are due. The caller holds the lock.
func (r *Relayer) answerWaiters(now time.Time) {
	kept := r.waiters[:0]
	for _, w := range r.waiters {
		if r.isDue(now, w) {
			r.answer(now, w)
			continue
		}
		kept = append(kept, w)
	}
	clear(r.waiters[len(kept):])
	r.waiters = kept
}

func (r *Relayer) isDue(now time.Time, w *waiter) bool {
	return !now.Before(w.deadline) || w.request.GetRequestLimitsRevision() != r.Granter.Revision() || r.spreader.Due(now, w.request)
}

func (r *Relayer) answer(now time.Time, w *waiter) {
	res := r.spreader.Answer(now, w.request, r.own)
	r.tellLimits(w.request, res)
	w.answer <- res
}

// tellLimits adds the request limits to an answer, if the follower knows another list.
func (r *Relayer) tellLimits(req *wire.SyncRequest, res *wire.SyncResponse) {
	list, revision := r.Granter.Limits()
	res.RequestLimitsRevision = revision
	if req.GetEpoch() != res.GetEpoch() || req.GetRequestLimitsRevision() != revision {
		res.RequestLimits = list
	}
}

// Acquire passes a follower's request for adapters on to the leader.
func (r *Relayer) Acquire(_ context.Context, req *wire.AcquireRequest) (*wire.AcquireResponse, error) {
	r.mu.Lock()
	r.spreader.ObserveWants(r.Clock.Now(), req.GetGateway(), req.GetWants())
	r.mu.Unlock()
	r.RequestAdapters(req.GetWants())
	return &wire.AcquireResponse{}, nil
}

// errNotHere is what a gateway says of calls that only controllers serve.
var errNotHere = twirp.NewError(twirp.Unavailable, "this is a gateway")

// Relay is not for gateways.
func (r *Relayer) Relay(context.Context, *wire.RelayRequest) (*wire.RelayResponse, error) {
	return nil, errNotHere
}

// Put is not for gateways.
func (r *Relayer) Put(context.Context, *wire.PutRequest) (*wire.PutResponse, error) {
	return nil, errNotHere
}

// ListHeld is not for gateways.
func (r *Relayer) ListHeld(context.Context, *wire.ListHeldRequest) (*wire.ListHeldResponse, error) {
	return nil, errNotHere
}

// Read is not for gateways.
func (r *Relayer) Read(context.Context, *wire.ReadRequest) (*wire.ReadResponse, error) {
	return nil, errNotHere
}

// HoldingRevision returns up to which revision holdings are known.
func (r *Relayer) HoldingRevision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spreader.HoldingRevision()
}

// SuspectsRevision returns the number of the list of suspects that is known.
func (r *Relayer) SuspectsRevision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spreader.SuspectsRevision()
}

// Gateways returns all gateways, by the word of the leader.
func (r *Relayer) Gateways() []*wire.GatewayEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spreader.Gateways()
}

// Members returns the gateways that follow this one, with the number of their list.
func (r *Relayer) Members() ([]*wire.GatewayEntry, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spreader.Members()
}

// AllLoads returns the requests under way of this gateway and of its followers.
func (r *Relayer) AllLoads() []*wire.Load {
	own := r.Loads()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spreader.Loads(own)
}

// unknownAge is the age of a leader's word before the first one.
const unknownAge = time.Hour

// LeaderAge returns how old the leader's word is that is known here.
func (r *Relayer) LeaderAge() time.Duration {
	at := r.leaderAt.Load()
	if at == 0 {
		return unknownAge
	}
	return r.Clock.Since(time.Unix(0, at))
}

// Measure records the age of what is known here.
func (r *Relayer) Measure() {
	if age := r.LeaderAge(); age < unknownAge {
		r.Meter.RecordDuration("news_age", age)
	}
}
