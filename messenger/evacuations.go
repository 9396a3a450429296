package messenger

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"amaranthmill/internal/identifier"
)

// Evacuation is a failure domain to whose endpoints an instance sends no requests, because the operator evacuates it.
type Evacuation struct {
	FailureDomain identifier.FailureDomain
	Since         time.Time // when the instance learned of it
	Endpoints     int       // that are listed in the failure domain
}

// evacuationWire is the wire form of Evacuation.
type evacuationWire struct {
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	Since         time.Time                `json:"since"`
	Endpoints     int                      `json:"endpoints"`
}

// serveEvacuations answers the operator with the evacuated failure domains, as this instance knows them.
func (m *Messenger) serveEvacuations(w http.ResponseWriter, _ *http.Request) {
	out := []evacuationWire{}
	for _, e := range m.cfg.Evacuations() {
		out = append(out, evacuationWire(e))
	}
	m.writeJSON(w, out)
}

// Evacuations returns the evacuated failure domains, as the instance that answers peers at an address knows them. Its
// error is *StatusError, with status 404 from an instance of a version without evacuations, or an error of the HTTP exchange.
func (o Operator) Evacuations(ctx context.Context, address netip.AddrPort) ([]Evacuation, error) {
	var list []evacuationWire
	if err := o.exchange(ctx, address, http.MethodGet, pathEvacuations, &list); err != nil {
		return nil, err
	}
	var out []Evacuation
	for _, w := range list {
		out = append(out, Evacuation(w))
	}
	return out, nil
}
