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

// TestResolve runs scripts: "set" offers a configuration of lines "route name host prefix [public]"
// and "account name priority keys"; "resolve" asks for "host path [key]".
func TestResolve(t *testing.T) {
	datadriven.Walk(t, "testdata/resolve", func(t *testing.T, path string) {
		r := &resolver.Resolver{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "set":
				var version uint64
				d.ScanArgs(t, "version", &version)
				return fmt.Sprintf("in force: %t, version %d\n", r.Set(configuration(version, d.Input)), r.Version())
			case "resolve":
				return resolve(r, strings.Fields(d.Input))
			}
			return "unknown command\n"
		})
	})
}

func configuration(version uint64, text string) *resolver.Configuration {
	c := &resolver.Configuration{Version: identifier.BundleVersion(version)}
	for line := range strings.Lines(text) {
		w := strings.Fields(line)
		switch w[0] {
		case "route":
			c.Routes = append(c.Routes, resolver.Route{
				Name: w[1], Host: w[2], Prefix: w[3], Priority: 5, Public: len(w) > 4,
				Shares: []resolver.Share{{Service: "guides", Weight: 1}},
			})
		case "account":
			a := resolver.Account{Name: identifier.ClientAccount(w[1]), Keys: w[3:]}
			if w[2] != "-" {
				_, _ = fmt.Sscan(w[2], &a.Priority)
				a.HasPriority = true
			}
			c.Accounts = append(c.Accounts, a)
		}
	}
	return c
}

func resolve(r *resolver.Resolver, words []string) string {
	q := resolver.Query{Host: words[0], Path: words[1]}
	if len(words) > 2 {
		q.Key = words[2]
	}
	m, err := r.Resolve(q)
	if err != nil {
		return err.Error() + "\n"
	}
	return fmt.Sprintf("%s for %q, priority %d, version %d\n", m.Route.Name, m.Account, m.Priority, m.Version)
}

// TestErrors holds that each refusal has a type of its own.
func TestErrors(t *testing.T) {
	is := is.New(t)
	r := &resolver.Resolver{}
	_, err := r.Resolve(resolver.Query{Host: "h", Path: "/"})
	var none *resolver.NoConfigurationError
	is.True(errors.As(err, &none))
	r.Set(configuration(1, "route a h /a/\naccount obs - k1"))
	_, err = r.Resolve(resolver.Query{Host: "h", Path: "/b/"})
	var noRoute *resolver.NoRouteError
	is.True(errors.As(err, &noRoute))
	_, err = r.Resolve(resolver.Query{Host: "h", Path: "/a/x", Key: "k2"})
	var unknown *resolver.UnknownKeyError
	is.True(errors.As(err, &unknown))
}

// TestSplit holds that requests are split in proportion to the weights.
func TestSplit(t *testing.T) {
	is := is.New(t)
	route := resolver.Route{Shares: []resolver.Share{{Service: "old", Weight: 90}, {Service: "new", Weight: 10}}}
	is.Equal(route.PickService(0), identifier.Service("old"))
	is.Equal(route.PickService(0.89), identifier.Service("old"))
	is.Equal(route.PickService(0.91), identifier.Service("new"))
}
