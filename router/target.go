package router

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"amaranthmill/internal/identifier"
)

// sampleInterval is the least time between two samples of target.ownInFlight.
const sampleInterval = 100 * time.Millisecond

// sampleCount times sampleInterval is the greatest age of a report that can be corrected for own requests.
const sampleCount = 64

// targetTable holds the targets in the local failure domain.
type targetTable struct {
	all       []*target
	pools     map[identifier.Pool]*poolTargets
	seenIDs   map[string]bool // IDs of all targets reported so far
	instances int             // number of instances that share the targets
	removedAt time.Time       // when a target was last removed from the set
	lastNum   uint32
}

// poolTargets holds the targets of one pool and sums over those that are ready and not leaving.
type poolTargets struct {
	targets        []*target
	capacity       int
	othersInFlight float64
	ownInFlight    int // sum over all targets of the pool
}

// target is a reported Target with the state that this instance keeps for it.
type target struct {
	Target
	num            uint32    // identifies this epoch and process start in the prefix table
	ownInFlight    int       // requests of this instance that run there, known exactly
	suspectRuns    int       // of these, second runs of suspected requests
	othersInFlight float64   // requests of other instances that run or wait there, estimated from the last report
	suspendedAt    time.Time // when an attempt last failed in a way that suspends the target; zero for never
	downSince      time.Time // when it was first reported as not ready or leaving; zero while it is ready
	wasReady       bool      // this epoch and process start was reported as ready
	samples        [sampleCount]ownSample
	nextSample     int
}

// ownSample is a value of target.ownInFlight at one time.
type ownSample struct {
	at       time.Time
	inFlight int
}

func newTargetTable() targetTable {
	return targetTable{pools: map[identifier.Pool]*poolTargets{}, seenIDs: map[string]bool{}, instances: 1}
}

// find returns the target with this ID, or nil.
func (tt *targetTable) find(id string) *target {
	for _, t := range tt.all {
		if t.ID == id {
			return t
		}
	}
	return nil
}

// setTargets replaces the set of targets and keeps the state of those that remain.
func (r *Router) setTargets(now time.Time, targets []Target) {
	tt := &r.table
	old := make(map[string]*target, len(tt.all))
	for _, t := range tt.all {
		old[t.ID] = t
	}
	tt.all = tt.all[:0]
	tt.pools = make(map[identifier.Pool]*poolTargets, len(tt.pools))
	for _, reported := range targets {
		t := old[reported.ID]
		if t == nil {
			t = &target{}
		}
		delete(old, reported.ID)
		tt.applyReport(now, t, reported, r.cfg.DefaultCapacity)
		tt.all = append(tt.all, t)
		tt.pool(t.Pool).add(t)
		r.withdrawDisproved(now, t)
	}
	if len(old) > 0 {
		tt.removedAt = now
	}
	r.setSlots(now)
}

// pool returns the pool with this name and adds an empty one if there is none.
func (tt *targetTable) pool(name identifier.Pool) *poolTargets {
	p := tt.pools[name]
	if p == nil {
		p = &poolTargets{}
		tt.pools[name] = p
	}
	return p
}

func (p *poolTargets) add(t *target) {
	p.targets = append(p.targets, t)
	p.ownInFlight += t.ownInFlight
	if t.Ready && !t.Leaving {
		p.capacity += t.Capacity
		p.othersInFlight += t.othersInFlight
	}
}

// meanLoad returns the mean load of the ready targets as a fraction of their capacity.
func (p *poolTargets) meanLoad() float64 {
	return (p.othersInFlight + float64(p.ownInFlight)) / float64(max(p.capacity, 1))
}

// meanOthersLoad returns the part of meanLoad that other instances cause.
func (p *poolTargets) meanOthersLoad() float64 { return p.othersInFlight / float64(max(p.capacity, 1)) }

