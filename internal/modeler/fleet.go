package modeler

import (
	"maps"
	"slices"
	"time"

	"amaranthmill/bundler"
	"amaranthmill/grouper"
	"amaranthmill/internal/identifier"
	"amaranthmill/prober"
	"amaranthmill/router"
	"amaranthmill/storeclient"
)

// Config describes a failure domain. FullSpeedLoads loads run at full rate together, more
// share the weight store's rate; 0 means no limit.
type Config struct {
	FailureDomain  identifier.FailureDomain
	Engines        []*Engine
	Instances      int
	Policy         grouper.Policy
	LoadTime       time.Duration // of one model on one engine at full rate
	FullSpeedLoads int
	DirectReports  bool          // reports are the engines' truth after ReportDelay, without a prober core
	ReportDelay    time.Duration // after which an engine that cannot be reached is not fresh
	OnNote         func(*Instance, grouper.Note)
}

// Fleet is one failure domain with its engines, entry instances and platform.
type Fleet struct {
	Now       time.Time
	Platform  Platform
	Instances []*Instance
	cfg       Config
	byName    map[identifier.Endpoint]*Engine
	unseen    map[identifier.Endpoint]time.Time // since when an engine cannot be reached
}

// Instance is one entry instance: a core each of prober and grouper.
type Instance struct {
	Name           identifier.Instance
	Partitioned    bool // cut off from the platform
	MissesRecords  bool // does not hear of changes of the records
	Targets        []router.Target
	PendingEffects []func() // effects of actions that have not happened yet

	prober   *prober.Core
	grouper  *grouper.Core
	revision uint64 // up to which it has read the records
	read     bool
}

// New returns a fleet at start.
func New(start time.Time, cfg Config) *Fleet {
	f := &Fleet{Now: start, cfg: cfg, unseen: map[identifier.Endpoint]time.Time{}, Platform: Platform{
		Records: map[identifier.FabricDomain]grouper.StoredRecord{}, leases: map[identifier.FabricDomain]lease{},
	}}
	f.byName = make(map[identifier.Endpoint]*Engine, len(cfg.Engines))
	for _, e := range cfg.Engines {
		f.byName[e.Name] = e
	}
	cfg.Policy.FailureDomain = cfg.FailureDomain
	for i := range cfg.Instances {
		in := &Instance{Name: identifier.Instance(rune('a' + i))}
		in.grouper = grouper.NewCore(cfg.Policy)
		in.prober = prober.NewCore(prober.Config{Instance: in.Name, FailureDomain: cfg.FailureDomain})
		f.Instances = append(f.Instances, in)
		f.probe(in, prober.Listed{Listings: f.Listings()})
	}
	for _, fd := range f.fabrics() {
		f.group(f.Instances[0], grouper.PreferenceChanged{FabricDomain: fd, Preferred: true})
	}
	return f
}

// Listings returns the platform's list with every engine live.
func (f *Fleet) Listings() []storeclient.Listing {
	var out []storeclient.Listing
	for _, e := range f.cfg.Engines {
		out = append(out, storeclient.Listing{
			Name: string(e.Name), Kind: storeclient.KindEngine, Address: e.Address,
			FailureDomain: f.cfg.FailureDomain, FabricDomain: e.FabricDomain, State: storeclient.StateLive,
		})
	}
	return out
}

// SetBundle puts b in force everywhere.
func (f *Fleet) SetBundle(b *bundler.Bundle) {
	for _, in := range f.Instances {
		f.group(in, grouper.BundleSet{Bundle: b})
	}
}

// Engine returns the engine of that name, or nil.
func (f *Fleet) Engine(name identifier.Endpoint) *Engine { return f.byName[name] }

// Engines returns all engines.
func (f *Fleet) Engines() []*Engine { return f.cfg.Engines }

