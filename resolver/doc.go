// Package resolver finds the route and the client account of a request in the operator's configuration.
//
// A Resolver holds the configuration in force. It accepts a configuration only if its
// version is higher than the version in force, whatever the source, so that a delayed
// older configuration never reverts a change. A request is resolved once, on arrival, and
// keeps the result even if the configuration changes: among the routes of its host, the
// one with the longest prefix of its path, and the client account that holds its API key.
// Without a configuration, Resolve returns an error; there are no default routes.
package resolver
