package runner

import (
	"testing"

	"github.com/matryer/is"
)

// TestParentOf checks that the instances of a failure domain follow each other in a tree: one queries the
// store, however many there are, none is followed by more than maxFollowers, and each follows one
// that precedes it, so that there is no loop.
func TestParentOf(t *testing.T) {
	is := is.New(t)
	const instances = 370
	followers := map[int]int{}
	depth := make([]int, instances)
	for i := range instances {
		parent, follows := parentOf(i)
		is.Equal(follows, i > 0)
		if !follows {
			continue
		}
		is.True(parent < i)
		followers[parent]++
		is.True(followers[parent] <= maxFollowers)
		depth[i] = depth[parent] + 1
	}
	is.Equal(depth[12], 1)  // a failure domain of 13
	is.Equal(depth[36], 2)  // of 37, the users' size of two years on
	is.Equal(depth[369], 3) // all in one
}
