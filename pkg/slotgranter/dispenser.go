// Package dispenser decides which requests get the slots of one backend server that many
// gateways share. It is pure: asks, ends and the time go in, grants and refusals come out.
//
// The load pattern that it answers: a load of about what the backend servers can do, or a
// little more. Without it each gateway sends what it has, the queue at the backend server
// stays full, and nearly every request is late though nearly all are served. Here as many
// are under way as there are slots, the others wait in the order in which they can be in
// time, and what can't be is refused at once.
package slotgranter

import (
	"cmp"
	"slices"
	"time"
)

const (
	// extraSlots are granted beyond the slots: the word that a request has ended takes time,
	// in which a slot would be idle.
	extraSlots = 1
	// firstService is the time of a request before any has ended.
	firstService = 20 * time.Millisecond
	// serviceMemory is the weight of the latest request in the time of one.
	serviceMemory = 0.1
	// probeEvery is the time without an end after which a request is let in that a backend server
	// seems too slow for, and probeMemory the weight of such a request in the time of one.
	probeEvery  = 500 * time.Millisecond
	probeMemory = 0.5
	// lateMargin times the time of a request must be left for one to count as able to be in time:
	// requests differ, and one that gets late has used a slot for little.
	lateMargin = 1.3
	// forgetFactor times the time of a request, and forgetAfter at least, is how long a request
	// counts as under way of whose end no word comes: its gateway may be lost.
	forgetFactor = 10
	forgetAfter  = time.Second
	// overloadMemory is how long requests that can't be in time are refused at once after one that
	// could have been was refused: they would wait in vain.
	overloadMemory = 300 * time.Millisecond
	// burstTime is how long an overload may last until it counts as persistent.
	burstTime = 200 * time.Millisecond
)

// Ask is a request that is to be sent to the backend server.
type Ask struct {
	// Key tells asks apart.
	Key string
	// Urgency is the request's priority; 0 goes first.
	Urgency uint32
	// InTimeUntil is until when its answer would be in time, and GiveUp when it is no use to
	// wait longer.
	InTimeUntil time.Time
	GiveUp      time.Time
	// Slots is the number of requests that the backend server runs at once.
	Slots int
	// Elsewhere is set if another backend server can be asked next.
	Elsewhere bool

	order uint64
}

// Dispenser holds what is known of the requests at one backend server. The zero value is
// ready for use.
type Dispenser struct {
	slots   int
	running map[string]time.Time
	waiting []Ask
	order   uint64
	// service is about the time of a request.
	service time.Duration
	// endedAt is when a request ended last.
	endedAt time.Time
	stats   Stats
	// overloadedUntil is until when requests that can't be in time are refused at once.
	overloadedUntil time.Time
	// overloadedSince is when that began.
	overloadedSince time.Time
}

// Stats count what became of asks since they were taken last.
type Stats struct {
	// Granted are asks that got a slot, and Late those of them that could not be in time.
	Granted, Late int
	// Refused are asks that were refused at once, Evicted those that were refused once they could
	// not be in time any more, and Withdrawn those that waited in vain.
	Refused, Evicted, Withdrawn int
	// Slow are asks that were sent elsewhere, since the backend server is too slow.
	Slow int
	// Expired are requests whose end was not reported.
	Expired int
	// Waiting and Running are the asks that wait and the requests that run now.
	Waiting, Running int
	// Service is about the time of a request.
	Service time.Duration
}

// TakeStats returns the statistics and begins anew.
func (d *Dispenser) TakeStats() Stats {
	s := d.stats
	s.Waiting, s.Running, s.Service = len(d.waiting), len(d.running), d.serviceTime()
	d.stats = Stats{}
	return s
}

// Add lets a request wait for a slot, and reports whether it does: one that would be late for
// what is ahead of it is refused at once.
func (d *Dispenser) Add(now time.Time, a Ask) bool {
	d.forget(now)
	if a.Elsewhere && d.TooSlow(now, a) {
		d.stats.Slow++
		return false
	}
	d.slots = max(1, a.Slots)
	d.order++
	a.order = d.order
	ahead := 0
	for _, other := range d.waiting {
		if d.before(now, other, a) {
			ahead++
		}
	}
	if !d.hasRoom(now, a, d.wait(ahead)) {
		d.stats.Refused++
		return false
	}
	d.waiting = append(d.waiting, a)
	return true
}

// TooSlow reports whether an answer would be late without any wait. Now and then it is false
// whatever the time of a request: only a run shows that the backend server is fast again.
func (d *Dispenser) TooSlow(now time.Time, a Ask) bool {
	return !d.canBeInTime(now, a) && !d.probeDue(now)
}

// probeDue reports whether no request has ended for a while, and none is under way.
func (d *Dispenser) probeDue(now time.Time) bool {
	return len(d.running) == 0 && len(d.waiting) == 0 && now.Sub(d.endedAt) >= probeEvery
}

