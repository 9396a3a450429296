package main

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"amaranthmill/bundler"
	"amaranthmill/grouper"
	"amaranthmill/internal/identifier"
	"amaranthmill/internal/modeler"
)

const (
	warmUp         = 30 * time.Minute // no faults before it ends; not measured
	loadTime       = 2 * time.Minute  // for one engine at the full rate of the weight store
	fullSpeedLoads = 4                // concurrent loads of a failure domain that the weight store serves at full rate
	reportDelay    = 2 * time.Second  // until the report of an unreachable engine is no longer fresh
	fineStep       = time.Second      // simulation step after a recent change
	coarseStep     = 10 * time.Second
	coarseAfter    = 15 * time.Minute // time without a change after which coarseStep applies
	unlimitedLoads = 1000             // more than the engines of a failure domain
)

// measure holds the group downtime and the stranded accelerator time of a day.
type measure struct {
	downtime      time.Duration // summed over groups
	batchDowntime time.Duration // part of downtime in groups of the lower priority
	stranded      time.Duration // summed over accelerators
}

func (m *measure) add(o measure) {
	m.downtime += o.downtime
	m.batchDowntime += o.batchDowntime
	m.stranded += o.stranded
}

// variant is a policy to measure.
type variant struct {
	name           string
	policy         grouper.Policy
	weights        *bundler.RepairWeights // overrides the user's weights if not nil
	lowerBoundOnly bool                   // measures what no policy can avoid, instead of a policy
}

// runDay runs a variant on a trace, one failure domain after another, and returns the sum.
func runDay(u user, v variant, trace []fault) measure {
	var sum measure
	for _, d := range u.domains {
		w := u.weights
		if v.weights != nil {
			w = *v.weights
		}
		sum.add(newDomain(u, d, v, w, trace).run())
	}
	return sum
}

// domain simulates one failure domain for a day.
type domain struct {
	user           user
	name           string
	fleet          *modeler.Fleet
	start          time.Time
	changes        []change
	lowerBoundOnly bool
}

// change starts or ends a fault.
type change struct {
	offset time.Duration // from the start of the day
	apply  func()
}

func newDomain(u user, name string, v variant, w bundler.RepairWeights, trace []fault) *domain {
	policy := v.policy
	policy.LoadTime = loadTime
	policy.FencingEndpoints = func(identifier.Endpoint) bool { return true }
	d := &domain{user: u, name: name, start: time.Unix(0, 0), lowerBoundOnly: v.lowerBoundOnly}
	d.fleet = modeler.New(d.start, modeler.Config{
		FailureDomain: identifier.FailureDomain(name), Engines: u.engines(name), Instances: 1, Policy: policy,
		LoadTime: loadTime, FullSpeedLoads: fullSpeedLoads, DirectReports: true, ReportDelay: reportDelay,
	})
	d.fleet.SetBundle(u.bundle(name, w))
	for _, f := range trace {
		d.schedule(f)
	}
	slices.SortStableFunc(d.changes, func(a, b change) int { return cmp.Compare(a.offset, b.offset) })
	return d
}

// schedule adds the changes of f that affect this failure domain.
func (d *domain) schedule(f fault) {
	switch {
	case f.kind == "outage":
		d.addChanges(f, func(active bool) { d.fleet.Platform.Down = active })
	case f.kind == "dark", f.kind == "power":
		kind := map[string]string{"dark": "pause", "power": "replace"}[f.kind]
		for _, e := range d.fleet.Engines() {
			if string(e.FabricDomain) == f.target {
				d.addChanges(f, func(active bool) { setFault(e, kind, active) })
			}
		}
	case strings.HasPrefix(f.target, d.name+"/"):
		e := d.fleet.Engine(identifier.Endpoint(f.target))
		d.addChanges(f, func(active bool) { setFault(e, f.kind, active) })
	}
}

// addChanges adds the start and the end of f to the changes.
func (d *domain) addChanges(f fault, apply func(active bool)) {
	d.changes = append(d.changes,
		change{offset: f.start, apply: func() { apply(true) }},
		change{offset: f.start + f.duration, apply: func() { apply(false) }})
}

