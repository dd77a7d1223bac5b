package routecoordinator

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/disseminator"
	"bronzelead.example/pkg/wire"
)

// waiter is a gateway's call that waits for updates.
type waiter struct {
	request  *wire.SyncRequest
	deadline time.Time
	// answer receives the response once; it has a buffer of one.
	answer chan *wire.SyncResponse
}

// Sync answers a gateway as soon as there is an update for it, or when its wait is over.
func (c *Coordinator) Sync(ctx context.Context, req *wire.SyncRequest) (*wire.SyncResponse, error) {
	w := &waiter{request: req, answer: make(chan *wire.SyncResponse, 1)}
	err := c.Call(ctx, func(now time.Time) {
		w.deadline = now.Add(time.Duration(req.GetWaitMs()) * time.Millisecond)
		c.observeGateway(now, req)
		if c.isDue(now, w) {
			c.answer(now, w)
			return
		}
		c.waiters = append(c.waiters, w)
	})
	if err != nil {
		return nil, err
	}
	select {
	case res := <-w.answer:
		return res, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "routecoordinator: sync")
	}
}

// observeGateway records what a gateway reports about its requests and those of its members.
func (c *Coordinator) observeGateway(now time.Time, req *wire.SyncRequest) {
	if req.GetKnowledge() {
		return
	}
	g := c.gateways[req.GetGateway()]
	if g == nil {
		g = &gatewayState{wants: map[string]time.Time{}}
		c.gateways[req.GetGateway()] = g
	}
	g.lastCallAt = now
	c.loads.Remove(g.loads)
	g.loads = req.GetLoads()
	c.loads.Add(now, g.loads)
	c.receiveDepartures(g.loads)
	if g.entry.GetAddress() != req.GetAddress() || g.entry.GetZone() != req.GetZone() {
		g.entry = &wire.GatewayEntry{Address: req.GetAddress(), Zone: req.GetZone()}
		c.roster.stale = true
	}
	if len(req.GetMembers()) > 0 || req.GetMembersRevision() == 0 {
		c.roster.stale = c.roster.stale || g.membersRevision != req.GetMembersRevision()
		g.members, g.membersRevision = req.GetMembers(), req.GetMembersRevision()
	}
	c.receiveRequestLimits(now, req.GetRequestLimits())
	c.arbiter.ReceiveReports(now, req.GetRunReports())
	for _, d := range req.GetDemand() {
		c.knowledge.RecordRequests(now, d.GetAdapter(), int(d.GetRequests()))
	}
}

// receiveDepartures records the backend servers that have announced to gateways that they leave:
// their own announcements may be late, or reach only other controllers.
func (c *Coordinator) receiveDepartures(loads []*wire.Load) {
	for _, l := range loads {
		if l.GetToldLeaving() > 0 && c.tracker.ObserveLeaving(l.GetBackend()) {
			c.Log.Info("backend server has told gateways that it is leaving", "Backend", l.GetBackend(), "Gateways", l.GetToldLeaving())
			c.applyChanges()
		}
	}
}

// pruneGateways drops gateways whose lease has expired.
func (c *Coordinator) pruneGateways(now time.Time) {
	for name, g := range c.gateways {
		if now.Sub(g.lastCallAt) > gatewayLease {
			c.loads.Remove(g.loads)
			delete(c.gateways, name)
			c.roster.stale = true
		}
	}
}

// Acquire records that requests wait for adapters.
func (c *Coordinator) Acquire(ctx context.Context, req *wire.AcquireRequest) error {
	leads := false
	err := c.Call(ctx, func(now time.Time) {
		leads = c.leads(now)
		if !leads || c.placer == nil {
			return
		}
		g := c.gateways[req.GetGateway()]
		for _, w := range req.GetWants() {
			if w.GetSpare() {
				// No request of the gateway waits for it, so that there is nothing to notify it of.
				c.placer.RequestSpare(now, w.GetAdapter(), w.GetAvoid())
				continue
			}
			c.placer.RequestLoad(now, w.GetAdapter(), w.GetAvoid(), waitDeadline(now, w))
			if g != nil {
				g.wants[w.GetAdapter()] = now
				g.urgent = g.urgent || c.placer.Ready(w.GetAdapter())
			}
		}
		c.planSoon(now)
		c.answerWaiters(now)
	})
	if err == nil && !leads {
		return errNotLeader
	}
	return err
}

