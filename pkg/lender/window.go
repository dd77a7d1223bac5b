package lender

import "time"

// windowSlots is the number of parts in which a window is counted. What came in a part counts
// until all of the part is older than the window, so that the sum is never too low.
const windowSlots = 64

// window is a sum over the time that ends now. Set the length before use.
type window struct {
	length time.Duration
	slots  [windowSlots + 1]float64
	total  float64
	// last is the number of the slot that was added to last, counted from the Unix epoch.
	last int64
}

// add adds an amount that comes now.
func (w *window) add(now time.Time, amount float64) {
	w.pass(now)
	w.slots[w.last%int64(len(w.slots))] += amount
	w.total += amount
}

// addBefore adds an amount that came a time before now.
func (w *window) addBefore(now time.Time, age time.Duration, amount float64) {
	w.pass(now)
	slots := int64(age) / max(1, int64(w.length)/windowSlots)
	if slots > windowSlots {
		return
	}
	w.slots[(w.last-slots)%int64(len(w.slots))] += amount
	w.total += amount
}

// recentParts is the number of parts in which a window is told.
const recentParts = 8

// parts returns the window in equal parts, the latest first.
func (w *window) parts(now time.Time) []uint64 {
	if w.sum(now) <= 0 {
		return nil
	}
	list := make([]uint64, recentParts)
	for i := range windowSlots {
		slot := w.slots[(w.last-int64(i))%int64(len(w.slots))]
		list[i*recentParts/windowSlots] += uint64(max(0, slot))
	}
	return list
}

// addParts adds what parts told.
func (w *window) addParts(now time.Time, parts []uint64) {
	for i, amount := range parts {
		w.addBefore(now, w.length*time.Duration(i)/recentParts, float64(amount))
	}
}

// sum returns the sum of what came within the window.
func (w *window) sum(now time.Time) float64 {
	w.pass(now)
	return w.total
}

// pass drops what is older than the window.
func (w *window) pass(now time.Time) {
	at := now.UnixNano() / max(1, int64(w.length)/windowSlots)
	if at-w.last >= int64(len(w.slots)) {
		w.slots, w.total, w.last = [windowSlots + 1]float64{}, 0, at
		return
	}
	for w.last < at {
		w.last++
		slot := &w.slots[w.last%int64(len(w.slots))]
		w.total -= *slot
		*slot = 0
	}
}
