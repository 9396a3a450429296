package evacuator

import (
	"cmp"
	"slices"
	"time"

	"amaranthmill/internal/identifier"
)

// Evacuation is a failure domain that is evacuated.
type Evacuation struct {
	Domain identifier.FailureDomain
	Since  time.Time // when this instance learned of it
}

// Evacuator is the deterministic core that keeps the evacuated failure domains. It is not safe for concurrent
// use.
type Evacuator struct {
	evacuated map[identifier.FailureDomain]time.Time // since when
	rejected  map[identifier.FailureDomain]uint64    // revision of the last malformed entry
}

// New returns an Evacuator without evacuated failure domains.
func New() *Evacuator {
	return &Evacuator{evacuated: map[identifier.FailureDomain]time.Time{}, rejected: map[identifier.FailureDomain]uint64{}}
}

// Step applies e at now and returns the actions that it causes.
func (v *Evacuator) Step(now time.Time, e Event) []Action {
	switch e := e.(type) {
	case EntryWritten:
		return v.write(now, e)
	case EntryRemoved:
		return v.remove(now, e.Domain)
	}
	return nil
}

func (v *Evacuator) write(now time.Time, e EntryWritten) []Action {
	_, isEvacuated := v.evacuated[e.Domain]
	if e.Problem != "" {
		if last, ok := v.rejected[e.Domain]; ok && last == e.Revision {
			return nil
		}
		v.rejected[e.Domain] = e.Revision
		return []Action{Rejected{Domain: e.Domain, Revision: e.Revision, Problem: e.Problem, IsEvacuated: isEvacuated}}
	}
	delete(v.rejected, e.Domain)
	if isEvacuated {
		return nil
	}
	v.evacuated[e.Domain] = now
	return []Action{Evacuated{Domain: e.Domain}}
}

func (v *Evacuator) remove(now time.Time, domain identifier.FailureDomain) []Action {
	delete(v.rejected, domain)
	since, isEvacuated := v.evacuated[domain]
	if !isEvacuated {
		return nil
	}
	delete(v.evacuated, domain)
	return []Action{Restored{Domain: domain, Lasted: now.Sub(since)}}
}

// Evacuations returns the evacuated failure domains, sorted by name.
func (v *Evacuator) Evacuations() []Evacuation {
	var out []Evacuation
	for domain, since := range v.evacuated {
		out = append(out, Evacuation{Domain: domain, Since: since})
	}
	slices.SortFunc(out, func(a, b Evacuation) int { return cmp.Compare(a.Domain, b.Domain) })
	return out
}

// Domains returns the names of the evacuated failure domains, sorted.
func (v *Evacuator) Domains() []identifier.FailureDomain {
	var out []identifier.FailureDomain
	for _, e := range v.Evacuations() {
		out = append(out, e.Domain)
	}
	return out
}
