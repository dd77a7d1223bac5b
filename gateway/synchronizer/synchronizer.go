// Package follower keeps a gateway in step with the controllers. Few gateways of a zone
// ask each of the controllers all the time, so that the loss of any one delays nothing; the
// others ask one of these few, and the controllers when none of them answers.
package synchronizer

import (
	"context"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bronzelead.example/gateway/granter"
	"bronzelead.example/gateway/relayer"
	"bronzelead.example/pkg/arranger"
	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/wire"
)

const (
	// leaderWait is how long a call to the leader or a relay may wait for news; each call
	// also brings the gateway's demand and loads.
	leaderWait = 150 * time.Millisecond
	// followerWait is the same for the other controllers.
	followerWait = 1000 * time.Millisecond
	// callMargin is the time that a call may take beyond its wait.
	callMargin = 700 * time.Millisecond
	// relayMargin is the same for calls to a relay, which is in the same zone. It is short,
	// since another relay is asked then.
	relayMargin = 250 * time.Millisecond
	// retryPause is the wait after a failed call. It is short, since all that a gateway
	// knows comes from these calls.
	retryPause = 100 * time.Millisecond
	// acquireTimeout bounds a request for adapters; it is sent again if need be.
	acquireTimeout = 300 * time.Millisecond
	// forgetAfter is how long a controller is asked that no other one lists any more.
	forgetAfter = 30 * time.Second
	// reviewEvery is the time between two looks at whom to ask.
	reviewEvery = 250 * time.Millisecond
	// cutOffAfter is the time without an answer from any controller after which other
	// gateways are asked: longer than an election, during which controllers answer.
	cutOffAfter = 1300 * time.Millisecond
	// staleNews is the age from which a relay's word is not news: another one is asked.
	staleNews = 500 * time.Millisecond
	// uncoveredAfter is how long relays may give no news before the controllers are asked.
	// It leaves time to find that one is lost and to ask another.
	uncoveredAfter = 900 * time.Millisecond
	// homeAfter is the time after which a gateway that has changed its relay asks its first
	// one again, so that the followers of a zone spread over its relays.
	homeAfter = 10 * time.Second
	// rotateEvery is the least time between two changes of a relay that itself hears no
	// leader: perhaps another one does.
	rotateEvery = time.Second
)

// Synchronizer asks the controllers, or relays. Set the exported fields, then call Run.
type Synchronizer struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	// Gateway names this gateway, and Self is where it is reached.
	Gateway string
	Self    *wire.GatewayEntry
	// Seeds returns the addresses that the gateway starts from.
	Seeds func() []string
	// Relayer takes the news, and knows what is told upwards.
	Relayer *relayer.Relayer
	// Demand returns and clears the requests taken since the last call.
	Demand func() []*wire.Demand
	// RunReports returns what has ended after the report with a number, and the number of the
	// last report.
	RunReports func(after uint64) ([]*wire.RunReport, uint64)
	// Granter knows the request limits of backend servers.
	Granter *granter.Granter
	// TableVersion returns the version of the table in force here.
	TableVersion func() uint64

	// acquiring is shared by the calls of Acquire, so that they use connections again.
	acquiring     *http.Transport
	acquiringOnce sync.Once

	mu sync.Mutex
	// loops ask the controllers while direct is set; since directAt.
	loops    map[string]*loop
	direct   bool
	directAt time.Time
	// sources are what each instance that was asked has told up to now.
	sources      map[string]*source
	untoldDemand untoldDemand
	// leader is who is asked for adapters: the leader, or a relay.
	leader string
	term   uint64
	// heard is when a controller answered last, and covered when a relay gave news last.
	heard   time.Time
	covered time.Time
	// relays are asked while stopRelays is set.
	relays     []string
	stopRelays context.CancelFunc
	// untold counts requests for adapters in a row that failed.
	untold int
}

// loop is what the follower knows of one controller.
type loop struct {
	listed time.Time
	cancel context.CancelFunc
	failed bool
}

