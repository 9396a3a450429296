package runner

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/messenger"
)

// Checks of connections to endpoints.
const (
	connectionCheckTimeout = 250 * time.Millisecond // of one connection; endpoints accept connections within milliseconds
	controlEndpoints       = 2                      // other endpoints that are tried at the same time
)

// checkConnection reports whether an endpoint accepts connections from this instance. If it does not, other endpoints
// show whether the link of this instance may be at fault.
func (h *hosted) checkConnection(ctx context.Context, id identifier.Endpoint, address netip.AddrPort) messenger.ConnectionState {
	ctx, cancel := context.WithTimeout(ctx, connectionCheckTimeout)
	defer cancel()
	controls := h.view.otherEndpoints(id, controlEndpoints)
	accepted := make(chan bool, len(controls))
	for _, e := range controls {
		go func() { accepted <- h.requester.AcceptsConnections(ctx, e.Address) }()
	}
	if h.requester.AcceptsConnections(ctx, address) {
		return messenger.ConnectionAccepted
	}
	for range controls {
		if <-accepted {
			return messenger.ConnectionFailed
		}
	}
	return messenger.ConnectionUnknown
}

// acceptsConnections reports whether an endpoint accepts connections, as this instance or a peer sees it, or nobody can
// tell. An endpoint counts as one that accepts none only for an instance that reaches others.
func (h *hosted) acceptsConnections(ctx context.Context, id identifier.Endpoint, address netip.AddrPort) bool {
	own := h.checkConnection(ctx, id, address)
	if own == messenger.ConnectionAccepted {
		return true
	}
	_, domain := h.groupFormer.addresses.lookup(id)
	hasFailed := own == messenger.ConnectionFailed
	for _, state := range h.messenger.CheckConnections(ctx, id, domain) {
		switch state {
		case messenger.ConnectionAccepted:
			return true
		case messenger.ConnectionFailed:
			hasFailed = true
		}
	}
	return !hasFailed
}

// checkConnectionForPeer checks the connection to an endpoint for a peer.
func (h *hosted) checkConnectionForPeer(ctx context.Context, id identifier.Endpoint) messenger.ConnectionState {
	address := h.groupFormer.addresses.address(id)
	if !address.IsValid() {
		return messenger.ConnectionUnknown
	}
	return h.checkConnection(ctx, id, address)
}

// otherEndpoints returns up to n listed endpoints other than id, chosen at random.
func (v *view) otherEndpoints(id identifier.Endpoint, n int) []endpointlister.Endpoint {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []endpointlister.Endpoint
	seen := 0
	for other, e := range v.endpoints {
		if other == id || e.Draining {
			continue
		}
		if seen++; len(out) < n {
			out = append(out, e)
		} else if i := rand.IntN(seen); i < n {
			out[i] = e
		}
	}
	return out
}
