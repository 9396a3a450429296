package relayer

import "net/netip"

// CutFrom holds back the bytes of the connections from a client address in both directions from now on,
// as if only the path of that client were cut.
func (l *Link) CutFrom(client netip.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cutOff[client] == nil {
		l.cutOff[client] = make(chan struct{})
	}
}

// RejectFrom resets the connections from a client address, present ones now and new ones from now on.
func (l *Link) RejectFrom(client netip.Addr) {
	l.mu.Lock()
	l.rejected[client] = true
	l.mu.Unlock()
	for _, p := range l.currentPairs() {
		if p.source() == client {
			p.reset()
		}
	}
}

// RestoreFrom ends CutFrom and RejectFrom for a client address. Bytes that were held back
// are forwarded first.
func (l *Link) RestoreFrom(client netip.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.rejected, client)
	if c := l.cutOff[client]; c != nil {
		close(c)
		delete(l.cutOff, client)
	}
}

func (l *Link) rejects(client netip.Addr) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rejected[client]
}
