package limitsharer

import "amaranthmill/internal/identifier"

// Action is what a Core asks its process to do.
type Action interface{ action() }

// Announce asks to send Announcement to every peer in reach, or to To alone if that is set.
type Announce struct {
	To           identifier.Instance
	Announcement Announcement
}

// SetRate gives what this instance may admit for Account. Share is that rate as a part of
// the account's limit, for a burst to be divided alike.
type SetRate struct {
	Account           identifier.ClientAccount
	RequestsPerSecond float64
	Share             float64
}

func (Announce) action() {}
func (SetRate) action()  {}
