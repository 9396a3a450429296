package linker

import "sync"

// usage counts the requests that this instance forwards on one session. It also tracks the
// exchange that closes a session without interrupting a request: each side that has retired
// the session notifies the other after its last request has ended, and the session closes
// when both notifications have been sent. It is safe for concurrent use.
type usage struct {
	mu          sync.Mutex
	running     int
	retired     bool // no more requests start on this side
	notifying   bool // the notification to the peer is queued or written
	notified    bool // the notification to the peer is written
	peerRetired bool // the peer starts no more requests and has none running
}

// begin counts a new request, or returns false if the session is retired.
func (u *usage) begin() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.retired {
		return false
	}
	u.running++
	return true
}

// end counts the end of a request and reports whether to notify the peer now.
func (u *usage) end() (notify bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
	return u.startNotifying()
}

// retire prevents new requests and reports whether to notify the peer now.
func (u *usage) retire() (notify bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.retired = true
	return u.startNotifying()
}

// startNotifying reports whether to notify the peer now. It returns true once, when the
// session is retired and no request runs.
func (u *usage) startNotifying() bool {
	if !u.retired || u.running > 0 || u.notifying {
		return false
	}
	u.notifying = true
	return true
}

// setNotified records that the notification to the peer is written, and reports whether both
// sides have sent theirs.
func (u *usage) setNotified() (bothRetired bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.notified = true
	return u.peerRetired
}

// setPeerRetired records the peer's notification, and reports whether both sides have sent
// theirs.
func (u *usage) setPeerRetired() (bothRetired bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.peerRetired = true
	return u.notified
}
