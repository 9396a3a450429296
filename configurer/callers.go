package configurer

import (
	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/formatter"
)

// Callers holds the limits on what callers may use of the instance, beside those in the operator's configuration.
type Callers struct {
	MemoryMB       int                `json:"memoryMB" validate:"gte=0"`       // for the requests that arrive or are served; default a quarter of the machine's memory (at most half), or 64 where the settings don't name that
	HeaderBytes    int                `json:"headerBytes" validate:"gte=0"`    // of one head, while the configuration sets no limit; default 65536
	HeaderTimeout  formatter.Duration `json:"headerTimeout" validate:"gte=0"`  // from the first byte of a head to its last, while the configuration sets no limit; default 10s
	IdleTimeout    formatter.Duration `json:"idleTimeout" validate:"gte=0"`    // of a connection without a request, while the configuration sets no limit; default 2m
	MaxConnections int                `json:"maxConnections" validate:"gte=0"` // open at a time; default three quarters of the descriptors beyond 200
}

// The defaults of Callers, except for that of the memory.
const (
	defaultHeaderBytes     = 64 << 10
	defaultHeaderTimeout   = 10e9
	defaultIdleTimeout     = 120e9
	fileDescriptors        = 200  // that are not for connections
	callersConnectionShare = 0.75 // of the other descriptors, for callers; the rest is for endpoints, peers and the store
)

// setDefaults fills in the defaults.
func (c *Callers) setDefaults(memoryMB int) {
	defaulter.Set(&c.MemoryMB, memoryMB)
	defaulter.Set(&c.HeaderBytes, defaultHeaderBytes)
	defaulter.Set(&c.HeaderTimeout, defaultHeaderTimeout)
	defaulter.Set(&c.IdleTimeout, defaultIdleTimeout)
}

// ConnectionLimit returns the number of connections that may be open at a time, in a process that may open a number of descriptors. Zero, for a
// number of descriptors that is not known either, means no limit.
func (c *Callers) ConnectionLimit(descriptors int) int {
	if c.MaxConnections > 0 || descriptors == 0 {
		return c.MaxConnections
	}
	return max(int(callersConnectionShare*float64(descriptors-fileDescriptors)), 1)
}
