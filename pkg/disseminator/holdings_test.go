package disseminator

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bronzelead.example/pkg/wire"
)

// world is what all see: the leader's holdings, and what they were at each revision.
type world struct {
	leader  *Holdings
	history map[uint64]map[string][]string
	term    uint64
	n       uint64
}

func newWorld() *world {
	w := &world{leader: NewHoldings(), history: map[uint64]map[string][]string{}}
	w.elect()
	return w
}

func (w *world) elect() {
	w.term++
	w.n = 0
	w.leader.Reset(w.term << termShift)
	w.record()
}

func (w *world) set(backend string, adapters []string) {
	w.n++
	w.leader.Set(w.term<<termShift+w.n, backend, adapters)
	w.record()
}

func (w *world) record() { w.history[w.leader.Revision()] = contents(w.leader) }

func contents(h *Holdings) map[string][]string {
	all := map[string][]string{}
	for backend, held := range h.engines {
		all[backend] = slices.Sorted(maps.Keys(held))
	}
	return all
}

// answer is what one instance tells another that asked for what is new since a revision.
type answer struct {
	to             int
	revision, from uint64
	list           []*wire.Holding
}

// Relays hear the leader, others hear relays or each other; answers come late, twice or
// never, and leaders change. Whoever knows a revision knows just what held at it.
func TestWhoKnowsARevisionKnowsWhatHeldAtIt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		nodes := make([]*Holdings, 5)
		for i := range nodes {
			nodes[i] = NewHoldings()
		}
		var underWay []answer
		steps := rapid.IntRange(1, 120).Draw(t, "steps")
		for range steps {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2:
				backend := fmt.Sprint("e", rapid.IntRange(0, 3).Draw(t, "engine"))
				held := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"m/a@0", "m/b@0", "m/b@1", "m/c@0", "m/d@0"}), 0, 3, rapid.ID).Draw(t, "held")
				w.set(backend, held)
			case 3:
				if rapid.IntRange(0, 9).Draw(t, "elects") == 0 {
					w.elect()
				}
			case 4, 5, 6:
				underWay = append(underWay, ask(t, w, nodes))
			default:
				if len(underWay) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(underWay)-1).Draw(t, "answer")
				deliver(t, w, nodes, underWay[i])
				if rapid.Bool().Draw(t, "ends") {
					underWay = slices.Delete(underWay, i, i+1)
				}
			}
		}
		for i, node := range nodes {
			list, from := w.leader.Since(node.Revision())
			deliver(t, w, nodes, answer{i, w.leader.Revision(), from, list})
			if got, want := fmt.Sprint(contents(node)), fmt.Sprint(contents(w.leader)); got != want {
				t.Fatalf("node %d ends with %s, not %s", i, got, want)
			}
		}
	})
}

func ask(t *rapid.T, w *world, nodes []*Holdings) answer {
	to := rapid.IntRange(0, len(nodes)-1).Draw(t, "asks")
	from := rapid.IntRange(-1, len(nodes)-1).Draw(t, "asked")
	source := w.leader
	if from >= 0 {
		source = nodes[from]
	}
	known := nodes[to].Revision()
	list, since := source.Since(known)
	return answer{to, max(known, source.Revision()), since, list}
}

func deliver(t *rapid.T, w *world, nodes []*Holdings, a answer) {
	node := nodes[a.to]
	before := node.Revision()
	_, ok := node.Apply(a.revision, a.from, a.list)
	if node.Revision() < before {
		t.Fatalf("a node goes back from %x to %x", before, node.Revision())
	}
	if !ok {
		// All is asked for then; here from the leader.
		list, from := w.leader.Since(0)
		node.Apply(w.leader.Revision(), from, list)
	}
	if got, want := fmt.Sprint(contents(node)), fmt.Sprint(w.history[node.Revision()]); node.Revision() > 0 && got != want {
		t.Fatalf("at %x it knows %s, and %s held", node.Revision(), got, want)
	}
}

// What is told of one load is one adapter, and not all that the engine holds.
func TestOnlyWhatHasChangedIsTold(t *testing.T) {
	for name, test := range map[string]struct {
		change func(h *Holdings)
		want   []*wire.Holding
	}{
		"a load":    {func(h *Holdings) { h.Set(3, "e", []string{"a", "b", "c"}) }, []*wire.Holding{{Backend: "e", Difference: true, Adapters: []string{"c"}}}},
		"an unload": {func(h *Holdings) { h.Set(3, "e", []string{"a"}) }, []*wire.Holding{{Backend: "e", Difference: true, Gone: []string{"b"}}}},
		"there and back": {func(h *Holdings) {
			h.Set(3, "e", []string{"a"})
			h.Set(4, "e", []string{"a", "b"})
		}, []*wire.Holding{{Backend: "e", Difference: true, Adapters: []string{"b"}}}},
		"a new engine":      {func(h *Holdings) { h.Set(3, "f", []string{"c"}) }, []*wire.Holding{{Backend: "f", Adapters: []string{"c"}}}},
		"one that has left": {func(h *Holdings) { h.Set(3, "e", nil); h.Drop("e") }, nil},
		"nothing":           {func(*Holdings) {}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := NewHoldings()
			h.Reset(1)
			h.Set(2, "e", []string{"a", "b"})
			test.change(h)
			list, from := h.Since(2)
			c.Check(fmt.Sprint(list), qt.Equals, fmt.Sprint(test.want))
			c.Check(from, qt.Equals, uint64(2))
		})
	}
}

// A difference that starts from more than is known, or that is of an earlier leader, is not
// believed; what is old changes nothing.
func TestGapsAreNotBelieved(t *testing.T) {
	const term2 = 2 << termShift
	lost := []*wire.Holding{{Backend: "e", Difference: true, Gone: []string{"a"}}}
	for name, test := range map[string]struct {
		revision, from uint64
		ok             bool
		held           int
	}{
		"the next difference":          {term2 + 5, term2 + 2, true, 0},
		"one that overlaps":            {term2 + 5, term2 + 1, true, 0},
		"one that starts later":        {term2 + 5, term2 + 3, false, 1},
		"one of the leader before":     {1<<termShift + 9, 1<<termShift + 8, true, 1},
		"one from the leader before":   {term2 + 5, 1<<termShift + 8, false, 1},
		"one of a later leader's term": {3<<termShift + 5, 3<<termShift + 1, false, 1},
		"one that comes again":         {term2 + 2, term2 + 1, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := NewHoldings()
			_, ok := h.Apply(term2+2, 0, []*wire.Holding{{Backend: "e", Adapters: []string{"a"}}})
			c.Assert(ok, qt.IsTrue)
			_, ok = h.Apply(test.revision, test.from, lost)
			c.Check(ok, qt.Equals, test.ok)
			held, _ := h.Get("e")
			c.Check(held, qt.HasLen, test.held)
		})
	}
}

// Who is further behind than the log reaches is told all, and the log stays bounded.
func TestTheLogIsBounded(t *testing.T) {
	c := qt.New(t)
	h := NewHoldings()
	h.Reset(1 << termShift)
	for i := range uint64(3 * maxLog) {
		h.Set(1<<termShift+i+1, "e", []string{fmt.Sprint("m/", i)})
	}
	c.Check(len(h.log) <= maxLog, qt.IsTrue)
	list, from := h.Since(1<<termShift + 1)
	c.Check(from, qt.Equals, uint64(0))
	c.Check(list, qt.HasLen, 1)
	_, from = h.Since(h.Revision() - 10)
	c.Check(from, qt.Equals, h.Revision()-10)
}
