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
	warmUp    = 30 * time.Minute // before the first fault; not measured
	loadTime  = 2 * time.Minute  // of one engine at the weight store's full rate
	fullRate  = 4                // loads of a failure domain that the weight store feeds at full rate
	reportLag = 2 * time.Second  // until an engine that cannot be reached is known to be away
	busyStep  = time.Second      // while faults are recent
	calmStep  = 10 * time.Second
	calmAfter = 15 * time.Minute // without a change
	noLimit   = 1000
)

// measure is what a day cost.
type measure struct {
	downtime time.Duration // summed over groups
	batch    time.Duration // of downtime, that of groups of the lower priority
	stranded time.Duration // summed over accelerators
}

func (m *measure) add(o measure) {
	m.downtime += o.downtime
	m.batch += o.batch
	m.stranded += o.stranded
}

// variant is a policy to measure.
type variant struct {
	name    string
	policy  grouper.Policy
	weights *bundler.RepairWeights // nil for the user's own
	bound   bool                   // measures what no policy could save instead
}

// runDay runs a variant over a user's trace, one failure domain after another.
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

// domain is a failure domain on its day.
type domain struct {
	u       user
	name    string
	fleet   *modeler.Fleet
	start   time.Time
	changes []change
	bound   bool
}

// change is the beginning or the end of a fault.
type change struct {
	at    time.Duration
	apply func()
}

func newDomain(u user, name string, v variant, w bundler.RepairWeights, trace []fault) *domain {
	policy := v.policy
	policy.LoadTime = loadTime
	policy.FencingEndpoints = func(identifier.Endpoint) bool { return true }
	d := &domain{u: u, name: name, start: time.Unix(0, 0), bound: v.bound}
	d.fleet = modeler.New(d.start, modeler.Config{
		FailureDomain: identifier.FailureDomain(name), Engines: u.engines(name), Instances: 1, Policy: policy,
		LoadTime: loadTime, FullSpeedLoads: fullRate, DirectReports: true, ReportDelay: reportLag,
	})
	d.fleet.SetBundle(u.bundle(name, w))
	for _, f := range trace {
		d.schedule(f)
	}
	slices.SortStableFunc(d.changes, func(a, b change) int { return cmp.Compare(a.at, b.at) })
	return d
}

// schedule adds the changes of f that concern this failure domain.
func (d *domain) schedule(f fault) {
	switch {
	case f.kind == "outage":
		d.both(f, func(on bool) { d.fleet.Platform.Down = on })
	case f.kind == "dark", f.kind == "power":
		kind := map[string]string{"dark": "pause", "power": "replace"}[f.kind]
		for _, e := range d.fleet.Engines() {
			if string(e.FabricDomain) == f.target {
				d.both(f, func(on bool) { strike(e, kind, on) })
			}
		}
	case strings.HasPrefix(f.target, d.name+"/"):
		e := d.fleet.Engine(identifier.Endpoint(f.target))
		d.both(f, func(on bool) { strike(e, f.kind, on) })
	}
}

// both schedules the beginning and the end of f.
func (d *domain) both(f fault, apply func(on bool)) {
	d.changes = append(d.changes,
		change{at: f.at, apply: func() { apply(true) }},
		change{at: f.at + f.lasts, apply: func() { apply(false) }})
}

// strike begins or ends a fault of one engine. A process that restarts leaves an instance
// that refuses probes; one whose instance is replaced leaves silence.
func strike(e *modeler.Engine, kind string, on bool) {
	switch {
	case kind == "slow":
		e.Slow = on
	case kind == "pause":
		e.Reachable = !on
	case on:
		e.Stop()
		e.Reachable = kind != "replace"
	default:
		e.Start()
		e.Reachable = true
	}
}

// run lets the day pass and measures it.
func (d *domain) run() measure {
	var m measure
	last := time.Duration(0)
	for at := time.Duration(0); at < day; {
		for len(d.changes) > 0 && d.changes[0].at <= at {
			d.changes[0].apply()
			d.changes = d.changes[1:]
			last = at
		}
		step := busyStep
		if at-last > calmAfter && (len(d.changes) == 0 || d.changes[0].at >= at+calmStep) {
			step = calmStep
		}
		d.fleet.Run(step, step)
		at += step
		if at > warmUp {
			if d.bound {
				m.add(d.least(step))
			} else {
				m.add(d.cost(step))
			}
		}
	}
	return m
}

// least returns what no policy could save at present: groups for which too few engines of
// their fabric domain are up.
func (d *domain) least(step time.Duration) measure {
	lost, stranded := 0, 0
	for i := range d.u.fabrics {
		up := d.healthy(identifier.FabricDomain(fabricName(d.name, i)))
		groups := min(up/groupSize, d.u.planGroups(i))
		lost += d.u.planGroups(i) - groups
		stranded += max(0, up-groups*groupSize-d.u.planned(i))
	}
	return measure{downtime: time.Duration(lost) * step, stranded: time.Duration(stranded) * step}
}

// cost measures the present state for a while.
func (d *domain) cost(step time.Duration) measure {
	serving := map[identifier.FabricDomain]int{}
	groups, batch := 0, 0
	for _, s := range d.fleet.Platform.List() {
		for i := range s.Record.Groups {
			a := &s.Record.Groups[i]
			switch {
			case !d.serves(a):
				continue
			case a.Pool == "batch":
				batch++
			default:
				groups++
			}
			serving[s.Record.FabricDomain] += len(a.Members)
		}
	}
	stranded := 0
	for i := range d.u.fabrics {
		fd := identifier.FabricDomain(fabricName(d.name, i))
		stranded += max(0, d.healthy(fd)-serving[fd]-d.u.planned(i))
	}
	lower := time.Duration(max(0, d.u.batch-batch)) * step
	return measure{
		downtime: time.Duration(max(0, d.u.groups-groups))*step + lower,
		batch:    lower,
		stranded: time.Duration(stranded) * step,
	}
}

// serves reports whether the engines themselves are whole as a, or as a succession of it.
func (d *domain) serves(a *grouper.Assignment) bool {
	if d.whole(a) {
		return true
	}
	return slices.ContainsFunc(a.Successions(), func(s grouper.Assignment) bool { return d.whole(&s) })
}

func (d *domain) whole(a *grouper.Assignment) bool {
	return !slices.ContainsFunc(a.Members, func(m grouper.Member) bool {
		e := d.fleet.Engine(m.Endpoint)
		return !e.IsUp() || !e.Loaded || e.Group != a.Group || e.Epoch != a.Epoch || e.ProcessStart != m.ProcessStart
	})
}

func (d *domain) healthy(fd identifier.FabricDomain) int {
	n := 0
	for _, e := range d.fleet.Engines() {
		if e.FabricDomain == fd && e.IsUp() {
			n++
		}
	}
	return n
}