// hasRoom reports whether a request may wait, for about a time.
func (d *Dispenser) hasRoom(now time.Time, a Ask, wait time.Duration) bool {
	if !d.canBeInTime(now, a) {
		return !now.Before(d.overloadedUntil) && now.Add(wait).Before(a.GiveUp)
	}
	if d.canBeInTime(now.Add(wait), a) && (wait <= d.serviceTime() || !d.overloadPersists(now)) {
		return true
	}
	if !now.Before(d.overloadedUntil) {
		d.overloadedSince = now
	}
	d.overloadedUntil = now.Add(overloadMemory)
	return false
}

// overloadPersists reports whether requests that could be in time are refused for longer than a
// burst lasts. A long queue serves no more of them then, and each of them later.
func (d *Dispenser) overloadPersists(now time.Time) bool {
	return now.Before(d.overloadedUntil) && now.Sub(d.overloadedSince) > burstTime
}

// wait returns about how long a request waits that has some ahead of it.
func (d *Dispenser) wait(ahead int) time.Duration {
	free := d.limit() - len(d.running)
	if ahead < free {
		return 0
	}
	return d.serviceTime() * time.Duration(ahead-free+1) / time.Duration(d.limit())
}

func (d *Dispenser) limit() int { return d.slots + extraSlots }

func (d *Dispenser) serviceTime() time.Duration {
	if d.service == 0 {
		return firstService
	}
	return d.service
}

// canBeInTime reports whether a request would probably be in time if it were sent at a time.
func (d *Dispenser) canBeInTime(sent time.Time, a Ask) bool {
	return !sent.Add(time.Duration(lateMargin * float64(d.serviceTime()))).After(a.InTimeUntil)
}

// before reports whether a request goes before another: those that can be in time before
// those that can't, the urgent ones first, and among equals the one with the least time.
func (d *Dispenser) before(now time.Time, a, other Ask) bool {
	return d.compare(now, a, other) < 0
}

func (d *Dispenser) compare(now time.Time, a, other Ask) int {
	if one, two := d.canBeInTime(now, a), d.canBeInTime(now, other); one != two {
		if one {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Urgency, other.Urgency), a.InTimeUntil.Compare(other.InTimeUntil), cmp.Compare(a.order, other.order))
}

// Withdraw takes back an ask that waits, and reports whether it did.
func (d *Dispenser) Withdraw(key string) bool {
	before := len(d.waiting)
	d.waiting = slices.DeleteFunc(d.waiting, func(a Ask) bool { return a.Key == key })
	if len(d.waiting) == before {
		return false
	}
	d.stats.Withdrawn++
	return true
}

// End notes that a request is no longer under way; ran says that the backend server has
// answered it.
func (d *Dispenser) End(now time.Time, key string, ran bool) {
	at, ok := d.running[key]
	if !ok {
		return
	}
	delete(d.running, key)
	if !ran {
		return
	}
	weight := serviceMemory
	if at.Sub(d.endedAt) >= probeEvery {
		weight = probeMemory
	}
	d.service = d.serviceTime() + time.Duration(weight*float64(now.Sub(at)-d.serviceTime()))
	d.endedAt = now
}

// Evict returns the asks that have waited until they can't be in time any more, and takes them
// back, while others are refused that could be.
func (d *Dispenser) Evict(now time.Time) []Ask {
	if !now.Before(d.overloadedUntil) {
		return nil
	}
	var evicted []Ask
	d.waiting = slices.DeleteFunc(d.waiting, func(a Ask) bool {
		late := !d.canBeInTime(now, a)
		if late {
			evicted = append(evicted, a)
		}
		return late
	})
	d.stats.Evicted += len(evicted)
	return evicted
}

// Next returns the requests that may be sent now.
func (d *Dispenser) Next(now time.Time) []Ask {
	d.forget(now)
	if len(d.waiting) == 0 || len(d.running) >= d.limit() {
		return nil
	}
	slices.SortFunc(d.waiting, func(a, b Ask) int { return d.compare(now, a, b) })
	n := min(len(d.waiting), d.limit()-len(d.running))
	granted := slices.Clone(d.waiting[:n])
	d.waiting = slices.Delete(d.waiting, 0, n)
	if d.running == nil {
		d.running = map[string]time.Time{}
	}
	for _, a := range granted {
		d.stats.Granted++
		if !d.canBeInTime(now, a) {
			d.stats.Late++
		}
		d.running[a.Key] = now
	}
	return granted
}

// forget drops requests of whose end no word has come.
func (d *Dispenser) forget(now time.Time) {
	for key, at := range d.running {
		if now.Sub(at) > max(forgetAfter, forgetFactor*d.serviceTime()) {
			delete(d.running, key)
			d.stats.Expired++
		}
	}
}

// Backlog returns about how long a further request would wait.
func (d *Dispenser) Backlog() time.Duration { return d.wait(len(d.waiting)) }

// Idle reports whether nothing is under way and nothing waits.
func (d *Dispenser) Idle() bool { return len(d.running) == 0 && len(d.waiting) == 0 }
