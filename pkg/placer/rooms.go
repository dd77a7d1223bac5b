package placer

import (
	"slices"
	"time"
)

// findRooms notes for each engine what it costs to place another adapter there: nothing in
// a free place, else about the probability that the adapter which goes is asked for again
// within a second. Rare adapters then take the places of rare ones, wherever these are, and
// not of those that happen to be at the engine that is least busy.
func (p *Placer) findRooms(now time.Time) {
	for _, e := range p.engines {
		e.rooms = e.rooms[:0]
		if !e.takesOrders() {
			continue
		}
		for range p.slots(e) - len(e.places) {
			e.rooms = append(e.rooms, 0)
		}
		for adapter, held := range e.places {
			switch held.state {
			case leaving, dropping:
				e.rooms = append(e.rooms, 0)
			case ready:
				if !e.use.Adapters[adapter] {
					e.rooms = append(e.rooms, min(1, p.rate(now, adapter)))
				}
			case loading:
			}
		}
		slices.Sort(e.rooms)
	}
}

// room returns the cost of the place that the next adapter would take which is queued.
func (e *engine) room() float64 {
	if n := len(e.queue); n < len(e.rooms) {
		return e.rooms[n]
	}
	return 1
}

// rate returns the requests a second for an adapter at each of the engines that hold it.
func (p *Placer) rate(now time.Time, adapter string) float64 {
	rate := p.Rate(now, adapter)
	if n, _ := p.copies(adapter); n > 1 {
		rate /= float64(n)
	}
	return rate
}
