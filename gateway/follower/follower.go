// Package follower keeps a gateway in step with the controllers: one goroutine for each
// of them asks for news all the time, so that the loss of any one delays nothing.
package follower

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/twitchtv/twirp"

	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/wire"
)

const (
	// leaderWait is how long a call to the leader may wait for news; each call also brings
	// the leader the gateway's demand and loads.
	leaderWait = 150 * time.Millisecond
	// followerWait is the same for the other controllers.
	followerWait = 1000 * time.Millisecond
	// callMargin is the time that a call may take beyond its wait.
	callMargin = 700 * time.Millisecond
	// retryPause is the wait after a failed call. It is short, since all that a gateway
	// knows comes from these calls.
	retryPause = 100 * time.Millisecond
	// acquireTimeout bounds a request for adapters; it is sent again if need be.
	acquireTimeout = 300 * time.Millisecond
	// forgetAfter is how long a controller is asked that no other one lists any more.
	forgetAfter = 30 * time.Second
	// reviewEvery is the time between two looks at the list of controllers.
	reviewEvery = 250 * time.Millisecond
	// cutOffAfter is the time without an answer from any controller after which calls go
	// through other gateways: longer than an election, during which controllers answer.
	cutOffAfter = 1300 * time.Millisecond
)

// Follower asks the controllers. Set the exported fields, then call Run.
type Follower struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	// Gateway names this gateway, and Address is where other gateways reach it.
	Gateway string
	Address string
	// Seeds returns the addresses that the gateway starts from.
	Seeds func() []string
	// Apply takes news from a controller.
	Apply func(controller string, res *wire.SyncResponse)
	// Demand returns and clears the requests taken since the last call.
	Demand func() []*wire.Demand
	// Loads returns the requests under way.
	Loads func() []*wire.Load
	// TableVersion returns the version of the table in force here.
	TableVersion func() uint64

	// acquiring is shared by the calls of Acquire, so that they use connections again.
	acquiring     *http.Transport
	acquiringOnce sync.Once

	mu     sync.Mutex
	loops  map[string]*loop
	leader string
	term   uint64
	peers  []string
	// detour is set while calls go through another gateway, and ends that.
	detour context.CancelFunc
	heard  time.Time
	// untold counts requests for adapters in a row that failed.
	untold int
}

// loop is what the follower knows of one controller.
type loop struct {
	listed time.Time
	cancel context.CancelFunc
	failed bool
}

