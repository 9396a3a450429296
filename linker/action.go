package linker

import "amaranthmill/internal/identifier"

// action is an output of the membership core that the process carries out.
type action interface{ action() }

type (
	// dialPeer opens a session; sessionOpened or dialFailed must follow.
	dialPeer struct {
		peer    Peer
		attempt uint64
	}

	// useSession selects the session for requests and messages to its peer.
	useSession struct{ session sessionID }

	// retireSession prevents new requests on a session and notifies the peer after the
	// running requests have ended. The session closes when both sides have retired it.
	retireSession struct {
		session sessionID
		leaving bool // notify the peer at once that this instance is leaving
	}

	// closeSession closes a session at once.
	closeSession struct {
		session sessionID
		reason  string
	}

	// sendHeartbeat sends a heartbeat, which replaces one that is not yet written.
	sendHeartbeat struct {
		session  sessionID
		sequence uint64
		echo     uint64
		version  identifier.BundleVersion
	}

	// requestBundle requests a bundle from the peer of a session.
	requestBundle struct {
		session sessionID
		version identifier.BundleVersion
	}

	// setStatus replaces the status of one peer that Peers returns.
	setStatus struct {
		status PeerStatus
		reason string // cause of a change of reachability or leaving; empty otherwise
	}

	// removePeer removes a peer from the statuses that Peers returns.
	removePeer struct {
		instance    identifier.Instance
		incarnation uint64
	}

	// failSessionRequest ends the wait of the requests for a session with an instance,
	// because none can be opened now.
	failSessionRequest struct{ instance identifier.Instance }

	// setRelay sets whether this instance relays load summaries between the local failure
	// domain and another.
	setRelay struct {
		domain  identifier.FailureDomain
		isRelay bool
	}
)

func (dialPeer) action()           {}
func (useSession) action()         {}
func (retireSession) action()      {}
func (closeSession) action()       {}
func (sendHeartbeat) action()      {}
func (requestBundle) action()      {}
func (setStatus) action()          {}
func (removePeer) action()         {}
func (failSessionRequest) action() {}
func (setRelay) action()           {}
