package routecoordinator

import (
	"time"

	"bronzelead.example/pkg/throttler"
	"bronzelead.example/pkg/wire"
)

// hearLimits takes the request limits that a gateway, or one that follows it, has read in
// answers of backend servers.
func (c *Coordinator) hearLimits(now time.Time, list []*wire.RequestLimit) {
	for _, l := range list {
		o, ok := throttler.Decode(now, l, throttler.Follower)
		if !ok || !c.serves(o.Backend) {
			continue
		}
		change, changed := c.requestLimits.Observe(o)
		if !changed {
			continue
		}
		c.Log.Info("request limit of a backend server", "Backend", o.Backend, "Named", o.Limit.Named,
			"Limit", o.Limit.Rate, "Before", change.Before.Rate)
		if c.placer != nil {
			c.placer.SetLimit(o.Backend, o.Limit)
		}
	}
}

// tellLimits adds the request limits to an answer, if the caller knows another list.
func (c *Coordinator) tellLimits(now time.Time, req *wire.SyncRequest, res *wire.SyncResponse) {
	res.RequestLimitsRevision = c.requestLimits.Revision()
	if req.GetEpoch() != c.epoch || req.GetRequestLimitsRevision() != res.GetRequestLimitsRevision() {
		res.RequestLimits = c.requestLimits.Limits(now)
	}
}

// limitOf returns the request limit of a backend server.
func (c *Coordinator) limitOf(id string) throttler.Limit {
	standing, _ := c.requestLimits.Status(id)
	return standing.Limit
}

// forgetLimits drops the limits of backend servers that are not known any more.
func (c *Coordinator) forgetLimits(now time.Time) {
	if c.requestLimits.Empty() {
		return
	}
	c.requestLimits.Prune(now, c.serves)
}

// serves reports whether a backend server is known and has not left.
func (c *Coordinator) serves(id string) bool {
	a := c.tracker.Get(id)
	return a != nil && !a.GetGone() && !a.GetReplaced()
}
