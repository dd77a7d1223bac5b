package tracker

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

func start() time.Time { return time.Unix(1000, 0) }

func newTracker() *Tracker {
	return &Tracker{SilentAfter: 4 * time.Second, ForgetAfter: time.Minute}
}

func at(id, address string, sequence uint64, change ...func(*wire.Announcement)) *wire.Announcement {
	a := &wire.Announcement{Id: id, Service: "s", Address: address, Sequence: sequence, Slots: 4}
	for _, c := range change {
		c(a)
	}
	return a
}

// born sets the name and the start time of an announcement.
func born(name string, ms uint64) func(*wire.Announcement) {
	return func(a *wire.Announcement) { a.Name, a.BornMs = name, ms }
}

// named sets the name of an announcement without a start time.
func named(name string) func(*wire.Announcement) {
	return func(a *wire.Announcement) { a.Id, a.Name = name, name }
}

func draining(a *wire.Announcement) { a.Draining = true }

// step is one announcement, or a departure, at a time after the start of the test.
type step struct {
	after time.Duration
	a     *wire.Announcement
}

func departing(a *wire.Announcement) { a.Gone = true }

func departed(id string) *wire.Announcement { return &wire.Announcement{Id: id, Gone: true} }

// state is "unknown", "ready", "draining", "silent" or "gone".
func state(a *wire.Announcement) string {
	switch {
	case a == nil:
		return "unknown"
	case a.GetGone():
		return "gone"
	case a.GetSilent():
		return "silent"
	case a.GetDraining():
		return "draining"
	}
	return "ready"
}

func TestAnnouncements(t *testing.T) {
	const second = time.Second
	for name, test := range map[string]struct {
		steps []step
		now   time.Duration
		want  map[string]string
	}{
		"an announcement": {
			[]step{{0, at("a", "x", 1)}}, second, map[string]string{"a": "ready"},
		},
		"a delayed one does not undo draining": {
			[]step{{0, at("a", "x", 5, draining)}, {second, at("a", "x", 4)}}, second, map[string]string{"a": "draining"},
		},
		"draining is not reversible": {
			[]step{{0, at("a", "x", 5, draining)}, {second, at("a", "x", 6)}}, second, map[string]string{"a": "draining"},
		},
		"a delayed one does not undo a departure": {
			[]step{{0, at("a", "x", 5)}, {second, departed("a")}, {2 * second, at("a", "x", 6)}}, 2 * second, map[string]string{"a": "gone"},
		},
		"a departure that arrives first": {
			[]step{{0, departed("a")}, {second, at("a", "x", 6)}}, second, map[string]string{"a": "gone"},
		},
		"silence": {
			[]step{{0, at("a", "x", 1)}, {0, at("b", "y", 1)}, {3 * second, at("b", "y", 2)}}, 5 * second,
			map[string]string{"a": "silent", "b": "ready"},
		},
		"silence of all is ignored": {
			[]step{{0, at("a", "x", 1)}, {0, at("b", "y", 1)}}, 10 * second, map[string]string{"a": "ready", "b": "ready"},
		},
		"announced again after silence": {
			[]step{{0, at("a", "x", 1)}, {0, at("b", "y", 1)}, {3 * second, at("b", "y", 2)}, {6 * second, at("a", "x", 2)}},
			6 * second, map[string]string{"a": "ready", "b": "ready"},
		},
		"a new incarnation at the address ends the old one": {
			[]step{{0, at("a", "x", 9)}, {second, at("b", "x", 1)}}, second, map[string]string{"a": "gone", "b": "ready"},
		},
		"a delayed one of an earlier incarnation does not": {
			[]step{{0, at("b", "x", 1)}, {second, at("a", "x", 40)}, {2 * second, at("b", "x", 2)}}, 2 * second,
			map[string]string{"b": "ready"},
		},
		"an incarnation whose first announcements were lost takes over with the next": {
			[]step{{0, at("a", "x", 9)}, {second, at("b", "x", 6)}, {2 * second, at("b", "x", 7)}}, 2 * second,
			map[string]string{"a": "gone", "b": "ready"},
		},
		"a later incarnation of a name ends the earlier, whatever its sequence": {
			[]step{{0, at("a~1", "x", 90, born("a", 1))}, {second, at("a~2", "x", 1, born("a", 2))}}, second,
			map[string]string{"a~1": "gone", "a~2": "ready"},
		},
		"also at another address": {
			[]step{{0, at("a~1", "x", 90, born("a", 1))}, {second, at("a~2", "y", 1, born("a", 2))}}, second,
			map[string]string{"a~1": "gone", "a~2": "ready"},
		},
		"also when its first announcements were lost": {
			[]step{{0, at("a~1", "x", 9, born("a", 1))}, {second, at("a~2", "x", 44, born("a", 2))}}, second,
			map[string]string{"a~1": "gone", "a~2": "ready"},
		},
		"delayed announcements of an earlier incarnation are ignored": {
			[]step{
				{0, at("a~1", "x", 9, born("a", 1))}, {second, at("a~2", "x", 1, born("a", 2))},
				{second, at("a~1", "x", 99, born("a", 1), draining)}, {second, at("a~1", "z", 100, born("a", 1))},
			}, second, map[string]string{"a~1": "gone", "a~2": "ready"},
		},
		"an unknown earlier incarnation is ignored": {
			[]step{{0, at("a~2", "x", 1, born("a", 2))}, {second, at("a~1", "x", 99, born("a", 1))}}, second,
			map[string]string{"a~1": "unknown", "a~2": "ready"},
		},
		"a delayed departure of an earlier incarnation is ignored": {
			[]step{{0, at("a~2", "x", 1, born("a", 2))}, {second, at("a~1", "", 0, born("a", 1), departing)}}, second,
			map[string]string{"a~2": "ready"},
		},
		"draining ends with its incarnation": {
			[]step{{0, at("a~1", "x", 9, born("a", 1), draining)}, {second, at("a~2", "x", 1, born("a", 2))}}, second,
			map[string]string{"a~2": "ready"},
		},
		"an incarnation that begins to report its start time": {
			[]step{{0, at("a", "x", 9)}, {second, at("a~2", "x", 1, born("a", 2))}}, second,
			map[string]string{"a": "gone", "a~2": "ready"},
		},
		"announcements without a start time belong to the latest": {
			[]step{{0, at("a~2", "x", 1, born("a", 2))}, {second, at("", "x", 2, named("a"), draining)}}, second,
			map[string]string{"a": "unknown", "a~2": "draining"},
		},
		"a departure without a start time belongs to the latest": {
			[]step{{0, at("a~2", "x", 1, born("a", 2))}, {second, departed("a")}}, second, map[string]string{"a~2": "gone"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tr := newTracker()
			for _, s := range test.steps {
				tr.Tick(start().Add(s.after))
				tr.Observe(start().Add(s.after), s.a)
			}
			tr.Tick(start().Add(test.now))
			for id, want := range test.want {
				c.Check(state(tr.Get(id)), qt.Equals, want, qt.Commentf("%s", id))
			}
		})
	}
}

