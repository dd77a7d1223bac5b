// Package ranker orders candidates for a party as in rendezvous hashing: every process that
// has the same candidates gets the same order, without being told, and a candidate that comes
// or goes leaves the order of the others alone.
package ranker

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Score is how much a party prefers a candidate: a number that is as good as random,
// and the same everywhere.
func Score(party, candidate string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(party + " " + candidate))
	// FNV mixes the last bytes poorly into the high bits.
	n := sum.Sum64()
	n ^= n >> 33
	n *= 0xff51afd7ed558ccd
	return n ^ n>>33
}

// Sort sorts candidates by a party's preference, the most preferred first.
func Sort(candidates []string, party string) {
	type ranked struct {
		name       string
		preference uint64
	}
	list := make([]ranked, len(candidates))
	for i, name := range candidates {
		list[i] = ranked{name, Score(party, name)}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.preference, a.preference), cmp.Compare(a.name, b.name))
	})
	for i, r := range list {
		candidates[i] = r.name
	}
}
