package limitsharer

import "amaranthmill/internal/identifier"

// Action is an output of a Core.
type Action interface{ action() }

// Announce sends Announcement to every reachable peer, or only to To if To is set.
type Announce struct {
	To           identifier.Instance
	Announcement Announcement
}

// SetRate sets the rate that this instance may admit for Account. Share is this rate as a fraction
// of the account's limit, so that a burst can be divided in the same proportion.
type SetRate struct {
	Account           identifier.ClientAccount
	RequestsPerSecond float64
	Share             float64
}

func (Announce) action() {}
func (SetRate) action()  {}
