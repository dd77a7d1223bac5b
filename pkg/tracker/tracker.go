// Package tracker maintains the set of backend servers from their announcements, which may be
// delayed, reordered, sent to any controller, and carry reused addresses. It is pure.
package tracker

import (
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"bronzelead.example/pkg/wire"
)

// FinalSequence orders a departure after all other announcements of an incarnation.
const FinalSequence = math.MaxUint64

// maxFirstSequence is the highest sequence with which the first announcement received from an
// incarnation may take over the address of an active one. An announcement that a network
// partition delayed has a high sequence from an earlier incarnation, but comes alone.
const maxFirstSequence = 3

// Tracker holds the backend servers. Set the exported fields before use.
type Tracker struct {
	// SilentAfter is the time without an announcement after which a server counts as silent.
	SilentAfter time.Duration
	// ForgetAfter is the time after which a departed or silent server is forgotten.
	ForgetAfter time.Duration

	entries   map[string]*entry
	byAddress map[string]string
	// latest is the latest incarnation of each name that reports its start time.
	latest   map[string]*entry
	revision uint64
}

type entry struct {
	info          *wire.Announcement
	lastContactAt time.Time
	accepted      int
	revision      uint64
	// recordedOnly is set while the incarnation is known from the log only.
	recordedOnly bool
}

func (t *Tracker) init() {
	if t.entries == nil {
		t.entries, t.byAddress, t.latest = map[string]*entry{}, map[string]string{}, map[string]*entry{}
	}
}

// Observe takes an announcement. It reports whether it was new, and is to be forwarded, and
// whether it changes what gateways must know.
func (t *Tracker) Observe(now time.Time, a *wire.Announcement) (isNew, changed bool) {
	t.init()
	a = t.resolveIncarnation(now, a)
	if a == nil {
		return false, false
	}
	if a.GetGone() {
		return t.observeDeparture(now, a)
	}
	e := t.entries[a.GetId()]
	if e == nil {
		e = &entry{info: &wire.Announcement{}}
		t.addEntry(a, e)
	} else if a.GetSequence() <= e.info.GetSequence() {
		return false, false
	}
	before := e.info
	e.info = proto.CloneOf(a)
	e.info.Silent = false
	// An incarnation that drains never becomes ready again.
	e.info.Draining = e.info.GetDraining() || before.GetDraining()
	if e.info.GetSoftwareVersion() == "" {
		e.info.SoftwareVersion = before.GetSoftwareVersion()
	}
	e.lastContactAt, e.recordedOnly = now, false
	e.accepted++
	changed = t.assignAddress(now, e)
	if !sameForGateways(before, e.info) {
		t.touch(e)
		changed = true
	}
	return true, changed
}

// LaterThan returns what is known of the backend server of an announcement, if that is later; else nil.
func (t *Tracker) LaterThan(a *wire.Announcement) *wire.Announcement {
	e := t.entries[a.GetId()]
	if e == nil || e.info.GetSequence() <= a.GetSequence() {
		return nil
	}
	return e.info
}

// ObserveLeaving records that an incarnation has announced to a gateway that it leaves. It reports
// whether that was not known from its announcements.
func (t *Tracker) ObserveLeaving(id string) bool {
	e := t.entries[id]
	if e == nil || e.info.GetGone() || e.info.GetDraining() {
		return false
	}
	e.info = proto.CloneOf(e.info)
	e.info.Draining = true
	t.touch(e)
	return true
}

// ObserveRecorded takes the announcement of a departure that is recorded in the log. It reports whether that was not
// known. The record may be of any age, so that an unknown incarnation takes no address by it, and one without a start
// time does not stand for a later incarnation of its name.
func (t *Tracker) ObserveRecorded(now time.Time, a *wire.Announcement) bool {
	t.init()
	if latest := t.latest[a.GetName()]; latest != nil && a.GetBornMs() < latest.info.GetBornMs() {
		return false
	}
	a = t.resolveIncarnation(now, a)
	e := t.entries[a.GetId()]
	if e == nil {
		e = &entry{info: proto.CloneOf(a), lastContactAt: now, recordedOnly: true}
		t.addEntry(a, e)
		t.touch(e)
		return true
	}
	if e.info.GetGone() || e.info.GetDraining() && !a.GetGone() {
		return false
	}
	e.info = proto.CloneOf(e.info)
	e.info.Draining, e.info.Gone = true, a.GetGone()
	e.info.Sequence = max(e.info.GetSequence(), a.GetSequence())
	t.touch(e)
	return true
}

// Departure returns what is known of the backend server of an announcement, if it leaves or has left; else nil.
func (t *Tracker) Departure(a *wire.Announcement) *wire.Announcement {
	id := a.GetId()
	if latest := t.latest[a.GetName()]; latest != nil && a.GetBornMs() == 0 {
		id = latest.info.GetId()
	}
	info := t.Get(id)
	if info.GetReplaced() || !info.GetDraining() && !info.GetGone() {
		return nil
	}
	return info
}

