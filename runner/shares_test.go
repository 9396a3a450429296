package runner

import (
	"testing"

	"amaranthmill/internal/identifier"
	"amaranthmill/limitsharer"
	"amaranthmill/linker"

	"github.com/matryer/is"
)

func status(name identifier.Instance, reachable bool) linker.PeerStatus {
	return linker.PeerStatus{Peer: linker.Peer{Instance: name}, Reachable: reachable}
}

// TestSharesChanges checks the events for a peer that becomes reachable, is disconnected,
// becomes reachable again and is removed.
func TestSharesChanges(t *testing.T) {
	is := is.New(t)
	s := &limitShares{peers: map[identifier.Instance]reachability{}}
	is.Equal(len(s.peerEvents([]linker.PeerStatus{status("b", false)})), 0)
	is.True(!s.hasSeenAllPeers()) // the demand of b is not known
	is.Equal(s.peerEvents([]linker.PeerStatus{status("b", true)}), []limitsharer.Event{limitsharer.PeerReachable{Instance: "b"}})
	is.True(s.hasSeenAllPeers())
	is.Equal(len(s.peerEvents([]linker.PeerStatus{status("b", false)})), 0) // an unreachable peer keeps its share
	is.True(s.hasSeenAllPeers())
	is.Equal(s.peerEvents([]linker.PeerStatus{status("b", true)}), []limitsharer.Event{limitsharer.PeerReachable{Instance: "b"}})
	is.Equal(s.peerEvents(nil), []limitsharer.Event{limitsharer.PeerRemoved{Instance: "b"}})
}
