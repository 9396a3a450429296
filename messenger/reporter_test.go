package messenger

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"amaranthmill/internal/identifier"
)

// TestSelectReporters checks that an endpoint that does not answer is queried by as many peers in a
// fleet of hundreds as in a small one, some of them in its own failure domain, and by all peers in
// turn.
func TestSelectReporters(t *testing.T) {
	is := is.New(t)
	var peers []Peer
	for i := range 300 {
		peers = append(peers, Peer{Instance: identifier.Instance(fmt.Sprintf("entry-%d", i)), FailureDomain: identifier.FailureDomain(fmt.Sprintf("d%d", i%10))})
	}
	seen := map[identifier.Instance]bool{}
	for range 5000 {
		reporters := selectReporters(peers, "d3")
		is.Equal(len(reporters), maxReporters)
		near := 0
		for _, p := range reporters {
			seen[p.Instance] = true
			if p.FailureDomain == "d3" {
				near++
			}
		}
		is.True(near >= maxDomainReporters)
	}
	is.Equal(len(seen), len(peers))
	is.Equal(selectReporters(peers[:4], "d3"), peers[:4])
}
