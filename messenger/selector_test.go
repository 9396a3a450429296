package messenger

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/internal/identifier"
)

// A peer that has news is asked again; the own failure domain comes first; one that had none
// waits until all others were asked.
func TestTurns(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	peers := []Peer{
		{Instance: "alpine-1", FailureDomain: "alpine"},
		{Instance: "alpine-2", FailureDomain: "alpine"},
		{Instance: "marfa-1", FailureDomain: "marfa"},
	}
	turns := newTurns("alpine-3", "alpine")
	first, ok := turns.next(now, peers)
	is.True(ok)
	again, _ := turns.next(now.Add(time.Second), peers)
	is.Equal(again, first)
	asked := map[identifier.Instance]bool{}
	var last Peer
	for i := range peers {
		at := now.Add(time.Duration(i) * time.Second)
		last, _ = turns.next(at, peers)
		turns.pass(at, last.Instance)
		asked[last.Instance] = true
	}
	is.Equal(len(asked), len(peers))
	is.Equal(last.Instance, identifier.Instance("marfa-1")) // the other failure domain comes last
	oldest, _ := turns.next(now.Add(3*time.Second), peers)
	is.Equal(oldest, first)
	_, ok = turns.next(now, nil)
	is.True(!ok)
}

// A hundred instances that have lost the store don't all ask the same peer.
func TestTurnsSpread(t *testing.T) {
	is := is.New(t)
	peers := []Peer{{Instance: "a-1", FailureDomain: "a"}, {Instance: "a-2", FailureDomain: "a"}, {Instance: "a-3", FailureDomain: "a"}, {Instance: "a-4", FailureDomain: "a"}}
	load := map[identifier.Instance]int{}
	for i := range 100 {
		turns := newTurns(identifier.Instance("b-"+string(rune('a'+i%26))+string(rune('a'+i/26))), "b")
		p, _ := turns.next(time.Unix(1000, 0), peers)
		load[p.Instance]++
	}
	for _, p := range peers {
		is.True(load[p.Instance] >= 10 && load[p.Instance] <= 45)
	}
}
