package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Config configures a Service. Name is required.
type Config struct {
	Name     string
	Capacity int           // as reported; 0 is 64
	CallTime time.Duration // how long a call takes
}

// Service is the stand-in. Its Handler is safe for concurrent use.
type Service struct {
	cfg      Config
	start    int64
	mu       sync.Mutex
	inFlight int
	leaving  bool
	runs     map[string]int
}

// New returns a Service that ran nothing yet.
func New(cfg Config) *Service {
	if cfg.Capacity == 0 {
		cfg.Capacity = 64
	}
	return &Service{cfg: cfg, start: time.Now().UnixNano(), runs: map[string]int{}}
}

// Handler returns the service's HTTP API: its status, the counts of runs and, at every
// other path, a call. A call with "fault=drop" in its query runs and drops the connection.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", s.getStatus)
	mux.HandleFunc("GET /runs", s.getRuns)
	mux.HandleFunc("/", s.call)
	return mux
}

type status struct {
	Endpoint     string `json:"endpoint"`
	ProcessStart int64  `json:"processStart"`
	Loaded       bool   `json:"loaded"`
	Leaving      bool   `json:"leaving"`
	InFlight     int    `json:"inFlight"`
	Queued       int    `json:"queued"`
	Capacity     int    `json:"capacity"`
}

func (s *Service) getStatus(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer(w, status{Endpoint: s.cfg.Name, ProcessStart: s.start, Loaded: true, Leaving: s.leaving, InFlight: s.inFlight, Capacity: s.cfg.Capacity})
}

func (s *Service) getRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer(w, s.runs)
}

type result struct {
	Path string `json:"path"`
	Runs int    `json:"runs"`
	Body string `json:"body"`
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	s.inFlight++
	s.mu.Unlock()
	time.Sleep(s.cfg.CallTime)
	s.mu.Lock()
	s.inFlight--
	name := r.Method + " " + r.URL.Path + " " + r.Header.Get("Idempotency-Key")
	s.runs[name]++
	n := s.runs[name]
	s.mu.Unlock()
	if r.URL.Query().Get("fault") == "drop" {
		panic(http.ErrAbortHandler)
	}
	answer(w, result{Path: r.URL.RequestURI(), Runs: n, Body: string(body)})
}

// answer writes v as JSON. A caller that has gone needs no error.
func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
