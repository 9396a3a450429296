package messenger

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/internal/identifier"
)

// A peer that the store answers is selected again. While none is known, peers of the local failure
// domain and of others are selected in turn, so that one of another domain is among the first two
// however many there are, and a peer that had nothing newer comes after the others of its side.
func TestPeerSelector(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	peers := []Peer{
		{Instance: "alpine-1", FailureDomain: "alpine"},
		{Instance: "alpine-2", FailureDomain: "alpine"},
		{Instance: "marfa-1", FailureDomain: "marfa"},
		{Instance: "marfa-2", FailureDomain: "marfa"},
	}
	selector := newPeerSelector("alpine-3", "alpine")
	first, ok := selector.next(now, peers)
	is.True(ok)
	again, _ := selector.next(now.Add(time.Second), peers)
	is.Equal(again, first)
	selected := map[identifier.Instance]bool{}
	for i := range peers {
		at := now.Add(time.Duration(i) * time.Second)
		p, _ := selector.next(at, peers)
		is.Equal(p.FailureDomain == "alpine", i%2 == 0) // the local failure domain comes first
		selector.reject(at, p.Instance, false)
		selected[p.Instance] = true
	}
	is.Equal(len(selected), len(peers))
	oldest, _ := selector.next(now.Add(4*time.Second), peers)
	is.Equal(oldest, first)
	_, ok = selector.next(now, nil)
	is.True(!ok)
}

// Of 100 instances that have lost the store, each of 4 peers is queried by 10 to 45.
func TestPeerSelectorSpread(t *testing.T) {
	is := is.New(t)
	peers := []Peer{{Instance: "a-1", FailureDomain: "a"}, {Instance: "a-2", FailureDomain: "a"}, {Instance: "a-3", FailureDomain: "a"}, {Instance: "a-4", FailureDomain: "a"}}
	load := map[identifier.Instance]int{}
	for i := range 100 {
		selector := newPeerSelector(identifier.Instance("b-"+string(rune('a'+i%26))+string(rune('a'+i/26))), "b")
		p, _ := selector.next(time.Unix(1000, 0), peers)
		load[p.Instance]++
	}
	for _, p := range peers {
		is.True(load[p.Instance] >= 10 && load[p.Instance] <= 45)
	}
}
