package hosted

import (
	"encoding/json"
	"net/netip"
	"time"
)

// PortsOfInstance is how many addresses an instance listens on.
const PortsOfInstance = 4

// Settings returns the settings of an instance that finds the store at an address. It
// listens on ports: for callers, the balancer, its peers and metrics.
func Settings(name string, ports []netip.AddrPort, store netip.AddrPort, stopLimit time.Duration) ([]byte, error) {
	type object = map[string]any
	return json.Marshal(object{
		"instance": name, "failureDomain": "here",
		"listen":  object{"callers": ports[0], "readiness": ports[1], "readinessPath": "/ready", "peers": ports[2], "metrics": ports[3]},
		"store":   object{"address": store, "readsPerSecond": 2000, "writesPerSecond": 400, "leaseMin": "1s"},
		"machine": object{"cores": 1, "memoryMB": 500},
		"bounds":  object{"stopLimit": stopLimit.String(), "retryRatio": 0.2, "retrySlack": 100},
		"log":     object{"level": "info"},
	})
}
