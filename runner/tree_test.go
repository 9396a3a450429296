package runner

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"amaranthmill/internal/identifier"
	"amaranthmill/messenger"
)

// linkInstances returns instances with links of the given bandwidths.
func linkInstances(links ...float64) []messenger.Peer {
	var out []messenger.Peer
	for i, mbps := range links {
		out = append(out, messenger.Peer{Instance: identifier.Instance(fmt.Sprintf("entry-%03d", i)), LinkMbps: mbps})
	}
	return out
}

// TestLinkTreeOfFailureDomain checks the tree of the failure domain of the load: both instances with wide links
// watch the store, each is followed by half of the others, and no other instance is followed.
func TestLinkTreeOfFailureDomain(t *testing.T) {
	is := is.New(t)
	links := make([]float64, 37)
	for i := range links {
		links[i] = 14
	}
	links[20], links[30] = 200, 200
	tree := newLinkTree(linkInstances(links...))
	followers := map[int]int{}
	for _, p := range tree.parents {
		followers[p]++
	}
	is.Equal(followers, map[int]int{-1: 2, 0: 18, 1: 17})
	equal := newLinkTree(linkInstances(48, 48, 48, 48))
	is.Equal(equal.parents, []int{-1, 0, 0, 0}) // one instance is enough where no link is wider than the others
}

// TestLinkTreeProperties checks trees of random links: there is no loop, at most two instances watch the store, none
// has more followers than its link allows, none follows one with a narrower link, and the order in which the instances
// are listed does not matter, because all instances must agree on the tree.
func TestLinkTreeProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		links := rapid.SliceOfN(rapid.SampledFrom([]float64{14, 20, 48, 100, 200}), 1, 60).Draw(t, "links")
		instances := linkInstances(links...)
		tree := newLinkTree(instances)
		other := newLinkTree(rapid.Permutation(instances).Draw(t, "order"))
		median := tree.instances[len(links)/2].LinkMbps
		followers := map[int]int{}
		for i, p := range tree.parents {
			if p >= i {
				t.Fatalf("instance %d follows %d", i, p)
			}
			if followers[p]++; p >= 0 && followers[p] > maxFollowersOf(tree.instances[p], median) {
				t.Fatalf("instance %d has %d followers", p, followers[p])
			}
			if p >= 0 && tree.instances[p].LinkMbps < tree.instances[i].LinkMbps {
				t.Fatalf("instance %d follows %d, whose link is narrower", i, p)
			}
			if tree.instances[i] != other.instances[i] || p != other.parents[i] {
				t.Fatalf("the order of the list changes the tree at %d", i)
			}
		}
		if followers[-1] < 1 || followers[-1] > maxRoots {
			t.Fatalf("%d instances watch the store", followers[-1])
		}
	})
}

// TestLinkWord checks that the bandwidth is passed on in the value of an instance's key, and that it is unknown in
// values of the version before, whose fourth word is the lease.
func TestLinkWord(t *testing.T) {
	is := is.New(t)
	is.Equal(linkWord(0), "")
	is.Equal(linkWord(14), " link=14")
	is.Equal(parseLink([]string{"link=14.5", "7"}), 14.5)
	for _, words := range [][]string{nil, {"7"}, {"14"}, {"link="}, {"link=x", "7"}, {"link=-3", "7"}} {
		is.Equal(parseLink(words), 0.0)
	}
	is.True(knowsLinks(linkInstances(14, 200)))
	is.True(!knowsLinks(linkInstances(14, 0)))
}
