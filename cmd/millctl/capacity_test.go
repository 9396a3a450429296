package main

import (
	"testing"
	"time"

	"amaranthmill/messenger"
	"amaranthmill/scheduler"
)

// TestCapacity lists the learned limits at an instance, and guards against a failure without targets.
func TestCapacity(t *testing.T) {
	capacity := scheduler.Capacity{
		Target: &scheduler.Target{ID: "i-1", Pool: "guides/m1", Slots: 34}, Limit: 0.7, Load: 0.45, Speed: 0.5, FirstEvent: 180 * time.Millisecond, LatencyGoal: 250 * time.Millisecond,
	}
	checkOutputs(t, messenger.New(messenger.Config{Peers: &messenger.Peers{}, Capacities: func() []scheduler.Capacity { return []scheduler.Capacity{capacity} }}), map[string]string{
		"capacity":               "i-1       guides/m1  34     0.70   0.45  0.50   0.00      180ms        250ms",
		"capacity --output json": `"limit": 0.7`,
		"capacity --help":        "listen.peers",
	})
	checkOutputs(t, messenger.New(messenger.Config{Peers: &messenger.Peers{}, Capacities: func() []scheduler.Capacity { return nil }}), map[string]string{
		"capacity":               "ENDPOINT",
		"capacity --output json": "[]",
	})
}
