package granter

import (
	"maps"
	"time"

	"bronzelead.example/pkg/throttler"
	"bronzelead.example/pkg/wire"
)

// AttemptKind is why a request is sent to a backend server.
type AttemptKind string

// The kinds, as logged.
const (
	First   AttemptKind = "First"
	Repeat  AttemptKind = "Repeat"
	Resumed AttemptKind = "Resumed"
)

// sends is what this gateway has sent to a backend server.
type sends struct {
	throttler.Sends
	// byKind and denied count since the latest log line on usage, while a limit is in force.
	byKind map[AttemptKind]int
	denied int
}

// RecordSent records a send with a grant of a gateway; "" is without one.
func (g *Granter) RecordSent(backend string, kind AttemptKind, grantedBy string) {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.sendsTo(backend)
	s.Add(now, grantedBy)
	if !g.registry.Empty() {
		s.byKind[kind]++
	}
}

// RecordDenied records that a request was not sent for lack of a grant.
func (g *Granter) RecordDenied(backend string) {
	g.mu.Lock()
	g.sendsTo(backend).denied++
	g.mu.Unlock()
	g.Meter.Increment("requests_denied_by_limits", "role", "Gateway")
}

// sendsTo returns the counters of a backend server. The caller holds the lock.
func (g *Granter) sendsTo(backend string) *sends {
	s := g.sends[backend]
	if s == nil {
		s = &sends{byKind: map[AttemptKind]int{}}
		g.sends[backend] = s
	}
	return s
}

// Observe records the limit that a response to this gateway announces. SinceSent is the time
// since the answered request. Its id is not logged as RequestID: the line belongs to the traces
// of all requests to the backend server.
func (g *Granter) Observe(backend string, limit throttler.Limit, requestID string, sinceSent time.Duration) {
	g.observe(throttler.Observation{Backend: backend, Limit: limit, At: g.Clock.Now(), Source: throttler.Answer},
		"AnswerTo", requestID, "SinceSent", sinceSent.Milliseconds())
}

// ReceiveLimits records limits that other instances know.
func (g *Granter) ReceiveLimits(list []*wire.RequestLimit, source throttler.Source) {
	for _, l := range list {
		o, ok := throttler.Decode(g.Clock.Now(), l, source)
		if !ok {
			g.Log.Warn("invalid request limit ignored", "Backend", l.GetBackend(), "Limit", l.GetRequestsPerSecond())
			continue
		}
		g.observe(o)
	}
}

// receiveLimit records a limit that another gateway knows.
func (g *Granter) receiveLimit(l *wire.RequestLimit) {
	if l != nil {
		g.ReceiveLimits([]*wire.RequestLimit{l}, throttler.News)
	}
}

func (g *Granter) observe(o throttler.Observation, more ...any) {
	g.mu.Lock()
	change, changed := g.registry.Observe(o)
	g.mu.Unlock()
	if !changed {
		return
	}
	event := "backend server limits its request rate"
	if !o.Limit.Named {
		event = "backend server lifts its request limit"
	}
	g.Log.Info(event, append([]any{
		"Backend", o.Backend, "Limit", o.Limit.Rate, "Before", change.Before.Rate, "Source", o.Source,
	}, more...)...)
	g.Meter.Increment("request_limit_changes", "source", string(o.Source))
	if o.Limit.Named && !change.Before.Named {
		go g.reportSends(o.Backend)
	}
}

// Forget drops a backend server that was removed, or whose process has restarted.
func (g *Granter) Forget(backend string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registry.Forget(backend)
	delete(g.sends, backend)
}

// Report returns the limits that this gateway and those that report to it have observed.
func (g *Granter) Report() []*wire.RequestLimit {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.registry.Empty() {
		return nil
	}
	return g.registry.Report(g.Clock.Now())
}

// Limits returns all limits and the list's revision, for gateways that receive updates here.
func (g *Granter) Limits() ([]*wire.RequestLimit, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Limits(g.Clock.Now()), g.registry.Revision()
}

// Revision returns the revision of the list of limits.
func (g *Granter) Revision() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Revision()
}

// Status returns the state of a backend server's limit, for logs.
func (g *Granter) Status(backend string) (throttler.Status, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Status(backend)
}

// usage is what was sent to a limited backend server since the latest log line on usage.
type usage struct {
	backend string
	limit   throttler.RequestRate
	byKind  map[AttemptKind]int
	denied  int
}

func (g *Granter) takeUsage() []usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []usage
	for id, s := range g.sends {
		status, limited := g.registry.Status(id)
		if limited && len(s.byKind)+s.denied > 0 {
			list = append(list, usage{id, status.Limit.Rate, maps.Clone(s.byKind), s.denied})
		}
		clear(s.byKind)
		s.denied = 0
	}
	return list
}

// logUsage logs sent and denied requests to backend servers with limits.
func (g *Granter) logUsage() {
	for _, u := range g.takeUsage() {
		g.Log.Info("requests to a limited backend server", "Backend", u.backend, "Limit", u.limit, "Sent", u.byKind, "Denied", u.denied)
	}
}
