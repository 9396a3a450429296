package prober

import (
	"slices"
	"time"

	"amaranthmill/grouper"
	"amaranthmill/internal/identifier"
	"amaranthmill/router"
	"amaranthmill/storeclient"
)

// targetState is the part of a target whose change causes a publication.
type targetState struct {
	epoch                      identifier.Epoch
	start                      identifier.ProcessStart
	ready, leaving, slow       bool
	inFlight, queued, capacity int
	reportedAt                 time.Time
}

// publishChanges returns the complete sets of targets and reports, each only if it changed.
func (c *Core) publishChanges(now time.Time) []Action {
	var out []Action
	targets := c.targets(now)
	states := make(map[string]targetState, len(targets))
	changed := c.published == nil || len(c.published) != len(targets)
	for _, t := range targets {
		state := targetState{t.Epoch, t.ProcessStart, t.Ready, t.Leaving, t.Slow, t.InFlight, t.Queued, t.Capacity, t.ReportedAt}
		states[t.ID] = state
		changed = changed || c.published[t.ID] != state
	}
	if changed {
		c.published = states
		out = append(out, Publish{Targets: targets})
	}
	reports := c.modelReports(now)
	if !slices.Equal(reports, c.reports) {
		c.reports = reports
		out = append(out, Report{Reports: reports})
	}
	return out
}

// modelReports returns the state of all model endpoints, sorted by name. It omits endpoints without a
// fabric domain, because they can't be members of a group.
func (c *Core) modelReports(now time.Time) []grouper.Report {
	var out []grouper.Report
	for _, ep := range c.sortedEndpoints() {
		if ep.listed && ep.Kind == storeclient.KindEngine && ep.FabricDomain != "" {
			out = append(out, ep.grouperReport(now, c.freshFor()))
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
	for _, ep := range c.sortedEndpoints() {
		if ep.listed && ep.Kind == storeclient.KindService {
			out = append(out, c.serviceTarget(now, ep))
		}
	}
	return out
}

// groupTarget returns the target of a, or of a succession of a if its members report that succession.
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

// assignmentTarget returns the target of exactly the assignment a, without its successions.
func (c *Core) assignmentTarget(now time.Time, a *grouper.Assignment) router.Target {
	first := a.Members[0]
	t := router.Target{
		ID: string(a.Group), Pool: a.Pool, FailureDomain: c.cfg.FailureDomain, Address: first.Address,
		Epoch: a.Epoch, ProcessStart: first.ProcessStart, Adapters: a.Adapters,
		Ready: true, Leaving: a.Draining,
	}
	for _, m := range a.Members {
		t.Members = append(t.Members, m.Endpoint)
		ep := c.ensureEndpoint(m.Endpoint)
		rep := ep.grouperReport(now, c.freshFor())
		t.Ready = t.Ready && rep.Serves(a, m)
		t.Leaving = t.Leaving || rep.Leaving
		t.Slow = t.Slow || rep.Slow
		if t.ReportedAt.IsZero() || ep.statusAt.Before(t.ReportedAt) {
			t.ReportedAt = ep.statusAt
		}
	}
	s := c.ensureEndpoint(first.Endpoint).status
	t.InFlight, t.Queued, t.Capacity = s.InFlight, s.Queued, s.Capacity
	return t
}

func (c *Core) serviceTarget(now time.Time, ep *endpoint) router.Target {
	return router.Target{
		ID: string(ep.name), Pool: identifier.Pool(ep.Service), FailureDomain: c.cfg.FailureDomain, Address: ep.Address,
		Members: []identifier.Endpoint{ep.name}, ProcessStart: ep.status.ProcessStart,
		Ready: ep.isFresh(now, c.freshFor()), Leaving: ep.isLeaving(), Slow: ep.straggler.flagged,
		InFlight: ep.status.InFlight, Queued: ep.status.Queued, Capacity: ep.status.Capacity, ReportedAt: ep.statusAt,
	}
}
