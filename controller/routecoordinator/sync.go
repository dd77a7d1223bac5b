package routecoordinator

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/disseminator"
	"bronzelead.example/pkg/wire"
)

// waiter is a gateway's call that waits for news.
type waiter struct {
	request  *wire.SyncRequest
	deadline time.Time
	// answer takes the answer, once. It has room for it.
	answer chan *wire.SyncResponse
}

// Sync answers a gateway as soon as there is news for it, or when its wait is over.
func (c *Coordinator) Sync(ctx context.Context, req *wire.SyncRequest) (*wire.SyncResponse, error) {
	w := &waiter{request: req, answer: make(chan *wire.SyncResponse, 1)}
	err := c.Call(ctx, func(now time.Time) {
		w.deadline = now.Add(time.Duration(req.GetWaitMs()) * time.Millisecond)
		c.hear(now, req)
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
		return nil, errors.Wrap(ctx.Err(), "curator: sync")
	}
}

// hear takes in what a gateway says of its requests, and of those of its members.
func (c *Coordinator) hear(now time.Time, req *wire.SyncRequest) {
	if req.GetKnowledge() {
		return
	}
	g := c.gateways[req.GetGateway()]
	if g == nil {
		g = &gatewayState{wants: map[string]time.Time{}}
		c.gateways[req.GetGateway()] = g
	}
	g.seen = now
	c.loads.Remove(g.loads)
	g.loads = req.GetLoads()
	c.loads.Add(g.loads)
	if g.entry.GetAddress() != req.GetAddress() || g.entry.GetZone() != req.GetZone() {
		g.entry = &wire.GatewayEntry{Address: req.GetAddress(), Zone: req.GetZone()}
		c.roster.stale = true
	}
	if len(req.GetMembers()) > 0 || req.GetMembersRevision() == 0 {
		c.roster.stale = c.roster.stale || g.membersRevision != req.GetMembersRevision()
		g.members, g.membersRevision = req.GetMembers(), req.GetMembersRevision()
	}
	c.hearLimits(now, req.GetRequestLimits())
	c.arbiter.ReceiveReports(now, req.GetRunReports())
	for _, d := range req.GetDemand() {
		c.knowledge.RecordRequests(now, d.GetAdapter(), int(d.GetRequests()))
	}
}

// forgetGateways drops those that have not called for long.
func (c *Coordinator) forgetGateways(now time.Time) {
	for name, g := range c.gateways {
		if now.Sub(g.seen) > gatewayLease {
			c.loads.Remove(g.loads)
			delete(c.gateways, name)
			c.roster.stale = true
		}
	}
}

// Acquire notes that requests wait for adapters.
func (c *Coordinator) Acquire(ctx context.Context, req *wire.AcquireRequest) error {
	leads := false
	err := c.Call(ctx, func(now time.Time) {
		leads = c.leads(now)
		if !leads || c.placer == nil {
			return
		}
		g := c.gateways[req.GetGateway()]
		for _, w := range req.GetWants() {
			c.placer.RequestLoad(now, w.GetAdapter(), w.GetAvoid(), waitsUntil(now, w))
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

// waitsUntil returns when the requests for an adapter give up; zero if that is not known.
func waitsUntil(now time.Time, w *wire.Want) time.Time {
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
	if !now.Before(w.deadline) || c.hasUrgentNews(w.request) {
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
	return g == nil || g.urgent || now.Sub(g.answered) >= interval
}

func (c *Coordinator) answer(now time.Time, w *waiter) {
	if g := c.gateways[w.request.GetGateway()]; g != nil {
		g.answered = now
		g.urgent = false
	}
	w.answer <- c.news(now, w.request)
}

// hasUrgentNews reports whether there is something that all gateways must know soon.
func (c *Coordinator) hasUrgentNews(req *wire.SyncRequest) bool {
	return req.GetEpoch() != c.epoch ||
		req.GetAnnouncementRevision() != c.tracker.Revision() ||
		req.GetVersionRevision() != c.versions ||
		req.GetTableVersion() < c.table().GetVersion() ||
		req.GetRequestLimitsRevision() != c.requestLimits.Revision() ||
		c.arbiter.HasUpdate(c.term, req.GetSuspectsRevision())
}

// table returns the table that gateways may be told of, or nil.
func (c *Coordinator) table() *wire.RoutingTable {
	if !c.led {
		return nil
	}
	return c.state.Table().GetTable()
}

func (c *Coordinator) news(now time.Time, req *wire.SyncRequest) *wire.SyncResponse {
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
	c.tellLimits(now, req, res)
	if res.GetLeads() {
		res.Suspects, res.SuspectsRevision = c.arbiter.SuspectsFor(c.term, req.GetSuspectsRevision())
	}
	g := c.gateways[req.GetGateway()]
	if g != nil {
		res.MembersRevision = g.membersRevision
		res.Declined, g.declined = g.declined, nil
	}
	if c.placer != nil {
		c.takeHoldings()
		res.HoldingRevision = max(req.GetHoldingRevision(), c.holdings.Revision())
		res.Holdings, res.HoldingsSince = c.holdings.Since(req.GetHoldingRevision())
		if req.GetKnowledge() {
			res.Learnt = c.knowledge.Learnt()
			return res
		}
		res.Loads, res.HasLoads = c.loadsWithout(g), true
	}
	return res
}

// takeHoldings takes what the placer says of engines that have changed.
func (c *Coordinator) takeHoldings() {
	for _, h := range c.placer.TakeChanged() {
		c.holdings.Set(c.placer.Revision(), h.GetBackend(), h.GetAdapters())
	}
	// An engine whose state has to be asked for is no news; without this all gateways would
	// be answered again and again until it is.
	c.holdings.Advance(c.placer.Revision())
}

// forGateways returns an announcement without what an engine says that it holds: gateways
// hear of that from the leader.
func forGateways(a *wire.Announcement) *wire.Announcement {
	if len(a.GetAdapters()) == 0 && len(a.GetModels()) == 0 {
		return a
	}
	a = proto.CloneOf(a)
	a.Adapters, a.Models = nil, nil
	return a
}

// loadsWithout returns the loads of all gateways but one and its members.
func (c *Coordinator) loadsWithout(g *gatewayState) []*wire.Load {
	own := map[string]uint32{}
	if g != nil {
		for _, l := range g.loads {
			own[l.GetBackend()] += l.GetRequests()
		}
	}
	var loads []*wire.Load
	c.loads.Each(func(backend string, requests uint32, _ map[string]int) {
		if n := requests - own[backend]; n > 0 {
			loads = append(loads, &wire.Load{Backend: backend, Requests: n})
		}
	})
	return loads
}

// ReceiveAnnouncements takes what a backend server said of itself, here or to another controller.
func (c *Coordinator) ReceiveAnnouncements(ctx context.Context, list []*wire.Announcement, relayed bool) error {
	return c.Call(ctx, func(now time.Time) {
		var news []*wire.Announcement
		for _, a := range list {
			isNews, _ := c.tracker.Observe(now, a)
			if isNews {
				news = append(news, a)
			}
		}
		c.takeChanges()
		if len(news) > 0 && !relayed {
			c.Relay(news)
		}
	})
}

// takeChanges passes on to the placer what has changed among the backend servers.
func (c *Coordinator) takeChanges() {
	for _, a := range c.tracker.Since(c.taken) {
		c.Log.Info("a backend server has changed", "Backend", a.GetId(), "Service", a.GetService(), "Address", a.GetAddress(),
			"Draining", a.GetDraining(), "Gone", a.GetGone(), "Silent", a.GetSilent(), "Sequence", a.GetSequence())
		if c.placer != nil {
			c.placer.SetEngine(a)
		}
		if a.GetGone() {
			c.holdings.Drop(a.GetId())
			c.heard.Drop(a.GetId())
			c.knowledge.RemoveEngine(a.GetId())
		}
	}
	c.taken = c.tracker.Revision()
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
