package curator

import (
	"context"
	"hash/fnv"
	"slices"
	"time"

	"github.com/pkg/errors"

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
func (c *Curator) Sync(ctx context.Context, req *wire.SyncRequest) (*wire.SyncResponse, error) {
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

// hear takes in what a gateway says of its requests.
func (c *Curator) hear(now time.Time, req *wire.SyncRequest) {
	g := c.gateways[req.GetGateway()]
	if g == nil {
		g = &gatewayState{wants: map[string]time.Time{}}
		c.gateways[req.GetGateway()] = g
	}
	g.seen, g.address, g.loads = now, req.GetAddress(), req.GetLoads()
	if c.placer == nil {
		return
	}
	for _, d := range req.GetDemand() {
		c.placer.Demand(now, d.GetAdapter(), int(d.GetRequests()))
	}
}

// Acquire notes that requests wait for adapters.
func (c *Curator) Acquire(ctx context.Context, req *wire.AcquireRequest) error {
	leads := false
	err := c.Call(ctx, func(now time.Time) {
		leads = c.leads(now)
		if !leads || c.placer == nil {
			return
		}
		g := c.gateways[req.GetGateway()]
		for _, w := range req.GetWants() {
			c.placer.Want(now, w.GetAdapter(), w.GetAvoid())
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

func (c *Curator) answerWaiters(now time.Time) {
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
func (c *Curator) isDue(now time.Time, w *waiter) bool {
	if !now.Before(w.deadline) || c.hasUrgentNews(w.request) {
		return true
	}
	if c.placer == nil || w.request.GetHoldingRevision() >= c.placer.Revision() {
		return false
	}
	g := c.gateways[w.request.GetGateway()]
	interval := time.Second * time.Duration(len(c.gateways)) / answersPerSecond
	return g == nil || g.urgent || now.Sub(g.answered) >= interval
}

func (c *Curator) answer(now time.Time, w *waiter) {
	if g := c.gateways[w.request.GetGateway()]; g != nil {
		g.answered = now
		g.urgent = false
	}
	w.answer <- c.news(w.request)
}

// hasUrgentNews reports whether there is something that all gateways must know soon.
func (c *Curator) hasUrgentNews(req *wire.SyncRequest) bool {
	return req.GetEpoch() != c.epoch ||
		req.GetAnnouncementRevision() != c.tracker.Revision() ||
		req.GetVersionRevision() != c.versions ||
		req.GetTableVersion() < c.table().GetVersion()
}

// table returns the table that gateways may be told of, or nil.
func (c *Curator) table() *wire.RoutingTable {
	if !c.led {
		return nil
	}
	return c.state.Table().GetTable()
}

func (c *Curator) news(req *wire.SyncRequest) *wire.SyncResponse {
	res := &wire.SyncResponse{
		Epoch: c.epoch, AnnouncementRevision: c.tracker.Revision(), VersionRevision: c.versions,
		HoldingRevision: req.GetHoldingRevision(), Controllers: c.Controllers(),
		Gateways: uint32(len(c.gateways)), Leads: c.leads(c.Clock.Now()), Term: c.term,
	}
	res.Peers = c.peersOf(req.GetGateway())
	addresses, revision := c.gatewayAddresses()
	res.GatewaysRevision = revision
	if revision != req.GetGatewaysRevision() {
		res.GatewayAddresses = addresses
	}
	since := req.GetAnnouncementRevision()
	if req.GetEpoch() != c.epoch {
		since = 0
	}
	res.Announcements = c.tracker.Since(since)
	if req.GetVersionRevision() != c.versions {
		res.Versions = c.state.AdapterVersions()
	}
	if table := c.table(); table != nil {
		res.TableVersion = table.GetVersion()
		if req.GetWantTable() && table.GetVersion() > req.GetTableVersion() {
			res.Table = table
		}
	}
	if c.placer != nil {
		res.HoldingRevision = c.placer.Revision()
		res.Holdings = c.placer.Since(req.GetHoldingRevision())
		res.Loads = c.loadsOfOthers(req.GetGateway())
	}
	return res
}

// maxPeers is how many other gateways a gateway is told of: one that is cut off from the
// controllers tries them in turn.
const maxPeers = 4

// peersOf returns some other gateways, different ones from call to call.
func (c *Curator) peersOf(gateway string) []string {
	var peers []string
	for name, g := range c.gateways {
		if name != gateway && g.address != "" && len(peers) < maxPeers {
			peers = append(peers, g.address)
		}
	}
	return peers
}

// gatewayAddresses returns where all gateways are reached that are heard, in order, and a
// number that differs between two lists.
func (c *Curator) gatewayAddresses() ([]string, uint64) {
	list := make([]string, 0, len(c.gateways))
	for _, g := range c.gateways {
		if g.address != "" {
			list = append(list, g.address)
		}
	}
	slices.Sort(list)
	sum := fnv.New64a()
	for _, address := range list {
		_, _ = sum.Write([]byte(address + "\n"))
	}
	return list, sum.Sum64()
}

func (c *Curator) loadsOfOthers(gateway string) []*wire.Load {
	total := map[string]uint32{}
	for name, g := range c.gateways {
		if name == gateway {
			continue
		}
		for _, l := range g.loads {
			total[l.GetBackend()] += l.GetRequests()
		}
	}
	loads := make([]*wire.Load, 0, len(total))
	for backend, n := range total {
		loads = append(loads, &wire.Load{Backend: backend, Requests: n})
	}
	return loads
}

// Announce takes what a backend server said of itself, here or to another controller.
func (c *Curator) Announce(ctx context.Context, list []*wire.Announcement, relayed bool) error {
	return c.Call(ctx, func(now time.Time) {
		var news []*wire.Announcement
		for _, a := range list {
			isNews, _ := c.tracker.Note(now, a)
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
func (c *Curator) takeChanges() {
	for _, a := range c.tracker.Since(c.taken) {
		c.Log.Info("a backend server has changed", "Backend", a.GetId(), "Service", a.GetService(), "Address", a.GetAddress(),
			"Draining", a.GetDraining(), "Gone", a.GetGone(), "Silent", a.GetSilent(), "Sequence", a.GetSequence())
		if c.placer != nil {
			c.placer.SetEngine(a)
		}
	}
	c.taken = c.tracker.Revision()
}

// Document returns the operator's document in force here.
func (c *Curator) Document(ctx context.Context) (*wire.PutTable, error) {
	// The call may still run after ctx has ended, and must not write what is read here.
	table := make(chan *wire.PutTable, 1)
	if err := c.Call(ctx, func(time.Time) { table <- c.state.Table() }); err != nil {
		return nil, err
	}
	return <-table, nil
}
