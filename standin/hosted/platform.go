package hosted

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Model is a model that the engines can load.
type Model struct {
	Name      string
	GroupSize int // engines in a group that serves the model
}

// Platform consists of a store, the engines of ModelService and the endpoints of
// PlainService. It is safe for concurrent use after Start, once Cold and ListedAddress are set.
type Platform struct {
	Store         *Store
	Models        []Model
	Cold          Cold                                     // of all engines and endpoints that are started; set it before they are, and before Configure
	ListedAddress func(id, address string) (string, error) // returns the address to publish for an engine that listens at address; if nil, address itself is published
	Limits        Limits                                   // of callers, in the configuration; set it before Configure

	server  *http.Server
	address string

	mu          sync.Mutex
	engines     []*Engine
	violations  []string
	moreRoutes  int           // routes of PlainService in the configuration beside the usual ones
	hidden      []int         // numbers of those that it lacks
	crashMarker string        // text in the body of requests that crash their engine; empty for none
	crashPart   string        // ID of the part of prompts that crashes engines; empty for none
	onCrash     func(*Engine) // replaces an engine that a request crashed
	crashRuns   []CrashRun
}

// Limits are the limits of callers in the configuration.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// defaultLimits are the limits that Start sets.
var defaultLimits = Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// wire returns the limits as the configuration has them.
func (l Limits) wire() map[string]any {
	return map[string]any{
		"maxHeaderBytes": l.HeaderBytes, "maxBodyBytes": l.BodyBytes,
		"headerTimeoutMs": l.HeaderTimeout.Milliseconds(), "idleTimeoutMs": l.IdleTimeout.Milliseconds(),
	}
}

// Names of the services, the host, the API key and the client account in the configuration.
const (
	ModelService = "guides"
	PlainService = "ledger"
	Host         = "mill.example"
	APIKey       = "k1"
	Account      = "observatory"
)

// Start serves a store on loopback and writes version 1 of the configuration to it.
func Start(models []Model) (*Platform, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{Store: NewStore(), Models: models, Limits: defaultLimits, address: l.Addr().String()}
	p.server = &http.Server{Handler: p.Store.Handler()}
	go func() { _ = p.server.Serve(l) }() // returns when the platform is closed
	p.Configure(1, APIKey)
	return p, nil
}

// Address returns the store's address.
func (p *Platform) Address() string { return p.address }

// Close closes the servers of the store and of all engines.
func (p *Platform) Close() {
	_ = p.server.Close()
	for _, e := range p.Engines() {
		_ = e.server.Close()
	}
}

// AddEngine starts an engine in a fabric domain, or an endpoint of PlainService if domain is
// empty. Each stream of the engine has the given number of events.
func (p *Platform) AddEngine(id, zone, domain string, events int) (*Engine, error) {
	service := ModelService
	if domain == "" {
		service = PlainService
	}
	e := &Engine{ID: id, Service: service, Zone: zone, Domain: domain, Events: events}
	p.mu.Lock()
	p.engines = append(p.engines, e)
	p.mu.Unlock()
	return e, e.start(p)
}

// addViolation records that an instance broke a rule of groups.
func (p *Platform) addViolation(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.violations = append(p.violations, fmt.Sprintf(format, args...))
}

// Violations describes each violation of a rule of groups by an instance, in order of time.
func (p *Platform) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.violations)
}

// engine returns the engine with an ID, or nil.
func (p *Platform) engine(id string) *Engine {
	for _, e := range p.Engines() {
		if e.ID == id {
			return e
		}
	}
	return nil
}

// RunCounts returns how often the engines and endpoints ran each request, by request ID.
func (p *Platform) RunCounts() map[string]int {
	out := map[string]int{}
	for _, e := range p.Engines() {
		e.mu.Lock()
		for id, times := range e.runs {
			out[id] += len(times)
		}
		e.mu.Unlock()
	}
	return out
}

// Engines returns all engines and endpoints, including killed ones.
func (p *Platform) Engines() []*Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*Engine(nil), p.engines...)
}

// groupMembers returns the engines whose membership has a group's name and epoch.
func (p *Platform) groupMembers(group string, epoch uint64) []*Engine {
	var out []*Engine
	for _, e := range p.Engines() {
		e.mu.Lock()
		if e.group.Name == group && e.group.Epoch == epoch {
			out = append(out, e)
		}
		e.mu.Unlock()
	}
	return out
}

// SetMoreRoutes sets how many routes of PlainService the next versions of the configuration have beside the usual
// ones, and the numbers of those that they lack. MoreRoutePrefix returns their prefixes.
func (p *Platform) SetMoreRoutes(n int, hidden ...int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.moreRoutes, p.hidden = n, hidden
}

// MoreRoutePrefix returns the prefix of a route by its number, from 0.
func MoreRoutePrefix(n int) string { return fmt.Sprintf("/more/%d/", n) }

// Configure writes a version of the configuration to the store, with the given API keys for
// Account.
func (p *Platform) Configure(version int, keys ...string) {
	var models []map[string]any
	for _, m := range p.Models {
		models = append(models, map[string]any{"name": m.Name, "size": m.GroupSize, "share": 1 / float64(len(p.Models)), "pace": 1, "loadS": loadTime.Seconds(), "warmS": warmTime.Seconds()})
	}
	route := func(name, prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "prefix": prefix, "kind": kind, "timeoutMs": 8000, "latencyGoalMs": 400, "gapTargetMs": 300, "priority": 1,
			"service": service, "maxAttempts": attempts, "public": false, "sticky": kind == "stream", "resumable": kind == "stream",
		}
	}
	routes := []any{route("guides", "/guides/", "stream", ModelService, 2), route("holds", "/holds/", "unsafe", PlainService, 2), route("lookups", "/lookups/", "safe", PlainService, 2)}
	p.mu.Lock()
	for n := range p.moreRoutes {
		if slices.Contains(p.hidden, n) {
			continue
		}
		routes = append(routes, route(fmt.Sprintf("more-%d", n), MoreRoutePrefix(n), "safe", PlainService, 2))
	}
	p.mu.Unlock()
	p.Store.Put("op/config", map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": ModelService, "maxConns": 100, "coldStartS": p.Cold.Time.Seconds(), "coldPerS": p.Cold.PerSecond, "engine": map[string]any{
				"slots": 8, "models": models, "loadsPerS": 50, "loads_at_once": 20, "keeps": 1, "formMs": formTime.Milliseconds(),
			}},
			map[string]any{"name": PlainService, "maxConns": 100, "coldStartS": p.Cold.Time.Seconds(), "coldPerS": p.Cold.PerSecond, "healthPath": healthPath},
		},
		"limits":  p.Limits.wire(),
		"tenants": []any{map[string]any{"name": Account, "apiKeys": keys}},
	})
}
