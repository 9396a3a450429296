package resolver_test

import (
	"fmt"

	"amaranthmill/resolver"
)

// A configuration with a lower version does not replace the configuration in force. The route
// with the longest matching prefix is selected.
func ExampleResolver() {
	var r resolver.Resolver
	fmt.Println(r.Set(&resolver.Configuration{
		Version: 4,
		Routes: []resolver.Route{
			{Name: "all", Host: "guides.example", Prefix: "/"},
			{Name: "drafts", Host: "guides.example", Prefix: "/drafts/"},
		},
		Accounts: []resolver.Account{{Name: "family", Keys: []string{"k-1"}}},
	}))
	fmt.Println(r.Set(&resolver.Configuration{Version: 3}))
	m, err := r.Resolve(resolver.Query{Host: "guides.example", Path: "/drafts/7", Key: "k-1"})
	fmt.Println(m.Version, m.Route.Name, m.Account, err)
	// Output:
	// true
	// false
	// 4 drafts family <nil>
}
