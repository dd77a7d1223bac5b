// Package synchronizer keeps a gateway up to date with the controllers. A few gateways of each
// zone poll every controller continuously, so that the loss of any one delays nothing; the
// others poll one of these few, and the controllers when none of them answers.
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
	"bronzelead.example/pkg/connector"
	"bronzelead.example/pkg/relayplanner"
	"bronzelead.example/pkg/wire"
)

const (
	// leaderWait is how long a call to the leader or a relay may wait for updates; each call
	// also carries the gateway's demand and loads.
	leaderWait = 150 * time.Millisecond
	// followerWait is the same for the other controllers.
	followerWait = 1000 * time.Millisecond
	// callMargin is the time that a call may take beyond its wait, and within which more of its answer has to
	// arrive: a large state may take long on a narrow link.
	callMargin = 700 * time.Millisecond
	// relayMargin is the same for calls to a relay, which is in the same zone. It is short,
	// since another relay is called then.
	relayMargin = 250 * time.Millisecond
	// retryPause is the wait after a failed call. It is short, since all that a gateway knows
	// comes from these calls.
	retryPause = 100 * time.Millisecond
	// acquireTimeout bounds a request for adapters; it is sent again if necessary.
	acquireTimeout = 300 * time.Millisecond
	// controllerExpiry is how long an unreachable controller is still polled that others, which
	// answer, do not list.
	controllerExpiry = 30 * time.Second
	// reviewInterval is the interval at which the instances to poll are reviewed.
	reviewInterval = 250 * time.Millisecond
	// partitionTimeout is the time without a response of any controller after which other
	// gateways are polled: longer than an election, during which controllers answer.
	partitionTimeout = 1300 * time.Millisecond
	// maxRelayAge is the age of a relay's state above which another relay is called.
	maxRelayAge = 500 * time.Millisecond
	// relayTimeout is how long relays may fail to provide current state before the controllers
	// are polled. It leaves time to detect that one is lost and to call another.
	relayTimeout = 900 * time.Millisecond
	// failbackDelay is the time after which a gateway that has changed its relay returns to its
	// first one, so that the followers of a zone spread over its relays.
	failbackDelay = 10 * time.Second
	// rotationInterval is the minimum time between two changes from a relay that has no contact
	// with a leader itself: perhaps another one does.
	rotationInterval = time.Second
	// contactTimeout is the time without an answer of any controller, directly or through other gateways, after which
	// this is logged. A change of leaders takes less.
	contactTimeout = 3 * time.Second
)

// Synchronizer polls the controllers, or relays. Set the exported fields, then call Run.
type Synchronizer struct {
	Clock clockwork.Clock
	Log   *slog.Logger
	// Gateway names this gateway, and Self is its address and zone.
	Gateway string
	Self    *wire.GatewayEntry
	// Seeds returns the addresses that the gateway starts from.
	Seeds func() []string
	// Relayer receives the updates, and holds what is reported upwards.
	Relayer *relayer.Relayer
	// Demand returns and clears the requests accepted since the last call.
	Demand func() []*wire.Demand
	// RunReports returns the run reports after the one with a number, and the number of the
	// last.
	RunReports func(after uint64) ([]*wire.RunReport, uint64)
	// Granter knows the request limits of backend servers.
	Granter *granter.Granter
	// TableVersion returns the version of the table in force here.
	TableVersion func() uint64
	// Dial opens connections to controllers and other gateways; nil is a net.Dialer.
	Dial connector.Dial

	// acquireTransport is shared by the calls of Acquire, so that they reuse connections.
	acquireTransport     *http.Transport
	acquireTransportOnce sync.Once

	mu sync.Mutex
	// loops poll the controllers while direct is set; since directAt.
	loops map[string]*controllerLoop
	// listedAt is when a controller last sent its list.
	listedAt time.Time
	direct   bool
	directAt time.Time
	// sources hold what each polled instance has sent so far.
	sources       map[string]*syncState
	pendingDemand demandBuffer
	// leader receives requests for adapters: the leader, or a relay.
	leader string
	term   uint64
	// controllerContactAt is when a controller last answered, and relayContactAt when a relay
	// last sent current state.
	controllerContactAt time.Time
	relayContactAt      time.Time
	// relays are polled while stopRelays is set.
	relays     []string
	stopRelays context.CancelFunc
	// failedAcquires counts consecutive failed requests for adapters.
	failedAcquires int
	// lostContact is set while no controller has answered for long.
	lostContact bool
	// transfer is what is known of the table that is awaited.
	transfer tableTransfer
	// tableAnnounced receives a value when an instance has announced a later table.
	tableAnnounced chan struct{}
}

