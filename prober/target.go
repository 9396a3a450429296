package prober

import (
	"slices"
	"time"

	"amaranthmill/grouper"
	"amaranthmill/internal/identifier"
	"amaranthmill/keeper"
	"amaranthmill/router"
)

// targetKey is what makes a target's change worth publishing.
type targetKey struct {
	epoch                    identifier.Epoch
	start                    identifier.ProcessStart
	ready, leaving, slow     bool
	inFlight, queued, places int
	reportedAt               time.Time
}

// publish returns the whole set of targets and reports if it differs from the last.
func (c *Core) publish(now time.Time) []Action {
	var out []Action
	targets := c.targets(now)
	keys := make(map[string]targetKey, len(targets))
	changed := c.published == nil || len(c.published) != len(targets)
	for _, t := range targets {
		key := targetKey{t.Epoch, t.ProcessStart, t.Ready, t.Leaving, t.Slow, t.InFlight, t.Queued, t.Capacity, t.ReportedAt}
		keys[t.ID] = key
		changed = changed || c.published[t.ID] != key
	}
	if changed {
		c.published = keys
		out = append(out, Publish{Targets: targets})
	}
	reports := c.modelReports(now)
	if !slices.Equal(reports, c.reports) {
		c.reports = reports
		out = append(out, Report{Reports: reports})
	}
	return out
}

// modelReports returns the state of all model endpoints by name. One without a fabric domain can be in no group.
func (c *Core) modelReports(now time.Time) []grouper.Report {
	var out []grouper.Report
	for _, ep := range c.sorted() {
		if ep.listed && ep.Kind == keeper.KindEngine && ep.FabricDomain != "" {
			out = append(out, ep.report(now, c.freshFor()))
		}
	}
	return out
}

// targets returns the groups and plain services of the failure domain.
func (c *Core) targets(now time.Time) []router.Target {
	var out []router.Target
	for i := range c.records {
		for j := range c.records[i].Groups {
			out = append(out, c.groupTarget(now, &c.records[i].Groups[j]))
		}
	}
	for _, ep := range c.sorted() {
		if ep.listed && ep.Kind == keeper.KindService {
			out = append(out, c.serviceTarget(now, ep))
		}
	}
	return out
}

// groupTarget returns the target of a, or of the succession of a that its members report.
func (c *Core) groupTarget(now time.Time, a *grouper.Assignment) router.Target {
	t := c.assignmentTarget(now, a)
	if t.Ready {
		return t
	}
	for _, s := range a.Successions() {
		if st := c.assignmentTarget(now, &s); st.Ready {
			return st
		}
	}
	return t
}

// assignmentTarget returns the target of exactly a.
func (c *Core) assignmentTarget(now time.Time, a *grouper.Assignment) router.Target {
	first := a.Members[0]
	t := router.Target{
		ID: string(a.Group), Pool: a.Pool, FailureDomain: c.cfg.FailureDomain, Address: first.Address,
		Epoch: a.Epoch, ProcessStart: first.ProcessStart, Adapters: a.Adapters,
		Ready: true, Leaving: a.Draining,
	}
	for _, m := range a.Members {
		t.Members = append(t.Members, m.Endpoint)
		ep := c.endpoint(m.Endpoint)
		rep := ep.report(now, c.freshFor())
		t.Ready = t.Ready && rep.Serves(a, m)
		t.Leaving = t.Leaving || rep.Leaving
		t.Slow = t.Slow || rep.Slow
		if t.ReportedAt.IsZero() || ep.seenAt.Before(t.ReportedAt) {
			t.ReportedAt = ep.seenAt
		}
	}
	s := c.endpoint(first.Endpoint).status
	t.InFlight, t.Queued, t.Capacity = s.InFlight, s.Queued, s.Capacity
	return t
}

func (c *Core) serviceTarget(now time.Time, ep *endpoint) router.Target {
	return router.Target{
		ID: string(ep.name), Pool: identifier.Pool(ep.Service), FailureDomain: c.cfg.FailureDomain, Address: ep.Address,
		Members: []identifier.Endpoint{ep.name}, ProcessStart: ep.status.ProcessStart,
		Ready: ep.fresh(now, c.freshFor()), Leaving: ep.isLeaving(), Slow: ep.slow.flagged,
		InFlight: ep.status.InFlight, Queued: ep.status.Queued, Capacity: ep.status.Capacity, ReportedAt: ep.seenAt,
	}
}
