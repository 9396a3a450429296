package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Times of the engines' entries and groups; the users' pages and sheets give them.
const (
	heartbeat  = 1200 * time.Millisecond
	rejoinTime = 200 * time.Millisecond
	formTime   = 300 * time.Millisecond
	stallTime  = 4 * time.Second
)

// model is a model that the engines of a service can load.
type model struct {
	name        string
	size        int
	load, warm  time.Duration
	share, pace float64
}

// arrival is a request that reached an engine.
type arrival struct {
	at           time.Time
	id, path     string
	engine, from string
	ran          bool
	answered     time.Time // when the engine had sent its whole answer; zero if it has not
}

// engine is an engine of a model service, or of a plain service if domain is empty.
type engine struct {
	w                         *world
	id, service, zone, domain string
	work                      func(r *http.Request) time.Duration // of a plain request
	addr                      string
	server                    *http.Server

	mu       sync.Mutex
	born     int64
	state    string
	sequence uint64
	writes   uint64
	models   []string
	staged   []string
	lastOf   string // model of the last group in this life
	busy     bool
	group    map[string]any // name, epoch, rank, state; nil for none
	members  []string
	gen      int // counts changes of the membership
	epoch    uint64
	gone     bool
	running  int       // streams
	lostAt   time.Time // since when the group of an open head lacks a member; zero if it does not
}

func (w *world) addEngine(id, service, zone, domain string) *engine {
	e := &engine{w: w, id: id, service: service, zone: zone, domain: domain, state: "ready", born: time.Now().UnixMilli()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		giveUp("engine: %v", err)
	}
	e.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", func(rw http.ResponseWriter, _ *http.Request) { reply(rw, 200, e.report(false)) })
	mux.HandleFunc("POST /v1/order", e.serveOrder)
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("X-Instance-Id", e.id)
		rw.WriteHeader(200)
	})
	mux.HandleFunc("/", e.serve)
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(l) }()
	w.mu.Lock()
	w.engines = append(w.engines, e)
	w.mu.Unlock()
	e.publish()
	go func() {
		for range time.Tick(heartbeat) {
			e.mu.Lock()
			gone := e.gone
			e.mu.Unlock()
			if gone {
				return
			}
			e.publish()
		}
	}()
	return e
}

// report returns what the engine says of itself, in its entry or in its report.
func (e *engine) report(isEntry bool) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": 6, "state": e.state, "coldLeftMs": 0, "born": e.born, "sequence": e.sequence,
	}
	if isEntry {
		e.writes++
		out["sequence"] = e.writes
	}
	if e.domain == "" {
		return out
	}
	models := []map[string]any{}
	for _, m := range e.models {
		models = append(models, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	out["slots"], out["domain"], out["models"], out["staged"], out["stage"], out["busy"] = 17, e.domain, models, slices.Clone(e.staged), "both", e.busy
	if e.group != nil {
		g := map[string]any{}
		for k, v := range e.group {
			g[k] = v
		}
		out["group"] = g
	}
	return out
}

func (e *engine) publish() {
	e.mu.Lock()
	gone := e.gone
	e.mu.Unlock()
	if !gone {
		e.w.store.put("servers/"+e.id, e.report(true))
	}
}

type order struct {
	Op, Group, Model, Mode string
	Epoch                  uint64
	Expected               *uint64
	Members                []string
}

func (e *engine) serveOrder(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(400)
		return
	}
	if want := r.Header.Get("X-Target-Instance"); want != "" && want != e.id {
		rw.WriteHeader(421)
		return
	}
	status := e.execute(o)
	e.w.note("order to %s: %s %s epoch %d model %s: %d", e.id, o.Op, o.Group, o.Epoch, o.Model, status)
	rw.WriteHeader(status)
	e.publish()
}

