// Package tracker decides which backend servers there are, from what they announce of
// themselves: late, out of order, to any controller, and with addresses that are used
// again. It is pure.
package tracker

import (
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

// FinalSequence orders a departure after all other announcements of a start.
const FinalSequence = math.MaxUint64

// trustedSequence is the number of announcements after which a start that nobody knew
// may take over the address of one that is heard. An announcement that was held up by a
// cut comes from an earlier start and has a high number, but comes alone.
const trustedSequence = 3

// Tracker holds the backend servers. Set the exported fields before use.
type Tracker struct {
	// SilentAfter is the time without an announcement after which one counts as silent.
	SilentAfter time.Duration
	// ForgetAfter is the time after which one that left or is silent is forgotten.
	ForgetAfter time.Duration

	entries   map[string]*entry
	byAddress map[string]string
	// latest is the latest start of each name that tells when it began.
	latest   map[string]*entry
	revision uint64
}

type entry struct {
	info     *wire.Announcement
	heard    time.Time
	advances int
	revision uint64
}

// Observe takes an announcement. It reports whether it was news, which is to be passed on,
// and whether it changes what gateways have to know.
func (t *Tracker) Observe(now time.Time, a *wire.Announcement) (news, changed bool) {
	if t.entries == nil {
		t.entries, t.byAddress, t.latest = map[string]*entry{}, map[string]string{}, map[string]*entry{}
	}
	a = t.ofStart(now, a)
	if a == nil {
		return false, false
	}
	if a.GetGone() {
		return t.noteGone(now, a)
	}
	e := t.entries[a.GetId()]
	if e == nil {
		e = &entry{info: &wire.Announcement{}}
		t.enter(a, e)
	} else if a.GetSequence() <= e.info.GetSequence() {
		return false, false
	}
	before := e.info
	e.info = proto.CloneOf(a)
	e.info.Silent = false
	// A start that drains never becomes ready again.
	e.info.Draining = e.info.GetDraining() || before.GetDraining()
	e.heard = now
	e.advances++
	changed = t.takeAddress(now, e)
	if !sameForGateways(before, e.info) {
		t.touch(e)
		changed = true
	}
	return true, changed
}

// enter takes a start up that was not known.
func (t *Tracker) enter(a *wire.Announcement, e *entry) {
	t.entries[a.GetId()] = e
	if a.GetBornMs() > 0 {
		t.latest[a.GetName()] = e
	}
}

// ofStart returns an announcement with the start that it is of, or nil if that start is
// over. A backend server may keep its name when it starts again: the later start then
// ends the earlier one, and what that said last, though it may come later and with a
// higher number, changes nothing. Words that don't tell their start are of the latest.
func (t *Tracker) ofStart(now time.Time, a *wire.Announcement) *wire.Announcement {
	if a.GetName() == "" {
		a = proto.CloneOf(a)
		a.Name = a.GetId()
	}
	latest := t.latest[a.GetName()]
	switch {
	case latest == nil && a.GetBornMs() > 0:
		// The start may have been known before it told when it began.
		t.replace(now, t.entries[a.GetName()])
	case latest == nil || a.GetBornMs() == latest.info.GetBornMs():
	case a.GetBornMs() == 0:
		a = proto.CloneOf(a)
		a.Id, a.BornMs = latest.info.GetId(), latest.info.GetBornMs()
	case a.GetBornMs() < latest.info.GetBornMs():
		return nil
	default:
		t.replace(now, latest)
	}
	return a
}

// replace ends a start whose name a later one has.
func (t *Tracker) replace(now time.Time, e *entry) {
	if e == nil || e.info.GetReplaced() {
		return
	}
	e.info = proto.CloneOf(e.info)
	e.info.Gone, e.info.Replaced, e.info.Sequence = true, true, FinalSequence
	e.heard = now
	t.touch(e)
}

func (t *Tracker) noteGone(now time.Time, a *wire.Announcement) (news, changed bool) {
	e := t.entries[a.GetId()]
	if e == nil {
		// Nothing is known of it; the note keeps late announcements out.
		e = &entry{info: proto.CloneOf(a)}
		t.enter(a, e)
	} else if e.info.GetGone() {
		return false, false
	}
	e.info = proto.CloneOf(e.info)
	e.info.Gone, e.info.Draining, e.info.Sequence = true, true, FinalSequence
	e.heard = now
	t.touch(e)
	return true, true
}

// takeAddress gives an address to the start that announced itself there last, and ends
// the one that had it before.
func (t *Tracker) takeAddress(now time.Time, e *entry) bool {
	address := e.info.GetAddress()
	holder := t.byAddress[address]
	if holder == e.info.GetId() {
		return false
	}
	previous := t.entries[holder]
	if previous != nil && !previous.info.GetGone() {
		heard := now.Sub(previous.heard) < t.SilentAfter
		if heard && e.advances == 1 && e.info.GetSequence() > trustedSequence {
			return false
		}
		previous.info = proto.CloneOf(previous.info)
		previous.info.Gone = true
		t.touch(previous)
	}
	t.byAddress[address] = e.info.GetId()
	return true
}

// sameForGateways reports whether two announcements differ in nothing but the sequence
// and what an engine holds.
func sameForGateways(a, b *wire.Announcement) bool {
	return a.GetService() == b.GetService() && a.GetAddress() == b.GetAddress() && a.GetZone() == b.GetZone() &&
		a.GetSlots() == b.GetSlots() && a.GetDraining() == b.GetDraining() && a.GetGone() == b.GetGone() &&
		a.GetSilent() == b.GetSilent() && (a.GetRemainingMs() == 0) == (b.GetRemainingMs() == 0)
}

func (t *Tracker) touch(e *entry) {
	t.revision++
	e.revision = t.revision
}

// Tick lets time pass and reports whether something changed. A controller that hears
// nothing at all is cut off itself; its own silence says nothing.
func (t *Tracker) Tick(now time.Time) bool {
	if t.deaf(now) {
		return false
	}
	changed := false
	for id, e := range t.entries {
		silence := now.Sub(e.heard)
		if silence > t.ForgetAfter {
			delete(t.entries, id)
			if t.byAddress[e.info.GetAddress()] == id {
				delete(t.byAddress, e.info.GetAddress())
			}
			if t.latest[e.info.GetName()] == e {
				delete(t.latest, e.info.GetName())
			}
			continue
		}
		if silence > t.SilentAfter && !e.info.GetSilent() && !e.info.GetGone() {
			e.info = proto.CloneOf(e.info)
			e.info.Silent = true
			t.touch(e)
			changed = true
		}
	}
	return changed
}

func (t *Tracker) deaf(now time.Time) bool {
	for _, e := range t.entries {
		if !e.info.GetGone() && now.Sub(e.heard) <= t.SilentAfter {
			return false
		}
	}
	return true
}

// Revision grows with each change.
func (t *Tracker) Revision() uint64 { return t.revision }

// Since returns what changed after a revision, in the order of the changes.
func (t *Tracker) Since(revision uint64) []*wire.Announcement {
	var changed []*entry
	for _, e := range t.entries {
		if e.revision > revision {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *entry) int { return int(a.revision) - int(b.revision) })
	list := make([]*wire.Announcement, len(changed))
	for i, e := range changed {
		list[i] = e.info
	}
	return list
}

// Get returns what is known of a start, or nil.
func (t *Tracker) Get(id string) *wire.Announcement {
	if e := t.entries[id]; e != nil {
		return e.info
	}
	return nil
}

// All returns all starts that have not left, sorted by id.
func (t *Tracker) All() []*wire.Announcement {
	var list []*wire.Announcement
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		if info := t.entries[id].info; !info.GetGone() && info.GetAddress() != "" {
			list = append(list, info)
		}
	}
	return list
}
