package targetlister

import (
	"slices"

	"amaranthmill/internal/identifier"
	"amaranthmill/scheduler"
)

// SetEvacuated replaces the evacuated failure domains and returns the changes of the targets. An evacuated
// endpoint stays a target, so that its running requests go on. The head decides for its group, because it is the
// endpoint that receives the requests; a group with another member in an evacuated domain is used last.
func (l *Lister) SetEvacuated(domains []identifier.FailureDomain) scheduler.TargetsChanged {
	old := l.evacuated
	l.evacuated = map[identifier.FailureDomain]bool{}
	for _, d := range domains {
		l.evacuated[d] = true
	}
	affected := map[identifier.Endpoint]bool{}
	for id, e := range l.endpoints {
		if old[e.FailureDomain] == l.evacuated[e.FailureDomain] {
			continue
		}
		affected[id] = true
		for member := range l.members[groupEpoch{e.Membership.Group, e.Membership.Epoch}] {
			affected[member] = true
		}
	}
	return l.update(affected)
}

// hasEvacuatedMember reports whether a listed member of the group of t is in an evacuated failure domain.
func (l *Lister) hasEvacuatedMember(t *scheduler.Target) bool {
	return slices.ContainsFunc(t.Members, func(id identifier.Endpoint) bool { return l.evacuated[l.endpoints[id].FailureDomain] })
}

// CountListed returns the number of listed endpoints in a failure domain.
func (l *Lister) CountListed(domain identifier.FailureDomain) int {
	n := 0
	for _, e := range l.endpoints {
		if e.FailureDomain == domain {
			n++
		}
	}
	return n
}
