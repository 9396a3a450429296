package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Times of the final fault and after it.
const (
	recoverTime    = 12 * time.Second
	downTime       = 920 * time.Millisecond
	backAfterCrash = 3 * time.Second // an engine is back
	crashersAfter  = 2 * time.Second // the first request that crashes engines comes, after the machines are back
	crasherRepeats = 3
)

// sharedPart is the part of the prompt that all requests of this small deployment share: 40 tokens, as on the sheet.
const sharedPart = "5c1e07a2:40"

func briefRequest(body string) request {
	return request{
		id: newID(), method: http.MethodPost, path: "/brief/" + newID()[:4], host: host, key: "patronkey1", budget: 6 * time.Second, body: []byte(body),
		header: map[string]string{"X-Model": "m1", "X-Token-Counts": "714,180", "X-Prompt-Prefix": sharedPart + "," + newID()[:8] + ":674"},
	}
}

// runRecover kills all processes at the same moment, right after a configuration was acknowledged. Two requests that
// crash engines come soon after the processes are back. It checks that the requests of others are served again.
func runRecover(w *world) (bool, error) {
	w.store.operatorPut(modelConfiguration(7))
	var mu sync.Mutex
	var engines []*modelEngine
	var add func(zone, domain string, staged []string) error
	add = func(zone, domain string, staged []string) error {
		e := &modelEngine{id: "i-" + newID()[:8], zone: zone, domain: domain, staged: staged, rec: w.rec, store: w.store, runs: w.runs}
		e.onCrash = func() {
			time.AfterFunc(backAfterCrash, func() { _ = add(zone, domain, []string{"m1"}) }) // a new process on the same host
		}
		mu.Lock()
		engines = append(engines, e)
		mu.Unlock()
		return e.start()
	}
	for i := range leaveEngines {
		if err := add([]string{"fort-davis", "alpine"}[i%2], fmt.Sprint("d", i%2), nil); err != nil {
			return false, err
		}
	}
	time.Sleep(300 * time.Millisecond)
	began := time.Now()
	if err := w.startFronts(); err != nil {
		return false, err
	}
	if _, err := awaitHeads(engines); err != nil {
		return false, err
	}
	time.Sleep(time.Until(began.Add(trafficStarts)))
	for i := range 12 {
		w.addClient(w.fronts[i%len(w.fronts)], fmt.Sprintf("c%d", i), func() time.Duration { return time.Duration(1000+rand.IntN(2000)) * time.Millisecond }, func() request { return briefRequest("brief") })
	}
	time.Sleep(10 * time.Second)
	w.store.operatorPut(modelConfiguration(9))
	fault := time.Now()
	if w.trouble {
		w.rec.say("final fault: all processes are killed")
		for _, f := range w.fronts {
			f.stop()
		}
		time.Sleep(downTime)
		for _, f := range w.fronts {
			if err := f.start(); err != nil {
				return false, err
			}
		}
	}
	back := time.Now()
	w.rec.say("the machines are back")
	if w.trouble {
		time.Sleep(crashersAfter)
		for i := range 2 {
			w.sendCrasher(fmt.Sprint("crasher", i))
			time.Sleep(300 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(back.Add(recoverTime + 14*time.Second)))
	return w.judgeRecovery(fault, back), nil
}

// sendCrasher sends a request that crashes engines, and sends it again at other machines: with the same path, caller and
// body.
func (w *world) sendCrasher(label string) {
	q := briefRequest(crashText)
	w.clients.Go(func() {
		for i := range 1 + crasherRepeats {
			f := w.fronts[rand.IntN(len(w.fronts))]
			c := channel{address: f.address}
			q.id, q.front, q.label = newID(), f.name, label
			r := c.send(q)
			c.close()
			w.rec.eventAt(r.sentAt, "try %d: %s", i+1, r.describe())
			time.Sleep(time.Second)
		}
	})
}

// judgeRecovery checks RECOVER. Requests that crash engines don't count.
func (w *world) judgeRecovery(fault, back time.Time) bool {
	before, servedBefore, after, servedAfter, statuses := 0, 0, 0, 0, map[int]int{}
	for _, r := range w.results.list() {
		isServed := r.status == http.StatusOK
		switch {
		case r.endedAt.Before(fault):
			before++
			if isServed {
				servedBefore++
			}
		case r.sentAt.After(back.Add(recoverTime)):
			after++
			statuses[r.status]++
			if isServed {
				servedAfter++
			}
		}
	}
	w.rec.say("before the final fault %d of %d requests were served; of those sent later than %s after the machines were back, %d of %d (by status: %v)",
		servedBefore, before, recoverTime, servedAfter, after, statuses)
	return 4*servedBefore < before || 4*servedAfter >= after
}
