package messenger

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"

	"amaranthmill/internal/identifier"
	"amaranthmill/quarantiner"
)

// serveQuarantines answers the operator with the quarantines at this instance.
func (m *Messenger) serveQuarantines(w http.ResponseWriter, _ *http.Request) {
	out := []quarantineWire{}
	for _, q := range m.cfg.Quarantines() {
		out = append(out, encodeQuarantine(q))
	}
	m.writeJSON(w, out)
}

// serveLift ends a quarantine at all instances for the operator.
func (m *Messenger) serveLift(w http.ResponseWriter, r *http.Request) {
	fp, err := identifier.ParseFingerprint(r.PathValue("fingerprint"))
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	case !m.cfg.Lift(fp):
		http.Error(w, (&NotQuarantinedError{Fingerprint: fp}).Error(), http.StatusNotFound)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// NotQuarantinedError reports that an instance has no quarantine of a fingerprint.
type NotQuarantinedError struct{ Fingerprint identifier.Fingerprint }

func (e *NotQuarantinedError) Error() string {
	return fmt.Sprintf("messenger: the instance has no quarantine of fingerprint %s", e.Fingerprint)
}

// Operator lists and lifts quarantines, lists endpoints that leave and evacuations, and explains requests at instances for the operator.
// HTTP is required.
type Operator struct{ HTTP *http.Client }

// Quarantines returns the quarantines at the instance that answers peers at an address. Its
// error is *StatusError, *identifier.FingerprintError or an error of the HTTP exchange.
func (o Operator) Quarantines(ctx context.Context, address netip.AddrPort) ([]quarantiner.Quarantine, error) {
	var list []quarantineWire
	if err := o.exchange(ctx, address, http.MethodGet, pathQuarantines, &list); err != nil {
		return nil, err
	}
	var out []quarantiner.Quarantine
	for _, w := range list {
		q, err := w.quarantine()
		if err != nil {
			return nil, err
		}
		out = append(out, q)
	}
	return out, nil
}

// Lift makes the instance that answers peers at an address end a quarantine at all instances.
// Its error is *NotQuarantinedError, *StatusError or an error of the HTTP exchange.
func (o Operator) Lift(ctx context.Context, address netip.AddrPort, fp identifier.Fingerprint) error {
	err := o.exchange(ctx, address, http.MethodDelete, pathQuarantines+"/"+fp.String(), nil)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return &NotQuarantinedError{Fingerprint: fp}
	}
	return err
}

func (o Operator) exchange(ctx context.Context, address netip.AddrPort, method, path string, out any) error {
	m := Messenger{cfg: Config{HTTP: o.HTTP}}
	return m.exchange(ctx, Peer{Address: address}, method, path, nil, out)
}
