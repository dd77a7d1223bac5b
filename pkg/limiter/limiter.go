// Package limiter divides each customer's limit of concurrent requests among the gateways'
// sessions.
//
// A share is an allotment to a session. The sum of a customer's shares never grows past its
// limit: a share is granted to another session only after its session has returned it, or after
// Forget, which the caller calls once nothing of the session can run any more. The package has
// no side effects and is not safe for concurrent use.
package limiter

import (
	"time"
)

// SessionID names a gateway's session.
type SessionID uint64

// Demand is what a session reports about one customer.
type Demand struct {
	Customer string
	// Held is the share that the session still uses, after returning any part of it.
	Held uint32
	// Wanted is the number of requests that are running or waiting.
	Wanted uint32
}

// Limiter holds the shares of all customers. The zero value is ready to use.
type Limiter struct {
	customers map[string]*customer
	// sessions holds the customers of which each session has a share.
	sessions map[SessionID]map[string]bool
	// unreported holds sessions whose shares are not yet known.
	unreported map[SessionID]bool
}

type customer struct {
	limit  uint32
	shares map[SessionID]*share
	// granted and wanted are sums over all shares.
	granted, wanted uint32
	// unsatisfied is the number of shares that want more than they have.
	unsatisfied int
	// starved holds the unsatisfied shares that have nothing.
	starved map[*share]bool
}

type share struct {
	granted uint32
	wanted  uint32
	// starvedSince is the time since which the session has wanted a share without having any.
	starvedSince time.Time
}

// SetLimit sets a customer's limit. Later reports recall shares above it.
func (l *Limiter) SetLimit(name string, limit uint32) {
	l.customer(name).limit = limit
}

// ExpectReport registers a session that may hold unknown shares. Until it has reported or is
// forgotten, no share of any customer grows.
func (l *Limiter) ExpectReport(id SessionID) {
	if l.unreported == nil {
		l.unreported = map[SessionID]bool{}
	}
	l.unreported[id] = true
}

// MarkReported records that all of a session's shares are known.
func (l *Limiter) MarkReported(id SessionID) { delete(l.unreported, id) }

// Forget drops all shares of a session.
func (l *Limiter) Forget(id SessionID) {
	delete(l.unreported, id)
	for name := range l.sessions[id] {
		l.drop(id, name)
	}
}

func (l *Limiter) drop(id SessionID, name string) {
	c := l.customers[name]
	if s := c.shares[id]; s != nil {
		c.set(s, 0, 0)
		delete(c.shares, id)
	}
	delete(l.sessions[id], name)
	if len(l.sessions[id]) == 0 {
		delete(l.sessions, id)
	}
}

// Reset replaces a session's shares by those in its full list of demands.
func (l *Limiter) Reset(id SessionID, demands []Demand) {
	named := map[string]bool{}
	for _, d := range demands {
		named[d.Customer] = true
		s := l.share(id, d.Customer)
		l.customer(d.Customer).set(s, d.Held, s.wanted)
	}
	for name := range l.sessions[id] {
		if !named[name] {
			l.drop(id, name)
		}
	}
	l.MarkReported(id)
}

// Report takes a session's demand and returns its new share. If that is less than the session
// holds, the session has to return what it does not use.
func (l *Limiter) Report(now time.Time, id SessionID, d Demand) uint32 {
	c := l.customer(d.Customer)
	s := l.share(id, d.Customer)
	c.set(s, min(s.granted, d.Held), d.Wanted)
	if s.wanted == 0 && s.granted == 0 {
		l.drop(id, d.Customer)
		return 0
	}
	target := c.target(s)
	if len(l.unreported) == 0 && target > s.granted {
		c.set(s, s.granted+min(target-s.granted, c.available(s)), s.wanted)
	}
	s.updateStarved(now)
	return min(target, s.granted)
}

// Reductions returns the customers of which a session has to return a part, with the share that
// it may keep. It does so only while the limit is contended.
func (l *Limiter) Reductions(id SessionID) []Demand {
	var reductions []Demand
	for name := range l.sessions[id] {
		c := l.customers[name]
		s := c.shares[id]
		if s.granted == 0 || !c.contended() {
			continue
		}
		if target := c.target(s); target < s.granted {
			reductions = append(reductions, Demand{Customer: name, Held: target, Wanted: s.wanted})
		}
	}
	return reductions
}

// contended reports whether a session wants more than it has, or more is granted than the limit
// now allows.
func (c *customer) contended() bool { return c.unsatisfied > 0 || c.granted > c.limit }

// TotalGranted returns the sum of a customer's shares.
func (l *Limiter) TotalGranted(name string) uint32 { return l.customer(name).granted }

func (l *Limiter) customer(name string) *customer {
	if l.customers == nil {
		l.customers = map[string]*customer{}
	}
	c := l.customers[name]
	if c == nil {
		c = &customer{shares: map[SessionID]*share{}, starved: map[*share]bool{}}
		l.customers[name] = c
	}
	return c
}

func (l *Limiter) share(id SessionID, name string) *share {
	c := l.customer(name)
	s := c.shares[id]
	if s != nil {
		return s
	}
	s = &share{}
	c.shares[id] = s
	if l.sessions == nil {
		l.sessions = map[SessionID]map[string]bool{}
	}
	if l.sessions[id] == nil {
		l.sessions[id] = map[string]bool{}
	}
	l.sessions[id][name] = true
	return s
}

// set changes a share and the sums and counts over the shares.
func (c *customer) set(s *share, granted, wanted uint32) {
	if s.wanted > s.granted {
		c.unsatisfied--
	}
	c.granted += granted - s.granted
	c.wanted += wanted - s.wanted
	s.granted, s.wanted = granted, wanted
	if wanted > granted {
		c.unsatisfied++
	}
	if wanted > granted && granted == 0 {
		c.starved[s] = true
		return
	}
	delete(c.starved, s)
}

// available returns what can be granted to s: the rest of the limit, less one for each session
// that has starved for longer.
func (c *customer) available(s *share) uint32 {
	used := c.granted
	for other := range c.starved {
		older := !other.starvedSince.IsZero() && (s.starvedSince.IsZero() || other.starvedSince.Before(s.starvedSince))
		if other != s && older {
			used++
		}
	}
	if used >= c.limit {
		return 0
	}
	return c.limit - used
}

// target returns what a session should have: all that it wants while the limit suffices for
// all, else an equal share, so that a busy gateway can't starve a customer's callers at the
// other gateways.
func (c *customer) target(s *share) uint32 {
	equalShare := c.limit / uint32(len(c.shares))
	switch {
	case c.wanted <= c.limit:
		return min(c.limit, max(s.wanted, equalShare))
	case equalShare > 0:
		return min(s.wanted, equalShare)
	case len(c.starved) > 0 && s.granted > 0:
		// There are fewer units than sessions: they take turns.
		return 0
	}
	return min(s.wanted, 1)
}

func (s *share) updateStarved(now time.Time) {
	switch {
	case s.wanted <= s.granted || s.granted > 0:
		s.starvedSince = time.Time{}
	case s.starvedSince.IsZero():
		s.starvedSince = now
	}
}
