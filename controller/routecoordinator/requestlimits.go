package routecoordinator

import (
	"time"

	"bronzelead.example/pkg/throttler"
	"bronzelead.example/pkg/wire"
)

// receiveRequestLimits takes the request limits that a gateway, or one that follows it, has
// read in responses of backend servers.
func (c *Coordinator) receiveRequestLimits(now time.Time, list []*wire.RequestLimit) {
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

// addRequestLimits adds the request limits to a response, if the caller has another list.
func (c *Coordinator) addRequestLimits(now time.Time, req *wire.SyncRequest, res *wire.SyncResponse) {
	res.RequestLimitsRevision = c.requestLimits.Revision()
	if req.GetEpoch() != c.epoch || req.GetRequestLimitsRevision() != res.GetRequestLimitsRevision() {
		res.RequestLimits = c.requestLimits.Limits(now)
	}
}

// limitOf returns the request limit of a backend server.
func (c *Coordinator) limitOf(id string) throttler.Limit {
	status, _ := c.requestLimits.Status(id)
	return status.Limit
}

// pruneRequestLimits drops the limits of backend servers that are no longer known.
func (c *Coordinator) pruneRequestLimits(now time.Time) {
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
