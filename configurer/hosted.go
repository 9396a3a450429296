package configurer

import (
	"cmp"
	"fmt"
	"net/netip"
	"os"

	"amaranthmill/internal/decoder"
	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/formatter"
	"amaranthmill/internal/identifier"

	"github.com/rotisserie/eris"
)

// HostedSettings are the settings of an instance on a platform that has its own store of
// configuration and endpoints. The platform fills in a template for each instance.
type HostedSettings struct {
	Instance      identifier.Instance      `json:"instance" validate:"required"`
	FailureDomain identifier.FailureDomain `json:"failureDomain" validate:"required"`
	Listen        HostedListen             `json:"listen"`
	Store         HostedStore              `json:"store"`
	Machine       Machine                  `json:"machine"`
	Bounds        Bounds                   `json:"bounds"`
	Callers       Callers                  `json:"callers"`
	SourceAddress netip.Addr               `json:"sourceAddress"` // from which the instance connects to endpoints, peers and the store; empty for the system's choice
	FirstStart    bool                     `json:"firstStart"`    // the whole system starts for the first time
	Log           Log                      `json:"log"`
}

// HostedListen holds the addresses that the instance listens on.
type HostedListen struct {
	Callers       netip.AddrPort `json:"callers" validate:"required"`
	Readiness     netip.AddrPort `json:"readiness" validate:"required"`
	ReadinessPath string         `json:"readinessPath" validate:"required"` // of the load balancer's readiness checks
	Peers         netip.AddrPort `json:"peers" validate:"required"`
	Metrics       netip.AddrPort `json:"metrics" validate:"required"`
}

// HostedStore holds the address of the platform's store and the rates that the store accepts
// from all instances together.
type HostedStore struct {
	Address         netip.AddrPort     `json:"address" validate:"required"`
	ReadsPerSecond  float64            `json:"readsPerSecond" validate:"gt=0"`
	WritesPerSecond float64            `json:"writesPerSecond" validate:"gt=0"`
	LeaseMin        formatter.Duration `json:"leaseMin"` // shortest lease that the store grants; default 1s
}

// Machine holds the resources that the instance may use on its machine.
type Machine struct {
	Cores       int     `json:"cores" validate:"gt=0"`
	MemoryMB    int     `json:"memoryMB" validate:"gt=0"`
	LinkMbps    float64 `json:"linkMbps" validate:"gte=0"`    // bandwidth of the machine's link in Mbit/s; zero if it is not known
	Descriptors int     `json:"descriptors" validate:"gte=0"` // that the process may open; zero for the limit of the system
}

// Bounds are the times and rates that the platform's operator requires.
type Bounds struct {
	StopLimit   formatter.Duration `json:"stopLimit"`                   // from SIGTERM to the end of the process; default 8s
	DrainTime   formatter.Duration `json:"drainTime"`                   // how long a draining endpoint still serves; default 2s
	RetryRatio  float64            `json:"retryRatio" validate:"gte=0"` // retries per request, over all instances
	RetrySlack  float64            `json:"retrySlack" validate:"gte=0"` // retries beyond that ratio in one window
	RetryWindow formatter.Duration `json:"retryWindow"`                 // over which retries are counted; default 10s
	ColdExcess  float64            `json:"coldExcess" validate:"gte=0"` // factor on the rate of a cold endpoint that its requests in one second must not exceed; zero if no endpoint is ever cold
	ColdSlack   float64            `json:"coldSlack" validate:"gte=0"`  // requests that a cold endpoint may get in one second beyond that
}

// The defaults of the optional hosted settings.
const (
	defaultHostedStopLimit = 8e9
	defaultLeaseMin        = 1e9
	callersMemoryPart      = 4 // of the machine's memory, one part is for requests
	maxCallersMemoryPart   = 2 // the same, for the most that can be set
)

// MaxCallerConnections returns the number of connections of callers that may be open at a time, in a process that the system lets open a number
// of descriptors. Zero, for a number of descriptors that is not known either, means no limit.
func (h *HostedSettings) MaxCallerConnections(processDescriptors int) int {
	return h.Callers.ConnectionLimit(cmp.Or(h.Machine.Descriptors, processDescriptors))
}

// ReadHosted reads the settings file of a hosted instance at path. Its errors are those of Read.
func ReadHosted(path string) (*HostedSettings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "configurer: read settings")
	}
	return ParseHosted(data)
}

// ParseHosted parses hosted settings and fills in the defaults. If the settings are invalid, it
// returns a *decoder.DocumentError that lists all faults.
func ParseHosted(data []byte) (*HostedSettings, error) {
	var h HostedSettings
	if err := decoder.Decode(data, &h); err != nil {
		return nil, err
	}
	if err := validate(&h); err != nil {
		return nil, err
	}
	defaulter.Set(&h.Bounds.StopLimit, defaultHostedStopLimit)
	defaulter.Set(&h.Store.LeaseMin, defaultLeaseMin)
	defaulter.Set(&h.Log.Level, defaultLogLevel)
	h.Callers.setDefaults(max(h.Machine.MemoryMB/callersMemoryPart, 1))
	if most := max(h.Machine.MemoryMB/maxCallersMemoryPart, 1); h.Callers.MemoryMB > most {
		return nil, &decoder.DocumentError{Faults: []decoder.Fault{{
			Path: "callers.memoryMB", Message: fmt.Sprintf("is more than half of machine.memoryMB; write %d or less, or 0 for the default", most),
		}}}
	}
	return &h, nil
}
