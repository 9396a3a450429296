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

// TestSharesChanges follows a peer that comes into reach, is cut off, comes back and is removed.
func TestSharesChanges(t *testing.T) {
	is := is.New(t)
	s := &shares{known: map[identifier.Instance]reach{}}
	is.Equal(len(s.changes([]linker.PeerStatus{status("b", false)})), 0)
	is.True(!s.isComplete()) // what b admits is not known
	is.Equal(s.changes([]linker.PeerStatus{status("b", true)}), []limitsharer.Event{limitsharer.PeerReachable{Instance: "b"}})
	is.True(s.isComplete())
	is.Equal(len(s.changes([]linker.PeerStatus{status("b", false)})), 0) // it keeps its share
	is.True(s.isComplete())
	is.Equal(s.changes([]linker.PeerStatus{status("b", true)}), []limitsharer.Event{limitsharer.PeerReachable{Instance: "b"}})
	is.Equal(s.changes(nil), []limitsharer.Event{limitsharer.PeerRemoved{Instance: "b"}})
}
