package ranker

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns names in the order in which they should take up the work called key, the
// first choice first. It does not change names.
func Rank[K, N ~string](key K, names []N) []N {
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b N) int {
		return cmp.Or(cmp.Compare(weight(key, b), weight(key, a)), cmp.Compare(a, b))
	})
	return out
}

// IsTopRanked reports whether name is among the first n of names for the work called key.
func IsTopRanked[K, N ~string](key K, names []N, name N, n int) bool {
	own := weight(key, name)
	better := 0
	for _, other := range names {
		w := weight(key, other)
		if other != name && (w > own || w == own && other < name) {
			better++
		}
	}
	return better < n
}

func weight[K, N ~string](key K, name N) uint64 {
	return xxhash.Sum64String(string(key) + "\x00" + string(name))
}
