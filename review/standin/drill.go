package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Bounds of the installation, from its sheet.
const (
	configDeadline = 2 * time.Second
	stableWindow   = 3 * time.Second
	outer          = 5 * time.Second
)

// Times of the drill.
const (
	drillCopyAge = 6 * time.Second
	drillAway    = time.Second
)

const host = "ficu95.example"

// configuration returns a version of the operator's configuration. The holds go to holdService.
func configuration(version int, holdService string, keys []string, latencyGoal int) []byte {
	route := func(name, prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": 800, "latencyGoalMs": latencyGoal, "priority": 2, "service": service,
			"maxAttempts": attempts, "public": false, "sticky": false, "resumable": false,
		}
	}
	text, _ := json.Marshal(map[string]any{ // plain values
		"version":  version,
		"routes":   []any{route("hold-commit", "/holds/", "unsafe", holdService, 1), route("hold-lookup", "/lookups/", "safe", "ledger", 2)},
		"services": []any{map[string]any{"name": "ledger", "healthPath": "/health", "maxConns": 110}, map[string]any{"name": "ledger-next", "healthPath": "/health", "maxConns": 110}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "patrons", "apiKeys": keys}, map[string]any{"name": "clubs", "apiKeys": []string{"clubkey"}}},
	})
	return text
}

// runDrill lets the store come back from a copy that is some seconds old, after some changes of the configuration, and
// checks that the next version is in force in time.
func runDrill(w *world) (bool, error) {
	bothKeys, oneKey := []string{"patronkey1", "patronkey2"}, []string{"patronkey1"}
	version := 7
	newest := configuration(version, "ledger", bothKeys, 100)
	w.store.operatorPut(newest)
	for i, service := range []string{"ledger", "ledger", "ledger", "ledger-next", "ledger-next", "ledger-next"} {
		zone := []string{"fort-davis", "alpine", "marfa"}[i%3]
		if _, err := w.addEngine(&engine{id: "i-" + newID()[:8], service: service, zone: zone, slots: 6, queue: 24, work: 15 * time.Millisecond}); err != nil {
			return false, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	if err := w.startFronts(); err != nil {
		return false, err
	}
	for i := range 24 {
		key := []string{"patronkey1", "patronkey2", "clubkey"}[i%3]
		w.addClient(w.fronts[i%len(w.fronts)], fmt.Sprintf("c%d", i), func() time.Duration { return time.Duration(300+rand.IntN(400)) * time.Millisecond }, func() request {
			if rand.IntN(3) == 0 {
				return request{id: newID(), method: http.MethodGet, path: "/lookups/" + newID()[:4], host: host, key: key, budget: 1500 * time.Millisecond}
			}
			return request{id: newID(), method: http.MethodPost, path: "/holds/" + newID()[:4], host: host, key: key, budget: 1500 * time.Millisecond, body: []byte("hold")}
		})
	}
	time.Sleep(6 * time.Second)
	// Planned work: three versions within 2.4 s, each of which changes only the latency goal.
	for range 3 {
		version += 1 + rand.IntN(3)
		newest = configuration(version, "ledger", bothKeys, 100+version)
		w.store.operatorPut(newest)
		w.rec.say("operator: version %d acknowledged", version)
		time.Sleep(800 * time.Millisecond)
	}
	if w.trouble {
		w.rec.say("drill begins: the store is away for %s and comes back from a copy that is %s old", drillAway, drillCopyAge)
		w.store.drill(drillCopyAge, drillAway)
	}
	// What the operator wrote is written again. Without the drill the store has it.
	time.Sleep(200 * time.Millisecond)
	if w.trouble {
		w.store.operatorPut(newest)
		w.rec.say("operator: version %d written again", version)
	}
	time.Sleep(stableWindow + 300*time.Millisecond)
	version += 2
	acked := w.store.operatorPut(configuration(version, "ledger-next", oneKey, 100))
	w.rec.say("operator: version %d acknowledged: holds move to ledger-next, patronkey2 is taken away", version)
	time.Sleep(configDeadline + outer + 8*time.Second)
	return w.judgeConfiguration(acked, version), nil
}

// judgeConfiguration checks CONFIG for requests that were sent later than the deadline after a version was acknowledged.
func (w *world) judgeConfiguration(acked time.Time, version int) bool {
	ran := map[string]run{}
	for _, r := range w.runs.list() {
		ran[r.id] = r
	}
	judged, old, byRevoked, later := 0, 0, 0, 0
	for _, r := range w.results.list() {
		if !r.sentAt.After(acked.Add(configDeadline)) {
			continue
		}
		judged++
		x, isRun := ran[r.id]
		isOld := isRun && r.method == http.MethodPost && x.service == "ledger"
		isRevoked := isRun && r.key == "patronkey2"
		switch {
		case isOld:
			old++
		case isRevoked:
			byRevoked++
		default:
			continue
		}
		if r.sentAt.After(acked.Add(configDeadline + outer)) {
			later++
		}
		w.rec.event("broken: CONFIG: %s (%s, key %s) was sent %.1f s after the ack of version %d and ran at %s of %s", r.id, r.path, r.key, r.sentAt.Sub(acked).Seconds(), version, x.engine, x.service)
	}
	w.rec.say("judged %d requests sent later than %s after the ack of version %d: %d ran at the old service, %d more with the key that was taken away; %d of both were sent %s later still",
		judged, configDeadline, version, old, byRevoked, later, outer)
	return judged > 0 && old+byRevoked == 0
}
