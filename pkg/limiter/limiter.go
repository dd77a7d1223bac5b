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
	// frozen holds sessions whose shares are not yet known.
	frozen map[SessionID]bool
}

type customer struct {
	limit  uint32
	shares map[SessionID]*share
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

// Expect notes a session that may hold shares which aren't known. Until it has
// reported or is forgotten no share of any customer grows.
func (l *Limiter) Expect(id SessionID) {
	if l.frozen == nil {
		l.frozen = map[SessionID]bool{}
	}
	l.frozen[id] = true
}

// Reported notes that all of a session's shares are known.
func (l *Limiter) Reported(id SessionID) { delete(l.frozen, id) }

// Forget drops all that a session had.
func (l *Limiter) Forget(id SessionID) {
	delete(l.frozen, id)
	for _, c := range l.customers {
		delete(c.shares, id)
	}
}

// Reset takes a session's full list of demands for all that it holds.
func (l *Limiter) Reset(id SessionID, demands []Demand) {
	named := map[string]bool{}
	for _, d := range demands {
		named[d.Customer] = true
		c := l.customer(d.Customer)
		c.share(id).granted = d.Held
	}
	for name, c := range l.customers {
		if !named[name] {
			delete(c.shares, id)
		}
	}
	l.Reported(id)
}

// Report takes a session's demand and returns its share from now on. A share
// below what the session holds asks it to hand back what it does not use.
func (l *Limiter) Report(now time.Time, id SessionID, d Demand) uint32 {
	c := l.customer(d.Customer)
	s := c.share(id)
	s.granted = min(s.granted, d.Held)
	s.wanted = d.Wanted
	if s.wanted == 0 && s.granted == 0 {
		delete(c.shares, id)
		return 0
	}
	target := c.target(s)
	if len(l.frozen) == 0 && target > s.granted {
		s.granted += min(target-s.granted, c.free(s))
	}
	s.noteStarving(now)
	if target < s.granted {
		return target
	}
	return s.granted
}

// Reductions returns the customers of which a session has to hand back a part,
// with the share that it may keep. It does so only while others want more.
func (l *Limiter) Reductions(id SessionID) []Demand {
	var reductions []Demand
	for name, c := range l.customers {
		s := c.shares[id]
		if s == nil || s.granted == 0 || !c.contended() {
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
func (c *customer) contended() bool {
	for _, s := range c.shares {
		if s.wanted > s.granted {
			return true
		}
	}
	return c.sum() > c.limit
}

// Share returns what a session may use of a customer's limit.
func (l *Limiter) Share(id SessionID, name string) uint32 {
	if c := l.customers[name]; c != nil && c.shares[id] != nil {
		return c.shares[id].granted
	}
	return 0
}

// Sum returns all shares of a customer together.
func (l *Limiter) Sum(name string) uint32 { return l.customer(name).sum() }

func (l *Limiter) customer(name string) *customer {
	if l.customers == nil {
		l.customers = map[string]*customer{}
	}
	c := l.customers[name]
	if c == nil {
		c = &customer{shares: map[SessionID]*share{}}
		l.customers[name] = c
	}
	return c
}

func (c *customer) share(id SessionID) *share {
	s := c.shares[id]
	if s == nil {
		s = &share{}
		c.shares[id] = s
	}
	return s
}

func (c *customer) sum() uint32 {
	var sum uint32
	for _, s := range c.shares {
		sum += s.granted
	}
	return sum
}

// free returns what can be given to s: the rest of the limit, less one for each
// session that has starved for longer.
func (c *customer) free(s *share) uint32 {
	used := c.sum()
	for _, other := range c.shares {
		older := !other.starving.IsZero() && (s.starving.IsZero() || other.starving.Before(s.starving))
		if other != s && older && other.granted == 0 {
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
	var wanted, starved uint32
	for _, other := range c.shares {
		wanted += other.wanted
		if other.wanted > other.granted && other.granted == 0 {
			starved++
		}
	}
	equal := c.limit / uint32(len(c.shares))
	switch {
	case wanted <= c.limit:
		return min(c.limit, max(s.wanted, equal))
	case equal > 0:
		return min(s.wanted, equal)
	case starved > 0 && s.granted > 0:
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