// waitDeadline returns when the requests for an adapter give up; zero if unknown.
func waitDeadline(now time.Time, w *wire.Want) time.Time {
	if w.GetLeftMs() == 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(w.GetLeftMs()) * time.Millisecond)
}

func (c *Coordinator) answerWaiters(now time.Time) {
	kept := c.waiters[:0]
	for _, w := range c.waiters {
		if !c.isDue(now, w) {
			kept = append(kept, w)
			continue
		}
		c.answer(now, w)
	}
	clear(c.waiters[len(kept):])
	c.waiters = kept
}

// isDue reports whether a call is to be answered now.
func (c *Coordinator) isDue(now time.Time, w *waiter) bool {
	if !now.Before(w.deadline) || c.hasUrgentUpdate(w.request) {
		return true
	}
	g := c.gateways[w.request.GetGateway()]
	if g != nil && len(g.declined) > 0 {
		return true
	}
	if c.placer == nil || w.request.GetHoldingRevision() >= c.placer.Revision() {
		return false
	}
	interval := time.Second * time.Duration(len(c.gateways)) / answersPerSecond
	return g == nil || g.urgent || now.Sub(g.answeredAt) >= interval
}

func (c *Coordinator) answer(now time.Time, w *waiter) {
	if g := c.gateways[w.request.GetGateway()]; g != nil {
		g.answeredAt = now
		g.urgent = false
	}
	w.answer <- c.buildResponse(now, w.request)
}

// hasUrgentUpdate reports whether there is something that all gateways must know soon.
func (c *Coordinator) hasUrgentUpdate(req *wire.SyncRequest) bool {
	return req.GetEpoch() != c.epoch ||
		req.GetAnnouncementRevision() != c.tracker.Revision() ||
		req.GetVersionRevision() != c.versions ||
		max(req.GetTableVersion(), req.GetAnnouncedTableVersion()) < c.table().GetVersion() ||
		req.GetRequestLimitsRevision() != c.requestLimits.Revision() ||
		c.arbiter.HasUpdate(c.term, req.GetSuspectsRevision())
}

// table returns the table that may be sent to gateways, or nil.
func (c *Coordinator) table() *wire.RoutingTable {
	if !c.leaderKnown {
		return nil
	}
	return c.state.Table().GetTable()
}

func (c *Coordinator) buildResponse(now time.Time, req *wire.SyncRequest) *wire.SyncResponse {
	c.roster.refresh(now, c.gateways)
	controllers := c.Controllers()
	res := &wire.SyncResponse{
		Epoch: c.epoch, AnnouncementRevision: c.tracker.Revision(), VersionRevision: c.versions,
		HoldingRevision: req.GetHoldingRevision(), ControllersRevision: disseminator.ListRevision(controllers),
		Gateways: c.roster.count(), GatewaysRevision: c.roster.revision, Leads: c.leads(now), Term: c.term,
	}
	if res.GetControllersRevision() != req.GetControllersRevision() {
		res.Controllers = controllers
	}
	if c.roster.revision != req.GetGatewaysRevision() {
		res.GatewayList = c.roster.list
	}
	since := req.GetAnnouncementRevision()
	if req.GetEpoch() != c.epoch {
		since = 0
	}
	for _, a := range c.tracker.Since(since) {
		res.Announcements = append(res.Announcements, forGateways(a))
	}
	if req.GetVersionRevision() != c.versions {
		res.Versions = c.state.AdapterVersions()
	}
	if table := c.table(); table != nil {
		res.TableVersion = table.GetVersion()
		if req.GetWantTable() && table.GetVersion() > req.GetTableVersion() {
			res.Table = table
		}
	}
	c.addRequestLimits(now, req, res)
	if res.GetLeads() {
		c.addVersions(now, res)
		res.Suspects, res.SuspectsRevision = c.arbiter.SuspectsFor(c.term, req.GetSuspectsRevision())
	}
	g := c.gateways[req.GetGateway()]
	if g != nil {
		res.MembersRevision = g.membersRevision
		res.Declined, g.declined = g.declined, nil
	}
	if c.placer != nil {
		c.updateHoldings()
		res.HoldingRevision = max(req.GetHoldingRevision(), c.holdings.Revision())
		res.Holdings, res.HoldingsSince = c.holdings.Since(req.GetHoldingRevision())
		if req.GetKnowledge() {
			res.Learnt = c.knowledge.Learnt()
			return res
		}
		res.Loads, res.HasLoads = c.loadsWithout(now, g), true
	}
	return res
}

