package applier_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bronzelead.example/pkg/wire"
)

func (l *log) depart(id string) {
	l.apply(&wire.Command{Body: &wire.Command_RecordDeparture{RecordDeparture: &wire.Announcement{Id: id, Draining: true}}})
}

func (l *log) departures(after uint64) []string {
	list := []string{}
	for _, d := range l.state.DeparturesAfter(after) {
		list = append(list, d.GetAnnouncement().GetId())
	}
	return list
}

func TestDeparturesAreKept(t *testing.T) {
	for name, restart := range map[string]bool{"in memory": false, "in a snapshot": true} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := newLog()
			l.depart("a")
			l.depart("b")
			l.depart("a")
			l.depart("")
			if restart {
				l.restart(c)
			}
			l.depart("b")
			l.depart("c")
			c.Check(l.departures(0), qt.DeepEquals, []string{"a", "b", "c"})
			c.Check(l.departures(1), qt.DeepEquals, []string{"b", "c"})
			c.Check(l.departures(2), qt.DeepEquals, []string{"c"})
			c.Check(l.departures(l.index), qt.DeepEquals, []string{})
			c.Check(l.state.HasDeparture("a"), qt.IsTrue)
			c.Check(l.state.HasDeparture("d"), qt.IsFalse)
		})
	}
}

// The state must not grow with each departure.
func TestDeparturesAreBounded(t *testing.T) {
	c := qt.New(t)
	l := newLog()
	for i := range 5000 {
		l.depart(fmt.Sprint(i))
	}
	list := l.departures(0)
	c.Check(list, qt.HasLen, 4096)
	c.Check(list[len(list)-1], qt.Equals, "4999")
	c.Check(l.state.HasDeparture("0"), qt.IsFalse)
	l.now = l.now.Add(9 * time.Minute)
	l.depart("late")
	c.Check(l.departures(0), qt.HasLen, 4096)
	l.now = l.now.Add(2 * time.Minute)
	l.depart("last")
	c.Check(l.departures(0), qt.DeepEquals, []string{"late", "last"})
	c.Check(l.state.HasDeparture("4999"), qt.IsFalse)
	// One that is forgotten may be recorded again.
	l.depart("4999")
	c.Check(l.state.HasDeparture("4999"), qt.IsTrue)
}
