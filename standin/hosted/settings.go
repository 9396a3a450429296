package hosted

import (
	"encoding/json"
	"net/netip"
	"time"
)

// PortsPerInstance is the number of addresses that an instance listens on.
const PortsPerInstance = 4

// RetrySlack is the number of retries that all instances together may usually accumulate.
const RetrySlack = 100

// Settings returns the settings file of an instance that uses the store at the given
// address. The ports are, in this order, for callers, the load balancer's readiness checks,
// peers and metrics.
func Settings(name string, ports []netip.AddrPort, store netip.AddrPort, stopLimit time.Duration, retrySlack int) ([]byte, error) {
	type object = map[string]any
	return json.Marshal(object{
		"instance": name, "failureDomain": "here",
		"listen":  object{"callers": ports[0], "readiness": ports[1], "readinessPath": "/ready", "peers": ports[2], "metrics": ports[3]},
		"store":   object{"address": store, "readsPerSecond": 2000, "writesPerSecond": 400, "leaseMin": "1s"},
		"machine": object{"cores": 1, "memoryMB": 500},
		"bounds":  object{"stopLimit": stopLimit.String(), "retryRatio": 0.2, "retrySlack": retrySlack}, "firstStart": true,
		"log": object{"level": "info"},
	})
}
