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

// maxStatusBytes bounds the size of a status answer.
const maxStatusBytes = 1 << 20

// statusWire is the part of an endpoint's answer to GET /status that the prober uses.
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

// WrongEndpointError reports that another endpoint answered at an endpoint's address.
type WrongEndpointError struct {
	Want, Got identifier.Endpoint
}

func (e *WrongEndpointError) Error() string {
	return fmt.Sprintf("prober: endpoint %s answered at the address of endpoint %s", e.Got, e.Want)
}

// StatusError reports that an endpoint answered a probe with an HTTP status other than 200.
type StatusError struct {
	Endpoint identifier.Endpoint
	Status   int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("prober: endpoint %s answered a probe with status %d", e.Endpoint, e.Status)
}

// fetchStatus requests the status of an endpoint.
func fetchStatus(ctx context.Context, client *http.Client, name identifier.Endpoint, address netip.AddrPort) (Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/status", nil)
	if err != nil {
		return Status{}, eris.Wrap(err, "create the request of a probe")
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
	if err := json.NewDecoder(http.MaxBytesReader(nil, resp.Body, maxStatusBytes)).Decode(&w); err != nil {
		return Status{}, eris.Wrap(err, "decode the answer to a probe")
	}
	if w.Endpoint != name {
		return Status{}, &WrongEndpointError{Want: name, Got: w.Endpoint}
	}
	return Status{
		ProcessStart: w.ProcessStart, Group: w.Group, Epoch: w.Epoch, BundleVersion: w.BundleVersion,
		Loaded: w.Loaded, Leaving: w.Leaving, InFlight: w.InFlight, Queued: w.Queued, Capacity: w.Capacity,
	}, nil
}

// isRefused reports whether err means that nothing listens at the address.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
