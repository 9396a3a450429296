package resolver

import (
	"strings"
	"sync/atomic"

	"amaranthmill/internal/identifier"
)

// Resolver holds the configuration in force. The zero value holds none. It is safe for concurrent use.
type Resolver struct {
	current atomic.Pointer[index]
}

// index is a configuration with its lookup tables.
type index struct {
	configuration *Configuration
	hosts         map[string]map[string]*Route // by host, then by prefix
	accounts      map[string]*Account          // by API key
	services      map[identifier.Service]*Service
}

// Set puts c in force if its version is higher than the version in force, and reports
// whether it did. The caller must not modify c afterwards. Calls must not be concurrent.
func (r *Resolver) Set(c *Configuration) bool {
	if old := r.current.Load(); old != nil && c.Version <= old.configuration.Version {
		return false
	}
	ix := &index{
		configuration: c, hosts: map[string]map[string]*Route{}, accounts: map[string]*Account{},
		services: map[identifier.Service]*Service{},
	}
	for i := range c.Routes {
		route := &c.Routes[i]
		if ix.hosts[route.Host] == nil {
			ix.hosts[route.Host] = map[string]*Route{}
		}
		ix.hosts[route.Host][route.Prefix] = route
	}
	for i := range c.Accounts {
		for _, key := range c.Accounts[i].Keys {
			ix.accounts[key] = &c.Accounts[i]
		}
	}
	for i := range c.Services {
		ix.services[c.Services[i].Name] = &c.Services[i]
	}
	r.current.Store(ix)
	return true
}

// Configuration returns the configuration in force, or nil. The caller must not modify it.
func (r *Resolver) Configuration() *Configuration {
	if ix := r.current.Load(); ix != nil {
		return ix.configuration
	}
	return nil
}

// Version returns the version of the configuration in force, or zero.
func (r *Resolver) Version() identifier.BundleVersion {
	if c := r.Configuration(); c != nil {
		return c.Version
	}
	return 0
}

// Query holds the parts of a request that select its route and client account.
type Query struct {
	Host string // as sent by the caller, in any case, with or without a port
	Path string // as sent by the caller, without the query
	Key  string // the API key; empty for none
}

// Match is the result of resolving a request.
type Match struct {
	Version  identifier.BundleVersion
	Route    *Route
	Account  identifier.ClientAccount // empty if the request needs no key and sent none that an account holds
	Priority int                      // 0 is the highest
}

// Resolve returns the route and client account of q. If the account has a priority of its
// own, it overrides the route's. Resolve returns a *NoConfigurationError, *NoRouteError or
// *UnknownKeyError on failure.
func (r *Resolver) Resolve(q Query) (Match, error) {
	ix := r.current.Load()
	if ix == nil {
		return Match{}, &NoConfigurationError{}
	}
	version := ix.configuration.Version
	route := ix.findRoute(q)
	if route == nil {
		return Match{}, &NoRouteError{Host: q.Host, Path: q.Path, Version: version}
	}
	m := Match{Version: version, Route: route, Priority: route.Priority}
	account := ix.accounts[q.Key]
	switch {
	case account != nil && q.Key != "":
		m.Account = account.Name
		if account.HasPriority {
			m.Priority = account.Priority
		}
	case !route.Public && len(ix.configuration.Accounts) > 0:
		return Match{}, &UnknownKeyError{Route: route.Name, Version: version}
	}
	return m, nil
}

// findRoute returns the route whose prefix is the longest prefix of q.Path, or nil. Prefixes
// end with a slash.
func (ix *index) findRoute(q Query) *Route {
	prefixes := ix.hosts[hostName(q.Host)]
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(q.Path, '/'); end >= 0; end = strings.LastIndexByte(q.Path[:end], '/') {
		if route := prefixes[q.Path[:end+1]]; route != nil {
			return route
		}
	}
	return nil
}

// hostName returns host in lower case without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Service returns the named service of the configuration in force, or nil.
func (r *Resolver) Service(name identifier.Service) *Service {
	if ix := r.current.Load(); ix != nil {
		return ix.services[name]
	}
	return nil
}
