package coordinator

import (
	"context"
	"time"

	"bronzelead.example/controller/raftdriver"
	"bronzelead.example/pkg/limiter"
	"bronzelead.example/pkg/planner"
	"bronzelead.example/pkg/sessiontracker"
	"bronzelead.example/pkg/wire"
)

// Renew answers a gateway's renewal of its session.
func (c *Coordinator) Renew(ctx context.Context, req *wire.RenewRequest) (*wire.RenewResponse, error) {
	var res *wire.RenewResponse
	err := c.Call(ctx, func(now time.Time) {
		if c.leads(now) {
			res = c.renew(now, req)
		}
	})
	if err != nil {
		return nil, err
	}
	// The lease is checked again: it may have expired while the call waited.
	if res == nil || !c.Raft.Status().Leads(c.Clock.Now()) {
		return nil, raftdriver.ErrNotLeader
	}
	return res, nil
}

func (c *Coordinator) renew(now time.Time, req *wire.RenewRequest) *wire.RenewResponse {
	id := sessiontracker.SessionID(req.GetSession())
	res := &wire.RenewResponse{Term: c.term, Revision: c.state.Revision()}
	switch c.sessions.Renew(now, id, req.GetSequence(), req.GetRevision(), req.GetFull()) {
	case sessiontracker.Ended:
		res.Ended = true
		return res
	case sessiontracker.Stale:
		res.NeedFull = true
		return res
	case sessiontracker.NeedFull:
		res.NeedFull = true
	case sessiontracker.Renewed:
		if req.GetFull() {
			c.resetSession(now, id, req)
		}
		c.applyReport(now, id, req, res)
	}
	c.arbiter.ReceiveReports(now, req.GetRunReports())
	c.handleAnnouncements(now, req.GetAnnounced())
	c.addUpdates(now, req, res)
	return res
}

// resetSession replaces what the session holds by a full report.
func (c *Coordinator) resetSession(now time.Time, id sessiontracker.SessionID, req *wire.RenewRequest) {
	c.planner.ResetSession(now, id, req.GetHeld())
	c.limiter.Reset(id, demandsOf(req))
}

func demandsOf(req *wire.RenewRequest) []limiter.Demand {
	demands := make([]limiter.Demand, len(req.GetCustomers()))
	for i, d := range req.GetCustomers() {
		demands[i] = limiter.Demand{Customer: d.GetCustomer(), Held: d.GetHeld(), Wanted: d.GetWanted()}
	}
	return demands
}

func (c *Coordinator) applyReport(now time.Time, id sessiontracker.SessionID, req *wire.RenewRequest, res *wire.RenewResponse) {
	for _, lease := range req.GetReleased() {
		c.planner.Release(id, planner.LeaseID(lease))
	}
	for _, d := range req.GetDemands() {
		c.planner.RecordDemand(now, id, d)
		if d.GetWaiting() > 0 || d.GetRunning() > 0 {
			res.Grants = append(res.Grants, c.planner.GrantLeases(now, id, d.GetAdapter())...)
		}
	}
	for _, d := range demandsOf(req) {
		amount := c.limiter.Report(now, id, d)
		res.Allotments = append(res.Allotments, &wire.Allotment{Customer: d.Customer, Amount: amount})
	}
	for _, d := range c.limiter.Reductions(id) {
		res.Allotments = append(res.Allotments, &wire.Allotment{Customer: d.Customer, Amount: d.Held})
	}
	res.Recalls = c.planner.Recalls(id)
}

// addUpdates adds what changed since the gateway's last update: contracts, suspected requests
// and backend servers.
func (c *Coordinator) addUpdates(now time.Time, req *wire.RenewRequest, res *wire.RenewResponse) {
	res.Contracts = c.state.ChangedSince(req.GetRevision())
	res.Suspects, res.SuspectsRevision = c.arbiter.SuspectsFor(c.term, req.GetSuspectsRevision())
	c.backends.addTo(res, req.GetBackendsVersion(), now.Before(c.warmUpUntil))
}
