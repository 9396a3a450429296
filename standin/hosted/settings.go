package hosted

import (
	"cmp"
	"encoding/json"
	"net/netip"
	"time"
)

// PortsPerInstance is the number of addresses that an instance listens on.
const PortsPerInstance = 4

// RetrySlack is the number of retries that all instances together may usually accumulate.
const RetrySlack = 100

// InstanceSettings holds what differs between the settings files of instances.
type InstanceSettings struct {
	Name       string
	Ports      []netip.AddrPort // in this order, for callers, the load balancer's readiness checks, peers and metrics
	Store      netip.AddrPort   // address of the store
	Source     netip.Addr       // address of loopback from which the instance connects; the zero value leaves the choice to the system
	StopLimit  time.Duration
	RetrySlack int // retries that all instances together may accumulate
	Cold       Cold
	LinkMbps   float64 // bandwidth of the machine's link; zero if it is not known
	MemoryMB   int     // of the machine; zero means defaultMemoryMB
}

// defaultMemoryMB is the memory of a machine.
const defaultMemoryMB = 500

// Encode returns the settings file of an instance.
func (s InstanceSettings) Encode() ([]byte, error) {
	type object = map[string]any
	bounds := object{"stopLimit": s.StopLimit.String(), "retryRatio": 0.2, "retrySlack": s.RetrySlack}
	if s.Cold.PerSecond > 0 {
		bounds["coldExcess"], bounds["coldSlack"] = s.Cold.Excess, s.Cold.Slack
	}
	return json.Marshal(object{
		"instance": s.Name, "failureDomain": "here", "sourceAddress": s.Source,
		"listen":  object{"callers": s.Ports[0], "readiness": s.Ports[1], "readinessPath": "/ready", "peers": s.Ports[2], "metrics": s.Ports[3]},
		"store":   object{"address": s.Store, "readsPerSecond": 2000, "writesPerSecond": 400, "leaseMin": "1s"},
		"machine": object{"cores": 1, "memoryMB": cmp.Or(s.MemoryMB, defaultMemoryMB), "linkMbps": s.LinkMbps},
		"bounds":  bounds, "firstStart": true,
		"log": object{"level": "info"},
	})
}