// controllerLoop is the polling loop of one controller.
type controllerLoop struct {
	listed time.Time
	cancel context.CancelFunc
	failed bool
}

// syncState is the state up to which an instance has sent updates.
type syncState struct {
	epoch, announcements, versions, gateways, members uint64
	requestLimits                                     uint64
	tableVersion                                      uint64
	controllers                                       []string
	controllersRevision                               uint64
	// reported is the number of the last run report that it has received.
	reported uint64
	// leads is set if its state was the leader's.
	leads bool
	// gap is set if a difference from it could not be applied, so that it must send everything.
	gap bool
	// sendsTables is set if it sends tables with its updates only, as instances of earlier releases do.
	sendsTables bool
	// avoidUntil is when a table may be requested from it again, after it has not answered.
	avoidUntil time.Time
}

func (s *Synchronizer) newTransport() *http.Transport {
	if s.Dial == nil {
		return connector.NewTransport(nil)
	}
	return connector.NewTransportWith(s.Dial, nil)
}

// Run works until ctx ends.
func (s *Synchronizer) Run(ctx context.Context) {
	s.mu.Lock()
	s.loops, s.sources, s.pendingDemand = map[string]*controllerLoop{}, map[string]*syncState{}, demandBuffer{}
	s.tableAnnounced = make(chan struct{}, 1)
	s.mu.Unlock()
	go s.fetchTables(ctx)
	started := s.Clock.Now()
	ticker := s.Clock.NewTicker(reviewInterval)
	defer ticker.Stop()
	for {
		s.updatePath(ctx)
		// A gateway that has polled relays knows the controllers from them.
		s.review(ctx, slices.Concat(s.Seeds(), s.Relayer.Controllers()), false)
		s.Relayer.Measure()
		s.recordContact(min(s.Relayer.ContactAge(), s.Clock.Since(started)))
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

// recordContact logs when no controller has answered for long, directly or through other gateways, and when one does again.
func (s *Synchronizer) recordContact(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lost := age > contactTimeout; lost != s.lostContact {
		s.lostContact = lost
		if !lost {
			s.Log.Info("controllers answer again")
			return
		}
		s.Log.Warn("no controller answers, directly or through other gateways; serving by what is known",
			"Controllers", slices.Sorted(maps.Keys(s.loops)), "Gateways", s.relays)
	}
}

// updatePath decides whether the controllers are polled, and which relays.
func (s *Synchronizer) updatePath(ctx context.Context) {
	assignment := relayplanner.Assign(s.Relayer.Gateways(), s.Self)
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	relays := assignment.Relays
	if s.partitioned(now) {
		relays = append(relays, assignment.Fallbacks...)
	}
	s.setRelays(ctx, relays)
	s.setDirect(now, assignment.Direct || now.Sub(s.relayContactAt) > relayTimeout)
}

// partitioned reports whether the controllers are polled in vain: a gateway that is partitioned
// from them may still reach others. The caller holds the lock.
func (s *Synchronizer) partitioned(now time.Time) bool {
	since := s.directAt
	if s.controllerContactAt.After(since) {
		since = s.controllerContactAt
	}
	return s.direct && !s.controllerContactAt.IsZero() && now.Sub(since) > partitionTimeout
}

// setRelays changes the relays that are polled. The caller holds the lock.
func (s *Synchronizer) setRelays(ctx context.Context, relays []string) {
	s.relays = relays
	switch {
	case len(relays) > 0 && s.stopRelays == nil:
		var relayCtx context.Context
		relayCtx, s.stopRelays = context.WithCancel(ctx)
		s.Log.Info("polling other gateways for updates", "Gateways", relays)
		go s.syncRelays(relayCtx)
	case len(relays) == 0 && s.stopRelays != nil:
		s.stopRelays()
		s.stopRelays = nil
		s.Log.Info("no longer polling other gateways for updates")
	}
}

// setDirect starts or stops polling the controllers. The caller holds the lock.
func (s *Synchronizer) setDirect(now time.Time, direct bool) {
	if s.direct == direct {
		return
	}
	s.direct, s.directAt = direct, now
	s.Log.Info("update path changed", "AsksControllers", direct, "Relays", len(s.relays))
	if direct {
		return
	}
	for address, l := range s.loops {
		l.cancel()
		delete(s.loops, address)
	}
}

// review starts polling the listed controllers, and stops polling unreachable ones that have
// not been listed for long. Only a controller's list (fresh) renews the time at which one was
// listed; seeds do not. While no controller answers all are polled further: the seeds may have
// been replaced. The polling loops run until ctx ends.
func (s *Synchronizer) review(ctx context.Context, listed []string, fresh bool) {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.direct {
		return
	}
	if fresh {
		s.listedAt = now
	}
	for _, address := range listed {
		known := s.loops[address]
		if known == nil {
			loopCtx, cancel := context.WithCancel(ctx)
			known = &controllerLoop{listed: now, cancel: cancel}
			s.loops[address] = known
			s.Log.Info("polling a controller", "Controller", address)
			// A controller outlives the one that listed it first.
			go s.syncController(loopCtx, address, func(listed []string) { s.review(ctx, listed, true) })
		}
		if fresh {
			known.listed = now
		}
	}
	for address, known := range s.loops {
		if s.listedAt.Sub(known.listed) > controllerExpiry && known.failed {
			known.cancel()
			delete(s.loops, address)
			delete(s.sources, address)
			delete(s.pendingDemand, address)
			s.Log.Info("no longer polling a controller that is not listed", "Controller", address)
		}
	}
}

// syncController polls one controller continuously, and has the controllers that it lists reviewed.
func (s *Synchronizer) syncController(ctx context.Context, address string, review func(listed []string)) {
	transport := s.newTransport()
	defer transport.CloseIdleConnections()
	for ctx.Err() == nil {
		wait := followerWait
		if s.isLeader(address) {
			wait = leaderWait
		}
		client := &connector.Client{Timeout: wait + callMargin, Stall: callMargin, Transport: transport}
		res, err := s.call(ctx, client, address, wait)
		if ctx.Err() != nil {
			return
		}
		s.recordOutcome(address, err)
		if err != nil {
			s.pause(ctx)
			continue
		}
		s.mu.Lock()
		s.controllerContactAt = s.Clock.Now()
		s.mu.Unlock()
		if list := s.receive(address, res); len(list) > 0 {
			review(list)
		}
	}
}

func (s *Synchronizer) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.Clock.After(retryPause):
	}
}

