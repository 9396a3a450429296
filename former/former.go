package former

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amaranthmill/internal/defaulter"
	"amaranthmill/internal/identifier"
	"amaranthmill/lister"
	"amaranthmill/resolver"
)

// Config configures a Former. The zero value is usable.
type Config struct {
	Fresh     bool          // the whole system starts for the first time, so that no request has come yet
	DrainTime time.Duration // for which an engine that drains goes on; zero means 2 s
}

// defaultDrainTime is the shortest that the platform's operators grant.
const defaultDrainTime = 2 * time.Second

// Former is the deterministic core of forming groups. It is not safe for concurrent use.
type Former struct {
	drainTime   time.Duration
	services    map[identifier.Service]*resolver.Profile
	engines     map[identifier.Endpoint]*engine
	sorted      []*engine // by name; nil after engines came or went
	groups      map[identifier.Group]*group
	freed       map[identifier.Group]freedGroup // groups that were broken up, whose members may report them yet
	counted     bool                            // the engines say whether a group has them; false after groups or engines changed
	until       time.Time                       // of the lease
	fence       uint64
	epochs      uint64 // given out under this fence
	orders      uint64
	loads       map[identifier.Service]*loadBudget
	demands     map[poolKey]*demand
	fresh       bool // no request has come yet
	storeLost   bool
	storeSince  time.Time // when that last changed
	newestAt    time.Time // when the last engine was listed that was not known before
	accountedAt time.Time
	actions     []Action
}

// New returns a Former for cfg.
func New(cfg Config) *Former {
	defaulter.Set(&cfg.DrainTime, defaultDrainTime)
	return &Former{
		drainTime: cfg.DrainTime,
		fresh:     cfg.Fresh, services: map[identifier.Service]*resolver.Profile{}, engines: map[identifier.Endpoint]*engine{},
		groups: map[identifier.Group]*group{}, freed: map[identifier.Group]freedGroup{}, loads: map[identifier.Service]*loadBudget{},
		demands: map[poolKey]*demand{},
	}
}

// Step applies e at now and returns the actions that it causes.
func (f *Former) Step(now time.Time, e Event) []Action {
	f.actions = nil
	if f.storeSince.IsZero() {
		f.storeSince = now // a store that was not well until now would have told this instance nothing
	}
	switch e := e.(type) {
	case EndpointsSet:
		f.setEndpoints(now, e.Endpoints)
	case ServicesSet:
		f.setServices(now, e.Services)
	case HoldSet:
		f.setHold(e)
	case Pressed:
		f.press(e)
	case Requested:
		f.fresh = false
	case StoreSet:
		f.storeLost, f.storeSince = e.Lost, now
	case Suspected:
		f.suspect(e.Head)
	case Reported:
		f.reported(now, e)
	case Unreachable:
		f.unreachable(now, e)
	case Answered:
		f.answered(now, e)
	}
	if now.Before(f.until) {
		f.plan(now)
	}
	return f.actions
}

func (f *Former) act(a Action) { f.actions = append(f.actions, a) }

// setHold takes in the lease. Under a new fence what was known of groups is read anew from the engines.
func (f *Former) setHold(h HoldSet) {
	if h.Fence > f.fence {
		f.fence, f.epochs = h.Fence, 0
		f.groups, f.counted = map[identifier.Group]*group{}, false
		f.freed = map[identifier.Group]freedGroup{}
		for _, e := range f.engines {
			e.pending, e.staging = nil, ""
			e.uncertain = e.Membership.Group != "" || len(e.Staged) > 0 // an engine that has nothing has taken no order
		}
	}
	f.until = h.Until
}

// epochsPerFence bounds the epochs that one holder of the lease gives out.
const epochsPerFence = 1 << 20

// nextEpoch returns an epoch higher than any that was given out before by any holder.
func (f *Former) nextEpoch() identifier.Epoch {
	f.epochs++
	return identifier.Epoch(f.fence*epochsPerFence + f.epochs)
}

func (f *Former) setServices(now time.Time, services []resolver.Service) {
	f.services = map[identifier.Service]*resolver.Profile{}
	for _, s := range services {
		if s.Engine == nil || len(s.Engine.Models) == 0 {
			continue
		}
		f.services[s.Name] = s.Engine
		if f.loads[s.Name] == nil {
			f.loads[s.Name] = newLoadBudget(now, s.Engine.LoadsPerSecond)
		}
	}
}

// setEndpoints replaces the list. An engine that is not listed any more is asked whether it lives.
func (f *Former) setEndpoints(now time.Time, endpoints []lister.Endpoint) {
	listed := map[identifier.Endpoint]bool{}
	for _, l := range endpoints {
		if l.FabricDomain == "" {
			continue
		}
		listed[l.ID] = true
		e := f.engines[l.ID]
		if e == nil {
			f.sorted, f.counted = nil, false
			f.engines[l.ID] = &engine{Endpoint: l, listing: l, listed: true, idleSince: now}
			f.newestAt = now
			continue
		}
		e.list(now, l)
	}
	for id, e := range f.engines {
		if listed[id] || !e.listed {
			continue
		}
		e.listed, e.unlisted = false, now
		e.suspected = true
	}
}

// suspect asks every member of a head's group whether it lives.
func (f *Former) suspect(head identifier.Endpoint) {
	e := f.engines[head]
	if e == nil {
		return
	}
	e.suspected = true
	g := f.groups[e.Membership.Group]
	if g == nil {
		return
	}
	for _, id := range g.members {
		if m := f.engines[id]; m != nil && !m.dead {
			m.suspected = true
		}
	}
}

