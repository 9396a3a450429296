package resolver_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
)

// TestResolve runs the scripts in testdata. The command "set" offers a configuration of lines
// "route NAME HOST PREFIX [public]" and "account NAME PRIORITY KEY...", where the priority "-"
// means none. The command "resolve" resolves "HOST PATH [KEY]".
func TestResolve(t *testing.T) {
	datadriven.Walk(t, "testdata/resolve", func(t *testing.T, path string) {
		r := &resolver.Resolver{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "set":
				var version uint64
				d.ScanArgs(t, "version", &version)
				return fmt.Sprintf("in force: %t, version %d\n", r.Set(parseConfiguration(version, d.Input)), r.Version())
			case "resolve":
				return resolve(r, strings.Fields(d.Input))
			}
			return "unknown command\n"
		})
	})
}

// parseConfiguration builds a configuration from lines of a script.
func parseConfiguration(version uint64, text string) *resolver.Configuration {
	c := &resolver.Configuration{Version: identifier.BundleVersion(version)}
	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		switch fields[0] {
		case "route":
			c.Routes = append(c.Routes, resolver.Route{
				Name: fields[1], Host: fields[2], Prefix: fields[3], Priority: 5, Public: len(fields) > 4,
				Shares: []resolver.Share{{Service: "guides", Weight: 1}},
			})
		case "account":
			a := resolver.Account{Name: identifier.ClientAccount(fields[1]), Keys: fields[3:]}
			if fields[2] != "-" {
				_, _ = fmt.Sscan(fields[2], &a.Priority)
				a.HasPriority = true
			}
			c.Accounts = append(c.Accounts, a)
		}
	}
	return c
}

// resolve resolves the query "HOST PATH [KEY]" and formats the match or the error.
func resolve(r *resolver.Resolver, fields []string) string {
	q := resolver.Query{Host: fields[0], Path: fields[1]}
	if len(fields) > 2 {
		q.Key = fields[2]
	}
	m, err := r.Resolve(q)
	if err != nil {
		return err.Error() + "\n"
	}
	return fmt.Sprintf("%s for %q, priority %d, version %d\n", m.Route.Name, m.Account, m.Priority, m.Version)
}

// TestErrors checks that each failure to resolve a request has its own error type.
func TestErrors(t *testing.T) {
	is := is.New(t)
	r := &resolver.Resolver{}
	_, err := r.Resolve(resolver.Query{Host: "h", Path: "/"})
	var noConfiguration *resolver.NoConfigurationError
	is.True(errors.As(err, &noConfiguration))
	r.Set(parseConfiguration(1, "route a h /a/\naccount obs - k1"))
	_, err = r.Resolve(resolver.Query{Host: "h", Path: "/b/"})
	var noRoute *resolver.NoRouteError
	is.True(errors.As(err, &noRoute))
	_, err = r.Resolve(resolver.Query{Host: "h", Path: "/a/x", Key: "k2"})
	var unknownKey *resolver.UnknownKeyError
	is.True(errors.As(err, &unknownKey))
}

// TestSplit checks that requests are split among services in proportion to the weights.
func TestSplit(t *testing.T) {
	is := is.New(t)
	route := resolver.Route{Shares: []resolver.Share{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}}
	is.Equal(route.PickService(0), identifier.Service("old"))
	is.Equal(route.PickService(0.89), identifier.Service("old"))
	is.Equal(route.PickService(0.91), identifier.Service("new"))
}
