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

// Config describes the modelled failure domain. Up to FullSpeedLoads concurrent loads run at
// full rate; more loads share the rate of the weight store. 0 means no limit.
type Config struct {
	FailureDomain  identifier.FailureDomain
	Engines        []*Engine
	Instances      int
	Policy         grouper.Policy
	LoadTime       time.Duration // to load one model on one engine at full rate
	FullSpeedLoads int
	DirectReports  bool          // the grouper cores get reports from the engine models, without a prober core
	ReportDelay    time.Duration // with DirectReports, time until the report of an unreachable engine is no longer fresh
	OnNote         func(*Instance, grouper.Note)
}

// Fleet models one failure domain with its engines, entry instances and platform.
type Fleet struct {
	Now       time.Time
	Platform  Platform
	Instances []*Instance
	cfg       Config
	byName    map[identifier.Endpoint]*Engine
	downSince map[identifier.Endpoint]time.Time // when an engine that is not up was first seen so
}

// Instance models one entry instance, with one prober core and one grouper core.
type Instance struct {
	Name           identifier.Instance
	Partitioned    bool // disconnected from the platform
	MissesRecords  bool // does not receive changes of the records
	Targets        []router.Target
	PendingEffects []func() // effects of actions that have not been performed yet

	prober       *prober.Core
	grouper      *grouper.Core
	readRevision uint64 // revision of the platform at the last read of the records
	hasRead      bool
}

// New returns a fleet whose time is start. Its first instance is the preferred one
// for every fabric domain.
func New(start time.Time, cfg Config) *Fleet {
	f := &Fleet{Now: start, cfg: cfg, downSince: map[identifier.Endpoint]time.Time{}, Platform: Platform{
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
		f.stepProber(in, prober.Listed{Listings: f.Listings()})
	}
	for _, fd := range f.fabricDomains() {
		f.stepGrouper(f.Instances[0], grouper.PreferenceChanged{FabricDomain: fd, Preferred: true})
	}
	return f
}

// Listings returns the platform's list of endpoints, with every engine live.
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

// SetBundle puts b in force on every instance.
func (f *Fleet) SetBundle(b *bundler.Bundle) {
	for _, in := range f.Instances {
		f.stepGrouper(in, grouper.BundleSet{Bundle: b})
	}
}

// Engine returns the engine called name, or nil.
func (f *Fleet) Engine(name identifier.Endpoint) *Engine { return f.byName[name] }

// Engines returns all engines.
func (f *Fleet) Engines() []*Engine { return f.cfg.Engines }

func (f *Fleet) fabricDomains() []identifier.FabricDomain {
	set := map[identifier.FabricDomain]bool{}
	for _, e := range f.cfg.Engines {
		set[e.FabricDomain] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// Advance advances the time by d, and the loading of models on the engines.
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
			e.advanceLoad(d)
		}
	}
}

// Tick makes in read the records, renew its leases, probe the engines (or get their reports
// directly) and step its grouper core. Effects are appended to in.PendingEffects.
func (f *Fleet) Tick(in *Instance) {
	f.readRecords(in)
	f.renewLeases(in)
	if f.cfg.DirectReports {
		f.stepGrouper(in, grouper.ReportsReceived{Reports: f.directReports()})
	} else {
		f.stepProber(in, prober.Tick{})
	}
	f.stepGrouper(in, grouper.Tick{})
}

// PerformEffect performs the pending effect i of in and removes it.
func (f *Fleet) PerformEffect(in *Instance, i int) {
	effect := in.PendingEffects[i]
	in.PendingEffects = slices.Delete(in.PendingEffects, i, i+1)
	effect()
}

// Run advances the time by d in steps. After each step every instance ticks, and its pending
// effects are performed at once, in order.
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

// AssumeLease makes in act as the holder of the lease of fd until the given time, even if
// another instance holds it.
func (f *Fleet) AssumeLease(in *Instance, fd identifier.FabricDomain, until time.Time) {
	f.stepGrouper(in, grouper.LeaseChanged{FabricDomain: fd, Until: until})
}

func (f *Fleet) readRecords(in *Instance) {
	if f.Platform.Down || in.Partitioned || in.MissesRecords || in.hasRead && in.readRevision == f.Platform.Revision {
		return
	}
	in.hasRead, in.readRevision = true, f.Platform.Revision
	stored := f.Platform.List()
	f.stepGrouper(in, grouper.RecordsRead{Records: stored})
	records := make([]grouper.Record, len(stored))
	for i := range stored {
		records[i] = stored[i].Record
	}
	f.stepProber(in, prober.RecordsSet{Records: records})
}

