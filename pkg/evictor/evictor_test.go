package evictor

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestLongestWaitingConnectionIsEvicted(t *testing.T) {
	for name, test := range map[string]struct {
		act     func(entries []*Entry)
		evicted []int
		refused bool
	}{
		"all wait":           {func([]*Entry) {}, []int{0}, false},
		"one is busy":        {func(e []*Entry) { e[0].Busy() }, []int{1}, false},
		"one waits anew":     {func(e []*Entry) { e[0].Wait() }, []int{1}, false},
		"one was busy":       {func(e []*Entry) { e[0].Busy(); e[0].Wait() }, []int{1}, false},
		"one is closed":      {func(e []*Entry) { e[1].Remove() }, nil, false},
		"one is closed once": {func(e []*Entry) { e[1].Remove(); e[1].Remove(); e[1].Wait() }, nil, false},
		"all are busy": {func(e []*Entry) {
			for _, n := range e {
				n.Busy()
			}
		}, nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			e := &Evictor{Max: 3}
			var evicted []int
			var entries []*Entry
			for i := range 3 {
				entries = append(entries, e.Add(func() { evicted = append(evicted, i) }))
			}
			test.act(entries)
			added := e.Add(func() {})
			c.Check(added == nil, qt.Equals, test.refused)
			c.Check(evicted, qt.DeepEquals, test.evicted)
			for _, i := range evicted {
				c.Check(entries[i].Busy(), qt.IsFalse)
			}
			c.Check(e.Stats().Open, qt.Equals, 3)
		})
	}
}

// There are never more connections than allowed, and none is counted twice.
func TestOpenConnectionsAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &Evictor{Max: rapid.IntRange(1, 5).Draw(t, "max")}
		var open []*Entry
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			if action := rapid.IntRange(0, 3).Draw(t, "action"); action == 0 || len(open) == 0 {
				added := e.Add(func() { open = slices.DeleteFunc(open, func(n *Entry) bool { return n.gone }) })
				if added != nil {
					open = append(open, added)
				}
			} else {
				n := open[rapid.IntRange(0, len(open)-1).Draw(t, "connection")]
				switch action {
				case 1:
					n.Wait()
				case 2:
					n.Busy()
				case 3:
					n.Remove()
					open = slices.DeleteFunc(open, func(o *Entry) bool { return o == n })
				}
			}
			if got := e.Stats().Open; got != len(open) || got > e.Max || e.waiting.Len() > got {
				t.Fatalf("%d connections are counted, %d are open, %d wait", got, len(open), e.waiting.Len())
			}
		}
	})
}
