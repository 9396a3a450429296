package groupformer

import (
	"time"

	"amaranthmill/internal/identifier"
)

// suspectGroup marks all members of a head's group as suspected, so that they are queried.
func (f *Former) suspectGroup(head identifier.Endpoint) {
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

// handleLeaving marks an engine as draining, unless the list shows another process of it.
func (f *Former) handleLeaving(now time.Time, s LeavingStated) {
	if e := f.engines[s.ID]; e != nil && e.ProcessStart == s.ProcessStart {
		e.leave(now)
	}
}

// handleReport applies an engine's own report. A report with another process start shows that
// the queried process has exited: either another engine has its address, or the engine has
// restarted and will be listed with the new process start.
func (f *Former) handleReport(now time.Time, r Reported) {
	e := f.engines[r.ID]
	if e == nil {
		return
	}
	f.epochs.observe(r.Endpoint.Membership.Epoch)
	if r.Endpoint.ProcessStart == e.ProcessStart {
		e.applyReport(now, r)
		return
	}
	e.querying = false
	if !e.dead {
		e.dead = true
		f.emit(LogDecision{Group: e.Membership.Group, Epoch: e.Membership.Epoch, Endpoint: e.ID, Decision: "replaced"})
	}
}

// handleUnreachable counts a query without an answer. An engine counts as dead only if
// peers have tried to query it, too. A head that refuses connections may be
// completing its requests, so it counts as dead only after drainFinishLimit. An engine that no
// instance in its failure domain has tried may be partitioned from this instance and continue
// to serve there, so it counts as dead only unlistedDeadAfter after it left the list. Any other
// engine counts as dead after deadAfterFailures if its host refuses connections or its entry
// was removed, and otherwise after silenceLimit.
func (f *Former) handleUnreachable(now time.Time, u Unreachable) {
	e := f.engines[u.ID]
	if e == nil || !e.querying {
		return
	}
	e.querying = false
	e.suspected = true
	if e.failedQueries == 0 {
		e.silentSince = e.queriedAt
	}
	e.failedQueries++
	if e.dead {
		return
	}
	switch {
	case !u.TriedByPeers:
	case u.ConnectionRefused && (f.mayBeFinishing(now, e) || !e.refusedSince.IsZero()):
		if e.refusedSince.IsZero() {
			e.refusedSince = now
		}
		e.dead = now.Sub(e.refusedSince) >= drainFinishLimit
	case u.TriedInDomain:
		hasEnded := u.ConnectionRefused || !e.listed && f.isListSettled(now)
		e.dead = e.failedQueries >= deadAfterFailures && (hasEnded || now.Sub(e.silentSince) >= silenceLimit)
	default:
		e.dead = !e.listed && now.Sub(e.unlistedAt) >= unlistedDeadAfter
	}
	if e.dead {
		f.emit(LogDecision{Group: e.Membership.Group, Epoch: e.Membership.Epoch, Endpoint: e.ID, Decision: "dead"})
	}
}

// mayBeFinishing reports whether e may be a leaving head that has stopped listening and still
// completes its requests. A leaving engine reports draining, or removes its entry, some
// seconds before it stops listening; this instance may have missed that if the store was
// unhealthy.
func (f *Former) mayBeFinishing(now time.Time, e *engine) bool {
	isHead := e.Membership.Rank == 0 && e.Membership.Group != ""
	return isHead && (e.Draining || !e.listed || !f.isListSettled(now))
}

// isListSettled reports whether the list shows the engines that left, and no live engine is
// missing from it because the store was unreachable.
func (f *Former) isListSettled(now time.Time) bool {
	return !f.storeLost && now.Sub(f.storeChangedAt) >= storeSettleTime
}

// queryEngines queries the engines whose state is unknown, and forgets dead engines that left
// the list.
func (f *Former) queryEngines(now time.Time) {
	for _, e := range f.sortedEngines() {
		wait, reason := time.Duration(0), ""
		switch {
		case e.querying:
			continue
		case e.dead && !e.listed:
			if now.Sub(e.unlistedAt) > forgetDeadAfter && f.groups[e.Membership.Group] == nil {
				f.sortedByID = nil
				delete(f.engines, e.ID)
			}
			continue
		case e.dead:
			wait, reason = deadQueryInterval, "dead"
		case e.suspected:
			wait, reason = queryInterval, "suspected"
			if e.failedQueries > deadAfterFailures {
				wait = unreachableQueryInterval
			}
		case e.uncertain:
			wait, reason = 4*queryInterval, "uncertain"
		case e.diverges(now):
			wait, reason = divergenceLimit, "diverges"
		default:
			continue
		}
		if now.Sub(e.queriedAt) < wait {
			continue
		}
		e.querying, e.queriedAt = true, now
		f.emit(FetchReport{ID: e.ID, Reason: reason, ViaPeers: e.failedQueries > 0 && !e.dead})
	}
}

// forgetDeadAfter is how long a dead engine is remembered after it left the list.
const forgetDeadAfter = 10 * time.Second
