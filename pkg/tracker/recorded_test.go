package tracker

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

// A record of the log may be older than what is known: it must neither bring an incarnation back nor concern another one.
func TestRecordedDepartures(t *testing.T) {
	for name, test := range map[string]struct {
		before   []*wire.Announcement
		recorded *wire.Announcement
		after    []*wire.Announcement
		want     map[string]string
		changes  bool
	}{
		"of a ready one": {
			[]*wire.Announcement{at("a", "x", 5)}, at("a", "x", 6, draining), nil, map[string]string{"a": "draining"}, true,
		},
		"of one that has announced more since": {
			[]*wire.Announcement{at("a", "x", 9)}, at("a", "x", 6, draining), nil, map[string]string{"a": "draining"}, true,
		},
		"of one that has gone": {
			[]*wire.Announcement{at("a", "x", 5)}, &wire.Announcement{Id: "a", Name: "a", Gone: true, Draining: true, Sequence: FinalSequence},
			nil, map[string]string{"a": "gone"}, true,
		},
		"of a draining one that has gone since": {
			[]*wire.Announcement{at("a", "x", 5), departed("a")}, at("a", "x", 4, draining), nil, map[string]string{"a": "gone"}, false,
		},
		"known already": {
			[]*wire.Announcement{at("a", "x", 5, draining)}, at("a", "x", 5, draining), nil, map[string]string{"a": "draining"}, false,
		},
		"of an unknown one, then a delayed announcement": {
			nil, at("a", "x", 5, draining), []*wire.Announcement{at("a", "x", 4)}, map[string]string{"a": "draining"}, true,
		},
		"of an unknown one, then a later announcement": {
			nil, at("a", "x", 5, draining), []*wire.Announcement{at("a", "x", 6)}, map[string]string{"a": "draining"}, true,
		},
		"of an unknown one whose address another one has": {
			[]*wire.Announcement{at("b", "x", 1)}, at("a", "x", 5, draining), []*wire.Announcement{at("b", "x", 2)},
			map[string]string{"a": "draining", "b": "ready"}, true,
		},
		"of an earlier incarnation of a name": {
			[]*wire.Announcement{at("n~2", "x", 1, born("n", 2))}, at("n~1", "x", 5, born("n", 1), draining), nil,
			map[string]string{"n~2": "ready", "n~1": "unknown"}, false,
		},
		"of a name without a start time": {
			[]*wire.Announcement{at("n~2", "x", 1, born("n", 2))}, &wire.Announcement{Id: "n", Name: "n", Gone: true}, nil,
			map[string]string{"n~2": "ready", "n": "unknown"}, false,
		},
		"of a later incarnation of a name": {
			[]*wire.Announcement{at("n~1", "x", 1, born("n", 1))}, at("n~2", "x", 5, born("n", 2), draining), nil,
			map[string]string{"n~1": "gone", "n~2": "draining"}, true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			tr := newTracker()
			for _, a := range test.before {
				tr.Observe(start(), a)
			}
			c.Check(tr.ObserveRecorded(start(), test.recorded), qt.Equals, test.changes)
			for _, a := range test.after {
				tr.Observe(start().Add(time.Second), a)
			}
			for id, want := range test.want {
				c.Check(state(tr.Get(id)), qt.Equals, want, qt.Commentf("%s", id))
			}
		})
	}
}

// Records of the log are no contact with backend servers: a controller that has only these is partitioned.
func TestRecordsAreNoContact(t *testing.T) {
	c := qt.New(t)
	tr := newTracker()
	tr.ObserveRecorded(start(), at("a", "x", 5, draining))
	c.Check(tr.Partitioned(start()), qt.IsTrue)
	tr.Observe(start(), at("a", "x", 6, draining))
	c.Check(tr.Partitioned(start()), qt.IsFalse)
}

func TestDepartureOf(t *testing.T) {
	c := qt.New(t)
	tr := newTracker()
	tr.Observe(start(), at("ready", "x", 1))
	tr.Observe(start(), at("leaves", "y", 1, draining))
	tr.Observe(start(), at("n~1", "z", 1, born("n", 1)))
	tr.Observe(start(), departed("gone"))
	for id, want := range map[string]string{"ready": "", "leaves": "leaves", "gone": "gone", "unknown": ""} {
		c.Check(tr.Departure(&wire.Announcement{Id: id, Name: id}).GetId(), qt.Equals, want)
	}
	// A departure without a start time is that of the latest incarnation.
	tr.Observe(start(), &wire.Announcement{Id: "n", Name: "n", Gone: true})
	c.Check(tr.Departure(&wire.Announcement{Id: "n", Name: "n", Gone: true}).GetId(), qt.Equals, "n~1")
	// An incarnation that was replaced has ended: its end was not announced.
	tr.Observe(start(), at("n~2", "z", 1, born("n", 2)))
	c.Check(tr.Departure(&wire.Announcement{Id: "n~1", Name: "n", BornMs: 1}), qt.IsNil)
}
