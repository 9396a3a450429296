package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	drainTime      = 2 * time.Second
	stayTime       = 14 * time.Second // that the leaving engine goes on serving after the store has accepted its report
	leaveEngines   = 8
	leavingEngines = 2 // a quarter of them
	formingLimit   = 12 * time.Second
	trafficStarts  = 10 * time.Second // after the machines
)

// roundInterval is the time between two requests of a client at night.
const roundInterval = 4 * time.Second

// untilNextRound returns the time until a client sends its next request.
func untilNextRound() time.Duration {
	return roundInterval - time.Duration(time.Now().UnixNano())%roundInterval + time.Duration(rand.IntN(300))*time.Millisecond
}

// modelConfiguration returns a configuration with one service of engines and one model of two engines.
func modelConfiguration(version int) []byte {
	text, _ := json.Marshal(map[string]any{ // plain values
		"version": version,
		"routes": []any{map[string]any{
			"name": "seeing-brief", "host": host, "prefix": "/brief/", "kind": "stream", "timeoutMs": 6000, "latencyGoalMs": 300, "gapTargetMs": 200, "priority": 1,
			"service": "guides", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true,
		}},
		"services": []any{map[string]any{"name": "guides", "healthPath": "/health", "maxConns": 278, "engine": map[string]any{
			"slots": 17, "kvCapacity": 1860000, "stride": 5, "models": []any{map[string]any{"name": "m1", "size": 2, "share": 1.0, "pace": 0.6, "loadS": 12.0, "warmS": 1.1}},
			"step_ms": 7.8, "per_seq_ms": 0.0947, "context_per_k": 0.0096, "read_per_s": 45900.0, "pairs_per_m": 0.433, "chunk": 2048, "report_lag_ms": 200.0,
			"loadsPerS": 5.0, "loads_at_once": 7, "usual": map[string]any{"prompt": 979, "answer": 154}, "keeps": 1, "far_x": 2.5, "formMs": 300.0,
		}}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "patrons", "apiKeys": []string{"patronkey1"}}},
	})
	return text
}

// runLeave lets the store come back from a copy from before the groups were formed, and checks that an engine which
// leaves later gets no requests after the drain time.
func runLeave(w *world) (bool, error) {
	w.store.operatorPut(modelConfiguration(7))
	var engines []*modelEngine
	for i := range leaveEngines {
		e := &modelEngine{id: "i-" + newID()[:8], zone: []string{"fort-davis", "alpine"}[i%2], domain: fmt.Sprint("d", i%2), rec: w.rec, store: w.store, runs: w.runs}
		if err := e.start(); err != nil {
			return false, err
		}
		defer e.crash()
		engines = append(engines, e)
	}
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	if err := w.startFronts(); err != nil {
		return false, err
	}
	heads, err := awaitHeads(engines)
	if err != nil {
		return false, err
	}
	w.rec.say("%d groups are open %.1f s after the machines started", len(heads), time.Since(began).Seconds())
	time.Sleep(time.Second)
	if w.trouble {
		age := time.Since(began)
		w.rec.say("drill begins: the store is away for 1 s and comes back from a copy that is %.1f s old", age.Seconds())
		w.store.drill(age, time.Second)
	}
	time.Sleep(max(time.Until(began.Add(trafficStarts)), stableWindow))
	for i := range 12 {
		w.addClient(w.fronts[i%len(w.fronts)], fmt.Sprintf("c%d", i), untilNextRound, func() request {
			return request{
				id: newID(), method: http.MethodPost, path: "/brief/" + newID()[:4], host: host, key: "patronkey1", budget: 6 * time.Second, body: []byte("brief"),
				header: map[string]string{"X-Model": "m1", "X-Token-Counts": "714,180", "X-Prompt-Prefix": "5c1e07a2:40," + newID()[:8] + ":674"},
			}
		})
	}
	time.Sleep(roundInterval + untilNextRound() + time.Second) // a second after the requests of a round
	if heads, err = awaitHeads(engines); err != nil {
		return false, err
	}
	acked := map[string]time.Time{}
	for _, i := range rand.Perm(len(heads))[:leavingEngines] {
		acked[heads[i].id] = heads[i].leave()
		w.rec.say("engine %s, head of a group, reports draining; the store has accepted it", heads[i].id)
	}
	time.Sleep(stayTime)
	return w.judgeLeaving(acked), nil
}

// awaitHeads waits until all groups are open, and returns their heads.
func awaitHeads(engines []*modelEngine) ([]*modelEngine, error) {
	until := time.Now().Add(formingLimit)
	for {
		var heads []*modelEngine
		for _, e := range engines {
			if e.isHead() {
				heads = append(heads, e)
			}
		}
		if len(heads) == len(engines)/2 {
			return heads, nil
		}
		if time.Now().After(until) {
			return nil, fmt.Errorf("only %d groups are open", len(heads))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// judgeLeaving checks DRAIN for requests that clients sent later than the drain time after the store had accepted that
// an engine leaves.
func (w *world) judgeLeaving(acked map[string]time.Time) bool {
	last := time.Time{}
	for _, at := range acked {
		if at.After(last) {
			last = at
		}
	}
	sent, judged := map[string]result{}, 0
	for _, r := range w.results.list() {
		sent[r.id] = r
		if r.sentAt.After(last.Add(drainTime)) {
			judged++
		}
	}
	broken := 0
	for _, x := range w.runs.list() {
		at, isLeaving := acked[x.engine]
		r, isKnown := sent[x.id]
		if !isLeaving || !isKnown || !r.sentAt.After(at.Add(drainTime)) {
			continue
		}
		broken++
		w.rec.event("broken: DRAIN: %s was sent %.1f s after the ack of the leaving of %s and reached it via %s", x.id, r.sentAt.Sub(at).Seconds(), x.engine, r.front)
	}
	w.rec.say("judged %d requests sent later than %s after the acks: %d reached a leaving engine", judged, drainTime, broken)
	return judged > 0 && broken == 0
}
