package routecoordinator

import (
	"time"

	"bronzelead.example/pkg/placer"
	"bronzelead.example/pkg/quotaallocator"
)

// followLeadership begins a term as leader, once all entries committed before it have been
// applied, and ends it.
func (c *Coordinator) followLeadership(now time.Time) {
	status := c.Raft.Status()
	leads := status.Leads(now)
	c.leaderKnown = c.leaderKnown || leads || status.Leader != ""
	switch {
	case leads && c.term != status.Term && c.state.Applied() >= status.TermStart:
		c.beginTerm(now, status.Term)
	case !leads && c.term != 0 && c.term != status.Term:
		c.Log.Info("this instance no longer leads", "Term", c.term)
		c.term, c.placer, c.allocator = 0, nil, nil
	}
}

func (c *Coordinator) beginTerm(now time.Time, term uint64) {
	c.term = term
	c.ordersAfter = now.Add(c.HandoverDelay)
	c.placer = placer.NewWith(c.knowledge)
	c.placer.Begin(term)
	c.holdings.Reset(c.placer.Revision())
	c.arbiter.Invalidate()
	c.placer.SetTable(c.state.Table().GetTable())
	c.allocator = &quotaallocator.Allocator{Rule: c.Limits, KnownGateways: c.knownGateways(now)}
	c.allocator.Begin(now, term, c.state.Table().GetTable().GetCustomers())
	for _, a := range c.tracker.All() {
		c.placer.SetEngine(a)
		c.placer.SetLimit(a.GetId(), c.limitOf(a.GetId()))
	}
	for _, v := range c.state.AdapterVersions() {
		c.placer.SetVersion(v)
	}
	c.Log.Info("this instance leads", "Term", term)
}

// leads reports whether the instance may give orders now.
func (c *Coordinator) leads(now time.Time) bool {
	status := c.Raft.Status()
	return c.term != 0 && c.term == status.Term && status.Leads(now)
}

func (c *Coordinator) plan(now time.Time) {
	if !c.leads(now) || now.Before(c.ordersAfter) {
		return
	}
	c.plannedAt = now
	c.markUrgent(now)
	if now.Sub(c.summarizedAt) >= summaryInterval {
		c.summarizedAt = now
		if statuses := c.allocator.Statuses(now, false); len(statuses) > 0 {
			c.Log.Info("limits", "Customers", statuses)
		}
		c.Log.Info("placement", "Summary", c.placer.Summary(), "Gateways", c.roster.count(), "Asking", len(c.gateways))
	}
	for _, order := range c.placer.Plan(now) {
		c.dispatchOrder(order)
	}
	c.countSpares()
}

// countSpares counts the decisions on spare replicas since the last plan.
func (c *Coordinator) countSpares() {
	granted, denied := c.placer.TakeSpares()
	if c.CountSpares == nil {
		return
	}
	for range granted {
		c.CountSpares("Granted")
	}
	for range denied {
		c.CountSpares("Denied")
	}
}

// planSoon plans immediately, unless a plan was just made: then the next tick plans.
func (c *Coordinator) planSoon(now time.Time) {
	if now.Sub(c.plannedAt) >= minPlanInterval {
		c.plan(now)
	}
}

// sendNextOrders sends an engine its next orders.
func (c *Coordinator) sendNextOrders(now time.Time, backend string) {
	if !c.leads(now) || now.Before(c.ordersAfter) {
		return
	}
	for _, order := range c.placer.NextOrders(now, backend) {
		c.dispatchOrder(order)
	}
}

func (c *Coordinator) dispatchOrder(order placer.Order) {
	term := c.term
	c.SendOrder(order, term, func(reply placer.Reply) {
		c.calls.Post(func(now time.Time) {
			if c.term == term && c.placer != nil {
				c.placer.RecordOutcome(now, order, reply.Outcome, reply.State)
				c.placer.BackOff(now, order.Backend, reply.Backoff)
				c.sendNextOrders(now, order.Backend)
			}
		})
	})
}

// markUrgent marks the gateways whose requests wait for adapters that are now loaded, or will
// not be in time.
func (c *Coordinator) markUrgent(now time.Time) {
	for _, adapter := range c.placer.TakeDeclined() {
		for _, g := range c.gateways {
			if _, ok := g.wants[adapter]; ok {
				g.declined = append(g.declined, adapter)
				g.urgent = true
				delete(g.wants, adapter)
			}
		}
	}
	for _, adapter := range c.placer.TakeLoaded() {
		for _, g := range c.gateways {
			if at, ok := g.wants[adapter]; ok {
				g.urgent = g.urgent || now.Sub(at) < wantLease
				delete(g.wants, adapter)
			}
		}
	}
}

// uses returns the gateways' requests at each backend server, and the adapters that they use.
func (c *Coordinator) uses() map[string]*placer.Usage {
	total := map[string]*placer.Usage{}
	c.loads.Each(func(backend string, requests uint32, adapters map[string]int) {
		use := &placer.Usage{Requests: float64(requests), Adapters: make(map[string]bool, len(adapters))}
		use.BackingOff = min(1, float64(c.loads.BackingOff(backend))/float64(max(1, c.roster.count())))
		for adapter := range adapters {
			use.Adapters[adapter] = true
		}
		total[backend] = use
	})
	return total
}
