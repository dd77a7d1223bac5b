package routecoordinator

import (
	"time"

	"bronzelead.example/pkg/ablator"
	"bronzelead.example/pkg/paceestimator"
)

const (
	// paceInterval is the time between two estimates of the paces. Gateways report every 150 ms.
	paceInterval = 500 * time.Millisecond
	// paceLogInterval is the time between two log lines on the paces.
	paceLogInterval = 10 * time.Second
)

// learnPaces estimates the paces of backend servers from what gateways report. All controllers do,
// so that another leader knows them at once.
func (c *Coordinator) learnPaces(now time.Time) {
	if now.Sub(c.pacesLearntAt) < paceInterval || c.Policy.Disabled.Has(ablator.UnevenServers) {
		return
	}
	c.pacesLearntAt = now
	c.loads.EachPace(func(backend string, interval time.Duration, samples int) {
		if c.serves(backend) {
			c.pacesOf(c.tracker.Get(backend).GetService()).ObserveOthers(now, backend, interval, samples)
		}
	})
	for _, e := range c.paces {
		e.Update(now)
	}
	c.applyPaces(now)
}

func (c *Coordinator) pacesOf(service string) *paceestimator.Estimator {
	e := c.paces[service]
	if e == nil {
		e = &paceestimator.Estimator{}
		c.paces[service] = e
	}
	return e
}

// applyPaces passes the paces on to the placer, and logs those that differ.
func (c *Coordinator) applyPaces(now time.Time) {
	logs := now.Sub(c.pacesLoggedAt) >= paceLogInterval
	if logs {
		c.pacesLoggedAt = now
	}
	if c.placer != nil {
		for _, a := range c.tracker.All() {
			c.placer.SetPace(a.GetId(), c.pacesOf(a.GetService()).Pace(a.GetId()))
		}
	}
	for service, e := range c.paces {
		if summary := e.Summary(); logs && e.Differs() {
			c.Log.Info("paces of backend servers differ", "Service", service, "Known", summary.Known, "Slower", summary.Slower,
				"Faster", summary.Faster, "Slowest", summary.Slowest, "Fastest", summary.Fastest)
		}
	}
}
