// Package windowcounter sums amounts over a sliding window that ends now. It has no side
// effects. The quotaallocator and the throttler use it.
package windowcounter

import "time"

const (
	// slotsPerWindow is the number of slots in a window. A slot counts until all of it is older
	// than the window, so that the sum is never too low.
	slotsPerWindow = 64
	// partsPerWindow is the number of parts in which a window is sent to another instance.
	partsPerWindow = 8
)

// Window is a sum over a sliding window. Set the length before use.
type Window struct {
	Length time.Duration

	slots [slotsPerWindow + 1]float64
	total float64
	// lastSlot is the number of the latest slot, counted from the Unix epoch.
	lastSlot int64
}

// Add adds an amount at the current time.
func (w *Window) Add(now time.Time, amount float64) {
	w.advance(now)
	w.slots[w.lastSlot%int64(len(w.slots))] += amount
	w.total += amount
}

// addBefore adds an amount of a given age.
func (w *Window) addBefore(now time.Time, age time.Duration, amount float64) {
	w.advance(now)
	slots := int64(age) / max(1, int64(w.Length)/slotsPerWindow)
	if slots > slotsPerWindow {
		return
	}
	w.slots[(w.lastSlot-slots)%int64(len(w.slots))] += amount
	w.total += amount
}

// Parts returns the sums of equal parts of the window, the latest first; nil if it is empty.
func (w *Window) Parts(now time.Time) []uint64 {
	if w.Sum(now) <= 0 {
		return nil
	}
	list := make([]uint64, partsPerWindow)
	for i := range slotsPerWindow {
		slot := w.slots[(w.lastSlot-int64(i))%int64(len(w.slots))]
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

// Sum returns the sum over the window.
func (w *Window) Sum(now time.Time) float64 {
	w.advance(now)
	return w.total
}

// advance drops slots that are older than the window.
func (w *Window) advance(now time.Time) {
	at := now.UnixNano() / max(1, int64(w.Length)/slotsPerWindow)
	if at-w.lastSlot >= int64(len(w.slots)) {
		w.slots, w.total, w.lastSlot = [slotsPerWindow + 1]float64{}, 0, at
		return
	}
	for w.lastSlot < at {
		w.lastSlot++
		slot := &w.slots[w.lastSlot%int64(len(w.slots))]
		w.total -= *slot
		*slot = 0
	}
}