// setFault starts or ends a fault of one engine. While a process restarts, its host is reachable
// and refuses probes. While the host is replaced, probes get no answer.
func setFault(e *modeler.Engine, kind string, active bool) {
	switch {
	case kind == "slow":
		e.Slow = active
	case kind == "pause":
		e.Reachable = !active
	case active:
		e.Stop()
		e.Reachable = kind != "replace"
	default:
		e.Start()
		e.Reachable = true
	}
}

// run simulates the day and returns its measures after the warm-up.
func (d *domain) run() measure {
	var m measure
	lastChange := time.Duration(0)
	for elapsed := time.Duration(0); elapsed < day; {
		for len(d.changes) > 0 && d.changes[0].offset <= elapsed {
			d.changes[0].apply()
			d.changes = d.changes[1:]
			lastChange = elapsed
		}
		step := fineStep
		if elapsed-lastChange > coarseAfter && (len(d.changes) == 0 || d.changes[0].offset >= elapsed+coarseStep) {
			step = coarseStep
		}
		d.fleet.Run(step, step)
		elapsed += step
		if elapsed > warmUp {
			if d.lowerBoundOnly {
				m.add(d.lowerBound(step))
			} else {
				m.add(d.measureStep(step))
			}
		}
	}
	return m
}

// lowerBound returns the measures of one step that no policy can avoid: groups for which too few
// engines of their fabric domain are up, and the engines that are up beyond the
// members of the remaining groups and the planned idle engines.
func (d *domain) lowerBound(step time.Duration) measure {
	missing, stranded := 0, 0
	for i := range d.user.fabricSizes {
		up := d.countUp(identifier.FabricDomain(fabricDomainName(d.name, i)))
		groups := min(up/groupSize, d.user.plannedGroups(i))
		missing += d.user.plannedGroups(i) - groups
		stranded += max(0, up-groups*groupSize-d.user.plannedIdle(i))
	}
	return measure{downtime: time.Duration(missing) * step, stranded: time.Duration(stranded) * step}
}

// measureStep returns the measures of one step in the current state.
func (d *domain) measureStep(step time.Duration) measure {
	servingMembers := map[identifier.FabricDomain]int{}
	groups, batchGroups := 0, 0
	for _, s := range d.fleet.Platform.List() {
		for i := range s.Record.Groups {
			a := &s.Record.Groups[i]
			switch {
			case !d.isServing(a):
				continue
			case a.Pool == "batch":
				batchGroups++
			default:
				groups++
			}
			servingMembers[s.Record.FabricDomain] += len(a.Members)
		}
	}
	stranded := 0
	for i := range d.user.fabricSizes {
		fd := identifier.FabricDomain(fabricDomainName(d.name, i))
		stranded += max(0, d.countUp(fd)-servingMembers[fd]-d.user.plannedIdle(i))
	}
	batchDowntime := time.Duration(max(0, d.user.batchCount-batchGroups)) * step
	return measure{
		downtime:      time.Duration(max(0, d.user.groupCount-groups))*step + batchDowntime,
		batchDowntime: batchDowntime,
		stranded:      time.Duration(stranded) * step,
	}
}

// isServing reports whether the engines form the complete group of a, or of a succession in which
// the standby replaces a member.
func (d *domain) isServing(a *grouper.Assignment) bool {
	if d.isComplete(a) {
		return true
	}
	return slices.ContainsFunc(a.Successions(), func(s grouper.Assignment) bool { return d.isComplete(&s) })
}

// isComplete reports whether every member of a is up and loaded, and belongs to the group and
// epoch of a with the process that a names.
func (d *domain) isComplete(a *grouper.Assignment) bool {
	return !slices.ContainsFunc(a.Members, func(m grouper.Member) bool {
		e := d.fleet.Engine(m.Endpoint)
		return !e.IsUp() || !e.Loaded || e.Group != a.Group || e.Epoch != a.Epoch || e.ProcessStart != m.ProcessStart
	})
}

func (d *domain) countUp(fd identifier.FabricDomain) int {
	n := 0
	for _, e := range d.fleet.Engines() {
		if e.FabricDomain == fd && e.IsUp() {
			n++
		}
	}
	return n
}