// source is up to where an instance has told what it knows.
type source struct {
	epoch, announcements, versions, gateways, members uint64
	requestLimits                                     uint64
	tableVersion                                      uint64
	controllers                                       []string
	controllersRevision                               uint64
	// reported is the number of the last report that it has taken.
	reported uint64
	// gap is set if a difference of it could not be used, so that all is to be told.
	gap bool
}

// Run works until ctx ends.
func (f *Synchronizer) Run(ctx context.Context) {
	f.mu.Lock()
	f.loops, f.sources, f.untoldDemand = map[string]*loop{}, map[string]*source{}, untoldDemand{}
	f.mu.Unlock()
	ticker := f.Clock.NewTicker(reviewEvery)
	defer ticker.Stop()
	for {
		f.arrange(ctx)
		f.review(ctx, f.Seeds(), false)
		f.Relayer.Measure()
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// arrange decides whether the controllers are asked, and which relays.
func (f *Synchronizer) arrange(ctx context.Context) {
	place := arranger.Arrange(f.Relayer.Gateways(), f.Self)
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	relays := place.Relays
	if f.cutOff(now) {
		relays = append(relays, place.Elsewhere...)
	}
	f.setRelays(ctx, relays)
	f.setDirect(now, place.Direct || now.Sub(f.covered) > uncoveredAfter)
}

// cutOff reports whether the controllers are asked in vain: a gateway that is cut off from
// them may still reach others. The caller holds the lock.
func (f *Synchronizer) cutOff(now time.Time) bool {
	since := f.directAt
	if f.heard.After(since) {
		since = f.heard
	}
	return f.direct && !f.heard.IsZero() && now.Sub(since) > cutOffAfter
}

// setRelays changes the relays that are asked. The caller holds the lock.
func (f *Synchronizer) setRelays(ctx context.Context, relays []string) {
	f.relays = relays
	switch {
	case len(relays) > 0 && f.stopRelays == nil:
		var relayCtx context.Context
		relayCtx, f.stopRelays = context.WithCancel(ctx)
		f.Log.Info("other gateways are asked for news", "Gateways", relays)
		go f.followRelays(relayCtx)
	case len(relays) == 0 && f.stopRelays != nil:
		f.stopRelays()
		f.stopRelays = nil
		f.Log.Info("other gateways are no longer asked for news")
	}
}

// setDirect begins or ends to ask the controllers. The caller holds the lock.
func (f *Synchronizer) setDirect(now time.Time, direct bool) {
	if f.direct == direct {
		return
	}
	f.direct, f.directAt = direct, now
	f.Log.Info("the way of news changes", "AsksControllers", direct, "Relays", len(f.relays))
	if direct {
		return
	}
	for address, l := range f.loops {
		l.cancel()
		delete(f.loops, address)
	}
}

// review starts asking the listed controllers, and stops asking those that have not been
// listed for long. Seeds count as listed only while there is nobody else to ask.
func (f *Synchronizer) review(ctx context.Context, listed []string, fresh bool) {
	now := f.Clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.direct {
		return
	}
	for _, address := range listed {
		known := f.loops[address]
		if known == nil {
			loopCtx, cancel := context.WithCancel(ctx)
			known = &loop{listed: now, cancel: cancel}
			f.loops[address] = known
			go f.follow(loopCtx, address)
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

// follow asks one controller for news all the time.
func (f *Synchronizer) follow(ctx context.Context, address string) {
	transport := connector.NewTransport(nil)
	defer transport.CloseIdleConnections()
	for ctx.Err() == nil {
		wait := followerWait
		if f.asksForAdapters(address) {
			wait = leaderWait
		}
		client := &connector.Client{Timeout: wait + callMargin, Transport: transport}
		res, err := f.ask(ctx, client, address, wait)
		if ctx.Err() != nil {
			return
		}
		f.note(address, err)
		if err != nil {
			f.pause(ctx)
			continue
		}
		f.mu.Lock()
		f.heard = f.Clock.Now()
		f.mu.Unlock()
		f.review(ctx, f.take(address, res), true)
	}
}

func (f *Synchronizer) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.Clock.After(retryPause):
	}
}

// ask asks an instance for what it has not told yet.
func (f *Synchronizer) ask(ctx context.Context, client *connector.Client, address string, wait time.Duration) (*wire.SyncResponse, error) {
	req, reported := f.prepare(address)
	req.WaitMs = uint32(wait.Milliseconds())
	res, err := wire.NewMeshProtobufClient("http://"+address, client).Sync(ctx, req)
	if err == nil {
		f.noteReported(address, req.GetEpoch(), res.GetEpoch(), reported)
	}
	return res, err
}

// noteReported notes up to which report an instance knows all. One that has started again
// knows none but those of this call, so that all are told again.
func (f *Synchronizer) noteReported(address string, before, now, reported uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if before != 0 && before != now {
		reported = 0
	}
	f.source(address).reported = reported
}

// asksForAdapters reports whether an instance is the one that is asked for adapters.
func (f *Synchronizer) asksForAdapters(address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader == address
}

// prepare returns the next call to an instance, and the number of the last report in it.
func (f *Synchronizer) prepare(address string) (*wire.SyncRequest, uint64) {
	req := &wire.SyncRequest{
		Gateway: f.Gateway, Address: f.Self.GetAddress(), Zone: f.Self.GetZone(),
		Loads: f.Relayer.AllLoads(), TableVersion: f.TableVersion(),
	}
	req.RequestLimits = f.Granter.Report()
	members, membersRevision := f.Relayer.Members()
	req.MembersRevision = membersRevision
	demand := f.Demand()
	holdings := f.Relayer.HoldingRevision()
	req.SuspectsRevision = f.Relayer.SuspectsRevision()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.untoldDemand.add(demand, f.told(address))
	req.Demand = f.untoldDemand.take(address)
	s := f.source(address)
	req.Epoch, req.AnnouncementRevision, req.VersionRevision = s.epoch, s.announcements, s.versions
	req.RequestLimitsRevision = s.requestLimits
	req.GatewaysRevision, req.ControllersRevision = s.gateways, s.controllersRevision
	req.WantTable = s.tableVersion > req.GetTableVersion()
	if !s.gap {
		req.HoldingRevision = holdings
	}
	if s.members != membersRevision {
		req.Members = members
	}
	reports, last := f.RunReports(s.reported)
	req.RunReports = reports
	return req, last
}

// told returns who is told of requests: all controllers, or the relay that is asked, which
// tells them. Nobody is told by both ways. The caller holds the lock.
func (f *Synchronizer) told(asked string) []string {
	if !f.direct || f.cutOff(f.Clock.Now()) {
		return []string{asked}
	}
	return slices.Collect(maps.Keys(f.loops))
}

// source returns what an instance has told. The caller holds the lock.
func (f *Synchronizer) source(address string) *source {
	s := f.sources[address]
	if s == nil {
		s = &source{}
		f.sources[address] = s
	}
	return s
}

// take takes an answer, and returns the controllers that its sender lists.
func (f *Synchronizer) take(address string, res *wire.SyncResponse) []string {
	whole := f.Relayer.Receive(address, res)
	f.mu.Lock()
	defer f.mu.Unlock()
	if res.GetLeads() && res.GetTerm() >= f.term && f.leader != address {
		f.leader, f.term = address, res.GetTerm()
		f.Log.Info("the leader is asked for adapters", "At", address, "Term", f.term)
	}
	s := f.source(address)
	s.epoch, s.announcements, s.versions = res.GetEpoch(), res.GetAnnouncementRevision(), res.GetVersionRevision()
	s.gateways, s.members, s.tableVersion = res.GetGatewaysRevision(), res.GetMembersRevision(), res.GetTableVersion()
	s.requestLimits = res.GetRequestLimitsRevision()
	s.gap = !whole
	if list := res.GetControllers(); len(list) > 0 {
		s.controllers = list
	}
	s.controllersRevision = res.GetControllersRevision()
	return s.controllers
}

// note logs when a controller is lost or answers again.
func (f *Synchronizer) note(address string, err error) {
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
