package resolver

import (
	"fmt"

	"amaranthmill/internal/identifier"
)

// NoConfigurationError reports that the instance has received no configuration yet.
type NoConfigurationError struct{}

func (*NoConfigurationError) Error() string { return "resolver: no configuration is in force" }

// NoRouteError reports that no route of the configuration in force matches the request.
type NoRouteError struct {
	Host, Path string
	Version    identifier.BundleVersion
}

func (e *NoRouteError) Error() string {
	return fmt.Sprintf("resolver: no route for host %q and path %q in version %d", e.Host, e.Path, e.Version)
}

// UnknownKeyError reports that the route requires a key and that the request has no key, or a key that no client account holds.
type UnknownKeyError struct {
	Route   string
	Version identifier.BundleVersion
}

func (e *UnknownKeyError) Error() string {
	return fmt.Sprintf("resolver: no client account of version %d holds the key sent to route %q", e.Version, e.Route)
}
