package hosted

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Times of an engine. They are short to keep tests short.
const (
	rejoinTime          = 20 * time.Millisecond // to join a group with the model already loaded
	warmTime            = 40 * time.Millisecond // to load staged weights
	loadTime            = 80 * time.Millisecond // to stage weights, or to load weights that are not staged
	formTime            = 30 * time.Millisecond // to open a group whose members are ready
	normalEventInterval = 20 * time.Millisecond // between two events of a stream
	workTime            = 15 * time.Millisecond // to run a plain request
	entryTTL            = time.Second           // until the entry of an engine that stopped writing it is removed
)

// Engine is a model engine or, without a fabric domain, an endpoint of a plain service. It
// writes its entry to the store whenever its state changes. It is safe for concurrent use.
type Engine struct {
	ID, Service, Zone, Domain string
	Events                    int // number of events in each stream

	platform *Platform
	store    *Store
	server   *http.Server
	addr     string // published in the entry

	mu              sync.Mutex
	dead            bool
	disconnected    bool        // does not write its entry to the store
	slowdown        int         // factor on the time between events; zero means 1
	answerLoss      lossCounter // answers to plain requests that were run
	silence         silence
	statement       statement
	limiting        limiting
	cooling         cooling
	unframed        bool                     // answers end with their connections
	unframedAnswers map[*unframedAnswer]bool // those that have not ended
	brokenEvent     int                      // ID of the event in which each stream breaks off; zero means none
	draining        bool
	born            int64 // start time in Unix milliseconds
	acceptedOrders  uint64
	writes          uint64 // of its entry
	models          []string
	staged          []string
	group           membership
	runs            map[string][]time.Time // when runs began, by request ID
	members         []string               // IDs of the group's members by rank; the first is the head
	wasReady        map[string]bool        // whether the engine was ready in a group, by readyKey
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

// start serves the engine on a free port of loopback and publishes its entry.
func (e *Engine) start(p *Platform) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.platform, e.store, e.addr, e.runs, e.born = p, p.Store, l.Addr().String(), map[string][]time.Time{}, time.Now().UnixMilli()
	e.startCold(p.Cold)
	e.wasReady, e.unframedAnswers = map[string]bool{}, map[*unframedAnswer]bool{}
	if p.ListedAddress != nil {
		if e.addr, err = p.ListedAddress(e.ID, e.addr); err != nil {
			return err
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", func(w http.ResponseWriter, _ *http.Request) {
		e.awaitEndOfSilence()
		e.sayLeaving(w)
		writeJSON(w, http.StatusOK, e.report())
	})
	mux.HandleFunc("POST /v1/order", e.serveOrder)
	mux.HandleFunc("GET "+healthPath, e.serveHealth)
	mux.HandleFunc("/", e.serve)
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(l) }() // returns when the engine's server is closed
	e.publish()
	return nil
}

// Kill closes the engine's server abruptly. Its entry stays in the store for entryTTL.
func (e *Engine) Kill() {
	e.mu.Lock()
	e.dead = true
	e.mu.Unlock()
	_ = e.server.Close()
	e.resetUnframedAnswers()
	time.AfterFunc(entryTTL, func() { e.store.Remove("servers/" + e.ID) })
}

// Hide disconnects the engine from the store, which removes the engine's entry after
// entryTTL unless Show is called before. Requests still reach the engine.
func (e *Engine) Hide() {
	e.mu.Lock()
	e.disconnected = true
	e.mu.Unlock()
	time.AfterFunc(entryTTL, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.disconnected {
			e.store.Remove("servers/" + e.ID)
		}
	})
}

// Show reconnects the engine to the store and publishes its entry.
func (e *Engine) Show() {
	e.mu.Lock()
	e.disconnected = false
	e.mu.Unlock()
	e.publish()
}

// Drain makes the engine report that it is draining. It serves until it is killed.
func (e *Engine) Drain() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.publish()
}

// Slow multiplies the time between the events of the engine's streams by factor. A factor
// of 1 restores the normal rate.
func (e *Engine) Slow(factor int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// LoseAnswers makes the endpoint run every n-th plain request without answering it. Zero
// turns this off.
func (e *Engine) LoseAnswers(every int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answerLoss.every = every
}

// losesAnswer counts a plain request and reports whether its answer is lost.
func (e *Engine) losesAnswer() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answerLoss.losesNext()
}

// IsHead reports whether the engine serves as the head of a group.
func (e *Engine) IsHead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.dead && e.group.State == "open"
}

// Runs returns how often the engine ran the request with an ID.
func (e *Engine) Runs(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs[id])
}

// LastRuns returns when the engine last began to run each request, by request ID.
func (e *Engine) LastRuns() map[string]time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]time.Time{}
	for id, times := range e.runs {
		out[id] = times[len(times)-1]
	}
	return out
}

