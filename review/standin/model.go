package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Times of a model engine. Before the first request, loads take a tenth of their time.
const (
	loadTime      = 1200 * time.Millisecond // a tenth of 12 s
	warmTime      = 1100 * time.Millisecond
	rejoinTime    = 200 * time.Millisecond
	formTime      = 300 * time.Millisecond
	eventInterval = 40 * time.Millisecond // five tokens
	streamEvents  = 35
)

// membership is an engine's place in a group.
type membership struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"` // joining, ready, open or closing
}

// modelEngine is an engine that serves streams as the head of a group. It takes orders as the pages describe them; the
// case that uses it loses no members, so that a group never stands still.
type modelEngine struct {
	id, zone, domain string
	rec              *record
	store            *store
	runs             *runs

	address string
	born    int64
	server  *http.Server
	stop    chan struct{}

	mu         sync.Mutex
	leaving    bool
	beats      int
	sequence   uint64
	maxEpoch   uint64
	group      membership
	members    []string
	model      string // of the group
	lastModel  string
	staged     []string
	generation int // counts the changes of the membership
	running    int
	crashed    bool
	onCrash    func() // called when a request crashes the engine
}

// crashText in the body of a request crashes each engine that begins to run it.
const crashText = "crash"

// order is what an instance sends to an engine.
type order struct {
	Op       string   `json:"op"`
	Expected *uint64  `json:"expected"`
	Group    string   `json:"group"`
	Epoch    uint64   `json:"epoch"`
	Model    string   `json:"model"`
	Members  []string `json:"members"`
}

func (e *modelEngine) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.address, e.born, e.stop = l.Addr().String(), time.Now().UnixMilli(), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", e.serveReport)
	mux.HandleFunc("POST /v1/order", e.serveOrder)
	mux.HandleFunc("/", e.serve)
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(l) }() // returns when the server is closed
	e.publish()
	go func() {
		t := time.NewTicker(beatInterval)
		defer t.Stop()
		for {
			select {
			case <-e.stop:
				return
			case <-t.C:
				e.publish()
			}
		}
	}()
	return nil
}

// publish writes the engine's entry. It returns whether the store has accepted it.
func (e *modelEngine) publish() bool {
	e.mu.Lock()
	if e.crashed {
		e.mu.Unlock()
		return false
	}
	entry := e.entry()
	e.beats++
	entry["sequence"] = e.beats
	e.mu.Unlock()
	return e.store.beat(e.id, entry)
}

// entry returns what the engine says of itself. e.mu is held.
func (e *modelEngine) entry() map[string]any {
	state, models := "ready", []any{}
	if e.staged == nil {
		e.staged = []string{}
	}
	if e.leaving {
		state = "draining"
	}
	if e.lastModel != "" {
		models = append(models, map[string]any{"name": e.lastModel, "version": 1, "adapters": []any{}})
	}
	out := map[string]any{
		"service": "guides", "address": e.address, "zone": e.zone, "version": "v1", "slots": 17, "state": state, "coldLeftMs": 0, "stage": "both",
		"models": models, "staged": e.staged, "domain": e.domain, "born": e.born,
	}
	if e.group.Name != "" {
		out["group"] = e.group
	}
	return out
}

// leave makes the engine report that it is draining, until the store has accepted that. It returns the time of the ack.
func (e *modelEngine) leave() time.Time {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	for !e.publish() {
		time.Sleep(50 * time.Millisecond)
	}
	return time.Now()
}

// sayLeaving adds the header of an engine that leaves. e.mu is held.
func (e *modelEngine) sayLeaving(w http.ResponseWriter) {
	if e.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
}

func (e *modelEngine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	out := e.entry()
	out["sequence"], out["busy"], out["queued"], out["running"], out["kvUsed"], out["kvTotal"], out["handles"] = e.sequence, e.group.State == "joining", 0, e.running, 0, 1860000, 0
	e.sayLeaving(w)
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // fails only if the caller has gone
}

func (e *modelEngine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("X-Target-Instance"); id != "" && id != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	status := e.execute(o)
	if status == http.StatusAccepted {
		e.sequence++
	}
	e.sayLeaving(w)
	e.mu.Unlock()
	e.rec.event("order %s %s group %s epoch %d members %v: %d", e.id, o.Op, o.Group, o.Epoch, o.Members, status)
	w.WriteHeader(status)
	e.publish()
}

