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

// born makes an announcement that of a start of a name, which began at a time.
func born(name string, ms uint64) func(*wire.Announcement) {
	return func(a *wire.Announcement) { a.Name, a.BornMs = name, ms }
}

// named takes away from an announcement when its start began.
func named(name string) func(*wire.Announcement) {
	return func(a *wire.Announcement) { a.Id, a.Name = name, name }
}

func draining(a *wire.Announcement) { a.Draining = true }

// step is one announcement, or a departure, at a time after the start.
type step struct {
	after time.Duration
	a     *wire.Announcement
}

func leaving(a *wire.Announcement) { a.Gone = true }

func gone(id string) *wire.Announcement { return &wire.Announcement{Id: id, Gone: true} }

// state is "ready", "draining", "silent" or "gone".
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
		"one that announces itself": {
			[]step{{0, at("a", "x", 1)}}, second, map[string]string{"a": "ready"},
		},
		"a late one does not undo draining": {
			[]step{{0, at("a", "x", 5, draining)}, {second, at("a", "x", 4)}}, second, map[string]string{"a": "draining"},
		},
		"draining is not taken back": {
			[]step{{0, at("a", "x", 5, draining)}, {second, at("a", "x", 6)}}, second, map[string]string{"a": "draining"},
		},
		"a late one does not undo a departure": {
			[]step{{0, at("a", "x", 5)}, {second, gone("a")}, {2 * second, at("a", "x", 6)}}, 2 * second, map[string]string{"a": "gone"},
		},
		"a departure that comes first": {
			[]step{{0, gone("a")}, {second, at("a", "x", 6)}}, second, map[string]string{"a": "gone"},
		},
		"silence": {
			[]step{{0, at("a", "x", 1)}, {0, at("b", "y", 1)}, {3 * second, at("b", "y", 2)}}, 5 * second,
			map[string]string{"a": "silent", "b": "ready"},
		},
		"silence of all says nothing": {
			[]step{{0, at("a", "x", 1)}, {0, at("b", "y", 1)}}, 10 * second, map[string]string{"a": "ready", "b": "ready"},
		},
		"heard again": {
			[]step{{0, at("a", "x", 1)}, {0, at("b", "y", 1)}, {3 * second, at("b", "y", 2)}, {6 * second, at("a", "x", 2)}},
			6 * second, map[string]string{"a": "ready", "b": "ready"},
		},
		"a new start at the address ends the old one": {
			[]step{{0, at("a", "x", 9)}, {second, at("b", "x", 1)}}, second, map[string]string{"a": "gone", "b": "ready"},
		},
		"a late one of an earlier start does not": {
			[]step{{0, at("b", "x", 1)}, {second, at("a", "x", 40)}, {2 * second, at("b", "x", 2)}}, 2 * second,
			map[string]string{"b": "ready"},
		},
		"a start whose first announcements were lost takes over in the end": {
			[]step{{0, at("a", "x", 9)}, {second, at("b", "x", 6)}, {2 * second, at("b", "x", 7)}}, 2 * second,
			map[string]string{"a": "gone", "b": "ready"},
		},
		"a later start of a name ends the earlier, whatever its numbers": {
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
		"late words of an earlier start change nothing": {
			[]step{
				{0, at("a~1", "x", 9, born("a", 1))}, {second, at("a~2", "x", 1, born("a", 2))},
				{second, at("a~1", "x", 99, born("a", 1), draining)}, {second, at("a~1", "z", 100, born("a", 1))},
			}, second, map[string]string{"a~1": "gone", "a~2": "ready"},
		},
		"an unknown earlier start changes nothing": {
			[]step{{0, at("a~2", "x", 1, born("a", 2))}, {second, at("a~1", "x", 99, born("a", 1))}}, second,
			map[string]string{"a~1": "unknown", "a~2": "ready"},
		},
		"a late departure of an earlier start changes nothing": {
			[]step{{0, at("a~2", "x", 1, born("a", 2))}, {second, at("a~1", "", 0, born("a", 1), leaving)}}, second,
			map[string]string{"a~2": "ready"},
		},
		"draining ends with its start": {
			[]step{{0, at("a~1", "x", 9, born("a", 1), draining)}, {second, at("a~2", "x", 1, born("a", 2))}}, second,
			map[string]string{"a~2": "ready"},
		},
		"a start that began to tell": {
			[]step{{0, at("a", "x", 9)}, {second, at("a~2", "x", 1, born("a", 2))}}, second,
			map[string]string{"a": "gone", "a~2": "ready"},
		},
		"words that don't tell their start are of the latest": {
			[]step{{0, at("a~2", "x", 1, born("a", 2))}, {second, at("", "x", 2, named("a"), draining)}}, second,
			map[string]string{"a": "unknown", "a~2": "draining"},
		},
		"a departure that doesn't tell its start is of the latest": {
			[]step{{0, at("a~2", "x", 1, born("a", 2))}, {second, gone("a")}}, second, map[string]string{"a~2": "gone"},
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

// Only news are passed on, or controllers would pass the same on for ever; and gateways
// hear only of what matters to them.
func TestNewsAndChanges(t *testing.T) {
	c := qt.New(t)
	tr := newTracker()
	news, changed := tr.Observe(start(), at("a", "x", 1))
	c.Check([]bool{news, changed}, qt.DeepEquals, []bool{true, true})
	news, changed = tr.Observe(start(), at("a", "x", 1))
	c.Check([]bool{news, changed}, qt.DeepEquals, []bool{false, false})
	news, changed = tr.Observe(start(), at("a", "x", 2))
	c.Check([]bool{news, changed}, qt.DeepEquals, []bool{true, false})
	revision := tr.Revision()
	news, changed = tr.Observe(start(), at("a", "x", 3, draining))
	c.Check([]bool{news, changed}, qt.DeepEquals, []bool{true, true})
	c.Check(tr.Since(revision), qt.HasLen, 1)
	c.Check(tr.Since(tr.Revision()), qt.HasLen, 0)
}

func TestLeftOnesAreForgottenInTheEnd(t *testing.T) {
	c := qt.New(t)
	tr := newTracker()
	tr.Observe(start(), at("a", "x", 1))
	tr.Observe(start(), gone("a"))
	tr.Observe(start().Add(time.Minute), at("b", "y", 1))
	tr.Tick(start().Add(time.Minute + time.Second))
	c.Check(tr.Get("a"), qt.IsNil)
	c.Check(state(tr.Get("b")), qt.Equals, "ready")
	c.Check(tr.All(), qt.HasLen, 1)
}

// What ran on a start that was replaced has ended; on one that has merely left it goes on.
func TestReplacedStartsAreTold(t *testing.T) {
	c := qt.New(t)
	tr := newTracker()
	tr.Observe(start(), at("a~1", "x", 1, born("a", 1)))
	tr.Observe(start(), at("b~1", "y", 1, born("b", 1)))
	revision := tr.Revision()
	tr.Observe(start(), at("a~2", "x", 1, born("a", 2)))
	tr.Observe(start(), gone("b"))
	told := map[string]bool{}
	for _, a := range tr.Since(revision) {
		told[a.GetId()] = a.GetReplaced()
	}
	c.Check(told, qt.DeepEquals, map[string]bool{"a~1": true, "a~2": false, "b~1": false})
}
