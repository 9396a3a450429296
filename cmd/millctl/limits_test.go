package main

import (
	"testing"

	"amaranthmill/internal/identifier"
	"amaranthmill/messenger"
	"amaranthmill/scheduler"
)

// TestLimits lists the limits that endpoints name at an instance.
func TestLimits(t *testing.T) {
	m := messenger.New(messenger.Config{Peers: &messenger.Peers{}})
	m.ExchangeLimits(t.Context(), []scheduler.LimitNews{{Process: identifier.Process{Endpoint: "i-1", Start: 7}, PerSecond: 2.5}})
	checkOutputs(t, m, map[string]string{
		"limits":               "i-1       7              2.5",
		"limits --output json": `"perSecond": 2.5`,
		"limits --help":        "listen.peers",
	})
}
