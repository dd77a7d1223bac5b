// Package relayer holds this gateway's view of the system, and forwards it to the gateways that
// follow it: their calls wait here for updates, and their reports are sent upwards together
// with this gateway's own.
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
	"bronzelead.example/pkg/repeater"
	"bronzelead.example/pkg/tabletransmitter"
	"bronzelead.example/pkg/throttler"
	"bronzelead.example/pkg/wire"
)

const (
	// checkInterval bounds how late a call is answered whose wait is over.
	checkInterval = 20 * time.Millisecond
	// maxWaiters bounds the calls that wait here; more followers than an assignment gives come
	// only from a fault, and must not exhaust this instance.
	maxWaiters = 1024
)

// Relayer serves wire.Mesh for other gateways. Set the exported fields, call Init, then Run.
type Relayer struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	Meter *meter.Meter
	// Self is this gateway.
	Self *wire.GatewayEntry
	// Apply applies an update to this gateway itself. Calls do not overlap.
	Apply func(source string, update *wire.SyncResponse)
	// Loads returns this gateway's own requests in progress.
	Loads func() []*wire.Load
	// AddDemand adds the requests that followers have accepted.
	AddDemand func(list []*wire.Demand)
	// ReceiveRunReports takes the run reports of followers.
	ReceiveRunReports func(reports []*wire.RunReport)
	// Granter knows the request limits of backend servers.
	Granter *granter.Granter
	// RequestAdapters asks the leader for adapters. It must not block.
	RequestAdapters func(wants []*wire.Want)

	mu           sync.Mutex
	disseminator *disseminator.Disseminator
	waiters      []*waiter
	// own are this gateway's loads as of the last check with waiting calls.
	own []*wire.Load

	// tables answers requests for the table; packing one may take a while.
	tablesMu sync.Mutex
	tables   tabletransmitter.Source

	// leaderAt is when the known state of the leader was current, in ns of Unix time; 0 is
	// never. It is read by callers that hold their own locks.
	leaderAt atomic.Int64
}

// waiter is a follower's call that waits for updates.
type waiter struct {
	request  *wire.SyncRequest
	deadline time.Time
	// answer receives the response once; it has a buffer of one.
	answer chan *wire.SyncResponse
}

// Init prepares the relayer for calls before Run.
func (r *Relayer) Init() {
	r.disseminator = &disseminator.Disseminator{Self: r.Self, Epoch: rand.Uint64()}
	r.disseminator.Init()
}

// Run answers calls whose wait is over until ctx ends.
func (r *Relayer) Run(ctx context.Context) {
	repeater.Run(ctx, r.Clock, checkInterval, r.check)
}

func (r *Relayer) check() {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disseminator.Tick(now)
	if len(r.waiters) > 0 {
		r.own = r.Loads()
		r.answerWaiters(now)
	}
}

// Receive takes a response of a controller or of another gateway. It reports false if that was
// a difference from an unknown revision, so that the complete state must be requested.
func (r *Relayer) Receive(source string, res *wire.SyncResponse) bool {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	update, complete := r.disseminator.Receive(now, res)
	if !complete {
		r.Log.Warn("holdings difference does not follow the known revision; requesting the complete holdings", "Source", source,
			"Since", res.GetHoldingsSince(), "Known", r.disseminator.HoldingRevision())
	}
	if age := r.disseminator.LeaderAge(now); age < unknownAge {
		r.leaderAt.Store(now.Add(-age).UnixNano())
	}
	r.Apply(source, update)
	r.answerWaiters(now)
	return complete
}

// Table returns the latest known table, nil for none.
func (r *Relayer) Table() *wire.RoutingTable {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.disseminator.Table()
}

// ReceiveTable takes a table that was fetched from a source as a package. It reports false if a later one is known.
func (r *Relayer) ReceiveTable(source string, table *wire.RoutingTable, p *tabletransmitter.Package) bool {
	r.tablesMu.Lock()
	r.tables.Add(table)
	r.tables.Adopt(p)
	r.tablesMu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.disseminator.SetTable(table) {
		return false
	}
	r.Apply(source, &wire.SyncResponse{Table: table, TableVersion: table.GetVersion()})
	r.answerWaiters(r.Clock.Now())
	return true
}

// FetchTable returns a part of the latest known table.
func (r *Relayer) FetchTable(_ context.Context, req *wire.FetchTableRequest) (*wire.FetchTableResponse, error) {
	table := r.Table()
	r.tablesMu.Lock()
	defer r.tablesMu.Unlock()
	r.tables.Add(table)
	res, err := r.tables.Answer(req)
	return res, errors.Wrap(err, "relayer: fetch table")
}