func (f *Fleet) renewLeases(in *Instance) {
	const ttl = 10 * time.Second
	for _, fd := range f.fabricDomains() {
		if !in.Partitioned && f.Platform.renewLease(f.Now, fd, in.Name, ttl) {
			f.stepGrouper(in, grouper.LeaseChanged{FabricDomain: fd, Until: f.Now.Add(ttl * 3 / 4)})
		}
	}
}

// directReports returns the current state of every engine model as its report. The report of
// an engine that is not up stays fresh for ReportDelay if its process is running.
func (f *Fleet) directReports() []grouper.Report {
	out := make([]grouper.Report, 0, len(f.cfg.Engines))
	for _, e := range f.cfg.Engines {
		s := e.status()
		if e.IsUp() {
			delete(f.downSince, e.Name)
		} else if _, ok := f.downSince[e.Name]; !ok {
			f.downSince[e.Name] = f.Now
		}
		since, down := f.downSince[e.Name]
		out = append(out, grouper.Report{
			Endpoint: e.Name, Address: e.Address, FabricDomain: e.FabricDomain, ProcessStart: s.ProcessStart,
			Group: s.Group, Epoch: s.Epoch, BundleVersion: s.BundleVersion, Loaded: s.Loaded, Leaving: s.Leaving, Slow: e.Slow,
			Fresh: !down || e.Running && f.Now.Sub(since) < f.cfg.ReportDelay, Exited: e.Reachable && !e.Running,
			InFlight: s.InFlight,
		})
	}
	return out
}

// stepProber applies e to in's prober core and carries out the resulting actions.
func (f *Fleet) stepProber(in *Instance, e prober.Event) {
	for _, a := range in.prober.Step(f.Now, e) {
		switch a := a.(type) {
		case prober.Probe:
			f.answerProbe(in, a.Endpoint)
		case prober.Publish:
			in.Targets = a.Targets
		case prober.Report:
			f.stepGrouper(in, grouper.ReportsReceived{Reports: a.Reports})
		}
	}
}

func (f *Fleet) answerProbe(in *Instance, name identifier.Endpoint) {
	e, sent := f.Engine(name), f.Now
	if e.IsUp() {
		s := e.status()
		in.PendingEffects = append(in.PendingEffects, func() { f.stepProber(in, prober.Probed{Endpoint: name, Status: s, SentAt: sent}) })
		return
	}
	refused := e.Reachable
	in.PendingEffects = append(in.PendingEffects, func() { f.stepProber(in, prober.ProbeFailed{Endpoint: name, SentAt: sent, Refused: refused}) })
}

// stepGrouper applies e to in's grouper core. The effects of the resulting actions become pending.
func (f *Fleet) stepGrouper(in *Instance, e grouper.Event) {
	for _, a := range in.grouper.Step(f.Now, e) {
		switch a := a.(type) {
		case grouper.Save:
			in.PendingEffects = append(in.PendingEffects, func() { f.saveRecord(in, a) })
		case grouper.Send:
			in.PendingEffects = append(in.PendingEffects, func() { f.sendOrder(in, a.Order) })
		case grouper.Note:
			if f.cfg.OnNote != nil {
				f.cfg.OnNote(in, a)
			}
		}
	}
}

func (f *Fleet) saveRecord(in *Instance, s grouper.Save) {
	fd := s.Record.FabricDomain
	if in.Partitioned || f.Platform.Down {
		f.stepGrouper(in, grouper.SaveFailed{FabricDomain: fd, CurrentKnown: true})
		return
	}
	if stored, ok := f.Platform.Save(s); ok {
		f.stepGrouper(in, grouper.Saved{Stored: stored})
		return
	}
	f.stepGrouper(in, grouper.SaveFailed{FabricDomain: fd, CurrentKnown: true, Current: f.Platform.Records[fd]})
}

func (f *Fleet) sendOrder(in *Instance, o grouper.Order) {
	e := f.Engine(o.Endpoint)
	ok := e.Execute(f.Now, o, f.cfg.LoadTime)
	f.stepGrouper(in, grouper.OrderDone{Order: o, Accepted: ok, ProcessStart: e.ProcessStart})
}
