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
	Capacity        int           // requests that run at once; 0 is 32
	MaxQueue        int           // requests that wait; 0 is 32
	TokenInterval   time.Duration // between two tokens; 0 sends them with no pause
	FirstTokenDelay time.Duration // before the first token
	CrashOnPoison   bool          // ends the process on a prompt that contains "poison"
	Crash           func()        // ends the process
	Logger          zerolog.Logger
}

// member is a member of a replica group.
type member struct {
	Endpoint     string         `json:"endpoint"`
	Address      netip.AddrPort `json:"address"`
	ProcessStart int64          `json:"processStart,omitempty"`
}

// status is the engine's report of itself.
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

// Engine is the stand-in. Its Handler is safe for concurrent use.
type Engine struct {
	cfg    Config
	start  int64
	client *http.Client
	slots  chan struct{}

	mu      sync.Mutex
	state   status
	fence   uint64
	ctx     context.Context // ends with the present membership
	cancel  context.CancelFunc
	whole   int // members that are connected, this one not counted
	waiting int
	served  []served
}

// New returns an Engine that is in no group.
func New(cfg Config) *Engine {
	if cfg.Capacity == 0 {
		cfg.Capacity = 32
	}
	if cfg.MaxQueue == 0 {
		cfg.MaxQueue = 32
	}
	e := &Engine{cfg: cfg, start: time.Now().UnixNano(), client: &http.Client{}, slots: make(chan struct{}, cfg.Capacity)}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e
}

// Handler returns the engine's HTTP API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", e.getStatus)
	mux.HandleFunc("POST /orders", e.order)
	mux.HandleFunc("GET /member", e.serveMember)
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("PUT /leaving", e.leave)
	mux.HandleFunc("GET /served", e.getServed)
	return mux
}

func (e *Engine) report() status {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.state
	s.Endpoint, s.ProcessStart, s.ChecksFence = e.cfg.Name, e.start, e.cfg.ChecksFence
	s.InFlight, s.Capacity, s.Queued = len(e.slots), e.cfg.Capacity, e.waiting
	s.Members = slices.Clone(s.Members)
	return s
}

func (e *Engine) getStatus(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, e.report())
}

func (e *Engine) leave(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.state.Leaving = true
	e.mu.Unlock()
	answer(w, http.StatusOK, e.report())
}
