// Package limiter divides each customer's limit of requests at once among the
// sessions of the gateways.
//
// A share is an allotment under a session. The sum of a customer's shares never
// grows past its limit: a share is given elsewhere only after its session has
// handed it back, or after Forget, which the caller calls once nothing of the
// session can run any more. The package is pure and not safe for concurrent use.
package limiter

import (
	"time"
)

// SessionID names a gateway's session.
type SessionID uint64

// Demand is what a session says of one customer.
type Demand struct {
	Customer string
	// Held is the share that the session still uses, after any handing back.
	Held uint32
	// Wanted is the number of requests that run or wait.
	Wanted uint32
}

// Limiter holds the shares of all customers. The zero value is ready to use.
type Limiter struct {
	customers map[string]*customer
	// sessions are the customers of which each session has a share.
	sessions map[SessionID]map[string]bool
	// frozen holds sessions whose shares are not yet known.
	frozen map[SessionID]bool
}

type customer struct {
	limit  uint32
	shares map[SessionID]*share
	// granted and wanted are sums over all shares.
	granted, wanted uint32
	// hungry is the number of shares that want more than they have.
	hungry int
	// starving are the hungry ones that have nothing.
	starving map[*share]bool
}

type share struct {
	granted uint32
	wanted  uint32
	// starving is since when the session has wanted more than it has.
	starving time.Time
}

// SetLimit sets a customer's limit. Shares above it are recalled by later reports.
func (l *Limiter) SetLimit(name string, limit uint32) {
	l.customer(name).limit = limit
}

// ExpectReport notes a session that may hold shares which aren't known. Until it has
// reported or is forgotten no share of any customer grows.
func (l *Limiter) ExpectReport(id SessionID) {
	if l.frozen == nil {
		l.frozen = map[SessionID]bool{}
	}
	l.frozen[id] = true
}

// MarkReported notes that all of a session's shares are known.
func (l *Limiter) MarkReported(id SessionID) { delete(l.frozen, id) }

// Forget drops all that a session had.
func (l *Limiter) Forget(id SessionID) {
	delete(l.frozen, id)
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

// Reset takes a session's full list of demands for all that it holds.
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

// Report takes a session's demand and returns its share from now on. A share
// below what the session holds asks it to hand back what it does not use.
func (l *Limiter) Report(now time.Time, id SessionID, d Demand) uint32 {
	c := l.customer(d.Customer)
	s := l.share(id, d.Customer)
	c.set(s, min(s.granted, d.Held), d.Wanted)
	if s.wanted == 0 && s.granted == 0 {
		l.drop(id, d.Customer)
		return 0
	}
	target := c.target(s)
	if len(l.frozen) == 0 && target > s.granted {
		c.set(s, s.granted+min(target-s.granted, c.free(s)), s.wanted)
	}
	s.noteStarving(now)
	return min(target, s.granted)
}

// Reductions returns the customers of which a session has to hand back a part,
// with the share that it may keep. It does so only while others want more.
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

// contended reports whether a session wants more than it has, or more was given
// than the limit now allows.
func (c *customer) contended() bool { return c.hungry > 0 || c.granted > c.limit }

// TotalGranted returns all shares of a customer together.
func (l *Limiter) TotalGranted(name string) uint32 { return l.customer(name).granted }

func (l *Limiter) customer(name string) *customer {
	if l.customers == nil {
		l.customers = map[string]*customer{}
	}
	c := l.customers[name]
	if c == nil {
		c = &customer{shares: map[SessionID]*share{}, starving: map[*share]bool{}}
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

// set changes a share and all that is counted from the shares.
func (c *customer) set(s *share, granted, wanted uint32) {
	if s.wanted > s.granted {
		c.hungry--
	}
	c.granted += granted - s.granted
	c.wanted += wanted - s.wanted
	s.granted, s.wanted = granted, wanted
	if wanted > granted {
		c.hungry++
	}
	if wanted > granted && granted == 0 {
		c.starving[s] = true
		return
	}
	delete(c.starving, s)
}

// free returns what can be given to s: the rest of the limit, less one for each
// session that has starved for longer.
func (c *customer) free(s *share) uint32 {
	used := c.granted
	for other := range c.starving {
		older := !other.starving.IsZero() && (s.starving.IsZero() || other.starving.Before(s.starving))
		if other != s && older {
			used++
		}
	}
	if used >= c.limit {
		return 0
	}
	return c.limit - used
}

// target returns what a session should have: all that it wants while the limit
// suffices for all, else an equal part, so that a busy gateway can't keep a
// customer's callers at the other gateways out.
func (c *customer) target(s *share) uint32 {
	equal := c.limit / uint32(len(c.shares))
	switch {
	case c.wanted <= c.limit:
		return min(c.limit, max(s.wanted, equal))
	case equal > 0:
		return min(s.wanted, equal)
	case len(c.starving) > 0 && s.granted > 0:
		// Fewer units than sessions: they go round.
		return 0
	}
	return min(s.wanted, 1)
}

func (s *share) noteStarving(now time.Time) {
	switch {
	case s.wanted <= s.granted || s.granted > 0:
		s.starving = time.Time{}
	case s.starving.IsZero():
		s.starving = now
	}
}
