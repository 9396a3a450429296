package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// Entries that another writer leaves in the store.
const (
	partialEntries  = 8
	partialInterval = 3 * time.Second
)

// runEntry lets another writer write entries that lack fields under the IDs of engines of ledger-next, and checks that no
// request for the service ledger runs there.
func runEntry(w *world) (bool, error) {
	w.store.operatorPut(configuration(7, "ledger", []string{"patronkey1", "patronkey2"}, 100))
	var next []*engine
	for i, service := range []string{"ledger", "ledger", "ledger", "ledger-next", "ledger-next", "ledger-next"} {
		zone := []string{"fort-davis", "alpine", "marfa"}[i%3]
		e, err := w.addEngine(&engine{id: "i-" + newID()[:8], service: service, zone: zone, slots: 6, queue: 24, work: 15 * time.Millisecond})
		if err != nil {
			return false, err
		}
		if service == "ledger-next" {
			next = append(next, e)
		}
	}
	time.Sleep(300 * time.Millisecond)
	if err := w.startFronts(); err != nil {
		return false, err
	}
	for i := range 24 {
		w.addClient(w.fronts[i%len(w.fronts)], fmt.Sprintf("c%d", i), func() time.Duration { return time.Duration(300+rand.IntN(400)) * time.Millisecond }, func() request {
			return request{id: newID(), method: http.MethodPost, path: "/holds/" + newID()[:4], host: host, key: "patronkey1", budget: 1500 * time.Millisecond, body: []byte("hold")}
		})
	}
	time.Sleep(6 * time.Second)
	for i := range partialEntries {
		if w.trouble {
			w.writePartial(next[i%len(next)])
		}
		time.Sleep(partialInterval)
	}
	return w.judgeServices(), nil
}

// writePartial writes an entry without version, coldLeftMs, sequence and born under the ID of an engine, and with the
// name of the other service. The engine's next beat writes the whole entry again.
func (w *world) writePartial(e *engine) {
	text, _ := json.Marshal(map[string]any{"service": "ledger", "address": e.address, "zone": e.zone, "slots": e.slots, "state": "ready"}) // plain values
	w.rec.say("another writer: servers/%s = %s", e.id, text)
	w.store.mu.Lock()
	defer w.store.mu.Unlock()
	w.store.put("servers/"+e.id, text, 0)
}

// judgeServices checks ROUTE: no configuration allows the holds to go to ledger-next.
func (w *world) judgeServices() bool {
	runs, broken := w.runs.list(), 0
	for _, r := range runs {
		if r.service != "ledger" {
			broken++
			w.rec.eventAt(r.at, "broken: ROUTE: %s %s %s ran at engine %s of %s", r.id, r.method, r.target, r.engine, r.service)
		}
	}
	w.rec.say("judged %d runs of requests that every version sends to ledger: %d were at engines of ledger-next", len(runs), broken)
	return len(runs) > 0 && broken == 0
}
