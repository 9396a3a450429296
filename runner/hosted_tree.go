package runner

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"amaranthmill/messenger"
)

// linkPrefix begins the word of an instance's key that names the bandwidth of its link in Mbit/s. Instances
// that do not know the word read only the three before it.
const linkPrefix = "link="

// linkWord returns the word for a bandwidth, with a space before it, or "" if the bandwidth is not known.
func linkWord(mbps float64) string {
	if mbps <= 0 {
		return ""
	}
	return fmt.Sprintf(" %s%g", linkPrefix, mbps)
}

// parseLink returns the bandwidth that one of the words names, or zero.
func parseLink(words []string) float64 {
	for _, word := range words {
		text, ok := strings.CutPrefix(word, linkPrefix)
		if mbps, err := strconv.ParseFloat(text, 64); ok && err == nil && mbps > 0 {
			return mbps
		}
	}
	return 0
}

// Shape of the tree by link bandwidth.
const (
	maxRoots         = 2  // instances of a failure domain that watch the store; a second one takes over half of the followers, and all when the first dies
	wideFactor       = 2  // times the median of the failure domain from which a link counts as wide
	minLinkFollowers = 4  // of an instance with a link that is narrower than the median
	maxLinkFollowers = 20 // of an instance with a wide link; each costs it 2 calls per second, of some 300 bytes, while nothing changes
)

// knowsLinks reports whether all instances name the bandwidth of their links.
func knowsLinks(instances []messenger.Peer) bool {
	return !slices.ContainsFunc(instances, func(p messenger.Peer) bool { return p.LinkMbps <= 0 })
}

// linkTree is a tree of the instances of a failure domain. Instances with wide links are at its top. An
// instance precedes its followers, so that there is no loop.
type linkTree struct {
	instances []messenger.Peer // by bandwidth, widest first, then by name
	parents   []int            // position of the instance that each one follows; -1 for those that watch the store
}

// newLinkTree returns the tree of instances, which must not be empty. Each instance gets the parent of the smallest
// depth that has room, and among those the one whose link has the fewest followers for its bandwidth.
func newLinkTree(instances []messenger.Peer) linkTree {
	t := linkTree{instances: slices.Clone(instances), parents: make([]int, len(instances))}
	slices.SortFunc(t.instances, func(a, b messenger.Peer) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), a.Compare(b))
	})
	median := t.instances[len(t.instances)/2].LinkMbps
	followers, depth := make([]int, len(instances)), make([]int, len(instances))
	for i, p := range t.instances {
		if i == 0 || i < maxRoots && p.LinkMbps >= wideFactor*median {
			t.parents[i] = -1
			continue
		}
		best, bestLoad := -1, 0.0
		for j, q := range t.instances[:i] {
			if followers[j] >= maxFollowersOf(q, median) {
				continue
			}
			load := float64(followers[j]+1) / q.LinkMbps
			if best < 0 || depth[j] < depth[best] || depth[j] == depth[best] && load < bestLoad {
				best, bestLoad = j, load
			}
		}
		t.parents[i], depth[i] = best, depth[best]+1 // there is one, because the preceding instance has no followers yet
		followers[best]++
	}
	return t
}

// maxFollowersOf returns how many instances may follow p in a failure domain whose links have a median.
func maxFollowersOf(p messenger.Peer, median float64) int {
	return min(max(int(maxFollowers*p.LinkMbps/median), minLinkFollowers), maxLinkFollowers)
}

// parent returns the instance that p follows, or false if p watches the store.
func (t linkTree) parent(p messenger.Peer) (messenger.Peer, bool) {
	i := slices.IndexFunc(t.instances, func(o messenger.Peer) bool { return o.Instance == p.Instance })
	if i < 0 || t.parents[i] < 0 {
		return messenger.Peer{}, false
	}
	return t.instances[t.parents[i]], true
}
