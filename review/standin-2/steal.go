package main

import (
	"fmt"
	"sync"
	"time"
)

// steal is a case in which the store comes back from a copy some seconds old while the process that forms groups starts again.
func steal(w *world) []string {
	w.configureGuides()
	w.addGuides(12)
	for n, zone := range []string{"fort-davis", "fort-davis", "alpine", "marfa"} {
		w.addInstance(fmt.Sprintf("front-%s-%d", zone, n+1), zone)
	}
	w.awaitReady()
	w.store.keepCopy()
	w.note("a copy of the store is made")
	copyAt := time.Now()
	if !w.await(15*time.Second, func() bool { return w.openHeads() == 6 }) {
		giveUp("not all groups serve")
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, i := range w.instances {
		for range 4 {
			clients.Go(func() { w.streamGuides(i, "m1", stop) })
		}
	}
	time.Sleep(time.Until(copyAt.Add(6 * time.Second)))
	leader := w.holder()
	if leader == nil {
		giveUp("no process forms groups")
	}
	if w.trouble {
		w.store.goDown()
		w.note("the store is away")
		time.Sleep(400 * time.Millisecond)
		w.store.restore()
		w.note("the store is back from a copy that is %.1f s old", time.Since(copyAt).Seconds())
	}
	leader.kill(300 * time.Millisecond)
	time.Sleep(6 * time.Second)
	close(stop)
	clients.Wait()
	return w.broken
}
