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

// cluster is the shared truth: the leader's holdings, and their contents at each revision.
type cluster struct {
	leader  *Holdings
	history map[uint64]map[string][]string
	term    uint64
	n       uint64
}

func newCluster() *cluster {
	w := &cluster{leader: NewHoldings(), history: map[uint64]map[string][]string{}}
	w.elect()
	return w
}

func (w *cluster) elect() {
	w.term++
	w.n = 0
	w.leader.Reset(w.term << termShift)
	w.record()
}

func (w *cluster) set(backend string, adapters []string) {
	w.n++
	w.leader.Set(w.term<<termShift+w.n, backend, adapters)
	w.record()
}

func (w *cluster) record() { w.history[w.leader.Revision()] = contents(w.leader) }

func contents(h *Holdings) map[string][]string {
	all := map[string][]string{}
	for backend, held := range h.engines {
		all[backend] = slices.Sorted(maps.Keys(held))
	}
	return all
}

// answer is the response of one instance to another that asked for changes since a revision.
type answer struct {
	to             int
	revision, from uint64
	list           []*wire.Holding
}

// Nodes receive holdings from the leader or from each other; responses are delayed, duplicated
// or lost, and leaders change. A node at a revision has exactly the contents of that revision.
func TestHoldingsMatchTheirRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCluster()
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
				underWay = append(underWay, request(t, w, nodes))
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
				t.Fatalf("node %d has %s in the end, want %s", i, got, want)
			}
		}
	})
}

func request(t *rapid.T, w *cluster, nodes []*Holdings) answer {
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

func deliver(t *rapid.T, w *cluster, nodes []*Holdings, a answer) {
	node := nodes[a.to]
	before := node.Revision()
	_, ok := node.Apply(a.revision, a.from, a.list)
	if node.Revision() < before {
		t.Fatalf("the revision of a node falls from %x to %x", before, node.Revision())
	}
	if !ok {
		// The complete holdings are requested then; here from the leader.
		list, from := w.leader.Since(0)
		node.Apply(w.leader.Revision(), from, list)
	}
	if got, want := fmt.Sprint(contents(node)), fmt.Sprint(w.history[node.Revision()]); node.Revision() > 0 && got != want {
		t.Fatalf("at revision %x the node has %s, want %s", node.Revision(), got, want)
	}
}

// The difference after a load has one adapter, not all that the engine holds.
func TestDifferencesHoldOnlyChanges(t *testing.T) {
	for name, test := range map[string]struct {
		change func(h *Holdings)
		want   []*wire.Holding
	}{
		"a load":    {func(h *Holdings) { h.Set(3, "e", []string{"a", "b", "c"}) }, []*wire.Holding{{Backend: "e", Difference: true, Adapters: []string{"c"}}}},
		"an unload": {func(h *Holdings) { h.Set(3, "e", []string{"a"}) }, []*wire.Holding{{Backend: "e", Difference: true, Gone: []string{"b"}}}},
		"an unload and a load again": {func(h *Holdings) {
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

// A difference from an unknown revision, or one of an earlier leader, is not applied; outdated
// ones change nothing.
func TestDifferencesWithGapsAreRejected(t *testing.T) {
	const term2 = 2 << termShift
	lost := []*wire.Holding{{Backend: "e", Difference: true, Gone: []string{"a"}}}
	for name, test := range map[string]struct {
		revision, from uint64
		ok             bool
		held           int
	}{
		"the next difference":                    {term2 + 5, term2 + 2, true, 0},
		"one that overlaps":                      {term2 + 5, term2 + 1, true, 0},
		"one that starts after a gap":            {term2 + 5, term2 + 3, false, 1},
		"one of the previous leader":             {1<<termShift + 9, 1<<termShift + 8, true, 1},
		"one that starts at the previous leader": {term2 + 5, 1<<termShift + 8, false, 1},
		"one of a later leader's term":           {3<<termShift + 5, 3<<termShift + 1, false, 1},
		"a duplicate":                            {term2 + 2, term2 + 1, true, 1},
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

// A caller that is further behind than the log gets the complete holdings, and the log stays
// bounded.
func TestLogIsBounded(t *testing.T) {
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
