package engine

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Config configures an Engine. Name, Address and Platform are required.
type Config struct {
	Name            string
	Address         netip.AddrPort
	Platform        netip.AddrPort
	ChecksFence     bool
	Capacity        int           // maximum number of running requests; 0 means 32
	MaxQueue        int           // maximum number of waiting requests; 0 means 32
	TokenInterval   time.Duration // time between two tokens; 0 sends them without a pause
	FirstTokenDelay time.Duration // time before the first token
	CrashOnPoison   bool          // calls Crash when a prompt contains "poison"
	Crash           func()        // ends the process
	Logger          zerolog.Logger
}

// member is a member of a replica group.
type member struct {
	Endpoint     string         `json:"endpoint"`
	Address      netip.AddrPort `json:"address"`
	ProcessStart int64          `json:"processStart,omitempty"`
}

// status is the engine's status report, as GET /status returns it.
type status struct {
	Endpoint      string   `json:"endpoint"`
	ProcessStart  int64    `json:"processStart"`
	Group         string   `json:"group"`
	Epoch         uint64   `json:"epoch"`
	Members       []member `json:"members"`
	BundleVersion uint64   `json:"bundleVersion"`
	Base          string   `json:"base"`
	Version       string   `json:"version"`
	Adapters      []string `json:"adapters"`
	Loaded        bool     `json:"loaded"`
	Leaving       bool     `json:"leaving"`
	InFlight      int      `json:"inFlight"`
	Queued        int      `json:"queued"`
	Capacity      int      `json:"capacity"`
	ChecksFence   bool     `json:"checksFence"`
}

// Engine simulates a model engine. Its Handler is safe for concurrent use.
type Engine struct {
	cfg          Config
	processStart int64
	client       *http.Client
	slots        chan struct{}

	mu        sync.Mutex
	state     status
	fence     uint64          // highest fencing number received
	ctx       context.Context // canceled when the current membership ends or loses a member
	cancel    context.CancelFunc
	connected int // number of other members with an open connection
	waiting   int
	counts    []requestCounts
}

// New returns an Engine that belongs to no group.
func New(cfg Config) *Engine {
	if cfg.Capacity == 0 {
		cfg.Capacity = 32
	}
	if cfg.MaxQueue == 0 {
		cfg.MaxQueue = 32
	}
	e := &Engine{cfg: cfg, processStart: time.Now().UnixNano(), client: &http.Client{}, slots: make(chan struct{}, cfg.Capacity)}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e
}

// Handler returns the engine's HTTP API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", e.getStatus)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("GET /member", e.serveMember)
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("PUT /leaving", e.setLeaving)
	mux.HandleFunc("GET /served", e.getServed)
	return mux
}

func (e *Engine) report() status {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state
	s.Endpoint, s.ProcessStart, s.ChecksFence = e.cfg.Name, e.processStart, e.cfg.ChecksFence
	s.InFlight, s.Capacity, s.Queued = len(e.slots), e.cfg.Capacity, e.waiting
	s.Members = slices.Clone(s.Members)
	return s
}

func (e *Engine) getStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.report())
}

func (e *Engine) setLeaving(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.state.Leaving = true
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, e.report())
}