// reported takes in an engine's own report. One of another process start shows that the
// process that was asked for has ended: another engine has its address, or it starts
// anew and will be listed so.
func (f *Former) reported(now time.Time, r Reported) {
	e := f.engines[r.ID]
	if e == nil {
		return
	}
	if r.Endpoint.ProcessStart == e.ProcessStart {
		e.report(now, r)
		return
	}
	e.asking = false
	if !e.dead {
		e.dead = true
		f.act(Note{Group: e.Membership.Group, Epoch: e.Membership.Epoch, Endpoint: e.ID, Decision: "replaced"})
	}
}

// unreachable counts an ask without an answer, from here and from every peer in reach. An
// engine that nobody near it has tried may be cut off from here and go on serving there.
func (f *Former) unreachable(now time.Time, u Unreachable) {
	e := f.engines[u.ID]
	if e == nil || !e.asking {
		return
	}
	e.asking = false
	e.suspected = true
	e.failures++
	if e.dead {
		return
	}
	switch {
	case !u.Everywhere:
	case u.Refused && (f.mayFinish(now, e) || !e.refusedAt.IsZero()):
		if e.refusedAt.IsZero() {
			e.refusedAt = now
		}
		e.dead = now.Sub(e.refusedAt) >= finishLimit
	case u.Near:
		e.dead = e.failures >= deadFailures
	default:
		e.dead = !e.listed && now.Sub(e.unlisted) >= farSilence
	}
	if e.dead {
		f.act(Note{Group: e.Membership.Group, Epoch: e.Membership.Epoch, Endpoint: e.ID, Decision: "dead"})
	}
}

// mayFinish reports whether e may have stopped to listen because it is leaving, and still
// serve what it has. An engine that leaves says so, or takes its entry away, some
// seconds before that, unless the store was not well.
func (f *Former) mayFinish(now time.Time, e *engine) bool {
	isHead := e.Membership.Rank == 0 && e.Membership.Group != ""
	return isHead && (e.Draining || !e.listed || f.storeLost || now.Sub(f.storeSince) < calmTime)
}

// answered takes in what became of an order.
func (f *Former) answered(now time.Time, a Answered) {
	e := f.engines[a.ID]
	if e == nil || e.pending == nil || e.pending.Number != a.Number {
		return
	}
	order := e.pending
	e.pending = nil
	switch a.Result {
	case ResultAccepted:
		e.accepted = max(e.accepted, order.Expected+1)
		f.assume(now, e, order.Operation)
	case ResultHolds, ResultConflict, ResultRefused, ResultReplaced, ResultUnanswered:
		e.uncertain = true
	case ResultStale:
		e.uncertain = true
		if g := f.groups[groupOf(order.Operation)]; g != nil {
			f.dissolve(now, g, e.ID, "stale")
		}
	}
	if a.Result == ResultUnanswered || a.Result == ResultReplaced {
		e.suspected = true
	}
}

// assume takes the state that an accepted order leads to, until the engine reports it.
func (f *Former) assume(now time.Time, e *engine, o Operation) {
	switch o := o.(type) {
	case Join:
		rank := slices.Index(o.Members, e.ID)
		e.assume(now, lister.Membership{Group: o.Group, Epoch: o.Epoch, Rank: rank, State: lister.MemberJoining})
		e.lastModel = o.Model
	case Close:
		m := e.Membership
		m.State = lister.MemberClosing
		e.assume(now, m)
	case Leave:
		e.assume(now, lister.Membership{})
		if g := f.groups[o.Group]; g != nil && g.epoch == o.Epoch && g.members[0] == e.ID {
			g.left = true
		}
	case Stage:
		e.staging, e.stagingEnd = o.Model, now.Add(stageLimit)
	}
}

func groupOf(o Operation) identifier.Group {
	switch o := o.(type) {
	case Join:
		return o.Group
	case Open:
		return o.Group
	case Close:
		return o.Group
	case Leave:
		return o.Group
	}
	return ""
}

// order sends an order to e unless one is under way or its state is not certain, and reports whether it did.
func (f *Former) order(now time.Time, e *engine, o Operation) bool {
	if e.pending != nil || e.uncertain {
		return false
	}
	f.orders++
	order := Order{ID: e.ID, Number: f.orders, Expected: e.accepted, Operation: o}
	e.pending, e.pendingAt = &order, now
	f.act(order)
	return true
}

// sortedEngines returns the engines in the order of their names. The caller must not change it.
func (f *Former) sortedEngines() []*engine {
	if f.sorted == nil {
		f.sorted = slices.SortedFunc(maps.Values(f.engines), func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
	}
	return f.sorted
}

// ask asks the engines whose state has to be learned.
func (f *Former) ask(now time.Time) {
	for _, e := range f.sortedEngines() {
		wait, reason := time.Duration(0), ""
		switch {
		case e.asking:
			continue
		case e.dead && !e.listed:
			if now.Sub(e.unlisted) > forgetAfter && f.groups[e.Membership.Group] == nil {
				f.sorted = nil
				delete(f.engines, e.ID)
			}
			continue
		case e.dead:
			wait, reason = askDead, "dead"
		case e.suspected:
			wait, reason = askAgain, "suspected"
			if e.failures > deadFailures {
				wait = askFar
			}
		case e.uncertain:
			wait, reason = 4*askAgain, "uncertain"
		default:
			continue
		}
		if now.Sub(e.askedAt) < wait {
			continue
		}
		e.asking, e.askedAt = true, now
		f.act(Ask{ID: e.ID, Reason: reason, Again: e.failures > 0 && !e.dead})
	}
}

// forgetAfter is how long an engine that left the list is remembered.
const forgetAfter = 10 * time.Second
