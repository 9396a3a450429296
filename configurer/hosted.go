package configurer

import (
	"net/netip"
	"os"

	"amaranthmill/internal/decoder"
	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/formatter"
	"amaranthmill/internal/identifier"

	"github.com/rotisserie/eris"
)

// Hosted are the settings of an instance on a platform that has its own store of
// configuration and endpoints. The platform fills in a template for each instance.
type Hosted struct {
	Instance      identifier.Instance      `json:"instance" validate:"required"`
	FailureDomain identifier.FailureDomain `json:"failureDomain" validate:"required"`
	Listen        HostedListen             `json:"listen"`
	Store         HostedStore              `json:"store"`
	Machine       Machine                  `json:"machine"`
	Bounds        Bounds                   `json:"bounds"`
	FirstStart    bool                     `json:"firstStart"` // the whole system starts for the first time
	Log           Log                      `json:"log"`
}

// HostedListen has the addresses that the instance listens on.
type HostedListen struct {
	Callers       netip.AddrPort `json:"callers" validate:"required"`
	Readiness     netip.AddrPort `json:"readiness" validate:"required"`
	ReadinessPath string         `json:"readinessPath" validate:"required"` // that the balancer asks for
	Peers         netip.AddrPort `json:"peers" validate:"required"`
	Metrics       netip.AddrPort `json:"metrics" validate:"required"`
}

// HostedStore says where the platform's store is and what it takes from all instances together.
type HostedStore struct {
	Address         netip.AddrPort     `json:"address" validate:"required"`
	ReadsPerSecond  float64            `json:"readsPerSecond" validate:"gt=0"`
	WritesPerSecond float64            `json:"writesPerSecond" validate:"gt=0"`
	LeaseMin        formatter.Duration `json:"leaseMin"` // shortest lease that it grants
}

// Machine says what the instance may use of its machine.
type Machine struct {
	Cores    int `json:"cores" validate:"gt=0"`
	MemoryMB int `json:"memoryMB" validate:"gt=0"`
}

// Bounds are the times and rates that the platform's operator asks for.
type Bounds struct {
	StopLimit  formatter.Duration `json:"stopLimit"`                   // from SIGTERM to the end of the process
	DrainTime  formatter.Duration `json:"drainTime"`                   // for which an endpoint that drains still serves; 2 s if zero
	RetryRatio float64            `json:"retryRatio" validate:"gte=0"` // repeats a request, over all instances
	RetrySlack float64            `json:"retrySlack" validate:"gte=0"` // repeats beyond that in one window
}

// The defaults of the optional hosted settings.
const (
	defaultHostedStopLimit = 8e9
	defaultLeaseMin        = 1e9
)

// ReadHosted reads the settings of a hosted instance as Read does those of another.
func ReadHosted(path string) (*Hosted, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "configurer: read settings")
	}
	return ParseHosted(data)
}

// ParseHosted reads hosted settings from data. It returns a *decoder.DocumentError with everything that is wrong.
func ParseHosted(data []byte) (*Hosted, error) {
	var h Hosted
	if err := decoder.Decode(data, &h); err != nil {
		return nil, err
	}
	if err := check(&h); err != nil {
		return nil, err
	}
	defaulter.Set(&h.Bounds.StopLimit, defaultHostedStopLimit)
	defaulter.Set(&h.Store.LeaseMin, defaultLeaseMin)
	defaulter.Set(&h.Log.Level, defaultLogLevel)
	return &h, nil
}
