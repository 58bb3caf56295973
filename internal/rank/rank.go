// Package rank orders candidates for a key by rendezvous hashing: every node
// with the same candidates computes the same order, and removing a candidate
// reassigns only the keys for which it was first.
package rank

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Score returns the rendezvous weight of a candidate for a key, a hash of both.
func Score(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a Digest do not fail.
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}

// Order returns the candidates for key, highest score first. Equal scores are
// ordered by name.
func Order(key string, candidates []string) []string {
	out := slices.Clone(candidates)
	slices.SortFunc(out, func(a, b string) int {
		sa, sb := Score(key, a), Score(key, b)
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		default:
			return strings.Compare(a, b)
		}
	})
	return out
}

// First returns the first candidate that Order would return for key, or "" when
// there are no candidates.
func First(key string, candidates []string) string {
	best := ""
	var bestScore uint64
	for _, c := range candidates {
		s := Score(key, c)
		if best == "" || s > bestScore || s == bestScore && c < best {
			best, bestScore = c, s
		}
	}
	return best
}
