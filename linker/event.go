package linker

import "amaranthmill/internal/identifier"

// event is an input of the membership core.
type event interface{ event() }

// sessionID numbers the sessions of one Linker from 1.
type sessionID uint64

type (
	// peersSet replaces the set of other instances by the platform's list.
	peersSet struct{ peers []Peer }

	// sessionOpened reports a session on which both sides have exchanged their Hellos.
	sessionOpened struct {
		session     sessionID
		peer        Peer
		incarnation uint64 // of the peer's process; a later process of the instance has a higher one
		attempt     uint64 // number of the dial at the side that dialed
		dialed      bool   // whether this instance dialed
	}

	// sessionEnded reports that either side closed a session.
	sessionEnded struct{ session sessionID }

	// dialFailed reports that a dial did not open a session.
	dialFailed struct{ instance identifier.Instance }

	// heartbeatReceived carries a heartbeat of a peer.
	heartbeatReceived struct {
		session  sessionID
		sequence uint64 // number of the peer's heartbeat on the session, from 1
		echo     uint64 // the last sequence number that the peer received from this instance
		version  identifier.BundleVersion
	}

	// peerRetired reports that the peer starts no more requests on the session or, if
	// leaving is set, on any session.
	peerRetired struct {
		session sessionID
		leaving bool
	}

	// versionSet sets the bundle version of this instance.
	versionSet struct{ version identifier.BundleVersion }

	// sessionRequested asks for a session with an instance in order to forward a request.
	sessionRequested struct{ instance identifier.Instance }

	// tick advances the time.
	tick struct{}

	// stop begins the shutdown of this instance.
	stop struct{}
)

func (peersSet) event()          {}
func (sessionOpened) event()     {}
func (sessionEnded) event()      {}
func (dialFailed) event()        {}
func (heartbeatReceived) event() {}
func (peerRetired) event()       {}
func (versionSet) event()        {}
func (sessionRequested) event()  {}
func (tick) event()              {}
func (stop) event()              {}
