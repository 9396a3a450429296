package hosted

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
)

// Model is a model of the stand-in's engines.
type Model struct {
	Name string
	Size int
}

// Platform is a store, engines of one service and endpoints of another.
type Platform struct {
	Store  *Store
	Models []Model
	Reach  func(id, address string) (string, error) // the address to list for an engine that listens at one; nil lists that itself

	server  *http.Server
	address string

	mu      sync.Mutex
	engines []*Engine
	faults  []string
}

// Names of the services, the host and the key in the stand-in's configuration.
const (
	ModelService = "guides"
	PlainService = "ledger"
	Host         = "mill.example"
	Key          = "k1"
	Account      = "observatory"
)

// Start serves a store on loopback and puts the first configuration there.
func Start(models []Model) (*Platform, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Platform{Store: NewStore(), Models: models, address: l.Addr().String()}
	p.server = &http.Server{Handler: p.Store.Handler()}
	go func() { _ = p.server.Serve(l) }() // it ends when the platform is closed
	p.Configure(1, Key)
	return p, nil
}

// Address returns the store's address.
func (p *Platform) Address() string { return p.address }

// Close ends the store and all engines.
func (p *Platform) Close() {
	_ = p.server.Close()
	for _, e := range p.Engines() {
		_ = e.server.Close()
	}
}

// Add starts an engine of a domain, or an endpoint of the plain service for no domain.
func (p *Platform) Add(id, zone, domain string, events int) (*Engine, error) {
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

// fault notes that an instance broke a rule of groups.
func (p *Platform) fault(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = append(p.faults, fmt.Sprintf(format, args...))
}

// Faults returns the rules of groups that the instances broke, in the order in which they did.
func (p *Platform) Faults() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.faults)
}

// engine returns an engine by its ID, or nil.
func (p *Platform) engine(id string) *Engine {
	for _, e := range p.Engines() {
		if e.ID == id {
			return e
		}
	}
	return nil
}

// Runs returns how often engines ran each request, by its identity.
func (p *Platform) Runs() map[string]int {
	out := map[string]int{}
	for _, e := range p.Engines() {
		e.mu.Lock()
		for id, n := range e.ran {
			out[id] += n
		}
		e.mu.Unlock()
	}
	return out
}

// Engines returns all engines and endpoints.
func (p *Platform) Engines() []*Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*Engine(nil), p.engines...)
}

// members returns the engines of a forming of a group.
func (p *Platform) members(group string, epoch uint64) []*Engine {
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

// Configure puts a version of the configuration with some keys into the store.
func (p *Platform) Configure(version int, keys ...string) {
	var models []map[string]any
	for _, m := range p.Models {
		models = append(models, map[string]any{"name": m.Name, "size": m.Size, "share": 1 / float64(len(p.Models)), "pace": 1, "loadS": loadTime.Seconds(), "warmS": warmTime.Seconds()})
	}
	route := func(name, prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "prefix": prefix, "kind": kind, "timeoutMs": 8000, "latencyGoalMs": 400, "gapTargetMs": 300, "priority": 1,
			"service": service, "maxAttempts": attempts, "public": false, "sticky": kind == "stream", "resumable": kind == "stream",
		}
	}
	p.Store.Put("op/config", map[string]any{
		"version": version,
		"routes":  []any{route("guides", "/guides/", "stream", ModelService, 2), route("holds", "/holds/", "unsafe", PlainService, 2)},
		"services": []any{
			map[string]any{"name": ModelService, "maxConns": 100, "engine": map[string]any{
				"slots": 8, "models": models, "loadsPerS": 50, "loads_at_once": 20, "keeps": 1, "formMs": formTime.Milliseconds(),
			}},
			map[string]any{"name": PlainService, "maxConns": 100},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": Account, "apiKeys": keys}},
	})
}
