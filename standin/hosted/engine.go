package hosted

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of an engine. All are short, so that tests are.
const (
	rejoinTime = 20 * time.Millisecond
	warmTime   = 40 * time.Millisecond
	loadTime   = 80 * time.Millisecond
	formTime   = 30 * time.Millisecond
	eventTime  = 20 * time.Millisecond // between two events of a stream
	workTime   = 15 * time.Millisecond // of a plain request
	entryTime  = time.Second           // after which the store forgets an engine that it does not hear of
)

// Engine is a model engine or, without a domain, an endpoint of a plain service. It writes
// its entry into the store whenever that changes.
type Engine struct {
	ID, Service, Zone, Domain string
	Events                    int // of each stream

	platform *Platform
	store    *Store
	server   *http.Server
	addr     string // that is listed

	mu       sync.Mutex
	dead     bool
	hidden   bool // cut off from the store
	slow     int  // factor on the time between events; zero means 1
	deaf     loss // of answers to plain requests that ran
	draining bool
	born     int64
	orders   uint64
	models   []string
	staged   []string
	group    membership
	ran      map[string]int  // by identity of the request
	members  []string        // of the group, the head first
	wasReady map[string]bool // by name and epoch of a group
}

type membership struct {
	Name  string `json:"name"`
	Epoch uint64 `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

type order struct {
	Op       string   `json:"op"`
	Expected *uint64  `json:"expected"`
	Group    string   `json:"group"`
	Epoch    uint64   `json:"epoch"`
	Model    string   `json:"model"`
	Members  []string `json:"members"`
}

// start serves the engine on a free port of loopback and lists it.
func (e *Engine) start(p *Platform) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.platform, e.store, e.addr, e.ran, e.born = p, p.Store, l.Addr().String(), map[string]int{}, time.Now().UnixMilli()
	e.wasReady = map[string]bool{}
	if p.Reach != nil {
		if e.addr, err = p.Reach(e.ID, e.addr); err != nil {
			return err
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, e.report()) })
	mux.HandleFunc("POST /v1/order", e.serveOrder)
	mux.HandleFunc("/", e.serve)
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(l) }() // it ends when the engine is closed
	e.list()
	return nil
}

// Kill ends the engine without a word. Its entry stays for a while.
func (e *Engine) Kill() {
	e.mu.Lock()
	e.dead = true
	e.mu.Unlock()
	_ = e.server.Close()
	time.AfterFunc(entryTime, func() { e.store.Remove("servers/" + e.ID) })
}

// Hide cuts the engine off from the store, which forgets it after a while; Show ends that.
func (e *Engine) Hide() {
	e.mu.Lock()
	e.hidden = true
	e.mu.Unlock()
	time.AfterFunc(entryTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.hidden {
			e.store.Remove("servers/" + e.ID)
		}
	})
}

// Show lists the engine again.
func (e *Engine) Show() {
	e.mu.Lock()
	e.hidden = false
	e.mu.Unlock()
	e.list()
}

// Drain has the engine say that it leaves. It serves until it is killed.
func (e *Engine) Drain() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.list()
}

// Slow makes the engine's streams so many times slower; 1 ends that.
func (e *Engine) Slow(factor int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// LoseAnswers leaves one in so many plain requests unanswered, though it ran; zero ends that.
func (e *Engine) LoseAnswers(in int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deaf.in = in
}

// isLost reports whether the answer of this plain request gets lost.
func (e *Engine) isLost() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.deaf.next()
}

// IsHead reports whether the engine serves as the head of a group.
func (e *Engine) IsHead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.dead && e.group.State == "open"
}

// Runs returns how often the engine ran a request.
func (e *Engine) Runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[id]
}

func (e *Engine) list() {
	e.mu.Lock()
	silent := e.dead || e.hidden
	e.mu.Unlock()
	if !silent {
		e.store.Put("servers/"+e.ID, e.report())
	}
}

// report is what the engine says of itself.
func (e *Engine) report() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := "ready"
	if e.draining {
		state = "draining"
	}
	out := map[string]any{
		"service": e.Service, "address": e.addr, "zone": e.Zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
		"sequence": e.orders, "born": e.born,
	}
	if e.Domain == "" {
		return out
	}
	var models []map[string]any
	for _, m := range e.models {
		models = append(models, map[string]any{"name": m, "version": 1})
	}
	out["domain"], out["models"], out["staged"], out["stage"] = e.Domain, models, e.staged, "both"
	if e.group.Name != "" {
		out["group"] = e.group
	}
	return out
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("X-Target-Instance"); id != "" && id != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.Op == "join" {
		e.checkFree(o)
	}
	w.WriteHeader(e.carryOut(o))
	e.list()
}

func (e *Engine) carryOut(o order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	mine := e.group.Name == o.Group && e.group.Epoch == o.Epoch
	switch {
	case o.Expected != nil && *o.Expected != e.orders:
		return http.StatusConflict
	case o.Op == "join" && o.Epoch < e.group.Epoch:
		return http.StatusPreconditionFailed
	case o.Op == "open" && (!mine || e.group.State != "ready" || e.group.Rank != 0):
		return http.StatusConflict
	case (o.Op == "leave" || o.Op == "close") && !mine:
		return http.StatusConflict
	}
	e.orders++
	switch o.Op {
	case "join":
		e.group = membership{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, e.ID), State: "joining"}
		e.members = o.Members
		e.become(e.joinTime(o.Model), "ready", func() { e.models, e.staged = []string{o.Model}, []string{o.Model} })
	case "open":
		e.become(formTime, "open", nil)
	case "close":
		e.group.State = "ready"
	case "leave":
		e.group = membership{}
	case "stage":
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			e.staged = []string{o.Model}
			e.mu.Unlock()
			e.list()
		})
	}
	return http.StatusAccepted
}

func readyKey(group string, epoch uint64) string { return group + "/" + strconv.FormatUint(epoch, 10) }

// checkFree notes a join of an engine while the head of its group serves.
func (e *Engine) checkFree(o order) {
	e.mu.Lock()
	was, members := e.group, e.members
	e.mu.Unlock()
	if was.Name == "" || was.Name == o.Group && was.Epoch == o.Epoch || was.Rank == 0 {
		return
	}
	head := e.platform.engine(members[0])
	head.mu.Lock()
	defer head.mu.Unlock()
	same := head.group.Name == was.Name && head.group.Epoch == was.Epoch
	if !head.dead && same && (head.group.State == "open" || head.group.State == "closing") {
		e.platform.fault("%s joins %s while %s serves with it as %s", e.ID, o.Group, head.ID, was.Name)
	}
}

// checkWhole notes a request that begins in a group that never was complete.
func (e *Engine) checkWhole(group membership, members []string) {
	for _, id := range members {
		m := e.platform.engine(id)
		m.mu.Lock()
		ready := m.wasReady[readyKey(group.Name, group.Epoch)]
		m.mu.Unlock()
		if !ready {
			e.platform.fault("%s runs a request in %s, in which %s was never ready", e.ID, group.Name, id)
		}
	}
}

func (e *Engine) joinTime(model string) time.Duration {
	switch {
	case slices.Contains(e.models, model):
		return rejoinTime
	case slices.Contains(e.staged, model):
		return warmTime
	}
	return loadTime
}

// become changes the state of the membership after a while, unless the membership changed.
func (e *Engine) become(after time.Duration, state string, also func()) {
	was := e.group
	time.AfterFunc(after, func() {
		e.mu.Lock()
		same := e.group == was
		if same {
			e.group.State = state
			e.wasReady[readyKey(e.group.Name, e.group.Epoch)] = true
			if also != nil {
				also()
			}
		}
		e.mu.Unlock()
		if same {
			e.list()
		}
	})
}

// serve runs a caller's request.
func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if want := r.Header.Get("X-Target-Instance"); want != e.ID || e.Domain != "" && !e.IsHead() {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	e.ran[id]++
	group, members := e.group, e.members
	e.mu.Unlock()
	if e.Domain != "" {
		e.checkWhole(group, members)
	}
	w.Header().Set("X-Server-Seal", e.ID)
	if e.Domain == "" {
		time.Sleep(workTime)
		if e.isLost() {
			panic(http.ErrAbortHandler) // breaks the connection off
		}
		_, _ = fmt.Fprintf(w, "%s %s for %s", r.Method, r.URL.Path, r.Header.Get("X-Tenant"))
		return
	}
	e.stream(w, r, group)
}

// stream sends events until the end, or stands still once a member of the group is dead.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, group membership) {
	last := -1
	if text := r.Header.Get("Last-Event-Id"); text != "" {
		last, _ = strconv.Atoi(strings.TrimSpace(text))
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for id := last + 1; id < e.Events; id++ {
		for _, m := range e.platform.members(group.Name, group.Epoch) {
			if m.IsDead() {
				<-r.Context().Done()
				return
			}
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, r.Header.Get("X-Attempt-Id"))
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		time.Sleep(e.pace())
	}
}

// pace returns the time between two events.
func (e *Engine) pace() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return eventTime * time.Duration(max(e.slow, 1))
}

// IsDead reports whether the engine was killed.
func (e *Engine) IsDead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}
