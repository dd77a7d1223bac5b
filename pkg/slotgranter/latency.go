package slotgranter

import "time"

// completion is a completed request.
type completion struct {
	at   time.Time
	took time.Duration
}

// grantTime returns about how long it takes from a grant until its completion is reported.
func (g *Granter) grantTime() time.Duration {
	if g.meanGrantTime == 0 {
		return initialServiceTime
	}
	return g.meanGrantTime
}

// latency returns the part of the grant time in which messages are on their way.
func (g *Granter) latency() time.Duration {
	return min(time.Duration(pathFactor*float64(g.meanLatency)), time.Duration(maxPathShare*float64(g.grantTime())))
}

// serviceTime returns about how long the backend server takes for a request.
func (g *Granter) serviceTime() time.Duration { return g.grantTime() - g.latency() }

// observeRun compares a gateway's report of its latest run with the time that passed here. The
// difference is the latency, whatever the work of the request.
func (g *Granter) observeRun(now time.Time, a GrantRequest) {
	latest, ok := g.latest[a.Gateway]
	if a.LastRun <= 0 || !ok {
		return
	}
	delete(g.latest, a.Gateway)
	if now.Sub(latest.at) < maxReportAge {
		g.meanLatency += time.Duration(latencyWeight * float64(max(0, latest.took-a.LastRun)-g.meanLatency))
	}
}

// ServiceTime returns about how long the backend server takes for a request, or 0 if none has
// completed.
func (g *Granter) ServiceTime() time.Duration {
	if g.meanGrantTime == 0 {
		return 0
	}
	return g.serviceTime()
}
