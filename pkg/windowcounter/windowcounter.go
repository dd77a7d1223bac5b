// Package windower counts what came within the time that ends now. It is pure. The lender
// and the throttler count by it.
package windowcounter

import "time"

const (
	// slotsPerWindow is the number of parts in which a window is counted. What came in a part
	// counts until all of the part is older than the window, so that the sum is never too low.
	slotsPerWindow = 64
	// partsPerWindow is the number of parts in which a window is passed on.
	partsPerWindow = 8
)

// Window is a sum over the time that ends now. Set the length before use.
type Window struct {
	Length time.Duration

	slots [slotsPerWindow + 1]float64
	total float64
	// last is the number of the slot that was added to last, counted from the Unix epoch.
	last int64
}

// Add adds an amount that comes now.
func (w *Window) Add(now time.Time, amount float64) {
	w.pass(now)
	w.slots[w.last%int64(len(w.slots))] += amount
	w.total += amount
}

// addBefore adds an amount that came a time before now.
func (w *Window) addBefore(now time.Time, age time.Duration, amount float64) {
	w.pass(now)
	slots := int64(age) / max(1, int64(w.Length)/slotsPerWindow)
	if slots > slotsPerWindow {
		return
	}
	w.slots[(w.last-slots)%int64(len(w.slots))] += amount
	w.total += amount
}

// Parts returns the window in equal parts, the latest first; nil if it is empty.
func (w *Window) Parts(now time.Time) []uint64 {
	if w.Sum(now) <= 0 {
		return nil
	}
	list := make([]uint64, partsPerWindow)
	for i := range slotsPerWindow {
		slot := w.slots[(w.last-int64(i))%int64(len(w.slots))]
		list[i*partsPerWindow/slotsPerWindow] += uint64(max(0, slot))
	}
	return list
}

// AddParts adds the parts of another window.
func (w *Window) AddParts(now time.Time, parts []uint64) {
	for i, amount := range parts {
		w.addBefore(now, w.Length*time.Duration(i)/partsPerWindow, float64(amount))
	}
}

// Sum returns the sum of what came within the window.
func (w *Window) Sum(now time.Time) float64 {
	w.pass(now)
	return w.total
}

// pass drops what is older than the window.
func (w *Window) pass(now time.Time) {
	at := now.UnixNano() / max(1, int64(w.Length)/slotsPerWindow)
	if at-w.last >= int64(len(w.slots)) {
		w.slots, w.total, w.last = [slotsPerWindow + 1]float64{}, 0, at
		return
	}
	for w.last < at {
		w.last++
		slot := &w.slots[w.last%int64(len(w.slots))]
		w.total -= *slot
		*slot = 0
	}
}
