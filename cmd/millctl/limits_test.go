package main

import (
	"testing"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/messenger"
	"amaranthmill/scheduler"
)

// TestLimits lists the limits that endpoints name at an instance.
func TestLimits(t *testing.T) {
	m := messenger.New(messenger.Config{Peers: &messenger.Peers{}})
	m.ExchangeLimits(t.Context(), []scheduler.LimitNews{
		{Process: identifier.Process{Endpoint: "i-1", Start: 7}, PerSecond: 2.5},
		{Process: identifier.Process{Endpoint: "i-2", Start: 9}, PerSecond: 15, Source: scheduler.LimitColdEntry, ColdFor: time.Minute},
	})
	checkOutputs(t, m, map[string]string{
		"limits":               "i-1       7              2.5",
		"limits --output json": `"perSecond": 2.5`,
		"--output json limits": `"source": "coldEntry"`,
		"limits --help":        "listen.peers",
	})
}
