package ranker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the names sorted by their preference for the work identified by key, with the
// first choice first. It does not modify names.
func Rank[K, N ~string](key K, names []N) []N {
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b N) int {
		return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), cmp.Compare(a, b))
	})
	return out
}

// IsTopRanked reports whether name is among the first n of names in the ranking for key.
func IsTopRanked[K, N ~string](key K, names []N, name N, n int) bool {
	ownWeight := weight(key, name)
	higher := 0
	for _, other := range names {
		w := weight(key, other)
		if other != name && (w > ownWeight || w == ownWeight && other < name) {
			higher++
		}
	}
	return higher < n
}

func weight[K, N ~string](key K, name N) uint64 {
	return xxhash.Sum64String(string(key) + "\x00" + string(name))
}