// Run works until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.loops = map[string]*loop{}
	ticker := f.Clock.NewTicker(reviewEvery)
	defer ticker.Stop()
	for {
		f.review(ctx, f.Seeds(), false)
		f.chooseWay(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// chooseWay lets calls go through another gateway while no controller answers: a gateway
// that is cut off from the controllers may still reach the others.
func (f *Follower) chooseWay(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cutOff := f.Clock.Since(f.heard) > cutOffAfter && !f.heard.IsZero()
	switch {
	case !cutOff && f.detour != nil:
		f.detour()
		f.detour = nil
		f.Log.Info("a controller is reached directly again")
	case cutOff && f.detour == nil && len(f.peers) > 0:
		var detourCtx context.Context
		detourCtx, f.detour = context.WithCancel(ctx)
		f.Log.Warn("no controller is reached; calls go through other gateways", "Gateways", f.peers)
		go f.followAround(detourCtx, f.peers)
	}
}

// followAround follows the leader through other gateways, one after the other.
func (f *Follower) followAround(ctx context.Context, peers []string) {
	for i := 0; ctx.Err() == nil; i++ {
		f.follow(ctx, peers[i%len(peers)], true)
	}
}

// review starts asking the listed controllers, and stops asking those that have not been
// listed for long. Seeds count as listed only while there is nobody else to ask.
func (f *Follower) review(ctx context.Context, listed []string, fresh bool) {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, address := range listed {
		known := f.loops[address]
		if known == nil {
			loopCtx, cancel := context.WithCancel(ctx)
			known = &loop{listed: now, cancel: cancel}
			f.loops[address] = known
			go f.follow(loopCtx, address, false)
		}
		if fresh {
			known.listed = now
		}
	}
	for address, known := range f.loops {
		if now.Sub(known.listed) > forgetAfter && known.failed {
			known.cancel()
			delete(f.loops, address)
		}
	}
}

// follow asks one controller for news all the time. Through another gateway it ends
// with the first failure.
func (f *Follower) follow(ctx context.Context, address string, detour bool) {
	transport := connector.NewTransport(nil)
	defer transport.CloseIdleConnections()
	client := &connector.Client{Timeout: followerWait + callMargin, Transport: transport}
	quick := &connector.Client{Timeout: leaderWait + callMargin, Transport: transport}
	req := &wire.SyncRequest{Gateway: f.Gateway, Address: f.Address}
	for ctx.Err() == nil {
		leads := f.prepare(address, req)
		caller := client
		if leads {
			caller = quick
		}
		res, err := wire.NewMeshProtobufClient("http://"+address, caller).Sync(ctx, req)
		f.note(address, err)
		if err != nil {
			select {
			case <-ctx.Done():
			case <-f.Clock.After(retryPause):
			}
			if detour {
				return
			}
			continue
		}
		f.take(ctx, address, req, res, detour)
	}
}

// prepare fills in the next call and reports whether it goes to the leader.
func (f *Follower) prepare(address string, req *wire.SyncRequest) bool {
	f.mu.Lock()
	leads := f.leader == address
	f.mu.Unlock()
	wait := followerWait
	req.Demand, req.Loads = nil, f.Loads()
	if leads {
		wait = leaderWait
		req.Demand = f.Demand()
	}
	req.WaitMs = uint32(wait.Milliseconds())
	req.TableVersion = f.TableVersion()
	return leads
}

func (f *Follower) take(
	ctx context.Context, address string, req *wire.SyncRequest, res *wire.SyncResponse, detour bool,
) {
	f.mu.Lock()
	if !detour {
		f.heard = f.Clock.Now()
	}
	f.peers = res.GetPeers()
	if res.GetLeads() && res.GetTerm() >= f.term && f.leader != address {
		f.leader, f.term = address, res.GetTerm()
		f.Log.Info("a controller leads", "Controller", address, "Term", f.term)
	}
	f.mu.Unlock()
	f.Apply(address, res)
	req.Epoch = res.GetEpoch()
	req.AnnouncementRevision = res.GetAnnouncementRevision()
	req.HoldingRevision = res.GetHoldingRevision()
	req.VersionRevision = res.GetVersionRevision()
	req.GatewaysRevision = res.GetGatewaysRevision()
	req.WantTable = res.GetTableVersion() > f.TableVersion()
	f.review(ctx, res.GetControllers(), true)
}

// note logs when a controller is lost or answers again.
func (f *Follower) note(address string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := f.loops[address]
	if known == nil || known.failed == (err != nil) {
		// Other gateways are not known as controllers.
		return
	}
	known.failed = err != nil
	if err != nil {
		f.Log.Warn("a controller does not answer", "Controller", address, "Error", err.Error())
		return
	}
	f.Log.Info("a controller answers again", "Controller", address)
}

// Acquire asks the leader to load adapters. It does not wait for the loads.
func (f *Follower) Acquire(ctx context.Context, wants []*wire.Want) {
	f.mu.Lock()
	leader := f.leader
	f.mu.Unlock()
	if leader == "" {
		return
	}
	client := &connector.Client{Timeout: acquireTimeout, Transport: f.transport()}
	_, err := wire.NewMeshProtobufClient("http://"+leader, client).Acquire(ctx, &wire.AcquireRequest{Wants: wants, Gateway: f.Gateway})
	f.noteAcquire(leader, err)
	if err == nil {
		return
	}
	if code, ok := err.(twirp.Error); ok && code.Code() == twirp.Unavailable {
		f.mu.Lock()
		if f.leader == leader {
			f.leader = ""
		}
		f.mu.Unlock()
	}
}

// noteAcquire logs the first of several requests for adapters in a row that fail, and how
// many did once one succeeds: while there is no leader they fail dozens of times a second.
func (f *Follower) noteAcquire(leader string, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err == nil && f.untold > 0:
		f.Log.Info("the leader is told of adapters again", "Controller", leader, "Failed", f.untold)
		f.untold = 0
	case err != nil:
		f.untold++
		if f.untold == 1 {
			f.Log.Info("the leader was not told of adapters that are needed", "Controller", leader, "Error", err.Error())
		}
	}
}

func (f *Follower) transport() *http.Transport {
	f.acquiringOnce.Do(func() { f.acquiring = connector.NewTransport(nil) })
	return f.acquiring
}

// errNoLeader is what a gateway says that knows no leader itself.
var errNoLeader = twirp.NewError(twirp.Unavailable, "this gateway reaches no leader")

// Passer serves wire.Mesh for other gateways: it passes their calls on to the leader.
type Passer struct {
	Follower *Follower
}

// Sync passes a call on.
func (p *Passer) Sync(ctx context.Context, req *wire.SyncRequest) (*wire.SyncResponse, error) {
	client, err := p.leader()
	if err != nil {
		return nil, err
	}
	return client.Sync(ctx, req)
}

// Acquire passes a call on.
func (p *Passer) Acquire(ctx context.Context, req *wire.AcquireRequest) (*wire.AcquireResponse, error) {
	client, err := p.leader()
	if err != nil {
		return nil, err
	}
	return client.Acquire(ctx, req)
}

// Relay is not for gateways.
func (p *Passer) Relay(context.Context, *wire.RelayRequest) (*wire.RelayResponse, error) {
	return nil, errNoLeader
}

// Put is not for gateways.
func (p *Passer) Put(context.Context, *wire.PutRequest) (*wire.PutResponse, error) {
	return nil, errNoLeader
}

// Read is not for gateways.
func (p *Passer) Read(context.Context, *wire.ReadRequest) (*wire.ReadResponse, error) {
	return nil, errNoLeader
}

// leader returns a client of the leader. A gateway that is cut off itself passes nothing
// on, or two of them could wait for each other.
func (p *Passer) leader() (wire.Mesh, error) {
	f := p.Follower
	f.mu.Lock()
	address, detour := f.leader, f.detour != nil
	f.mu.Unlock()
	if address == "" || detour {
		return nil, errNoLeader
	}
	client := &connector.Client{Timeout: leaderWait + callMargin, Transport: f.transport()}
	return wire.NewMeshProtobufClient("http://"+address, client), nil
}
