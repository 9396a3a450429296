package messenger

import (
	"context"
	"net/http"
	"sync"

	"amaranthmill/internal/identifier"
)

// ConnectionState is what an instance found when it tried to connect to an endpoint.
type ConnectionState string

// The states.
const (
	ConnectionAccepted ConnectionState = "accepted"
	ConnectionFailed   ConnectionState = "failed"  // the endpoint accepted no connection, and another one did
	ConnectionUnknown  ConnectionState = "unknown" // neither did another endpoint, so that the instance may have lost its links
)

// maxConnectionCheckers bounds the peers that check a connection for this instance.
const maxConnectionCheckers = 2

// connectionWire is the answer to a check of a connection.
type connectionWire struct {
	State ConnectionState `json:"state"`
}

// CheckConnections makes some peers try to connect to an endpoint of a failure domain, at least one of them in that
// domain if there is one, and returns what those found that answered.
func (m *Messenger) CheckConnections(ctx context.Context, id identifier.Endpoint, domain identifier.FailureDomain) []ConnectionState {
	peers := selectReporters(m.cfg.Peers.All(), domain)
	var out []ConnectionState
	var mu sync.Mutex
	m.forEach(ctx, peers[:min(len(peers), maxConnectionCheckers)], func(ctx context.Context, p Peer) {
		var w connectionWire
		if err := m.exchange(ctx, p, http.MethodPost, pathConnection, askWire{Endpoint: id}, &w); err != nil {
			m.cfg.Logger.Debug().Err(err).Str("peer", string(p.Instance)).Msg("peer did not check a connection")
			return
		}
		mu.Lock()
		defer mu.Unlock()
		out = append(out, w.State)
	})
	return out
}

// serveConnection checks a connection for a peer.
func (m *Messenger) serveConnection(w http.ResponseWriter, r *http.Request) {
	var request askWire
	if !readBody(w, r, &request) {
		return
	}
	m.writeJSON(w, connectionWire{State: m.cfg.CheckConnection(r.Context(), request.Endpoint)})
}
