package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// beatInterval is the time between two writes of an engine's entry.
const beatInterval = 1200 * time.Millisecond

// run is a request that an engine has begun to work on.
type run struct {
	at                     time.Time
	id, engine, service    string
	method, target, tenant string
}

// engine is an endpoint of a plain service.
type engine struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration
	rec               *record
	store             *store
	runs              *runs

	address  string
	born     int64
	server   *http.Server
	tokens   chan struct{}
	stop     chan struct{}
	mu       sync.Mutex
	waiting  int
	sequence int
}

// runs collects the runs of all engines.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, x)
}

func (r *runs) list() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.all...)
}

func (e *engine) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.address, e.born = l.Addr().String(), time.Now().UnixMilli()
	e.tokens, e.stop = make(chan struct{}, e.slots), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", e.id) })
	mux.HandleFunc("/", e.serve)
	e.server = &http.Server{Handler: mux, IdleTimeout: 10 * time.Second}
	go func() { _ = e.server.Serve(l) }() // returns when the server is closed
	go e.beat()
	return nil
}

func (e *engine) beat() {
	t := time.NewTicker(beatInterval)
	defer t.Stop()
	for {
		e.store.beat(e.id, e.entry())
		select {
		case <-e.stop:
			return
		case <-t.C:
		}
	}
}

func (e *engine) entry() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	return map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": "ready", "coldLeftMs": 0,
		"sequence": e.sequence, "born": e.born,
	}
}

// admit waits for a slot, or returns false if the queue is full.
func (e *engine) admit(r *http.Request) bool {
	e.mu.Lock()
	if e.waiting >= e.queue {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	e.mu.Unlock()
	defer func() { e.mu.Lock(); e.waiting--; e.mu.Unlock() }()
	select {
	case e.tokens <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if r.Header.Get("X-Target-Instance") != "" && r.Header.Get("X-Target-Instance") != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // a body that breaks off ends the request below
	if !e.admit(r) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-e.tokens }()
	e.runs.add(run{at: time.Now(), id: id, engine: e.id, service: e.service, method: r.Method, target: r.RequestURI, tenant: r.Header.Get("X-Tenant")})
	e.rec.event("engine %s of %s runs %s %s %s tenant %s", e.id, e.service, id, r.Method, r.RequestURI, r.Header.Get("X-Tenant"))
	time.Sleep(e.work)
	body := fmt.Sprintf("%s ran %s %0800d", e.id, id, 0)
	e.mu.Lock()
	running, waiting := len(e.tokens), e.waiting
	e.mu.Unlock()
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", running, waiting, e.slots))
	w.Header().Set("X-Server-Seal", seal(body))
	_, _ = io.WriteString(w, body) // fails only if the caller has gone
}

// seal returns the MAC of a body, as far as this stand-in needs one.
func seal(body string) string {
	h := uint64(14695981039346656037)
	for _, c := range []byte(body) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return fmt.Sprintf("%016x", h)
}
