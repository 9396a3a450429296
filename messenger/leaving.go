package messenger

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"amaranthmill/internal/identifier"
)

// LeavingSource says how an instance learned that a process of an endpoint leaves.
type LeavingSource string

// The sources.
const (
	LeavingByList   LeavingSource = "list"   // its entry in the store says that it drains
	LeavingByAnswer LeavingSource = "answer" // it said so in an answer to this instance
	LeavingByPeer   LeavingSource = "peer"   // it said so in an answer to another instance
)

// LeavingProcess is a process of an endpoint that leaves, as an instance knows it.
type LeavingProcess struct {
	Process identifier.Process
	Since   time.Time // when the instance learned it
	Source  LeavingSource
}

// leavingWire is the wire form of LeavingProcess.
type leavingWire struct {
	processWire
	Since  time.Time     `json:"since"`
	Source LeavingSource `json:"source"`
}

// serveLeavingList answers the operator with the processes that leave, as this instance knows them.
func (m *Messenger) serveLeavingList(w http.ResponseWriter, _ *http.Request) {
	out := []leavingWire{}
	for _, p := range m.cfg.Leaving() {
		out = append(out, leavingWire{processWire: processWire{Endpoint: p.Process.Endpoint, ProcessStart: p.Process.Start}, Since: p.Since, Source: p.Source})
	}
	m.writeJSON(w, out)
}

// Leaving returns the processes that leave, as the instance that answers peers at an address knows
// them. Its error is *StatusError or an error of the HTTP exchange.
func (o Operator) Leaving(ctx context.Context, address netip.AddrPort) ([]LeavingProcess, error) {
	var list []leavingWire
	if err := o.exchange(ctx, address, http.MethodGet, pathLeaving, &list); err != nil {
		return nil, err
	}
	var out []LeavingProcess
	for _, w := range list {
		out = append(out, LeavingProcess{Process: identifier.Process{Endpoint: w.Endpoint, Start: w.ProcessStart}, Since: w.Since, Source: w.Source})
	}
	return out, nil
}
