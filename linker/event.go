package linker

import "amaranthmill/internal/identifier"

// event is what the membership core decides on.
type event interface{ event() }

// sessionID numbers the sessions of one Linker from 1.
type sessionID uint64

type (
	// listed gives the whole set of other instances as the platform's list has it.
	listed struct{ peers []Peer }

	// opened says that both sides of a session have said Hello.
	opened struct {
		session     sessionID
		peer        Peer
		incarnation uint64 // of the peer
		attempt     uint64 // of the side that dialed
		dialed      bool   // this instance dialed
	}

	// ended says that a session is closed, by whichever side.
	ended struct{ session sessionID }

	// dialFailed says that a dial gave no session.
	dialFailed struct{ instance identifier.Instance }

	// heard is a heartbeat of a peer.
	heard struct {
		session  sessionID
		sequence uint64 // of the peer's heartbeats on the session
		echo     uint64 // the last sequence of ours that the peer has heard
		version  identifier.BundleVersion
	}

	// peerRetires says that the peer starts no more requests on the session, and if
	// leaving, on none.
	peerRetires struct {
		session sessionID
		leaving bool
	}

	// versioned says which bundle version this instance has.
	versioned struct{ version identifier.BundleVersion }

	// needed says that a request is to be forwarded to an instance.
	needed struct{ instance identifier.Instance }

	// tick lets time pass.
	tick struct{}

	// stop says that this instance leaves.
	stop struct{}
)

func (listed) event()      {}
func (opened) event()      {}
func (ended) event()       {}
func (dialFailed) event()  {}
func (heard) event()       {}
func (peerRetires) event() {}
func (versioned) event()   {}
func (needed) event()      {}
func (tick) event()        {}
func (stop) event()        {}
