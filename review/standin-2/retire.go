package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// retire is a case in which the operator moves a route to another model service and drops the old one, while a group of the old one
// forms.
func retire(w *world) []string {
	m0 := model{name: "m0", size: 4, load: 12 * time.Second, warm: 1100 * time.Millisecond, share: 1, pace: 1}
	old, next := w.modelService("mill-guides", m0), w.modelService("mill-guides-2", m0)
	holds := route("hold-commit", "/holds/", "unsafe", "pad-ledger", 800, 1, false)
	guides := func(service string) map[string]any {
		return route("guides", "/guides/", "stream", service, 8000, 2, true)
	}
	w.configure(10, []map[string]any{guides("mill-guides"), holds}, []map[string]any{old, next, plainService("pad-ledger")})
	zones := []string{"fort-davis", "alpine", "marfa"}
	for n, zone := range zones {
		e := w.addEngine(fmt.Sprintf("i-ledger%d", n), "pad-ledger", zone, "")
		e.work = func(*http.Request) time.Duration { return 100 * time.Millisecond }
	}
	for n := range 4 {
		w.addEngine(fmt.Sprintf("i-guide%d", n), "mill-guides", "fort-davis", "d1")
		w.addEngine(fmt.Sprintf("i-other%d", n), "mill-guides-2", "alpine", "d2")
	}
	for n, zone := range zones {
		w.addInstance(fmt.Sprintf("front-%s-%d", zone, n+1), zone)
	}
	w.awaitReady()
	if !w.await(15*time.Second, func() bool { return w.countState("open") == 2 }) {
		giveUp("the first groups do not serve")
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, i := range w.instances {
		for range 6 {
			clients.Go(func() { w.commitHolds(i, stop) })
		}
	}
	time.Sleep(4 * time.Second)
	w.note("the platform adds four empty engines to mill-guides")
	for n := range 4 {
		w.addEngine(fmt.Sprintf("i-new%d", n), "mill-guides", "fort-davis", "d1")
	}
	if !w.await(20*time.Second, func() bool { return w.countState("joining") >= 4 }) {
		giveUp("the new engines form no group")
	}
	time.Sleep(m0.load - 700*time.Millisecond)
	services := []map[string]any{old, next, plainService("pad-ledger")}
	if w.trouble {
		services = services[1:]
	}
	sentAt := time.Now()
	ackAt := w.configure(20, []map[string]any{guides("mill-guides-2"), holds}, services)
	time.Sleep(5 * time.Second)
	close(stop)
	clients.Wait()
	return w.findLost(sentAt, ackAt.Add(configDeadline+time.Second))
}