func (f *Fleet) fabrics() []identifier.FabricDomain {
	set := map[identifier.FabricDomain]bool{}
	for _, e := range f.cfg.Engines {
		set[e.FabricDomain] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// Advance lets d pass: engines load.
func (f *Fleet) Advance(d time.Duration) {
	f.Now = f.Now.Add(d)
	loading := 0
	for _, e := range f.cfg.Engines {
		if e.IsUp() && e.LoadTimeLeft > 0 {
			loading++
		}
	}
	if f.cfg.FullSpeedLoads > 0 && loading > f.cfg.FullSpeedLoads {
		d = d * time.Duration(f.cfg.FullSpeedLoads) / time.Duration(loading)
	}
	for _, e := range f.cfg.Engines {
		if e.IsUp() {
			e.load(d)
		}
	}
}

// Tick lets in read the platform, renew its leases, probe and decide. Effects are put on Pending.
func (f *Fleet) Tick(in *Instance) {
	f.read(in)
	f.renew(in)
	if f.cfg.DirectReports {
		f.group(in, grouper.ReportsReceived{Reports: f.reports()})
	} else {
		f.probe(in, prober.Tick{})
	}
	f.group(in, grouper.Tick{})
}

// PerformEffect lets effect i of in happen.
func (f *Fleet) PerformEffect(in *Instance, i int) {
	effect := in.PendingEffects[i]
	in.PendingEffects = slices.Delete(in.PendingEffects, i, i+1)
	effect()
}

// Run lets d pass in steps, with every effect at once.
func (f *Fleet) Run(d, step time.Duration) {
	for end := f.Now.Add(d); f.Now.Before(end); {
		f.Advance(step)
		for _, in := range f.Instances {
			f.Tick(in)
			for len(in.PendingEffects) > 0 {
				f.PerformEffect(in, 0)
			}
		}
	}
}

// AssumeLease makes in act on the lease of fd until the given time, whoever holds it.
func (f *Fleet) AssumeLease(in *Instance, fd identifier.FabricDomain, until time.Time) {
	f.group(in, grouper.LeaseChanged{FabricDomain: fd, Until: until})
}

func (f *Fleet) read(in *Instance) {
	if f.Platform.Down || in.Partitioned || in.MissesRecords || in.read && in.revision == f.Platform.Revision {
		return
	}
	in.read, in.revision = true, f.Platform.Revision
	stored := f.Platform.List()
	f.group(in, grouper.RecordsRead{Records: stored})
	records := make([]grouper.Record, len(stored))
	for i := range stored {
		records[i] = stored[i].Record
	}
	f.probe(in, prober.RecordsSet{Records: records})
}

func (f *Fleet) renew(in *Instance) {
	const ttl = 10 * time.Second
	for _, fd := range f.fabrics() {
		if !in.Partitioned && f.Platform.renew(f.Now, fd, in.Name, ttl) {
			f.group(in, grouper.LeaseChanged{FabricDomain: fd, Until: f.Now.Add(ttl * 3 / 4)})
		}
	}
}

// reports returns the engines' truth. One that cannot be reached keeps its last account.
func (f *Fleet) reports() []grouper.Report {
	out := make([]grouper.Report, 0, len(f.cfg.Engines))
	for _, e := range f.cfg.Engines {
		s := e.status()
		if e.IsUp() {
			delete(f.unseen, e.Name)
		} else if _, ok := f.unseen[e.Name]; !ok {
			f.unseen[e.Name] = f.Now
		}
		since, away := f.unseen[e.Name]
		out = append(out, grouper.Report{
			Endpoint: e.Name, Address: e.Address, FabricDomain: e.FabricDomain, ProcessStart: s.ProcessStart,
			Group: s.Group, Epoch: s.Epoch, BundleVersion: s.BundleVersion, Loaded: s.Loaded, Leaving: s.Leaving, Slow: e.Slow,
			Fresh: !away || e.Running && f.Now.Sub(since) < f.cfg.ReportDelay, Exited: e.Reachable && !e.Running,
			InFlight: s.InFlight,
		})
	}
	return out
}

// probe steps in's prober core and carries out what it causes.
func (f *Fleet) probe(in *Instance, e prober.Event) {
	for _, a := range in.prober.Step(f.Now, e) {
		switch a := a.(type) {
		case prober.Probe:
			f.answerProbe(in, a.Endpoint)
		case prober.Publish:
			in.Targets = a.Targets
		case prober.Report:
			f.group(in, grouper.ReportsReceived{Reports: a.Reports})
		}
	}
}

func (f *Fleet) answerProbe(in *Instance, name identifier.Endpoint) {
	e, sent := f.Engine(name), f.Now
	if e.IsUp() {
		s := e.status()
		in.PendingEffects = append(in.PendingEffects, func() { f.probe(in, prober.Probed{Endpoint: name, Status: s, SentAt: sent}) })
		return
	}
	refused := e.Reachable
	in.PendingEffects = append(in.PendingEffects, func() { f.probe(in, prober.ProbeFailed{Endpoint: name, SentAt: sent, Refused: refused}) })
}

// group steps in's grouper core and carries out what it causes.
func (f *Fleet) group(in *Instance, e grouper.Event) {
	for _, a := range in.grouper.Step(f.Now, e) {
		switch a := a.(type) {
		case grouper.Save:
			in.PendingEffects = append(in.PendingEffects, func() { f.save(in, a) })
		case grouper.Send:
			in.PendingEffects = append(in.PendingEffects, func() { f.order(in, a.Order) })
		case grouper.Note:
			if f.cfg.OnNote != nil {
				f.cfg.OnNote(in, a)
			}
		}
	}
}

func (f *Fleet) save(in *Instance, s grouper.Save) {
	fd := s.Record.FabricDomain
	if in.Partitioned || f.Platform.Down {
		f.group(in, grouper.SaveFailed{FabricDomain: fd, CurrentKnown: true})
		return
	}
	if stored, ok := f.Platform.Save(s); ok {
		f.group(in, grouper.Saved{Stored: stored})
		return
	}
	f.group(in, grouper.SaveFailed{FabricDomain: fd, CurrentKnown: true, Current: f.Platform.Records[fd]})
}

func (f *Fleet) order(in *Instance, o grouper.Order) {
	e := f.Engine(o.Endpoint)
	ok := e.Execute(f.Now, o, f.cfg.LoadTime)
	f.group(in, grouper.OrderDone{Order: o, Accepted: ok, ProcessStart: e.ProcessStart})
}
