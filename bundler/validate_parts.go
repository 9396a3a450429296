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

func (v *validator) checkPools() {
	seen := map[string]string{}
	for i, p := range v.bundle.Pools {
		prefix := fmt.Sprintf("pools[%d]", i)
		v.checkName(prefix+".name", string(p.Name))
		v.checkUnique(seen, prefix+".name", string(p.Name))
		v.checkModelName(prefix+".base", p.Base)
		v.checkModelName(prefix+".version", p.Version)
		v.checkRange(prefix+".groupSize", p.GroupSize, 1, maxGroupSize)
		v.checkRange(prefix+".priority", p.Priority, 0, maxPoolPriority)
		v.checkAdapters(prefix, p)
		v.checkPlacements(prefix, p)
	}
}

func (v *validator) checkAdapters(prefix string, p Pool) {
	for i, adapter := range p.Adapters {
		v.checkModelName(fmt.Sprintf("%s.adapters[%d]", prefix, i), adapter)
	}
	checkUniqueItems(v, prefix+".adapters", p.Adapters)
}

func (v *validator) checkPlacements(prefix string, p Pool) {
	if len(p.Groups) == 0 {
		v.add(prefix+".groups", "is empty; say in which failure domains the pool runs, or remove the pool")
	}
	seen := map[string]string{}
	for i, g := range p.Groups {
		groupPath := fmt.Sprintf("%s.groups[%d]", prefix, i)
		v.checkName(groupPath+".failureDomain", string(g.FailureDomain))
		v.checkUnique(seen, groupPath+".failureDomain", string(g.FailureDomain))
		v.checkRange(groupPath+".count", g.Count, 1, maxGroupCount)
		v.checkFits(groupPath, p, g.FailureDomain)
	}
}

// checkFits checks that the largest fabric domain of fd has enough engines for a group of p.
func (v *validator) checkFits(prefix string, p Pool, fd identifier.FailureDomain) {
	if v.inventory == nil {
		return
	}
	largest, listed := 0, false
	for _, f := range v.inventory.FabricDomains {
		if f.FailureDomain == fd {
			largest, listed = max(largest, f.Engines), true
		}
	}
	if !listed {
		v.add(prefix+".failureDomain", "no engine is listed in failure domain %q; correct the name or add engines there", fd)
		return
	}
	if p.GroupSize > largest {
		v.add(prefix, "a group of %d fits no fabric domain of %q, whose largest has %d engines; lower groupSize or place the pool elsewhere", p.GroupSize, fd, largest)
	}
}

func (v *validator) checkModels() {
	seen := map[string]string{}
	for i, m := range v.bundle.Models {
		prefix := fmt.Sprintf("models[%d]", i)
		v.checkModelName(prefix+".name", string(m.Name))
		v.checkUnique(seen, prefix+".name", string(m.Name))
		v.checkDeadline(prefix+".deadline", m.Deadline)
		v.checkModelPool(prefix, m)
	}
}

func (v *validator) checkModelPool(prefix string, m Model) {
	i := slices.IndexFunc(v.bundle.Pools, func(p Pool) bool { return p.Name == m.Pool })
	if i < 0 {
		v.add(prefix+".pool", "no pool is named %q; add it to pools or correct the name", m.Pool)
		return
	}
	if m.Adapter != "" && !slices.Contains(v.bundle.Pools[i].Adapters, m.Adapter) {
		v.add(prefix+".adapter", "pool %q has no adapter %q; add it to pools[%d].adapters", m.Pool, m.Adapter, i)
	}
}

func (v *validator) checkServices() {
	seen := map[string]string{}
	for i, m := range v.bundle.Models {
		seen[string(m.Name)] = fmt.Sprintf("models[%d].name", i)
	}
	for i, s := range v.bundle.Services {
		prefix := fmt.Sprintf("services[%d]", i)
		v.checkName(prefix+".name", string(s.Name))
		v.checkUnique(seen, prefix+".name", string(s.Name))
		v.checkDeadline(prefix+".deadline", s.Deadline)
		for j, rule := range s.Repeatable {
			v.checkCallRule(fmt.Sprintf("%s.repeatable[%d]", prefix, j), rule)
		}
	}
}

func (v *validator) checkCallRule(prefix string, rule CallRule) {
	if !slices.Contains(callMethods, rule.Method) {
		v.add(prefix+".method", "is %q; want one of %s", rule.Method, strings.Join(callMethods, ", "))
	}
	if _, err := path.Match(rule.Path, "/"); err != nil {
		v.add(prefix+".path", "is %q, not a pattern; close its bracket or escape it with a backslash", rule.Path)
	}
	if !strings.HasPrefix(rule.Path, "/") {
		v.add(prefix+".path", "is %q; begin it with a slash", rule.Path)
	}
}

func (v *validator) checkAccounts() {
	callable := map[identifier.Service]bool{}
	for _, m := range v.bundle.Models {
		callable[m.Name] = true
	}
	for _, s := range v.bundle.Services {
		callable[s.Name] = true
	}
	names, keys := map[string]string{}, map[string]string{}
	for i, a := range v.bundle.Accounts {
		prefix := fmt.Sprintf("accounts[%d]", i)
		v.checkName(prefix+".name", string(a.Name))
		v.checkUnique(names, prefix+".name", string(a.Name))
		v.checkAccount(prefix, a)
		v.checkKeys(prefix, a, keys)
		v.checkAccountServices(prefix, a, callable)
	}
}

func (v *validator) checkAccount(prefix string, a Account) {
	v.checkRange(prefix+".priority", a.Priority, 0, maxAccountPriority)
	v.checkRange(prefix+".burst", a.Burst, 1, maxBurst)
	if !(a.RequestsPerSecond > 0 && a.RequestsPerSecond <= maxRequestsPerSecond) {
		v.add(prefix+".requestsPerSecond", "is %v; want more than 0 and at most %d", a.RequestsPerSecond, maxRequestsPerSecond)
	}
}

func (v *validator) checkKeys(prefix string, a Account, seen map[string]string) {
	if len(a.KeyDigests) == 0 {
		v.add(prefix+".keyDigests", "is empty; make a key with \"millctl keys token\" and add its digest")
	}
	for j, digest := range a.KeyDigests {
		digestPath := fmt.Sprintf("%s.keyDigests[%d]", prefix, j)
		if !digestPattern.MatchString(digest) {
			v.add(digestPath, "want 64 lower-case hexadecimal digits, the SHA-256 digest of the key")
		}
		v.checkUnique(seen, digestPath, digest)
	}
}

func (v *validator) checkAccountServices(prefix string, a Account, callable map[identifier.Service]bool) {
	for j, s := range a.Services {
		if !callable[s] {
			v.add(fmt.Sprintf("%s.services[%d]", prefix, j), "no model or service is named %q; add it or correct the name", s)
		}
	}
	checkUniqueItems(v, prefix+".services", a.Services)
}
