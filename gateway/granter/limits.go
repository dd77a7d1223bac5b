package granter

import (
	"maps"
	"time"

	"bronzelead.example/pkg/throttler"
	"bronzelead.example/pkg/wire"
)

// AttemptKind is why a request is sent to a backend server.
type AttemptKind string

// The kinds, as they stand in logs.
const (
	First   AttemptKind = "First"
	Repeat  AttemptKind = "Repeat"
	Resumed AttemptKind = "Resumed"
)

// sends is what this gateway has sent to a backend server.
type sends struct {
	throttler.Sends
	// byKind and denied count since the usage was logged last, while a limit is in force.
	byKind map[AttemptKind]int
	denied int
}

// RecordSent notes that a request is sent, with a grant of a gateway; "" is without one.
func (g *Granter) RecordSent(backend string, kind AttemptKind, grantedBy string) {
	now := g.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.sendsTo(backend)
	s.Add(now, grantedBy)
	if !g.book.Empty() {
		s.byKind[kind]++
	}
}

// RecordDenied notes that a request was not sent for want of a grant.
func (g *Granter) RecordDenied(backend string) {
	g.mu.Lock()
	g.sendsTo(backend).denied++
	g.mu.Unlock()
	g.Meter.Increment("requests_denied_by_limits", "role", "Gateway")
}

// sendsTo returns the account of a backend server. The caller holds the lock.
func (g *Granter) sendsTo(backend string) *sends {
	s := g.sends[backend]
	if s == nil {
		s = &sends{byKind: map[AttemptKind]int{}}
		g.sends[backend] = s
	}
	return s
}

// Observe takes what an answer to this gateway says of a limit. SinceSent is the time since
// the request that was answered. Its id is not logged as RequestID: the line belongs to the
// stories of all requests to the backend server.
func (g *Granter) Observe(backend string, limit throttler.Limit, requestID string, sinceSent time.Duration) {
	g.observe(throttler.Observation{Backend: backend, Limit: limit, At: g.Clock.Now(), Source: throttler.Answer},
		"AnswerTo", requestID, "SinceSent", sinceSent.Milliseconds())
}

// ReceiveLimits takes limits that other instances know.
func (g *Granter) ReceiveLimits(list []*wire.RequestLimit, source throttler.Source) {
	for _, l := range list {
		o, ok := throttler.Decode(g.Clock.Now(), l, source)
		if !ok {
			g.Log.Warn("a request limit is passed over", "Backend", l.GetBackend(), "Limit", l.GetRequestsPerSecond())
			continue
		}
		g.observe(o)
	}
}

// hearLimit takes what another gateway knows of one limit.
func (g *Granter) hearLimit(l *wire.RequestLimit) {
	if l != nil {
		g.ReceiveLimits([]*wire.RequestLimit{l}, throttler.News)
	}
}

func (g *Granter) observe(o throttler.Observation, more ...any) {
	g.mu.Lock()
	change, changed := g.book.Observe(o)
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
		go g.report(o.Backend)
	}
}

// Forget drops a backend server that is gone, or whose process has started again.
func (g *Granter) Forget(backend string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.book.Forget(backend)
	delete(g.sends, backend)
}

// Report returns the limits that this gateway and those that report to it have read.
func (g *Granter) Report() []*wire.RequestLimit {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.book.Empty() {
		return nil
	}
	return g.book.Report(g.Clock.Now())
}

// Limits returns all limits and the number of that list, for gateways that get their news here.
func (g *Granter) Limits() ([]*wire.RequestLimit, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Limits(g.Clock.Now()), g.book.Revision()
}

// Revision returns the number of the list of limits.
func (g *Granter) Revision() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Revision()
}

// Status returns what is known of a backend server's limit, for logs.
func (g *Granter) Status(backend string) (throttler.Status, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.book.Status(backend)
}

// usage is what was sent to a backend server with a limit since it was logged last.
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
		standing, limited := g.book.Status(id)
		if limited && len(s.byKind)+s.denied > 0 {
			list = append(list, usage{id, standing.Limit.Rate, maps.Clone(s.byKind), s.denied})
		}
		clear(s.byKind)
		s.denied = 0
	}
	return list
}

// logUsage logs what was sent to backend servers with limits, and what was not.
func (g *Granter) logUsage() {
	for _, u := range g.takeUsage() {
		g.Log.Info("requests to a limited backend server", "Backend", u.backend, "Limit", u.limit, "Sent", u.byKind, "Denied", u.denied)
	}
}