// call polls an instance for updates.
func (s *Synchronizer) call(ctx context.Context, client *connector.Client, address string, wait time.Duration) (*wire.SyncResponse, error) {
	req, reported := s.prepare(address)
	req.WaitMs = uint32(wait.Milliseconds())
	res, err := wire.NewMeshProtobufClient("http://"+address, client).Sync(ctx, req)
	if err == nil {
		s.recordReported(address, req.GetEpoch(), res.GetEpoch(), reported)
	} else if req.GetWantTable() {
		s.recordFailedCall()
	}
	return res, err
}

// recordReported records the last run report that an instance has received. A restarted one has
// only those of this call, so that all are sent again.
func (s *Synchronizer) recordReported(address string, before, now, reported uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if before != 0 && before != now {
		reported = 0
	}
	s.source(address).reported = reported
}

// isLeader reports whether an instance receives the requests for adapters.
func (s *Synchronizer) isLeader(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader == address
}

// prepare returns the next call to an instance, and the number of the last run report in it.
func (s *Synchronizer) prepare(address string) (*wire.SyncRequest, uint64) {
	req := &wire.SyncRequest{
		Gateway: s.Gateway, Address: s.Self.GetAddress(), Zone: s.Self.GetZone(),
		Loads: s.Relayer.AllLoads(), TableVersion: s.TableVersion(),
	}
	req.RequestLimits = s.Granter.Report()
	members, membersRevision := s.Relayer.Members()
	req.MembersRevision = membersRevision
	demand := s.Demand()
	holdings := s.Relayer.HoldingRevision()
	gateways := s.Relayer.GatewaysRevision()
	req.SuspectsRevision = s.Relayer.SuspectsRevision()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pendingDemand.add(demand, s.demandTargets(address))
	req.Demand = s.pendingDemand.take(address)
	state := s.source(address)
	req.Epoch, req.AnnouncementRevision, req.VersionRevision = state.epoch, state.announcements, state.versions
	req.RequestLimitsRevision = state.requestLimits
	req.GatewaysRevision, req.ControllersRevision = state.gateways, state.controllersRevision
	if state.leads {
		// The list that it sent may have been replaced by that of another source since.
		req.GatewaysRevision = gateways
	}
	req.AnnouncedTableVersion = state.tableVersion
	if state.sendsTables && state.tableVersion > req.GetTableVersion() {
		req.WantTable, req.AnnouncedTableVersion = true, 0
	}
	if !state.gap {
		req.HoldingRevision = holdings
	}
	if state.members != membersRevision {
		req.Members = members
	}
	reports, last := s.RunReports(state.reported)
	req.RunReports = reports
	return req, last
}