// Sync answers a follower as soon as there is an update for it, or when its wait is over.
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
	w, err := r.register(req)
	if err != nil {
		return nil, err
	}
	select {
	case res := <-w.answer:
		return res, nil
	case <-ctx.Done():
		r.abandon(w)
		return nil, errors.Wrap(ctx.Err(), "relayer: sync")
	}
}

func (r *Relayer) register(req *wire.SyncRequest) (*waiter, error) {
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
	r.disseminator.ObserveFollower(now, req)
	if r.isDue(now, w) {
		r.answer(now, w)
	} else {
		r.waiters = append(r.waiters, w)
	}
	return w, nil
}

// abandon removes a call whose caller has given up.
func (r *Relayer) abandon(abandoned *waiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.waiters[:0]
	for _, w := range r.waiters {
		if w != abandoned {
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
	return !now.Before(w.deadline) || w.request.GetRequestLimitsRevision() != r.Granter.Revision() || r.disseminator.Due(now, w.request)
}

func (r *Relayer) answer(now time.Time, w *waiter) {
	res := r.disseminator.Answer(now, w.request, r.own)
	r.addRequestLimits(w.request, res)
	w.answer <- res
}

// addRequestLimits adds the request limits to a response, if the follower has another list.
func (r *Relayer) addRequestLimits(req *wire.SyncRequest, res *wire.SyncResponse) {
	list, revision := r.Granter.Limits()
	res.RequestLimitsRevision = revision
	if req.GetEpoch() != res.GetEpoch() || req.GetRequestLimitsRevision() != revision {
		res.RequestLimits = list
	}
}

// Acquire forwards a follower's request for adapters to the leader.
func (r *Relayer) Acquire(_ context.Context, req *wire.AcquireRequest) (*wire.AcquireResponse, error) {
	r.mu.Lock()
	r.disseminator.ObserveWants(r.Clock.Now(), req.GetGateway(), req.GetWants())
	r.mu.Unlock()
	r.RequestAdapters(req.GetWants())
	return &wire.AcquireResponse{}, nil
}

// errNotHere is returned for calls that only controllers serve.
var errNotHere = twirp.NewError(twirp.Unavailable, "this is a gateway")

// Relay is not served by gateways.
func (r *Relayer) Relay(context.Context, *wire.RelayRequest) (*wire.RelayResponse, error) {
	return nil, errNotHere
}

// Put is not served by gateways.
func (r *Relayer) Put(context.Context, *wire.PutRequest) (*wire.PutResponse, error) {
	return nil, errNotHere
}

// ListHeld is not served by gateways.
func (r *Relayer) ListHeld(context.Context, *wire.ListHeldRequest) (*wire.ListHeldResponse, error) {
	return nil, errNotHere
}

// Read is not served by gateways.
func (r *Relayer) Read(context.Context, *wire.ReadRequest) (*wire.ReadResponse, error) {
	return nil, errNotHere
}

// HoldingRevision returns the revision up to which holdings are known.
func (r *Relayer) HoldingRevision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.disseminator.HoldingRevision()
}

// SuspectsRevision returns the revision of the known list of suspects.
func (r *Relayer) SuspectsRevision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.disseminator.SuspectsRevision()
}

// GatewaysRevision returns the revision of the known list of gateways.
func (r *Relayer) GatewaysRevision() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.disseminator.GatewaysRevision()
}

// Gateways returns all gateways, as listed by the leader.
func (r *Relayer) Gateways() []*wire.GatewayEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.disseminator.Gateways()
}

// Controllers returns the addresses of the controllers, as last listed by one of them or by a relay.
func (r *Relayer) Controllers() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.disseminator.Controllers()
}

// Members returns the gateways that follow this one, with the revision of their list.
func (r *Relayer) Members() ([]*wire.GatewayEntry, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.disseminator.Members()
}

// AllLoads returns the requests in progress of this gateway and of its followers.
func (r *Relayer) AllLoads() []*wire.Load {
	own := r.Loads()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.disseminator.Loads(r.Clock.Now(), own)
}

// unknownAge is the age of the leader's state before the first one.
const unknownAge = time.Hour

// LeaderAge returns the age of the leader's state that is known here.
func (r *Relayer) LeaderAge() time.Duration {
	at := r.leaderAt.Load()
	if at == 0 {
		return unknownAge
	}
	return r.Clock.Since(time.Unix(0, at))
}

// ContactAge returns the time since any controller answered, directly or through other gateways.
func (r *Relayer) ContactAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.disseminator.ContactAge(r.Clock.Now())
}

// Measure records the age of the leader's state that is known here.
func (r *Relayer) Measure() {
	if age := r.LeaderAge(); age < unknownAge {
		r.Meter.RecordDuration("news_age", age)
	}
}
