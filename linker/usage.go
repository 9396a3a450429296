package linker

import "sync"

// usage counts the requests that this instance forwards on one session, and carries the
// exchange by which a session closes without cutting one off: each side that starts no
// more says so once its last has ended, and the session closes when both have said it.
// It is safe for concurrent use.
type usage struct {
	mu      sync.Mutex
	running int
	retired bool // no more requests start here
	told    bool // the peer is being told
	written bool // the peer has been told
	heard   bool // the peer starts no more and has none running
}

// begin counts a request and reports true, or reports false on a retired session.
func (u *usage) begin() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.retired {
		return false
	}
	u.running++
	return true
}

// end counts a request out and reports whether the peer is to be told now.
func (u *usage) end() (tell bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
	return u.tell()
}

// retire lets no more requests begin and reports whether the peer is to be told now.
func (u *usage) retire() (tell bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.retired = true
	return u.tell()
}

func (u *usage) tell() bool {
	if !u.retired || u.running > 0 || u.told {
		return false
	}
	u.told = true
	return true
}

// setWritten notes that the peer has been told and reports whether both sides have said it.
func (u *usage) setWritten() (closed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.written = true
	return u.heard
}

// setHeard notes that the peer said it and reports whether both sides have.
func (u *usage) setHeard() (closed bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.heard = true
	return u.written
}