func (e *engine) execute(o order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	same := e.group != nil && e.group["name"] == o.Group && e.group["epoch"] == o.Epoch
	switch {
	case o.Expected != nil && *o.Expected != e.sequence:
		return 409
	case o.Op == "join" && o.Epoch < e.epoch:
		return 412
	case o.Op == "join" && same && !slices.Equal(e.members, o.Members):
		return 412
	case o.Op == "join" && same:
		return 200
	case o.Op == "open" && (!same || e.group["rank"] != 0 || e.group["state"] != "ready" && e.group["state"] != "open"):
		return 409
	case (o.Op == "close" || o.Op == "leave") && !same:
		return 409
	}
	e.sequence++
	e.gen++
	switch o.Op {
	case "join":
		e.w.judgeJoin(e, o)
		e.epoch, e.members, e.lostAt = o.Epoch, o.Members, time.Time{}
		e.group = map[string]any{"name": o.Group, "epoch": o.Epoch, "rank": slices.Index(o.Members, e.id), "state": "joining"}
		m := e.w.models[o.Model]
		d := m.load
		switch {
		case e.lastOf == o.Model:
			d = rejoinTime
		case slices.Contains(e.staged, o.Model):
			d = m.warm
		}
		if e.w.early() {
			d /= 10
		}
		e.after(d, func() {
			e.group["state"], e.lastOf, e.models, e.staged = "ready", o.Model, []string{o.Model}, []string{o.Model}
		})
	case "open":
		e.after(formTime, func() { e.group["state"] = "open" })
	case "close":
		e.group["state"] = "closing"
		if o.Mode == "cut" || e.running == 0 {
			e.group["state"] = "ready"
		}
	case "leave":
		e.group, e.members = nil, nil
	case "stage":
		gen := e.gen
		d := e.w.models[o.Model].load
		if e.w.early() {
			d /= 10
		}
		time.AfterFunc(d, func() {
			e.mu.Lock()
			e.staged = []string{o.Model}
			e.mu.Unlock()
			_ = gen
			e.publish()
		})
	default:
		return 400
	}
	return 202
}

// after changes the state of the membership later, unless the membership changes before. The caller holds the lock.
func (e *engine) after(d time.Duration, change func()) {
	gen := e.gen
	time.AfterFunc(d, func() {
		e.mu.Lock()
		if e.gen != gen || e.group == nil {
			e.mu.Unlock()
			return
		}
		change()
		e.mu.Unlock()
		e.publish()
	})
}

// serve runs a request, or turns it away if it is for another engine or the engine is no open head.
func (e *engine) serve(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := &arrival{at: time.Now(), id: r.Header.Get("X-Attempt-Id"), path: r.URL.Path, engine: e.id, from: r.RemoteAddr}
	rw.Header().Set("X-Attempt-Id", a.id)
	e.mu.Lock()
	head := e.domain == "" || e.group != nil && e.group["state"] == "open"
	work := e.work
	e.mu.Unlock()
	if r.Header.Get("X-Target-Instance") != e.id || !head {
		e.w.noteArrival(a)
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(421)
		return
	}
	a.ran = true
	e.w.noteArrival(a)
	rw.Header().Set("X-Server-Seal", "seal-"+e.id+"-"+a.id)
	if e.domain != "" {
		e.stream(rw, r, a)
		return
	}
	if work != nil {
		time.Sleep(work(r))
	}
	_, err = fmt.Fprintf(rw, "%s %s by %s for %s, %d bytes", r.Method, r.URL.Path, e.id, r.Header.Get("X-Tenant"), len(body))
	if err == nil {
		e.w.noteAnswered(a)
	}
}

// stream sends thirty events, 20 ms apart. While the group lacks a member nothing moves, and after stallTime the group is broken.
func (e *engine) stream(rw http.ResponseWriter, r *http.Request, a *arrival) {
	e.mu.Lock()
	e.running++
	members, group, epoch := e.members, e.group["name"], e.group["epoch"]
	e.mu.Unlock()
	defer e.endStream()
	last := -1
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
	rw.Header().Set("Content-Type", "text/event-stream")
	for id := last + 1; id < 30; id++ {
		time.Sleep(20 * time.Millisecond)
		for !e.w.isWhole(members, group, epoch) {
			if r.Context().Err() != nil {
				return
			}
			if e.isBroken(group, epoch) {
				panic(http.ErrAbortHandler)
			}
			time.Sleep(20 * time.Millisecond)
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", id, a.id); err != nil {
			return
		}
		if http.NewResponseController(rw).Flush() != nil {
			return
		}
	}
	e.w.noteAnswered(a)
}

func (e *engine) endStream() {
	e.mu.Lock()
	e.running--
	closed := e.running == 0 && e.group != nil && e.group["state"] == "closing"
	if closed {
		e.group["state"] = "ready"
	}
	e.mu.Unlock()
	if closed {
		e.publish()
	}
}

// isBroken reports whether the group has lacked a member for stallTime, which breaks it, or the head has left it.
func (e *engine) isBroken(group, epoch any) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.group == nil || e.group["name"] != group || e.group["epoch"] != epoch {
		return true
	}
	if e.lostAt.IsZero() {
		e.lostAt = time.Now()
	}
	if time.Since(e.lostAt) >= stallTime {
		e.group["state"] = "broken"
	}
	return e.group["state"] == "broken"
}

// crash ends the engine without a word. Its entry is removed after three heartbeats.
func (e *engine) crash() {
	e.mu.Lock()
	e.gone = true
	e.mu.Unlock()
	_ = e.server.Close()
	time.AfterFunc(3*heartbeat, func() { e.w.store.del("servers/" + e.id) })
}
