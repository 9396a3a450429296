package prober

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"syscall"

	"github.com/rotisserie/eris"

	"amaranthmill/internal/identifier"
)

// maxStatus bounds the bytes of an endpoint's status.
const maxStatus = 1 << 20

// statusWire is the part of an endpoint's GET /status that matters here.
type statusWire struct {
	Endpoint      identifier.Endpoint      `json:"endpoint"`
	ProcessStart  identifier.ProcessStart  `json:"processStart"`
	Group         identifier.Group         `json:"group"`
	Epoch         identifier.Epoch         `json:"epoch"`
	BundleVersion identifier.BundleVersion `json:"bundleVersion"`
	Loaded        bool                     `json:"loaded"`
	Leaving       bool                     `json:"leaving"`
	InFlight      int                      `json:"inFlight"`
	Queued        int                      `json:"queued"`
	Capacity      int                      `json:"capacity"`
}

// WrongEndpointError says that another endpoint answered at an endpoint's address.
type WrongEndpointError struct {
	Want, Got identifier.Endpoint
}

// Error returns both names.
func (e *WrongEndpointError) Error() string {
	return fmt.Sprintf("prober: endpoint %s answered in the place of %s", e.Got, e.Want)
}

// StatusError says that a probe was answered with another HTTP status than 200.
type StatusError struct {
	Endpoint identifier.Endpoint
	Status   int
}

// Error returns the endpoint and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("prober: endpoint %s answered a probe with status %d", e.Endpoint, e.Status)
}

// fetch asks an endpoint for its status.
func fetch(ctx context.Context, client *http.Client, name identifier.Endpoint, address netip.AddrPort) (Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/status", nil)
	if err != nil {
		return Status{}, eris.Wrap(err, "make a probe")
	}
	resp, err := client.Do(req)
	if err != nil {
		return Status{}, eris.Wrap(err, "probe")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Status{}, &StatusError{Endpoint: name, Status: resp.StatusCode}
	}
	var w statusWire
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxStatus)).Decode(&w); err != nil {
		return Status{}, eris.Wrap(err, "read a status")
	}
	if w.Endpoint != name {
		return Status{}, &WrongEndpointError{Want: name, Got: w.Endpoint}
	}
	return Status{
		ProcessStart: w.ProcessStart, Group: w.Group, Epoch: w.Epoch, BundleVersion: w.BundleVersion,
		Loaded: w.Loaded, Leaving: w.Leaving, InFlight: w.InFlight, Queued: w.Queued, Capacity: w.Capacity,
	}, nil
}

// refused reports whether err says that nothing listens at the address.
func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
