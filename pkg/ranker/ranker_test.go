package ranker

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

func names(n int) []string {
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprint("10.0.0.", i)
	}
	return list
}

// Many keys that choose among a few candidates spread over them.
func TestKeysSpreadOverCandidates(t *testing.T) {
	c := qt.New(t)
	first := map[string]int{}
	for i := range 1000 {
		list := names(10)
		Sort(list, fmt.Sprint("party-", i))
		first[list[0]]++
	}
	c.Check(first, qt.HasLen, 10)
	for name, n := range first {
		c.Check(n > 50 && n < 170, qt.IsTrue, qt.Commentf("%s: %d", name, n))
	}
}

// The order does not depend on the input order, and removing a candidate does not change the
// order of the others.
func TestRemovedCandidateKeepsTheOrderOfTheOthers(t *testing.T) {
	c := qt.New(t)
	whole, reversed := names(20), names(20)
	slices.Reverse(reversed)
	Sort(whole, "p")
	Sort(reversed, "p")
	c.Check(reversed, qt.DeepEquals, whole)
	removed := whole[3]
	rest := slices.DeleteFunc(names(20), func(name string) bool { return name == removed })
	Sort(rest, "p")
	c.Check(rest, qt.DeepEquals, slices.Delete(slices.Clone(whole), 3, 4))
}

// The first candidates are those of the whole order, and removing one does not change the order of the
// others.
func TestTop(t *testing.T) {
	c := qt.New(t)
	candidates := names(50)
	counts := map[string]int{}
	for i := range 1000 {
		key := fmt.Sprint(i)
		all := slices.Clone(candidates)
		Sort(all, key)
		first := Top(candidates, key, 5)
		c.Assert(first, qt.DeepEquals, all[:5])
		c.Assert(Top(candidates[:3], key, 5), qt.HasLen, 3)
		counts[first[0]]++
		without := slices.DeleteFunc(slices.Clone(candidates), func(name string) bool { return name == first[1] })
		c.Assert(Top(without, key, 4), qt.DeepEquals, append([]string{first[0]}, first[2:]...))
	}
	c.Check(counts, qt.HasLen, 50)
	c.Check(Top(nil, "key", 5), qt.HasLen, 0)
}
