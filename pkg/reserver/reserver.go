// Package reserver bounds the memory that messages of all peers together hold in a process. Whoever keeps bytes of a
// message reserves them first. If there is no room, reservations of messages that are still arriving and make no progress
// or hold the most are revoked; otherwise the new one is refused.
package reserver

import (
	"sync"
	"sync/atomic"

	"github.com/jonboulle/clockwork"
)

// Pool is the memory that messages may hold. Set the exported fields before use; a nil pool grants everything.
type Pool struct {
	// Clock tells which messages make no progress. It is read for each part of a message, so that it should take no system
	// call; it need not count suspensions.
	Clock clockwork.Clock
	// Capacity is the size of the pool in bytes.
	Capacity int64

	mu sync.Mutex
	// released is signalled when memory was released.
	released *sync.Cond
	ledger   ledger
	stats    Stats
}

// Stats describes what a pool holds and has refused.
type Stats struct {
	// Used and Peak are the bytes that are reserved now and at most so far.
	Used, Peak int64
	// Refused and Revoked count reservations.
	Refused, Revoked int64
}

// Stats returns the pool's current state.
func (p *Pool) Stats() Stats {
	if p == nil {
		return Stats{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Used = p.ledger.used
	return s
}

// Open returns an empty reservation for a message that arrives. revoke is called when the reservation is revoked for
// others; it must not block, and the owner then releases the reservation.
func (p *Pool) Open(revoke func()) *Reservation {
	return &Reservation{pool: p, holder: holder{revoke: revoke}}
}

// open adds a reservation to the ledger. The caller holds the lock.
func (p *Pool) open(r *Reservation) {
	if p.released == nil {
		p.released = sync.NewCond(&p.mu)
		p.ledger = ledger{capacity: p.Capacity, holders: map[*holder]struct{}{}}
	}
	if !r.opened.Load() {
		r.opened.Store(true)
		r.holder.arriving = !r.complete.Load()
		p.ledger.add(&r.holder)
	}
}

// Reservation is the memory of one message. One goroutine at a time lets it grow; others may release it.
type Reservation struct {
	pool   *Pool
	holder holder
	// opened is set while it is in the ledger, and complete once the whole message has arrived.
	opened, complete atomic.Bool
}

// Grow reserves n more bytes, or fails with an error for which IsRefusal holds. It may wait until revoked
// reservations are released.
func (r *Reservation) Grow(n int64) error {
	p := r.pool
	if p == nil || n <= 0 {
		return nil
	}
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open(r)
	r.holder.progressAt = now
	for !r.holder.revoked {
		verdict, victims := p.ledger.grow(now, &r.holder, n)
		switch verdict {
		case granted:
			p.stats.Peak = max(p.stats.Peak, p.ledger.used)
			return nil
		case refused:
			p.stats.Refused++
			return fail(KindFull, "the memory for messages is used up")
		case postponed:
		}
		for _, v := range victims {
			p.stats.Revoked++
			v.revoke()
		}
		if len(victims) > 0 {
			// Those that wait themselves see that they were revoked.
			p.released.Broadcast()
		}
		p.released.Wait()
	}
	return fail(KindRevoked, "the reservation was revoked for others")
}

// Shrink returns n bytes.
func (r *Reservation) Shrink(n int64) {
	if r.pool == nil || !r.opened.Load() || n <= 0 {
		return
	}
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.pool.ledger.shrink(&r.holder, min(n, r.holder.size))
	r.pool.released.Broadcast()
}

// Progress records that bytes of the message arrived.
func (r *Reservation) Progress() {
	if r.pool == nil || !r.opened.Load() {
		return
	}
	now := r.pool.Clock.Now()
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.holder.progressAt = now
}

// Revoked reports whether the reservation was revoked for others.
func (r *Reservation) Revoked() bool {
	if r.pool == nil || !r.opened.Load() {
		return false
	}
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	return r.holder.revoked
}

// Complete records that the whole message has arrived. It returns false if the reservation was revoked; otherwise it can't
// be revoked from now on.
func (r *Reservation) Complete() bool {
	r.complete.Store(true)
	if r.pool == nil || !r.opened.Load() {
		return true
	}
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	r.holder.arriving = false
	return !r.holder.revoked
}

// Release returns all bytes. It may be called again; the reservation may be used for a further message.
func (r *Reservation) Release() {
	r.complete.Store(false)
	if r.pool == nil || !r.opened.Load() {
		return
	}
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	if !r.opened.Load() {
		// Another goroutine has released it meanwhile.
		return
	}
	r.opened.Store(false)
	r.pool.ledger.remove(&r.holder)
	r.holder.revoked = false
	r.pool.released.Broadcast()
}