// applyReport updates t to its latest report.
func (tt *targetTable) applyReport(now time.Time, t *target, reported Target, capacity int) {
	isNew := t.num == 0 || t.Epoch != reported.Epoch || t.ProcessStart != reported.ProcessStart
	t.Target = reported
	if t.Capacity <= 0 {
		t.Capacity = capacity
	}
	if isNew {
		tt.lastNum++
		t.num = tt.lastNum
		t.suspendedAt, t.wasReady = time.Time{}, false
	}
	t.wasReady = t.wasReady || t.Ready
	switch {
	case t.Ready && !t.Leaving:
		t.downSince = time.Time{}
	case t.downSince.IsZero():
		t.downSince = now
	}
	tt.seenIDs[t.ID] = true
	t.othersInFlight = max(0, float64(t.InFlight+t.Queued-t.ownInFlightAt(t.ReportedAt)))
}

// ownInFlightAt returns ownInFlight at a time in the past, or the present value if no sample is that old.
func (t *target) ownInFlightAt(at time.Time) int {
	own, best := t.ownInFlight, time.Time{}
	for _, s := range t.samples {
		if !s.at.IsZero() && !s.at.After(at) && s.at.After(best) {
			own, best = s.inFlight, s.at
		}
	}
	return own
}

// addOwnInFlight adds n to the requests of this instance at t and takes a sample if one is due.
func (tt *targetTable) addOwnInFlight(now time.Time, t *target, n int) {
	last := t.samples[(t.nextSample+sampleCount-1)%sampleCount]
	t.ownInFlight += n
	tt.pool(t.Pool).ownInFlight += n
	if now.Sub(last.at) < sampleInterval {
		return
	}
	t.samples[t.nextSample] = ownSample{at: now, inFlight: t.ownInFlight}
	t.nextSample = (t.nextSample + 1) % sampleCount
}

// isReady reports whether t may take new requests at now.
func (t *target) isReady(now time.Time, suspendFor time.Duration) bool {
	if !t.Ready || t.Leaving {
		return false
	}
	suspended := !t.suspendedAt.IsZero() && !t.ReportedAt.After(t.suspendedAt) && now.Sub(t.suspendedAt) < suspendFor
	return !suspended
}

// isExpected reports whether t is expected to take requests soon although it takes none now.
func (t *target) isExpected(now time.Time) bool {
	switch {
	case t.Leaving:
		return false
	case t.Ready: // it is suspended until its next report
		return true
	}
	return !t.wasReady || now.Sub(t.downSince) < expectedReturn
}

// wasReadySince reports whether t could have been chosen by some instance after the given time.
func (t *target) wasReadySince(at time.Time) bool {
	return t.downSince.After(at) || t.suspendedAt.After(at)
}

// suspend keeps new requests away from t until its next report or for Config.SuspensionTime. It does nothing if t is nil.
func (t *target) suspend(now time.Time) {
	if t != nil {
		t.suspendedAt = now
	}
}

// canServe reports whether t has the adapter that f needs and was not used by an earlier attempt of f.
func (t *target) canServe(f *flight) bool {
	adapter := f.Request.Adapter
	return (adapter == "" || slices.Contains(t.Adapters, adapter)) && !slices.Contains(f.triedTargets, t.num)
}

// load estimates the requests that run or wait at t as a fraction of its capacity. The count
// of this instance is exact. The estimate for other instances moves from the reported value
// to the pool's mean as the report ages.
func (t *target) load(now time.Time, meanOthers float64, halfLife time.Duration) float64 {
	weight := math.Exp2(-max(0, now.Sub(t.ReportedAt).Seconds()) / halfLife.Seconds())
	others := t.othersInFlight/float64(t.Capacity)*weight + meanOthers*(1-weight)
	return float64(t.ownInFlight)/float64(t.Capacity) + others
}

// lossName returns the name by which the loss of t is recorded: its ID with its epoch and
// process start, so that a restarted or re-formed target has another name.
func (t *target) lossName() string {
	return fmt.Sprintf("%s@%d.%d", t.ID, t.Epoch, t.ProcessStart)
}

// lossTargetID returns the target ID in a name returned by lossName.
func lossTargetID(name string) string {
	i := strings.LastIndexByte(name, '@')
	return name[:max(i, 0)]
}