// Only new announcements are forwarded, or controllers would forward them to each other
// endlessly; and gateways receive only changes that matter to them.
func TestNewAndChangedAnnouncements(t *testing.T) {
	c := qt.New(t)
	tr := newTracker()
	isNew, changed := tr.Observe(start(), at("a", "x", 1))
	c.Check([]bool{isNew, changed}, qt.DeepEquals, []bool{true, true})
	isNew, changed = tr.Observe(start(), at("a", "x", 1))
	c.Check([]bool{isNew, changed}, qt.DeepEquals, []bool{false, false})
	isNew, changed = tr.Observe(start(), at("a", "x", 2))
	c.Check([]bool{isNew, changed}, qt.DeepEquals, []bool{true, false})
	revision := tr.Revision()
	isNew, changed = tr.Observe(start(), at("a", "x", 3, draining))
	c.Check([]bool{isNew, changed}, qt.DeepEquals, []bool{true, true})
	c.Check(tr.Since(revision), qt.HasLen, 1)
	c.Check(tr.Since(tr.Revision()), qt.HasLen, 0)
}

func TestDepartedServersAreForgotten(t *testing.T) {
	c := qt.New(t)
	tr := newTracker()
	tr.Observe(start(), at("a", "x", 1))
	tr.Observe(start(), departed("a"))
	tr.Observe(start().Add(time.Minute), at("b", "y", 1))
	tr.Tick(start().Add(time.Minute + time.Second))
	c.Check(tr.Get("a"), qt.IsNil)
	c.Check(state(tr.Get("b")), qt.Equals, "ready")
	c.Check(tr.All(), qt.HasLen, 1)
}

// Runs on a replaced incarnation have ended; runs on one that has merely left continue.
func TestReplacedIncarnationsAreMarked(t *testing.T) {
	c := qt.New(t)
	tr := newTracker()
	tr.Observe(start(), at("a~1", "x", 1, born("a", 1)))
	tr.Observe(start(), at("b~1", "y", 1, born("b", 1)))
	revision := tr.Revision()
	tr.Observe(start(), at("a~2", "x", 1, born("a", 2)))
	tr.Observe(start(), departed("b"))
	replaced := map[string]bool{}
	for _, a := range tr.Since(revision) {
		replaced[a.GetId()] = a.GetReplaced()
	}
	c.Check(replaced, qt.DeepEquals, map[string]bool{"a~1": true, "a~2": false, "b~1": false})
}

// Gateways must learn the software version of an incarnation, also when it is announced late, and an
// announcement without one does not take it back.
func TestSoftwareVersionIsPassedOn(t *testing.T) {
	c := qt.New(t)
	y := newTracker()
	version := func(v string) func(*wire.Announcement) {
		return func(a *wire.Announcement) { a.SoftwareVersion = v }
	}
	y.Observe(start(), at("a", "x:1", 1))
	_, changed := y.Observe(start(), at("a", "x:1", 2, version("v1")))
	c.Check(changed, qt.IsTrue)
	_, changed = y.Observe(start(), at("a", "x:1", 3))
	c.Check(changed, qt.IsFalse)
	c.Check(y.Get("a").GetSoftwareVersion(), qt.Equals, "v1")
	// Another incarnation at the same address has a version of its own.
	y.Observe(start(), at("b", "x:1", 1, version("v2")))
	c.Check(y.Get("a").GetGone(), qt.IsTrue)
	c.Check(y.Get("a").GetSoftwareVersion(), qt.Equals, "v1")
	c.Check(y.Get("b").GetSoftwareVersion(), qt.Equals, "v2")
}
