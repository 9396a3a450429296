package targetlister

import (
	"time"

	"amaranthmill/endpointlister"
	"amaranthmill/internal/identifier"
	"amaranthmill/resolver"
	"amaranthmill/scheduler"
)

// SetRestored records that requests may be sent to a failure domain again since a time, and returns the changes of the
// targets. The domain's endpoints of services with a cold limit count as cold for the service's cold time
// from then on, unless their entries state a longer time.
func (l *Lister) SetRestored(domain identifier.FailureDomain, at time.Time) scheduler.TargetsChanged {
	l.restored[domain] = at
	affected := map[identifier.Endpoint]bool{}
	for id, e := range l.endpoints {
		if e.FailureDomain == domain && l.services[e.Service].Cold.PerSecond > 0 {
			affected[id] = true
		}
	}
	return l.update(affected)
}

// setCold sets the fields of the target of an endpoint that depend on the cold limit of its service.
func (l *Lister) setCold(t *scheduler.Target, e endpointlister.Endpoint, cold resolver.ColdProfile) {
	if cold.PerSecond <= 0 {
		return
	}
	t.ColdLimit, t.ColdUntil = cold.PerSecond, e.WarmAt
	if at, ok := l.restored[e.FailureDomain]; ok {
		until := at.Add(cold.Duration)
		if until.After(t.ColdUntil) {
			t.ColdUntil = until
		}
		t.RestoredUntil = until
	}
}