// execute carries out an order and returns the status of its answer. e.mu is held.
func (e *modelEngine) execute(o order) int {
	isOwn := o.Group != "" && e.group.Name == o.Group && e.group.Epoch == o.Epoch
	switch {
	case o.Op == "join" && (o.Epoch < e.maxEpoch || isOwn && !slices.Equal(o.Members, e.members)):
		return http.StatusPreconditionFailed
	case o.Op == "join" && isOwn, o.Op == "open" && isOwn && e.group.State == "open":
		return http.StatusOK
	case o.Expected != nil && *o.Expected != e.sequence:
		return http.StatusConflict
	case o.Op == "join":
		e.join(o)
		return http.StatusAccepted
	case o.Op == "stage":
		return http.StatusOK // there is one model only
	case !isOwn:
		return http.StatusConflict
	}
	switch o.Op {
	case "open":
		if e.group.State != "ready" || e.group.Rank != 0 {
			return http.StatusConflict
		}
		e.changeAfter(formTime, "open", "")
	case "close":
		if e.group.State != "open" {
			return http.StatusConflict
		}
		e.group.State = "closing"
		e.closeWhenIdle()
	case "leave":
		e.generation++
		e.group, e.members = membership{}, nil
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

// join replaces the membership. e.mu is held.
func (e *modelEngine) join(o order) {
	delay := loadTime
	switch {
	case e.lastModel == o.Model:
		delay = rejoinTime
	case slices.Contains(e.staged, o.Model):
		delay = warmTime
	}
	e.generation++
	e.maxEpoch, e.members, e.model = o.Epoch, o.Members, o.Model
	e.group = membership{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, e.id), State: "joining"}
	e.changeAfter(delay, "ready", o.Model)
}

// changeAfter sets the state of the membership after a delay, unless the membership changes before. With a model, the
// engine has loaded it by then. e.mu is held.
func (e *modelEngine) changeAfter(delay time.Duration, state, model string) {
	generation := e.generation
	time.AfterFunc(delay, func() {
		e.mu.Lock()
		isCurrent := e.generation == generation
		if isCurrent {
			e.group.State = state
		}
		if isCurrent && model != "" {
			e.lastModel, e.staged = model, []string{model}
		}
		e.mu.Unlock()
		if isCurrent {
			e.publish()
		}
	})
}

// closeWhenIdle makes a head that closes ready once nothing runs. e.mu is held.
func (e *modelEngine) closeWhenIdle() {
	generation := e.generation
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			e.mu.Lock()
			if e.generation != generation || e.running == 0 {
				if e.generation == generation {
					e.group.State = "ready"
				}
				e.mu.Unlock()
				e.publish()
				return
			}
			e.mu.Unlock()
		}
	}()
}

// crash ends the engine's process. Its entry is removed after some beats of silence.
func (e *modelEngine) crash() {
	e.mu.Lock()
	isFirst := !e.crashed
	e.crashed = true
	e.group, e.members = membership{}, nil
	e.generation++
	e.mu.Unlock()
	if !isFirst {
		return
	}
	e.rec.event("engine %s crashes", e.id)
	close(e.stop)
	go func() { _ = e.server.Close() }()
	if e.onCrash != nil {
		e.onCrash()
	}
}

func (e *modelEngine) isHead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.group.State == "open"
}

// serve runs a stream. An engine that is no open head of the model's group does not run it.
func (e *modelEngine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	body, _ := io.ReadAll(r.Body)
	from := 0
	if text := r.Header.Get("Last-Event-Id"); text != "" {
		last, _ := strconv.Atoi(text)
		from = last + 1
	}
	e.mu.Lock()
	w.Header().Set("X-Attempt-Id", id)
	e.sayLeaving(w)
	if r.Header.Get("X-Target-Instance") != e.id || e.group.State != "open" || r.Header.Get("X-Model") != e.model {
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.running++
	group := e.group
	e.mu.Unlock()
	defer func() { e.mu.Lock(); e.running--; e.mu.Unlock() }()
	e.runs.add(run{at: time.Now(), id: id, engine: e.id, service: "guides", method: r.Method, target: r.RequestURI, tenant: r.Header.Get("X-Tenant")})
	e.rec.event("engine %s as head of %s runs %s", e.id, group.Name, id)
	if string(body) == crashText {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Server-Seal", seal(id))
	flush := http.NewResponseController(w).Flush
	for i := from; i < streamEvents; i++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventInterval):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, id, i)
		_ = flush() // fails only if the caller has gone
	}
}
