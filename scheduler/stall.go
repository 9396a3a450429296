package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Allowance for requests that wait at a full target, where no first event is no sign of a stall.
const (
	queueLoad   = 0.9
	queueFactor = 3
)

// checkStalls finds the targets whose requests stand still and moves the requests that may move.
func (p *Scheduler) checkStalls(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(p.targets)) {
		p.checkStall(now, p.targets[id])
	}
	p.moveOrphans(now)
}

// checkStall looks at one target.
func (p *Scheduler) checkStall(now time.Time, t *target) {
	if len(t.flights) == 0 {
		return
	}
	still, streaming, ok := p.standsStill(now, t)
	if !ok {
		return
	}
	t.streamsStalled = streaming
	if t.stalledAt.IsZero() {
		t.stalledAt, t.tried = now, now
		p.act(Stalled{Target: &t.Target, Silence: still})
	}
	p.moveAll(now, t)
}

// standsStill returns for how long t has shown no sign of life though its requests should
// have, whether streams under way show it, and whether that is too long.
func (p *Scheduler) standsStill(now time.Time, t *target) (still time.Duration, streaming, tooLong bool) {
	oldest := now
	for _, f := range t.flights {
		if f.moved && f.Stream {
			streaming = true
		}
		if f.sentAt.Before(oldest) {
			oldest = f.sentAt
		}
	}
	since := t.progressAt
	if since.Before(oldest) {
		since = oldest
	}
	still = now.Sub(since)
	if streaming {
		bound := max(p.cfg.StreamStallMin, time.Duration(p.cfg.StreamStallFactor)*p.pools[t.Pool].meanGap(now))
		return still, true, still >= bound
	}
	bound := max(p.cfg.FirstEventStallMin, time.Duration(p.cfg.FirstEventStallFactor*float64(p.pools[t.Pool].meanFirst(now))))
	if t.load(now, p.pools[t.Pool].meanOthers(now)) >= queueLoad {
		bound *= queueFactor
	}
	return still, false, still >= bound
}

// moveAll gives up the attempts at t whose requests can go on elsewhere, the most urgent first.
func (p *Scheduler) moveAll(now time.Time, t *target) {
	for _, f := range sortedFlights(t.flights) {
		if !f.abandoned && p.canMove(now, f) {
			p.abandon(f, ReasonStalled)
		}
	}
}

// moveOrphans gives up attempts at targets that are not there any more and stand still.
func (p *Scheduler) moveOrphans(now time.Time) {
	for _, f := range sortedFlights(p.flights) {
		if f.target == nil || f.abandoned || p.targets[f.target.ID] == f.target {
			continue
		}
		if now.Sub(f.movedAt) >= p.cfg.FirstEventStallMin && p.canMove(now, f) {
			p.abandon(f, ReasonReplaced)
		}
	}
}

func (p *Scheduler) abandon(f *flight, reason Reason) {
	f.abandoned = true
	p.act(Abandon{Ref: f.ref, Attempt: f.attempt, Reason: reason})
}

// canMove reports whether f could run elsewhere at once.
func (p *Scheduler) canMove(now time.Time, f *flight) bool {
	if !f.Repeatable || f.Deadline.Sub(now) < minServe || p.budget.left(f.Service) < 1 {
		return false
	}
	runs := f.runs
	if f.mayHaveBegun(f.target) {
		runs++
	}
	if runs >= max(f.MaxAttempts, 1) {
		return false
	}
	t, _, _ := p.choose(now, f)
	return t != nil
}

// sortedFlights returns flights in the order of priority and arrival.
func sortedFlights(flights map[Ref]*flight) []*flight {
	out := slices.Collect(maps.Values(flights))
	slices.SortFunc(out, func(a, b *flight) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.ref, b.ref))
	})
	return out
}