// demandTargets returns the instances that receive demand: all controllers, or the called
// relay, which forwards it. No demand takes both update paths. The caller holds the lock.
func (s *Synchronizer) demandTargets(called string) []string {
	if !s.direct || s.partitioned(s.Clock.Now()) {
		return []string{called}
	}
	return slices.Collect(maps.Keys(s.loops))
}

// source returns the sync state of an instance. The caller holds the lock.
func (s *Synchronizer) source(address string) *syncState {
	state := s.sources[address]
	if state == nil {
		state = &syncState{}
		s.sources[address] = state
	}
	return state
}

// receive handles a response, and returns the controllers that its sender lists.
func (s *Synchronizer) receive(address string, res *wire.SyncResponse) []string {
	inForce := s.TableVersion()
	s.recordTable(address, inForce, res)
	complete := s.Relayer.Receive(address, res)
	s.mu.Lock()
	defer s.mu.Unlock()
	if res.GetLeads() && res.GetTerm() >= s.term && s.leader != address {
		s.leader, s.term = address, res.GetTerm()
		s.Log.Info("sending adapter requests to the leader", "At", address, "Term", s.term)
	}
	state := s.source(address)
	state.epoch, state.announcements, state.versions = res.GetEpoch(), res.GetAnnouncementRevision(), res.GetVersionRevision()
	state.gateways, state.members, state.tableVersion = res.GetGatewaysRevision(), res.GetMembersRevision(), res.GetTableVersion()
	state.requestLimits = res.GetRequestLimitsRevision()
	state.leads, state.gap = res.GetLeads(), !complete
	if list := res.GetControllers(); len(list) > 0 {
		state.controllers = list
	}
	state.controllersRevision = res.GetControllersRevision()
	if state.tableVersion > inForce {
		s.announceTable()
	}
	return state.controllers
}

// recordOutcome logs when a controller stops answering or answers again.
func (s *Synchronizer) recordOutcome(address string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.loops[address]
	if known == nil || known.failed == (err != nil) {
		// Other gateways are not in the loops.
		return
	}
	known.failed = err != nil
	if err != nil {
		s.Log.Warn("controller does not answer", "Controller", address, "Error", err.Error())
		return
	}
	s.Log.Info("controller answers again", "Controller", address)
}
