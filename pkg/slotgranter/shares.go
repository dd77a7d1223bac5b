package slotgranter

import (
	"slices"
	"time"

	"bronzelead.example/pkg/sharer"
)

// updateExcess updates the excess of the waiting requests.
func (g *Granter) updateExcess() {
	for i := range g.waiting {
		g.waiting[i].excess = g.shares.Excess(g.waiting[i].Customer)
	}
}

// displace refuses the waiting requests of customers above their shares that would be too late
// because an added request goes before them. They would otherwise be refused only once they
// can't be on time.
func (g *Granter) displace(now time.Time, added GrantRequest) {
	for {
		last := -1
		for i, a := range g.waiting {
			if a.excess > 0 && g.canBeOnTime(now, a) && (last < 0 || g.before(now, g.waiting[last], a)) {
				last = i
			}
		}
		if last < 0 || !g.before(now, added, g.waiting[last]) {
			return
		}
		a := g.waiting[last]
		if g.mayWait(now, a, g.expectedWait(g.ahead(now, a))) {
			return
		}
		g.waiting = slices.Delete(g.waiting, last, last+1)
		g.displaced = append(g.displaced, a)
		g.stats.Evicted++
		g.countAboveShare(a)
	}
}

// countAboveShare counts a refused request if its customer is above its share.
func (g *Granter) countAboveShare(a GrantRequest) {
	if a.excess > 0 {
		g.stats.AboveShare++
		g.shares.Refuse(a.Customer)
	}
}

// TakeAboveShare returns the customers above their shares, and the numbers of their refused
// requests since the last call.
func (g *Granter) TakeAboveShare(now time.Time) []sharer.Status { return g.shares.TakeAboveShare(now) }
