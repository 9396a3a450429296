package main

import (
	"encoding/json"
	"fmt"
	"time"

	"amaranthmill/bundler"
	"amaranthmill/internal/formatter"
	"amaranthmill/internal/identifier"
)

// bundleSize holds the numbers of objects in a bundle.
type bundleSize struct {
	failureDomains, pools, accounts int
}

// bundleSizes are the sizes of the benchmarks. The experiment itself uses the last one.
var bundleSizes = []bundleSize{
	{failureDomains: 3, pools: 2, accounts: 10},    // the users' current size
	{failureDomains: 10, pools: 20, accounts: 100}, // an intermediate size
	{failureDomains: 10, pools: 40, accounts: 400}, // the size that the users require: 300 groups of 4 engines in 10 failure domains
}

const modelsPerPool = 3

// sampleBundle returns a valid bundle of size s as JSON. Each client account has two keys and
// may use every model and service.
func sampleBundle(s bundleSize, version, previous identifier.BundleVersion) ([]byte, error) {
	b := bundler.Bundle{Version: version, Previous: previous, Author: "ada", Note: "a change of the measurement"}
	var usable []identifier.Service
	for i := range s.pools {
		b.Pools = append(b.Pools, samplePool(s, i))
		for j := range modelsPerPool {
			name := identifier.Service(fmt.Sprintf("guide-%d-%d", i, j))
			usable = append(usable, name)
			b.Models = append(b.Models, bundler.Model{Name: name, Pool: b.Pools[i].Name, Adapter: b.Pools[i].Adapters[j], Deadline: formatter.Duration(30 * time.Second)})
		}
	}
	b.Services = []bundler.Service{{Name: "pad-ledger", Deadline: formatter.Duration(5 * time.Second), Repeatable: []bundler.CallRule{{Method: "GET", Path: "/holds/*"}}}}
	usable = append(usable, "pad-ledger")
	for i := range s.accounts {
		b.Accounts = append(b.Accounts, bundler.Account{
			Name: identifier.ClientAccount(fmt.Sprintf("account-%d", i)), Priority: i % 10, RequestsPerSecond: 10, Burst: 20, Services: usable,
			KeyDigests: []string{keyDigest(i, "a"), keyDigest(i, "b")},
		})
	}
	return json.Marshal(b)
}

func samplePool(s bundleSize, i int) bundler.Pool {
	p := bundler.Pool{
		Name: identifier.Pool(fmt.Sprintf("pool-%d", i)), Base: "guide-70b", Version: fmt.Sprint(i), GroupSize: 4, Priority: i,
		Adapters: []string{"pads", "stars", "letters"},
	}
	for d := range s.failureDomains {
		p.Groups = append(p.Groups, bundler.Placement{FailureDomain: identifier.FailureDomain(fmt.Sprintf("domain-%d", d)), Count: 1})
	}
	return p
}

func keyDigest(account int, key string) string {
	return bundler.DigestOf(fmt.Appendf(nil, "%d/%s", account, key)).String()
}
