package groupformer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"amaranthmill/endpointlister"
)

// TestUnlistedHeadLeavesOpenGroup removes the entry of a head that serves, as an engine does that
// is going to exit without saying that it drains. The head must close after its requests are
// complete, and must not be ordered to leave while it is open, which ends them.
func TestUnlistedHeadLeavesOpenGroup(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 1, 1, 4)
	f.run(8 * time.Second)
	f.startRequests()
	f.run(7 * time.Second) // the list counts as settled
	head := f.findMember(0)
	group := head.Membership.Group
	head.listed, f.listChanged = false, true
	f.run(800 * time.Millisecond)
	is.True(f.dissolved[group])
	is.Equal(head.Membership.Group, group)
	is.Equal(head.Membership.State, endpointlister.MemberClosing)
	f.run(5 * time.Second)
	is.Equal(len(head.Membership.Group), 0) // it has closed and left
	f.check(t)
}
