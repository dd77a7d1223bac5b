package reserver

import (
	"slices"
	"time"
)

const (
	// smallBytes is the size up to which a reservation may use the whole capacity. Larger ones leave room for these.
	smallBytes = 64 << 10
	// smallShareDivisor sets the part of the capacity that is kept for small reservations, as a divisor.
	smallShareDivisor = 4
	// stallTime is the time without a byte after which a message that is still arriving is revoked first.
	stallTime = 500 * time.Millisecond
)

// holder is a reservation in the ledger.
type holder struct {
	size int64
	// arriving is set until the whole message has arrived; only then it can be revoked.
	arriving bool
	// revoked is set from its revocation for others until it is released.
	revoked bool
	// progressAt is when bytes of it arrived last.
	progressAt time.Time
	// revoke tells its owner to release it.
	revoke func()
}

// verdict is the decision on a reservation that grows.
type verdict int

const (
	granted verdict = iota + 1
	refused
	// postponed means that others were revoked; the caller asks again once one is released.
	postponed
)

// ledger adds up what the reservations hold and decides which of them are revoked. It has no side effects.
type ledger struct {
	capacity int64
	used     int64
	// releasing is the part of used that belongs to revoked reservations.
	releasing int64
	holders   map[*holder]struct{}
}

// grow decides whether a reservation may grow, and returns the reservations that are revoked for it.
func (l *ledger) grow(now time.Time, h *holder, n int64) (verdict, []*holder) {
	limit := l.capacity
	if h.size+n > smallBytes {
		limit -= l.capacity / smallShareDivisor
	}
	missing := l.used + n - limit
	if missing <= 0 {
		h.size += n
		l.used += n
		return granted, nil
	}
	missing -= l.releasing
	if missing <= 0 {
		return postponed, nil
	}
	victims := l.victims(now, h, n, missing)
	if victims == nil {
		return refused, nil
	}
	for _, v := range victims {
		v.revoked = true
		l.releasing += v.size
	}
	return postponed, victims
}

// victims returns the reservations to revoke for one that grows by n: those that make no progress, then those that
// would still be larger, the largest first. It returns nil if they don't hold what is missing.
func (l *ledger) victims(now time.Time, h *holder, n, missing int64) []*holder {
	stalled := func(v *holder) bool { return now.Sub(v.progressAt) >= stallTime }
	var list []*holder
	total := int64(0)
	for v := range l.holders {
		if v != h && v.arriving && !v.revoked && v.size > 0 && (stalled(v) || v.size > h.size+n) {
			list = append(list, v)
			total += v.size
		}
	}
	if total < missing {
		return nil
	}
	slices.SortFunc(list, func(a, b *holder) int {
		if stalled(a) != stalled(b) {
			if stalled(a) {
				return -1
			}
			return 1
		}
		return int(b.size - a.size)
	})
	for i, v := range list {
		missing -= v.size
		if missing <= 0 {
			return list[:i+1]
		}
	}
	return list
}

// shrink returns a part of a reservation.
func (l *ledger) shrink(h *holder, n int64) {
	h.size -= n
	l.used -= n
	if h.revoked {
		l.releasing -= n
	}
}

func (l *ledger) add(h *holder) { l.holders[h] = struct{}{} }

func (l *ledger) remove(h *holder) {
	l.shrink(h, h.size)
	delete(l.holders, h)
}
