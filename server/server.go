package server

import (
	"context"
	"net/http"
	"path"
	"sync/atomic"

	"amaranthmill/bundler"
	"amaranthmill/evictor"
	"amaranthmill/internal/identifier"
	"amaranthmill/router"

	"github.com/rs/zerolog"
)

// defaultBodySize is the maximum size of a request's body, in bytes.
const defaultBodySize = 1 << 20

// Dispatcher serves requests. *dispatcher.Dispatcher implements it.
type Dispatcher interface {
	// Serve serves q, sends the answer to w and returns the outcome as soon as it is known. It
	// stops when ctx is done.
	Serve(ctx context.Context, q router.Request, w router.Writer) router.Outcome
}

// Config configures a Server. Bundle, Dispatcher, Ready and NewRequest are required.
type Config struct {
	Bundle     func() *bundler.Bundle    // the bundle in force, nil if there is none
	Dispatcher Dispatcher                // serves the requests
	Ready      func() error              // the reason why the instance should get no requests, or nil
	NewRequest func() identifier.Request // returns a unique request ID
	BodySize   int64                     // maximum size of a request's body in bytes; 0 selects 1 MiB
	Memory     *evictor.Memory           // for the bodies of requests; nil means one of the default size
	Logger     zerolog.Logger
}

// Server serves the callers of one instance. It is safe for concurrent use.
type Server struct {
	cfg      Config
	index    atomic.Pointer[index]
	draining atomic.Bool
}

// New returns a Server for cfg.
func New(cfg Config) *Server {
	if cfg.BodySize == 0 {
		cfg.BodySize = defaultBodySize
	}
	if cfg.Memory == nil {
		cfg.Memory = evictor.NewMemory(evictor.MemoryConfig{Logger: cfg.Logger})
	}
	return &Server{cfg: cfg}
}

// Drain makes the instance not ready. From then on each answer asks its caller to close the
// connection. Requests are still served.
func (s *Server) Drain() { s.draining.Store(true) }

// Handler returns the handler of the callers' HTTP API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.authenticate(s.serveCompletion))
	mux.HandleFunc("GET /v1/models", s.authenticate(s.listModels))
	mux.HandleFunc("/services/{service}/{path...}", s.authenticate(s.serveCall))
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.serveReadiness)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeProblem(w, "", newRefusal(http.StatusNotFound, "unknownPath", "There is nothing at "+r.URL.Path+". Models are at /v1/chat/completions, plain services below /services/."))
	})
	return s.closeWhileDraining(requireCleanPath(mux))
}

// requireCleanPath refuses a path that is not in its shortest form. http.ServeMux would redirect
// such a path, and the caller of a service would mistake the redirect for the service's answer.
func requireCleanPath(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if p := r.URL.Path; p == "" || p != path.Clean(p) && p != path.Clean(p)+"/" {
			writeProblem(w, "", newRefusal(http.StatusNotFound, "unknownPath", "The path "+p+" is not in its shortest form; leave out empty parts, . and .."))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// closeWhileDraining asks callers to close their connections while the instance drains.
func (s *Server) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if s.draining.Load() {
		writeProblem(w, "", newRefusal(http.StatusServiceUnavailable, "stopping", "The instance is stopping."))
		return
	}
	if err := s.cfg.Ready(); err != nil {
		writeProblem(w, "", newRefusal(http.StatusServiceUnavailable, "notReady", err.Error()))
		return
	}
	w.WriteHeader(http.StatusOK)
}