// observedFor returns for how long announcements have been received without interruption, as far as
// backend servers that have left are still known. It is 0 after a time in which any may have come and gone.
func (c *Coordinator) observedFor(now time.Time) time.Duration {
	if now.Sub(c.tickedAt) > stallThreshold || c.tracker.Partitioned(now) {
		return 0
	}
	return min(now.Sub(c.observedSince), forgetAfter)
}

// updateHoldings takes the holdings of changed engines from the placer.
func (c *Coordinator) updateHoldings() {
	for _, h := range c.placer.TakeChanged() {
		c.holdings.Set(c.placer.Revision(), h.GetBackend(), h.GetAdapters())
	}
	// An engine whose state must be queried changes the revision but no holdings; without this
	// all gateways would be answered again and again until its state is known.
	c.holdings.Advance(c.placer.Revision())
}

// forGateways returns an announcement without the engine's own list of holdings: gateways
// receive those from the leader.
func forGateways(a *wire.Announcement) *wire.Announcement {
	if len(a.GetAdapters()) == 0 && len(a.GetModels()) == 0 {
		return a
	}
	a = proto.CloneOf(a)
	a.Adapters, a.Models = nil, nil
	return a
}

// loadsWithout returns the loads of all gateways except one and its members.
func (c *Coordinator) loadsWithout(now time.Time, g *gatewayState) []*wire.Load {
	if g == nil {
		return c.loads.Without(now, nil)
	}
	return c.loads.Without(now, g.loads)
}

// ReceiveAnnouncements takes announcements of backend servers, made here or relayed by another controller. It returns
// the later ones that are known of the same backend servers, such as departures that the other one has not seen.
func (c *Coordinator) ReceiveAnnouncements(ctx context.Context, list []*wire.Announcement, relayed bool) ([]*wire.Announcement, error) {
	later := make(chan []*wire.Announcement, 1)
	err := c.Call(ctx, func(now time.Time) {
		var accepted, known []*wire.Announcement
		for _, a := range list {
			isNew, _ := c.tracker.Observe(now, a)
			if isNew {
				accepted = append(accepted, a)
			} else if l := c.tracker.LaterThan(a); l != nil {
				known = append(known, l)
			}
		}
		c.applyChanges()
		if len(accepted) > 0 && !relayed {
			c.Relay(accepted)
		}
		later <- known
	})
	if err != nil {
		return nil, err
	}
	return <-later, nil
}

// applyChanges passes changed backend servers on to the placer.
func (c *Coordinator) applyChanges() {
	for _, a := range c.tracker.Since(c.appliedRevision) {
		c.Log.Info("a backend server has changed", "Backend", a.GetId(), "Service", a.GetService(), "Address", a.GetAddress(),
			"Draining", a.GetDraining(), "Gone", a.GetGone(), "Silent", a.GetSilent(), "Sequence", a.GetSequence(),
			"SoftwareVersion", a.GetSoftwareVersion())
		if c.placer != nil {
			c.placer.SetEngine(a)
		}
		if a.GetGone() {
			c.holdings.Drop(a.GetId())
			c.leaderHoldings.Drop(a.GetId())
			c.knowledge.RemoveEngine(a.GetId())
			c.pacesOf(a.GetService()).Forget(a.GetId())
		}
	}
	c.appliedRevision = c.tracker.Revision()
}

// Document returns the operator's document in force here.
func (c *Coordinator) Document(ctx context.Context) (*wire.PutTable, error) {
	// The call may still run after ctx has ended, and must not write what is read here.
	table := make(chan *wire.PutTable, 1)
	if err := c.Call(ctx, func(time.Time) { table <- c.state.Table() }); err != nil {
		return nil, err
	}
	return <-table, nil
}