// addEntry adds an unknown incarnation.
func (t *Tracker) addEntry(a *wire.Announcement, e *entry) {
	t.entries[a.GetId()] = e
	if a.GetBornMs() > 0 {
		t.latest[a.GetName()] = e
	}
}

// resolveIncarnation returns an announcement with its incarnation filled in, or nil if that
// incarnation has been replaced. A backend server may keep its name across restarts: the later
// incarnation then ends the earlier one, whose delayed announcements are ignored even with a
// higher sequence. Announcements without a start time belong to the latest incarnation.
func (t *Tracker) resolveIncarnation(now time.Time, a *wire.Announcement) *wire.Announcement {
	if a.GetName() == "" {
		a = proto.CloneOf(a)
		a.Name = a.GetId()
	}
	latest := t.latest[a.GetName()]
	switch {
	case latest == nil && a.GetBornMs() > 0:
		// The incarnation may have been known before it reported its start time.
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

// replace ends an incarnation whose name a later one has.
func (t *Tracker) replace(now time.Time, e *entry) {
	if e == nil || e.info.GetReplaced() {
		return
	}
	e.info = proto.CloneOf(e.info)
	e.info.Gone, e.info.Replaced, e.info.Sequence = true, true, FinalSequence
	e.lastContactAt = now
	t.touch(e)
}

func (t *Tracker) observeDeparture(now time.Time, a *wire.Announcement) (isNew, changed bool) {
	e := t.entries[a.GetId()]
	if e == nil {
		// The incarnation is unknown; the entry keeps delayed announcements out.
		e = &entry{info: proto.CloneOf(a)}
		t.addEntry(a, e)
	} else if e.info.GetGone() {
		return false, false
	}
	e.info = proto.CloneOf(e.info)
	e.info.Gone, e.info.Draining, e.info.Sequence = true, true, FinalSequence
	e.lastContactAt = now
	t.touch(e)
	return true, true
}

// assignAddress assigns an address to the incarnation that announced itself there last, and
// ends the previous one.
func (t *Tracker) assignAddress(now time.Time, e *entry) bool {
	address := e.info.GetAddress()
	holder := t.byAddress[address]
	if holder == e.info.GetId() {
		return false
	}
	previous := t.entries[holder]
	if previous != nil && !previous.info.GetGone() {
		active := now.Sub(previous.lastContactAt) < t.SilentAfter
		if active && e.accepted == 1 && e.info.GetSequence() > maxFirstSequence {
			return false
		}
		previous.info = proto.CloneOf(previous.info)
		previous.info.Gone = true
		t.touch(previous)
	}
	t.byAddress[address] = e.info.GetId()
	return true
}

// sameForGateways reports whether two announcements differ in nothing but the sequence and the
// holdings of an engine.
func sameForGateways(a, b *wire.Announcement) bool {
	return a.GetService() == b.GetService() && a.GetAddress() == b.GetAddress() && a.GetZone() == b.GetZone() &&
		a.GetSlots() == b.GetSlots() && a.GetDraining() == b.GetDraining() && a.GetGone() == b.GetGone() &&
		a.GetSoftwareVersion() == b.GetSoftwareVersion() &&
		a.GetSilent() == b.GetSilent() && (a.GetRemainingMs() == 0) == (b.GetRemainingMs() == 0)
}

func (t *Tracker) touch(e *entry) {
	t.revision++
	e.revision = t.revision
}

// Tick marks silent backend servers and drops expired ones; it reports whether any became
// silent. A controller that receives no announcements at all is itself partitioned and marks
// none.
func (t *Tracker) Tick(now time.Time) bool {
	if t.Partitioned(now) {
		return false
	}
	changed := false
	for id, e := range t.entries {
		silence := now.Sub(e.lastContactAt)
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

// Partitioned reports whether nothing was received from any backend server for the time after which one
// counts as silent.
func (t *Tracker) Partitioned(now time.Time) bool {
	for _, e := range t.entries {
		if !e.info.GetGone() && !e.recordedOnly && now.Sub(e.lastContactAt) <= t.SilentAfter {
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

// Get returns the last announcement of an incarnation, or nil.
func (t *Tracker) Get(id string) *wire.Announcement {
	if e := t.entries[id]; e != nil {
		return e.info
	}
	return nil
}

// All returns all incarnations that have not left, sorted by id.
func (t *Tracker) All() []*wire.Announcement {
	var list []*wire.Announcement
	for _, id := range slices.Sorted(maps.Keys(t.entries)) {
		if info := t.entries[id].info; !info.GetGone() && info.GetAddress() != "" {
			list = append(list, info)
		}
	}
	return list
}