// publish writes the engine's entry to the store, unless the engine was killed or is
// disconnected from the store.
func (e *Engine) publish() {
	e.mu.Lock()
	unpublished := e.dead || e.disconnected
	e.writes++
	writes := e.writes
	e.mu.Unlock()
	if unpublished {
		return
	}
	entry := e.report()
	entry["sequence"] = writes
	e.store.Put("servers/"+e.ID, entry)
}

// report returns the engine's report, which is also the value of its entry but for the sequence.
func (e *Engine) report() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := "ready"
	if e.draining {
		state = "draining"
	}
	out := map[string]any{
		"service": e.Service, "address": e.addr, "zone": e.Zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": e.cooling.left().Milliseconds(),
		"sequence": e.acceptedOrders, "born": e.born,
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

// healthPath is the path of liveness checks of endpoints of PlainService.
const healthPath = "/health"

func (e *Engine) serveHealth(w http.ResponseWriter, _ *http.Request) {
	e.awaitEndOfSilence()
	w.Header().Set("X-Instance-Id", e.ID)
	e.sayCold(w)
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.awaitEndOfSilence()
	e.sayLeaving(w)
	if id := r.Header.Get("X-Target-Instance"); id != "" && id != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.Op == "join" {
		e.checkJoin(o)
	}
	w.WriteHeader(e.execute(o))
	e.publish()
}

// execute applies an order and returns the status of the answer.
func (e *Engine) execute(o order) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	isCurrent := e.group.Name == o.Group && e.group.Epoch == o.Epoch
	switch {
	case o.Expected != nil && *o.Expected != e.acceptedOrders:
		return http.StatusConflict
	case o.Op == "join" && o.Epoch < e.group.Epoch:
		return http.StatusPreconditionFailed
	case o.Op == "open" && (!isCurrent || e.group.State != "ready" || e.group.Rank != 0):
		return http.StatusConflict
	case (o.Op == "leave" || o.Op == "close") && !isCurrent:
		return http.StatusConflict
	}
	e.acceptedOrders++
	switch o.Op {
	case "join":
		e.group = membership{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, e.ID), State: "joining"}
		e.members = o.Members
		e.changeStateAfter(e.joinTime(o.Model), "ready", func() { e.models, e.staged = []string{o.Model}, []string{o.Model} })
	case "open":
		e.changeStateAfter(formTime, "open", nil)
	case "close":
		e.group.State = "ready"
	case "leave":
		e.group = membership{}
	case "stage":
		time.AfterFunc(loadTime, func() {
			e.mu.Lock()
			e.staged = []string{o.Model}
			e.mu.Unlock()
			e.publish()
		})
	}
	return http.StatusAccepted
}

// readyKey returns the key of a group's epoch in Engine.wasReady.
func readyKey(group string, epoch uint64) string { return group + "/" + strconv.FormatUint(epoch, 10) }

// checkJoin records a violation if a join order takes the engine out of a group whose head
// still serves or is closing. The head itself may be ordered to join another group.
func (e *Engine) checkJoin(o order) {
	e.mu.Lock()
	was, members := e.group, e.members
	e.mu.Unlock()
	if was.Name == "" || was.Name == o.Group && was.Epoch == o.Epoch || was.Rank == 0 {
		return
	}
	head := e.platform.engine(members[0])
	head.mu.Lock()
	defer head.mu.Unlock()
	sameGroup := head.group.Name == was.Name && head.group.Epoch == was.Epoch
	if !head.dead && sameGroup && (head.group.State == "open" || head.group.State == "closing") {
		e.platform.addViolation("%s joins %s while %s serves with it as %s", e.ID, o.Group, head.ID, was.Name)
	}
}

// checkGroupReady records a violation for each member of the group that was never ready in
// the group's epoch, because a request must run only in a complete group.
func (e *Engine) checkGroupReady(group membership, members []string) {
	for _, id := range members {
		m := e.platform.engine(id)
		m.mu.Lock()
		ready := m.wasReady[readyKey(group.Name, group.Epoch)]
		m.mu.Unlock()
		if !ready {
			e.platform.addViolation("%s runs a request in %s, in which %s was never ready", e.ID, group.Name, id)
		}
	}
}

// joinTime returns how long a join takes, which depends on whether the model is loaded or
// staged.
func (e *Engine) joinTime(model string) time.Duration {
	switch {
	case slices.Contains(e.models, model):
		return rejoinTime
	case slices.Contains(e.staged, model):
		return warmTime
	}
	return loadTime
}

// changeStateAfter sets the state of the membership after a delay, unless the membership
// changes before. It calls onChange, if not nil, with the lock held. The caller holds the
// lock.
func (e *Engine) changeStateAfter(delay time.Duration, state string, onChange func()) {
	before := e.group
	time.AfterFunc(delay, func() {
		e.mu.Lock()
		unchanged := e.group == before
		if unchanged {
			e.group.State = state
			e.wasReady[readyKey(e.group.Name, e.group.Epoch)] = true
			if onChange != nil {
				onChange()
			}
		}
		e.mu.Unlock()
		if unchanged {
			e.publish()
		}
	})
}

// IsDead reports whether the engine was killed.
func (e *Engine) IsDead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}
