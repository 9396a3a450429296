package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// entrySilence is the time of silence after which an engine's entry is removed: three beats.
const entrySilence = 3 * beatInterval

// world is a small deployment: the store, the engines, the fronts and the clients.
type world struct {
	root, dir string
	trouble   bool
	rec       *record
	store     *store
	storeHTTP *http.Server
	runs      *runs
	results   *results
	engines   []*engine
	fronts    []*front
	stop      chan struct{}
	clients   sync.WaitGroup
}

// newWorld starts the store. The fronts are started by startFronts.
func newWorld(root, recordPath string, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{root: root, dir: dir, trouble: trouble, rec: rec, runs: &runs{}, results: &results{}, stop: make(chan struct{})}
	w.store = newStore(rec)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeHTTP = &http.Server{Handler: w.store.handler()}
	go func() { _ = w.storeHTTP.Serve(l) }() // returns when the server is closed
	go w.store.run(w.stop, entrySilence)
	w.fronts, err = newFronts(root, dir, l.Addr().String())
	return w, err
}

func (w *world) addEngine(e *engine) (*engine, error) {
	e.rec, e.store, e.runs = w.rec, w.store, w.runs
	w.engines = append(w.engines, e)
	return e, e.start()
}

// startFronts starts the fronts and waits until all are ready.
func (w *world) startFronts() error {
	for _, f := range w.fronts {
		if err := f.start(); err != nil {
			return err
		}
		w.rec.event("platform: started %s at %s, process %d", f.name, f.address, f.process.Process.Pid)
	}
	return awaitReady(w.fronts, 15*time.Second)
}

// addClient runs a client that sends what next returns, one request after the other, over a kept channel to a front.
func (w *world) addClient(f *front, label string, pause func() time.Duration, next func() request) {
	w.clients.Go(func() {
		c := channel{address: f.address}
		defer c.close()
		for {
			select {
			case <-w.stop:
				return
			case <-time.After(pause()):
			}
			q := next()
			q.front, q.label = f.name, label
			r := c.send(q)
			w.results.add(r)
			w.rec.eventAt(r.sentAt, "%s", r.describe())
		}
	})
}

// end stops the clients, the fronts, the engines and the store.
func (w *world) end() {
	close(w.stop)
	w.clients.Wait()
	w.endProcesses()
	for _, e := range w.engines {
		close(e.stop)
		_ = e.server.Close()
	}
	_ = w.storeHTTP.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}

func (w *world) endProcesses() {
	for _, f := range w.fronts {
		f.stop()
	}
}
