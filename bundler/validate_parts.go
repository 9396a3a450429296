package bundler

import (
	"fmt"
	"net/http"
	"path"
	"slices"
	"strings"

	"amaranthmill/internal/identifier"
)

var callMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func (v *validator) pools() {
	seen := map[string]string{}
	for i, p := range v.bundle.Pools {
		at := fmt.Sprintf("pools[%d]", i)
		v.name(at+".name", string(p.Name))
		v.firstUse(seen, at+".name", string(p.Name))
		v.modelName(at+".base", p.Base)
		v.modelName(at+".version", p.Version)
		v.between(at+".groupSize", p.GroupSize, 1, maxGroupSize)
		v.between(at+".priority", p.Priority, 0, maxPoolPriority)
		v.adapters(at, p)
		v.placements(at, p)
	}
}

func (v *validator) adapters(at string, p Pool) {
	for i, adapter := range p.Adapters {
		v.modelName(fmt.Sprintf("%s.adapters[%d]", at, i), adapter)
	}
	unique(v, at+".adapters", p.Adapters)
}

func (v *validator) placements(at string, p Pool) {
	if len(p.Groups) == 0 {
		v.add(at+".groups", "is empty; say in which failure domains the pool runs, or remove the pool")
	}
	seen := map[string]string{}
	for i, g := range p.Groups {
		place := fmt.Sprintf("%s.groups[%d]", at, i)
		v.name(place+".failureDomain", string(g.FailureDomain))
		v.firstUse(seen, place+".failureDomain", string(g.FailureDomain))
		v.between(place+".count", g.Count, 1, maxGroupCount)
		v.fits(place, p, g.FailureDomain)
	}
}

// fits checks that one fabric domain of the failure domain can hold a whole group of p.
func (v *validator) fits(at string, p Pool, fd identifier.FailureDomain) {
	if v.inventory == nil {
		return
	}
	largest, known := 0, false
	for _, f := range v.inventory.FabricDomains {
		if f.FailureDomain == fd {
			largest, known = max(largest, f.Engines), true
		}
	}
	if !known {
		v.add(at+".failureDomain", "no engine is listed in failure domain %q; correct the name or add engines there", fd)
		return
	}
	if p.GroupSize > largest {
		v.add(at, "a group of %d fits no fabric domain of %q, whose largest has %d engines; lower groupSize or place the pool elsewhere", p.GroupSize, fd, largest)
	}
}

func (v *validator) models() {
	seen := map[string]string{}
	for i, m := range v.bundle.Models {
		at := fmt.Sprintf("models[%d]", i)
		v.modelName(at+".name", string(m.Name))
		v.firstUse(seen, at+".name", string(m.Name))
		v.deadline(at+".deadline", m.Deadline)
		v.modelPool(at, m)
	}
}

func (v *validator) modelPool(at string, m Model) {
	i := slices.IndexFunc(v.bundle.Pools, func(p Pool) bool { return p.Name == m.Pool })
	if i < 0 {
		v.add(at+".pool", "no pool is named %q; add it to pools or correct the name", m.Pool)
		return
	}
	if m.Adapter != "" && !slices.Contains(v.bundle.Pools[i].Adapters, m.Adapter) {
		v.add(at+".adapter", "pool %q has no adapter %q; add it to pools[%d].adapters", m.Pool, m.Adapter, i)
	}
}

func (v *validator) services() {
	seen := map[string]string{}
	for i, m := range v.bundle.Models {
		seen[string(m.Name)] = fmt.Sprintf("models[%d].name", i)
	}
	for i, s := range v.bundle.Services {
		at := fmt.Sprintf("services[%d]", i)
		v.name(at+".name", string(s.Name))
		v.firstUse(seen, at+".name", string(s.Name))
		v.deadline(at+".deadline", s.Deadline)
		for j, rule := range s.Repeatable {
			v.callRule(fmt.Sprintf("%s.repeatable[%d]", at, j), rule)
		}
	}
}

func (v *validator) callRule(at string, rule CallRule) {
	if !slices.Contains(callMethods, rule.Method) {
		v.add(at+".method", "is %q; want one of %s", rule.Method, strings.Join(callMethods, ", "))
	}
	if _, err := path.Match(rule.Path, "/"); err != nil {
		v.add(at+".path", "is %q, not a pattern; close its bracket or escape it with a backslash", rule.Path)
	}
	if !strings.HasPrefix(rule.Path, "/") {
		v.add(at+".path", "is %q; begin it with a slash", rule.Path)
	}
}

func (v *validator) accounts() {
	callable := map[identifier.Service]bool{}
	for _, m := range v.bundle.Models {
		callable[m.Name] = true
	}
	for _, s := range v.bundle.Services {
		callable[s.Name] = true
	}
	names, keys := map[string]string{}, map[string]string{}
	for i, a := range v.bundle.Accounts {
		at := fmt.Sprintf("accounts[%d]", i)
		v.name(at+".name", string(a.Name))
		v.firstUse(names, at+".name", string(a.Name))
		v.account(at, a)
		v.keys(at, a, keys)
		v.accountServices(at, a, callable)
	}
}

func (v *validator) account(at string, a Account) {
	v.between(at+".priority", a.Priority, 0, maxAccountPriority)
	v.between(at+".burst", a.Burst, 1, maxBurst)
	if !(a.RequestsPerSecond > 0 && a.RequestsPerSecond <= maxRequestsPerSecond) {
		v.add(at+".requestsPerSecond", "is %v; want more than 0 and at most %d", a.RequestsPerSecond, maxRequestsPerSecond)
	}
}

func (v *validator) keys(at string, a Account, seen map[string]string) {
	if len(a.KeyDigests) == 0 {
		v.add(at+".keyDigests", "is empty; make a key with \"millctl keys token\" and add its digest")
	}
	for j, digest := range a.KeyDigests {
		place := fmt.Sprintf("%s.keyDigests[%d]", at, j)
		if !digestPattern.MatchString(digest) {
			v.add(place, "want 64 lower-case hexadecimal digits, the SHA-256 digest of the key")
		}
		v.firstUse(seen, place, digest)
	}
}

func (v *validator) accountServices(at string, a Account, callable map[identifier.Service]bool) {
	for j, s := range a.Services {
		if !callable[s] {
			v.add(fmt.Sprintf("%s.services[%d]", at, j), "no model or service is named %q; add it or correct the name", s)
		}
	}
	unique(v, at+".services", a.Services)
}
