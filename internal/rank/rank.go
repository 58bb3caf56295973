// Package rank orders candidates for a key by rendezvous hashing: every node
// with the same candidates gets the same order, and a candidate that leaves
// moves only the keys it was first for.
package rank

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Score is the weight of a candidate for a key.
func Score(key, candidate string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a Digest do not fail.
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(candidate)
	return d.Sum64()
}

// Order returns the candidates for key, best first.
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

// First returns the best candidate for key, or "" when there is none.
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
