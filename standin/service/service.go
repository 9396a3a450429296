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
	Capacity int           // capacity that the status reports; 0 means 64
	CallTime time.Duration // time that a call takes
}

// Service simulates a plain service. Its Handler is safe for concurrent use.
type Service struct {
	cfg          Config
	processStart int64
	mu           sync.Mutex
	inFlight     int
	leaving      bool
	runs         map[string]int // executions by method, path and idempotency key
}

// New returns a Service that has executed no call.
func New(cfg Config) *Service {
	if cfg.Capacity == 0 {
		cfg.Capacity = 64
	}
	return &Service{cfg: cfg, processStart: time.Now().UnixNano(), runs: map[string]int{}}
}

// Handler returns the service's HTTP API. GET /status returns the status, GET /runs the number
// of executions of each call, and every other path executes a call. A call with "fault=drop"
// in its query is executed, and then its connection is dropped without an answer.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", s.getStatus)
	mux.HandleFunc("GET /runs", s.getRuns)
	mux.HandleFunc("/", s.serveCall)
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
	writeJSON(w, status{Endpoint: s.cfg.Name, ProcessStart: s.processStart, Loaded: true, Leaving: s.leaving, InFlight: s.inFlight, Capacity: s.cfg.Capacity})
}

func (s *Service) getRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.runs)
}

type callResult struct {
	Path string `json:"path"`
	Runs int    `json:"runs"`
	Body string `json:"body"`
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
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
	callKey := r.Method + " " + r.URL.Path + " " + r.Header.Get("Idempotency-Key")
	s.runs[callKey]++
	n := s.runs[callKey]
	s.mu.Unlock()
	if r.URL.Query().Get("fault") == "drop" {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, callResult{Path: r.URL.RequestURI(), Runs: n, Body: string(body)})
}

// writeJSON writes v as JSON. A write error is ignored because it means that the caller has
// disconnected.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
