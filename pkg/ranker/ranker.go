// Package ranker orders candidates for a key by rendezvous hashing: every process that has the
// same candidates computes the same order without communication, and adding or removing a
// candidate does not change the order of the others.
package ranker

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Score returns how much a key prefers a candidate: a pseudo-random number that is the same in
// every process.
func Score(key, candidate string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(key + " " + candidate))
	// FNV mixes the last bytes poorly into the high bits.
	n := sum.Sum64()
	n ^= n >> 33
	n *= 0xff51afd7ed558ccd
	return n ^ n>>33
}

// Sort sorts candidates by their score for a key, highest first.
func Sort(candidates []string, key string) {
	type ranked struct {
		name  string
		score uint64
	}
	list := make([]ranked, len(candidates))
	for i, name := range candidates {
		list[i] = ranked{name, Score(key, name)}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	for i, r := range list {
		candidates[i] = r.name
	}
}

// Top returns the first n candidates in the order of Sort, without changing the list.
func Top(candidates []string, key string, n int) []string {
	type ranked struct {
		name  string
		score uint64
	}
	first := make([]ranked, 0, n+1)
	for _, name := range candidates {
		r := ranked{name, Score(key, name)}
		at := len(first)
		for at > 0 && (first[at-1].score < r.score || first[at-1].score == r.score && first[at-1].name > r.name) {
			at--
		}
		if at < n {
			first = slices.Insert(first, at, r)
			first = first[:min(n, len(first))]
		}
	}
	list := make([]string, len(first))
	for i, r := range first {
		list[i] = r.name
	}
	return list
}
