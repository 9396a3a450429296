package linker

import "amaranthmill/internal/identifier"

// action is what the membership core has the process do.
type action interface{ action() }

type (
	// dialPeer opens a session; opened or dialFailed must follow.
	dialPeer struct {
		peer    Peer
		attempt uint64
	}

	// useSession makes a session the one on which requests and messages go to its peer.
	useSession struct{ session sessionID }

	// retireSession starts no more requests on a session and tells the peer once those
	// that run have ended. The session closes when both sides have retired it.
	retireSession struct {
		session sessionID
		leaving bool // tell the peer at once that this instance leaves
	}

	// closeSession closes a session at once.
	closeSession struct {
		session sessionID
		reason  string
	}

	// sendHeartbeat sends a heartbeat that replaces one still waiting.
	sendHeartbeat struct {
		session  sessionID
		sequence uint64
		echo     uint64
		version  identifier.BundleVersion
	}

	// askBundle asks the peer of a session for a bundle.
	askBundle struct {
		session sessionID
		version identifier.BundleVersion
	}

	// setStatus replaces what Peers shows of one peer.
	setStatus struct {
		status PeerStatus
		reason string // of a change of reachability or leaving; empty otherwise
	}

	// forgetPeer removes a peer from what Peers shows.
	forgetPeer struct {
		instance    identifier.Instance
		incarnation uint64
	}

	// refuseNeed says that no session with an instance can be had now.
	refuseNeed struct{ instance identifier.Instance }

	// setRelay says whether this instance passes summaries between its own failure
	// domain and another.
	setRelay struct {
		domain identifier.FailureDomain
		relays bool
	}
)

func (dialPeer) action()      {}
func (useSession) action()    {}
func (retireSession) action() {}
func (closeSession) action()  {}
func (sendHeartbeat) action() {}
func (askBundle) action()     {}
func (setStatus) action()     {}
func (forgetPeer) action()    {}
func (refuseNeed) action()    {}
func (setRelay) action()      {}
