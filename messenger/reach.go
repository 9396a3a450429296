package messenger

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/scheduler"
)

// reachWire is the wire form of scheduler.ReachStatus.
type reachWire struct {
	CutSince    *time.Time            `json:"cutSince,omitempty"`
	Targets     int                   `json:"targets"`
	Unreachable []identifier.Endpoint `json:"unreachable,omitempty"`
	Peers       []peerWire            `json:"peers,omitempty"`
}

// peerWire is the wire form of scheduler.PeerStatus.
type peerWire struct {
	Instance      identifier.Instance      `json:"instance"`
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	Running       int                      `json:"running"`
	PausedUntil   *time.Time               `json:"pausedUntil,omitempty"`
}

func encodeReach(s scheduler.ReachStatus) reachWire {
	w := reachWire{CutSince: optionalTime(s.CutSince), Targets: s.Targets, Unreachable: s.Unreachable}
	for _, p := range s.Peers {
		w.Peers = append(w.Peers, peerWire{Instance: p.Name, FailureDomain: p.FailureDomain, Running: p.Running, PausedUntil: optionalTime(p.PausedUntil)})
	}
	return w
}

func (w reachWire) status() scheduler.ReachStatus {
	s := scheduler.ReachStatus{CutSince: requiredTime(w.CutSince), Targets: w.Targets, Unreachable: w.Unreachable}
	for _, p := range w.Peers {
		s.Peers = append(s.Peers, scheduler.PeerStatus{
			Instance: scheduler.Instance{Name: p.Instance, FailureDomain: p.FailureDomain}, Running: p.Running, PausedUntil: requiredTime(p.PausedUntil),
		})
	}
	return s
}

// optionalTime returns nil for the zero time.
func optionalTime(t time.Time) *time.Time {
	if t.IsZero() {
		return nil
	}
	return &t
}

// requiredTime returns the zero time for nil.
func requiredTime(t *time.Time) time.Time {
	if t == nil {
		return time.Time{}
	}
	return *t
}

// serveReach answers the operator with what this instance reaches.
func (m *Messenger) serveReach(w http.ResponseWriter, _ *http.Request) {
	m.writeJSON(w, encodeReach(m.cfg.Reach()))
}

// Reach returns which endpoints and peers the instance reaches that answers peers at an address. Its error is *StatusError or an
// error of the HTTP exchange.
func (o Operator) Reach(ctx context.Context, address netip.AddrPort) (scheduler.ReachStatus, error) {
	var w reachWire
	err := o.exchange(ctx, address, http.MethodGet, pathReach, &w)
	return w.status(), err
}
