package main

import (
	"fmt"
	"sync"
	"time"
)

// The outage: the longest one with leases that run out in the site file.
const outageTime = 4500 * time.Millisecond

// outage is a case in which the store is down while the first groups form, and the leases run out meanwhile.
func outage(w *world) []string {
	w.configureGuides()
	for n, zone := range []string{"fort-davis", "fort-davis", "alpine", "marfa"} {
		w.addInstance(fmt.Sprintf("front-%s-%d", zone, n+1), zone)
	}
	w.awaitReady()
	if !w.await(5*time.Second, func() bool { return w.holder() != nil }) {
		giveUp("no process forms groups")
	}
	w.addGuides(12)
	renewals := w.store.renewals()
	time.Sleep(300 * time.Millisecond)
	w.await(2*time.Second, func() bool { return w.store.renewals() > renewals })
	if w.trouble {
		w.store.goDown()
		w.note("the store is down")
	}
	time.Sleep(outageTime)
	if w.trouble {
		w.store.comeBack(outageTime, true)
		w.note("the store is back, leases have run out")
	}
	w.note("%d groups are open", w.openHeads())
	time.Sleep(1500 * time.Millisecond)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, i := range w.instances {
		for range 3 {
			clients.Go(func() { w.streamGuides(i, "m1", stop) })
		}
	}
	time.Sleep(1500 * time.Millisecond)
	close(stop)
	clients.Wait()
	return w.broken
}

// configureGuides writes a first configuration with a model of two engines.
func (w *world) configureGuides() {
	m1 := model{name: "m1", size: 2, load: 12 * time.Second, warm: 1100 * time.Millisecond, share: 1, pace: 0.6}
	w.configure(10, []map[string]any{route("guides", "/guides/", "stream", "mill-guides", 8000, 2, true)}, []map[string]any{w.modelService("mill-guides", m1)})
}

// addGuides starts empty model engines, four in a zone and domain.
func (w *world) addGuides(count int) {
	zones := []string{"fort-davis", "alpine", "marfa"}
	for n := range count {
		zone := zones[n/4%len(zones)]
		w.addEngine(fmt.Sprintf("i-guide%02d", n), "mill-guides", zone, "d-"+zone)
	}
}

// streamGuides asks for streams one after the other until stop is closed.
func (w *world) streamGuides(i *instance, model string, stop <-chan struct{}) {
	c := w.newClient()
	for {
		select {
		case <-stop:
			return
		default:
		}
		c.send(i, "POST", "/guides/brief", []byte("what is the sky like"), 6*time.Second, map[string]string{"X-Model": model, "X-Token-Counts": "700,150", "X-Prompt-Prefix": fmt.Sprintf("a1:40,%x:660", time.Now().UnixNano())})
		time.Sleep(100 * time.Millisecond)
	}
}
