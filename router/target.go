package router

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"amaranthmill/internal/identifier"
)

// sampleEvery is the least time between two samples of a target's own count.
const sampleEvery = 100 * time.Millisecond

// sampleCount times sampleEvery is the longest lag of a report that is corrected for.
const sampleCount = 64

// targetTable has the targets of the own failure domain.
type targetTable struct {
	all       []*target
	pools     map[identifier.Pool]*poolTargets
	seen      map[string]bool // the ID of every target so far
	instances int             // that share the targets
	removedAt time.Time       // when a target last left the set
	lastNum   uint32
}

// poolTargets has the targets of one pool and sums over the ready ones.
type poolTargets struct {
	targets  []*target
	capacity int
	others   float64
	own      int // over all targets of the pool
}

// target is a Target with what this instance knows of it at once.
type target struct {
	Target
	num         uint32 // of this epoch and process start, in the prefix table
	own         int    // requests of this instance that run there
	suspectRuns int    // of these, requests that are suspected
	others      float64
	suspendedAt time.Time // of the last attempt that broke there
	downSince   time.Time // when it was last reported ready no more; zero while it is ready
	samples     [sampleCount]ownSample
	nextSample  int
}

// ownSample is a target's own count at one time.
type ownSample struct {
	at  time.Time
	own int
}

func newTargetTable() targetTable {
	return targetTable{pools: map[identifier.Pool]*poolTargets{}, seen: map[string]bool{}, instances: 1}
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

// setTargets replaces the set and keeps what is known of targets that stay.
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
		tt.update(now, t, reported, r.cfg.DefaultCapacity)
		tt.all = append(tt.all, t)
		tt.pool(t.Pool).add(t)
		r.withdrawLoss(now, t)
	}
	if len(old) > 0 {
		tt.removedAt = now
	}
	r.setSlots(now)
}

// pool returns the pool with this name, which is empty if it is new.
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
	p.own += t.own
	if t.Ready && !t.Leaving {
		p.capacity += t.Capacity
		p.others += t.others
	}
}

// meanLoad returns the mean load of the ready targets in parts of their capacity.
func (p *poolTargets) meanLoad() float64 {
	return (p.others + float64(p.own)) / float64(max(p.capacity, 1))
}

// meanOthers returns the part of meanLoad that is not this instance's.
func (p *poolTargets) meanOthers() float64 { return p.others / float64(max(p.capacity, 1)) }

// update takes in a report of t.
func (tt *targetTable) update(now time.Time, t *target, reported Target, capacity int) {
	isNew := t.num == 0 || t.Epoch != reported.Epoch || t.ProcessStart != reported.ProcessStart
	t.Target = reported
	if t.Capacity <= 0 {
		t.Capacity = capacity
	}
	if isNew {
		tt.lastNum++
		t.num = tt.lastNum
		t.suspendedAt = time.Time{}
	}
	switch {
	case t.Ready && !t.Leaving:
		t.downSince = time.Time{}
	case t.downSince.IsZero():
		t.downSince = now
	}
	tt.seen[t.ID] = true
	t.others = max(0, float64(t.InFlight+t.Queued-t.ownAt(t.ReportedAt)))
}

// ownAt returns the own count at a time in the past, as far as it is remembered.
func (t *target) ownAt(at time.Time) int {
	own, best := t.own, time.Time{}
	for _, s := range t.samples {
		if !s.at.IsZero() && !s.at.After(at) && s.at.After(best) {
			own, best = s.own, s.at
		}
	}
	return own
}

// addOwn changes the own count of t and samples it.
func (tt *targetTable) addOwn(now time.Time, t *target, n int) {
	last := t.samples[(t.nextSample+sampleCount-1)%sampleCount]
	t.own += n
	tt.pool(t.Pool).own += n
	if now.Sub(last.at) < sampleEvery {
		return
	}
	t.samples[t.nextSample] = ownSample{at: now, own: t.own}
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

// wasReadySince reports whether t could have been chosen by some instance after the given time.
func (t *target) wasReadySince(at time.Time) bool {
	return t.downSince.After(at) || t.suspendedAt.After(at)
}

// suspend leaves t alone until it reports again. It does nothing if t is nil.
func (t *target) suspend(now time.Time) {
	if t != nil {
		t.suspendedAt = now
	}
}

// serves reports whether t has what f asks for and did not run an earlier attempt of f.
func (t *target) serves(f *flight) bool {
	adapter := f.Request.Adapter
	return (adapter == "" || slices.Contains(t.Adapters, adapter)) && !slices.Contains(f.tried, t.num)
}

// load estimates the requests that run or wait at t in parts of its capacity. The own
// count is exact. The others' part of the report goes over to the pool's mean as it ages.
func (t *target) load(now time.Time, meanOthers float64, halfLife time.Duration) float64 {
	weight := math.Exp2(-max(0, now.Sub(t.ReportedAt).Seconds()) / halfLife.Seconds())
	others := t.others/float64(t.Capacity)*weight + meanOthers*(1-weight)
	return float64(t.own)/float64(t.Capacity) + others
}

// lossName names what a crash of t loses: this membership of the group in this run of
// the endpoint at its address.
func (t *target) lossName() string {
	return fmt.Sprintf("%s@%d.%d", t.ID, t.Epoch, t.ProcessStart)
}

// targetOfLoss returns the target's ID in a name that lossName gave.
func targetOfLoss(name string) string {
	i := strings.LastIndexByte(name, '@')
	return name[:max(i, 0)]
}
