package main

import (
	"testing"
	"time"

	"amaranthmill/internal/identifier"
	"amaranthmill/messenger"
	"amaranthmill/scheduler"
)

// TestReach shows what an instance reaches that is cut off from endpoints, and one that is not.
func TestReach(t *testing.T) {
	status := scheduler.ReachStatus{
		CutSince: time.Date(2026, 1, 5, 20, 0, 0, 0, time.UTC), Targets: 3, Unreachable: []identifier.Endpoint{"i-1", "i-2"},
		Peers: []scheduler.PeerStatus{{Instance: scheduler.Instance{Name: "entry-2", FailureDomain: "alpine"}, Running: 7}, {Instance: scheduler.Instance{Name: "entry-3", FailureDomain: "marfa"}, PausedUntil: time.Now().Add(time.Hour)}},
	}
	checkOutputs(t, messenger.New(messenger.Config{Peers: &messenger.Peers{}, Reach: func() scheduler.ReachStatus { return status }}), map[string]string{
		"reach":               "cut off from endpoints since 2026-01-05T20:00:00Z\n2 of 3 targets answered nothing last\n  i-1\n  i-2\n",
		"reach --output json": `"running": 7`,
		"reach --help":        "listen.peers",
	})
	checkOutputs(t, messenger.New(messenger.Config{Peers: &messenger.Peers{}, Reach: func() scheduler.ReachStatus { return scheduler.ReachStatus{Targets: 3} }}), map[string]string{
		"reach": "reaches its endpoints\n0 of 3 targets answered nothing last",
	})
}
