package groupformer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/groupformer"
)

// TestLeavingHeadIsReplaced checks that a head that says in an answer that it leaves is replaced
// before it ends, although the list shows it as ready until then: its group dissolves, another one
// begins to form, and the head joins no further group. A report can say so as well as a peer.
func TestLeavingHeadIsReplaced(t *testing.T) {
	for name, say := range map[string]func(*fleet, *fakeEngine){
		"stated": func(f *fleet, e *fakeEngine) {
			f.step(groupformer.LeavingStated{ID: e.ID, ProcessStart: e.ProcessStart})
		},
		"reported": func(f *fleet, e *fakeEngine) {
			e.reportsLeaving = true
			f.step(groupformer.HeadStalled{Head: e.ID}) // makes the Former query the engine
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1, 1, 1, 6) // a group of four and one of two, or three of two
			f.run(8 * time.Second)
			f.startRequests()
			for range 4 {
				f.add("z0", "z0-d0") // engines that can replace the members
			}
			f.run(7 * time.Second)
			head := f.findMember(0)
			group := head.Membership.Group
			say(f, head)
			f.run(3 * time.Second)
			is.True(f.dissolved[group])
			is.True(head.Membership.Group != group)
			f.listChanged = true // the list still shows the head as ready
			f.run(5 * time.Second)
			is.Equal(len(head.Membership.Group), 0)
			f.check(t)
		})
	}
}

// TestNewProcessOfLeavingEngineIsUsed checks that a statement that a process leaves does not
// concern the engine's next process, even if it arrives after that has started.
func TestNewProcessOfLeavingEngineIsUsed(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 1, 6)
	f.run(8 * time.Second)
	f.startRequests()
	head := f.findMember(0)
	old := head.ProcessStart
	f.restart(6)
	f.run(2500 * time.Millisecond) // all have started again and are listed
	is.True(head.ProcessStart != old)
	f.step(groupformer.LeavingStated{ID: head.ID, ProcessStart: old})
	f.run(40 * time.Second) // all load weights again
	is.True(len(head.Membership.Group) > 0)
	f.check(t)
}
